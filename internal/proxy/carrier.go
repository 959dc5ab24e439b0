// Package proxy is the proxy that stands beside each caller and each server.
package proxy

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/forward"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/replay"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/proxy/singleton"
	"snowflow/internal/release"
	"snowflow/internal/transport/wire"

	"go.uber.org/atomic"
)

// Options is what a carrier is made of.
type Env struct {
	Place   host.Host
	Book    *discovery.Resolver
	Name    string
	Domain  string
	Address string
	Blind   bool // choose backends without looking at zones
	// CrossDomainPenalty is what the way to another zone counts for, in the choice among backends that tell their slots.
	FarPenalty monotonic.Micros
	Delivery   admission.Delivery
	// Parse reads accepted desired states, franking.Accepted if left out.
	Read config.Parser
	// ServeStale: this carrier serves on while out of touch, by the newest desired state it has heard of. The postmasters must know.
	ServeOn  bool
	Finished func(trip *forward.Exchange, answer *request.Response, fault *apierror.Fault)
	// ClaimLife is how long answers to run-once requests are kept, two minutes if left out. It's as long as the sorters keep claims.
	ClaimLife monotonic.Micros
	// Linger is how long a stopping carrier still takes callers' requests, where whoever sends them needs that time to stay away.
	Linger monotonic.Micros
	// Link is what this machine's link carries, in megabits a second; zero for one that isn't counted.
	Link float64
	// SilenceTimeout is how long a carrier may owe answers before it's asked for a sign of life, 700 ms if left out.
	Silence monotonic.Micros
}

// Proxy puts the parts together. Invariant: incarnation is new in every life of the process.
type Carrier struct {
	env         Env
	incarnation uint64
	Desk        *configclient.Client
	Roll        *session.Roll
	Hutch       *localbackends.Hutch
	Wicket      *breaker.Set
	Purse       *retry.Budget
	Rota        *singleton.Rota
	Gate        *admission.Gate
	Passage     *forward.Forwarder
	draining    atomic.Bool // it's to be sent no more callers
	leaving     atomic.Bool // and its backends are to be chosen no more
	vigil       *clockwatch.Watcher
}

// NewBudget makes a carrier.
func New(env Env) *Carrier {
	carrier := &Carrier{env: env, incarnation: env.Place.Random() | 1, vigil: clockwatch.New(env.Place)}
	carrier.Desk = configclient.New(configclient.Options{Host: env.Place, Resolver: env.Book, Proxy: env.Name, Incarnation: carrier.incarnation, ClockWatch: carrier.vigil, Parse: env.Read, ServeStale: env.ServeOn})
	carrier.Roll = session.New(env.Place, env.Book, carrier.session, carrier.vigil)
	carrier.Hutch = localbackends.New(env.Place, carrier.Roll.Soon)
	carrier.Wicket = breaker.NewSet(breaker.Config{Host: env.Place, Proxy: env.Name, Incarnation: carrier.incarnation, Call: carrier.callPrimaryOnce})
	carrier.Roll.Activity = carrier.Wicket.TakeActivity
	carrier.Roll.Guards = func(records []*wire.BreakerRecord, reached bool) { carrier.Wicket.ApplyPoll(records, reached) }
	carrier.Rota = singleton.New(singleton.Env{Place: env.Place, Carrier: env.Name, Present: carrier.Hutch.Present, CallPrimary: carrier.Roll.CallPrimary})
	carrier.Purse = retry.NewBudget(env.Place, carrier.Roll.Share)
	shelf := replay.New(env.Place)
	if env.ClaimLife > 0 {
		shelf.TTL = env.ClaimLife
	}
	carrier.Gate = admission.New(admission.Env{Place: env.Place, Carrier: env.Name, Incarnation: carrier.incarnation, Desk: carrier.Desk, ServeOn: env.ServeOn,
		Hutch: carrier.Hutch, Shelf: shelf, Delivery: env.Delivery, Link: env.Link, CallPrimary: carrier.Roll.CallPrimary, CallCarrier: carrier.callCarrier})
	carrier.Passage = forward.New(forward.Config{Host: env.Place, Proxy: env.Name, Incarnation: carrier.incarnation, Address: env.Address,
		Domain: env.Domain, IgnoreDomains: env.Blind, CrossDomainPenalty: env.FarPenalty, ConfigClient: carrier.Desk, Session: carrier.Roll, Breakers: carrier.Wicket, RetryBudget: carrier.Purse, Admission: carrier.Gate,
		CallPrimary: carrier.Roll.CallPrimary, StoreResponse: shelf.Put, OnFinished: env.Finished, SilenceTimeout: env.Silence})
	carrier.vigil.OnJump(carrier.Hutch.Forgive)
	carrier.vigil.OnJump(func(monotonic.Micros) { carrier.Purse.Clear() })
	carrier.vigil.OnJump(func(monotonic.Micros) { carrier.Roll.Doubt() })
	return carrier
}

