package forward

import (
	"maps"
	"slices"
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
)

const (
	// shunned is how long a carrier or backend that just failed is only chosen when nothing else is left.
	shunned = 2 * monotonic.Second
	// faultsInRow shun a backend whose answers are broken, late or errors, while others of its service do well.
	faultsInRow = 3
	// usualSilence is how long a carrier may owe answers without giving any before others are chosen first and it's asked for a
	// sign of life, where nothing else is set.
	usualSilence = 700 * monotonic.Millisecond
)

// chooser picks backends: in the own domain first, and beyond it for the part of the load that the own domain's share
// of the backends can't bear.
// Invariants: inFlight counts this carrier's own passes under way, by instance; owing holds a carrier exactly while
// passes to it are under way, and since when it has given no answer; faults counts a backend's faults in a row.
type chooser struct {
	place     host.Host
	domain    string
	blind     bool
	lock      sync.Mutex
	inFlight  map[string]int
	avoided   map[string]monotonic.Micros
	owing     map[string]*debt
	faults    map[string]int
	far       monotonic.Micros
	silence   monotonic.Micros
	sizes     map[string]float64 // mean bytes of a route's requests with their answers
	readings  map[string]*reading
	standings map[string]*standing
	peers     map[string]*peers
	fit       []session.Candidate // room for choose
	worse     []session.Candidate
	scores    []float64
}

type debt struct {
	passes  int
	since   monotonic.Micros
	address string
	asked   bool // a sign of life was asked for and has not come
}

func newChooser(place host.Host, domain string, blind bool, far monotonic.Micros) *chooser {
	return &chooser{place: place, silence: usualSilence, domain: domain, blind: blind, far: far, sizes: map[string]float64{}, readings: map[string]*reading{}, standings: map[string]*standing{}, peers: map[string]*peers{}, inFlight: map[string]int{}, avoided: map[string]monotonic.Micros{}, owing: map[string]*debt{}, faults: map[string]int{}}
}

func (chooser *chooser) shun(name string) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	chooser.avoided[name] = chooser.place.Now() + shunned
}

// judge notes what a backend's answer was worth.
func (chooser *chooser) judge(instance string, faulty bool) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	if !faulty {
		delete(chooser.faults, instance)
		return
	}
	chooser.faults[instance]++
	if chooser.faults[instance] >= faultsInRow {
		delete(chooser.faults, instance)
		chooser.avoided[instance] = chooser.place.Now() + shunned
	}
}

// lookEvery is how often carriers that owe answers are looked at.
func (chooser *chooser) lookEvery() monotonic.Micros {
	return min(200*monotonic.Millisecond, chooser.silence/2)
}

// signTime is what a carrier that lives needs for its sign of life.
const signTime = 50 * monotonic.Millisecond

// mute tells whether a carrier was asked for a sign of life and should have given it by now. One that only has long work isn't.
func (chooser *chooser) mute(carrier string, now monotonic.Micros) bool {
	owed := chooser.owing[carrier]
	return owed != nil && now-owed.since >= chooser.silence+chooser.lookEvery()+signTime
}

// silent tells whether a carrier owes answers for long enough to be asked for a sign of life.
func (chooser *chooser) silent(carrier string, now monotonic.Micros) bool {
	owed := chooser.owing[carrier]
	return owed != nil && now-owed.since >= chooser.silence
}

// quiet lists the carriers that owe answers for too long and were not asked for a sign of life yet, and notes the ask.
func (chooser *chooser) quiet() (found []*debt) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	now := chooser.place.Now()
	for _, carrier := range slices.Sorted(maps.Keys(chooser.owing)) {
		if owed := chooser.owing[carrier]; chooser.silent(carrier, now) && !owed.asked {
			owed.asked = true
			found = append(found, owed)
		}
	}
	return found
}

// lives ends an ask for a sign of life. A carrier that gave one is only slow.
func (chooser *chooser) lives(owed *debt, heard bool) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	owed.asked = false
	if heard {
		owed.since = chooser.place.Now()
	}
}

func (chooser *chooser) shuns(name string, now monotonic.Micros) bool {
	until, present := chooser.avoided[name]
	if present && now >= until {
		delete(chooser.avoided, name)
		return false
	}
	return present
}

const (
	// farPerKilobyte is what each kilobyte of a route's usual request and answer adds to the way to another zone.
	farPerKilobyte = 5 * monotonic.Millisecond
	// farAimShare is the least that the way counts for, as a part of the time in which the route's answers are wanted.
	farAimShare = 0.1
	// heavy is the count from which a route keeps to its own zone as long as a backend is left there.
	heavy = 100 * monotonic.Millisecond
	// sizeMemory is the number of answers over which a route's size is taken.
	sizeMemory = 16
)

// sized notes how many bytes went to and fro for a request of a route.
func (chooser *chooser) sized(route string, bytes int) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	known, present := chooser.sizes[route]
	if !present {
		known = float64(bytes)
	}
	chooser.sizes[route] = known + (float64(bytes)-known)/sizeMemory
}

// bulk is the usual size in bytes from which a route's passes go on a connection of their own.
const bulk = 16 << 10

// bulky tells whether a route's passes do.
func (chooser *chooser) bulky(route string) bool {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	return chooser.sizes[route] >= bulk
}

