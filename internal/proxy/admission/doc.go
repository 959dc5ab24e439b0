// Package admission is the receiving side of a proxy: it decides whether a forwarded request may run on a local backend, runs
// it, and returns the outcome.
//
// [Controller.Serve] takes a request through these steps. Each may reject it, and each rejection before the last step is
// certain: no backend has run the request.
//
//  1. Preconditions: the proxy is not stopping, the request is addressed to this incarnation of it, the proxy has a lease on
//     its configuration, and the request was routed by that version or the one before.
//  2. Outlier detection: an ejected backend takes health checks and last resorts only.
//  3. Uplink: this host's network link must be able to send a large response in time.
//  4. Slot: a backend has a bounded number of slots, one for each request that it runs, and a bounded queue for them.
//  5. Claim: a run-once request, that is one with an idempotency key, claims that key at the registry's leader. The key's recorded
//     response is returned instead if an earlier attempt has run.
//  6. Hand-over: the conditions that may have changed meanwhile are checked again right before the first byte is written.
//
// Every outcome carries a verdict, which says whether the request may have run. Callers retry on another backend only what
// has not run, or what may run more than once.
//
// The package persists nothing. Package replay holds the responses to idempotency keys in memory.
package admission
