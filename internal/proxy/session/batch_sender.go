package session

import (
	"snowflow/internal/apierror"
	"snowflow/internal/transport/wire"
)

// startSenders starts up to count senders, within the limits. mu must be held.
func (b *batcher) startSenders(count int) {
	now := b.client.host.Now()
	for ; count > 0 && b.senders < b.senderLimit(); count-- {
		if b.senders >= undelayedSenders && b.batchSize() > 1 && now-b.lastSenderAt < extraSenderInterval {
			return
		}
		b.senders, b.lastSenderAt = b.senders+1, now
		b.client.host.Go(b.runSender)
	}
}

// runSender sends messages, one at a time, until the queue is empty or there are too many senders.
func (b *batcher) runSender() {
	h, resolver := b.client.host, b.client.resolver
	for {
		name := resolver.PrimaryName(registryGroup)
		if name == "" {
			h.Go(resolver.Refresh) // in the background: the server that it calls may be down too
			h.Sleep(leaderCheckInterval)
			if b.stopIfIdle() {
				return
			}
			continue
		}
		calls := b.takeBatch()
		if calls == nil {
			return
		}
		sentAt := h.Now()
		err := b.send(name, calls)
		firstFailure := b.requeue(calls, err, h.Now()-sentAt)
		if err == nil || name != resolver.PrimaryName(registryGroup) {
			continue
		}
		h.Go(resolver.Refresh)
		if firstFailure {
			h.Sleep(firstRetryDelay)
		} else {
			h.Sleep(nextRetryDelay)
		}
	}
}

// stopIfIdle reports whether a sender that found no leader must end because the queue is empty or there are too many senders.
func (b *batcher) stopIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 && b.senders <= b.senderLimit() {
		return false
	}
	b.senders--
	return true
}

// send sends calls to a leader in one message and finishes those that receive a response. It returns the error of the others.
func (b *batcher) send(name string, calls []*pendingCall) error {
	if !b.client.resolver.SupportsBatches(name) || len(calls) == 1 {
		return b.sendSingle(name, calls[0])
	}
	request := &wire.RegistryBatchRequest{}
	for _, call := range calls {
		request.Commands = append(request.Commands, batchCommand(call.request))
	}
	response, sentAt := &wire.RegistryBatchResponse{}, b.client.host.Now()
	if err := b.client.callWhileLeading(name, wire.Kind_registry_batch, request, response, messageTimeout); err != nil {
		now := b.client.host.Now()
		if name == b.client.resolver.PrimaryName(registryGroup) && now-sentAt < slowResponse && !apierror.IsUnreachable(err) {
			b.mu.Lock()
			b.singleTarget, b.singleUntil = name, now+singlePeriod
			b.mu.Unlock()
		}
		return err
	}
	return b.finishExecuted(name, calls, response.Outcomes)
}

// sendSingle sends one call in its own message.
func (b *batcher) sendSingle(name string, call *pendingCall) error {
	response := call.response.ProtoReflect().New().Interface()
	err := b.client.callWhileLeading(name, call.kind, call.request, response, messageTimeout)
	if err == nil {
		b.finish(call, response)
	} else if apierror.IsRefused(err) {
		b.mu.Lock()
		call.mayBeExecuted = true // the leader also rejects a request if it does not know whether it was executed
		b.mu.Unlock()
	}
	return err
}

// finishExecuted finishes the calls of a batch that were executed. It returns the error of the last call that was rejected.
func (b *batcher) finishExecuted(name string, calls []*pendingCall, outcomes []*wire.RegistryOutcome) error {
	var rejection error
	for index, call := range calls {
		outcome := &wire.RegistryOutcome{Error: "the response to the batch has too few outcomes"}
		if index < len(outcomes) {
			outcome = outcomes[index]
		}
		if response := batchResponse(call.request, outcome.GetResult()); response != nil {
			b.finish(call, response)
			continue
		}
		rejection = apierror.Refused.New("%s: %s", name, outcome.Error)
		b.mu.Lock()
		call.err, call.mayBeExecuted = rejection, call.mayBeExecuted || !outcome.Rejected
		b.mu.Unlock()
	}
	return rejection
}
