// Package breaker is the circuit breaker at the caller's side of a proxy. There is one breaker for each service that the
// proxy calls.
//
// Each breaker has two states:
//
//   - The shared record (closed, open or half open) is stored by the registry for all callers of the service. A proxy holds a
//     copy, which it gets with each poll and with the response to each write. It decides while the registry can be reached.
//   - The local breaker of this proxy has a sliding window over the last calls. While the shared record is closed, or the
//     registry can't be reached (degraded), the window decides: once the share of failed or slow calls is over its
//     threshold, the local breaker opens and the proxy reports that to the registry. The registry opens the shared record
//     when enough callers have reported.
//
// No call waits for the registry while the record is closed or open. While it is half open, each call leases one probe from a
// budget that all callers share; that lease is the only call to the registry which a caller's request waits for. Probe
// results and reports are written from a queue by one task, in order. If a write fails, the breakers are degraded, and writes
// are dropped until a backoff has passed.
//
// An operator can override the breaker of a service on one proxy (see SetControl).
//
// Nothing is persisted by the proxy. The records are in the registry's log.
//
// Locks: a serviceBreaker's lock may be held when the Set's lock is taken, never the other way round. No lock is held during
// a call to the registry.
package breaker
