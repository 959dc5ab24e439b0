package session

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// firstRetryDelay and nextRetryDelay are how long after a first, and a further, message in vain the next one goes out.
	firstRetryDelay, nextRetryDelay = 50 * monotonic.Millisecond, 100 * monotonic.Millisecond
	// slowResponse is how long a message must have waited in vain to say that the primary takes asks, and is slow.
	slowResponse = 500 * monotonic.Millisecond
	// messageTimeout is how long one message waits for its answer. An ask may have more, and is then sent again.
	messageTimeout = 700 * monotonic.Millisecond
	// maxBatch bounds the asks of one message, usualSenders the messages that leave at once, so that asks wait only where the primary
	// is slower than they come. Then one more leaves each extraSenderInterval, up to maxSenders: a primary that is slow because it has much to
	// do is sent little, and one whose disk is slow has its asks in few syncs.
	maxBatch, usualSenders, maxSenders = 64, 4, 16
	extraSenderInterval                = 50 * monotonic.Millisecond
	// maxSingleSenders is maxSenders for a primary that takes no batches.
	maxSingleSenders = 64
	// singleFor is how long asks go alone after a batch was lost: the primary may be of a build that knows none.
	singleFor = monotonic.Second
)

// pending is one ask of the primary. Invariants: all but kind, ask, cutoff and done belong to the lock of its batches; once over, tell is
// the asker's, and nothing here changes any more.
type pendingCall struct {
	kind       wire.Kind
	request    proto.Message
	response   proto.Message
	deadline   monotonic.Micros
	done       host.Signal
	finished   bool
	inFlight   bool // it's on its way
	mayBeTaken bool // a primary may have taken it, though it didn't say so
	err        error
}

// batches sends asks to the primary, several in one message when they come faster than it answers. A message costs a core machine many times
// what the ask in it does, and asks that nobody waits for any more aren't sent at all.
// Invariants: waiting holds calls that are not over and not on their way, the longest waiting first; flights counts the tasks that send,
// maxSenders at most, and while anything waits there is one; while failing only one goes on.
type batcher struct {
	client       *Client
	mu           sync.Mutex
	queue        []*pendingCall
	senders      int
	lastSenderAt monotonic.Micros // when the last flight was started
	failing      bool
	singleTarget string           // the primary to which asks go alone
	singleUntil  monotonic.Micros // and until when
}

// parts give the part of a batch's command, and of its result, that is of a kind. Kinds without one go alone.
var batchedKinds = map[wire.Kind]struct {
	command func(request proto.Message) *wire.RegistryCommand
	result  func(result *wire.RegistryResult) proto.Message
}{
	wire.Kind_claim: {func(request proto.Message) *wire.RegistryCommand {
		return &wire.RegistryCommand{Claim: request.(*wire.ClaimRequest)}
	},
		func(result *wire.RegistryResult) proto.Message { return result.GetClaim() }},
	wire.Kind_void_claim: {func(request proto.Message) *wire.RegistryCommand {
		return &wire.RegistryCommand{Void: request.(*wire.VoidClaimRequest)}
	},
		func(result *wire.RegistryResult) proto.Message { return result.GetVoid() }},
	wire.Kind_complete_claim: {func(request proto.Message) *wire.RegistryCommand {
		return &wire.RegistryCommand{Complete: request.(*wire.CompleteClaimRequest)}
	},
		func(result *wire.RegistryResult) proto.Message { return result.GetComplete() }},
}

// call has an ask answered by the primary, within patience. An error that is lost says that a primary may have taken it.
func (b *batcher) call(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	h := b.client.host
	call := &pendingCall{kind: kind, request: request, response: response, deadline: h.Now() + timeout, done: h.NewSignal()}
	b.mu.Lock()
	b.queue = append(b.queue, call)
	b.startSenders(1)
	b.mu.Unlock()
	for {
		call.done.Wait(min(max(call.deadline-h.Now(), 0), extraSenderInterval))
		b.mu.Lock()
		if call.finished || h.Now() >= call.deadline {
			break
		}
		if !call.inFlight {
			b.startSenders(1)
		}
		b.mu.Unlock()
	}
	defer b.mu.Unlock()
	if call.finished {
		return call.err
	}
	call.finished = true
	if at := slices.Index(b.queue, call); at >= 0 {
		b.queue = slices.Delete(b.queue, at, at+1)
	}
	switch {
	case call.inFlight || call.mayBeTaken:
		return apierror.Lost.New("no answer of a primary sorter in time")
	case call.err != nil:
		return call.err
	}
	return apierror.Unreachable.New("no primary sorter was asked in time")
}

// depart starts up to so many flights. The lock is held.
func (b *batcher) startSenders(count int) {
	now := b.client.host.Now()
	for ; count > 0 && b.senders < b.senderLimit(); count-- {
		if b.senders >= usualSenders && b.batchSize() > 1 && now-b.lastSenderAt < extraSenderInterval {
			return
		}
		b.senders, b.lastSenderAt = b.senders+1, now
		b.client.host.Go(b.runSender)
	}
}

