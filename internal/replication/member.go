package replication

import (
	"fmt"
	"slices"
	"sync"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// Member is one process's part in a group: its vote, its replica, and its leadership if it is the primary. Its exported methods may
// be called by any task, except for Register and Start, which are called once after Open.
//
// Parts of its state have types of their own. Its methods are in the files of the operations that use them (see the package
// documentation). Each field is owned by one executor or one task, or guarded by mu.
type Member struct {
	config   Config
	host     host.Host
	resolver *discovery.Resolver
	// processID is a random number that distinguishes this process from earlier and later ones of the same name.
	processID uint64
	// ClockWatch detects jumps of this process's clock. Start starts its Run.
	ClockWatch *clockwatch.Watcher

	voterExecutor    *host.Executor // owns voter and registerLog
	replicaExecutor  *host.Executor // owns replica, except for what replica.mu guards
	proposalExecutor *host.Executor // runs proposals one at a time
	storage          *storage
	voter            *consensus.Voter
	registerLog      *wal.Log
	replica          *replica
	// writes holds the commands to be committed; a nil one only wakes the commit loop.
	writes *host.Queue[*writeRequest]
	// wakeup wakes the election loop, which renews the lease, campaigns and joins.
	wakeup host.Signal

	commitTimes commitTimes // owned by the commit loop

	// mu guards the fields below. It is never held while waiting.
	mu sync.Mutex
	// register is what has been seen of the group's register.
	register   observedRegister
	leadership leadership
	contact    leaderContact
	// peers is what is known of the other processes.
	peers peerTable
	// reportedMismatch describes the difference of initial voters that was reported last.
	reportedMismatch string
	// standbys are the processes that asked this member to add them as voters; leaving are those that reported that they are
	// shutting down.
	standbys standbyTable
	leaving  leavingTable
	change   membershipChange
	// stopping is set once this process shuts down gracefully, and keeps it from campaigning.
	stopping bool
}

// Open reads the group's files, or creates them. Start must follow. It returns an apierror.Invalid error if the files belong
// to another process.
func Open(config Config) (*Member, error) {
	config.SetDefaults()
	if config.Bootstrap && !slices.Contains(config.InitialVoters, config.Name) {
		return nil, fmt.Errorf("%s is not among the initial voters of %s", config.Name, config.Group)
	}
	m := newMember(config)
	if err := m.storage.reserve(); err != nil && !isDiskFull(err) {
		return nil, err
	}
	var err error
	m.voterExecutor.Run(func() { err = m.openVoter() })
	if err != nil {
		return nil, err
	}
	m.replicaExecutor.Run(func() { err = m.replica.open() })
	if err != nil {
		return nil, err
	}
	return m, nil
}

func newMember(config Config) *Member {
	h := config.Host
	files := &storage{host: h, group: config.Group}
	m := &Member{
		config:     config,
		host:       h,
		resolver:   config.Resolver,
		ClockWatch: clockwatch.New(h),
		processID:  h.Random() | 1,
		storage:    files,
		replica:    newReplica(h, files, config),
		voter:      consensus.NewVoter(consensus.Options{InitialVoters: config.InitialVoters, LeaseDuration: config.LeaseDuration}),
		contact:    leaderContact{last: h.Now(), coldStart: true},
		peers:      newPeerTable(),
		standbys:   standbyTable{},
		leaving:    leavingTable{},
		change:     membershipChange{proposedVoters: map[string]bool{}},
	}
	m.ClockWatch.OnJump(func(monotonic.Micros) {
		// A lease that this voter granted may seem to have ended although it hasn't.
		m.voterExecutor.Run(func() { m.voter.DeferVotes(h.Now() + config.LeaseDuration) })
	})
	m.voterExecutor = host.NewExecutor(h)
	m.replicaExecutor = host.NewExecutor(h)
	m.proposalExecutor = host.NewExecutor(h)
	m.writes, m.wakeup = host.NewQueue[*writeRequest](h), h.NewSignal()
	return m
}

// Start starts the member's tasks, which run until the process ends: the clock watch, the election and lease loop, and the
// loop that commits writes.
func (m *Member) Start() {
	m.host.Go(m.ClockWatch.Run)
	m.host.Go(m.runElections)
	m.host.Go(m.runCommits)
}

// self returns the ID of this member's replica.
func (m *Member) self() *wire.MemberID {
	return &wire.MemberID{Name: m.config.Name, Incarnation: m.replica.incarnation.Load()}
}

// initialRank returns this member's position among the initial voters, starting at one, or zero if it isn't one of them.
func (m *Member) initialRank() int {
	return slices.Index(m.config.InitialVoters, m.config.Name) + 1
}
