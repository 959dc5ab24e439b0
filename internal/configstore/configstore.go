// Package configstore is the store of desired states. It acknowledges one only when no carrier can still be serving by
// an older one much longer.
package configstore

import (
	"encoding/json"
	"sync"

	"snowflow/internal/config"
	"snowflow/internal/configstore/differences"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Group is the postmasters' name as a group.
const Group = "postmaster"

const (
	// DefaultLease is how long a carrier may serve by what it last heard, counted from before its poll.
	DefaultLease = 6 * monotonic.Second
	// DefaultLeaseSlack is what may be left of an unheard carrier's tenure when a desired state is acknowledged: less than the
	// 2 s that are promised.
	DefaultLeaseSlack = 1500 * monotonic.Millisecond
)

// Config is what a postmaster is made of.
type Options struct {
	Host     host.Host
	Resolver *discovery.Resolver
	Name     string
	Voters   []string // of a first start
	// Bootstrap tells that this process may take part in a first start.
	Bootstrap         bool
	AdjustReplication func(*replication.Config)
	Timeouts          Timeouts
	// Parse reads contents as they are applied and stored, franking.Parse if left out.
	Parse config.Parser
	// HistoryLimit is how many accepted states are kept at most, all for zero. It must be the same at every postmaster.
	HistoryLimit int
	// DifferenceLimits bounds what is kept to tell carriers differences; what is left zero is as differences.Defaults has it.
	DifferenceLimits differences.Limits
	// AllowVersionReuse has the store confirm several contents under one number. Only rehearsals of the checkers set it.
	AllowVersionReuse bool
	// OnAdopted is told how long after its commit a carrier gave its word that it has adopted a version; it must not block.
	OnAdopted func(proxy string, version uint64, adoptionTime monotonic.Micros)
	// OnAccepted is told all accepted states that are kept, oldest first, whenever this process as primary accepts one or starts to answer;
	// it must not block.
	OnAccepted func(states []*wire.StoredConfig)
}

// Server is one store process.
type Server struct {
	options Options
	Member  *replication.Member
	store   *versions.Store
	// versions are the states read lately, and what the newest changes in them.
	differences *differences.Cache

	compressed compressionCache
	mu         sync.Mutex
	leases     map[string]*proxyLease
	updates    *broadcaster // polls that wait for a new state
	adoptions  *broadcaster // applies that wait for carriers' word of adoption
	// acknowledgeFrom is the moment from which no tenure that an earlier primary gave has more than Slack left.
	acknowledgeFrom monotonic.Micros
	epoch           uint64
	// committedAt is when this process first knew that committed, the highest such serial, was accepted.
	committedVersion uint64
	committedAt      monotonic.Micros
	// latestAt is when this process first knew of newest, by whichever way.
	latestVersion uint64
	latestAt      monotonic.Micros
	// handed is what the primary of inheritedEpoch knew of tenures when it handed over, after it had given its last one.
	inheritedLeases map[string]*proxyLease
	inheritedEpoch  uint64
}

// Open reads the disk.
func Open(options Options) (*Server, error) {
	if options.Parse == nil {
		options.Parse = config.Parse
	}
	options.Timeouts = options.Timeouts.withDefaults()
	if err := options.Timeouts.validate(); err != nil {
		return nil, err
	}
	s := &Server{options: options, store: versions.New(options.HistoryLimit), differences: differences.New(options.Parse, options.DifferenceLimits), leases: map[string]*proxyLease{}, updates: newBroadcaster(options.Host), adoptions: newBroadcaster(options.Host)}
	replicationOptions := replication.Config{Host: options.Host, Resolver: options.Resolver, Group: Group, Name: options.Name, InitialVoters: options.Voters, Bootstrap: options.Bootstrap,
		StateMachine: s.store, OnServing: s.onPrimary, HandoverState: s.exportLeases, OnHandover: s.importLeases}
	if options.AdjustReplication != nil {
		options.AdjustReplication(&replicationOptions)
	}
	options.Resolver.AdvertiseDeltas()
	s.store.UseDeltas, s.store.AllowVersionReuse = s.allVotersAcceptDeltas, options.AllowVersionReuse
	member, err := replication.Open(replicationOptions)
	s.Member = member
	if err == nil {
		member.ClockWatch.OnJump(func(monotonic.Micros) { s.deferAcknowledgements() })
	}
	return s, err
}

// Start begins work.
func (s *Server) Start() { s.Member.Start() }

func (s *Server) notifyAccepted() {
	if s.options.OnAccepted == nil {
		return
	}
	s.Member.Read(func(uint64, monotonic.Micros) {
		if states := s.store.All(); len(states) > 0 {
			s.options.OnAccepted(states)
		}
	})
}

// Register adds the postmaster's handlers.
func (s *Server) Register(table host.Handlers) {
	s.Member.Register(table)
	host.Handle(table, wire.Kind_config_poll, s.Poll)
	host.Handle(table, wire.Kind_config_apply, s.Apply)
	host.Handle(table, wire.Kind_config_read, s.ReadStates)
	host.Handle(table, wire.Kind_configstore_status, func(*wire.StatusRequest) (*wire.StatusResponse, error) {
		content, err := json.Marshal(s.Status())
		return &wire.StatusResponse{Json: content}, err
	})
}
