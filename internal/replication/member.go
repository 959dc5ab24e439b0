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
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// Machine is the state that a group keeps. Its functions are called one at a time and never block.
type Machine interface {
	// Apply carries out one command at a moment of the holder's time and gives its result.
	Apply(epoch uint64, now monotonic.Micros, command []byte) []byte
	// View gives the whole state; Restore replaces it.
	View() []byte
	Restore(content []byte) error
	// Waiting tells whether some wait runs in the state, so that holder time must be kept from standing still.
	Waiting() bool
}

// Env is what a member is made of.
type Env struct {
	Place host.Host
	Book  *discovery.Book
	Group string
	Name  string
	// Voters is the roster of a first start, the same at all that take part in it. Later ones are in the register.
	Voters []string
	// Genesis tells that this process may take part in a first start. One that may not waits to be taken in.
	Genesis bool
	Machine Machine
	// Copies is in how many places a write is synced before it's answered: one more than the losses to be borne.
	Copies int
	// Size is how many voters are wanted. Left out, it follows from the losses to be borne: a majority outlasts them. A first start with
	// more keeps them.
	Size int
	// Gone is how long a voter may be silent before a successor that waits takes its place.
	Gone monotonic.Micros
	// Zone tells in which failure domain a process stands, empty if that isn't known, so that copies and voters are kept apart; it may be left out.
	Zone func(name string) string
	// Tenure is how long a majority lets a primary lead; Beat how often it's renewed; Patience how long one call waits.
	Tenure, Beat, Patience monotonic.Micros
	// SlowSync is how long a sync may take before the disk counts as slow; three in a row make the primary hand over, or
	// take another backup.
	SlowSync monotonic.Micros
	// CompactFrom is the length from which the journal is rewritten.
	CompactFrom int64
	// Unwitnessed has holder time go by the primary's clock alone; only rehearsals of the checkers set it.
	Unwitnessed bool
	// Unleased has a primary answer without a majority's lease, Unheld any voter take over, whatever its copy holds, and Abandon a planned stop leave
	// copy and seat behind. Only rehearsals of the checkers set them.
	Unleased, Unheld, Abandon bool
	// Handing gives what a primary that hands over knows besides the state; Handed takes it at the backup, with the epoch that
	// was handed over. Both may be left out.
	Handing func() []byte
	Handed  func(epoch uint64, content []byte)
	// Settled is called whenever this member starts answering as primary.
	Settled func(epoch uint64, now monotonic.Micros)
}

// Defaults fills in the figures of the design.
func (env *Env) Defaults() {
	fill := func(field *monotonic.Micros, value monotonic.Micros) {
		if *field == 0 {
			*field = value
		}
	}
	fill(&env.Tenure, monotonic.Second)
	fill(&env.Beat, 150*monotonic.Millisecond)
	fill(&env.Patience, 400*monotonic.Millisecond)
	fill(&env.SlowSync, 300*monotonic.Millisecond)
	fill(&env.Gone, 20*monotonic.Second)
	env.Copies = max(env.Copies, 2)
	if env.Size == 0 {
		env.Size = max(2*env.Copies-1, len(env.Voters))
	}
	if env.CompactFrom == 0 {
		env.CompactFrom = 4 << 20
	}
}

// Member is one process's part in a group: its seat as a voter, its copy of the state, and its lead if it has one.
type Member struct {
	env      Env
	seat     *host.Owner // owns voter
	keeper   *host.Owner // owns copy's journal
	proposer *host.Owner // runs ballots one at a time
	inbox    *host.Inbox[*proposal]
	voter    voter
	copy     copy
	// Vigil watches this process's clock.
	Vigil *clockwatch.Vigil

	lock          sync.Mutex
	highestBallot uint64
	value         *wire.RegisterValue // the newest heard of, accepted under valueBallot
	valueBallot   uint64
	lead          lead
	lastHeard     monotonic.Micros
	young         bool                        // nothing was heard of a primary, or done about one, in this life
	seats         map[string]sighting         // the last that each other seat told of itself
	told          string                      // the last that was told of rosters that differ
	heard         map[string]monotonic.Micros // when each voter last answered this primary
	applicants    map[string]applicant
	leavers       map[string]monotonic.Micros // when each process that stops as planned last said so
	proposed      map[string]bool             // names that ballots of this life would have made voters
	tending       bool                        // a change of the roster is under way here
	stopped       bool
	stopping      bool // this process stops as planned, and takes no lead any more

	// relieved is when something was last done about a slow disk, completed when further backups were last looked for; only the
	// work task uses them.
	relieved, completed monotonic.Micros
	// life is a number that no other life of this process has.
	life uint64
	// nudge wakes the task that attends to this member's place.
	nudge host.Signal

	// machineLock guards env.Machine and the fields of copy that say how far it is applied.
	machineLock sync.Mutex
}

