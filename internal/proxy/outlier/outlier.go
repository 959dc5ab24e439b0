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
	memory = 8
	// leastFaults is the share of faults below which no backend is an outlier. Four faults in a row reach it. At three, backends that lose
	// one answer in twenty, as half of a service may, were ejected again and again.
	leastFaults = 0.4
	// peersFactor and peersMargin are how much worse than its peers a backend must be: faults that all of them have are
	// the service's, and its guard's business.
	peersFactor, peersMargin = 2, 0.1
	// mostEjected is the part of a service that may be ejected.
	mostEjected = 0.5
	// overdueFactor is how many times its usual time a request may take before that counts as a fault, though it's still under way.
	overdueFactor = 6
	leastOverdue  = 150 * monotonic.Millisecond
	// unknownOverdue holds for requests of a kind that too few were seen of.
	unknownOverdue = monotonic.Second
	// slowFactor is how much slower than its peers a backend must have become for it to be left out by those it can't serve in time.
	slowFactor = 2
	// quickFactor is that below which one that was slow is as quick as its peers again.
	quickFactor = 1.4
	// kindMemory is the number of requests over which a kind's usual time is taken: much longer than a trouble should weigh in it.
	kindMemory, kindEnough = 64, 8
	mostKinds              = 256
	// quicker is the number of requests over which the pace is taken where they were quicker than it: one that has been slow gets few.
	quicker = 3
	// firstGap is the pause between two probes of an ejected backend; it doubles with each that fails, and with each ejection
	// within flapMemory.
	firstGap, mostGap = 500 * monotonic.Millisecond, 2 * monotonic.Second
	flapMemory        = 20 * monotonic.Second
	// wellAfter is the number of good answers in a row after which an ejected backend is taken for well.
	wellAfter = 8
)

// Peers is what the other backends of the service are like, as a caller heard from their gates.
type Peers struct {
	Known   int     // how many there are
	Ejected int     // how many of them are ejected
	Faults  float64 // the middle one's share of faulty answers
	Pace    float64 // the middle one's time for a request, over its usual one
}

// Ask is what a request brings along.
type Ask struct {
	Domain     string // its caller's
	Kind       string
	Aim        monotonic.Micros // what is left of the time in which its answer is wanted; zero if not known
	Repeatable bool
	Insists    bool // it has no other backend left to go to
	Peers      Peers
}

// Outcome is what the end of a request says of its backend.
type Outcome int

// The outcomes. Unknown: nothing; the trouble was the request's, or its own time was too short.
const (
	Unknown Outcome = iota
	Good
	Faulty
)

// Change is what became of a backend's standing; told is for the event.
type Change struct {
	Ejected bool
	Domain  string // empty: for all callers
	Faults  float64
	Times   int // ejections within flapMemory
}

// Detector is one backend's standing.
// Invariants: a request is let in only by Enter, and its visit is closed once; started holds exactly the visits between
// Start and Close; a lane's inside counts the visits that it let in while not well and that are not over; what all callers'
// lane decides holds for each domain's.
type Detector struct {
	all     lane
	domains map[string]*lane
	kinds   map[string]*usual
	pace    float64 // time over the kind's usual one, smoothed
	paced   int
	usual   usual // over all kinds
	slowed  bool  // it was slower than its peers, and isn't as quick as them again
	quick   bool  // it has become so since Quickened was asked
	peers   Peers
	started []*Visit
	probed  monotonic.Micros // when a request that can't be served in time was last let in, to measure
	changes []Change
	// answers and failures are whose the last few were, so that one domain's trouble isn't taken for everybody's.
	answers, failures recent
}

// lane is the standing with the callers of one domain, or with all.
// Invariant: row, gap and next mean something only while ejected; row above zero is the number of requests that may be there at once.
type lane struct {
	domain  string
	faults  float64
	ejected bool
	row     int // good answers in a row to those let in since
	inside  int
	gap     monotonic.Micros
	next    monotonic.Micros // when the next probe may go
	times   int
	last    monotonic.Micros // when it was last ejected
}

type usual struct {
	time float64
	seen int
}

// recent are the domains of the last few.
type recent struct {
	names [memory]string
	count int
}

func (recent *recent) add(domain string) {
	recent.names[recent.count%memory] = domain
	recent.count++
}

// several tells whether the last few were of more than one domain.
func (recent *recent) several(last int) bool {
	last = min(last, recent.count, memory)
	for back := 2; back <= last; back++ {
		if recent.names[(recent.count-back)%memory] != recent.names[(recent.count-1)%memory] {
			return true
		}
	}
	return false
}

// Visit is one request at the backend.
type Visit struct {
	detector *Detector
	lanes    [2]*lane // that let it in while not well
	domain   string
	kind     string
	began    monotonic.Micros
	started  bool
	overdue  bool
	closed   bool
}

