package outlier

import (
	"maps"
	"math"
	"slices"

	"snowflow/internal/monotonic"
)

const (
	// smoothingWindow is the number of responses over which the fault rate and the latency ratio are smoothed. The newest
	// response has the largest weight.
	smoothingWindow = 8
	// minFaultRate is the fault rate below which no backend is ejected. Four consecutive failures reach it. A lower value, which
	// three reach, repeatedly ejected backends that fail one request in twenty; up to half of a service's backends may fail so often.
	minFaultRate = 0.4
	// peerFaultFactor and peerFaultMargin define how far a backend's fault rate must exceed that of its peers. Faults that all
	// backends share are faults of the service, which its circuit breaker handles.
	peerFaultFactor, peerFaultMargin = 2, 0.1
	// maxEjectedShare is the largest share of a service's backends that may be ejected.
	maxEjectedShare = 0.5
	// minGlobalFailures is the number of most recent failures that must include several domains for an ejection for all
	// callers.
	minGlobalFailures = 3
)

// Peers holds statistics of the other backends of the service, as their proxies reported them to the caller.
type Peers struct {
	Known        int     // number of other backends
	Ejected      int     // number of them that are ejected
	FaultRate    float64 // median share of failed requests
	LatencyRatio float64 // median ratio of the current latency to the baseline latency
}

// RequestInfo describes a request.
type RequestInfo struct {
	Domain string // failure domain of the caller
	Kind   string // class of requests with similar latency
	// LatencyTarget is the time left in which to meet the response's latency target, in microseconds; 0 if unknown.
	LatencyTarget monotonic.Micros
	Idempotent    bool
	NoAlternative bool // no other backend can take the request
	Peers         Peers
}

// Outcome classifies the end of a request by what it says about the backend.
type Outcome int

const (
	// Unknown isn't counted: the request was at fault, or its deadline was too short.
	Unknown Outcome = iota
	// Success is a valid response in time.
	Success
	// Failure is an error, an invalid response or no response.
	Failure
)

// Change describes an ejection or a reinstatement, to be reported as an event.
type Change struct {
	Ejected         bool
	Domain          string // empty for all callers
	FaultRate       float64
	RecentEjections int // consecutive ejections that each began within flapWindow of the one before
}

// Detector tracks the failures and the latency of one backend. It isn't safe for concurrent use.
//
// Invariants: each Call returned by Admit is closed. calls holds exactly the calls between Start and Close. An ejection's
// probesInFlight counts the open calls that probe it. An ejection for all callers applies to the callers of each domain.
type Detector struct {
	global  ejection             // for all callers
	domains map[string]*ejection // by failure domain of the callers
	latency latencyTracker
	peers   Peers   // from the last request
	calls   []*Call // in flight
	changes []Change
	// recentResponses and recentFailures hold the callers' domains of the most recent responses and failures, so that a fault
	// in one domain isn't taken for one that affects all callers.
	recentResponses, recentFailures recentDomains
}

// New returns a detector for a backend that has received no requests yet and isn't ejected.
func New() *Detector {
	return &Detector{domains: map[string]*ejection{}, latency: newLatencyTracker(), peers: Peers{LatencyRatio: 1}}
}

// Admit admits a request, or returns a nil call and the Retry-After in microseconds. It first counts overdue calls in flight as
// failures, which may eject the backend.
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
			call.probedEjections[index] = ejection
		}
	}
	return call, 0
}

// wait returns how long a request must wait before it may be admitted; 0 if it is admitted now.
func (d *Detector) wait(now monotonic.Micros, request RequestInfo, ejections [2]*ejection) monotonic.Micros {
	ejected := false
	for _, ejection := range ejections {
		if wait := ejection.untilNextProbe(now, request.Idempotent); wait > 0 {
			return wait
		}
		ejected = ejected || ejection.ejected
	}
	if ejected {
		return 0 // a probe: probes are limited by the ejection, not by their latency
	}
	return d.latency.wait(now, request, d.peers.LatencyRatio)
}

