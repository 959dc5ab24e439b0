// Package proxy is the sidecar proxy that runs on the host of each caller and each backend.
//
// A [Proxy] consists of these parts, each in its own package:
//   - forward sends callers' requests to the proxies of backends, with load balancing, retries and hedging;
//   - admission receives those requests and runs them on the local backends;
//   - localbackends tracks the backends on this host;
//   - configclient fetches the configuration, and holds the lease without which it must not be used;
//   - session keeps this proxy registered and fetches the directory of the other proxies;
//   - breaker implements the circuit breakers, and retry the retry budget;
//   - replay records the responses to requests with idempotency keys;
//   - singleton requests leases on roles for the local backends.
//
// The HTTP interfaces are in ingress (for callers) and backendapi (for the local backends and operators). A proxy persists no state;
// each start of the process has a new incarnation number.
package proxy
