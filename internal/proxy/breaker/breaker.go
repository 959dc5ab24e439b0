// Package breaker is the guard at the caller's side: one breaker per service, with its own window for detecting trips and
// a cached read of the shared record for the verdict. Nothing is asked inline while the record is closed or open; half
// open, each try leases one probe from the budget that all callers share.
package breaker

import (
	"fmt"
	"math"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// Config is what a guard is made of.
type Config struct {
	Host        host.Host
	Proxy       string
	Incarnation uint64
	// Call asks the primary sorter once.
	Call func(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error
	// WriteQueueLength bounds the lane of writes.
	WriteQueueLength int
	// RetryBackoff is how long writes are dropped after a failure, growing by RetryMultiplier up to RetryBackoffMax,
	// with up to RetryJitter of it added.
	RetryBackoff, RetryBackoffMax monotonic.Micros
	RetryMultiplier, RetryJitter  float64
}

// The manual controls. They are local to this carrier and go before the shared verdict.
const (
	ControlNone        = ""
	ControlForceOpen   = "force_open"
	ControlDisable     = "disable"
	ControlMetricsOnly = "metrics_only"
)

// Set holds the breakers of all services this carrier calls.
type Set struct {
	config Config
	writes *host.Queue[*wire.BreakerWriteRequest]

	mu            sync.Mutex
	breakers      map[string]*serviceBreaker
	degraded      bool
	failures      int
	retryAt       monotonic.Micros
	queuedWrites  int
	closed        bool
	writesDrained host.Signal
	// unleased lets tries through while half open without a probe; only rehearsals of the checkers set it.
	skipProbeLeases bool
}

// SkipProbeLeases leaves probes out, to show that a checker sees what comes of it. No program sets it.
func (s *Set) SkipProbeLeases(skip bool) { s.skipProbeLeases = skip }

// breaker is one service's.
// Invariants: shared is only replaced by a record of the same or a higher serial; local is Closed whenever the shared
// verdict is not, except while degraded; ids of probes are used once.
type serviceBreaker struct {
	mu                sync.Mutex
	service           string
	shared            *wire.BreakerRecord
	window            *window
	local             localBreaker
	control           string
	thresholds        *wire.BreakerSettings
	calls             uint64
	failed            uint64
	reportedCalls     uint64
	admissionRequests uint64 // tries that wanted entry, and how many of them were told
	reportedRequests  uint64
}

// Permit is one admitted try. Done must be called once.
type Permit struct {
	set        *Set
	breaker    *serviceBreaker
	service    *config.Service
	probeID    string
	version    uint64
	localProbe bool
	startedAt  monotonic.Micros
	uncounted  bool
}

// NewSet makes the guard.
func NewSet(config Config) *Set {
	if config.WriteQueueLength == 0 {
		config.WriteQueueLength = 128
	}
	if config.RetryBackoff == 0 {
		config.RetryBackoff = 5 * monotonic.Second
	}
	if config.RetryMultiplier < 1 {
		config.RetryMultiplier = 1
	}
	return &Set{config: config, writes: host.NewQueue[*wire.BreakerWriteRequest](config.Host), breakers: map[string]*serviceBreaker{}, writesDrained: config.Host.NewSignal()}
}

func (s *Set) forService(service string) *serviceBreaker {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.breakers[service]
	if existing == nil {
		existing = &serviceBreaker{service: service, window: newWindow(100), local: localBreaker{state: breakerstore.Closed}}
		s.breakers[service] = existing
	}
	return existing
}

func (s *Set) sorted() []*serviceBreaker {
	s.mu.Lock()
	defer s.mu.Unlock()
	breakers := make([]*serviceBreaker, 0, len(s.breakers))
	for _, existing := range s.breakers {
		breakers = append(breakers, existing)
	}
	sort.Slice(breakers, func(one, other int) bool { return breakers[one].service < breakers[other].service })
	return breakers
}

// Degraded tells whether this node goes by its own windows, for want of the shared verdict.
func (s *Set) Degraded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.degraded
}

// admitByState decide by the shared verdict.
var admitByState = map[string]func(s *Set, b *serviceBreaker, permit *Permit) *apierror.Fault{
	breakerstore.Closed:   (*Set).admitLocal,
	breakerstore.Open:     (*Set).admitOpen,
	breakerstore.HalfOpen: (*Set).admitProbe,
}

// Admit grants one try entry, or refuses it.
func (s *Set) Admit(service *config.Service) (*Permit, *apierror.Fault) {
	b := s.forService(service.Name)
	permit := &Permit{set: s, breaker: b, service: service, startedAt: s.config.Host.Now()}
	b.mu.Lock()
	b.thresholds = service.BreakerTerms()
	b.admissionRequests++
	control := b.control
	state := breakerstore.Closed
	if b.shared != nil {
		state = b.shared.State
		permit.version = b.shared.Version
	}
	b.mu.Unlock()
	if control == ControlForceOpen {
		return nil, apierror.New(apierror.BreakerOpen, apierror.NotRun, "guard of %s is forced open on this node", service.Name)
	}
	if control != ControlNone || service.Breaker.GetDisabled() {
		permit.uncounted = control != ControlMetricsOnly
		return permit, nil
	}
	if s.Degraded() {
		state = breakerstore.Closed
	}
	if fault := admitByState[state](s, b, permit); fault != nil {
		return nil, fault
	}
	return permit, nil
}

func (s *Set) admitOpen(b *serviceBreaker, permit *Permit) *apierror.Fault {
	fault := apierror.New(apierror.BreakerOpen, apierror.NotRun, "guard of %s is open", b.service)
	fault.RetryAfter = min(max(monotonic.Micros(permit.service.Breaker.GetWaitOpenMicros()), monotonic.Second), 5*monotonic.Second)
	return fault
}

// admitProbe is the one inline call.
func (s *Set) admitProbe(b *serviceBreaker, permit *Permit) *apierror.Fault {
	if s.skipProbeLeases {
		return nil
	}
	permit.probeID = fmt.Sprintf("%s-%016x", s.config.Proxy, s.config.Host.Random())
	response := &wire.ProbeLeaseResponse{}
	err := s.config.Call(wire.Kind_probe_lease, &wire.ProbeLeaseRequest{Service: b.service, Id: permit.probeID,
		Proxy: s.config.Proxy, Incarnation: s.config.Incarnation}, response, leaseTimeout)
	if err != nil {
		s.enterDegraded(err)
		permit.probeID = ""
		return s.admitLocal(b, permit)
	}
	s.applyRecord(b, response.Record)
	if response.Granted {
		permit.version = response.Record.Version
		return nil
	}
	if response.Record != nil && response.Record.State == breakerstore.Closed {
		permit.probeID, permit.version = "", response.Record.Version
		return s.admitLocal(b, permit)
	}
	return apierror.New(apierror.NoProbeLeft, apierror.NotRun, "guard of %s has no probe left", b.service)
}

// admitLocal decides by this node's own breaker.
func (s *Set) admitLocal(b *serviceBreaker, permit *Permit) *apierror.Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	localState := &b.local
	if localState.state == breakerstore.Closed {
		return nil
	}
	now := s.config.Host.Now()
	if localState.state == breakerstore.Open && now-localState.enteredAt >= monotonic.Micros(permit.service.Breaker.GetWaitOpenMicros()) {
		*localState = localBreaker{state: breakerstore.HalfOpen, enteredAt: now, remaining: int(permit.service.Breaker.GetPermittedHalfOpen())}
	}
	if localState.state == breakerstore.HalfOpen && localState.remaining > 0 {
		localState.remaining--
		localState.inFlight++
		permit.localProbe = true
		return nil
	}
	fault := apierror.New(apierror.BreakerOpen, apierror.NotRun, "guard of %s is open on this node", b.service)
	fault.RetryAfter = min(max(monotonic.Micros(permit.service.Breaker.GetWaitOpenMicros())-(now-localState.enteredAt), monotonic.Second), 5*monotonic.Second)
	return fault
}

