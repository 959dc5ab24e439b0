// Package forward is the caller's side of a proxy. It forwards a request from the caller's ingress to a backend's proxy and
// returns exactly one outcome: the backend's complete response, or a fault that says whether the request may have run.
//
// A request goes through these steps, all on one task:
//
//  1. Policies, in order: not draining, resolve the route in the current configuration, idempotency key, body size, limit of
//     requests in flight (policies.go).
//  2. Attempts, one after the other (retries.go). Each is admitted by the service's breaker, has a backend chosen by the load
//     balancer, and is sent to that backend's proxy (attempt.go). A rejection before any backend saw the request is
//     redispatched to another backend at once. Other failures are retried after a backoff, if that can't make the request run
//     twice, within the route's number of attempts, the deadline and the service's retry budget.
//  3. The verdict, if it failed (verdict.go). NotRun must hold for the idempotency key, not only for this request: for a request
//     with a key it is given only once the registry has voided the key's attempts and fenced the key.
//
// If the caller disconnects, the attempt in flight is cancelled (cancellation.go).
//
// State: the requests in flight, by service, and the state of the load balancer and of the Retry-After jitter. All of it is
// lost with the process. What must survive, the claims of idempotency keys, is in the registry's log; the forwarder calls
// the registry's leader through Config.CallLeader.
//
// Callers: the ingress calls Forward, and a timer calls ProbeSilentPeers each ProbeInterval. The proxy's shutdown calls
// StopAccepting, then Drain, Abort for the requests that are still in flight, and Drain again until these have been answered.
package forward