// New makes the standing of a backend of which nothing is known: it's well.
func New() *Detector {
	return &Detector{domains: map[string]*lane{}, kinds: map[string]*usual{}, pace: 1, peers: Peers{Pace: 1}}
}

// Enter lets a request in, or tells how long it's of no use to come back.
func (detector *Detector) Enter(now monotonic.Micros, ask Ask) (visit *Visit, wait monotonic.Micros) {
	detector.peers = ask.Peers
	detector.peers.Pace = max(1, ask.Peers.Pace)
	detector.look(now)
	own := detector.lane(ask.Domain)
	lanes := [2]*lane{&detector.all, own}
	if !ask.Insists && detector.bounded() {
		for _, lane := range lanes {
			if wait := lane.closed(now, ask.Repeatable); wait > 0 {
				return nil, wait
			}
		}
		if !detector.all.ejected && !own.ejected && detector.tooSlow(ask) { // else it's a probe, and paced
			if wait := detector.probed + firstGap - now; wait > 0 && detector.probed > 0 {
				return nil, wait
			}
			detector.probed = now
		}
	}
	visit = &Visit{detector: detector, domain: ask.Domain, kind: ask.Kind}
	for index, lane := range lanes {
		if lane.ejected {
			lane.inside++
			visit.lanes[index] = lane
		}
	}
	return visit, 0
}

// bounded tells whether this backend may be left out: others are there, and not too many of the service are left out already.
func (detector *Detector) bounded() bool {
	return Bounded(detector.peers.Known, detector.peers.Ejected)
}

// Bounded tells whether a backend may be left out beside others of which so many are known, and so many left out.
func Bounded(known, ejected int) bool {
	return ejected < known && float64(ejected+1) <= max(1, mostEjected*float64(known+1))
}

func (detector *Detector) lane(domain string) *lane {
	present := detector.domains[domain]
	if present == nil {
		present = &lane{domain: domain}
		detector.domains[domain] = present
	}
	return present
}

// closed is how long no request may come; zero if one may now.
func (lane *lane) closed(now monotonic.Micros, repeatable bool) monotonic.Micros {
	if !lane.ejected || lane.row > 0 && lane.inside < lane.row {
		return 0
	}
	if lane.inside > 0 {
		return lane.gap
	}
	next := lane.next
	if !repeatable {
		next += lane.gap // what can't be sent again is risked only where nothing else comes
	}
	return max(0, next-now)
}

// tooSlow tells whether the backend has become slower than its peers, and too slow to answer this request in the time it's wanted in.
func (detector *Detector) tooSlow(ask Ask) bool {
	known := detector.kinds[ask.Kind]
	return ask.Aim > 0 && known != nil && known.seen >= kindEnough && detector.pace >= slowFactor*detector.peers.Pace &&
		known.time*detector.pace > float64(ask.Aim)
}

// Start notes that the request is being handed over.
func (visit *Visit) Start(now monotonic.Micros) {
	visit.began, visit.started = now, true
	visit.detector.started = append(visit.detector.started, visit)
}

// Close notes the request's end. One that was never handed over says nothing.
func (visit *Visit) Close(now monotonic.Micros, outcome Outcome) {
	if visit.closed {
		return
	}
	visit.closed = true
	detector := visit.detector
	detector.look(now)
	if !visit.started {
		visit.leave()
		return
	}
	place := slices.Index(detector.started, visit)
	detector.started = slices.Delete(detector.started, place, place+1)
	if outcome == Good {
		detector.measure(visit.kind, now-visit.began)
	}
	if !visit.overdue {
		detector.judge(now, visit, outcome)
	}
}

// leave frees what was taken of the lanes that let it in.
func (visit *Visit) leave() {
	for index, lane := range visit.lanes {
		if lane != nil {
			lane.inside--
			visit.lanes[index] = nil
		}
	}
}

// look counts those under way that take far longer than usual as faults.
func (detector *Detector) look(now monotonic.Micros) {
	for _, visit := range detector.started {
		if !visit.overdue && now-visit.began >= detector.patience(visit.kind) {
			visit.overdue = true
			detector.judge(now, visit, Faulty)
		}
	}
}

func (detector *Detector) patience(kind string) monotonic.Micros {
	known := detector.kinds[kind]
	if known == nil || known.seen < kindEnough {
		return unknownOverdue
	}
	return max(leastOverdue, monotonic.Micros(overdueFactor*known.time*detector.peers.Pace))
}

