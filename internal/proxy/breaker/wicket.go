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

// Env is what a guard is made of.
type Env struct {
	Place       host.Host
	Carrier     string
	Incarnation uint64
	// Call asks the primary sorter once.
	Call func(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error
	// LaneLength bounds the lane of writes.
	LaneLength int
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

// Wicket holds the breakers of all services this carrier calls.
type Wicket struct {
	env  Env
	lane *host.Queue[*wire.BreakerWriteRequest]

	lock     sync.Mutex
	breakers map[string]*breaker
	degraded bool
	failures int
	retryAt  monotonic.Micros
	queued   int
	closed   bool
	idle     host.Signal
	// unleased lets tries through while half open without a probe; only rehearsals of the checkers set it.
	unleased bool
}

// Unleased leaves probes out, to show that a checker sees what comes of it. No program sets it.
func (wicket *Wicket) Unleased(broken bool) { wicket.unleased = broken }

// breaker is one service's.
// Invariants: shared is only replaced by a record of the same or a higher serial; local is Closed whenever the shared
// verdict is not, except while degraded; ids of probes are used once.
type breaker struct {
	lock    sync.Mutex
	service string
	shared  *wire.BreakerRecord
	window  *window
	local   local
	control string
	terms   *wire.BreakerSettings
	calls   uint64
	failed  uint64
	told    uint64
	asked   uint64 // tries that wanted entry, and how many of them were told
	reached uint64
}

// Ticket is one admitted try. Done must be called once.
type Ticket struct {
	wicket  *Wicket
	breaker *breaker
	service *config.Service
	probe   string
	serial  uint64
	local   bool
	started monotonic.Micros
	ignored bool
}

// New makes the guard.
func New(env Env) *Wicket {
	if env.LaneLength == 0 {
		env.LaneLength = 128
	}
	if env.RetryBackoff == 0 {
		env.RetryBackoff = 5 * monotonic.Second
	}
	if env.RetryMultiplier < 1 {
		env.RetryMultiplier = 1
	}
	return &Wicket{env: env, lane: host.NewQueue[*wire.BreakerWriteRequest](env.Place), breakers: map[string]*breaker{}, idle: env.Place.NewSignal()}
}

func (wicket *Wicket) breaker(service string) *breaker {
	wicket.lock.Lock()
	defer wicket.lock.Unlock()
	present := wicket.breakers[service]
	if present == nil {
		present = &breaker{service: service, window: newWindow(100), local: local{state: breakerstore.Closed}}
		wicket.breakers[service] = present
	}
	return present
}

func (wicket *Wicket) all() []*breaker {
	wicket.lock.Lock()
	defer wicket.lock.Unlock()
	breakers := make([]*breaker, 0, len(wicket.breakers))
	for _, present := range wicket.breakers {
		breakers = append(breakers, present)
	}
	sort.Slice(breakers, func(one, other int) bool { return breakers[one].service < breakers[other].service })
	return breakers
}

// Degraded tells whether this node goes by its own windows, for want of the shared verdict.
func (wicket *Wicket) Degraded() bool {
	wicket.lock.Lock()
	defer wicket.lock.Unlock()
	return wicket.degraded
}

// admissions decide by the shared verdict.
var admissions = map[string]func(wicket *Wicket, breaker *breaker, ticket *Ticket) *apierror.Fault{
	breakerstore.Closed:   (*Wicket).admitLocal,
	breakerstore.Open:     (*Wicket).admitOpen,
	breakerstore.HalfOpen: (*Wicket).admitProbe,
}

// Admit grants one try entry, or refuses it.
func (wicket *Wicket) Admit(service *config.Service) (*Ticket, *apierror.Fault) {
	breaker := wicket.breaker(service.Name)
	ticket := &Ticket{wicket: wicket, breaker: breaker, service: service, started: wicket.env.Place.Now()}
	breaker.lock.Lock()
	breaker.terms = service.BreakerTerms()
	breaker.asked++
	control := breaker.control
	state := breakerstore.Closed
	if breaker.shared != nil {
		state = breaker.shared.State
		ticket.serial = breaker.shared.Version
	}
	breaker.lock.Unlock()
	if control == ControlForceOpen {
		return nil, apierror.New(apierror.BreakerOpen, apierror.NotRun, "guard of %s is forced open on this node", service.Name)
	}
	if control != ControlNone || service.Breaker.GetDisabled() {
		ticket.ignored = control != ControlMetricsOnly
		return ticket, nil
	}
	if wicket.Degraded() {
		state = breakerstore.Closed
	}
	if fault := admissions[state](wicket, breaker, ticket); fault != nil {
		return nil, fault
	}
	return ticket, nil
}

func (wicket *Wicket) admitOpen(breaker *breaker, ticket *Ticket) *apierror.Fault {
	fault := apierror.New(apierror.BreakerOpen, apierror.NotRun, "guard of %s is open", breaker.service)
	fault.RetryAfter = min(max(monotonic.Micros(ticket.service.Breaker.GetWaitOpenMicros()), monotonic.Second), 5*monotonic.Second)
	return fault
}

// admitProbe is the one inline call.
func (wicket *Wicket) admitProbe(breaker *breaker, ticket *Ticket) *apierror.Fault {
	if wicket.unleased {
		return nil
	}
	ticket.probe = fmt.Sprintf("%s-%016x", wicket.env.Carrier, wicket.env.Place.Random())
	tell := &wire.ProbeLeaseResponse{}
	err := wicket.env.Call(wire.Kind_probe_lease, &wire.ProbeLeaseRequest{Service: breaker.service, Id: ticket.probe,
		Proxy: wicket.env.Carrier, Incarnation: wicket.env.Incarnation}, tell, leasePatience)
	if err != nil {
		wicket.degrade(err)
		ticket.probe = ""
		return wicket.admitLocal(breaker, ticket)
	}
	wicket.learn(breaker, tell.Record)
	if tell.Granted {
		ticket.serial = tell.Record.Version
		return nil
	}
	if tell.Record != nil && tell.Record.State == breakerstore.Closed {
		ticket.probe, ticket.serial = "", tell.Record.Version
		return wicket.admitLocal(breaker, ticket)
	}
	return apierror.New(apierror.NoProbeLeft, apierror.NotRun, "guard of %s has no probe left", breaker.service)
}

// admitLocal decides by this node's own breaker.
func (wicket *Wicket) admitLocal(breaker *breaker, ticket *Ticket) *apierror.Fault {
	breaker.lock.Lock()
	defer breaker.lock.Unlock()
	own := &breaker.local
	if own.state == breakerstore.Closed {
		return nil
	}
	now := wicket.env.Place.Now()
	if own.state == breakerstore.Open && now-own.entered >= monotonic.Micros(ticket.service.Breaker.GetWaitOpenMicros()) {
		*own = local{state: breakerstore.HalfOpen, entered: now, left: int(ticket.service.Breaker.GetPermittedHalfOpen())}
	}
	if own.state == breakerstore.HalfOpen && own.left > 0 {
		own.left--
		own.out++
		ticket.local = true
		return nil
	}
	fault := apierror.New(apierror.BreakerOpen, apierror.NotRun, "guard of %s is open on this node", breaker.service)
	fault.RetryAfter = min(max(monotonic.Micros(ticket.service.Breaker.GetWaitOpenMicros())-(now-own.entered), monotonic.Second), 5*monotonic.Second)
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
func (ticket *Ticket) Done(outcome Outcome) {
	wicket, breaker := ticket.wicket, ticket.breaker
	took := wicket.env.Place.Now() - ticket.started
	guard := ticket.service.Breaker
	slow := took > monotonic.Micros(guard.GetSlowMicros())
	if ticket.probe != "" {
		// Trouble of this node's own tells nothing, so its probe goes back.
		verb := "probe"
		if outcome == Neutral {
			verb = "return"
		}
		wicket.write(&wire.BreakerWriteRequest{Service: breaker.service, Verb: verb, ExpectedVersion: ticket.serial,
			Id: ticket.probe, Success: outcome == Success && !slow, Settings: ticket.service.BreakerTerms()})
		return
	}
	breaker.lock.Lock()
	defer breaker.lock.Unlock()
	if ticket.local {
		wicket.tallyLocal(breaker, guard, outcome, slow)
		return
	}
	if outcome == Neutral || ticket.ignored {
		return
	}
	breaker.calls++
	if outcome == Failure {
		breaker.failed++
	}
	breaker.window.add(mark{failed: outcome == Failure, slow: slow}, int(guard.GetWindowCalls()))
	if breaker.local.state != breakerstore.Closed || breaker.control != ControlNone ||
		!breaker.window.over(int(guard.GetMinimumCalls()), guard.GetFailureRate(), guard.GetSlowRate()) {
		return
	}
	wicket.trip(breaker)
}

// trip opens this node's own breaker and reports it. The lock is held.
func (wicket *Wicket) trip(breaker *breaker) {
	breaker.local = local{state: breakerstore.Open, entered: wicket.env.Place.Now()}
	breaker.window = newWindow(len(breaker.window.ring))
	serial := uint64(1)
	if breaker.shared != nil {
		serial = breaker.shared.Version
	}
	wicket.env.Place.Report(eventlog.BreakerTrippedLocally, map[string]any{"service": breaker.service})
	wicket.write(&wire.BreakerWriteRequest{Service: breaker.service, Verb: "trip", ExpectedVersion: serial, Settings: breaker.terms})
}

// tallyLocal counts a probe of this node's own half-open round. The lock is held.
func (wicket *Wicket) tallyLocal(breaker *breaker, guard *wire.Breaker, outcome Outcome, slow bool) {
	own := &breaker.local
	if own.state != breakerstore.HalfOpen {
		return
	}
	own.out--
	if outcome == Neutral {
		own.left++
		return
	}
	own.tallied++
	if outcome == Failure || slow {
		own.failed++
	}
	if own.tallied < int(guard.GetPermittedHalfOpen()) {
		return
	}
	if float64(own.failed) >= guard.GetFailureRate()*float64(own.tallied) {
		wicket.trip(breaker)
		return
	}
	*own = local{state: breakerstore.Closed}
}

// learn takes a shared record, unless a newer one is known. A verdict that changed clears this node's own.
func (wicket *Wicket) learn(breaker *breaker, record *wire.BreakerRecord) {
	if record == nil {
		return
	}
	breaker.lock.Lock()
	defer breaker.lock.Unlock()
	present := breaker.shared
	if present != nil && record.Version < present.Version {
		return
	}
	breaker.shared = record
	if present == nil && record.State == breakerstore.Closed || present != nil && present.State == record.State {
		return
	}
	breaker.window = newWindow(len(breaker.window.ring))
	breaker.local = local{state: breakerstore.Closed}
	wicket.env.Place.Report(eventlog.BreakerStateChanged, map[string]any{"service": breaker.service, "state": record.State, "serial": record.Version})
}

// Polled takes the poll's records, or nothing when the primary wasn't reached.
func (wicket *Wicket) Polled(records []*wire.BreakerRecord, reached bool) {
	if !reached {
		wicket.degrade(apierror.Unreachable.New("poll"))
		return
	}
	wicket.recover()
	for _, record := range records {
		wicket.learn(wicket.breaker(record.Service), record)
	}
}

// degrade falls back to this node's own windows and drops what waits in the lane.
func (wicket *Wicket) degrade(cause error) {
	wicket.lock.Lock()
	first := !wicket.degraded
	wicket.degraded = true
	if first {
		delay := float64(wicket.env.RetryBackoff) * math.Pow(wicket.env.RetryMultiplier, float64(wicket.failures))
		if wicket.env.RetryBackoffMax > 0 {
			delay = min(delay, float64(wicket.env.RetryBackoffMax))
		}
		delay += delay * wicket.env.RetryJitter * float64(wicket.env.Place.Random()%1000) / 1000
		wicket.failures++
		wicket.retryAt = wicket.env.Place.Now() + monotonic.Micros(delay)
	}
	wicket.lock.Unlock()
	if first {
		wicket.env.Place.Report(eventlog.BreakerDegraded, map[string]any{"error": cause.Error()})
	}
}

func (wicket *Wicket) recover() {
	wicket.lock.Lock()
	was := wicket.degraded
	wicket.degraded, wicket.failures = false, 0
	wicket.lock.Unlock()
	if was {
		wicket.env.Place.Report(eventlog.BreakerRecovered, map[string]any{})
	}
}

// write puts a write on the lane, or drops it and says so. It never blocks.
func (wicket *Wicket) write(ask *wire.BreakerWriteRequest) {
	ask.Proxy, ask.Incarnation = wicket.env.Carrier, wicket.env.Incarnation
	wicket.lock.Lock()
	gated := wicket.degraded && wicket.env.Place.Now() < wicket.retryAt
	full := wicket.queued >= wicket.env.LaneLength || wicket.closed
	if !gated && !full {
		wicket.queued++
	}
	wicket.lock.Unlock()
	if gated || full {
		wicket.env.Place.Report(eventlog.BreakerWriteDropped, map[string]any{"service": ask.Service, "verb": ask.Verb, "degraded": gated})
		return
	}
	wicket.lane.Put(ask)
}

// Lane sends the writes, in order, for ever.
func (wicket *Wicket) Lane() {
	for {
		for _, ask := range wicket.lane.TakeAll(monotonic.Second) {
			wicket.send(ask)
			wicket.lock.Lock()
			wicket.queued--
			empty := wicket.queued == 0
			wicket.lock.Unlock()
			if empty {
				wicket.idle.Fire()
			}
		}
	}
}

// writePatience is how long a write may take, which nobody waits for, and leasePatience how long a probe's lease may,
// which one caller does. Both outlast a batch that a slow disk syncs.
const (
	writePatience = 1500 * monotonic.Millisecond
	leasePatience = monotonic.Second
)

func (wicket *Wicket) send(ask *wire.BreakerWriteRequest) {
	if wicket.Degraded() {
		wicket.env.Place.Report(eventlog.BreakerWriteDropped, map[string]any{"service": ask.Service, "verb": ask.Verb, "degraded": true})
		return
	}
	tell := &wire.BreakerWriteResponse{}
	if err := wicket.env.Call(wire.Kind_breaker_write, ask, tell, writePatience); err != nil {
		wicket.degrade(err)
		return
	}
	wicket.learn(wicket.breaker(ask.Service), tell.Record)
	if ask.Verb == "trip" && tell.Applied && tell.Record.State == breakerstore.Closed {
		wicket.env.Place.Report(eventlog.BreakerTripReported, map[string]any{"service": ask.Service, "reports": len(tell.Record.Reports)})
	}
	if ask.Verb != "probe" || !tell.Applied || !tell.RoundComplete {
		return
	}
	// This node's outcome was the round's last, so it decides, by the thresholds, fenced by the round's serial.
	decision := &wire.BreakerWriteRequest{Service: ask.Service, Verb: "decide", ExpectedVersion: tell.Record.Version, Decision: breakerstore.JudgeRound(tell.Record),
		Proxy: wicket.env.Carrier, Incarnation: wicket.env.Incarnation, Settings: ask.Settings}
	decided := &wire.BreakerWriteResponse{}
	if err := wicket.env.Call(wire.Kind_breaker_write, decision, decided, writePatience); err != nil {
		wicket.degrade(err)
		return
	}
	wicket.learn(wicket.breaker(ask.Service), decided.Record)
}

// Close drains the lane, at most for patience. Afterwards writes are dropped and the cached verdicts are forgotten.
func (wicket *Wicket) Close(patience monotonic.Micros) {
	cutoff := wicket.env.Place.Now() + patience
	for wicket.env.Place.Now() < cutoff {
		wicket.lock.Lock()
		empty := wicket.queued == 0
		wicket.lock.Unlock()
		if empty {
			break
		}
		wicket.idle.Wait(min(cutoff-wicket.env.Place.Now(), 100*monotonic.Millisecond))
	}
	wicket.lock.Lock()
	wicket.closed, wicket.degraded = true, true
	wicket.lock.Unlock()
}

// controls are the manual ones; reset clears them and this node's own window, not the shared record.
var controls = map[string]string{"force_open": ControlForceOpen, "disable": ControlDisable, "metrics_only": ControlMetricsOnly, "reset": ControlNone}

// Control sets a manual control.
func (wicket *Wicket) Control(service, verb string) error {
	control, known := controls[verb]
	if !known {
		return apierror.Invalid.New("%q is not force_open, disable, metrics_only or reset", verb)
	}
	breaker := wicket.breaker(service)
	breaker.lock.Lock()
	breaker.control = control
	if control == ControlNone {
		breaker.window, breaker.local = newWindow(len(breaker.window.ring)), local{state: breakerstore.Closed}
	}
	breaker.lock.Unlock()
	wicket.env.Place.Report(eventlog.BreakerManualControl, map[string]any{"service": service, "control": verb})
	return nil
}

// Activity tells which services were called, or wanted to be, since it was last asked.
func (wicket *Wicket) Activity() (activity []*wire.Activity) {
	for _, breaker := range wicket.all() {
		breaker.lock.Lock()
		if calls, asked := breaker.calls-breaker.told, breaker.asked-breaker.reached; calls > 0 || asked > 0 {
			activity = append(activity, &wire.Activity{Service: breaker.service, Calls: calls, Failures: breaker.failed, Attempts: asked})
			breaker.told, breaker.reached = breaker.calls, breaker.asked
		}
		breaker.lock.Unlock()
	}
	return activity
}

// Shown is one guard as operators see it on a node.
type Shown struct {
	Service string `json:"service"`
	Shared  string `json:"shared"`
	Serial  uint64 `json:"serial"`
	Local   string `json:"local"`
	Control string `json:"control,omitempty"`
	Calls   uint64 `json:"calls"`
	Failed  uint64 `json:"failed"`
	Window  int    `json:"window"` // calls that the window holds
}

// Show lists the guards.
func (wicket *Wicket) Show() (shown []Shown) {
	for _, breaker := range wicket.all() {
		breaker.lock.Lock()
		entry := Shown{Service: breaker.service, Shared: breakerstore.Closed, Local: breaker.local.state, Control: breaker.control,
			Calls: breaker.calls, Failed: breaker.failed, Window: breaker.window.filled}
		if breaker.shared != nil {
			entry.Shared, entry.Serial = breaker.shared.State, breaker.shared.Version
		}
		breaker.lock.Unlock()
		shown = append(shown, entry)
	}
	return shown
}
