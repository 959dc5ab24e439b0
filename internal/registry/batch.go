package registry

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// batched tells whether a command may come in a batch: those that carriers make for requests, in numbers.
func batched(command *wire.RegistryCommand) bool {
	return (command.Claim != nil || command.Void != nil || command.Complete != nil) && command.ProbeLease == nil && command.Breaker == nil && command.Singleton == nil && command.Tick == nil
}

// batch carries out the commands of one message, each as if it had come alone. A message costs a core machine many times what a command does.
func (sorter *Sorter) batch(ask *wire.RegistryBatchRequest) (*wire.RegistryBatchResponse, error) {
	tell := &wire.RegistryBatchResponse{Outcomes: make([]*wire.RegistryOutcome, len(ask.Commands))}
	var places []int
	var proposals [][]byte
	for index, command := range ask.Commands {
		if !batched(command) {
			tell.Outcomes[index] = &wire.RegistryOutcome{Error: "not for a batch", Rejected: true}
			continue
		}
		if command.Claim != nil {
			if granted := sorter.granted(command.Claim); granted != nil {
				tell.Outcomes[index] = &wire.RegistryOutcome{Result: &wire.RegistryResult{Claim: granted}}
				continue
			}
		}
		content, err := proto.Marshal(command)
		if err != nil {
			tell.Outcomes[index] = &wire.RegistryOutcome{Error: err.Error(), Rejected: true}
			continue
		}
		places, proposals = append(places, index), append(proposals, content)
	}
	for place, outcome := range sorter.Member.ProposeAll(proposals) {
		tell.Outcomes[places[place]] = told(outcome)
	}
	return tell, nil
}

func told(outcome replication.Outcome) *wire.RegistryOutcome {
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