func (b *batcher) senderLimit() int {
	switch {
	case b.failing:
		return 1
	case b.batchSize() == 1:
		return maxSingleSenders
	}
	return maxSenders
}

// size is how many asks may go in one message to the present primary.
func (b *batcher) batchSize() int {
	name := b.client.resolver.Leader(registryGroup)
	if name == b.singleTarget && b.client.host.Now() < b.singleUntil || !b.client.resolver.SupportsBatches(name) {
		return 1
	}
	return maxBatch
}

// next takes the calls of the next message, or ends the flight if nothing waits or others go on.
func (b *batcher) takeBatch() []*pendingCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 || b.senders > b.senderLimit() {
		b.senders--
		return nil
	}
	count := min(b.batchSize(), len(b.queue))
	calls := slices.Clone(b.queue[:count])
	b.queue = slices.Delete(b.queue, 0, count)
	for _, call := range calls {
		call.inFlight = true
	}
	return calls
}

// fly sends messages until nothing waits.
func (b *batcher) runSender() {
	h, resolver := b.client.host, b.client.resolver
	for {
		name := resolver.Leader(registryGroup)
		if name == "" {
			h.Go(resolver.Refresh) // whom it asks may be gone too, and isn't waited for
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
		began := h.Now()
		err := b.send(name, calls)
		firstFailure := b.requeue(calls, err, h.Now()-began)
		if err == nil || name != resolver.Leader(registryGroup) {
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

// idle ends a flight that found no primary if nobody waits for one any more.
func (b *batcher) stopIfIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) > 0 && b.senders <= b.senderLimit() {
		return false
	}
	b.senders--
	return true
}

// send brings calls to a primary in one message, and ends those that are answered. An error tells of the others.
func (b *batcher) send(name string, calls []*pendingCall) error {
	if !b.client.resolver.SupportsBatches(name) || len(calls) == 1 {
		only := calls[0]
		response := only.response.ProtoReflect().New().Interface()
		err := b.client.callWhileLeading(name, only.kind, only.request, response, messageTimeout)
		if err == nil {
			b.finish(only, response)
		} else if apierror.IsRefused(err) {
			b.mu.Lock()
			only.mayBeTaken = true // such a refusal may say that the outcome isn't known
			b.mu.Unlock()
		}
		return err
	}
	request := &wire.RegistryBatchRequest{}
	for _, call := range calls {
		request.Commands = append(request.Commands, batchedKinds[call.kind].command(call.request))
	}
	response, began := &wire.RegistryBatchResponse{}, b.client.host.Now()
	if err := b.client.callWhileLeading(name, wire.Kind_registry_batch, request, response, messageTimeout); err != nil {
		now := b.client.host.Now()
		if name == b.client.resolver.Leader(registryGroup) && now-began < slowResponse && !apierror.IsUnreachable(err) {
			b.mu.Lock()
			b.singleTarget, b.singleUntil = name, now+singleFor
			b.mu.Unlock()
		}
		return err
	}
	var refusal error
	for index, call := range calls {
		outcome := &wire.RegistryOutcome{Error: "it answered too few"}
		if index < len(response.Outcomes) {
			outcome = response.Outcomes[index]
		}
		if answer := batchedKinds[call.kind].result(outcome.GetResult()); answer.ProtoReflect().IsValid() {
			b.finish(call, answer)
			continue
		}
		refusal = apierror.Refused.New("%s: %s", name, outcome.Error)
		b.mu.Lock()
		call.err, call.mayBeTaken = refusal, call.mayBeTaken || !outcome.Rejected
		b.mu.Unlock()
	}
	return refusal
}

// end gives a pending ask its answer, unless its asker waits no more.
func (b *batcher) finish(call *pendingCall, answer proto.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if call.finished {
		return
	}
	call.finished, call.err = true, nil
	proto.Merge(call.response, answer)
	call.done.Fire()
}

// back puts calls that were not answered before those that wait, and tells whether theirs is the first message in vain. Only a primary that
// turns asks down or isn't there is left to one flight: one that takes them and is slow, as its disk may be, does best with all of them.
func (b *batcher) requeue(calls []*pendingCall, err error, waited monotonic.Micros) (firstFailure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost := apierror.IsLost(err)
	firstFailure = !b.failing
	b.failing = err != nil && !(lost && waited >= slowResponse)
	var again []*pendingCall
	for _, call := range calls {
		call.inFlight = false
		if call.finished {
			continue
		}
		if lost || call.err == nil {
			call.err = err
		}
		call.mayBeTaken = call.mayBeTaken || lost
		again = append(again, call)
	}
	b.queue = append(again, b.queue...)
	b.startSenders((len(b.queue) - 1) / b.batchSize())
	return firstFailure
}
