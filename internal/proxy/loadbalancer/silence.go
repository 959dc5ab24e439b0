package loadbalancer

import (
	"maps"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// defaultSilenceTimeout is the silence timeout where none is configured.
	defaultSilenceTimeout = 700 * monotonic.Millisecond
	// maxProbeInterval is the longest interval between two checks for silent proxies.
	maxProbeInterval = 200 * monotonic.Millisecond
	// minProbeTimeout is the least time that a silent proxy has to respond to a health check.
	minProbeTimeout = 150 * monotonic.Millisecond
	// probeResponseTime is what a live proxy needs to respond to a health check.
	probeResponseTime = 50 * monotonic.Millisecond
)

// silenceDetector finds proxies that have attempts in flight and don't respond. The Balancer's lock guards it.
//
// Invariant: pending holds a proxy exactly while attempts at its backends are in flight.
type silenceDetector struct {
	timeout monotonic.Micros
	pending map[string]*pendingResponses // by proxy
}

// pendingResponses are the attempts in flight at one proxy.
type pendingResponses struct {
	attempts int
	since    monotonic.Micros // when the proxy last responded, or the first attempt began
	address  string
	probed   bool // a health check is in flight
}

func newSilenceDetector(timeout monotonic.Micros) silenceDetector {
	return silenceDetector{timeout: timeout, pending: map[string]*pendingResponses{}}
}

// begin counts an attempt as in flight.
func (d silenceDetector) begin(proxy, address string, now monotonic.Micros) *pendingResponses {
	pending := d.pending[proxy]
	if pending == nil {
		pending = &pendingResponses{since: now, address: address}
		d.pending[proxy] = pending
	}
	pending.attempts++
	return pending
}

// end takes an attempt out of those in flight.
func (d silenceDetector) end(proxy string, pending *pendingResponses, now monotonic.Micros) {
	pending.since = now
	if pending.attempts--; pending.attempts == 0 {
		delete(d.pending, proxy)
	}
}

// probeInterval is how often to check for silent proxies.
func (d silenceDetector) probeInterval() monotonic.Micros {
	return min(maxProbeInterval, d.timeout/2)
}

// probeTimeout is how long a health check may take.
func (d silenceDetector) probeTimeout() monotonic.Micros {
	return max(minProbeTimeout, d.timeout*5/7)
}

// isUnresponsive reports whether a proxy has been sent a health check and should have responded to it by now. A proxy that
// only has long-running requests isn't.
func (d silenceDetector) isUnresponsive(proxy string, now monotonic.Micros) bool {
	pending := d.pending[proxy]
	return pending != nil && now-pending.since >= d.timeout+d.probeInterval()+probeResponseTime
}

// beginProbes returns the silent proxies that have no health check in flight, in order of their names, and marks them as
// having one.
func (d silenceDetector) beginProbes(now monotonic.Micros) (silent []*pendingResponses) {
	for _, proxy := range slices.Sorted(maps.Keys(d.pending)) {
		pending := d.pending[proxy]
		if now-pending.since >= d.timeout && !pending.probed {
			pending.probed = true
			silent = append(silent, pending)
		}
	}
	return silent
}

// endProbe records the end of a health check. A proxy that passed it is only slow.
func (p *pendingResponses) endProbe(passed bool, now monotonic.Micros) {
	p.probed = false
	if passed {
		p.since = now
	}
}

// ProbeInterval is how often ProbeSilentProxies is to be called, in microseconds.
func (b *Balancer) ProbeInterval() monotonic.Micros { return b.silence.probeInterval() }

// ProbeSilentProxies sends a health check to each proxy that has attempts in flight and hasn't responded within the silence
// timeout. It doesn't wait for the results. A failed check closes the connection, so that the attempts that wait there end
// and can be retried long before their deadlines.
func (b *Balancer) ProbeSilentProxies() {
	for _, pending := range b.silentProxies() {
		b.host.Go(func() { b.probe(pending) })
	}
}

func (b *Balancer) silentProxies() []*pendingResponses {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silence.beginProbes(b.host.Now())
}

func (b *Balancer) probe(pending *pendingResponses) {
	request := &wire.DiscoverRequest{HealthCheck: true}
	err := b.host.Call(pending.address, wire.Kind_discover, request, &wire.DiscoverResponse{}, b.silence.probeTimeout())
	if err != nil {
		b.host.Report(eventlog.PeerProxySilent, eventlog.Failure(pending.address, err))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	pending.endProbe(err == nil, b.host.Now())
}
