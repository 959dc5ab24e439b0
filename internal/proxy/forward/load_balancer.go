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
	avoidDuration = 2 * monotonic.Second
	// maxConsecutiveFaults shun a backend whose answers are broken, late or errors, while others of its service do well.
	maxConsecutiveFaults = 3
	// defaultSilenceTimeout is how long a carrier may owe answers without giving any before others are chosen first and it's asked for a
	// sign of life, where nothing else is set.
	defaultSilenceTimeout = 700 * monotonic.Millisecond
)

// chooser picks backends: in the own domain first, and beyond it for the part of the load that the own domain's share
// of the backends can't bear.
// Invariants: inFlight counts this carrier's own passes under way, by instance; owing holds a carrier exactly while
// passes to it are under way, and since when it has given no answer; faults counts a backend's faults in a row.
type loadBalancer struct {
	host               host.Host
	domain             string
	ignoreDomains      bool
	mu                 sync.Mutex
	inFlight           map[string]int
	avoidedUntil       map[string]monotonic.Micros
	pendingByProxy     map[string]*pendingResponses
	consecutiveFaults  map[string]int
	crossDomainPenalty monotonic.Micros
	silenceTimeout     monotonic.Micros
	routeBytes         map[string]float64 // mean bytes of a route's requests with their answers
	loadReports        map[string]*loadReport
	healthReports      map[string]*healthReport
	peerSummaries      map[string]*peerSummary
	eligibleBuffer     []session.Candidate // room for choose
	ineligibleBuffer   []session.Candidate
	scoreBuffer        []float64
}

type pendingResponses struct {
	requests int
	since    monotonic.Micros
	address  string
	probed   bool // a sign of life was asked for and has not come
}

func newLoadBalancer(node host.Host, domain string, ignoreDomains bool, crossDomainPenalty monotonic.Micros) *loadBalancer {
	return &loadBalancer{host: node, silenceTimeout: defaultSilenceTimeout, domain: domain, ignoreDomains: ignoreDomains, crossDomainPenalty: crossDomainPenalty, routeBytes: map[string]float64{}, loadReports: map[string]*loadReport{}, healthReports: map[string]*healthReport{}, peerSummaries: map[string]*peerSummary{}, inFlight: map[string]int{}, avoidedUntil: map[string]monotonic.Micros{}, pendingByProxy: map[string]*pendingResponses{}, consecutiveFaults: map[string]int{}}
}

func (b *loadBalancer) markUnavailable(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoidedUntil[name] = b.host.Now() + avoidDuration
}

// judge notes what a backend's answer was worth.
func (b *loadBalancer) observeOutcome(instance string, faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !faulty {
		delete(b.consecutiveFaults, instance)
		return
	}
	b.consecutiveFaults[instance]++
	if b.consecutiveFaults[instance] >= maxConsecutiveFaults {
		delete(b.consecutiveFaults, instance)
		b.avoidedUntil[instance] = b.host.Now() + avoidDuration
	}
}

// probeInterval is how often carriers that owe answers are looked at.
func (b *loadBalancer) probeInterval() monotonic.Micros {
	return min(200*monotonic.Millisecond, b.silenceTimeout/2)
}

// probeResponseTime is what a carrier that lives needs for its sign of life.
const probeResponseTime = 50 * monotonic.Millisecond

// mute tells whether a carrier was asked for a sign of life and should have given it by now. One that only has long work isn't.
func (b *loadBalancer) isUnresponsive(proxyName string, now monotonic.Micros) bool {
	pending := b.pendingByProxy[proxyName]
	return pending != nil && now-pending.since >= b.silenceTimeout+b.probeInterval()+probeResponseTime
}

// silent tells whether a carrier owes answers for long enough to be asked for a sign of life.
func (b *loadBalancer) isSilent(proxyName string, now monotonic.Micros) bool {
	pending := b.pendingByProxy[proxyName]
	return pending != nil && now-pending.since >= b.silenceTimeout
}

