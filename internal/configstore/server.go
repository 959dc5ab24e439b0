package configstore

import (
	"encoding/json"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/configstore/differences"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Server is one configuration store process.
type Server struct {
	options Options
	// Member is this process's member of the replication group.
	Member *replication.Member
	// store is the replicated state. It may only be read inside Member.Read and Member.ReadStale.
	store *versions.Store
	// differences caches parsed versions and the differences from them to the newest version.
	differences *differences.Cache
	// compressed caches the compressed content of the newest version.
	compressed compressionCache
	// updates wakes polls that wait for a new version.
	updates *broadcaster
	// adoptions wakes applies that wait for proxies to adopt a version or release their leases.
	adoptions *broadcaster

	// mu guards the fields below.
	mu sync.Mutex
	// leases are the leases that this primary granted or that its predecessor handed over, by leaseKey.
	leases map[string]*proxyLease
	// acknowledgeFrom is the time before which nothing is acknowledged: from then on, each lease that this process doesn't know of has
	// at most LeaseSlack left.
	acknowledgeFrom monotonic.Micros
	// epoch is the epoch in which this process last became primary, zero if it never has.
	epoch uint64
	// committedVersion is the highest version whose adoption an apply has waited for, and committedAt when the first such wait began.
	committedVersion uint64
	committedAt      monotonic.Micros
	// latestVersion is the highest version that this process knows to be accepted, and latestAt when it learned of it.
	latestVersion uint64
	latestAt      monotonic.Micros
	// inheritedLeases holds the leases that the primary of inheritedEpoch handed over, after it had granted its last one. It's nil if
	// there was no handover or if onPrimary has used it already.
	inheritedLeases map[string]*proxyLease
	inheritedEpoch  uint64
}

// Open reads the stored state from disk. The server handles no requests before Register and Start. An error means that the timeouts
// are inconsistent or that the state can't be read from disk.
func Open(options Options) (*Server, error) {
	if options.Parse == nil {
		options.Parse = config.Parse
	}
	options.Timeouts = options.Timeouts.withDefaults()
	if err := options.Timeouts.validate(); err != nil {
		return nil, err
	}
	s := &Server{
		options:     options,
		store:       versions.New(options.HistoryLimit),
		differences: differences.New(options.Parse, options.DifferenceLimits),
		leases:      map[string]*proxyLease{},
		updates:     newBroadcaster(options.Host),
		adoptions:   newBroadcaster(options.Host),
	}
	replicationOptions := s.replicationOptions()
	options.Resolver.AdvertiseDeltas()
	s.store.UseDeltas = s.allVotersAcceptDeltas
	s.store.AllowVersionReuse = options.AllowVersionReuse
	member, err := replication.Open(replicationOptions)
	s.Member = member
	if err == nil {
		member.ClockWatch.OnJump(func(monotonic.Micros) { s.deferAcknowledgements() })
	}
	return s, err
}

// replicationOptions returns the configuration of the replication member.
func (s *Server) replicationOptions() replication.Config {
	replicationOptions := replication.Config{
		Host:          s.options.Host,
		Resolver:      s.options.Resolver,
		Group:         Group,
		Name:          s.options.Name,
		InitialVoters: s.options.Voters,
		Bootstrap:     s.options.Bootstrap,
		StateMachine:  s.store,
		OnServing:     s.onPrimary,
		HandoverState: s.exportLeases,
		OnHandover:    s.importLeases,
	}
	if s.options.AdjustReplication != nil {
		s.options.AdjustReplication(&replicationOptions)
	}
	return replicationOptions
}

// Start joins the replication group. It must be called once, after Register.
func (s *Server) Start() { s.Member.Start() }

// Register adds the request handlers of the server and of its replication member to a handler table.
func (s *Server) Register(table host.Handlers) {
	s.Member.Register(table)
	host.Handle(table, wire.Kind_config_poll, s.Poll)
	host.Handle(table, wire.Kind_config_apply, s.Apply)
	host.Handle(table, wire.Kind_config_read, s.ReadVersions)
	host.Handle(table, wire.Kind_configstore_status, func(*wire.StatusRequest) (*wire.StatusResponse, error) {
		content, err := json.Marshal(s.Status())
		return &wire.StatusResponse{Json: content}, err
	})
}

// notifyAccepted calls OnAccepted with the stored versions, if this process is primary and there are any.
func (s *Server) notifyAccepted() {
	if s.options.OnAccepted == nil {
		return
	}
	s.Member.Read(func(uint64, monotonic.Micros) {
		if configs := s.store.All(); len(configs) > 0 {
			s.options.OnAccepted(configs)
		}
	})
}
