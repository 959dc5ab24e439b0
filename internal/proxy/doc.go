// Package proxy is the sidecar proxy that runs on the host of each caller and each backend.
//
// A [Proxy] puts its parts together:
//   - forward sends callers' requests to the proxies of backends, with load balancing, retries and hedging;
//   - admission receives those requests and runs them on the local backends;
//   - localbackends holds the backends of this host;
//   - configclient follows the configuration, and holds the lease by which it may be used;
//   - session keeps this proxy registered and follows the directory of the others;
//   - breaker and retry hold the circuit breakers and the retry budget, replay the recorded responses to idempotency keys;
//   - singleton passes leases on roles to the local backends.
//
// The HTTP interfaces are in ingress (for callers) and backendapi (for the local backends and operators). A proxy persists
// nothing; a restarted one has a new incarnation.
package proxy
