package breaker

import (
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

const (
	defaultWriteQueueLength = 128
	defaultRetryBackoff     = 5 * monotonic.Second
	// initialWindowCalls is the size of a window until the first call brings the service's own.
	initialWindowCalls = 100
)

// Config holds what a Set needs.
type Config struct {
	Host        host.Host
	Proxy       string // this proxy's name
	Incarnation uint64
	// Call calls the registry's leader once, with a timeout in microseconds.
	Call func(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error
	// WriteQueueLength is the most writes that may wait; 0 stands for 128.
	WriteQueueLength int
	// RetryBackoff is for how many microseconds writes are dropped after a failure; 0 stands for 5 s. It grows by
	// RetryMultiplier with each failure in a row up to RetryBackoffMax, if that isn't 0, and up to RetryJitter, as a part of
	// it, is added. A RetryMultiplier below 1 counts as 1.
	RetryBackoff, RetryBackoffMax monotonic.Micros
	RetryMultiplier, RetryJitter  float64
}

// Set holds the breakers of all services that this proxy calls. It is safe for concurrent use.
type Set struct {
	config Config
	writes *host.Queue[*wire.BreakerWriteRequest]
	// writesDrained is fired when no write waits any more.
	writesDrained host.Signal
	// skipProbeLeases admits calls while half open without a probe. Only tests of the simulator's invariants set it.
	skipProbeLeases bool

	mu           sync.Mutex // guards what follows
	breakers     map[string]*serviceBreaker
	degraded     bool             // the registry can't be reached, so local breakers decide
	failures     int              // times in a row that the set has become degraded
	retryAt      monotonic.Micros // until then writes are dropped while degraded
	queuedWrites int              // writes that wait or are being sent
	closed       bool             // no more writes are taken
}

// serviceBreaker is the breaker of one service.
//
// Invariants: shared is only replaced by a record of the same or a higher version. local is closed whenever the shared
// record isn't, except while degraded.
type serviceBreaker struct {
	service string

	mu       sync.Mutex            // guards what follows
	shared   *wire.BreakerRecord   // nil until the registry has sent one
	settings *wire.BreakerSettings // of the last call's configuration
	window   *window
	local    localBreaker
	control  Control

	calls, failedCalls uint64 // calls that count in the window
	admissions         uint64 // attempts that asked for admission, whether or not they got it
	// reportedCalls and reportedAdmissions are what TakeActivity has returned of calls and admissions.
	reportedCalls, reportedAdmissions uint64
}

// NewSet returns a set without breakers: each is made when its service is first called.
func NewSet(config Config) *Set {
	if config.WriteQueueLength == 0 {
		config.WriteQueueLength = defaultWriteQueueLength
	}
	if config.RetryBackoff == 0 {
		config.RetryBackoff = defaultRetryBackoff
	}
	config.RetryMultiplier = max(config.RetryMultiplier, 1)
	return &Set{
		config:        config,
		writes:        host.NewQueue[*wire.BreakerWriteRequest](config.Host),
		writesDrained: config.Host.NewSignal(),
		breakers:      map[string]*serviceBreaker{},
	}
}

// SkipProbeLeases admits calls while half open without a probe, so that a test can show that a violation is detected. No
// program calls it.
func (s *Set) SkipProbeLeases(skip bool) { s.skipProbeLeases = skip }

// breakerFor returns the breaker of a service.
func (s *Set) breakerFor(service string) *serviceBreaker {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.breakers[service]
	if existing == nil {
		existing = &serviceBreaker{service: service, window: newWindow(initialWindowCalls), local: localBreaker{state: breakerstore.Closed}}
		s.breakers[service] = existing
	}
	return existing
}

// sortedBreakers returns all breakers by the names of their services.
func (s *Set) sortedBreakers() []*serviceBreaker {
	s.mu.Lock()
	defer s.mu.Unlock()
	breakers := make([]*serviceBreaker, 0, len(s.breakers))
	for _, existing := range s.breakers {
		breakers = append(breakers, existing)
	}
	slices.SortFunc(breakers, func(a, b *serviceBreaker) int { return strings.Compare(a.service, b.service) })
	return breakers
}

// resetLocal closes the local breaker and empties the window. The caller holds the lock.
func (b *serviceBreaker) resetLocal() {
	b.window = newWindow(len(b.window.results))
	b.local = localBreaker{state: breakerstore.Closed}
}
