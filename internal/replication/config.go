package replication

import (
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// StateMachine is the state that a group replicates. Its methods are called one at a time and must not block.
type StateMachine interface {
	// Apply executes a command at the leader clock's time now and returns its result. An empty command is a tick. Apply must be
	// deterministic: every replica applies the same commands in the same order.
	Apply(epoch uint64, now monotonic.Micros, command []byte) []byte
	// Snapshot returns the whole state. Restore replaces it; nil content is the empty state.
	Snapshot() []byte
	Restore(content []byte) error
	// HasTimers reports whether the state changes as time passes, so that ticks must be committed.
	HasTimers() bool
}

// Config holds a member's settings. SetDefaults replaces zero durations by defaults.
type Config struct {
	Host     host.Host
	Resolver *discovery.Resolver
	// Group is the group's name, which begins the names of its files. Name is this process's name, unique in the group.
	Group, Name string
	// InitialVoters are the voters at the group's first start; the settings of all members must name the same ones. Later voters
	// are in the register.
	InitialVoters []string
	// Bootstrap permits this process to take part in the group's first start. Without it, a process that has no register
	// waits to be added by the primary.
	Bootstrap    bool
	StateMachine StateMachine
	// Replicas is how many replicas, the primary's included, sync a write before it is acknowledged: one more than the
	// number of machines that may be lost at once. The minimum is two.
	Replicas int
	// VoterCount is the number of voters wanted. The default is 2*Replicas-1, so that a quorum survives the loss of as many
	// machines, or the number of initial voters if that is higher.
	VoterCount int
	// VoterTimeout is how long a voter may be unresponsive before a standby replaces it.
	VoterTimeout monotonic.Micros
	// Zone returns the failure domain of a process, or an empty string if it is unknown. Replicas and voters are spread over
	// zones. Zone may be nil.
	Zone func(name string) string
	// LeaseDuration is how long a lease granted to a primary is valid. It must be the same at all members.
	LeaseDuration monotonic.Micros
	// ElectionInterval is the base interval of the election timeouts. CallTimeout is the timeout of a call that doesn't wait
	// for a disk.
	ElectionInterval, CallTimeout monotonic.Micros
	// SlowSyncThreshold is how long a sync may take before a disk counts as slow. After three consecutive slow batches the
	// primary transfers its leadership or replaces the backup.
	SlowSyncThreshold monotonic.Micros
	// CompactionThreshold is the size in bytes from which the journal may be compacted.
	CompactionThreshold int64
	// OnServing, if not nil, is called whenever this member is about to serve as primary.
	OnServing func(epoch uint64, now monotonic.Micros)
	// HandoverState, if not nil, returns what a primary that transfers its leadership passes on in addition to the replicated
	// state. OnHandover, if not nil, receives that content at the successor, with the epoch of the previous primary.
	HandoverState func() []byte
	OnHandover    func(epoch uint64, content []byte)

	// The fields below inject defects. Only tests set them, to verify that the checkers detect the defects.

	// UnverifiedClock lets the leader clock follow the primary's clock without the bound set by the backups.
	UnverifiedClock bool
	// IgnoreLease lets a primary serve without a lease. AnyVoterMayLead lets any voter campaign, whatever the state of its replica.
	// LeaveAtOnce lets a graceful shutdown end without handing over the replica and the vote.
	IgnoreLease, AnyVoterMayLead, LeaveAtOnce bool
}

// Defaults of Config.
const (
	defaultLeaseDuration       = monotonic.Second
	defaultElectionInterval    = 150 * monotonic.Millisecond
	defaultCallTimeout         = 400 * monotonic.Millisecond
	defaultSlowSyncThreshold   = 300 * monotonic.Millisecond
	defaultVoterTimeout        = 20 * monotonic.Second
	defaultCompactionThreshold = 4 << 20 // bytes
	minReplicas                = 2
)

// SetDefaults replaces zero values by the defaults and raises Replicas to its minimum.
func (c *Config) SetDefaults() {
	setDefault(&c.LeaseDuration, defaultLeaseDuration)
	setDefault(&c.ElectionInterval, defaultElectionInterval)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.SlowSyncThreshold, defaultSlowSyncThreshold)
	setDefault(&c.VoterTimeout, defaultVoterTimeout)
	setDefault(&c.CompactionThreshold, defaultCompactionThreshold)
	c.Replicas = max(c.Replicas, minReplicas)
	setDefault(&c.VoterCount, max(2*c.Replicas-1, len(c.InitialVoters)))
}

func setDefault[Value comparable](field *Value, value Value) {
	var zero Value
	if *field == zero {
		*field = value
	}
}
