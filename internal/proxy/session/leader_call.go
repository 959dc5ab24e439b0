package session

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// messageTimeout bounds the wait for the answer to one message. A call may have more time and is then sent again.
	messageTimeout = 700 * monotonic.Millisecond
	// firstRetryDelay and nextRetryDelay are the waits after the first, and each further, message that failed.
	firstRetryDelay = 50 * monotonic.Millisecond
	nextRetryDelay  = 100 * monotonic.Millisecond
	// leaderCheckDelay is the time without an answer after which the resolver asks the other servers for the leader. It is well
	// above the usual time to an answer.
	leaderCheckDelay = 100 * monotonic.Millisecond
	// leaderCheckInterval is the time between further checks for a new leader.
	leaderCheckInterval = 50 * monotonic.Millisecond
)

// CallLeader sends a request to the registry's leader and fills response with its answer. It repeats the request, also across
// a failover, until it is answered or timeout has passed, so the request must be idempotent. An error that satisfies
// apierror.IsLost means that a leader may have executed the request; any other error means that none did.
func (c *Client) CallLeader(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	if batchCommand(request) != nil {
		return c.batcher.call(kind, request, response, timeout)
	}
	deadline := c.host.Now() + timeout
	lastErr, mayBeExecuted := error(nil), false
	for delay := firstRetryDelay; ; delay = nextRetryDelay {
		remaining := deadline - c.host.Now()
		if remaining <= 0 {
			return callTimedOut(lastErr, mayBeExecuted)
		}
		if name := c.resolver.PrimaryName(registryGroup); name != "" {
			lastErr = c.callWhileLeading(name, kind, request, response, min(remaining, messageTimeout))
			if lastErr == nil {
				return nil
			}
			mayBeExecuted = mayBeExecuted || apierror.IsLost(lastErr)
			if name != c.resolver.PrimaryName(registryGroup) {
				continue
			}
		}
		c.host.Go(c.resolver.Refresh) // in the background: the server that it calls may be down too
		c.host.Sleep(min(delay, max(deadline-c.host.Now(), 0)))
	}
}

// CallLeaderOnce sends one message to the registry's leader and fills response with its answer, without a retry. An error that
// satisfies apierror.IsUnreachable means that no leader is known or reachable.
func (c *Client) CallLeaderOnce(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	name := c.resolver.PrimaryName(registryGroup)
	if name == "" {
		return apierror.Unreachable.New("no registry leader is known")
	}
	return c.resolver.Call(name, kind, request, response, timeout)
}

// callTimedOut returns the error of a call that ran out of time. The error for a missing leader is made only here, not on each
// attempt: an errorx error records its stack, which is costly.
func callTimedOut(lastErr error, mayBeExecuted bool) error {
	switch {
	case mayBeExecuted && !apierror.IsLost(lastErr):
		return apierror.Lost.New("no answer of a registry leader in time")
	case lastErr == nil:
		return apierror.Unreachable.New("no registry leader is known")
	}
	return lastErr
}

// callWhileLeading sends one message to a leader and waits for the answer until the timeout, or until another server is known to
// lead: a leader that crashed would never answer.
func (c *Client) callWhileLeading(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	deadline := c.host.Now() + timeout
	sent := c.send(name, kind, request, response.ProtoReflect().New().Interface(), timeout)
	for delay := leaderCheckDelay; ; delay = leaderCheckInterval {
		sent.done.Wait(min(delay, max(deadline-c.host.Now(), 0)+monotonic.Millisecond))
		answered, err := sent.result()
		switch {
		case answered && err == nil:
			proto.Merge(response, sent.response)
			return nil
		case answered:
			return err
		case name != c.resolver.PrimaryName(registryGroup):
			return apierror.Lost.New("%s doesn't lead any more", name)
		}
		c.host.Go(c.resolver.Refresh)
	}
}

// sentMessage is a message in flight, and its answer once that has arrived. Its sender may stop waiting for it.
type sentMessage struct {
	response proto.Message // must not be read before result reports an answer
	done     host.Signal

	mu       sync.Mutex // guards the fields below
	answered bool
	err      error
}

// send sends a message in a task of its own, which ends by the timeout.
func (c *Client) send(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) *sentMessage {
	sent := &sentMessage{response: response, done: c.host.NewSignal()}
	c.host.Go(func() {
		err := c.resolver.Call(name, kind, request, response, timeout)
		sent.mu.Lock()
		sent.err, sent.answered = err, true
		sent.mu.Unlock()
		sent.done.Fire()
	})
	return sent
}

// result reports whether the message was answered or failed, and its error.
func (s *sentMessage) result() (answered bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered, s.err
}