// quiet lists the carriers that owe answers for too long and were not asked for a sign of life yet, and notes the ask.
func (b *loadBalancer) beginProbes() (found []*pendingResponses) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.host.Now()
	for _, proxyName := range slices.Sorted(maps.Keys(b.pendingByProxy)) {
		if pending := b.pendingByProxy[proxyName]; b.isSilent(proxyName, now) && !pending.probed {
			pending.probed = true
			found = append(found, pending)
		}
	}
	return found
}

// lives ends an ask for a sign of life. A carrier that gave one is only slow.
func (b *loadBalancer) endProbe(pending *pendingResponses, responded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending.probed = false
	if responded {
		pending.since = b.host.Now()
	}
}

func (b *loadBalancer) isAvoided(name string, now monotonic.Micros) bool {
	until, avoided := b.avoidedUntil[name]
	if avoided && now >= until {
		delete(b.avoidedUntil, name)
		return false
	}
	return avoided
}

const (
	// crossDomainPenaltyPerKilobyte is what each kilobyte of a route's usual request and answer adds to the way to another zone.
	crossDomainPenaltyPerKilobyte = 5 * monotonic.Millisecond
	// crossDomainLatencyTargetShare is the least that the way counts for, as a part of the time in which the route's answers are wanted.
	crossDomainLatencyTargetShare = 0.1
	// heavy is the count from which a route keeps to its own zone as long as a backend is left there.
	localDomainThreshold = 100 * monotonic.Millisecond
	// sizeSmoothing is the number of answers over which a route's size is taken.
	sizeSmoothing = 16
)

// sized notes how many bytes went to and fro for a request of a route.
func (b *loadBalancer) observeSize(route string, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean, seen := b.routeBytes[route]
	if !seen {
		mean = float64(bytes)
	}
	b.routeBytes[route] = mean + (float64(bytes)-mean)/sizeSmoothing
}

// bulk is the usual size in bytes from which a route's passes go on a connection of their own.
const bulkBytes = 16 << 10

// bulky tells whether a route's passes do.
func (b *loadBalancer) isBulk(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routeBytes[route] >= bulkBytes
}

// distance is what the way to another zone counts for on a route. The lock is held.
func (b *loadBalancer) penaltyFor(route string, latencyTarget monotonic.Micros) monotonic.Micros {
	least := max(b.crossDomainPenalty, monotonic.Micros(crossDomainLatencyTargetShare*float64(latencyTarget)))
	return least + monotonic.Micros(b.routeBytes[route]/1024*float64(crossDomainPenaltyPerKilobyte))
}

// localCandidates leaves only the own zone's candidates where there are any.
func (b *loadBalancer) localCandidates(eligible []session.Candidate) []session.Candidate {
	local := slices.DeleteFunc(slices.Clone(eligible), func(candidate session.Candidate) bool { return candidate.Domain != b.domain })
	if len(local) == 0 {
		return eligible
	}
	return local
}

// wish is what is asked of a choice: a backend of a service for a route, none of those to be avoided if another one is left.
type pickCriteria struct {
	service, route string
	latencyTarget  monotonic.Micros
	avoid          map[string]bool
}

