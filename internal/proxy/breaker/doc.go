// Package breaker implements the circuit breakers on the caller's side of a proxy. There is one breaker for each service that
// the proxy calls.
//
// Each breaker has two states:
//
//   - The shared record (closed, open or half open) is stored by the registry for all callers of the service. Each proxy keeps
//     a copy, which it receives with each poll and with the response to each write. It decides while the registry is reachable.
//   - The local breaker belongs to this proxy and has a sliding window over the last calls. It decides while the shared record
//     is closed or the registry is unreachable (degraded). Once the share of failed or slow calls reaches its threshold, the
//     local breaker opens and the proxy reports that to the registry. The registry opens the shared record when enough callers
//     have reported.
//
// No call waits for the registry while the record is closed or open. While it is half open, each call leases one probe from a
// budget that all callers share. That lease is the only registry call that a caller's request waits for. One task sends probe
// results and reports from a queue, in order. If a write fails, the breakers become degraded, and writes are dropped until a
// backoff has passed.
//
// An operator can override a service's breaker on one proxy (see SetControl).
//
// The proxy persists nothing. The shared records are stored in the registry's log.
//
// Lock order: a serviceBreaker's lock may be held when the Set's lock is acquired, never the other way round. No lock is held
// during a call to the registry.
package breaker