// lead is what a primary knows of its epoch. The zero value is no lead.
// Invariants: epoch is one this life of the process won itself; answering implies that the register's value of that
// epoch is settled and names the present backups; nothing is answered at or after until; chosen was chosen under ballot; until
// was granted by quorums of leased.
type lead struct {
	epoch, ballot uint64
	chosen        *wire.RegisterValue
	since         monotonic.Micros // when it began
	until         monotonic.Micros
	leased        configuration
	answering     bool
	backups       []*wire.MemberID
	outbid        bool
	failures      int
	slowSyncs     int
	slowReplies   int
	lastResort    bool             // the backup had failed, and no other could be had
	base          monotonic.Micros // holder time at
	baseAt        monotonic.Micros // this reading of the own clock
	exchanged     monotonic.Micros // when every backup had last taken holder time, by the own clock
}

// holderTime is the group's time at a reading of the own clock.
func (lead lead) holderTime(now monotonic.Micros) monotonic.Micros {
	return lead.base + now - lead.baseAt
}

// told is a holder time that has certainly come: no further on than the backup bore witness to, and a little.
func (lead lead) told(now monotonic.Micros) monotonic.Micros {
	return min(lead.holderTime(now), lead.holderTime(lead.exchanged)+agreeAfter)
}

// Open reads what the disk holds. Start must follow.
func Open(env Env) (*Member, error) {
	env.Defaults()
	member := &Member{env: env, Vigil: clockwatch.New(env.Place), heard: map[string]monotonic.Micros{}, applicants: map[string]applicant{}, leavers: map[string]monotonic.Micros{}, proposed: map[string]bool{},
		seats: map[string]sighting{}, young: true, life: env.Place.Random() | 1}
	member.Vigil.OnLeap(func(monotonic.Micros) {
		// What this seat granted may seem to be over and not be.
		member.seat.Do(func() { member.voter.waitOut(env.Place.Now() + env.Tenure) })
	})
	member.seat, member.keeper, member.proposer = host.NewOwner(env.Place), host.NewOwner(env.Place), host.NewOwner(env.Place)
	member.inbox, member.nudge = host.NewInbox[*proposal](env.Place), env.Place.NewSignal()
	if env.Genesis && member.rank() == 0 {
		return nil, fmt.Errorf("%s is not among the voters of a first start of %s", env.Name, env.Group)
	}
	member.lastHeard = env.Place.Now()
	if err := wal.Reserve(env.Place.Disk(), 1<<20); err != nil && !isFull(err) {
		return nil, err
	}
	var err error
	member.seat.Do(func() { err = member.openVoter() })
	if err != nil {
		return nil, err
	}
	member.keeper.Do(func() { err = member.openCopy() })
	if err != nil {
		return nil, err
	}
	return member, nil
}

// Start begins to take part.
func (member *Member) Start() {
	member.env.Place.Go(member.Vigil.Watch)
	member.env.Place.Go(member.attend)
	member.env.Place.Go(member.work)
}

func (member *Member) rank() int {
	for index, name := range member.env.Voters {
		if name == member.env.Name {
			return index + 1
		}
	}
	return 0
}

// others lists who else votes.
func (member *Member) others() []string {
	return slices.DeleteFunc(member.Voters(), func(name string) bool { return name == member.env.Name })
}

// acquaintances lists whoever may know the register: voters by the settings and by what was heard, and the group's processes in
// the book.
func (member *Member) acquaintances() []string {
	known := slices.Concat(member.env.Voters, member.Voters(), member.env.Book.Members(member.env.Group))
	slices.Sort(known)
	return slices.DeleteFunc(slices.Compact(known), func(name string) bool { return name == member.env.Name })
}

// self names this member's copy: a copy that was lost and begun anew is another holder.
func (member *Member) self() *wire.MemberID {
	return &wire.MemberID{Name: member.env.Name, Incarnation: member.copy.incarnation.Load()}
}

func sameHolder(one, other *wire.MemberID) bool {
	return one != nil && other != nil && one.Name == other.Name && one.Incarnation == other.Incarnation
}

func (member *Member) file(name string) string { return member.env.Group + "." + name }

// learn takes news of the register. It's a hint: the value may have been accepted by a minority only.
func (member *Member) learn(ballot uint64, value *wire.RegisterValue) {
	if value == nil {
		return
	}
	member.lock.Lock()
	defer member.lock.Unlock()
	if member.value == nil || member.valueBallot < ballot {
		member.value, member.valueBallot = value, ballot
	}
}

// leads notes who leads an epoch, from one who won it: a primary's own ballot, or its ask for a tenure. What a voter
// merely accepted is no such word, since another value may have been chosen under the same epoch.
func (member *Member) leads(epoch uint64, name string) {
	member.env.Book.Hint([]*wire.Primary{{Group: member.env.Group, Epoch: epoch, Name: name}})
}

func (member *Member) releaseReserve() bool {
	member.env.Place.Report(eventlog.DiskFull, map[string]any{"group": member.env.Group})
	return wal.ReleaseReserve(member.env.Place.Disk()) == nil
}

func (member *Member) stop(why string) {
	member.lock.Lock()
	already := member.stopped
	member.stopped = true
	member.lock.Unlock()
	if !already {
		member.env.Place.Report(eventlog.DiskSyncFailed, map[string]any{"group": member.env.Group, "error": why})
		member.env.Place.Stop(why)
	}
}

func isDamaged(err error) bool { return errors.Is(err, wal.ErrDamaged) }

func isPoisoned(err error) bool { return errors.Is(err, wal.ErrPoisoned) }

func isFull(err error) bool { return errors.Is(err, wal.ErrFull) }