// TrustClock takes whatever the clock shows, to show that a checker sees what comes of it. No program sets it.
func (carrier *Carrier) TrustClock(broken bool) { carrier.vigil.TrustClock(broken) }

// sweepEvery is how often silent backends are looked for.
const sweepEvery = 500 * monotonic.Millisecond

// Start begins work.
func (carrier *Carrier) Start() {
	carrier.vigil.Every(carrier.Passage.ProbeInterval(), carrier.Passage.ProbeSilentPeers)
	carrier.vigil.Every(sweepEvery, carrier.Hutch.Sweep)
	for _, task := range []func(){carrier.vigil.Run, carrier.Desk.Run, carrier.Roll.Follow, carrier.Wicket.SendWrites} {
		carrier.env.Place.Go(task)
	}
}

// Register adds the carrier's handlers.
func (carrier *Carrier) Register(table host.Handlers) { carrier.Gate.Register(table) }

func (carrier *Carrier) session() *wire.Session {
	serial, _ := carrier.Desk.Version()
	return &wire.Session{Proxy: carrier.env.Name, Incarnation: carrier.incarnation, Address: carrier.env.Address, Domain: carrier.env.Domain,
		Backends: carrier.Hutch.Told(), Leaving: carrier.leaving.Load(), ConfigVersion: serial, Release: release.Version}
}

