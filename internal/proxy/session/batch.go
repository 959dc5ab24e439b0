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
	// maxBatch is the maximum number of requests in one message.
	maxBatch = 64
	// undelayedSenders is the number of senders, each with one message in flight, that are started without a delay. Requests queue
	// only while they arrive faster than the leader responds.
	undelayedSenders = 4
	// maxSenders is the maximum number of senders. Above undelayedSenders one is added per extraSenderInterval: a leader that is
	// short of CPU time then receives few messages, and one with a slow disk receives large batches, which need few syncs.
	maxSenders          = 16
	extraSenderInterval = 50 * monotonic.Millisecond
	// maxSingleSenders replaces maxSenders for a leader that does not support batches.
	maxSingleSenders = 64
	// singlePeriod is how long requests are sent individually after a batch was lost: the leader may run a release that closes
	// the connection when it receives a batch.
	singlePeriod = monotonic.Second
	// slowResponse is the wait from which a lost message is attributed to a leader that accepts requests but is slow. After a
	// shorter wait the leader may not be accepting any.
	slowResponse = 500 * monotonic.Millisecond
)

// pendingCall is a request that waits for the leader's response. The first five fields are immutable, batcher.mu guards the others.
// Once finished is set, no field changes any more and response may be read without the lock.
type pendingCall struct {
	kind     wire.Kind
	request  proto.Message
	response proto.Message
	deadline monotonic.Micros
	done     host.Signal // fired when a response finishes the call

	finished      bool
	inFlight      bool // it is part of a message without a response yet
	mayBeExecuted bool // a leader may have executed it, although no response arrived
	err           error
}

// batcher sends requests to the registry's leader, several in one message while they arrive faster than it responds. A message costs
// the leader many times as much as a request in it. A request whose caller has timed out is not sent.
type batcher struct {
	client *Client

	// mu guards the fields below and the mutable ones of pendingCall. It is not held while a message is in flight.
	mu sync.Mutex
	// queue holds the calls that are neither finished nor in flight, oldest first.
	queue []*pendingCall
	// senders counts the running sender tasks. There is at least one while the queue is not empty, and at most senderLimit.
	senders      int
	lastSenderAt monotonic.Micros // when the last sender was started
	// failing is set while messages are rejected or not delivered. At most one sender runs then.
	failing bool
	// singleTarget is the leader to which requests are sent individually until singleUntil.
	singleTarget string
	singleUntil  monotonic.Micros
}

// batchCommand returns a request as a command of a batch, or nil if requests of its type are not batched.
func batchCommand(request proto.Message) *wire.RegistryCommand {
	switch request := request.(type) {
	case *wire.ClaimRequest:
		return &wire.RegistryCommand{Claim: request}
	case *wire.VoidClaimRequest:
		return &wire.RegistryCommand{Void: request}
	case *wire.CompleteClaimRequest:
		return &wire.RegistryCommand{Complete: request}
	}
	return nil
}

// batchResponse returns the response to a request from its result in a batch, or nil if the result contains none.
func batchResponse(request proto.Message, result *wire.RegistryResult) proto.Message {
	var response proto.Message
	switch request.(type) {
	case *wire.ClaimRequest:
		response = result.GetClaim()
	case *wire.VoidClaimRequest:
		response = result.GetVoid()
	case *wire.CompleteClaimRequest:
		response = result.GetComplete()
	}
	if response == nil || !response.ProtoReflect().IsValid() { // an unset field is a typed nil pointer
		return nil
	}
	return response
}

// call sends a request to the leader and stores the reply in response, as CallLeader does.
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
	return b.outcome(call)
}

// outcome returns the error of a call that is finished or whose deadline has passed. An unfinished call is removed from the queue. mu
// must be held.
func (b *batcher) outcome(call *pendingCall) error {
	if call.finished {
		return call.err
	}
	call.finished = true
	if at := slices.Index(b.queue, call); at >= 0 {
		b.queue = slices.Delete(b.queue, at, at+1)
	}
	switch {
	case call.inFlight || call.mayBeExecuted:
		return apierror.Lost.New("no response from a registry leader in time")
	case call.err != nil:
		return call.err
	}
	return apierror.Unreachable.New("no registry leader accepted the request in time")
}

// finish stores the response to a call and wakes its caller, unless the caller has timed out.
func (b *batcher) finish(call *pendingCall, response proto.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if call.finished {
		return
	}
	call.finished, call.err = true, nil
	proto.Merge(call.response, response)
	call.done.Fire()
}

// takeBatch removes the calls of the next message from the queue. It returns nil if the queue is empty or there are more senders than
// senderLimit; the calling sender must then end.
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

// requeue returns the unfinished calls of a message to the front of the queue, and reports whether the message is the first to fail.
// Senders are limited to one only if the leader rejects requests or can't be reached. A leader that accepts requests but is slow, for
// example because of a slow disk, is served best by large batches from all senders.
func (b *batcher) requeue(calls []*pendingCall, err error, waited monotonic.Micros) (firstFailure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost := apierror.IsLost(err)
	firstFailure = !b.failing
	b.failing = err != nil && (!lost || waited < slowResponse)
	var unfinished []*pendingCall
	for _, call := range calls {
		call.inFlight = false
		if call.finished {
			continue
		}
		if lost || call.err == nil {
			call.err = err
		}
		call.mayBeExecuted = call.mayBeExecuted || lost
		unfinished = append(unfinished, call)
	}
	b.queue = append(unfinished, b.queue...)
	b.startSenders((len(b.queue) - 1) / b.batchSize())
	return firstFailure
}

// senderLimit returns the number of senders that may run now. mu must be held.
func (b *batcher) senderLimit() int {
	switch {
	case b.failing:
		return 1
	case b.batchSize() == 1:
		return maxSingleSenders
	}
	return maxSenders
}

// batchSize returns the maximum number of requests in a message to the current leader. mu must be held.
func (b *batcher) batchSize() int {
	name := b.client.resolver.PrimaryName(registryGroup)
	single := name == b.singleTarget && b.client.host.Now() < b.singleUntil
	if single || !b.client.resolver.SupportsBatches(name) {
		return 1
	}
	return maxBatch
}
