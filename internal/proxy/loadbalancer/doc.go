// Package loadbalancer chooses the backend for each attempt of a request, from what the caller's proxy has observed.
//
// It has three sources: the directory of candidates, its own attempts in flight, and the load and health that each backend's
// proxy reports with its responses. A choice is made in these steps:
//
//  1. Candidates that failed recently, or whose proxy has not responded for too long, are unavailable (availability, silence).
//     They are used only if no other candidate is available.
//  2. A route with large messages stays in the caller's own failure domain while a candidate is available there (locality).
//  3. If every candidate reports its slots, the one with the shortest expected response time is chosen (load reports).
//     Candidates within a tolerance of it count as equal, and one of them is drawn at random.
//  4. Otherwise two candidates are drawn, from the caller's own failure domain with the probability that balances the load of
//     all backends, and the one with fewer of the caller's own attempts in flight is chosen (power of two choices).
//
// The package also stores the health reports of a service's backends and sends statistics of them with each request, so that a
// backend's proxy can compare its own backend with the others (peer health). It sends health checks to proxies that have
// attempts in flight and don't respond.
//
// One Balancer serves one proxy process. All of its state is guarded by one lock and lost when the process ends. No result
// depends on the iteration order of a map, so that simulator runs are reproducible by seed.
package loadbalancer