func (carrier *Carrier) callPrimaryOnce(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error {
	name := carrier.env.Book.Leader("sorter")
	if name == "" {
		return apierror.Unreachable.New("no primary sorter is known")
	}
	return carrier.env.Book.Call(name, kind, ask, tell, patience)
}

func (carrier *Carrier) callCarrier(name string, kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error {
	return carrier.env.Place.Call(carrier.Roll.Directory().Addresses[name], kind, ask, tell, patience)
}

// Ready tells whether this carrier may be sent callers, and if not why.
func (carrier *Carrier) Ready() (ready bool, why string) {
	if carrier.draining.Load() {
		return false, "draining"
	}
	view, live := carrier.Desk.Current()
	if view == nil {
		return false, "no desired state adopted from a live primary yet"
	}
	if !live {
		return false, "the tenure to serve by the desired state has ended"
	}
	if !carrier.Roll.Member() && !(carrier.env.ServeOn && carrier.Roll.Known()) {
		return false, "no sorter has heard this carrier lately"
	}
	return true, ""
}

// Moment is a moment of holder time that has certainly passed.
func (carrier *Carrier) Moment() *wire.LeaderTimestamp { return carrier.Roll.Moment() }

// Now reads this carrier's clock.
func (carrier *Carrier) Now() monotonic.Micros { return carrier.env.Place.Now() }

// Incarnation names this life.
func (carrier *Carrier) Incarnation() uint64 { return carrier.incarnation }

// Grace is how long a planned stop may take unless it's set otherwise: half a second less than the least that platforms
// wait between their warning and the kill.
const Grace = 2500 * monotonic.Millisecond

// The parts of a drain: others are told at once, and are given spreadTime to stop choosing this carrier.
const spreadTime = 1500 * monotonic.Millisecond

// lingerSpread is that of a carrier that lingered: its callers are gone, and who hasn't heard yet is only moved on.
const lingerSpread = 300 * monotonic.Millisecond

// lastWords is the end of the grace, in which whatever is still under way is given up and told so.
const lastWords = 300 * monotonic.Millisecond

// Drain stops taking callers' requests, answers everything that was read, and drains the lane. It ends within grace. While it
// lingers only the platform hears of it; others go on choosing the backends beside it, which are as good as before.
// shut closes the callers' door, once they have had time to go elsewhere; what was read before, refusals too, is
// answered after it.
func (carrier *Carrier) Drain(grace monotonic.Micros, shut func()) bool {
	place := carrier.env.Place
	cutoff := place.Now() + grace
	last := cutoff - min(grace/5, lastWords)
	place.Report(eventlog.ProcessDraining, map[string]any{"running": carrier.Passage.InFlight() + carrier.Gate.Running()})
	carrier.draining.Store(true)
	spread := spreadTime
	if linger := min(carrier.env.Linger, last-place.Now()); linger > 0 {
		place.Sleep(linger)
		spread = lingerSpread
	}
	carrier.leaving.Store(true)
	carrier.Roll.Soon()
	told := place.Now()
	carrier.Passage.StopAccepting()
	carrier.Passage.Drain(last - place.Now())
	place.Sleep(min(spread-(place.Now()-told), last-place.Now()-lastWords))
	carrier.Gate.Refuse()
	shut()
	whole := carrier.Gate.Drain(last - place.Now())
	whole = carrier.Passage.Drain(last-place.Now()) && whole
	// Whoever still waits is told now what is known, while this process can still tell it.
	carrier.Passage.Abort()
	carrier.Gate.GiveUp()
	answered := carrier.Passage.Drain(cutoff - place.Now())
	answered = carrier.Gate.Drain(cutoff-place.Now()) && answered
	carrier.Desk.Release(min(max(cutoff-place.Now(), 50*monotonic.Millisecond), 300*monotonic.Millisecond))
	carrier.Wicket.Close(min(max(cutoff-place.Now(), 0), monotonic.Second))
	place.Report(eventlog.ProcessDrained, map[string]any{"answered": answered, "whole": whole})
	return answered
}

// Status is what operators are shown of a carrier.
type Status struct {
	Name        string                   `json:"name"`
	Domain      string                   `json:"domain"`
	Incarnation uint64                   `json:"incarnation"`
	Ready       bool                     `json:"ready"`
	Why         string                   `json:"why,omitempty"`
	Serial      uint64                   `json:"desired_serial"`
	Check       string                   `json:"desired_check,omitempty"` // digest of the resources in force
	Age         int64                    `json:"desired_age_micros"`      // since it was taken up
	Taken       configclient.Stats       `json:"desired_taken"`
	Running     int64                    `json:"requests_running"`
	Passes      int64                    `json:"passes_running"`
	Backends    []*wire.Backend          `json:"backends"`
	Standings   []localbackends.Standing `json:"standings"` // how they do, as their gate sees it
	Guards      []breaker.Status         `json:"guards"`
	Degraded    bool                     `json:"guards_degraded"` // it goes by its own windows
	Members     int                      `json:"members_seen"`
	Directory   session.Taken            `json:"directory_taken"`
}

// Status tells how this carrier stands.
func (carrier *Carrier) Status() Status {
	status := Status{Name: carrier.env.Name, Domain: carrier.env.Domain, Incarnation: carrier.incarnation, Running: carrier.Passage.InFlight(),
		Passes: carrier.Gate.Running(), Backends: carrier.Hutch.Told(), Standings: carrier.Hutch.Standings(), Guards: carrier.Wicket.Statuses(), Degraded: carrier.Wicket.Degraded(), Members: carrier.Roll.Directory().Live}
	status.Ready, status.Why = carrier.Ready()
	serial, age, check := carrier.Desk.Adopted()
	status.Serial, status.Age, status.Check, status.Taken, status.Directory = serial, int64(age), check, carrier.Desk.Stats(), carrier.Roll.Taken()
	return status
}