// distance is what the way to another zone counts for on a route. The lock is held.
func (chooser *chooser) distance(route string, aim monotonic.Micros) monotonic.Micros {
	least := max(chooser.far, monotonic.Micros(farAimShare*float64(aim)))
	return least + monotonic.Micros(chooser.sizes[route]/1024*float64(farPerKilobyte))
}

// atHome leaves only the own zone's candidates where there are any.
func (chooser *chooser) atHome(fit []session.Candidate) []session.Candidate {
	home := slices.DeleteFunc(slices.Clone(fit), func(candidate session.Candidate) bool { return candidate.Domain != chooser.domain })
	if len(home) == 0 {
		return fit
	}
	return home
}

// wish is what is asked of a choice: a backend of a service for a route, none of those to be avoided if another one is left.
type wish struct {
	service, route string
	aim            monotonic.Micros
	avoid          map[string]bool
}

// choose picks a backend of a service; last tells that no other one is left that is fit and not to be avoided. leave must be
// called once the pass is over.
func (chooser *chooser) choose(directory *session.Directory, wish wish) (chosen session.Candidate, last bool, leave func(), fault *apierror.Fault) {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	now := chooser.place.Now()
	all := directory.Candidates[wish.service]
	if len(all) == 0 {
		return session.Candidate{}, true, nil, apierror.New(apierror.NoBackend, apierror.NotRun, "no backend of %s is known", wish.service)
	}
	distance := chooser.distance(wish.route, wish.aim)
	if distance >= heavy && !chooser.blind {
		all = chooser.atHome(slices.DeleteFunc(slices.Clone(all), func(candidate session.Candidate) bool { return chooser.unfit(candidate, now) }))
		if len(all) == 0 {
			all = directory.Candidates[wish.service]
		}
	}
	fit, worse := chooser.fit[:0], chooser.worse[:0]
	for _, candidate := range all {
		if wish.avoid[candidate.Instance] || chooser.unfit(candidate, now) {
			worse = append(worse, candidate)
			continue
		}
		fit = append(fit, candidate)
	}
	chooser.fit, chooser.worse = fit, worse
	last = len(fit) <= 1
	if len(fit) == 0 {
		fit = worse
	}
	if counted(fit) {
		chosen = chooser.soonest(fit, wish.route, now, distance)
	} else {
		chosen = chooser.lighter(chooser.near(directory, fit))
	}
	chooser.inFlight[chosen.Instance]++
	owed := chooser.owing[chosen.Carrier]
	if owed == nil {
		owed = &debt{since: now, address: chosen.Address}
		chooser.owing[chosen.Carrier] = owed
	}
	owed.passes++
	return chosen, last, func() {
		chooser.lock.Lock()
		defer chooser.lock.Unlock()
		if chooser.inFlight[chosen.Instance]--; chooser.inFlight[chosen.Instance] == 0 {
			delete(chooser.inFlight, chosen.Instance)
		}
		owed.since = chooser.place.Now()
		if owed.passes--; owed.passes == 0 {
			delete(chooser.owing, chosen.Carrier)
		}
	}, nil
}

// unfit tells whether a backend failed lately or its carrier is silent.
func (chooser *chooser) unfit(candidate session.Candidate, now monotonic.Micros) bool {
	return chooser.shuns(candidate.Instance, now) || chooser.shuns(candidate.Carrier, now) || chooser.mute(candidate.Carrier, now)
}

// near keeps to the own domain with the probability that makes every backend's load the same: the domain's share of the
// backends over its share of the carriers. The rest goes to domains that have backends to spare.
func (chooser *chooser) near(directory *session.Directory, fit []session.Candidate) []session.Candidate {
	byDomain := map[string][]session.Candidate{}
	for _, candidate := range fit {
		byDomain[candidate.Domain] = append(byDomain[candidate.Domain], candidate)
	}
	own := byDomain[chooser.domain]
	if chooser.blind || len(own) == len(fit) {
		return fit
	}
	spare := func(domain string) float64 {
		backends := float64(len(byDomain[domain])) / float64(len(fit))
		return backends - float64(directory.Carriers[domain])/float64(max(1, directory.Live))
	}
	random := float64(chooser.place.Random()%1000000) / 1000000
	callers := float64(max(1, directory.Carriers[chooser.domain])) / float64(max(1, directory.Live))
	if share := float64(len(own)) / float64(len(fit)); random < share/callers {
		return own
	}
	// Beyond the own domain, each candidate weighs what its domain has to spare.
	var far []session.Candidate
	var weights []float64
	total := 0.0
	for _, candidate := range fit {
		weight := spare(candidate.Domain) / float64(len(byDomain[candidate.Domain]))
		if candidate.Domain == chooser.domain || weight <= 0 {
			continue
		}
		far, weights, total = append(far, candidate), append(weights, weight), total+weight
	}
	if len(far) == 0 {
		return fit
	}
	picks := make([]session.Candidate, 0, 2)
	for len(picks) < 2 {
		point := total * float64(chooser.place.Random()%1000000) / 1000000
		index := 0
		for index < len(weights)-1 && point >= weights[index] {
			point -= weights[index]
			index++
		}
		picks = append(picks, far[index])
	}
	return picks
}

// lighter is the better of two picks.
func (chooser *chooser) lighter(fit []session.Candidate) session.Candidate {
	one := fit[chooser.place.Random()%uint64(len(fit))]
	other := fit[chooser.place.Random()%uint64(len(fit))]
	if chooser.inFlight[other.Instance] < chooser.inFlight[one.Instance] {
		return other
	}
	return one
}
