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
	// initialWindowCalls is the size of a window until the first call resizes it to the service's configured size.
	initialWindowCalls = 100
)

// Config configures a Set.
type Config struct {
	Host        host.Host
	Proxy       string // this proxy's name
	Incarnation uint64
	// Call calls the registry's leader once, with a timeout in microseconds.
	Call func(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error
	// WriteQueueLength is the largest number of unfinished writes; 0 means 128.
	WriteQueueLength int
	// RetryBackoff is the time in microseconds for which writes are dropped after a failure; 0 means 5 s. It is multiplied by
	// RetryMultiplier with each consecutive failure, up to RetryBackoffMax if that isn't 0. A random share of it, up to
	// RetryJitter, is added. A RetryMultiplier below 1 counts as 1.
	RetryBackoff, RetryBackoffMax monotonic.Micros
	RetryMultiplier, RetryJitter  float64
}

// Set holds the breakers of all services that this proxy calls. It is safe for concurrent use.
type Set struct {
	config Config
	writes *host.Queue[*wire.BreakerWriteRequest]
	// writesDrained is fired when no unfinished write is left.
	writesDrained host.Signal
	// skipProbeLeases admits calls without a probe while half open. Only tests of the simulator's invariants set it.
	skipProbeLeases bool

	mu           sync.Mutex                 // guards the fields below
	breakers     map[string]*serviceBreaker // by service
	degraded     bool                       // the registry is unreachable, so local breakers decide
	failures     int                        // times that the set has become degraded since the last recovery
	retryAt      monotonic.Micros           // while degraded, writes are dropped until this time
	queuedWrites int                        // writes that are queued or being sent
	closed       bool                       // no more writes are accepted
}

// serviceBreaker is the breaker of one service.
//
// Invariants: shared is replaced only by a record of the same or a higher version. local is closed whenever the shared record
// isn't, except while degraded.
type serviceBreaker struct {
	service string

	mu       sync.Mutex            // guards the fields below
	shared   *wire.BreakerRecord   // the shared record; nil until the registry has sent one
	settings *wire.BreakerSettings // from the configuration of the last attempt
	window   *window
	local    localBreaker
	control  Control

	calls, failedCalls uint64 // calls added to the window so far
	admissions         uint64 // attempts that requested admission, including rejected ones
	// reportedCalls and reportedAdmissions are the values of calls and admissions at the last TakeActivity.
	reportedCalls, reportedAdmissions uint64
}

// NewSet returns a set without breakers. Each breaker is created when its service is first used.
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

// SkipProbeLeases admits calls without a probe while half open, so that a simulation can show that the violation is detected.
// A deployed proxy never calls it.
func (s *Set) SkipProbeLeases(skip bool) { s.skipProbeLeases = skip }

// breakerFor returns the breaker of a service, and creates it if necessary.
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

// sortedBreakers returns all breakers, sorted by service name.
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
