// Package outlier judges one backend by what comes of the requests that its gate hands it, against what the others of its
// service are like. It's a pure state machine: its owner gives it the time and holds a lock around it.
package outlier

import (
	"maps"
	"math"
	"slices"

	"snowflow/internal/monotonic"
)

const (
	// memory is the number of answers over which the share of faults and the pace are taken, the newest weighing most.
	smoothingWindow = 8
	// minFaultRate is the share of faults below which no backend is an outlier. Four faults in a row reach it. At three, backends that lose
	// one answer in twenty, as half of a service may, were ejected again and again.
	minFaultRate = 0.4
	// peerFaultFactor and peerFaultMargin are how much worse than its peers a backend must be: faults that all of them have are
	// the service's, and its guard's business.
	peerFaultFactor, peerFaultMargin = 2, 0.1
	// maxEjectedShare is the part of a service that may be ejected.
	maxEjectedShare = 0.5
	// overdueFactor is how many times its usual time a request may take before that counts as a fault, though it's still under way.
	overdueFactor = 6
	minOverdue    = 150 * monotonic.Millisecond
	// defaultOverdue holds for requests of a kind that too few were seen of.
	defaultOverdue = monotonic.Second
	// slowFactor is how much slower than its peers a backend must have become for it to be left out by those it can't serve in time.
	slowFactor = 2
	// recoveredFactor is that below which one that was slow is as quick as its peers again.
	recoveredFactor = 1.4
	// baselineWindow is the number of requests over which a kind's usual time is taken: much longer than a trouble should weigh in it.
	baselineWindow, minBaselineSamples = 64, 8
	maxKinds                           = 256
	// quicker is the number of requests over which the pace is taken where they were quicker than it: one that has been slow gets few.
	fasterSmoothingWindow = 3
	// initialProbeInterval is the pause between two probes of an ejected backend; it doubles with each that fails, and with each ejection
	// within flapWindow.
	initialProbeInterval, maxProbeInterval = 500 * monotonic.Millisecond, 2 * monotonic.Second
	flapWindow                             = 20 * monotonic.Second
	// successesToReinstate is the number of good answers in a row after which an ejected backend is taken for well.
	successesToReinstate = 8
)

// Peers is what the other backends of the service are like, as a caller heard from their gates.
type Peers struct {
	Known        int     // how many there are
	Ejected      int     // how many of them are ejected
	FaultRate    float64 // the middle one's share of faulty answers
	LatencyRatio float64 // the middle one's time for a request, over its usual one
}

// RequestInfo is what a request brings along.
type RequestInfo struct {
	Domain        string // its caller's
	Kind          string
	LatencyTarget monotonic.Micros // what is left of the time in which its answer is wanted; zero if not known
	Idempotent    bool
	NoAlternative bool // it has no other backend left to go to
	Peers         Peers
}

// Outcome is what the end of a request says of its backend.
type Outcome int

// The outcomes. Unknown: nothing; the trouble was the request's, or its own time was too short.
const (
	Unknown Outcome = iota
	Success
	Failure
)

// Change is what became of a backend's standing; told is for the event.
type Change struct {
	Ejected         bool
	Domain          string // empty: for all callers
	FaultRate       float64
	RecentEjections int // ejections within flapWindow
}

// Detector is one backend's standing.
// Invariants: a request is let in only by Enter, and its visit is closed once; started holds exactly the visits between
// Start and Close; a lane's inside counts the visits that it let in while not well and that are not over; what all callers'
// lane decides holds for each domain's.
type Detector struct {
	global         ejection
	domains        map[string]*ejection
	baselines      map[string]*latencyBaseline
	latencyRatio   float64 // time over the kind's usual one, smoothed
	latencySamples int
	baseline       latencyBaseline // over all kinds
	slow           bool            // it was slower than its peers, and isn't as quick as them again
	recovered      bool            // it has become so since Quickened was asked
	peers          Peers
	inFlight       []*Call
	slowProbedAt   monotonic.Micros // when a request that can't be served in time was last let in, to measure
	changes        []Change
	// answers and failures are whose the last few were, so that one domain's trouble isn't taken for everybody's.
	recentAnswers, recentFailures recentDomains
}

