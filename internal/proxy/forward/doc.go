// Package forward implements the caller's side of a proxy. It forwards each request from the ingress to the proxy of a backend and
// returns exactly one outcome: the backend's complete response, or a fault that says whether the request may have run.
//
// A request goes through these steps, all in one task:
//
//  1. Policies, in order (policies.go): reject it while draining, resolve its route in the current configuration, authenticate its
//     tenant, require an idempotency key, limit the body size, limit the requests in flight.
//  2. Attempts, one after another (retries.go). Each is admitted by the service's breaker, gets a backend from the load
//     balancer, and is sent to that backend's proxy (attempt.go). A request that is rejected before any backend saw it is
//     redispatched to another backend at once. After other failures it is retried with a backoff if it hasn't run or may run more
//     than once, and if the limit of attempts, the deadline and the service's retry budget allow it.
//  3. The verdict, if the request failed (verdict.go). NotRun must hold for the idempotency key, not only for this request. A
//     request with a key gets this verdict only after the registry has found the key unclaimed and fenced it.
//
// If the caller disconnects, the attempt in flight is cancelled (cancellation.go).
//
// The forwarder holds in memory the number of requests in flight for each service, and the state of the load balancer and of the
// Retry-After jitter. All of it is lost when the process ends. The claims of idempotency keys must survive that; they are in the
// registry's log, and the forwarder calls the registry's leader through Config.CallLeader.
//
// The ingress calls Forward, and a timer calls ProbeSilentProxies each ProbeInterval. The proxy's shutdown calls StopAccepting,
// then Drain, then Abort for the requests that are still in flight, and Drain again until these have been answered.
package forward