// measure takes the time that a good answer took. A kind's usual time learns little from what is far above it.
func (detector *Detector) measure(kind string, took monotonic.Micros) {
	known := detector.kinds[kind]
	if known == nil {
		if len(detector.kinds) >= mostKinds {
			return
		}
		known = &usual{}
		detector.kinds[kind] = known
	}
	time := float64(took)
	if known.seen >= kindEnough && known.time > 0 {
		detector.paced = min(detector.paced+1, memory)
		weight := float64(max(2, detector.paced))
		if time < detector.pace*known.time {
			weight = min(weight, quicker)
		}
		detector.pace += (time/known.time - detector.pace) / weight
		time = min(time, 2*known.time)
	}
	known.take(time)
	detector.usual.take(time)
	if detector.pace >= slowFactor*detector.peers.Pace {
		detector.slowed = true
	} else if detector.slowed && detector.pace < quickFactor*detector.peers.Pace {
		detector.slowed, detector.quick = false, true
	}
}

func (usual *usual) take(time float64) {
	usual.seen = min(usual.seen+1, kindMemory)
	usual.time += (time - usual.time) / float64(usual.seen)
}

// Quickened tells, once, that the backend was slow and is as quick as its peers again: what was measured of it is no more true.
func (detector *Detector) Quickened() (quick bool) {
	quick, detector.quick = detector.quick, false
	return quick
}

// Usual is the time that its requests usually take; zero if not known.
func (detector *Detector) Usual() monotonic.Micros { return monotonic.Micros(detector.usual.time) }

// judge settles what one request says.
func (detector *Detector) judge(now monotonic.Micros, visit *Visit, outcome Outcome) {
	lanes := visit.lanes
	visit.leave()
	if outcome == Unknown {
		return
	}
	detector.answers.add(visit.domain)
	if outcome == Faulty {
		detector.failures.add(visit.domain)
	}
	threshold := max(leastFaults, peersFactor*detector.peers.Faults+peersMargin)
	everybody := !detector.answers.several(memory) || detector.failures.several(3)
	for index, lane := range []*lane{&detector.all, detector.lane(visit.domain)} {
		lane.faults += (share(outcome == Faulty) - lane.faults) / memory
		switch {
		case lane.ejected && lanes[index] != nil && outcome == Good:
			lane.row++
			if lane.row >= wellAfter {
				lane.ejected, lane.faults = false, 0
				detector.tell(lane)
				if index == 0 {
					detector.clear()
				}
			}
		case lane.ejected && lanes[index] != nil:
			lane.row, lane.gap = 0, min(2*lane.gap, mostGap)
			lane.next = now + lane.gap
		case !lane.ejected && outcome == Faulty && lane.faults >= threshold && detector.bounded() && (index > 0 && !detector.all.ejected || index == 0 && everybody):
			lane.eject(now)
			detector.tell(lane)
		}
	}
}

// clear forgets the faults that each domain's callers saw before the backend was well again for all.
func (detector *Detector) clear() {
	for _, lane := range detector.domains {
		if !lane.ejected {
			lane.faults = 0
		}
	}
}

func (lane *lane) eject(now monotonic.Micros) {
	if lane.times > 0 && now-lane.last >= flapMemory {
		lane.times = 0
	}
	lane.gap = min(firstGap<<min(lane.times, 4), mostGap)
	lane.times++
	lane.ejected, lane.row, lane.last, lane.next = true, 0, now, now+lane.gap
}

func (detector *Detector) tell(lane *lane) {
	detector.changes = append(detector.changes, Change{Ejected: lane.ejected, Domain: lane.domain, Faults: lane.faults, Times: lane.times})
}

func share(one bool) float64 {
	if one {
		return 1
	}
	return 0
}

// Changes gives what became of the standing since the last call.
func (detector *Detector) Changes() []Change {
	changes := detector.changes
	detector.changes = nil
	return changes
}

// Ejected tells whether callers of a domain are kept from it, but for probes.
func (detector *Detector) Ejected(domain string) bool {
	own := detector.domains[domain]
	return detector.all.ejected || own != nil && own.ejected
}

// UsualOf is that of one kind; zero while too few of it were seen.
func (detector *Detector) UsualOf(kind string) monotonic.Micros {
	known := detector.kinds[kind]
	if known == nil || known.seen < kindEnough {
		return 0
	}
	return monotonic.Micros(known.time)
}

// Apart are the domains whose callers alone are kept from it.
func (detector *Detector) Apart() (domains []string) {
	for _, domain := range slices.Sorted(maps.Keys(detector.domains)) {
		if detector.domains[domain].ejected {
			domains = append(domains, domain)
		}
	}
	return domains
}

// Faults is the share of faulty answers to callers of a domain, or to all if that is worse.
func (detector *Detector) Faults(domain string) float64 {
	own := detector.domains[domain]
	if own == nil {
		return detector.all.faults
	}
	return max(detector.all.faults, own.faults)
}

// Pace is the time that requests take over their usual one.
func (detector *Detector) Pace() float64 { return math.Max(0, detector.pace) }
