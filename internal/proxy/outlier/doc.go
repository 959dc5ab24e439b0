// Package outlier implements passive outlier detection: it finds a backend that fails more often or responds more slowly than
// the other backends of its service, from the outcomes and latencies of the requests that its proxy sends to it. It is a pure
// state machine: the owner passes in the time and holds a lock around each call.
//
// A Detector tracks one backend:
//
//   - Failures. The fault rate is an exponentially weighted average over the last responses. The backend is ejected when its
//     fault rate is far above the median of its peers. There is one fault rate over all callers and one for each failure domain
//     of callers, so that a fault that affects the callers of only one domain ejects the backend only for them. Requests that
//     take far longer than their baseline count as failures while they are still in flight.
//   - Probes. An ejected backend receives one request after a pause, which doubles with each failed probe and with each
//     ejection that closely follows another. Each consecutive success raises the number of probes allowed in flight by one;
//     after enough successes the backend is reinstated.
//   - Latency. A backend that has become much slower than its peers isn't ejected, but receives only the requests that it can
//     still answer within their latency target, and occasionally another one to measure it.
//
// Requests are rejected only while the service has other backends and at most half of its backends are ejected. A request that
// has no other backend to go to is always admitted.
package outlier
