package replication

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
)

// staleReadWindow is how long ago a member that doesn't lead may have read the registers of a quorum to serve a stale read.
const staleReadWindow = monotonic.Second

// writeRequest is a command that waits to be committed. result and err are set before done fires.
type writeRequest struct {
	command []byte
	result  []byte
	err     error
	done    host.Signal
}

// Outcome is the result of one of the commands passed to ProposeAll.
type Outcome struct {
	Result []byte
	Err    error
}

// Propose commits a command if this member is the primary, and returns its result once every replica has synced it. It
// returns ErrNotPrimary if the command won't be applied, and ErrUnknown if it may be.
func (m *Member) Propose(command []byte) ([]byte, error) {
	outcome := m.ProposeAll([][]byte{command})[0]
	return outcome.Result, outcome.Err
}

// ProposeAll proposes each command as Propose does, and waits for all of them. It returns one outcome per command, in the same
// order.
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
		writes[index] = &writeRequest{command: command, done: m.host.NewSignal()}
		m.writes.Put(writes[index])
	}
	for index, w := range writes {
		for !w.done.Wait(monotonic.Forever) {
		}
		outcomes[index] = Outcome{w.result, w.err}
	}
	return outcomes
}

// Submit proposes an encoded message and decodes its result into another. It returns an apierror.Refused error if this member
// isn't the primary.
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

// Read calls a function that reads the state machine, with the epoch and the leader clock. It reports whether this member served
// throughout the call; if not, the result of the read must not be used.
func (m *Member) Read(read func(epoch uint64, now monotonic.Micros)) bool {
	if !m.Serving() {
		return false
	}
	epoch, now := m.Epoch(), m.LeaderClock()
	m.replica.mu.Lock()
	read(epoch, now)
	m.replica.mu.Unlock()
	return m.Serving() && m.Epoch() == epoch
}

// ReadStale calls a function that reads this member's replica, whichever member leads. It does so only if the registers of a quorum
// were read within staleReadWindow and the newest value names this replica. The replica then has every write acknowledged before,
// and possibly writes that never were. ReadStale reports whether it called the function.
func (m *Member) ReadStale(read func()) bool {
	if !m.quorumSeen(staleReadWindow) {
		return false
	}
	if !consensus.NamesReplica(m.knownRegister(), m.self()) {
		return false
	}
	m.replica.mu.Lock()
	defer m.replica.mu.Unlock()
	read()
	return true
}

// mustMarshal encodes a message that this program built itself. It panics if that fails, which would be a programming error.
func mustMarshal(message proto.Message) []byte {
	content, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return content
}
