// Package loadbalancer chooses the backend for each attempt of a request, from what the caller's proxy has observed.
//
// There are three sources: the directory of candidates, its own attempts that are in flight, and the load and
// health that each backend's proxy reports with its responses. A choice is made in these steps:
//
//  1. Candidates that failed recently, or whose proxy has been silent for too long, are set aside (availability, silence). They
//     are used only if no other candidate is available.
//  2. A route with large messages stays in the caller's own failure domain while a candidate is available there (locality).
//  3. If every candidate reports its slots, the one with the shortest expected response time is taken (load reports);
//     candidates within a tolerance of it are equal, and one of them is drawn.
//  4. Otherwise two are drawn, in the caller's own failure domain with the probability that levels the load of all
//     backends, and the one with fewer of the caller's own attempts in flight is taken (power of two choices).
//
// The package also stores the health reports of a service's backends. Statistics of them are sent with each request, so that a
// backend's proxy can compare its own backend with the others (peer health), and sends health checks to proxies that have
// attempts in flight and don't respond.
//
// One Balancer serves one proxy process. All of its state is guarded by one lock and lost when the process ends. Nothing in
// it depends on the order of a map: runs in the simulator repeat by seed.
package loadbalancer
