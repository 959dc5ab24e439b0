package registry

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// ErrNotBatchable reports a command that is not allowed in a batch.
var ErrNotBatchable = errors.New("command is not allowed in a batch")

// isBatchable reports whether a command is allowed in a batch. Only the commands that proxies send for each request with an idempotency
// key are.
func isBatchable(command *wire.RegistryCommand) bool {
	hasClaim := command.Claim != nil || command.Void != nil || command.Complete != nil
	hasOther := command.ProbeLease != nil || command.Breaker != nil || command.Singleton != nil || command.Tick != nil
	return hasClaim && !hasOther
}

// handleBatch executes the commands of one message as if each had been sent on its own, and returns their outcomes in the same order.
// Proxies send batches because a message costs a registry many times as much as a command.
func (r *Registry) handleBatch(request *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
	outcomes := make([]*wire.RegistryOutcome, len(request.Commands))
	var positions []int // the index of each proposal's command
	var proposals [][]byte
	for index, command := range request.Commands {
		outcome, proposal := r.prepareBatched(command)
		if outcome != nil {
			outcomes[index] = outcome
			continue
		}
		positions, proposals = append(positions, index), append(proposals, proposal)
	}
	for index, outcome := range r.Member.ProposeAll(proposals) {
		outcomes[positions[index]] = batchOutcome(outcome)
	}
	return &wire.RegistryBatchResponse{Outcomes: outcomes}, nil
}

// prepareBatched returns the outcome of a command that needs no write, or otherwise the encoded command to propose.
func (r *Registry) prepareBatched(command *wire.RegistryCommand) (*wire.RegistryOutcome, []byte) {
	if !isBatchable(command) {
		return rejected(ErrNotBatchable), nil
	}
	if command.Claim != nil {
		if answer := r.answerClaim(command.Claim); answer != nil {
			return &wire.RegistryOutcome{Result: &wire.RegistryResult{Claim: answer}}, nil
		}
	}
	proposal, err := proto.Marshal(command)
	if err != nil {
		return rejected(err), nil
	}
	return nil, proposal
}

// rejected returns the outcome of a command that was not executed and never will be.
func rejected(err error) *wire.RegistryOutcome {
	return &wire.RegistryOutcome{Error: err.Error(), Rejected: true}
}

// batchOutcome converts the outcome of a proposal. After any error other than ErrNotPrimary, it is unknown whether the command was
// executed.
func batchOutcome(outcome replication.Outcome) *wire.RegistryOutcome {
	result := &wire.RegistryResult{}
	err := outcome.Err
	if err == nil {
		err = proto.Unmarshal(outcome.Result, result)
	}
	if err != nil {
		return &wire.RegistryOutcome{Error: err.Error(), Rejected: errors.Is(err, replication.ErrNotPrimary)}
	}
	return &wire.RegistryOutcome{Result: result}
}
