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
	// messageTimeout bounds the wait for the response to one message. A call with a longer timeout then sends it again.
	messageTimeout = 700 * monotonic.Millisecond
	// firstRetryDelay and nextRetryDelay are the delays after the first failed message and after each further one.
	firstRetryDelay = 50 * monotonic.Millisecond
	nextRetryDelay  = 100 * monotonic.Millisecond
	// leaderCheckDelay is the time without a response after which the resolver asks the other servers for the leader. It is well
	// above the usual response time.
	leaderCheckDelay = 100 * monotonic.Millisecond
	// leaderCheckInterval is the time between further checks for a new leader.
	leaderCheckInterval = 50 * monotonic.Millisecond
)

// CallLeader sends a request to the registry's leader and stores the reply in response. It retries the request, also across a
// failover, until a leader responds or the timeout has passed, so the request must be idempotent. An error that satisfies
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

// CallLeaderOnce sends one message to the registry's leader and stores the reply in response. It does not retry. An error that
// satisfies apierror.IsUnreachable means that no leader is known or reachable.
func (c *Client) CallLeaderOnce(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	name := c.resolver.PrimaryName(registryGroup)
	if name == "" {
		return apierror.Unreachable.New("no registry leader is known")
	}
	return c.resolver.Call(name, kind, request, response, timeout)
}

// callTimedOut returns the error of a call that timed out. The error for an unknown leader is created only here, not on each
// attempt, because an errorx error records its stack, which is expensive.
func callTimedOut(lastErr error, mayBeExecuted bool) error {
	switch {
	case mayBeExecuted && !apierror.IsLost(lastErr):
		return apierror.Lost.New("no response from a registry leader in time")
	case lastErr == nil:
		return apierror.Unreachable.New("no registry leader is known")
	}
	return lastErr
}

// callWhileLeading sends one message to a leader and waits for the response until the timeout, or until another server is known to
// be the leader: a leader that crashed would never respond.
func (c *Client) callWhileLeading(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	deadline := c.host.Now() + timeout
	sent := c.send(name, kind, request, response.ProtoReflect().New().Interface(), timeout)
	for delay := leaderCheckDelay; ; delay = leaderCheckInterval {
		sent.done.Wait(min(delay, max(deadline-c.host.Now(), 0)+monotonic.Millisecond))
		ended, err := sent.result()
		switch {
		case ended && err == nil:
			proto.Merge(response, sent.response)
			return nil
		case ended:
			return err
		case name != c.resolver.PrimaryName(registryGroup):
			return apierror.Lost.New("%s doesn't lead any more", name)
		}
		c.host.Go(c.resolver.Refresh)
	}
}

// sentMessage is a message in flight, and its response once that has arrived. Its sender may stop waiting for it.
type sentMessage struct {
	response proto.Message // must not be read before ended is set
	done     host.Signal

	mu    sync.Mutex // guards the fields below
	ended bool       // the call has ended, with a response or an error
	err   error
}

// send sends a message in a new task, which ends at the timeout at the latest.
func (c *Client) send(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) *sentMessage {
	sent := &sentMessage{response: response, done: c.host.NewSignal()}
	c.host.Go(func() {
		err := c.resolver.Call(name, kind, request, response, timeout)
		sent.mu.Lock()
		sent.err, sent.ended = err, true
		sent.mu.Unlock()
		sent.done.Fire()
	})
	return sent
}

// result reports whether the call has ended, and its error.
func (s *sentMessage) result() (ended bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended, s.err
}
