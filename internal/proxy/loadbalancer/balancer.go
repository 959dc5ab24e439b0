package loadbalancer

import (
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

// Config configures a Balancer.
type Config struct {
	Host host.Host
	// Domain is the failure domain (zone) of this proxy.
	Domain string
	// IgnoreDomains treats all candidates as if they were in the same domain.
	IgnoreDomains bool
	// CrossDomainPenalty is added, in microseconds, to the expected response time of a backend in another domain.
	CrossDomainPenalty monotonic.Micros
	// SilenceTimeout is how long a proxy with attempts in flight may go without a response before it is sent a health check;
	// 0 means 700 ms.
	SilenceTimeout monotonic.Micros
}

// Balancer chooses backends. It is safe for concurrent use.
type Balancer struct {
	host          host.Host
	domain        string
	ignoreDomains bool

	mu           sync.Mutex     // guards the fields below
	inFlight     map[string]int // this proxy's attempts in flight, by instance; never 0
	availability availability
	silence      silenceDetector
	locality     locality
	loads        loadReports
	peers        peerHealth

	// Buffers that each Pick reuses.
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

// Criteria describes the request for which a backend is chosen.
type Criteria struct {
	Service string
	Route   string
	// LatencyTarget is the target for the route's response time in microseconds; 0 if it has none.
	LatencyTarget monotonic.Micros
	// Avoid holds instances that are chosen only if no other one is available.
	Avoid map[string]bool
}

// Pick is a chosen backend.
type Pick struct {
	Candidate session.Candidate
	// LastBackend is true if no other backend is available and not in Criteria.Avoid.
	LastBackend bool
	// Release must be called once when the attempt has ended.
	Release func()
}

// Pick chooses a backend of a service and counts an attempt as in flight there until the result's Release is called. It fails
// only if the directory has no backend of the service.
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

// partition divides the candidates into the buffers available and unavailable. The caller holds the lock.
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

// isUnavailable reports whether a backend or its proxy failed recently or the proxy is unresponsive. The caller holds the lock.
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

// MarkUnavailable marks a backend or a proxy that has just failed, by its name, as unavailable for a while.
func (b *Balancer) MarkUnavailable(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availability.avoid(name, b.host.Now())
}

// ObserveOutcome records whether a backend's response was faulty. Several consecutive faults make the backend unavailable for a
// while.
func (b *Balancer) ObserveOutcome(instance string, faulty bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.availability.observe(instance, faulty, b.host.Now())
}

// ObserveSize records the total size in bytes of a route's request and its response.
func (b *Balancer) ObserveSize(route string, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.locality.observeSize(route, bytes)
}

// IsBulk reports whether a route's messages are usually so large that they are sent on a separate connection.
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
	// The attempt whose response carried the report still counts as in flight here, but no longer at the backend.
	b.loads.observe(instance, route, load, b.inFlight[instance]-1, b.host.Now())
}

// ObserveHealth records the health that a backend's proxy reported with a response. It returns true if the backend is ejected and
// its proxy therefore rejects most requests for it, as it does unless too many backends of the service are ejected. The backend's
// faults are then attributed to it alone; otherwise they are attributed to the service and count for its circuit breaker.
func (b *Balancer) ObserveHealth(directory *session.Directory, service, instance string, load *wire.Load) (backendOnly bool) {
	if load == nil || load.LatencyRatio == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.observe(directory.Candidates[service], service, instance, load, b.host.Now())
}

// PeerStatistics returns health statistics of the other backends of a service, with which a backend's proxy compares its own
// backend. The message must not be modified.
func (b *Balancer) PeerStatistics(directory *session.Directory, service, instance string) *wire.PeerStatistics {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers.statisticsFor(directory.Candidates[service], service, instance, b.host.Now())
}