// choose picks a backend of a service; last tells that no other one is left that is fit and not to be avoided. leave must be
// called once the pass is over.
func (b *loadBalancer) pick(directory *session.Directory, criteria pickCriteria) (chosen session.Candidate, lastBackend bool, release func(), fault *apierror.Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.host.Now()
	all := directory.Candidates[criteria.service]
	if len(all) == 0 {
		return session.Candidate{}, true, nil, apierror.New(apierror.NoBackend, apierror.NotRun, "no backend of %s is known", criteria.service)
	}
	penalty := b.penaltyFor(criteria.route, criteria.latencyTarget)
	if penalty >= localDomainThreshold && !b.ignoreDomains {
		all = b.localCandidates(slices.DeleteFunc(slices.Clone(all), func(candidate session.Candidate) bool { return b.isIneligible(candidate, now) }))
		if len(all) == 0 {
			all = directory.Candidates[criteria.service]
		}
	}
	eligible, ineligible := b.eligibleBuffer[:0], b.ineligibleBuffer[:0]
	for _, candidate := range all {
		if criteria.avoid[candidate.Instance] || b.isIneligible(candidate, now) {
			ineligible = append(ineligible, candidate)
			continue
		}
		eligible = append(eligible, candidate)
	}
	b.eligibleBuffer, b.ineligibleBuffer = eligible, ineligible
	lastBackend = len(eligible) <= 1
	if len(eligible) == 0 {
		eligible = ineligible
	}
	if allReportSlots(eligible) {
		chosen = b.pickFastest(eligible, criteria.route, now, penalty)
	} else {
		chosen = b.pickLessLoadedOfTwo(b.preferLocalDomain(directory, eligible))
	}
	b.inFlight[chosen.Instance]++
	pending := b.pendingByProxy[chosen.Proxy]
	if pending == nil {
		pending = &pendingResponses{since: now, address: chosen.Address}
		b.pendingByProxy[chosen.Proxy] = pending
	}
	pending.requests++
	return chosen, lastBackend, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.inFlight[chosen.Instance]--; b.inFlight[chosen.Instance] == 0 {
			delete(b.inFlight, chosen.Instance)
		}
		pending.since = b.host.Now()
		if pending.requests--; pending.requests == 0 {
			delete(b.pendingByProxy, chosen.Proxy)
		}
	}, nil
}

// unfit tells whether a backend failed lately or its carrier is silent.
func (b *loadBalancer) isIneligible(candidate session.Candidate, now monotonic.Micros) bool {
	return b.isAvoided(candidate.Instance, now) || b.isAvoided(candidate.Proxy, now) || b.isUnresponsive(candidate.Proxy, now)
}

// near keeps to the own domain with the probability that makes every backend's load the same: the domain's share of the
// backends over its share of the carriers. The rest goes to domains that have backends to spare.
func (b *loadBalancer) preferLocalDomain(directory *session.Directory, eligible []session.Candidate) []session.Candidate {
	byDomain := map[string][]session.Candidate{}
	for _, candidate := range eligible {
		byDomain[candidate.Domain] = append(byDomain[candidate.Domain], candidate)
	}
	local := byDomain[b.domain]
	if b.ignoreDomains || len(local) == len(eligible) {
		return eligible
	}
	spare := func(domain string) float64 {
		backends := float64(len(byDomain[domain])) / float64(len(eligible))
		return backends - float64(directory.ProxiesByDomain[domain])/float64(max(1, directory.Live))
	}
	random := float64(b.host.Random()%1000000) / 1000000
	callers := float64(max(1, directory.ProxiesByDomain[b.domain])) / float64(max(1, directory.Live))
	if share := float64(len(local)) / float64(len(eligible)); random < share/callers {
		return local
	}
	// Beyond the own domain, each candidate weighs what its domain has to spare.
	var others []session.Candidate
	var weights []float64
	total := 0.0
	for _, candidate := range eligible {
		weight := spare(candidate.Domain) / float64(len(byDomain[candidate.Domain]))
		if candidate.Domain == b.domain || weight <= 0 {
			continue
		}
		others, weights, total = append(others, candidate), append(weights, weight), total+weight
	}
	if len(others) == 0 {
		return eligible
	}
	picks := make([]session.Candidate, 0, 2)
	for len(picks) < 2 {
		point := total * float64(b.host.Random()%1000000) / 1000000
		index := 0
		for index < len(weights)-1 && point >= weights[index] {
			point -= weights[index]
			index++
		}
		picks = append(picks, others[index])
	}
	return picks
}

// lighter is the better of two picks.
func (b *loadBalancer) pickLessLoadedOfTwo(eligible []session.Candidate) session.Candidate {
	one := eligible[b.host.Random()%uint64(len(eligible))]
	other := eligible[b.host.Random()%uint64(len(eligible))]
	if b.inFlight[other.Instance] < b.inFlight[one.Instance] {
		return other
	}
	return one
}
