package registry

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// batched tells whether a command may come in a batch: those that carriers make for requests, in numbers.
func isBatchable(command *wire.RegistryCommand) bool {
	return (command.Claim != nil || command.Void != nil || command.Complete != nil) && command.ProbeLease == nil && command.Breaker == nil && command.Singleton == nil && command.Tick == nil
}

// batch carries out the commands of one message, each as if it had come alone. A message costs a core machine many times what a command does.
func (r *Registry) handleBatch(request *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
	response := &wire.RegistryBatchResponse{Outcomes: make([]*wire.RegistryOutcome, len(request.Commands))}
	var positions []int
	var proposals [][]byte
	for index, command := range request.Commands {
		if !isBatchable(command) {
			response.Outcomes[index] = &wire.RegistryOutcome{Error: "not for a batch", Rejected: true}
			continue
		}
		if command.Claim != nil {
			if granted := r.repeatedGrant(command.Claim); granted != nil {
				response.Outcomes[index] = &wire.RegistryOutcome{Result: &wire.RegistryResult{Claim: granted}}
				continue
			}
		}
		content, err := proto.Marshal(command)
		if err != nil {
			response.Outcomes[index] = &wire.RegistryOutcome{Error: err.Error(), Rejected: true}
			continue
		}
		positions, proposals = append(positions, index), append(proposals, content)
	}
	for proposalIndex, outcome := range r.Member.ProposeAll(proposals) {
		response.Outcomes[positions[proposalIndex]] = batchOutcome(outcome)
	}
	return response, nil
}

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
