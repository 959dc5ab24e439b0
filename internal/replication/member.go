// Package replication keeps one group's state in two synced copies and decides which machine leads.
//
// All voters of a group keep a tiny epoch register, changed by single-decree ballots over a majority. The register
// names the primary and the backup. A write is answered once both have synced it; the rest of the voters are
// witnesses that keep only the register. There is no log that a majority replicates.
package replication

import (
	"errors"
	"fmt"
	"slices"
	"sync"

	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// StateMachine is the state that a group keeps. Its functions are called one at a time and never block.
type StateMachine interface {
	// Apply carries out one command at a moment of the holder's time and gives its result.
	Apply(epoch uint64, now monotonic.Micros, command []byte) []byte
	// Snapshot gives the whole state; Restore replaces it.
	Snapshot() []byte
	Restore(content []byte) error
	// HasTimers tells whether some wait runs in the state, so that holder time must be kept from standing still.
	HasTimers() bool
}

// Config is what a member is made of.
type Config struct {
	Host     host.Host
	Resolver *discovery.Resolver
	Group    string
	Name     string
	// InitialVoters is the roster of a first start, the same at all that take part in it. Later ones are in the register.
	InitialVoters []string
	// Bootstrap tells that this process may take part in a first start. One that may not waits to be taken in.
	Bootstrap    bool
	StateMachine StateMachine
	// Replicas is in how many places a write is synced before it's answered: one more than the losses to be borne.
	Replicas int
	// VoterCount is how many voters are wanted. Left out, it follows from the losses to be borne: a majority outlasts them. A first start with
	// more keeps them.
	VoterCount int
	// VoterTimeout is how long a voter may be silent before a successor that waits takes its place.
	VoterTimeout monotonic.Micros
	// Zone tells in which failure domain a process stands, empty if that isn't known, so that copies and voters are kept apart; it may be left out.
	Zone func(name string) string
	// LeaseDuration is how long a majority lets a primary lead; Beat how often it's renewed; Patience how long one call waits.
	LeaseDuration, HeartbeatInterval, CallTimeout monotonic.Micros
	// SlowSyncThreshold is how long a sync may take before the disk counts as slow; three in a row make the primary hand over, or
	// take another backup.
	SlowSyncThreshold monotonic.Micros
	// CompactionThreshold is the length from which the journal is rewritten.
	CompactionThreshold int64
	// UnverifiedClock has holder time go by the primary's clock alone; only rehearsals of the checkers set it.
	UnverifiedClock bool
	// IgnoreLease has a primary answer without a majority's lease, Unheld any voter take over, whatever its copy holds, and Abandon a planned stop leave
	// copy and seat behind. Only rehearsals of the checkers set them.
	IgnoreLease, AnyVoterMayLead, LeaveAtOnce bool
	// HandoverState gives what a primary that hands over knows besides the state; Handed takes it at the backup, with the epoch that
	// was handed over. Both may be left out.
	HandoverState func() []byte
	OnHandover    func(epoch uint64, content []byte)
	// OnServing is called whenever this member starts answering as primary.
	OnServing func(epoch uint64, now monotonic.Micros)
}

// SetDefaults fills in the figures of the design.
func (c *Config) SetDefaults() {
	fill := func(field *monotonic.Micros, value monotonic.Micros) {
		if *field == 0 {
			*field = value
		}
	}
	fill(&c.LeaseDuration, monotonic.Second)
	fill(&c.HeartbeatInterval, 150*monotonic.Millisecond)
	fill(&c.CallTimeout, 400*monotonic.Millisecond)
	fill(&c.SlowSyncThreshold, 300*monotonic.Millisecond)
	fill(&c.VoterTimeout, 20*monotonic.Second)
	c.Replicas = max(c.Replicas, 2)
	if c.VoterCount == 0 {
		c.VoterCount = max(2*c.Replicas-1, len(c.InitialVoters))
	}
	if c.CompactionThreshold == 0 {
		c.CompactionThreshold = 4 << 20
	}
}

// Member is one process's part in a group: its seat as a voter, its copy of the state, and its lead if it has one.
type Member struct {
	config           Config
	voterExecutor    *host.Executor // owns voter
	replicaExecutor  *host.Executor // owns copy's journal
	proposalExecutor *host.Executor // runs ballots one at a time
	writes           *host.Queue[*writeRequest]
	voter            voter
	replica          replica
	// ClockWatch watches this process's clock.
	ClockWatch *clockwatch.Watcher

	mu                 sync.Mutex
	highestProposal    uint64
	register           *wire.RegisterValue // the newest heard of, accepted under registerProposal
	registerProposal   uint64
	leadership         leadership
	lastLeaderContact  monotonic.Micros
	coldStart          bool                        // nothing was heard of a primary, or done about one, in this life
	peers              map[string]peerState        // the last that each other seat told of itself
	reportedMismatch   string                      // the last that was told of rosters that differ
	lastResponse       map[string]monotonic.Micros // when each voter last answered this primary
	standbys           map[string]standby
	leaving            map[string]monotonic.Micros // when each process that stops as planned last said so
	proposedVoters     map[string]bool             // names that ballots of this life would have made voters
	changingMembership bool                        // a change of the roster is under way here
	stopped            bool
	stopping           bool // this process stops as planned, and takes no lead any more

	// relieved is when something was last done about a slow disk, completed when further backups were last looked for; only the
	// work task uses them.
	lastRelief, lastRecruitment monotonic.Micros
	// life is a number that no other life of this process has.
	processID uint64
	// nudge wakes the task that attends to this member's place.
	wakeup host.Signal

	// stateMachineMu guards env.Machine and the fields of copy that say how far it is applied.
	stateMachineMu sync.Mutex
}

// lead is what a primary knows of its epoch. The zero value is no lead.
// Invariants: epoch is one this life of the process won itself; answering implies that the register's value of that
// epoch is settled and names the present backups; nothing is answered at or after until; chosen was chosen under ballot; until
// was granted by quorums of leased.
type leadership struct {
	epoch, proposal    uint64
	register           *wire.RegisterValue
	since              monotonic.Micros // when it began
	leaseUntil         monotonic.Micros
	leaseConfiguration quorum.Config
	serving            bool
	backups            []*wire.MemberID
	preempted          bool
	failures           int
	slowSyncs          int
	slowResponses      int
	lastResort         bool             // the backup had failed, and no other could be had
	clockBase          monotonic.Micros // holder time at
	clockBaseAt        monotonic.Micros // this reading of the own clock
	clockSyncedAt      monotonic.Micros // when every backup had last taken holder time, by the own clock
}

// leaderClock is the group's time at a reading of the own clock.
func (l leadership) leaderClock(now monotonic.Micros) monotonic.Micros {
	return l.clockBase + now - l.clockBaseAt
}

// told is a holder time that has certainly come: no further on than the backup bore witness to, and a little.
func (l leadership) confirmedClock(now monotonic.Micros) monotonic.Micros {
	return min(l.leaderClock(now), l.leaderClock(l.clockSyncedAt)+clockSyncInterval)
}

// Open reads what the disk holds. Start must follow.
func Open(config Config) (*Member, error) {
	config.SetDefaults()
	m := &Member{config: config, ClockWatch: clockwatch.New(config.Host), lastResponse: map[string]monotonic.Micros{}, standbys: map[string]standby{}, leaving: map[string]monotonic.Micros{}, proposedVoters: map[string]bool{},
		peers: map[string]peerState{}, coldStart: true, processID: config.Host.Random() | 1}
	m.ClockWatch.OnJump(func(monotonic.Micros) {
		// What this seat granted may seem to be over and not be.
		m.voterExecutor.Run(func() { m.voter.deferVotes(config.Host.Now() + config.LeaseDuration) })
	})
	m.voterExecutor, m.replicaExecutor, m.proposalExecutor = host.NewExecutor(config.Host), host.NewExecutor(config.Host), host.NewExecutor(config.Host)
	m.writes, m.wakeup = host.NewQueue[*writeRequest](config.Host), config.Host.NewSignal()
	if config.Bootstrap && m.initialRank() == 0 {
		return nil, fmt.Errorf("%s is not among the voters of a first start of %s", config.Name, config.Group)
	}
	m.lastLeaderContact = config.Host.Now()
	if err := wal.ReserveSpace(config.Host.Disk(), 1<<20); err != nil && !isDiskFull(err) {
		return nil, err
	}
	var err error
	m.voterExecutor.Run(func() { err = m.openVoter() })
	if err != nil {
		return nil, err
	}
	m.replicaExecutor.Run(func() { err = m.openReplica() })
	if err != nil {
		return nil, err
	}
	return m, nil
}

// Start begins to take part.
func (m *Member) Start() {
	m.config.Host.Go(m.ClockWatch.Run)
	m.config.Host.Go(m.run)
	m.config.Host.Go(m.runWrites)
}

func (m *Member) initialRank() int {
	for index, name := range m.config.InitialVoters {
		if name == m.config.Name {
			return index + 1
		}
	}
	return 0
}

// others lists who else votes.
func (m *Member) otherVoters() []string {
	return slices.DeleteFunc(m.Voters(), func(name string) bool { return name == m.config.Name })
}

// knownPeers lists whoever may know the register: voters by the settings and by what was heard, and the group's processes in
// the book.
func (m *Member) knownPeers() []string {
	known := slices.Concat(m.config.InitialVoters, m.Voters(), m.config.Resolver.Members(m.config.Group))
	slices.Sort(known)
	return slices.DeleteFunc(slices.Compact(known), func(name string) bool { return name == m.config.Name })
}

// self names this member's copy: a copy that was lost and begun anew is another holder.
func (m *Member) self() *wire.MemberID {
	return &wire.MemberID{Name: m.config.Name, Incarnation: m.replica.incarnation.Load()}
}

func sameMember(one, other *wire.MemberID) bool {
	return one != nil && other != nil && one.Name == other.Name && one.Incarnation == other.Incarnation
}

func (m *Member) fileName(name string) string { return m.config.Group + "." + name }

// learn takes news of the register. It's a hint: the value may have been accepted by a minority only.
func (m *Member) observeRegister(proposal uint64, value *wire.RegisterValue) {
	if value == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.register == nil || m.registerProposal < proposal {
		m.register, m.registerProposal = value, proposal
	}
}

// leads notes who leads an epoch, from one who won it: a primary's own ballot, or its ask for a tenure. What a voter
// merely accepted is no such word, since another value may have been chosen under the same epoch.
func (m *Member) hintLeader(epoch uint64, name string) {
	m.config.Resolver.ObservePrimaries([]*wire.Primary{{Group: m.config.Group, Epoch: epoch, Name: name}})
}

func (m *Member) releaseReserve() bool {
	m.config.Host.Report(eventlog.DiskFull, map[string]any{"group": m.config.Group})
	return wal.ReleaseReservedSpace(m.config.Host.Disk()) == nil
}

func (m *Member) stop(why string) {
	m.mu.Lock()
	already := m.stopped
	m.stopped = true
	m.mu.Unlock()
	if !already {
		m.config.Host.Report(eventlog.DiskSyncFailed, map[string]any{"group": m.config.Group, "error": why})
		m.config.Host.Stop(why)
	}
}

func isCorrupt(err error) bool { return errors.Is(err, wal.ErrCorrupt) }

func isSyncFailure(err error) bool { return errors.Is(err, wal.ErrSyncFailed) }

func isDiskFull(err error) bool { return errors.Is(err, wal.ErrDiskFull) }
