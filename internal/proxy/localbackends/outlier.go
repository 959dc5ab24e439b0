package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/transport/wire"
)

// Observation is a request that the outlier detection of its backend admitted. It must be closed, even if the request is rejected
// later.
type Observation struct {
	set     *Set
	backend *backendState
	call    *outlier.Call
}

// Observe asks the outlier detection of a request's backend to admit the request. It returns a fault if the backend is ejected; the
// request has not run then.
func (s *Set) Observe(instance string, request outlier.RequestInfo) (*Observation, *apierror.Error) {
	s.mu.Lock()
	state := s.entries[instance]
	if state == nil {
		s.mu.Unlock()
		return nil, apierror.New(apierror.BackendUnknown, apierror.NotRun, "instance %s is not registered here", instance)
	}
	call, wait := state.detector.Admit(s.host.Now(), request)
	changes := s.applyEjections(state)
	s.mu.Unlock()
	s.reportEjections(state.Backend, changes)
	if call == nil {
		fault := apierror.New(apierror.BackendUnhealthy, apierror.NotRun,
			"instance %s is ejected as an outlier, only probes are admitted", instance)
		fault.RetryAfter = max(wait, monotonic.Millisecond)
		return nil, fault
	}
	return &Observation{set: s, backend: state, call: call}, nil
}

// Start records that the request is about to be sent to the backend.
func (o *Observation) Start() {
	o.set.mu.Lock()
	defer o.set.mu.Unlock()
	o.call.Start(o.set.host.Now())
}

// Close records the outcome of the request for outlier detection. Further calls do nothing.
func (o *Observation) Close(outcome outlier.Outcome) {
	o.set.mu.Lock()
	o.call.Close(o.set.host.Now(), outcome)
	changes := o.set.applyEjections(o.backend)
	o.set.mu.Unlock()
	o.set.reportEjections(o.backend.Backend, changes)
}

// applyEjections returns the detector's ejections and reinstatements since the last call, for reportEjections. If the backend was
// ejected for all callers, it rejects the requests that wait for a slot there, so that their callers retry elsewhere. The caller
// holds mu.
func (s *Set) applyEjections(state *backendState) []outlier.Change {
	changes := state.detector.TakeChanges()
	if state.detector.TakeRecovered() {
		state.slots.DiscountMeasurements()
	}
	for _, change := range changes {
		if change.Ejected && change.Domain == "" {
			state.slots.Flush(s.host.Now())
		}
	}
	return changes
}

func (s *Set) reportEjections(backend Backend, changes []outlier.Change) {
	for _, change := range changes {
		number := eventlog.BackendReinstated
		if change.Ejected {
			number = eventlog.BackendEjected
		}
		s.host.Report(number, eventlog.Attributes{
			"service":  backend.Service,
			"instance": backend.Instance,
			"callers":  change.Domain,
			"faults":   change.FaultRate,
			"times":    change.RecentEjections,
		})
	}
}

// AddHealth adds a backend's health, as seen by callers in a failure domain, to its load for a route. A nil load is ignored.
func (s *Set) AddHealth(load *wire.Load, instance, domain, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[instance]
	if state == nil || load == nil {
		return
	}
	load.FaultRate, load.LatencyRatio = toThousandths(state.detector.FaultRate(domain)), toThousandths(state.detector.LatencyRatio())
	load.Ejected = state.detector.Ejected(domain)
	if usual := state.detector.BaselineLatency(); load.Ejected && usual > 0 {
		// An ejected backend reports its usual service time. With its current one, which may be far longer, load balancers would
		// send it no requests, and only requests can show that it has recovered.
		load.ServiceMicros, load.RouteMicros = int64(usual), int64(state.detector.BaselineLatencyOf(route))
	}
}

const (
	// maxRatio is the largest ratio that is sent; larger ones are reduced to it.
	maxRatio = 1000
	// ratioScale is the denominator of ratios, which are sent as whole numbers.
	ratioScale = 1000
)

// toThousandths encodes a ratio as the whole number that a message has for it.
func toThousandths(ratio float64) uint32 { return uint32(min(ratio, maxRatio) * ratioScale) }

// BackendHealth is the health of a backend as shown to operators. The JSON keys are part of their API.
type BackendHealth struct {
	Service      string  `json:"service"`
	Instance     string  `json:"instance"`
	Faults       float64 `json:"faults"` // fraction of its recent responses that were faulty, 0 to 1
	LatencyRatio float64 `json:"pace"`   // latency of its requests divided by their usual latency
	Ejected      bool    `json:"ejected"`
	// EjectedFor lists the failure domains for whose callers the backend is ejected, if it isn't ejected for all callers.
	EjectedFor []string `json:"ejected_for,omitempty"`
}

// Health returns the health of each backend, sorted by instance.
func (s *Set) Health() []BackendHealth {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []BackendHealth
	for _, instance := range s.sortedInstances() {
		state := s.entries[instance]
		all = append(all, BackendHealth{
			Service:      state.Service,
			Instance:     instance,
			Faults:       state.detector.FaultRate(""),
			LatencyRatio: state.detector.LatencyRatio(),
			Ejected:      state.detector.Ejected(""),
			EjectedFor:   state.detector.EjectedDomains(),
		})
	}
	return all
}

// EjectedCount returns the number of backends that are ejected, for all callers or for some.
func (s *Set) EjectedCount() (count float64) {
	for _, health := range s.Health() {
		if health.Ejected || len(health.EjectedFor) > 0 {
			count++
		}
	}
	return count
}
