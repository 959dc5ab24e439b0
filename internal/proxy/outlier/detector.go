package outlier

import (
	"maps"
	"math"
	"slices"

	"snowflow/internal/monotonic"
)

const (
	// smoothingWindow is the number of responses over which the fault rate and the latency ratio are smoothed, the newest
	// weighing most.
	smoothingWindow = 8
	// minFaultRate is the fault rate below which no backend is ejected. Four failures in a row reach it. At three, backends
	// that fail one request in twenty, as half of a service may, were ejected again and again.
	minFaultRate = 0.4
	// peerFaultFactor and peerFaultMargin are how much worse than its peers a backend must be. Faults that all backends have
	// are the service's, and for its breaker to handle.
	peerFaultFactor, peerFaultMargin = 2, 0.1
	// maxEjectedShare is the share of a service's backends that may be ejected.
	maxEjectedShare = 0.5
	// minGlobalFailures is the number of last failures that must be of several domains for an ejection for all callers.
	minGlobalFailures = 3
)

// Peers are statistics of the other backends of the service, from what their proxies reported to the caller.
type Peers struct {
	Known        int     // how many there are
	Ejected      int     // how many of them are ejected
	FaultRate    float64 // median share of failed requests
	LatencyRatio float64 // median of the time of a request over its usual time
}

// RequestInfo describes a request.
type RequestInfo struct {
	Domain string // failure domain of the caller
	Kind   string // requests of a kind usually take the same time
	// LatencyTarget is the rest of the time within which the response is wanted, in microseconds; 0 if that isn't known.
	LatencyTarget monotonic.Micros
	Idempotent    bool
	NoAlternative bool // the request has no other backend to go to
	Peers         Peers
}

// Outcome is how a request ended, as evidence on its backend.
type Outcome int

const (
	// Unknown isn't counted: the fault was the request's, or its time was too short.
	Unknown Outcome = iota
	// Success is a response in time.
	Success
	// Failure is an error, a broken response or none.
	Failure
)

// Change is an ejection or a reinstatement, for an event.
type Change struct {
	Ejected         bool
	Domain          string // empty for all callers
	FaultRate       float64
	RecentEjections int // ejections of which each followed the one before within flapWindow
}

// Detector judges one backend. It isn't safe for concurrent use.
//
// Invariants: each Call of Admit is closed once. calls holds exactly the calls between Start and Close. An ejection's
// probesInFlight counts the calls that are probes of it and aren't closed. An ejection for all callers holds for each domain.
type Detector struct {
	global  ejection
	domains map[string]*ejection
	latency latencyTracker
	peers   Peers   // as the last request brought them
	calls   []*Call // in flight
	changes []Change
	// recentResponses and recentFailures are the domains of the callers of the last few, so that one domain's fault isn't
	// taken for a fault for all callers.
	recentResponses, recentFailures recentDomains
}

// New returns the detector of a backend without any calls: it isn't ejected.
func New() *Detector {
	return &Detector{domains: map[string]*ejection{}, latency: newLatencyTracker(), peers: Peers{LatencyRatio: 1}}
}

// Admit admits a request, or returns a nil call and the Retry-After in microseconds. It first counts the calls in flight that
// are overdue as failures, which may eject the backend.
func (d *Detector) Admit(now monotonic.Micros, request RequestInfo) (call *Call, wait monotonic.Micros) {
	d.peers = request.Peers
	d.peers.LatencyRatio = max(1, request.Peers.LatencyRatio)
	d.countOverdue(now)
	ejections := d.ejectionsFor(request.Domain)
	if !request.NoAlternative && d.mayBeEjected() {
		if wait := d.wait(now, request, ejections); wait > 0 {
			return nil, wait
		}
	}
	call = &Call{detector: d, domain: request.Domain, kind: request.Kind}
	for index, ejection := range ejections {
		if ejection.ejected {
			ejection.probesInFlight++
			call.ejections[index] = ejection
		}
	}
	return call, 0
}

// wait is for how long a request isn't admitted; 0 if it is.
func (d *Detector) wait(now monotonic.Micros, request RequestInfo, ejections [2]*ejection) monotonic.Micros {
	ejected := false
	for _, ejection := range ejections {
		if wait := ejection.untilNextProbe(now, request.Idempotent); wait > 0 {
			return wait
		}
		ejected = ejected || ejection.ejected
	}
	if ejected {
		return 0 // a probe, and limited as such
	}
	return d.latency.wait(now, request, d.peers.LatencyRatio)
}

// ejectionsFor returns what decides on a domain's callers: the ejection for all callers and the domain's own.
func (d *Detector) ejectionsFor(domain string) [2]*ejection {
	own := d.domains[domain]
	if own == nil {
		own = &ejection{domain: domain}
		d.domains[domain] = own
	}
	return [2]*ejection{&d.global, own}
}

