// Package outlier detects a backend with more faults or longer times than the other backends of its service, from the outcomes and times of
// the requests that its proxy hands to it. It is a pure state machine: its owner gives it the time and holds a lock around
// each call.
//
// A Detector judges one backend:
//
//   - Failures. A fault rate, smoothed over the last responses, ejects the backend once it is far above the peers' median.
//     There is a rate over all callers and one for each failure domain of callers, so that a fault which only one domain's
//     callers see ejects the backend for these alone. Requests that take far longer than usual count as failures while they
//     are still in flight.
//   - Probes. An ejected backend gets one request after a pause, which doubles with each failed probe and each ejection that
//     follows another. Each success in a row raises the number of probes that may be in flight by one; enough of them
//     reinstate the backend.
//   - Latency. A backend that has become much slower than its peers isn't ejected, but gets only requests that it can still
//     answer within their latency target, and now and then another one to measure it.
//
// Requests are rejected only while other backends are there and no more than half of the service is ejected. A request that
// has no other backend to go to is always admitted.
package outlier
