package proxy

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

const (
	// DrainGrace is the default grace period of a drain: half a second less than the shortest time that platforms wait between
	// the signal to stop and the kill.
	DrainGrace = 2500 * monotonic.Millisecond
	// propagationTime is how long other proxies are given to learn of the drain and to stop choosing the backends of this host.
	propagationTime = 1500 * monotonic.Millisecond
	// lingerPropagationTime replaces propagationTime after lingering. It may be shorter: this proxy's own callers have left by
	// then, and a proxy that has not learned of the drain gets rejections that it retries elsewhere.
	lingerPropagationTime = 300 * monotonic.Millisecond
	// finalReplyTime is the last part of the grace period, in which the requests still in flight are aborted and answered. It is
	// at most one part in finalReplyDivisor of the grace period.
	finalReplyTime    = 300 * monotonic.Millisecond
	finalReplyDivisor = 5
	// minLeaseReleaseTime and maxLeaseReleaseTime bound the call that releases the lease on the configuration.
	minLeaseReleaseTime = 50 * monotonic.Millisecond
	maxLeaseReleaseTime = 300 * monotonic.Millisecond
	// maxBreakerCloseTime bounds the time in which the breakers' last reports are sent.
	maxBreakerCloseTime = monotonic.Second
)

// Drain shuts the proxy down gracefully within a grace period: it stops accepting requests and answers everything that was read,
// with a rejection if need be. It returns once the responses are written to callers, which may read slowly, or at the end of the grace
// period. It reports whether every request was answered.
//
//  1. Linger: the readiness check fails, but requests are still accepted. Other proxies go on choosing the backends of this
//     host, which still serve.
//  2. Announce: the session is marked as leaving, and callers' requests are rejected as not run.
//  3. Propagate: requests from other proxies are still accepted until these have learned of the drain.
//  4. Close: requests from other proxies are rejected as not run, and closeListener closes the callers' listener.
//  5. Wait for the requests in flight, and abort those that are left at the end of the grace period less finalReplyTime: each
//     is answered at once, with a verdict that says whether it may have run.
//  6. Release the lease on the configuration, and send the breakers' last reports.
//  7. Wait until the responses are written to callers and to other proxies.
func (p *Proxy) Drain(grace monotonic.Micros, closeListener func()) bool {
	h := p.options.Host
	deadline := h.Now() + grace
	replyDeadline := deadline - min(grace/finalReplyDivisor, finalReplyTime)
	h.Report(eventlog.ProcessDraining, eventlog.Attributes{"running": p.Forwarder.InFlight() + p.Admission.InFlight()})
	propagation := p.linger(replyDeadline)
	p.leaving.Store(true)
	p.Session.PollNow()
	announcedAt := h.Now()
	p.Forwarder.StopAccepting()
	p.Forwarder.Drain(replyDeadline - h.Now())
	h.Sleep(min(propagation-(h.Now()-announcedAt), replyDeadline-h.Now()-finalReplyTime))
	p.Admission.StopAccepting()
	closeListener()
	complete := p.Admission.Drain(replyDeadline - h.Now())
	complete = p.Forwarder.Drain(replyDeadline-h.Now()) && complete
	p.Forwarder.Abort()
	p.Admission.Abort()
	answered := p.Forwarder.Drain(deadline - h.Now())
	answered = p.Admission.Drain(deadline-h.Now()) && answered
	p.ConfigClient.Release(min(max(deadline-h.Now(), minLeaseReleaseTime), maxLeaseReleaseTime))
	p.Breakers.Close(min(max(deadline-h.Now(), 0), maxBreakerCloseTime))
	answered = p.Callers.Drain(deadline-h.Now()) && answered
	if p.options.WaitForReplies != nil {
		p.options.WaitForReplies(max(deadline-h.Now(), 0))
	}
	h.Report(eventlog.ProcessDrained, eventlog.Attributes{"answered": answered, "whole": complete})
	return answered
}

// linger makes the proxy not ready and waits, while requests are still accepted, for the time that callers need to stop. It
// returns the time that other proxies then have to learn of the drain.
func (p *Proxy) linger(replyDeadline monotonic.Micros) (propagation monotonic.Micros) {
	p.draining.Store(true)
	linger := min(p.options.Linger, replyDeadline-p.options.Host.Now())
	if linger <= 0 {
		return propagationTime
	}
	p.options.Host.Sleep(linger)
	return lingerPropagationTime
}