// Outcome is what a try says of its backend.
type Outcome int

// The outcomes. Neutral says nothing of the backend: the trouble was this node's own or another carrier's.
const (
	Success Outcome = iota
	Failure
	Neutral
)

// Done tells how an admitted try ended.
func (p *Permit) Done(outcome Outcome) {
	s, b := p.set, p.breaker
	elapsed := s.config.Host.Now() - p.startedAt
	breakerConfig := p.service.Breaker
	slow := elapsed > monotonic.Micros(breakerConfig.GetSlowMicros())
	if p.probeID != "" {
		// Trouble of this node's own tells nothing, so its probe goes back.
		verb := "probe"
		if outcome == Neutral {
			verb = "return"
		}
		s.enqueueWrite(&wire.BreakerWriteRequest{Service: b.service, Verb: verb, ExpectedVersion: p.version,
			Id: p.probeID, Success: outcome == Success && !slow, Settings: p.service.BreakerTerms()})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.localProbe {
		s.countLocalProbe(b, breakerConfig, outcome, slow)
		return
	}
	if outcome == Neutral || p.uncounted {
		return
	}
	b.calls++
	if outcome == Failure {
		b.failed++
	}
	b.window.add(callResult{failed: outcome == Failure, slow: slow}, int(breakerConfig.GetWindowCalls()))
	if b.local.state != breakerstore.Closed || b.control != ControlNone ||
		!b.window.exceeds(int(breakerConfig.GetMinimumCalls()), breakerConfig.GetFailureRate(), breakerConfig.GetSlowRate()) {
		return
	}
	s.openLocally(b)
}

// trip opens this node's own breaker and reports it. The lock is held.
func (s *Set) openLocally(b *serviceBreaker) {
	b.local = localBreaker{state: breakerstore.Open, enteredAt: s.config.Host.Now()}
	b.window = newWindow(len(b.window.ring))
	version := uint64(1)
	if b.shared != nil {
		version = b.shared.Version
	}
	s.config.Host.Report(eventlog.BreakerTrippedLocally, map[string]any{"service": b.service})
	s.enqueueWrite(&wire.BreakerWriteRequest{Service: b.service, Verb: "trip", ExpectedVersion: version, Settings: b.thresholds})
}

// countLocalProbe counts a probe of this node's own half-open round. The lock is held.
func (s *Set) countLocalProbe(b *serviceBreaker, breakerConfig *wire.Breaker, outcome Outcome, slow bool) {
	localState := &b.local
	if localState.state != breakerstore.HalfOpen {
		return
	}
	localState.inFlight--
	if outcome == Neutral {
		localState.remaining++
		return
	}
	localState.completed++
	if outcome == Failure || slow {
		localState.failed++
	}
	if localState.completed < int(breakerConfig.GetPermittedHalfOpen()) {
		return
	}
	if float64(localState.failed) >= breakerConfig.GetFailureRate()*float64(localState.completed) {
		s.openLocally(b)
		return
	}
	*localState = localBreaker{state: breakerstore.Closed}
}

// learn takes a shared record, unless a newer one is known. A verdict that changed clears this node's own.
func (s *Set) applyRecord(b *serviceBreaker, record *wire.BreakerRecord) {
	if record == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.shared
	if current != nil && record.Version < current.Version {
		return
	}
	b.shared = record
	if current == nil && record.State == breakerstore.Closed || current != nil && current.State == record.State {
		return
	}
	b.window = newWindow(len(b.window.ring))
	b.local = localBreaker{state: breakerstore.Closed}
	s.config.Host.Report(eventlog.BreakerStateChanged, map[string]any{"service": b.service, "state": record.State, "serial": record.Version})
}

// ApplyPoll takes the poll's records, or nothing when the primary wasn't reached.
func (s *Set) ApplyPoll(records []*wire.BreakerRecord, reached bool) {
	if !reached {
		s.enterDegraded(apierror.Unreachable.New("poll"))
		return
	}
	s.leaveDegraded()
	for _, record := range records {
		s.applyRecord(s.forService(record.Service), record)
	}
}

// degrade falls back to this node's own windows and drops what waits in the lane.
func (s *Set) enterDegraded(cause error) {
	s.mu.Lock()
	first := !s.degraded
	s.degraded = true
	if first {
		delay := float64(s.config.RetryBackoff) * math.Pow(s.config.RetryMultiplier, float64(s.failures))
		if s.config.RetryBackoffMax > 0 {
			delay = min(delay, float64(s.config.RetryBackoffMax))
		}
		delay += delay * s.config.RetryJitter * float64(s.config.Host.Random()%1000) / 1000
		s.failures++
		s.retryAt = s.config.Host.Now() + monotonic.Micros(delay)
	}
	s.mu.Unlock()
	if first {
		s.config.Host.Report(eventlog.BreakerDegraded, map[string]any{"error": cause.Error()})
	}
}

func (s *Set) leaveDegraded() {
	s.mu.Lock()
	was := s.degraded
	s.degraded, s.failures = false, 0
	s.mu.Unlock()
	if was {
		s.config.Host.Report(eventlog.BreakerRecovered, map[string]any{})
	}
}

// write puts a write on the lane, or drops it and says so. It never blocks.
func (s *Set) enqueueWrite(request *wire.BreakerWriteRequest) {
	request.Proxy, request.Incarnation = s.config.Proxy, s.config.Incarnation
	s.mu.Lock()
	backingOff := s.degraded && s.config.Host.Now() < s.retryAt
	full := s.queuedWrites >= s.config.WriteQueueLength || s.closed
	if !backingOff && !full {
		s.queuedWrites++
	}
	s.mu.Unlock()
	if backingOff || full {
		s.config.Host.Report(eventlog.BreakerWriteDropped, map[string]any{"service": request.Service, "verb": request.Verb, "degraded": backingOff})
		return
	}
	s.writes.Put(request)
}

// SendWrites sends the writes, in order, for ever.
func (s *Set) SendWrites() {
	for {
		for _, request := range s.writes.TakeAll(monotonic.Second) {
			s.sendWrite(request)
			s.mu.Lock()
			s.queuedWrites--
			empty := s.queuedWrites == 0
			s.mu.Unlock()
			if empty {
				s.writesDrained.Fire()
			}
		}
	}
}

// writeTimeout is how long a write may take, which nobody waits for, and leaseTimeout how long a probe's lease may,
// which one caller does. Both outlast a batch that a slow disk syncs.
const (
	writeTimeout = 1500 * monotonic.Millisecond
	leaseTimeout = monotonic.Second
)

func (s *Set) sendWrite(request *wire.BreakerWriteRequest) {
	if s.Degraded() {
		s.config.Host.Report(eventlog.BreakerWriteDropped, map[string]any{"service": request.Service, "verb": request.Verb, "degraded": true})
		return
	}
	response := &wire.BreakerWriteResponse{}
	if err := s.config.Call(wire.Kind_breaker_write, request, response, writeTimeout); err != nil {
		s.enterDegraded(err)
		return
	}
	s.applyRecord(s.forService(request.Service), response.Record)
	if request.Verb == "trip" && response.Applied && response.Record.State == breakerstore.Closed {
		s.config.Host.Report(eventlog.BreakerTripReported, map[string]any{"service": request.Service, "reports": len(response.Record.Reports)})
	}
	if request.Verb != "probe" || !response.Applied || !response.RoundComplete {
		return
	}
	// This node's outcome was the round's last, so it decides, by the thresholds, fenced by the round's serial.
	decision := &wire.BreakerWriteRequest{Service: request.Service, Verb: "decide", ExpectedVersion: response.Record.Version, Decision: breakerstore.JudgeRound(response.Record),
		Proxy: s.config.Proxy, Incarnation: s.config.Incarnation, Settings: request.Settings}
	decided := &wire.BreakerWriteResponse{}
	if err := s.config.Call(wire.Kind_breaker_write, decision, decided, writeTimeout); err != nil {
		s.enterDegraded(err)
		return
	}
	s.applyRecord(s.forService(request.Service), decided.Record)
}

// Close drains the lane, at most for patience. Afterwards writes are dropped and the cached verdicts are forgotten.
func (s *Set) Close(timeout monotonic.Micros) {
	deadline := s.config.Host.Now() + timeout
	for s.config.Host.Now() < deadline {
		s.mu.Lock()
		empty := s.queuedWrites == 0
		s.mu.Unlock()
		if empty {
			break
		}
		s.writesDrained.Wait(min(deadline-s.config.Host.Now(), 100*monotonic.Millisecond))
	}
	s.mu.Lock()
	s.closed, s.degraded = true, true
	s.mu.Unlock()
}

// controls are the manual ones; reset clears them and this node's own window, not the shared record.
var controls = map[string]string{"force_open": ControlForceOpen, "disable": ControlDisable, "metrics_only": ControlMetricsOnly, "reset": ControlNone}

// SetControl sets a manual control.
func (s *Set) SetControl(service, verb string) error {
	control, known := controls[verb]
	if !known {
		return apierror.Invalid.New("%q is not force_open, disable, metrics_only or reset", verb)
	}
	b := s.forService(service)
	b.mu.Lock()
	b.control = control
	if control == ControlNone {
		b.window, b.local = newWindow(len(b.window.ring)), localBreaker{state: breakerstore.Closed}
	}
	b.mu.Unlock()
	s.config.Host.Report(eventlog.BreakerManualControl, map[string]any{"service": service, "control": verb})
	return nil
}

// TakeActivity tells which services were called, or wanted to be, since it was last asked.
func (s *Set) TakeActivity() (activity []*wire.Activity) {
	for _, b := range s.sorted() {
		b.mu.Lock()
		if calls, requests := b.calls-b.reportedCalls, b.admissionRequests-b.reportedRequests; calls > 0 || requests > 0 {
			activity = append(activity, &wire.Activity{Service: b.service, Calls: calls, Failures: b.failed, Attempts: requests})
			b.reportedCalls, b.reportedRequests = b.calls, b.admissionRequests
		}
		b.mu.Unlock()
	}
	return activity
}

// Status is one guard as operators see it on a node.
type Status struct {
	Service string `json:"service"`
	Shared  string `json:"shared"`
	Version uint64 `json:"serial"`
	Local   string `json:"local"`
	Control string `json:"control,omitempty"`
	Calls   uint64 `json:"calls"`
	Failed  uint64 `json:"failed"`
	Window  int    `json:"window"` // calls that the window holds
}

// Statuses lists the guards.
func (s *Set) Statuses() (statuses []Status) {
	for _, b := range s.sorted() {
		b.mu.Lock()
		status := Status{Service: b.service, Shared: breakerstore.Closed, Local: b.local.state, Control: b.control,
			Calls: b.calls, Failed: b.failed, Window: b.window.filled}
		if b.shared != nil {
			status.Shared, status.Version = b.shared.State, b.shared.Version
		}
		b.mu.Unlock()
		statuses = append(statuses, status)
	}
	return statuses
}
