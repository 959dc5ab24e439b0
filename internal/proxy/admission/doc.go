// Package admission implements the receiving side of a proxy: it decides whether a forwarded request may run on a local backend,
// sends it there, and returns the outcome.
//
// [Controller.Serve] takes a request through the following steps. Each may reject it. A rejection before the last step
// guarantees that no backend has run the request.
//
//  1. Preconditions: the proxy is not stopping, the request is addressed to this incarnation of it, the proxy has a lease on
//     its configuration, and the request was routed by the current version of the configuration or the one before.
//  2. Outlier detection: an ejected backend gets only probes and requests that have no other backend to go to.
//  3. Uplink: a request with a large response is admitted only if this host's network link can send the response in time.
//  4. Slot: a backend has a bounded number of slots, one for each request that it runs, and a bounded queue of requests that
//     wait for a slot.
//  5. Claim: a run-once request, which is one with an idempotency key, claims that key at the registry's leader. If an earlier
//     attempt has run, the response recorded for the key is returned instead.
//  6. Final check: the conditions that may have changed meanwhile are checked again right before the first byte is written to
//     the backend.
//
// Every outcome has a verdict, which says whether the request may have run. Callers retry a request on another backend only if
// it has not run or may run more than once.
//
// The package persists nothing. Package replay holds the responses recorded for idempotency keys in memory.
package admission
