package proxy

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
)

const (
	// DrainGrace is how long a planned stop may take if no other time is set: half a second less than the least that platforms
	// wait between their notice and the kill.
	DrainGrace = 2500 * monotonic.Millisecond
	// propagationTime is how long other proxies are given to stop choosing the backends of this host.
	propagationTime = 1500 * monotonic.Millisecond
	// lingerPropagationTime is the same after lingering: the callers are gone by then, and the requests of a proxy that has not
	// heard of the drain are only retried elsewhere.
	lingerPropagationTime = 300 * monotonic.Millisecond
	// finalReplyTime is the end of the grace period, in which the requests still in flight are aborted and answered.
	finalReplyTime = 300 * monotonic.Millisecond
	// minLeaseReleaseTime and maxLeaseReleaseTime bound the call that gives the lease on the configuration back.
	minLeaseReleaseTime = 50 * monotonic.Millisecond
	maxLeaseReleaseTime = 300 * monotonic.Millisecond
	// maxBreakerCloseTime bounds the time in which the breakers' last reports are sent.
	maxBreakerCloseTime = monotonic.Second
)

// Drain stops the proxy within a grace period: it stops taking callers' requests and answers everything that was read. It
// reports whether every request was answered.
//
// While it lingers only the platform knows of the drain; other proxies go on choosing the backends of this host, which are as
// good as before. closeListener closes the callers' listener once they have had time to go elsewhere. What was read before it
// closes is answered, with a rejection if need be.
func (p *Proxy) Drain(grace monotonic.Micros, closeListener func()) bool {
	h := p.options.Host
	deadline := h.Now() + grace
	replyDeadline := deadline - min(grace/5, finalReplyTime)
	h.Report(eventlog.ProcessDraining, map[string]any{"running": p.Forwarder.InFlight() + p.Admission.InFlight()})
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
	// Whoever still waits is answered with what is known, while this process can still do so.
	p.Forwarder.Abort()
	p.Admission.Abort()
	answered := p.Forwarder.Drain(deadline - h.Now())
	answered = p.Admission.Drain(deadline-h.Now()) && answered
	p.ConfigClient.Release(min(max(deadline-h.Now(), minLeaseReleaseTime), maxLeaseReleaseTime))
	p.Breakers.Close(min(max(deadline-h.Now(), 0), maxBreakerCloseTime))
	h.Report(eventlog.ProcessDrained, map[string]any{"answered": answered, "whole": complete})
	return answered
}

// linger makes the proxy not ready, and goes on taking callers' requests for the time that they need to stop. It returns the time
// that other proxies are then given.
func (p *Proxy) linger(replyDeadline monotonic.Micros) (propagation monotonic.Micros) {
	p.draining.Store(true)
	linger := min(p.options.Linger, replyDeadline-p.options.Host.Now())
	if linger <= 0 {
		return propagationTime
	}
	p.options.Host.Sleep(linger)
	return lingerPropagationTime
}
