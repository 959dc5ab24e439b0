package breaker

import (
	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// Permit represents one admitted attempt. Done must be called exactly once.
type Permit struct {
	set     *Set
	breaker *serviceBreaker
	service *config.Service // its configuration when the attempt was admitted
	// probeID identifies the probe that the registry leased for the attempt; empty if it has none.
	probeID         string
	recordVersion   uint64 // version of the shared record when the attempt was admitted
	localProbe      bool   // the attempt is a probe of the local breaker
	uncounted       bool   // the outcome isn't counted because the breaker is disabled
	locallyAdmitted bool   // admitted by the local breaker alone because the registry was unreachable
	startedAt       monotonic.Micros
}

// LocallyAdmitted reports whether the local breaker alone admitted the attempt because the registry was unreachable.
func (p *Permit) LocallyAdmitted() bool { return p.locallyAdmitted }

// Outcome classifies the end of an attempt by what it says about the service.
type Outcome int

const (
	// Success is a response that isn't an error.
	Success Outcome = iota
	// Failure is an error caused by the backend.
	Failure
	// Neutral isn't counted: this proxy, another proxy or the request was at fault.
	Neutral
)

// admitByState maps the state of the shared record to the function that admits or rejects an attempt.
var admitByState = map[string]func(s *Set, b *serviceBreaker, permit *Permit) *apierror.Error{
	breakerstore.Closed:   (*Set).admitLocally,
	breakerstore.Open:     (*Set).rejectOpen,
	breakerstore.HalfOpen: (*Set).admitProbe,
}

// Admit admits one attempt to call a service, or returns the error with which it is rejected. It waits for the registry only
// while the service's shared record is half open.
func (s *Set) Admit(service *config.Service) (*Permit, *apierror.Error) {
	b := s.breakerFor(service.Name)
	permit := &Permit{set: s, breaker: b, service: service, startedAt: s.config.Host.Now()}
	state, control := b.beginAdmission(permit)
	if control == ControlForceOpen {
		return nil, apierror.New(apierror.BreakerOpen, apierror.NotRun, "the breaker of %s is forced open on this proxy", service.Name)
	}
	if control != ControlNone || service.Breaker.GetDisabled() {
		permit.uncounted = control != ControlMetricsOnly
		return permit, nil
	}
	if s.Degraded() {
		state, permit.locallyAdmitted = breakerstore.Closed, true
	}
	if fault := admitByState[state](s, b, permit); fault != nil {
		return nil, fault
	}
	return permit, nil
}

// beginAdmission counts an admission request and returns the state of the shared record and the control, which decide on it.
func (b *serviceBreaker) beginAdmission(permit *Permit) (state string, control Control) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = permit.service.BreakerSettings()
	b.admissions++
	state = breakerstore.Closed
	if b.shared != nil {
		state = b.shared.State
		permit.recordVersion = b.shared.Version
	}
	return state, b.control
}

// rejectOpen rejects an attempt because the shared record is open.
func (s *Set) rejectOpen(b *serviceBreaker, permit *Permit) *apierror.Error {
	fault := apierror.New(apierror.BreakerOpen, apierror.NotRun, "the breaker of %s is open", b.service)
	fault.RetryAfter = retryAfter(monotonic.Micros(permit.service.Breaker.GetWaitOpenMicros()))
	return fault
}

// admitLocally lets the local breaker decide on an attempt.
func (s *Set) admitLocally(b *serviceBreaker, permit *Permit) *apierror.Error {
	b.mu.Lock()
	defer b.mu.Unlock()
	decision := b.local.admit(s.config.Host.Now(), permit.service.Breaker)
	if decision.admitted {
		permit.localProbe = decision.probe
		return nil
	}
	fault := apierror.New(apierror.BreakerOpen, apierror.NotRun, "the breaker of %s is open on this proxy", b.service)
	fault.RetryAfter = decision.retryAfter
	return fault
}

// Done records the outcome of an admitted attempt.
func (p *Permit) Done(outcome Outcome) {
	elapsed := p.set.config.Host.Now() - p.startedAt
	slow := elapsed > monotonic.Micros(p.service.Breaker.GetSlowMicros())
	if p.probeID != "" {
		p.endProbe(outcome, slow)
		return
	}
	b := p.breaker
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.localProbe {
		if b.local.endProbe(p.service.Breaker, outcome, slow) {
			p.set.openLocally(b)
		}
		return
	}
	if outcome == Neutral || p.uncounted {
		return
	}
	if b.recordCall(p.service.Breaker, callResult{failed: outcome == Failure, slow: slow}) {
		p.set.openLocally(b)
	}
}

// recordCall adds a call to the window and reports whether the local breaker must open. The caller holds the lock.
func (b *serviceBreaker) recordCall(settings *wire.Breaker, result callResult) (open bool) {
	b.calls++
	if result.failed {
		b.failedCalls++
	}
	b.window.add(result, int(settings.GetWindowCalls()))
	if b.local.state != breakerstore.Closed || b.control != ControlNone {
		return false
	}
	return b.window.exceedsThreshold(int(settings.GetMinimumCalls()), settings.GetFailureRate(), settings.GetSlowRate())
}

// openLocally opens the local breaker and queues a report for the registry. The caller holds the breaker's lock.
func (s *Set) openLocally(b *serviceBreaker) {
	b.local = localBreaker{state: breakerstore.Open, enteredAt: s.config.Host.Now()}
	b.window = newWindow(len(b.window.results))
	version := uint64(1)
	if b.shared != nil {
		version = b.shared.Version
	}
	s.config.Host.Report(eventlog.BreakerTrippedLocally, eventlog.Attributes{"service": b.service})
	s.enqueueWrite(&wire.BreakerWriteRequest{Service: b.service, Verb: breakerstore.VerbTrip, ExpectedVersion: version, Settings: b.settings})
}
