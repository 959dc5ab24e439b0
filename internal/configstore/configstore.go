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
	// Tenure is how long a carrier may serve by what it last heard, counted from before its poll.
	Tenure = 6 * monotonic.Second
	// Slack is what may be left of an unheard carrier's tenure when a desired state is acknowledged: less than the
	// 2 s that are promised.
	Slack = 1500 * monotonic.Millisecond
)

// Config is what a postmaster is made of.
type Env struct {
	Place  host.Host
	Book   *discovery.Book
	Name   string
	Voters []string // of a first start
	// Bootstrap tells that this process may take part in a first start.
	Genesis bool
	Adjust  func(*replication.Config)
	Bounds  Bounds
	// Read reads contents as they are applied and stored, franking.Parse if left out.
	Read config.Reader
	// History is how many accepted states are kept at most, all for zero. It must be the same at every postmaster.
	History int
	// Versions bounds what is kept to tell carriers differences; what is left zero is as differences.Defaults has it.
	Versions differences.Bounds
	// AnyContent has the store confirm several contents under one number. Only rehearsals of the checkers set it.
	AnyContent bool
	// Adopted is told how long after its commit a carrier gave its word that it has adopted a version; it must not block.
	Adopted func(carrier string, serial uint64, took monotonic.Micros)
	// Kept is told all accepted states that are kept, oldest first, whenever this process as primary accepts one or starts to answer;
	// it must not block.
	Kept func(states []*wire.StoredConfig)
}

// Postmaster is one store process.
type Postmaster struct {
	env    Env
	Member *replication.Member
	store  *versions.Store
	// versions are the states read lately, and what the newest changes in them.
	versions *differences.Versions

	packing packing
	lock    sync.Mutex
	holders map[string]*holder
	news    *crowd // polls that wait for a new state
	words   *crowd // applies that wait for carriers' word of adoption
	// ackFrom is the moment from which no tenure that an earlier primary gave has more than Slack left.
	ackFrom monotonic.Micros
	epoch   uint64
	// committedAt is when this process first knew that committed, the highest such serial, was accepted.
	committed   uint64
	committedAt monotonic.Micros
	// newestAt is when this process first knew of newest, by whichever way.
	newest   uint64
	newestAt monotonic.Micros
	// handed is what the primary of handedEpoch knew of tenures when it handed over, after it had given its last one.
	handed      map[string]*holder
	handedEpoch uint64
}

// Open reads the disk.
func Open(env Env) (*Postmaster, error) {
	if env.Read == nil {
		env.Read = config.Parse
	}
	env.Bounds = env.Bounds.filled()
	if err := env.Bounds.check(); err != nil {
		return nil, err
	}
	master := &Postmaster{env: env, store: versions.New(env.History), versions: differences.New(env.Read, env.Versions), holders: map[string]*holder{}, news: newCrowd(env.Place), words: newCrowd(env.Place)}
	core := replication.Config{Host: env.Place, Resolver: env.Book, Group: Group, Name: env.Name, InitialVoters: env.Voters, Bootstrap: env.Genesis,
		StateMachine: master.store, OnServing: master.settled, HandoverState: master.handing, OnHandover: master.takeHanded}
	if env.Adjust != nil {
		env.Adjust(&core)
	}
	env.Book.OfferDeltas()
	master.store.Deltas, master.store.AnyContent = master.allTakeDeltas, env.AnyContent
	member, err := replication.Open(core)
	master.Member = member
	if err == nil {
		member.ClockWatch.OnLeap(func(monotonic.Micros) { master.doubt() })
	}
	return master, err
}

// Start begins work.
func (master *Postmaster) Start() { master.Member.Start() }

func (master *Postmaster) tellKept() {
	if master.env.Kept == nil {
		return
	}
	master.Member.Read(func(uint64, monotonic.Micros) {
		if states := master.store.All(); len(states) > 0 {
			master.env.Kept(states)
		}
	})
}

// Register adds the postmaster's handlers.
func (master *Postmaster) Register(table host.Table) {
	master.Member.Register(table)
	host.Handle(table, wire.Kind_config_poll, master.Poll)
	host.Handle(table, wire.Kind_config_apply, master.Apply)
	host.Handle(table, wire.Kind_config_read, master.ReadBack)
	host.Handle(table, wire.Kind_configstore_status, func(*wire.StatusRequest) (*wire.StatusResponse, error) {
		content, err := json.Marshal(master.Status())
		return &wire.StatusResponse{Json: content}, err
	})
}