// ejectionsFor returns the two ejections that apply to a domain's callers: the one for all callers and the domain's own.
func (d *Detector) ejectionsFor(domain string) [2]*ejection {
	own := d.domains[domain]
	if own == nil {
		own = &ejection{domain: domain}
		d.domains[domain] = own
	}
	return [2]*ejection{&d.global, own}
}

func (d *Detector) mayBeEjected() bool { return MayEject(d.peers.Known, d.peers.Ejected) }

// MayEject reports whether a backend may be ejected when the service has known other backends, of which ejected are ejected
// already.
func MayEject(known, ejected int) bool {
	return ejected < known && float64(ejected+1) <= max(1, maxEjectedShare*float64(known+1))
}

// countOverdue counts the calls in flight that have exceeded their overdue timeout as failures.
func (d *Detector) countOverdue(now monotonic.Micros) {
	for _, call := range d.calls {
		if !call.overdue && now-call.startedAt >= d.latency.overdueTimeout(call.kind, d.peers.LatencyRatio) {
			call.overdue = true
			d.recordOutcome(now, call, Failure)
		}
	}
}

// recordOutcome counts the outcome of one call. It may eject the backend, reinstate it or postpone its next probe.
func (d *Detector) recordOutcome(now monotonic.Micros, call *Call, outcome Outcome) {
	probed := call.probedEjections
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

// isOutlier reports whether the fault rate exceeds that of the peers far enough for an ejection, and an ejection is allowed.
func (d *Detector) isOutlier(ejection *ejection) bool {
	threshold := max(minFaultRate, peerFaultFactor*d.peers.FaultRate+peerFaultMargin)
	return ejection.faultRate >= threshold && d.mayBeEjected()
}

// recordProbeSuccess reinstates the backend after enough consecutive successful probes.
func (d *Detector) recordProbeSuccess(ejection *ejection) {
	if !ejection.recordProbeSuccess() {
		return
	}
	d.recordChange(ejection)
	if ejection == &d.global {
		d.resetDomainFaultRates()
	}
}

// resetDomainFaultRates clears the fault rates that the domains collected before the backend was reinstated for all callers.
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

// Ejected reports whether the backend is ejected for the callers of a domain, from which it then receives only probes.
func (d *Detector) Ejected(domain string) bool {
	own := d.domains[domain]
	return d.global.ejected || own != nil && own.ejected
}

// EjectedDomains returns the sorted names of the domains that have an ejection of their own.
func (d *Detector) EjectedDomains() (domains []string) {
	for _, domain := range slices.Sorted(maps.Keys(d.domains)) {
		if d.domains[domain].ejected {
			domains = append(domains, domain)
		}
	}
	return domains
}

// FaultRate returns the smoothed share of failed requests of a domain's callers, or of all callers if that is higher.
func (d *Detector) FaultRate(domain string) float64 {
	own := d.domains[domain]
	if own == nil {
		return d.global.faultRate
	}
	return max(d.global.faultRate, own.faultRate)
}

// LatencyRatio returns the smoothed ratio of the current latency to the baseline latency.
func (d *Detector) LatencyRatio() float64 { return math.Max(0, d.latency.ratio) }

// TakeRecovered reports once that the backend was slow and is now as fast as its peers again. Earlier measurements of the
// backend no longer apply then.
func (d *Detector) TakeRecovered() bool { return d.latency.takeRecovered() }

// BaselineLatency returns the usual latency of a request in microseconds; 0 if unknown.
func (d *Detector) BaselineLatency() monotonic.Micros { return monotonic.Micros(d.latency.all.mean) }

// BaselineLatencyOf returns the usual latency of a request of one kind in microseconds; 0 while there are too few samples.
func (d *Detector) BaselineLatencyOf(kind string) monotonic.Micros {
	baseline := d.latency.baseline(kind)
	if baseline == nil {
		return 0
	}
	return monotonic.Micros(baseline.mean)
}