// lane is the standing with the callers of one domain, or with all.
// Invariant: row, gap and next mean something only while ejected; row above zero is the number of requests that may be there at once.
type ejection struct {
	domain               string
	faultRate            float64
	ejected              bool
	consecutiveSuccesses int // good answers in a row to those let in since
	probesInFlight       int
	probeInterval        monotonic.Micros
	nextProbeAt          monotonic.Micros // when the next probe may go
	recentEjections      int
	lastEjectedAt        monotonic.Micros // when it was last ejected
}

type latencyBaseline struct {
	mean    float64
	samples int
}

// recent are the domains of the last few.
type recentDomains struct {
	names [smoothingWindow]string
	count int
}

func (r *recentDomains) add(domain string) {
	r.names[r.count%smoothingWindow] = domain
	r.count++
}

// several tells whether the last few were of more than one domain.
func (r *recentDomains) spansDomains(last int) bool {
	last = min(last, r.count, smoothingWindow)
	for back := 2; back <= last; back++ {
		if r.names[(r.count-back)%smoothingWindow] != r.names[(r.count-1)%smoothingWindow] {
			return true
		}
	}
	return false
}

// Call is one request at the backend.
type Call struct {
	detector  *Detector
	ejections [2]*ejection // that let it in while not well
	domain    string
	kind      string
	startedAt monotonic.Micros
	started   bool
	overdue   bool
	closed    bool
}

// New makes the standing of a backend of which nothing is known: it's well.
func New() *Detector {
	return &Detector{domains: map[string]*ejection{}, baselines: map[string]*latencyBaseline{}, latencyRatio: 1, peers: Peers{LatencyRatio: 1}}
}

