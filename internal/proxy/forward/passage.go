// Package forward is the caller's side of a carrier: it resolves a request, grants it entry, carries it to a backend's
// carrier, tries again within its budget, and gives one final outcome.
package forward

import (
	"strconv"
	"strings"
	"sync"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// voidPatience is how long a lost pass may take to be voided, beyond which the outcome stays open.
const voidPatience = 1500 * monotonic.Millisecond

// Env is what a passage is made of.
type Env struct {
	Place       host.Host
	Carrier     string
	Incarnation uint64
	Address     string
	Domain      string
	Blind       bool
	FarPenalty  monotonic.Micros // what the way to another zone counts for
	Desk        *configclient.Client
	Roll        *session.Roll
	Wicket      *breaker.Wicket
	Purse       *retry.Purse
	Gate        *admission.Gate
	// Silence is how long a carrier may owe answers before it's asked for a sign of life, 700 ms if left out.
	Silence     monotonic.Micros
	CallPrimary func(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error
	// Keep is given the answer of each run-once request, so that it outlives the carrier beside the backend. It may be left out.
	Keep func(scope string, digest []byte, answer *request.Answer)
	// Finished is told every outcome, for counting; it must not block.
	Finished func(trip *Trip, answer *request.Answer, fault *apierror.Fault)
}

// Passage carries requests.
type Passage struct {
	env      Env
	policies []Policy
	draining atomic.Bool
	running  atomic.Int64
	idle     host.Signal
	last     *shutdown.Post
	later    *later
	counts   sync.Map // service name to *atomic.Int64
	choices  *chooser
}

// Trip is one request's way.
// Invariants: Host, Method and Address are the request's in their one spelling; View, Path, Service and Cutoff are set by the
// resolve policy, and only a repin changes them; Once and Single never change once resolved, and are never both set; Service
// is of the Path's split.
type Trip struct {
	Request *request.Request
	Host    string
	Method  string
	Address resourcepath.RequestTarget
	Began   monotonic.Micros
	Cutoff  monotonic.Micros
	View    *config.Snapshot
	Path    config.Route
	Service *config.Service
	Once    bool
	// AtMostOnce: it may run at most once and nothing is claimed for it, so it's only tried again when certain that it has not run.
	Single bool
	Scope  string
	Digest []byte
	Tries  int
	// Doubt is set once some try may have run; from then on no refusal says not run.
	Doubt   bool
	errand  *shutdown.Errand
	moves   moves
	last    bool // the backend of this try is the last one it may be brought to
	leaving leaving
	// Final is set once the verdict was checked against the claims.
	Final bool
}

// New makes a passage.
func New(env Env) *Passage {
	passage := &Passage{env: env, idle: env.Place.NewSignal(), last: shutdown.New(env.Place), later: newLater(env.Place), choices: newChooser(env.Place, env.Domain, env.Blind, env.FarPenalty)}
	if env.Silence > 0 {
		passage.choices.silence = env.Silence
	}
	passage.policies = passage.Policies()
	return passage
}

// leastSign is the least that a quiet carrier is given for a sign of life.
const leastSign = 150 * monotonic.Millisecond

// Look asks carriers that owe answers and give none for a sign of life. An ask that hears nothing ends its connection, and with
// it the passes that wait there, so they are settled and tried elsewhere long before their cutoff.
func (passage *Passage) Look() {
	place := passage.env.Place
	for _, owed := range passage.choices.quiet() {
		place.Go(func() {
			err := place.Call(owed.address, wire.Kind_discover, &wire.DiscoverRequest{HealthCheck: true}, &wire.DiscoverResponse{}, max(leastSign, passage.choices.silence*5/7))
			if err != nil {
				place.Report(eventlog.PeerProxySilent, map[string]any{"address": owed.address, "error": err.Error()})
			}
			passage.choices.lives(owed, err == nil)
		})
	}
}

// LookEvery is how often Look is to be called.
func (passage *Passage) LookEvery() monotonic.Micros { return passage.choices.lookEvery() }

func (passage *Passage) count(service string) *atomic.Int64 {
	if present, found := passage.counts.Load(service); found {
		return present.(*atomic.Int64)
	}
	present, _ := passage.counts.LoadOrStore(service, atomic.NewInt64(0))
	return present.(*atomic.Int64)
}

// Running is the number of requests under way.
func (passage *Passage) Running() int64 { return passage.running.Load() }

// Refuse makes the passage turn new requests down.
func (passage *Passage) Refuse() { passage.draining.Store(true) }

// Drain waits until every request under way has its outcome, at most for patience.
func (passage *Passage) Drain(patience monotonic.Micros) bool {
	cutoff := passage.env.Place.Now() + patience
	for passage.running.Load() > 0 {
		remaining := cutoff - passage.env.Place.Now()
		if remaining <= 0 {
			return false
		}
		passage.idle.Wait(min(remaining, 100*monotonic.Millisecond))
	}
	return true
}

// Together leaves the spreading of callers' return out, to measure what it's worth. No program sets it.
func (passage *Passage) Together(broken bool) { passage.later.together = broken }

// GiveUp gives every request still under way its final outcome now.
func (passage *Passage) GiveUp() { passage.last.GiveUp() }

// Carry gives a request its one outcome: the backend's own complete answer, or a fault.
func (passage *Passage) Carry(req *request.Request) (answer *request.Answer, fault *apierror.Fault) {
	passage.running.Inc()
	defer func() {
		if fault != nil {
			passage.later.put(fault)
			passage.env.Place.Report(eventlog.RequestRejected, map[string]any{"request": req.ID, "cause": int(fault.Cause), "verdict": string(fault.Verdict), "detail": fault.Detail})
		}
		if passage.running.Dec() == 0 {
			passage.idle.Fire()
		}
	}()
	var carried *request.Answer
	var failed *apierror.Fault
	outcome := passage.last.Run(func(errand *shutdown.Errand) { carried, failed = passage.carry(req, errand) })
	if outcome == shutdown.Done {
		return carried, failed
	}
	fault = apierror.New(apierror.StoppedInFlight, apierror.MayHaveRun, "carrier %s stops, and can't wait any longer", passage.env.Carrier)
	if outcome == shutdown.Unstarted && req.Key == "" {
		fault.Verdict = apierror.NotRun
	}
	return nil, fault
}

func (passage *Passage) carry(req *request.Request, errand *shutdown.Errand) (answer *request.Answer, fault *apierror.Fault) {
	trip := &Trip{Request: req, errand: errand, Began: passage.env.Place.Now(), Host: config.CanonicalHost(req.Host), Method: strings.ToUpper(req.Method)}
	trip.Cutoff = trip.Began + voidPatience // until the path's own limit is known
	defer func() {
		if passage.env.Finished != nil {
			passage.env.Finished(trip, answer, fault)
		}
	}()
	if req.Address != nil {
		trip.Address = *req.Address
	} else {
		var err error
		if trip.Address, err = resourcepath.Parse(req.Target); err != nil {
			return nil, apierror.New(apierror.MalformedRequest, apierror.NotRun, "%v", err)
		}
	}
	trip.Scope = scope(trip)
	for _, policy := range passage.policies {
		if fault := policy.Enter(trip); fault != nil {
			return nil, passage.final(trip, fault)
		}
		defer policy.Leave(trip)
	}
	stop := passage.watch(trip)
	answer, fault = passage.attempts(trip)
	stop()
	if fault != nil {
		return nil, passage.final(trip, fault)
	}
	return answer, nil
}

// mostTries is the path's own where it has one, else the service's.
func (trip *Trip) mostTries() int {
	if trip.Path.MaxAttempts > 0 {
		return int(trip.Path.MaxAttempts)
	}
	return int(trip.Service.Retry.GetMostTries())
}

// attempts makes the first try and, while it's safe, allowed and in time, further ones.
func (passage *Passage) attempts(trip *Trip) (*request.Answer, *apierror.Fault) {
	place := passage.env.Place
	avoid := map[string]bool{}
	for {
		answer, fault, retriable := passage.try(trip, avoid)
		moved := trip.moves.ended(passage.env.Purse, trip, fault, retriable, trip.last)
		if fault == nil {
			return answer, nil
		}
		trip.Doubt = trip.Doubt || !fault.NotRun()
		if moved {
			continue
		}
		if fault.Cause == apierror.Overloaded {
			// Each backend that could be asked is full: its caller hears so at once, and the least of the waits.
			fault.RetryAfter = trip.moves.refused
			return nil, fault
		}
		retry := trip.Service.Retry
		if !retriable || trip.Tries >= trip.mostTries() {
			return nil, fault
		}
		backoff := monotonic.Micros(retry.GetBackoffMicros())
		backoff += monotonic.Micros(place.Random() % uint64(backoff+1))
		if place.Now()+backoff+50*monotonic.Millisecond >= trip.Cutoff {
			return nil, fault
		}
		if !passage.env.Purse.Spend(trip.Service.Name, retry.GetAllowance()) {
			spent := apierror.New(apierror.RetryBudgetExhausted, fault.Verdict, "no further try is left; the last said: %s", fault.Detail)
			return nil, spent
		}
		trip.moves.paid = true
		if fault.Cause == apierror.VersionOlder || fault.Cause == apierror.VersionBehind {
			passage.repin(trip)
		}
		place.Sleep(backoff)
	}
}

// repin resolves a trip anew after a refusal for its serial; only the newest view may be used from then on.
func (passage *Passage) repin(trip *Trip) {
	passage.env.Desk.WaitForVersion(trip.View.Version+1, 300*monotonic.Millisecond)
	view, live := passage.env.Desk.Current()
	if !live {
		return
	}
	path, found := view.Resolve(trip.Host, trip.Method, trip.Address.Path)
	if !found || path.Name != trip.Path.Name || once(path, trip) != trip.Once || (path.Single && !trip.Once) != trip.Single {
		return
	}
	if service, there := path.FindService(trip.Service.Name); there {
		trip.View, trip.Path, trip.Service = view, path, service
	}
}

// try makes one try. retriable tells that another one can't make the request run twice.
func (passage *Passage) try(trip *Trip, avoid map[string]bool) (answer *request.Answer, fault *apierror.Fault, retriable bool) {
	place := passage.env.Place
	trip.last = true
	view, live := passage.env.Desk.Current()
	if !live {
		return nil, apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun, "the tenure to serve by serial %d has ended", view.Version), false
	}
	if view.Version != trip.View.Version {
		passage.repin(trip)
	}
	ticket, fault := passage.env.Wicket.Admit(trip.Service)
	if fault != nil {
		return nil, fault, false
	}
	candidate, last, leave, fault := passage.choices.choose(passage.env.Roll.Directory(),
		wish{service: trip.Service.Name, route: trip.Path.Name, aim: trip.Path.LatencyTarget, avoid: avoid})
	if fault != nil {
		ticket.Done(breaker.Neutral)
		return nil, fault, false
	}
	defer leave()
	avoid[candidate.Instance] = true
	if !trip.moves.moving {
		trip.Tries++
	}
	trip.last = last || trip.moves.made == mostMoves
	remaining := trip.Cutoff - place.Now()
	if remaining <= 0 {
		ticket.Done(breaker.Neutral)
		return nil, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the cutoff was reached before the pass"), false
	}
	ask := &wire.ForwardRequest{Id: trip.Request.ID + "." + strconv.Itoa(trip.Tries), ConfigVersion: trip.View.Version, Service: trip.Service.Name,
		Instance: candidate.Instance, Method: trip.Method, Target: trip.Address.Encoded, Headers: trip.Request.Headers,
		Body: trip.Request.Body, RunOnce: trip.Once, Scope: trip.Scope, Digest: trip.Digest, Remaining: int64(remaining),
		ReadAt: trip.Request.ReadAt, AttemptNumber: uint32(trip.Tries), From: passage.env.Carrier, ToIncarnation: candidate.Incarnation,
		AnswerLimit: trip.Service.Limits.GetAnswerBytes(), Priority: trip.Path.Priority, LatencyTarget: trip.aim(place.Now()), AtMostOnce: trip.Single, MayQueue: trip.last, Route: trip.Path.Name,
		Domain: passage.env.Domain, Peers: passage.choices.beside(passage.env.Roll.Directory(), trip.Service.Name, candidate.Instance)}
	if trip.Once {
		ask.Attempt = admission.TryOf(passage.env.Carrier, place.Random())
	}
	if !trip.errand.Start() {
		ticket.Done(breaker.Neutral)
		return nil, apierror.New(apierror.StoppedInFlight, apierror.NotRun, "given up before the pass"), false
	}
	if fault := trip.sending(candidate, ask.Id); fault != nil {
		ticket.Done(breaker.Neutral)
		return nil, fault, false
	}
	tell, err := passage.send(candidate, ask, remaining)
	if trip.sent() {
		// How it ended says nothing of the backend, and nobody wants to know.
		ticket.Done(breaker.Neutral)
		return nil, apierror.New(apierror.ClientClosed, apierror.MayHaveRun, "its caller left"), false
	}
	if err != nil {
		return passage.lost(trip, ticket, candidate, ask, err)
	}
	passage.choices.heard(candidate.Instance, trip.Path.Name, tell.Load)
	own := passage.choices.stands(passage.env.Roll.Directory(), trip.Service.Name, candidate.Instance, tell.Load)
	if tell.Id != ask.Id || !tell.Rejected && !admission.Whole(tell) {
		ticket.Done(breaker.Neutral)
		return nil, apierror.New(apierror.ResponseMismatch, apierror.MayHaveRun, "the answer to pass %s is not whole or not its own", ask.Id), !trip.Once && !trip.Single
	}
	if tell.Rejected {
		return passage.turnedDown(trip, ticket, candidate, tell, own)
	}
	passage.choices.sized(trip.Path.Name, len(ask.Body)+len(tell.Body))
	outcome := breaker.Success
	if tell.Status >= 500 && !own {
		outcome = breaker.Failure
	}
	ticket.Done(outcome)
	passage.choices.judge(candidate.Instance, outcome == breaker.Failure)
	answer = &request.Answer{Status: tell.Status, Headers: tell.Headers, Body: tell.Body, Instance: tell.Instance, Serial: trip.View.Version}
	if trip.Once && passage.env.Keep != nil {
		passage.env.Keep(trip.Scope, trip.Digest, answer)
	}
	return answer, nil, false
}

// send passes a request on; to this carrier's own gate without a connection.
func (passage *Passage) send(candidate session.Candidate, ask *wire.ForwardRequest, patience monotonic.Micros) (*wire.ForwardResponse, error) {
	if candidate.Carrier == passage.env.Carrier && candidate.Incarnation == passage.env.Incarnation {
		return passage.env.Gate.Pass(ask)
	}
	tell := &wire.ForwardResponse{}
	kind := wire.Kind_forward
	if passage.choices.bulky(ask.Route) {
		kind = wire.Kind_forward_bulk
	}
	return tell, passage.env.Place.Call(candidate.Address, kind, ask, tell, patience)
}

// aim is what is left of the time that the route wants its answers in; at least a microsecond, for zero says that it has none.
func (trip *Trip) aim(now monotonic.Micros) int64 {
	if trip.Path.LatencyTarget == 0 {
		return 0
	}
	return int64(max(1, trip.Path.LatencyTarget-(now-trip.Began)))
}
