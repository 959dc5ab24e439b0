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
type Config struct {
	Host     host.Host
	Resolver *discovery.Resolver
	Name     string
	Voters   []string // of a first start
	// Bootstrap tells that this process may take part in a first start.
	Bootstrap bool
	// ClaimLifetime is how long run-once claims are kept, claims.Life if left out. It's the same at every sorter.
	ClaimLifetime monotonic.Micros
	// ConfigureReplication lets tests and the simulator change the core's figures.
	ConfigureReplication func(*replication.Config)
	// ConfigureState lets rehearsals of the checkers change the replicated state's manner.
	ConfigureState func(*statemachine.Machine)
}

// Registry is one registry process.
type Registry struct {
	config         Config
	Member         *replication.Member
	machine        *statemachine.Machine
	directory      *directory.Directory
	breakerChanges *breakerstore.ChangeTracker // the guards' records, as carriers are told them
	primarySince   atomic.Int64                // when this process last began to answer as primary
}

// Open reads the disk.
func Open(config Config) (*Registry, error) {
	source := config.Host.Random()
	registry := &Registry{config: config, machine: statemachine.New(), directory: directory.New(config.Host, source), breakerChanges: breakerstore.NewChangeTracker(source | 1)}
	if config.ClaimLifetime > 0 {
		registry.machine.Claims.Lifetime = config.ClaimLifetime
	}
	if config.ConfigureState != nil {
		config.ConfigureState(registry.machine)
	}
	replicationConfig := replication.Config{Host: config.Host, Resolver: config.Resolver, Group: Group, Name: config.Name, InitialVoters: config.Voters, Bootstrap: config.Bootstrap, StateMachine: registry.machine,
		OnServing: func(uint64, monotonic.Micros) { registry.primarySince.Store(int64(config.Host.Now())) }}
	if config.ConfigureReplication != nil {
		config.ConfigureReplication(&replicationConfig)
	}
	member, err := replication.Open(replicationConfig)
	registry.Member = member
	if err == nil {
		member.ClockWatch.OnJump(registry.directory.ExtendSessions)
	}
	return registry, err
}

// Start begins work.
func (r *Registry) Start() {
	r.Member.Start()
	r.config.Host.Go(r.exchangeSessions)
	r.config.Host.Go(r.expireSessions)
}

// Register adds the sorter's handlers.
func (r *Registry) Register(handlers host.Handlers) {
	r.Member.Register(handlers)
	r.config.Resolver.AdvertiseBatches()
	host.Handle(handlers, wire.Kind_registry_poll, r.handlePoll)
	host.Handle(handlers, wire.Kind_registry_batch, r.handleBatch)
	host.Handle(handlers, wire.Kind_sessions, r.handleSessions)
	host.Handle(handlers, wire.Kind_claim, func(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		if response := r.repeatedGrant(request); response != nil {
			return response, nil
		}
		result, err := r.propose(&wire.RegistryCommand{Claim: request})
		return result.GetClaim(), err
	})
	host.Handle(handlers, wire.Kind_void_claim, func(request *wire.VoidClaimRequest) (*wire.VoidClaimResponse, error) {
		result, err := r.propose(&wire.RegistryCommand{Void: request})
		return result.GetVoid(), err
	})
	host.Handle(handlers, wire.Kind_complete_claim, func(request *wire.CompleteClaimRequest) (*wire.CompleteClaimResponse, error) {
		result, err := r.propose(&wire.RegistryCommand{Complete: request})
		return result.GetComplete(), err
	})
	host.Handle(handlers, wire.Kind_probe_lease, func(request *wire.ProbeLeaseRequest) (*wire.ProbeLeaseResponse, error) {
		request.Active = r.probeContenders(request.Service)
		if response := r.deniedProbe(request); response != nil {
			return response, nil
		}
		result, err := r.propose(&wire.RegistryCommand{ProbeLease: request})
		return result.GetProbeLease(), err
	})
	host.Handle(handlers, wire.Kind_breaker_write, func(request *wire.BreakerWriteRequest) (*wire.BreakerWriteResponse, error) {
		request.Active = r.directory.ActiveProxies(request.Service)
		if request.Verb == "trip" && len(request.Active) < 2 && r.directory.LiveCount() > 1 {
			return r.deferTripReport(request), nil
		}
		result, err := r.propose(&wire.RegistryCommand{Breaker: request})
		return result.GetBreaker(), err
	})
	host.Handle(handlers, wire.Kind_singleton_lease, func(request *wire.SingletonLeaseRequest) (*wire.SingletonLeaseResponse, error) {
		result, err := r.propose(&wire.RegistryCommand{Singleton: request})
		return result.GetSingleton(), err
	})
	host.Handle(handlers, wire.Kind_registry_status, func(*wire.StatusRequest) (*wire.StatusResponse, error) {
		content, err := json.Marshal(r.Status())
		return &wire.StatusResponse{Json: content}, err
	})
}