// Admit lets a request in, or tells how long it's of no use to come back.
func (d *Detector) Admit(now monotonic.Micros, request RequestInfo) (call *Call, wait monotonic.Micros) {
	d.peers = request.Peers
	d.peers.LatencyRatio = max(1, request.Peers.LatencyRatio)
	d.countOverdue(now)
	domainEjection := d.domainEjection(request.Domain)
	ejections := [2]*ejection{&d.global, domainEjection}
	if !request.NoAlternative && d.mayBeEjected() {
		for _, ejection := range ejections {
			if wait := ejection.untilNextProbe(now, request.Idempotent); wait > 0 {
				return nil, wait
			}
		}
		if !d.global.ejected && !domainEjection.ejected && d.missesLatencyTarget(request) { // else it's a probe, and paced
			if wait := d.slowProbedAt + initialProbeInterval - now; wait > 0 && d.slowProbedAt > 0 {
				return nil, wait
			}
			d.slowProbedAt = now
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

// bounded tells whether this backend may be left out: others are there, and not too many of the service are left out already.
func (d *Detector) mayBeEjected() bool {
	return MayEject(d.peers.Known, d.peers.Ejected)
}

// MayEject tells whether a backend may be left out beside others of which so many are known, and so many left out.
func MayEject(known, ejected int) bool {
	return ejected < known && float64(ejected+1) <= max(1, maxEjectedShare*float64(known+1))
}

func (d *Detector) domainEjection(domain string) *ejection {
	existing := d.domains[domain]
	if existing == nil {
		existing = &ejection{domain: domain}
		d.domains[domain] = existing
	}
	return existing
}

// closed is how long no request may come; zero if one may now.
func (e *ejection) untilNextProbe(now monotonic.Micros, idempotent bool) monotonic.Micros {
	if !e.ejected || e.consecutiveSuccesses > 0 && e.probesInFlight < e.consecutiveSuccesses {
		return 0
	}
	if e.probesInFlight > 0 {
		return e.probeInterval
	}
	next := e.nextProbeAt
	if !idempotent {
		next += e.probeInterval // what can't be sent again is risked only where nothing else comes
	}
	return max(0, next-now)
}

// missesLatencyTarget tells whether the backend has become slower than its peers, and too slow to answer this request in the time it's wanted in.
func (d *Detector) missesLatencyTarget(request RequestInfo) bool {
	baseline := d.baselines[request.Kind]
	return request.LatencyTarget > 0 && baseline != nil && baseline.samples >= minBaselineSamples && d.latencyRatio >= slowFactor*d.peers.LatencyRatio &&
		baseline.mean*d.latencyRatio > float64(request.LatencyTarget)
}

// Start notes that the request is being handed over.
func (c *Call) Start(now monotonic.Micros) {
	c.startedAt, c.started = now, true
	c.detector.inFlight = append(c.detector.inFlight, c)
}

// Close notes the request's end. One that was never handed over says nothing.
func (c *Call) Close(now monotonic.Micros, outcome Outcome) {
	if c.closed {
		return
	}
	c.closed = true
	d := c.detector
	d.countOverdue(now)
	if !c.started {
		c.releaseProbes()
		return
	}
	position := slices.Index(d.inFlight, c)
	d.inFlight = slices.Delete(d.inFlight, position, position+1)
	if outcome == Success {
		d.observeLatency(c.kind, now-c.startedAt)
	}
	if !c.overdue {
		d.recordOutcome(now, c, outcome)
	}
}

// leave frees what was taken of the lanes that let it in.
func (c *Call) releaseProbes() {
	for index, ejection := range c.ejections {
		if ejection != nil {
			ejection.probesInFlight--
			c.ejections[index] = nil
		}
	}
}

// look counts those under way that take far longer than usual as faults.
func (d *Detector) countOverdue(now monotonic.Micros) {
	for _, call := range d.inFlight {
		if !call.overdue && now-call.startedAt >= d.overdueTimeout(call.kind) {
			call.overdue = true
			d.recordOutcome(now, call, Failure)
		}
	}
}

func (d *Detector) overdueTimeout(kind string) monotonic.Micros {
	baseline := d.baselines[kind]
	if baseline == nil || baseline.samples < minBaselineSamples {
		return defaultOverdue
	}
	return max(minOverdue, monotonic.Micros(overdueFactor*baseline.mean*d.peers.LatencyRatio))
}

// measure takes the time that a good answer took. A kind's usual time learns little from what is far above it.
func (d *Detector) observeLatency(kind string, elapsed monotonic.Micros) {
	baseline := d.baselines[kind]
	if baseline == nil {
		if len(d.baselines) >= maxKinds {
			return
		}
		baseline = &latencyBaseline{}
		d.baselines[kind] = baseline
	}
	time := float64(elapsed)
	if baseline.samples >= minBaselineSamples && baseline.mean > 0 {
		d.latencySamples = min(d.latencySamples+1, smoothingWindow)
		weight := float64(max(2, d.latencySamples))
		if time < d.latencyRatio*baseline.mean {
			weight = min(weight, fasterSmoothingWindow)
		}
		d.latencyRatio += (time/baseline.mean - d.latencyRatio) / weight
		time = min(time, 2*baseline.mean)
	}
	baseline.observe(time)
	d.baseline.observe(time)
	if d.latencyRatio >= slowFactor*d.peers.LatencyRatio {
		d.slow = true
	} else if d.slow && d.latencyRatio < recoveredFactor*d.peers.LatencyRatio {
		d.slow, d.recovered = false, true
	}
}

func (b *latencyBaseline) observe(time float64) {
	b.samples = min(b.samples+1, baselineWindow)
	b.mean += (time - b.mean) / float64(b.samples)
}

// TakeRecovered tells, once, that the backend was slow and is as quick as its peers again: what was measured of it is no more true.
func (d *Detector) TakeRecovered() (recovered bool) {
	recovered, d.recovered = d.recovered, false
	return recovered
}

// BaselineLatency is the time that its requests usually take; zero if not known.
func (d *Detector) BaselineLatency() monotonic.Micros { return monotonic.Micros(d.baseline.mean) }

// judge settles what one request says.
func (d *Detector) recordOutcome(now monotonic.Micros, call *Call, outcome Outcome) {
	ejections := call.ejections
	call.releaseProbes()
	if outcome == Unknown {
		return
	}
	d.recentAnswers.add(call.domain)
	if outcome == Failure {
		d.recentFailures.add(call.domain)
	}
	threshold := max(minFaultRate, peerFaultFactor*d.peers.FaultRate+peerFaultMargin)
	affectsAll := !d.recentAnswers.spansDomains(smoothingWindow) || d.recentFailures.spansDomains(3)
	for index, ejection := range []*ejection{&d.global, d.domainEjection(call.domain)} {
		ejection.faultRate += (indicator(outcome == Failure) - ejection.faultRate) / smoothingWindow
		switch {
		case ejection.ejected && ejections[index] != nil && outcome == Success:
			ejection.consecutiveSuccesses++
			if ejection.consecutiveSuccesses >= successesToReinstate {
				ejection.ejected, ejection.faultRate = false, 0
				d.recordChange(ejection)
				if index == 0 {
					d.resetDomainFaultRates()
				}
			}
		case ejection.ejected && ejections[index] != nil:
			ejection.consecutiveSuccesses, ejection.probeInterval = 0, min(2*ejection.probeInterval, maxProbeInterval)
			ejection.nextProbeAt = now + ejection.probeInterval
		case !ejection.ejected && outcome == Failure && ejection.faultRate >= threshold && d.mayBeEjected() && (index > 0 && !d.global.ejected || index == 0 && affectsAll):
			ejection.eject(now)
			d.recordChange(ejection)
		}
	}
}

// clear forgets the faults that each domain's callers saw before the backend was well again for all.
func (d *Detector) resetDomainFaultRates() {
	for _, ejection := range d.domains {
		if !ejection.ejected {
			ejection.faultRate = 0
		}
	}
}

func (e *ejection) eject(now monotonic.Micros) {
	if e.recentEjections > 0 && now-e.lastEjectedAt >= flapWindow {
		e.recentEjections = 0
	}
	e.probeInterval = min(initialProbeInterval<<min(e.recentEjections, 4), maxProbeInterval)
	e.recentEjections++
	e.ejected, e.consecutiveSuccesses, e.lastEjectedAt, e.nextProbeAt = true, 0, now, now+e.probeInterval
}

func (d *Detector) recordChange(ejection *ejection) {
	d.changes = append(d.changes, Change{Ejected: ejection.ejected, Domain: ejection.domain, FaultRate: ejection.faultRate, RecentEjections: ejection.recentEjections})
}

func indicator(one bool) float64 {
	if one {
		return 1
	}
	return 0
}

// TakeChanges gives what became of the standing since the last call.
func (d *Detector) TakeChanges() []Change {
	changes := d.changes
	d.changes = nil
	return changes
}

// Ejected tells whether callers of a domain are kept from it, but for probes.
func (d *Detector) Ejected(domain string) bool {
	ejection := d.domains[domain]
	return d.global.ejected || ejection != nil && ejection.ejected
}

// BaselineLatencyOf is that of one kind; zero while too few of it were seen.
func (d *Detector) BaselineLatencyOf(kind string) monotonic.Micros {
	baseline := d.baselines[kind]
	if baseline == nil || baseline.samples < minBaselineSamples {
		return 0
	}
	return monotonic.Micros(baseline.mean)
}

// EjectedDomains are the domains whose callers alone are kept from it.
func (d *Detector) EjectedDomains() (domains []string) {
	for _, domain := range slices.Sorted(maps.Keys(d.domains)) {
		if d.domains[domain].ejected {
			domains = append(domains, domain)
		}
	}
	return domains
}

// FaultRate is the share of faulty answers to callers of a domain, or to all if that is worse.
func (d *Detector) FaultRate(domain string) float64 {
	ejection := d.domains[domain]
	if ejection == nil {
		return d.global.faultRate
	}
	return max(d.global.faultRate, ejection.faultRate)
}

// LatencyRatio is the time that requests take over their usual one.
func (d *Detector) LatencyRatio() float64 { return math.Max(0, d.latencyRatio) }