func (d *Detector) mayBeEjected() bool { return MayEject(d.peers.Known, d.peers.Ejected) }

// MayEject reports whether a backend may be ejected beside others, of which known are there and ejected are ejected already.
func MayEject(known, ejected int) bool {
	return ejected < known && float64(ejected+1) <= max(1, maxEjectedShare*float64(known+1))
}

// countOverdue counts the calls in flight that take far longer than usual as failures.
func (d *Detector) countOverdue(now monotonic.Micros) {
	for _, call := range d.calls {
		if !call.overdue && now-call.startedAt >= d.latency.overdueTimeout(call.kind, d.peers.LatencyRatio) {
			call.overdue = true
			d.recordOutcome(now, call, Failure)
		}
	}
}

// recordOutcome counts the outcome of one call. It may eject the backend, reinstate it, or put its next probe off.
func (d *Detector) recordOutcome(now monotonic.Micros, call *Call, outcome Outcome) {
	probed := call.ejections
	call.releaseProbes()
	if outcome == Unknown {
		return
	}
	d.recentResponses.add(call.domain)
	if outcome == Failure {
		d.recentFailures.add(call.domain)
	}
	affectsAll := !d.recentResponses.includeSeveral(smoothingWindow) || d.recentFailures.includeSeveral(minGlobalFailures)
	for index, ejection := range d.ejectionsFor(call.domain) {
		ejection.observe(outcome)
		switch {
		case ejection.ejected && probed[index] == nil: // the call began before the ejection
		case ejection.ejected && outcome == Success:
			d.recordProbeSuccess(ejection)
		case ejection.ejected:
			ejection.recordProbeFailure(now)
		case outcome == Success:
		case ejection == &d.global && !affectsAll, ejection != &d.global && d.global.ejected:
		case d.isOutlier(ejection):
			ejection.eject(now)
			d.recordChange(ejection)
		}
	}
}

// isOutlier reports whether the fault rate is so high above the peers' that the backend is to be ejected, and it may be.
func (d *Detector) isOutlier(ejection *ejection) bool {
	threshold := max(minFaultRate, peerFaultFactor*d.peers.FaultRate+peerFaultMargin)
	return ejection.faultRate >= threshold && d.mayBeEjected()
}

// recordProbeSuccess reinstates the backend after enough successful probes in a row.
func (d *Detector) recordProbeSuccess(ejection *ejection) {
	if !ejection.recordProbeSuccess() {
		return
	}
	d.recordChange(ejection)
	if ejection == &d.global {
		d.resetDomainFaultRates()
	}
}

// resetDomainFaultRates forgets the failures that each domain's callers saw before the backend was reinstated for all.
func (d *Detector) resetDomainFaultRates() {
	for _, ejection := range d.domains {
		if !ejection.ejected {
			ejection.faultRate = 0
		}
	}
}

func (d *Detector) recordChange(ejection *ejection) {
	d.changes = append(d.changes, Change{
		Ejected:         ejection.ejected,
		Domain:          ejection.domain,
		FaultRate:       ejection.faultRate,
		RecentEjections: ejection.recentEjections,
	})
}

// TakeChanges returns the ejections and reinstatements since the last call.
func (d *Detector) TakeChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// Ejected reports whether the backend is ejected for a domain's callers, who then only send probes.
func (d *Detector) Ejected(domain string) bool {
	own := d.domains[domain]
	return d.global.ejected || own != nil && own.ejected
}

// EjectedDomains lists the domains for whose callers alone the backend is ejected, in order.
func (d *Detector) EjectedDomains() (domains []string) {
	for _, domain := range slices.Sorted(maps.Keys(d.domains)) {
		if d.domains[domain].ejected {
			domains = append(domains, domain)
		}
	}
	return domains
}

// FaultRate is the share of failed requests of a domain's callers, or of all callers if that is higher.
func (d *Detector) FaultRate(domain string) float64 {
	own := d.domains[domain]
	if own == nil {
		return d.global.faultRate
	}
	return max(d.global.faultRate, own.faultRate)
}

// LatencyRatio is the time of requests over their usual time, smoothed.
func (d *Detector) LatencyRatio() float64 { return math.Max(0, d.latency.ratio) }

// TakeRecovered reports, once, that the backend was slow and is as fast as its peers again: what was measured of it before no
// longer holds.
func (d *Detector) TakeRecovered() bool { return d.latency.takeRecovered() }

// BaselineLatency is the usual time of a request in microseconds; 0 if it isn't known.
func (d *Detector) BaselineLatency() monotonic.Micros { return monotonic.Micros(d.latency.all.mean) }

// BaselineLatencyOf is the usual time of a request of one kind in microseconds; 0 while too few were seen.
func (d *Detector) BaselineLatencyOf(kind string) monotonic.Micros {
	baseline := d.latency.baseline(kind)
	if baseline == nil {
		return 0
	}
	return monotonic.Micros(baseline.mean)
}
