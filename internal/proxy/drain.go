package proxy

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

const (
	// DrainGrace is the default grace period of a drain: half a second less than the shortest time that platforms allow between the
	// stop signal and the kill.
	DrainGrace = 2500 * monotonic.Millisecond
	// propagationTime is the time that other proxies get to learn of the drain and to stop choosing the backends of this host.
	propagationTime = 1500 * monotonic.Millisecond
	// lingerPropagationTime replaces propagationTime after lingering. It can be shorter, because this proxy's own callers have left by
	// then, and a proxy that has not learned of the drain gets rejections and retries elsewhere.
	lingerPropagationTime = 300 * monotonic.Millisecond
	// finalReplyTime is the time at the end of the grace period in which the requests still in flight are aborted and answered. It is
	// at most the grace period divided by finalReplyDivisor.
	finalReplyTime    = 300 * monotonic.Millisecond
	finalReplyDivisor = 5
	// minLeaseReleaseTime and maxLeaseReleaseTime bound the call that releases the lease on the configuration.
	minLeaseReleaseTime = 50 * monotonic.Millisecond
	maxLeaseReleaseTime = 300 * monotonic.Millisecond
	// maxBreakerCloseTime bounds the time for sending the breakers' last reports.
	maxBreakerCloseTime = monotonic.Second
)

// Drain shuts the proxy down gracefully within a grace period: it stops accepting requests and answers every request that was read, if
// necessary with a rejection. It returns when the responses are written to callers, which may read slowly, or at the end of the grace
// period. It reports whether every request was answered.
//
//  1. Linger: the readiness check fails, but requests are still accepted. Other proxies continue to choose the backends of this
//     host, which still serve.
//  2. Announce: the session is marked as leaving, and callers' requests are rejected as not run.
//  3. Propagate: requests from other proxies are still accepted until those proxies have had time to learn of the drain.
//  4. Close: requests from other proxies are rejected as not run, and closeListener closes the callers' listener.
//  5. Wait for the requests in flight, and abort the remaining ones finalReplyTime before the end of the grace period. An aborted
//     request is answered immediately, with a verdict that says whether it may have run.
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

// linger makes the proxy not ready and, while requests are still accepted, waits for the time that callers need to stop sending. It
// returns the time that other proxies get afterwards to learn of the drain.
func (p *Proxy) linger(replyDeadline monotonic.Micros) (propagation monotonic.Micros) {
	p.draining.Store(true)
	linger := min(p.options.Linger, replyDeadline-p.options.Host.Now())
	if linger <= 0 {
		return propagationTime
	}
	p.options.Host.Sleep(linger)
	return lingerPropagationTime
}
