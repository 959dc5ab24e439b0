package loadbalancer

import (
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

// Config holds what a Balancer needs.
type Config struct {
	Host host.Host
	// Domain is the failure domain (zone) of this proxy.
	Domain string
	// IgnoreDomains makes all candidates equally near.
	IgnoreDomains bool
	// CrossDomainPenalty is added, in microseconds, to the expected response time of a backend in another domain.
	CrossDomainPenalty monotonic.Micros
	// SilenceTimeout is how long a proxy with attempts in flight may give no response before it is sent a health check;
	// 0 stands for 700 ms.
	SilenceTimeout monotonic.Micros
}

// Balancer chooses backends. It is safe for concurrent use.
type Balancer struct {
	host          host.Host
	domain        string
	ignoreDomains bool

	mu           sync.Mutex     // guards all that follows
	inFlight     map[string]int // this proxy's attempts in flight, by instance; never 0
	availability availability
	silence      silenceDetector
	locality     locality
	loads        loadReports
	peers        peerHealth

	// Buffers that Pick uses again.
	available, unavailable []session.Candidate
	estimates              []float64
}

// New returns a balancer without any observations.
func New(config Config) *Balancer {
	if config.SilenceTimeout <= 0 {
		config.SilenceTimeout = defaultSilenceTimeout
	}
	return &Balancer{
		host:          config.Host,
		domain:        config.Domain,
		ignoreDomains: config.IgnoreDomains,
		inFlight:      map[string]int{},
		availability:  newAvailability(),
		silence:       newSilenceDetector(config.SilenceTimeout),
		locality:      newLocality(config.CrossDomainPenalty),
		loads:         loadReports{},
		peers:         newPeerHealth(),
	}
}

// Criteria is what a choice has to meet.
type Criteria struct {
	Service string
	Route   string
	// LatencyTarget is the time in microseconds within which the route's responses are wanted; 0 if it has none.
	LatencyTarget monotonic.Micros
	// Avoid holds instances that are chosen only if no other one is left.
	Avoid map[string]bool
}

// Pick is a chosen backend.
type Pick struct {
	Candidate session.Candidate
	// LastBackend is true if no other backend was left that is available and not to be avoided.
	LastBackend bool
	// Release must be called once, when the attempt has ended.
	Release func()
}

// Pick chooses a backend of a service and counts an attempt at it as in flight until its Release is called. It fails only if
// the directory has no backend of the service.
func (b *Balancer) Pick(directory *session.Directory, criteria Criteria) (Pick, *apierror.Error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := directory.Candidates[criteria.Service]
	if len(candidates) == 0 {
		return Pick{}, apierror.New(apierror.NoBackend, apierror.NotRun, "no backend of %s is known", criteria.Service)
	}
	now := b.host.Now()
	penalty := b.locality.penalty(criteria.Route, criteria.LatencyTarget)
	if penalty >= localOnlyPenalty && !b.ignoreDomains {
		candidates = b.restrictToLocalDomain(candidates, now)
	}
	b.partition(candidates, criteria.Avoid, now)
	choices := b.available
	if len(choices) == 0 {
		choices = b.unavailable
	}
	var chosen session.Candidate
	if AllReportSlots(choices) {
		chosen = b.pickFastest(choices, criteria.Route, now, penalty)
	} else {
		chosen = b.pickLessLoadedOfTwo(b.preferLocalDomain(directory, choices))
	}
	return Pick{Candidate: chosen, LastBackend: len(b.available) <= 1, Release: b.beginAttempt(chosen, now)}, nil
}

// partition fills the buffers: the candidates to choose from, and those set aside. The caller holds the lock.
func (b *Balancer) partition(candidates []session.Candidate, avoid map[string]bool, now monotonic.Micros) {
	b.available, b.unavailable = b.available[:0], b.unavailable[:0]
	for _, candidate := range candidates {
		if avoid[candidate.Instance] || b.isUnavailable(candidate, now) {
			b.unavailable = append(b.unavailable, candidate)
			continue
		}
		b.available = append(b.available, candidate)
	}
}

// isUnavailable reports whether a backend or its proxy failed recently, or its proxy doesn't respond. The caller holds the lock.
func (b *Balancer) isUnavailable(candidate session.Candidate, now monotonic.Micros) bool {
	return b.availability.isAvoided(candidate.Instance, now) ||
		b.availability.isAvoided(candidate.Proxy, now) ||
		b.silence.isUnresponsive(candidate.Proxy, now)
}

// beginAttempt counts an attempt as in flight until the returned function is called. The caller holds the lock.
func (b *Balancer) beginAttempt(chosen session.Candidate, now monotonic.Micros) (release func()) {
	b.inFlight[chosen.Instance]++
	pending := b.silence.begin(chosen.Proxy, chosen.Address, now)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.inFlight[chosen.Instance]--; b.inFlight[chosen.Instance] == 0 {
			delete(b.inFlight, chosen.Instance)
		}
		b.silence.end(chosen.Proxy, pending, b.host.Now())
	}
}

// MarkUnavailable sets a backend or a proxy that just failed aside for a while, by its name.
func (b *Balancer) MarkUnavailable(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availability.avoid(name, b.host.Now())
}

// ObserveOutcome records whether a backend's response was faulty. Several faults in a row set the backend aside for a while.
func (b *Balancer) ObserveOutcome(instance string, faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availability.observe(instance, faulty, b.host.Now())
}

// ObserveSize records the bytes of a request of a route together with its response.
func (b *Balancer) ObserveSize(route string, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.locality.observeSize(route, bytes)
}

// IsBulk reports whether a route's messages are usually so large that they go on a connection of their own.
func (b *Balancer) IsBulk(route string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.locality.isBulk(route)
}

// ObserveLoad records the load that a backend's proxy reported with a response. It must be called before the attempt is
// released. A nil load, or one without slots, is ignored.
func (b *Balancer) ObserveLoad(instance, route string, load *wire.Load) {
	if load == nil || load.Slots == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// The attempt that brought the report is still counted in flight here, and no longer at the backend.
	b.loads.observe(instance, route, load, b.inFlight[instance]-1, b.host.Now())
}

// ObserveHealth records the health that a backend's proxy reported with a response. It reports whether faults of that
// backend are its own: it is ejected, and so few backends of the service are ejected that its proxy rejects most requests
// for it. Otherwise faults are of the service, and count for its breaker.
func (b *Balancer) ObserveHealth(directory *session.Directory, service, instance string, load *wire.Load) (backendOnly bool) {
	if load == nil || load.LatencyRatio == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.observe(directory.Candidates[service], service, instance, load, b.host.Now())
}

// PeerStatistics returns statistics of the health of a service's other backends, with which the proxy of one backend compares
// its own. The message must not be changed.
func (b *Balancer) PeerStatistics(directory *session.Directory, service, instance string) *wire.PeerStatistics {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.statisticsFor(directory.Candidates[service], service, instance, b.host.Now())
}
