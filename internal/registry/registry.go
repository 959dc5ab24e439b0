package registry

import (
	"go.uber.org/atomic"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/directory"
	"snowflow/internal/registry/statemachine"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Group is the name of the registries' replication group.
const Group = discovery.RegistryGroup

// Config configures a registry process.
type Config struct {
	Host     host.Host
	Resolver *discovery.Resolver
	// Name is this process's name, unique in the group.
	Name string
	// Voters are the names of the group's initial voters.
	Voters []string
	// Bootstrap allows this process to take part in the initial bootstrap of the group.
	Bootstrap bool
	// ClaimLifetime is how long claims of idempotency keys last; zero means idempotency.DefaultLifetime. It must be the same in
	// every process of the group.
	ClaimLifetime monotonic.Micros
	// ConfigureReplication, if set, may change the configuration of the replication member.
	ConfigureReplication func(*replication.Config)
	// ConfigureState, if set, may change the replicated state before it is used. Simulations inject faults with it.
	ConfigureState func(*statemachine.Machine)
}

// Registry is one registry process. It is safe for concurrent use.
type Registry struct {
	// Member is this process's member of the replication group. It serializes access to machine.
	Member *replication.Member

	config         Config
	machine        *statemachine.Machine
	directory      *directory.Directory
	breakerChanges *breakerstore.ChangeTracker
	primarySince   atomic.Int64 // host time, in microseconds, at which this process last became the serving primary; zero if never
}

// Open reads the stored state and returns a registry that is not started yet. It fails if the state cannot be read.
func Open(config Config) (*Registry, error) {
	source := config.Host.Random()
	// The tracker's source must not be zero: a proxy that has no breaker records sends zero.
	breakerSource := source | 1
	registry := &Registry{
		config: config, machine: statemachine.New(), directory: directory.New(config.Host, source),
		breakerChanges: breakerstore.NewChangeTracker(breakerSource),
	}
	if config.ClaimLifetime > 0 {
		registry.machine.Claims.Lifetime = config.ClaimLifetime
	}
	if config.ConfigureState != nil {
		config.ConfigureState(registry.machine)
	}
	member, err := replication.Open(registry.replicationConfig())
	registry.Member = member
	if err == nil {
		member.ClockWatch.OnJump(registry.directory.ExtendSessions)
	}
	return registry, err
}

// replicationConfig returns the configuration of the replication member.
func (r *Registry) replicationConfig() replication.Config {
	config := replication.Config{
		Host: r.config.Host, Resolver: r.config.Resolver, Group: Group, Name: r.config.Name, InitialVoters: r.config.Voters,
		Bootstrap: r.config.Bootstrap, StateMachine: r.machine,
		OnServing: func(uint64, monotonic.Micros) { r.primarySince.Store(int64(r.config.Host.Now())) },
	}
	if r.config.ConfigureReplication != nil {
		r.config.ConfigureReplication(&config)
	}
	return config
}

// Start starts the replication member and the tasks that update the directory. They run until the process ends.
func (r *Registry) Start() {
	r.Member.Start()
	r.config.Host.Go(r.exchangeSessions)
	r.config.Host.Go(r.expireSessions)
}

// Register adds the handlers for this registry's requests. It must be called once, before the process serves requests.
func (r *Registry) Register(handlers host.Handlers) {
	r.Member.Register(handlers)
	r.config.Resolver.AdvertiseBatches()
	host.Handle(handlers, wire.Kind_registry_poll, r.handlePoll)
	host.Handle(handlers, wire.Kind_registry_batch, r.handleBatch)
	host.Handle(handlers, wire.Kind_sessions, r.handleSessions)
	host.Handle(handlers, wire.Kind_claim, r.handleClaim)
	host.Handle(handlers, wire.Kind_void_claim, r.handleVoidClaim)
	host.Handle(handlers, wire.Kind_complete_claim, r.handleCompleteClaim)
	host.Handle(handlers, wire.Kind_probe_lease, r.handleProbeLease)
	host.Handle(handlers, wire.Kind_breaker_write, r.handleBreakerWrite)
	host.Handle(handlers, wire.Kind_singleton_lease, r.handleSingletonLease)
	host.Handle(handlers, wire.Kind_registry_status, r.handleStatus)
}

// propose replicates a command and returns its result. An apierror.Refused means that this registry isn't the primary and that the
// command has no effect; after any other error the command may still take effect. The requester sees an apierror.Refused in both cases;
// only the outcomes of a batch distinguish them (wire.RegistryOutcome).
func (r *Registry) propose(command *wire.RegistryCommand) (*wire.RegistryResult, error) {
	result := &wire.RegistryResult{}
	return result, r.Member.Submit(command, result)
}
