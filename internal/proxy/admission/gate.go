// Package admission is the server side of a carrier: the last check before a backend, and the one that claims run-once keys.
package admission

import (
	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/admission/uplink"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/replay"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

const (
	// claimLife is how long a claim permits starting, counted from before the ask.
	claimLife = monotonic.Second
	// olderGrace is how long after an adoption passes that were resolved by the serial before are still let in. The
	// sender's own tenure is what keeps the 2 s rule; this bounds a sender that froze with a request in hand.
	olderGrace = monotonic.Second
	// catchUp is how long a pass of a newer serial waits for this carrier to adopt it.
	catchUp = 500 * monotonic.Millisecond
)

// Order is one request for a backend.
type Order struct {
	ID          string
	Backend     localbackends.Backend
	Method      string
	Target      string
	Headers     []*wire.Header
	Body        []byte
	Fresh       bool // take a connection that nothing was sent on before
	Cutoff      monotonic.Micros
	AnswerLimit uint64
	// Still is asked right before the first byte of the request is written; a fault stops it.
	Still func() *apierror.Fault
	// Cancelled has something happen once when the caller has left, at once if it has already; stop ends that. Nil where the request is to be
	// ended by nobody.
	Cancelled func(happen func()) (stop func())
}

// Delivery hands a request to a backend and reads its whole answer. Its faults say whether the request may have run.
type Delivery interface {
	Deliver(order Order) (*request.Response, *apierror.Fault)
}

// Env is what a gate is made of.
type Env struct {
	Place       host.Host
	Carrier     string
	Incarnation uint64
	Desk        *configclient.Client
	Hutch       *localbackends.Hutch
	Shelf       *replay.Store
	Delivery    Delivery
	// Link is what this machine's link carries, in megabits a second; zero for one that isn't counted.
	Link float64
	// ServeOn: passes are taken whatever desired state they were resolved by, and whether or not this carrier has a tenure.
	ServeOn bool
	// CallPrimary asks the primary sorter until patience ends.
	CallPrimary func(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error
	// CallCarrier asks another carrier by name.
	CallCarrier func(name string, kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error
}

// Gate answers passes. Invariant: running counts the passes between being read and being answered.
type Gate struct {
	env     Env
	running atomic.Int64
	closed  atomic.Bool
	idle    host.Signal
	last    *shutdown.Post
	work    *work
	cancels *cancels
	link    *uplink.Uplink
	// unclaimed leaves the claim out; only rehearsals of the checkers set it.
	unclaimed bool
	// byService claims a key for its service alone; only rehearsals of the checkers set it.
	byService bool
}

// New makes a gate.
func New(env Env) *Gate {
	return &Gate{env: env, idle: env.Place.NewSignal(), last: shutdown.New(env.Place), work: newWork(env.Place), cancels: newCancels(), link: uplink.New(env.Link)}
}

// Register adds the handlers.
func (gate *Gate) Register(table host.Handlers) {
	host.Handle(table, wire.Kind_forward, gate.Pass)
	host.Handle(table, wire.Kind_forward_bulk, gate.Pass)
	host.Handle(table, wire.Kind_forward_cancel, func(ask *wire.ForwardCancelRequest) (*wire.ForwardCancelResponse, error) {
		return &wire.ForwardCancelResponse{Found: gate.Cancel(ask.From, ask.Id)}, nil
	})
	host.Handle(table, wire.Kind_replay, func(ask *wire.ReplayRequest) (*wire.ForwardResponse, error) {
		answer, busy := gate.recorded(ask.Scope, ask.Digest, recallPatience*4/5)
		if answer != nil {
			return answered("", answer), nil
		}
		cause := apierror.ResponseExpired
		if busy {
			cause = apierror.KeyPending
		}
		return &wire.ForwardResponse{Rejected: true, Cause: uint32(cause), Verdict: string(apierror.MayHaveRun)}, nil
	})
}

// Unclaimed leaves the claim out, to show that a checker sees what comes of it. No program sets it.
func (gate *Gate) Unclaimed(broken bool) { gate.unclaimed = broken }

// ByService claims keys for one service alone, to show that a checker sees what comes of it. No program sets it.
func (gate *Gate) ByService(broken bool) { gate.byService = broken }

// Running is the number of passes under way.
func (gate *Gate) Running() int64 { return gate.running.Load() }

// Refuse makes the gate turn new passes, and those that wait for a slot, down as not run.
func (gate *Gate) Refuse() {
	gate.closed.Store(true)
	gate.env.Hutch.Close()
}

// checks are made in order before anything is claimed. Each refusal here is certain: nothing ran.
var checks = []func(gate *Gate, ask *wire.ForwardRequest) *apierror.Fault{
	func(gate *Gate, ask *wire.ForwardRequest) *apierror.Fault {
		if gate.closed.Load() {
			return apierror.New(apierror.Draining, apierror.NotRun, "carrier %s is stopping", gate.env.Carrier)
		}
		return nil
	},
	func(gate *Gate, ask *wire.ForwardRequest) *apierror.Fault {
		if ask.ToIncarnation != gate.env.Incarnation {
			return apierror.New(apierror.BackendUnknown, apierror.NotRun, "addressed to another life of this carrier")
		}
		return nil
	},
	func(gate *Gate, _ *wire.ForwardRequest) *apierror.Fault { return gate.leased() },
	func(gate *Gate, ask *wire.ForwardRequest) *apierror.Fault {
		if gate.env.ServeOn {
			return nil
		}
		serial, age := gate.env.Desk.Version()
		if ask.ConfigVersion < serial && (ask.ConfigVersion+1 < serial || age > olderGrace) {
			return apierror.New(apierror.VersionOlder, apierror.NotRun, "resolved by serial %d, %d is in force", ask.ConfigVersion, serial)
		}
		if ask.ConfigVersion > serial && !gate.env.Desk.WaitForVersion(ask.ConfigVersion, min(catchUp, monotonic.Micros(ask.Remaining))) {
			return apierror.New(apierror.VersionBehind, apierror.NotRun, "resolved by serial %d, this carrier has %d", ask.ConfigVersion, serial)
		}
		return nil
	},
}

// leased refuses without a tenure, where one is needed.
func (gate *Gate) leased() *apierror.Fault {
	if _, live := gate.env.Desk.Current(); !live && !gate.env.ServeOn {
		return apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun, "carrier %s has no tenure to serve", gate.env.Carrier)
	}
	return nil
}

// service finds a pass's service in the view that counts from here on: it may have changed since the checks.
func (gate *Gate) service(ask *wire.ForwardRequest) (*config.Service, *apierror.Fault) {
	view, _ := gate.env.Desk.Current()
	if view != nil && view.Services[ask.Service] != nil {
		return view.Services[ask.Service], nil
	}
	if gate.env.ServeOn {
		return config.DefaultService(ask.Service), nil // whoever resolved it has another view
	}
	return nil, apierror.New(apierror.VersionOlder, apierror.NotRun, "service %s is not in serial %d", ask.Service, view.Version)
}

// telling are the events of faults that operators should hear of, beyond the caller's refusal.
var telling = map[apierror.Cause]int{apierror.ResponseBroken: eventlog.ResponseBroken, apierror.BackendIdentityMismatch: eventlog.IdentityMismatch}

// Pass handles one request from another carrier, or from this one.
func (gate *Gate) Pass(ask *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	gate.running.Inc()
	defer func() {
		if gate.running.Dec() == 0 {
			gate.idle.Fire()
		}
	}()
	var tell *wire.ForwardResponse
	outcome := gate.last.Run(func(errand *shutdown.Errand) { tell = gate.pass(ask, errand) })
	if outcome == shutdown.Done {
		tell.Load = gate.load(ask)
		return tell, nil
	}
	verdict := apierror.MayHaveRun
	if outcome == shutdown.Unstarted && !ask.RunOnce {
		verdict = apierror.NotRun
	}
	return gate.refused(ask, apierror.New(apierror.StoppedInFlight, verdict, "carrier %s stops, and can't wait any longer", gate.env.Carrier)), nil
}

// GiveUp answers every pass still under way now.
func (gate *Gate) GiveUp() { gate.last.GiveUp() }

func (gate *Gate) pass(ask *wire.ForwardRequest, errand *shutdown.Errand) (tell *wire.ForwardResponse) {
	cutoff := gate.env.Place.Now() + monotonic.Micros(ask.Remaining)
	if gate.byService {
		ask = proto.CloneOf(ask)
		ask.Scope = ask.Service + "\n" + ask.Scope
	}
	for _, check := range checks {
		if fault := check(gate, ask); fault != nil {
			return gate.refused(ask, fault)
		}
	}
	service, fault := gate.service(ask)
	if fault != nil {
		return gate.refused(ask, fault)
	}
	visit, fault := gate.visit(ask)
	if fault != nil {
		return gate.refused(ask, fault)
	}
	defer visit.Close(outlier.Unknown)
	size, fault := gate.sendable(ask)
	if fault != nil {
		return gate.refused(ask, fault)
	}
	defer func() {
		if ask.From != gate.env.Carrier {
			gate.link.Done(gate.env.Place.Now(), ask.Route, size, len(tell.GetBody()))
		}
	}()
	cancel := gate.cancels.begin(ask)
	defer gate.cancels.end(ask)
	stay, earlier, fault := gate.stay(ask, service, cutoff)
	if fault != nil {
		return gate.refused(ask, fault)
	}
	if earlier != nil {
		return answered(ask.Id, earlier)
	}
	if ask.RunOnce {
		gate.work.begin(ask.Scope)
		defer gate.work.end(ask.Scope)
	}
	backend, startBy := stay.Backend, stay.startBy
	order := Order{ID: ask.Id, Backend: backend, Method: ask.Method, Target: ask.Target, Headers: ask.Headers, Body: ask.Body,
		Fresh: ask.RunOnce || ask.AtMostOnce, Cutoff: cutoff, AnswerLimit: ask.AnswerLimit}
	if !ask.RunOnce && !ask.AtMostOnce {
		order.Cancelled = cancel.then
	}
	order.Still = func() *apierror.Fault {
		if cancel.cancelled() {
			return apierror.New(apierror.ClientClosed, apierror.NotRun, "its caller left before it was handed over")
		}
		if gate.env.Place.Now() >= startBy {
			return apierror.New(apierror.ClaimTimeout, apierror.NotRun, "too late to start")
		}
		if fault := gate.leased(); fault != nil {
			return fault
		}
		if fault := gate.env.Hutch.Still(backend.Instance, backend.Service); fault != nil {
			return fault
		}
		if !errand.Start() {
			return apierror.New(apierror.StoppedInFlight, apierror.NotRun, "given up before the hand-over")
		}
		return nil
	}
	visit.Start()
	answer, fault := gate.env.Delivery.Deliver(order)
	if fault != nil && !fault.NotRun() && order.Cancelled != nil && cancel.cancelled() {
		fault = apierror.New(apierror.ClientClosed, apierror.MayHaveRun, "its caller left while the backend was at work")
		fault.Local = true // that it was broken off says nothing of the backend
	}
	visit.Close(worth(answer, fault))
	stay.Leave(ended(answer, fault))
	if fault == nil && answer.NotRun {
		fault = apierror.New(apierror.NotExecuted, apierror.NotRun, "backend %s answered %d, not executed", backend.Instance, answer.Status)
	}
	if fault != nil {
		if ask.RunOnce && fault.NotRun() {
			gate.free(ask)
		}
		if number := telling[fault.Cause]; number > 0 {
			gate.env.Place.Report(number, map[string]any{"instance": backend.Instance, "detail": fault.Detail})
		}
		return gate.refused(ask, fault)
	}
	answer.Instance = backend.Instance
	if ask.RunOnce {
		gate.env.Shelf.Put(ask.Scope, ask.Digest, answer)
	}
	return answered(ask.Id, answer)
}

// knownOver are the causes of faults after which the backend has answered, though not as it should.
var knownOver = map[apierror.Cause]bool{apierror.ResponseTooLarge: true, apierror.ResponseMismatch: true}

// ended tells what a delivery's end says of its slot. Errors are no measure: what fails at once would look quick.
func ended(answer *request.Response, fault *apierror.Fault) slots.End {
	switch {
	case fault == nil && answer.Status < 500:
		return slots.Worked
	case fault == nil || fault.NotRun() || knownOver[fault.Cause]:
		return slots.Over
	}
	return slots.Unsure
}

// linkShare is the part of the time that's left in which a large answer must be on its way.
const linkShare = 0.6

// sendable tells whether this machine's link can carry the answer in time, as far as the route's answers usually go. Nothing ran
// where it can't.
func (gate *Gate) sendable(ask *wire.ForwardRequest) (size float64, fault *apierror.Fault) {
	if ask.From == gate.env.Carrier {
		return 0, nil
	}
	limit := ask.Remaining
	if ask.LatencyTarget > 0 && !ask.MayQueue {
		limit = ask.LatencyTarget
	}
	size, wait, admitted := gate.link.Admit(gate.env.Place.Now(), ask.Route, monotonic.Micros(linkShare*float64(limit)))
	if admitted {
		return size, nil
	}
	fault = apierror.New(apierror.Overloaded, apierror.NotRun, "the link of %s is taken for %d ms", gate.env.Carrier, wait/monotonic.Millisecond)
	fault.RetryAfter = max(wait, monotonic.Millisecond)
	return 0, fault
}

func (gate *Gate) refused(ask *wire.ForwardRequest, fault *apierror.Fault) *wire.ForwardResponse {
	serial, _ := gate.env.Desk.Version()
	return &wire.ForwardResponse{Id: ask.Id, Rejected: true, Cause: uint32(fault.Cause), Verdict: string(fault.Verdict), RetryAfter: int64(fault.RetryAfter),
		BackendFault: fault.Backend, ConfigVersion: serial, Detail: fault.Detail}
}

func answered(id string, answer *request.Response) *wire.ForwardResponse {
	return &wire.ForwardResponse{Id: id, Status: answer.Status, Headers: answer.Headers, Body: answer.Body, Length: uint64(len(answer.Body)),
		Checksum: frame.Checksum(answer.Body), Instance: answer.Instance}
}

// Whole tells whether a passed answer is what the other side meant to send.
func Whole(tell *wire.ForwardResponse) bool {
	return uint64(len(tell.Body)) == tell.Length && frame.Checksum(tell.Body) == tell.Checksum
}

// Drain waits until every pass under way is answered, at most for patience.
func (gate *Gate) Drain(patience monotonic.Micros) bool {
	cutoff := gate.env.Place.Now() + patience
	for gate.running.Load() > 0 {
		remaining := cutoff - gate.env.Place.Now()
		if remaining <= 0 {
			return false
		}
		gate.idle.Wait(min(remaining, 100*monotonic.Millisecond))
	}
	return true
}