// granted tells a carrier that asks again what it was granted before. Where disks are slow, an ask may outlast its
// asker's patience; the next one must not wait for a sync of its own.
func (r *Registry) repeatedGrant(request *wire.ClaimRequest) (response *wire.ClaimResponse) {
	if !r.Member.Read(func(uint64, monotonic.Micros) { response = r.machine.Claims.RepeatedGrant(request) }) {
		return nil
	}
	return response
}

// allProxiesPolled is how long after its start as primary a sorter has heard from every carrier: a poll and a half.
const allProxiesPolled = 1500 * monotonic.Millisecond

// wanting lists the carriers among which a round of probes is shared. A primary that has only just begun counts every
// member, since it hasn't heard yet who calls what.
func (r *Registry) probeContenders(service string) []string {
	proxies := r.directory.ProxiesWithDemand(service)
	if r.config.Host.Now()-monotonic.Micros(r.primarySince.Load()) < allProxiesPolled {
		proxies = append(proxies, r.directory.Members()...)
	}
	return proxies
}

// denied turns an ask for a probe down without a write, if the record as it stands can't grant one.
func (r *Registry) deniedProbe(request *wire.ProbeLeaseRequest) (response *wire.ProbeLeaseResponse) {
	if !r.Member.Read(func(_ uint64, now monotonic.Micros) { response = r.machine.Breakers.DeniedProbe(request, now) }) {
		return nil
	}
	return response
}

// lonely handles a trip that comes before any other carrier was heard to call the service. Others may call it and not
// have told so yet, so the report waits until they have polled. If this process dies meanwhile, the reporter's next
// trip makes up for it.
func (r *Registry) deferTripReport(request *wire.BreakerWriteRequest) *wire.BreakerWriteResponse {
	r.config.Host.Go(func() {
		r.config.Host.Sleep(allProxiesPolled)
		request.Active = r.directory.ActiveProxies(request.Service)
		_, _ = r.propose(&wire.RegistryCommand{Breaker: request})
	})
	response := &wire.BreakerWriteResponse{}
	for _, record := range r.Breakers() {
		if record.Service == request.Service {
			response.Record = record
		}
	}
	return response
}

// propose has a command replicated. An error is told to the asker as a refusal, which leaves the outcome open unless
// it was not taken at all.
func (r *Registry) propose(command *wire.RegistryCommand) (*wire.RegistryResult, error) {
	result := &wire.RegistryResult{}
	return result, r.Member.Submit(command, result)
}

// poll takes a carrier's session and gives what it may have missed.
func (r *Registry) handlePoll(request *wire.RegistryPollRequest) (*wire.RegistryPollResponse, error) {
	if request.Session == nil || request.Session.Proxy == "" {
		return nil, apierror.Invalid.New("a poll without a session")
	}
	request.Session.Age = 0
	if r.directory.Observe(request.Session, true) {
		r.config.Host.Report(eventlog.SessionOpened, map[string]any{"carrier": request.Session.Proxy, "incarnation": request.Session.Incarnation})
	}
	r.directory.RecordActivity(request.Session.Proxy, request.Activity)
	response := &wire.RegistryPollResponse{Proxies: uint32(r.directory.LiveCount()), Primaries: r.config.Resolver.Primaries()}
	update := r.directory.UpdateSince(directory.Base{Source: request.DirectorySource, Version: request.DirectoryVersion, Checksum: request.DirectoryChecksum, SkipYoung: request.DirectoryComplete})
	response.DirectorySource, response.DirectoryVersion, response.DirectoryUnchanged = update.Source, update.Version, update.Unchanged
	response.Sessions, response.DirectoryIsDelta, response.DirectoryRemoved, response.DirectoryDigest = update.Sessions, update.Incremental, update.Removed, update.Digest
	if update.Incremental {
		response.DirectoryBaseSource, response.DirectoryBaseVersion = request.DirectorySource, request.DirectoryVersion
	}
	response.DirectoryAge = int64(r.directory.Age())
	response.Primary = r.Member.Read(func(epoch uint64, now monotonic.Micros) {
		response.Epoch, response.LeaderClock = epoch, int64(now)
		r.breakerChanges.Observe(r.machine.Breakers)
	})
	if response.Primary {
		change := r.breakerChanges.Since(request.BreakersSource, request.BreakersVersion)
		response.Breakers, response.BreakersAreDelta, response.BreakersSource, response.BreakersVersion = change.Records, change.Incremental, change.Source, change.Version
	}
	return response, nil
}

