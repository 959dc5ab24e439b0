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
	// maxBatch bounds the requests in one message.
	maxBatch = 64
	// usualSenders is the number of senders, each with one message in flight, that are started without a delay. Requests queue
	// only while the leader answers more slowly than they arrive.
	usualSenders = 4
	// maxSenders bounds the senders. Above usualSenders one is added each extraSenderInterval, so that a leader that lacks
	// processor time is sent few messages, and one with a slow disk gets large batches and needs few syncs.
	maxSenders          = 16
	extraSenderInterval = 50 * monotonic.Millisecond
	// maxSingleSenders replaces maxSenders for a leader that takes no batches.
	maxSingleSenders = 64
	// singlePeriod is how long requests are sent one by one after a batch was lost: the leader may be of a release that closes
	// the connection on a batch.
	singlePeriod = monotonic.Second
	// slowResponse distinguishes two reasons for a lost message. After a wait as long as this the leader accepts requests and is
	// slow; after a shorter one it may not be accepting any.
	slowResponse = 500 * monotonic.Millisecond
)

// pendingCall is one request that waits for the leader's answer. The first five fields never change. batcher.mu guards the
// others; once finished is set, response belongs to the caller and nothing changes any more.
type pendingCall struct {
	kind     wire.Kind
	request  proto.Message
	response proto.Message
	deadline monotonic.Micros
	done     host.Signal // fired when the call is finished by an answer

	finished      bool
	inFlight      bool // it is part of a message that is not answered yet
	mayBeExecuted bool // a leader may have executed it without confirming it
	err           error
}

// batcher sends requests to the registry's leader, several in one message while they arrive faster than it answers. Handling a
// message costs the leader many times what a request in it does. A request whose caller gave up is not sent.
type batcher struct {
	client *Client

	// mu guards the fields below, and those of pendingCall that change. It is not held while a message is in flight.
	mu sync.Mutex
	// queue holds the calls that are neither finished nor in flight, oldest first.
	queue []*pendingCall
	// senders counts the running sender tasks. There is at least one while the queue is not empty, and at most senderLimit.
	senders      int
	lastSenderAt monotonic.Micros // when the last sender was started
	// failing is set while messages are rejected or not delivered. Only one sender runs then.
	failing bool
	// singleTarget is the leader to which requests are sent one by one until singleUntil.
	singleTarget string
	singleUntil  monotonic.Micros
}

// batchCommand returns the form that a request has in a batch, or nil if requests of its type are not batched.
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

// batchResponse returns the answer to a request out of a batch's result, or nil if the result has none.
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
	if response == nil || !response.ProtoReflect().IsValid() { // a missing part is a nil pointer of its type
		return nil
	}
	return response
}

// call sends a request to the leader and fills response with its answer, as CallLeader does.
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

// outcome returns the error of a call that was answered or whose deadline has passed. An unanswered call leaves the queue. mu is
// held.
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
		return apierror.Lost.New("no answer of a registry leader in time")
	case call.err != nil:
		return call.err
	}
	return apierror.Unreachable.New("no registry leader took the request in time")
}

// finish gives a call its answer, unless its caller gave up.
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

// takeBatch removes the calls of the next message from the queue. It returns nil, and the sender that called it must end, if
// the queue is empty or there are more senders than senderLimit.
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

// requeue puts the calls of a message that were not answered back to the front of the queue, and reports whether the message was
// the first to fail. Only a leader that rejects requests or can't be reached is left to one sender. One that takes requests
// and is slow, as on a slow disk, does best with large batches from all senders.
func (b *batcher) requeue(calls []*pendingCall, err error, waited monotonic.Micros) (firstFailure bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lost := apierror.IsLost(err)
	firstFailure = !b.failing
	b.failing = err != nil && (!lost || waited < slowResponse)
	var again []*pendingCall
	for _, call := range calls {
		call.inFlight = false
		if call.finished {
			continue
		}
		if lost || call.err == nil {
			call.err = err
		}
		call.mayBeExecuted = call.mayBeExecuted || lost
		again = append(again, call)
	}
	b.queue = append(again, b.queue...)
	b.startSenders((len(b.queue) - 1) / b.batchSize())
	return firstFailure
}

// senderLimit returns the number of senders that may run now. mu is held.
func (b *batcher) senderLimit() int {
	switch {
	case b.failing:
		return 1
	case b.batchSize() == 1:
		return maxSingleSenders
	}
	return maxSenders
}

// batchSize returns the number of requests that a message to the current leader may have. mu is held.
func (b *batcher) batchSize() int {
	name := b.client.resolver.PrimaryName(registryGroup)
	single := name == b.singleTarget && b.client.host.Now() < b.singleUntil
	if single || !b.client.resolver.SupportsBatches(name) {
		return 1
	}
	return maxBatch
}
