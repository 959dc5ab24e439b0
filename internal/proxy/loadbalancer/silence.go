package loadbalancer

import (
	"maps"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// defaultSilenceTimeout is the silence timeout if none is configured.
	defaultSilenceTimeout = 700 * monotonic.Millisecond
	// maxProbeInterval is the longest interval between two checks for silent proxies.
	maxProbeInterval = 200 * monotonic.Millisecond
	// minProbeTimeout is the shortest timeout of a health check.
	minProbeTimeout = 150 * monotonic.Millisecond
	// probeResponseTime is the time that a live proxy is allowed for the response to a health check.
	probeResponseTime = 50 * monotonic.Millisecond
)

// silenceDetector finds proxies that have attempts in flight and have not responded for longer than the timeout: they are silent.
// The Balancer's lock guards it.
//
// Invariant: pending holds a proxy exactly while attempts at its backends are in flight.
type silenceDetector struct {
	timeout monotonic.Micros
	pending map[string]*pendingResponses // by proxy
}

// pendingResponses tracks the attempts in flight at one proxy.
type pendingResponses struct {
	attempts int              // number of attempts in flight
	since    monotonic.Micros // when the proxy last responded or the first attempt began
	address  string
	probing  bool // a health check is in flight
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

// end removes an attempt from those in flight and restarts the proxy's silence timeout.
func (d silenceDetector) end(proxy string, pending *pendingResponses, now monotonic.Micros) {
	pending.since = now
	if pending.attempts--; pending.attempts == 0 {
		delete(d.pending, proxy)
	}
}

// probeInterval returns the interval between two checks for silent proxies.
func (d silenceDetector) probeInterval() monotonic.Micros {
	return min(maxProbeInterval, d.timeout/2)
}

// probeTimeout returns the timeout of a health check.
func (d silenceDetector) probeTimeout() monotonic.Micros {
	return max(minProbeTimeout, d.timeout*5/7)
}

// isUnresponsive reports whether a proxy has been silent for so long that it should have responded to a health check by now. A
// proxy that is merely serving long-running requests passes the check and is responsive.
func (d silenceDetector) isUnresponsive(proxy string, now monotonic.Micros) bool {
	pending := d.pending[proxy]
	return pending != nil && now-pending.since >= d.timeout+d.probeInterval()+probeResponseTime
}

// beginProbes returns the silent proxies without a health check in flight, sorted by name, and marks them as being checked.
func (d silenceDetector) beginProbes(now monotonic.Micros) (silent []*pendingResponses) {
	for _, proxy := range slices.Sorted(maps.Keys(d.pending)) {
		pending := d.pending[proxy]
		if now-pending.since >= d.timeout && !pending.probing {
			pending.probing = true
			silent = append(silent, pending)
		}
	}
	return silent
}

// endProbe records the end of a health check. A proxy that passed it is slow but alive, so its silence timeout restarts.
func (p *pendingResponses) endProbe(passed bool, now monotonic.Micros) {
	p.probing = false
	if passed {
		p.since = now
	}
}

// ProbeInterval returns the interval in microseconds at which ProbeSilentProxies must be called.
func (b *Balancer) ProbeInterval() monotonic.Micros { return b.silence.probeInterval() }

// ProbeSilentProxies sends a health check to each proxy that has attempts in flight and has been silent for the silence timeout.
// It doesn't wait for the results. A failed check closes the connection, so that the attempts waiting on it end and can be
// retried long before their deadlines.
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
