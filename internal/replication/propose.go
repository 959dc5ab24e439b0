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

type proposal struct {
	command []byte
	result  []byte
	err     error
	done    host.Signal
}

// Propose has a command applied by the primary, here, and gives its result once both copies have synced it.
func (member *Member) Propose(command []byte) ([]byte, error) {
	if !member.Answering() {
		return nil, ErrNotPrimary
	}
	request := &proposal{command: command, done: member.env.Place.NewSignal()}
	member.inbox.Put(request)
	for !request.done.Wait(monotonic.Forever) {
	}
	return request.result, request.err
}

// Outcome is what became of one of several commands proposed together.
type Outcome struct {
	Result []byte
	Err    error
}

// ProposeAll has commands applied by the primary, here, each as if proposed alone, and waits for all of them.
func (member *Member) ProposeAll(commands [][]byte) []Outcome {
	outcomes := make([]Outcome, len(commands))
	if !member.Answering() {
		for index := range outcomes {
			outcomes[index].Err = ErrNotPrimary
		}
		return outcomes
	}
	requests := make([]*proposal, len(commands))
	for index, command := range commands {
		requests[index] = &proposal{command: command, done: member.env.Place.NewSignal()}
		member.inbox.Put(requests[index])
	}
	for index, request := range requests {
		for !request.done.Wait(monotonic.Forever) {
		}
		outcomes[index] = Outcome{request.result, request.err}
	}
	return outcomes
}

// Submit proposes a command that is a message, and decodes its result.
func (member *Member) Submit(command, result proto.Message) error {
	content, err := proto.Marshal(command)
	if err != nil {
		return err
	}
	answer, err := member.Propose(content)
	if errors.Is(err, ErrNotPrimary) {
		return apierror.Refused.New("not the primary")
	}
	if err != nil {
		return err
	}
	return proto.Unmarshal(answer, result)
}

// Answering tells whether this member may answer now.
func (member *Member) Answering() bool {
	member.lock.Lock()
	defer member.lock.Unlock()
	return member.lead.answering && (member.env.Unleased || member.env.Place.Now() < member.lead.until && !member.Vigil.Behind())
}

// Epoch is the epoch this member leads, or zero.
func (member *Member) Epoch() uint64 {
	member.lock.Lock()
	defer member.lock.Unlock()
	return member.lead.epoch
}

// HolderTime is the group's time as its primary counts it; it goes on across failovers.
func (member *Member) HolderTime() monotonic.Micros {
	member.lock.Lock()
	defer member.lock.Unlock()
	return member.lead.told(member.env.Place.Now())
}

// Read looks at the machine under a live tenure. It tells whether it did.
func (member *Member) Read(look func(epoch uint64, now monotonic.Micros)) bool {
	if !member.Answering() {
		return false
	}
	epoch, now := member.Epoch(), member.HolderTime()
	member.machineLock.Lock()
	look(epoch, now)
	member.machineLock.Unlock()
	return member.Answering() && member.Epoch() == epoch
}

// peekWithin is how lately a majority must have been seen by who shows its copy without leading.
const peekWithin = monotonic.Second

// Peek looks at this member's own copy, whoever leads, if the newest register that a majority told of lately names it as a holder: it has whatever was
// answered before that, and may have what never was. It tells whether it looked.
func (member *Member) Peek(look func()) bool {
	if !member.majoritySeen(peekWithin) {
		return false
	}
	member.lock.Lock()
	value, self := member.value, member.self()
	member.lock.Unlock()
	if value == nil || !sameHolder(value.Primary, self) && !holds(backupsOf(value), self) {
		return false
	}
	member.machineLock.Lock()
	defer member.machineLock.Unlock()
	look()
	return true
}
