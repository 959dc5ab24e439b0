package admission

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

const (
	// replayTimeout is how long a repeated request waits for the response of an attempt that is still running.
	replayTimeout = 500 * monotonic.Millisecond
	// remoteReplayTimeout is how long a proxy waits for such a response on behalf of another proxy. It is shorter than
	// replayTimeout, so that the reply arrives in time.
	remoteReplayTimeout = replayTimeout * 4 / 5
)

// NewAttemptID returns an id for an attempt that a proxy sends. It consists of the proxy's name and a random number.
func NewAttemptID(proxy string, random uint64) string { return fmt.Sprintf("%s-%016x", proxy, random) }

// attemptSender returns the name of the proxy that sent an attempt, taken from the attempt's id, or the empty string if the id is
// malformed.
func attemptSender(attempt string) string {
	if end := strings.LastIndexByte(attempt, '-'); end > 0 {
		return attempt[:end]
	}
	return ""
}

// fetchRecordedResponse returns the response of the earlier attempt that claimed a request's key. If there is none, the cause is
// KeyPending if that attempt is still running, or ResponseExpired if no proxy has its response any more.
func (c *Controller) fetchRecordedResponse(
	req *wire.ForwardRequest, existing *wire.ClaimResponse, deadline monotonic.Micros,
) (*request.Response, apierror.Cause) {
	until := min(deadline, c.options.Host.Now()+replayTimeout)
	if existing.Scope != "" {
		req = proto.CloneOf(req)
		req.Scope = existing.Scope
	}
	response, cause := c.fetchRecordedResponseFrom(existing.Owner, req, existing.Attempt, until-c.options.Host.Now())
	if response != nil || cause == apierror.KeyPending {
		return response, cause
	}
	// The proxy that forwarded the earlier attempt records the response too.
	if sender := attemptSender(existing.Attempt); sender != "" && sender != existing.Owner && c.options.Host.Now() < until {
		response, _ = c.fetchRecordedResponseFrom(sender, req, existing.Attempt, until-c.options.Host.Now())
	}
	return response, apierror.ResponseExpired
}

// fetchRecordedResponseFrom returns the response that one proxy, possibly this one, recorded for a key.
func (c *Controller) fetchRecordedResponseFrom(
	proxy string, req *wire.ForwardRequest, attempt string, timeout monotonic.Micros,
) (*request.Response, apierror.Cause) {
	if proxy == c.options.Proxy {
		response, running := c.awaitRecordedResponse(req.Scope, req.Digest, timeout)
		if running {
			return response, apierror.KeyPending
		}
		return response, apierror.ResponseExpired
	}
	replayRequest := &wire.ReplayRequest{Scope: req.Scope, Digest: req.Digest, Attempt: attempt}
	reply := &wire.ForwardResponse{}
	err := c.options.CallProxy(proxy, wire.Kind_replay, replayRequest, reply, timeout)
	if err == nil && reply.Rejected && apierror.Cause(reply.Cause) == apierror.KeyPending {
		return nil, apierror.KeyPending
	}
	if err != nil || reply.Rejected || !Complete(reply) {
		return nil, apierror.ResponseExpired
	}
	return &request.Response{Status: reply.Status, Headers: reply.Headers, Body: reply.Body, Instance: reply.Instance}, 0
}

// serveReplay handles another proxy's request for the response recorded for a key.
func (c *Controller) serveReplay(replayRequest *wire.ReplayRequest) (*wire.ForwardResponse, error) {
	response, running := c.awaitRecordedResponse(replayRequest.Scope, replayRequest.Digest, remoteReplayTimeout)
	if response != nil {
		return success("", response), nil
	}
	cause := apierror.ResponseExpired
	if running {
		cause = apierror.KeyPending
	}
	return &wire.ForwardResponse{Rejected: true, Cause: uint32(cause), Verdict: string(apierror.MayHaveRun)}, nil
}

// awaitRecordedResponse returns the response that this proxy recorded for a key, or nil. While an attempt with the key is running
// here, it first waits for its end, at most for the timeout; running is true if the attempt is still running after that.
func (c *Controller) awaitRecordedResponse(scope string, digest []byte, timeout monotonic.Micros) (response *request.Response, running bool) {
	running = c.executions.await(scope, timeout)
	return c.options.Replay.Lookup(scope, digest), running
}