// DirectorySnapshot is the directory as a carrier that has nothing is told it.
func (r *Registry) DirectorySnapshot() directory.Update {
	return r.directory.UpdateSince(directory.Base{})
}

func (r *Registry) handleSessions(request *wire.SessionsRequest) (*wire.SessionsResponse, error) {
	for _, session := range request.Sessions {
		r.directory.Observe(session, false)
	}
	return &wire.SessionsResponse{Sessions: r.directory.DirectSessions()}, nil
}

// gossip tells the other sorters the sessions that were opened here.
func (r *Registry) exchangeSessions() {
	for {
		r.config.Host.Sleep(500 * monotonic.Millisecond)
		for _, name := range r.Member.Voters() {
			if name == r.config.Name {
				continue
			}
			r.config.Host.Go(func() {
				response := &wire.SessionsResponse{}
				request := &wire.SessionsRequest{From: r.config.Name, Sessions: r.directory.DirectSessions()}
				if r.config.Resolver.Call(name, wire.Kind_sessions, request, response, 500*monotonic.Millisecond) != nil {
					return
				}
				for _, session := range response.Sessions {
					r.directory.Observe(session, false)
				}
			})
		}
	}
}

// expire ends silent sessions; the primary gives their probes back.
func (r *Registry) expireSessions() {
	for {
		r.config.Host.Sleep(250 * monotonic.Millisecond)
		if !r.Member.ClockWatch.Steady() {
			continue // nobody is silent only because this clock leapt
		}
		ended := r.directory.ExpireSessions()
		for _, holder := range ended {
			r.config.Host.Report(eventlog.SessionEnded, map[string]any{"carrier": holder.Name, "incarnation": holder.Incarnation})
		}
		if len(ended) > 0 && r.Member.Serving() {
			r.config.Host.Go(func() {
				// Best effort: what isn't given back here goes back when its tenure ends.
				_, _ = r.propose(&wire.RegistryCommand{Tick: &wire.Tick{EndedSessions: ended}})
			})
		}
	}
}

// Breakers gives the shared records while this sorter answers, or nothing.
func (r *Registry) Breakers() (records []*wire.BreakerRecord) {
	if !r.Member.Read(func(uint64, monotonic.Micros) { records = r.machine.Breakers.Records() }) {
		return nil
	}
	return records
}

// Status is what operators are shown of a sorter.
type Status struct {
	Replication replication.Status           `json:"core"`
	Proxies     []*wire.Session              `json:"carriers"`
	Breakers    []*wire.BreakerRecord        `json:"guards,omitempty"`
	Claims      int                          `json:"claims"`
	Leases      []*wire.SingletonLeaseRecord `json:"duties,omitempty"`
	LeaderTime  int64                        `json:"holder_time"`
}

// Status tells how this sorter stands.
func (r *Registry) Status() Status {
	status := Status{Replication: r.Member.Status(), Proxies: r.directory.Sessions()}
	r.Member.Read(func(_ uint64, now monotonic.Micros) {
		status.Breakers, status.Claims, status.Leases = r.machine.Breakers.Records(), r.machine.Claims.Len(), r.machine.Leases.Records()
		status.LeaderTime = int64(now)
	})
	return status
}
