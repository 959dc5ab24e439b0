package replication

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
)

// Errors that a proposal may end with.
var (
	// ErrNotPrimary: the command was not taken; it has not been and will not be applied.
	ErrNotPrimary = errors.New("replication: not the primary")
	// ErrUnknown: the command may be applied, now or later.
	ErrUnknown = errors.New("replication: outcome unknown")
)

type writeRequest struct {
	command []byte
	result  []byte
	err     error
	done    host.Signal
}

// Propose has a command applied by the primary, here, and gives its result once both copies have synced it.
func (m *Member) Propose(command []byte) ([]byte, error) {
	if !m.Serving() {
		return nil, ErrNotPrimary
	}
	w := &writeRequest{command: command, done: m.config.Host.NewSignal()}
	m.writes.Put(w)
	for !w.done.Wait(monotonic.Forever) {
	}
	return w.result, w.err
}

// Outcome is what became of one of several commands proposed together.
type Outcome struct {
	Result []byte
	Err    error
}

// ProposeAll has commands applied by the primary, here, each as if proposed alone, and waits for all of them.
func (m *Member) ProposeAll(commands [][]byte) []Outcome {
	outcomes := make([]Outcome, len(commands))
	if !m.Serving() {
		for index := range outcomes {
			outcomes[index].Err = ErrNotPrimary
		}
		return outcomes
	}
	writes := make([]*writeRequest, len(commands))
	for index, command := range commands {
		writes[index] = &writeRequest{command: command, done: m.config.Host.NewSignal()}
		m.writes.Put(writes[index])
	}
	for index, w := range writes {
		for !w.done.Wait(monotonic.Forever) {
		}
		outcomes[index] = Outcome{w.result, w.err}
	}
	return outcomes
}

// Submit proposes a command that is a message, and decodes its result.
func (m *Member) Submit(command, result proto.Message) error {
	content, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	answer, err := m.Propose(content)
	if errors.Is(err, ErrNotPrimary) {
		return apierror.Refused.New("not the primary")
	}
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, result)
}

// Serving tells whether this member may answer now.
func (m *Member) Serving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.serving && (m.config.IgnoreLease || m.config.Host.Now() < m.leadership.leaseUntil && !m.ClockWatch.WentBack())
}

// Epoch is the epoch this member leads, or zero.
func (m *Member) Epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.epoch
}

// LeaderClock is the group's time as its primary counts it; it goes on across failovers.
func (m *Member) LeaderClock() monotonic.Micros {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadership.confirmedClock(m.config.Host.Now())
}

// Read looks at the machine under a live tenure. It tells whether it did.
func (m *Member) Read(read func(epoch uint64, now monotonic.Micros)) bool {
	if !m.Serving() {
		return false
	}
	epoch, now := m.Epoch(), m.LeaderClock()
	m.stateMachineMu.Lock()
	read(epoch, now)
	m.stateMachineMu.Unlock()
	return m.Serving() && m.Epoch() == epoch
}

// staleReadWindow is how lately a majority must have been seen by who shows its copy without leading.
const staleReadWindow = monotonic.Second

// ReadStale looks at this member's own copy, whoever leads, if the newest register that a majority told of lately names it as a holder: it has whatever was
// answered before that, and may have what never was. It tells whether it looked.
func (m *Member) ReadStale(read func()) bool {
	if !m.quorumSeen(staleReadWindow) {
		return false
	}
	m.mu.Lock()
	value, self := m.register, m.self()
	m.mu.Unlock()
	if value == nil || !sameMember(value.Primary, self) && !containsMember(backupsOf(value), self) {
		return false
	}
	m.stateMachineMu.Lock()
	defer m.stateMachineMu.Unlock()
	read()
	return true
}
