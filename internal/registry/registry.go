// Package registry is the registry: sessions and backends in memory, guards, claims and duties replicated.
package registry

import (
	"encoding/json"

	"go.uber.org/atomic"

	"snowflow/internal/apierror"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/directory"
	"snowflow/internal/registry/statemachine"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Group is the sorters' name as a group.
const Group = "sorter"

// Config is what a sorter is made of.
type Env struct {
	Place  host.Host
	Book   *discovery.Book
	Name   string
	Voters []string // of a first start
	// Bootstrap tells that this process may take part in a first start.
	Genesis bool
	// ClaimLife is how long run-once claims are kept, claims.Life if left out. It's the same at every sorter.
	ClaimLife monotonic.Micros
	// Adjust lets tests and the simulator change the core's figures.
	Adjust func(*replication.Config)
	// Prepare lets rehearsals of the checkers change the replicated state's manner.
	Prepare func(*statemachine.Machine)
}

// Sorter is one registry process.
type Sorter struct {
	env       Env
	Member    *replication.Member
	machine   *statemachine.Machine
	directory *directory.Directory
	shown     *breakerstore.Shown // the guards' records, as carriers are told them
	led       atomic.Int64        // when this process last began to answer as primary
}

// Open reads the disk.
func Open(env Env) (*Sorter, error) {
	source := env.Place.Random()
	sorter := &Sorter{env: env, machine: statemachine.New(), directory: directory.New(env.Place, source), shown: breakerstore.NewShown(source | 1)}
	if env.ClaimLife > 0 {
		sorter.machine.Claims.Life = env.ClaimLife
	}
	if env.Prepare != nil {
		env.Prepare(sorter.machine)
	}
	core := replication.Config{Host: env.Place, Resolver: env.Book, Group: Group, Name: env.Name, InitialVoters: env.Voters, Bootstrap: env.Genesis, StateMachine: sorter.machine,
		OnServing: func(uint64, monotonic.Micros) { sorter.led.Store(int64(env.Place.Now())) }}
	if env.Adjust != nil {
		env.Adjust(&core)
	}
	member, err := replication.Open(core)
	sorter.Member = member
	if err == nil {
		member.ClockWatch.OnLeap(sorter.directory.Forgive)
	}
	return sorter, err
}

// Start begins work.
func (sorter *Sorter) Start() {
	sorter.Member.Start()
	sorter.env.Place.Go(sorter.gossip)
	sorter.env.Place.Go(sorter.expire)
}

// Register adds the sorter's handlers.
func (sorter *Sorter) Register(table host.Table) {
	sorter.Member.Register(table)
	sorter.env.Book.OfferBatches()
	host.Handle(table, wire.Kind_registry_poll, sorter.poll)
	host.Handle(table, wire.Kind_registry_batch, sorter.batch)
	host.Handle(table, wire.Kind_sessions, sorter.told)
	host.Handle(table, wire.Kind_claim, func(ask *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		if tell := sorter.granted(ask); tell != nil {
			return tell, nil
		}
		result, err := sorter.propose(&wire.RegistryCommand{Claim: ask})
		return result.GetClaim(), err
	})
	host.Handle(table, wire.Kind_void_claim, func(ask *wire.VoidClaimRequest) (*wire.VoidClaimResponse, error) {
		result, err := sorter.propose(&wire.RegistryCommand{Void: ask})
		return result.GetVoid(), err
	})
	host.Handle(table, wire.Kind_complete_claim, func(ask *wire.CompleteClaimRequest) (*wire.CompleteClaimResponse, error) {
		result, err := sorter.propose(&wire.RegistryCommand{Complete: ask})
		return result.GetComplete(), err
	})
	host.Handle(table, wire.Kind_probe_lease, func(ask *wire.ProbeLeaseRequest) (*wire.ProbeLeaseResponse, error) {
		ask.Active = sorter.wanting(ask.Service)
		if tell := sorter.denied(ask); tell != nil {
			return tell, nil
		}
		result, err := sorter.propose(&wire.RegistryCommand{ProbeLease: ask})
		return result.GetProbeLease(), err
	})
	host.Handle(table, wire.Kind_breaker_write, func(ask *wire.BreakerWriteRequest) (*wire.BreakerWriteResponse, error) {
		ask.Active = sorter.directory.Active(ask.Service)
		if ask.Verb == "trip" && len(ask.Active) < 2 && sorter.directory.Live() > 1 {
			return sorter.lonely(ask), nil
		}
		result, err := sorter.propose(&wire.RegistryCommand{Breaker: ask})
		return result.GetBreaker(), err
	})
	host.Handle(table, wire.Kind_singleton_lease, func(ask *wire.SingletonLeaseRequest) (*wire.SingletonLeaseResponse, error) {
		result, err := sorter.propose(&wire.RegistryCommand{Singleton: ask})
		return result.GetSingleton(), err
	})
	host.Handle(table, wire.Kind_registry_status, func(*wire.StatusRequest) (*wire.StatusResponse, error) {
		content, err := json.Marshal(sorter.Status())
		return &wire.StatusResponse{Json: content}, err
	})
}

// granted tells a carrier that asks again what it was granted before. Where disks are slow, an ask may outlast its
// asker's patience; the next one must not wait for a sync of its own.
func (sorter *Sorter) granted(ask *wire.ClaimRequest) (tell *wire.ClaimResponse) {
	if !sorter.Member.Read(func(uint64, monotonic.Micros) { tell = sorter.machine.Claims.Granted(ask) }) {
		return nil
	}
	return tell
}

// heardAll is how long after its start as primary a sorter has heard from every carrier: a poll and a half.
const heardAll = 1500 * monotonic.Millisecond

// wanting lists the carriers among which a round of probes is shared. A primary that has only just begun counts every
// member, since it hasn't heard yet who calls what.
func (sorter *Sorter) wanting(service string) []string {
	carriers := sorter.directory.Demand(service)
	if sorter.env.Place.Now()-monotonic.Micros(sorter.led.Load()) < heardAll {
		carriers = append(carriers, sorter.directory.Members()...)
	}
	return carriers
}

// denied turns an ask for a probe down without a write, if the record as it stands can't grant one.
func (sorter *Sorter) denied(ask *wire.ProbeLeaseRequest) (tell *wire.ProbeLeaseResponse) {
	if !sorter.Member.Read(func(_ uint64, now monotonic.Micros) { tell = sorter.machine.Guards.Denied(ask, now) }) {
		return nil
	}
	return tell
}

// lonely handles a trip that comes before any other carrier was heard to call the service. Others may call it and not
// have told so yet, so the report waits until they have polled. If this process dies meanwhile, the reporter's next
// trip makes up for it.
func (sorter *Sorter) lonely(ask *wire.BreakerWriteRequest) *wire.BreakerWriteResponse {
	sorter.env.Place.Go(func() {
		sorter.env.Place.Sleep(heardAll)
		ask.Active = sorter.directory.Active(ask.Service)
		_, _ = sorter.propose(&wire.RegistryCommand{Breaker: ask})
	})
	tell := &wire.BreakerWriteResponse{}
	for _, record := range sorter.Guards() {
		if record.Service == ask.Service {
			tell.Record = record
		}
	}
	return tell
}

// propose has a command replicated. An error is told to the asker as a refusal, which leaves the outcome open unless
// it was not taken at all.
func (sorter *Sorter) propose(command *wire.RegistryCommand) (*wire.RegistryResult, error) {
	result := &wire.RegistryResult{}
	return result, sorter.Member.Submit(command, result)
}

// poll takes a carrier's session and gives what it may have missed.
func (sorter *Sorter) poll(ask *wire.RegistryPollRequest) (*wire.RegistryPollResponse, error) {
	if ask.Session == nil || ask.Session.Proxy == "" {
		return nil, apierror.Invalid.New("a poll without a session")
	}
	ask.Session.Age = 0
	if sorter.directory.Tell(ask.Session, true) {
		sorter.env.Place.Report(eventlog.SessionOpened, map[string]any{"carrier": ask.Session.Proxy, "incarnation": ask.Session.Incarnation})
	}
	sorter.directory.Called(ask.Session.Proxy, ask.Activity)
	tell := &wire.RegistryPollResponse{Proxies: uint32(sorter.directory.Live()), Primaries: sorter.env.Book.Primaries()}
	view := sorter.directory.View(directory.Base{Source: ask.DirectorySource, Serial: ask.DirectoryVersion, Check: ask.DirectoryChecksum, Grown: ask.DirectoryComplete})
	tell.DirectorySource, tell.DirectoryVersion, tell.DirectoryUnchanged = view.Source, view.Serial, view.Same
	tell.Sessions, tell.DirectoryIsDelta, tell.DirectoryRemoved, tell.DirectoryDigest = view.Sessions, view.Changed, view.Gone, view.Digest
	if view.Changed {
		tell.DirectoryBaseSource, tell.DirectoryBaseVersion = ask.DirectorySource, ask.DirectoryVersion
	}
	tell.DirectoryAge = int64(sorter.directory.Age())
	tell.Primary = sorter.Member.Read(func(epoch uint64, now monotonic.Micros) {
		tell.Epoch, tell.LeaderClock = epoch, int64(now)
		sorter.shown.Look(sorter.machine.Guards)
	})
	if tell.Primary {
		change := sorter.shown.Since(ask.BreakersSource, ask.BreakersVersion)
		tell.Breakers, tell.BreakersAreDelta, tell.BreakersSource, tell.BreakersVersion = change.Records, change.Changes, change.Source, change.Version
	}
	return tell, nil
}

// Shown is the directory as a carrier that has nothing is told it.
func (sorter *Sorter) Shown() directory.View { return sorter.directory.View(directory.Base{}) }

func (sorter *Sorter) told(ask *wire.SessionsRequest) (*wire.SessionsResponse, error) {
	for _, session := range ask.Sessions {
		sorter.directory.Tell(session, false)
	}
	return &wire.SessionsResponse{Sessions: sorter.directory.Heard()}, nil
}

// gossip tells the other sorters the sessions that were opened here.
func (sorter *Sorter) gossip() {
	for {
		sorter.env.Place.Sleep(500 * monotonic.Millisecond)
		for _, name := range sorter.Member.Voters() {
			if name == sorter.env.Name {
				continue
			}
			sorter.env.Place.Go(func() {
				tell := &wire.SessionsResponse{}
				ask := &wire.SessionsRequest{From: sorter.env.Name, Sessions: sorter.directory.Heard()}
				if sorter.env.Book.Call(name, wire.Kind_sessions, ask, tell, 500*monotonic.Millisecond) != nil {
					return
				}
				for _, session := range tell.Sessions {
					sorter.directory.Tell(session, false)
				}
			})
		}
	}
}

// expire ends silent sessions; the primary gives their probes back.
func (sorter *Sorter) expire() {
	for {
		sorter.env.Place.Sleep(250 * monotonic.Millisecond)
		if !sorter.Member.ClockWatch.Steady() {
			continue // nobody is silent only because this clock leapt
		}
		ended := sorter.directory.Expire()
		for _, holder := range ended {
			sorter.env.Place.Report(eventlog.SessionEnded, map[string]any{"carrier": holder.Name, "incarnation": holder.Incarnation})
		}
		if len(ended) > 0 && sorter.Member.Serving() {
			sorter.env.Place.Go(func() {
				// Best effort: what isn't given back here goes back when its tenure ends.
				_, _ = sorter.propose(&wire.RegistryCommand{Tick: &wire.Tick{EndedSessions: ended}})
			})
		}
	}
}

// Breakers gives the shared records while this sorter answers, or nothing.
func (sorter *Sorter) Guards() (records []*wire.BreakerRecord) {
	if !sorter.Member.Read(func(uint64, monotonic.Micros) { records = sorter.machine.Guards.Records() }) {
		return nil
	}
	return records
}

// Status is what operators are shown of a sorter.
type Status struct {
	Core     replication.Status           `json:"core"`
	Carriers []*wire.Session              `json:"carriers"`
	Guards   []*wire.BreakerRecord        `json:"guards,omitempty"`
	Claims   int                          `json:"claims"`
	Duties   []*wire.SingletonLeaseRecord `json:"duties,omitempty"`
	Now      int64                        `json:"holder_time"`
}

// Status tells how this sorter stands.
func (sorter *Sorter) Status() Status {
	status := Status{Core: sorter.Member.Status(), Carriers: sorter.directory.Sessions()}
	sorter.Member.Read(func(_ uint64, now monotonic.Micros) {
		status.Guards, status.Claims, status.Duties = sorter.machine.Guards.Records(), sorter.machine.Claims.Length(), sorter.machine.Duties.Records()
		status.Now = int64(now)
	})
	return status
}
