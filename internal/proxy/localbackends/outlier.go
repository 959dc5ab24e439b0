package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/transport/wire"
)

// Call is a request that its backend's standing lets in. Its owner closes it once, whatever becomes of the request.
type Observation struct {
	set         *Set
	backend     *backendState
	observation *outlier.Call
}

// Call asks a backend's standing for a request. A refusal is certain: nothing ran.
func (s *Set) Observe(instance string, request outlier.RequestInfo) (*Observation, *apierror.Fault) {
	s.mu.Lock()
	state := s.entries[instance]
	if state == nil {
		s.mu.Unlock()
		return nil, apierror.New(apierror.BackendUnknown, apierror.NotRun, "no instance %s here", instance)
	}
	observation, wait := state.detector.Admit(s.host.Now(), request)
	defer s.applyEjections(state)
	if observation == nil {
		fault := apierror.New(apierror.BackendUnhealthy, apierror.NotRun, "instance %s does worse than its like, only probes are let in", instance)
		fault.RetryAfter = max(wait, monotonic.Millisecond)
		return nil, fault
	}
	return &Observation{set: s, backend: state, observation: observation}, nil
}

// Start notes that the request is being handed over.
func (o *Observation) Start() {
	o.set.mu.Lock()
	o.observation.Start(o.set.host.Now())
	o.set.mu.Unlock()
}

// Close tells what the request's end says of the backend; only the first call counts.
func (o *Observation) Close(outcome outlier.Outcome) {
	o.set.mu.Lock()
	o.observation.Close(o.set.host.Now(), outcome)
	o.set.applyEjections(o.backend)
}

// settle has whoever waits for an ejected backend go elsewhere, and reports. The lock is held, and let go.
func (s *Set) applyEjections(state *backendState) {
	changes := state.detector.TakeChanges()
	if state.detector.TakeRecovered() {
		state.slots.DiscountMeasurements()
	}
	for _, change := range changes {
		if change.Ejected && change.Domain == "" {
			state.slots.Flush(s.host.Now())
		}
	}
	s.mu.Unlock()
	for _, change := range changes {
		number := eventlog.BackendReinstated
		if change.Ejected {
			number = eventlog.BackendEjected
		}
		s.host.Report(number, map[string]any{"service": state.Service, "instance": state.Instance, "callers": change.Domain, "faults": change.FaultRate, "times": change.RecentEjections})
	}
}

// AddHealth adds a backend's standing with the callers of a domain to its load as told to a route.
func (s *Set) AddHealth(load *wire.Load, instance, domain, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.entries[instance]; state != nil && load != nil {
		load.FaultRate, load.LatencyRatio = toThousandths(state.detector.FaultRate(domain)), toThousandths(state.detector.LatencyRatio())
		load.Ejected = state.detector.Ejected(domain)
		if usual := state.detector.BaselineLatency(); load.Ejected && usual > 0 {
			load.ServiceMicros, load.RouteMicros = int64(usual), int64(state.detector.BaselineLatencyOf(route)) // its gate keeps requests away, but some must come to find out when it's well
		}
	}
}

func toThousandths(share float64) uint32 { return uint32(min(share, 1000) * 1000) }

// BackendHealth is what operators are shown of how a backend does.
type BackendHealth struct {
	Service      string  `json:"service"`
	Instance     string  `json:"instance"`
	Faults       float64 `json:"faults"` // share of its last answers
	LatencyRatio float64 `json:"pace"`   // time of its requests over their usual one
	Ejected      bool    `json:"ejected"`
	// EjectedFor are the domains whose callers alone are kept away.
	EjectedFor []string `json:"ejected_for,omitempty"`
}

// Health tells how each backend here does.
func (s *Set) Health() (standings []BackendHealth) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, instance := range s.sortedInstances() {
		state := s.entries[instance]
		standings = append(standings, BackendHealth{Service: state.Service, Instance: instance, Faults: state.detector.FaultRate(""), LatencyRatio: state.detector.LatencyRatio(),
			Ejected: state.detector.Ejected(""), EjectedFor: state.detector.EjectedDomains()})
	}
	return standings
}

// Ejected counts the backends here that are, for all callers or for some.
func (s *Set) Ejected() (count float64) {
	for _, health := range s.Health() {
		if health.Ejected || len(health.EjectedFor) > 0 {
			count++
		}
	}
	return count
}
