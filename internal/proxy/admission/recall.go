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
	// recallTimeout is how long a repeated request waits for the response of an attempt that is still running.
	recallTimeout = 500 * monotonic.Millisecond
	// remoteRecallTimeout is how long a proxy waits on behalf of another one that requests the response. It is shorter than
	// recallTimeout, so that the reply arrives in time.
	remoteRecallTimeout = recallTimeout * 4 / 5
)

// NewAttemptID returns the id of an attempt that a proxy sends: its name, and a random number.
func NewAttemptID(proxy string, random uint64) string { return fmt.Sprintf("%s-%016x", proxy, random) }

// attemptSender returns the name of the proxy that made an attempt's id, or the empty string for a malformed one.
func attemptSender(attempt string) string {
	if end := strings.LastIndexByte(attempt, '-'); end > 0 {
		return attempt[:end]
	}
	return ""
}

// recall returns the response of the attempt that claimed a request's key. Without a response, the cause is KeyPending if the
// attempt is still running, or ResponseExpired if no proxy has its response any more.
func (c *Controller) recall(
	req *wire.ForwardRequest, existing *wire.ClaimResponse, deadline monotonic.Micros,
) (*request.Response, apierror.Cause) {
	until := min(deadline, c.options.Host.Now()+recallTimeout)
	if existing.Scope != "" {
		req = proto.CloneOf(req)
		req.Scope = existing.Scope
	}
	response, cause := c.recallFrom(existing.Owner, req, existing.Attempt, until-c.options.Host.Now())
	if response != nil || cause == apierror.KeyPending {
		return response, cause
	}
	// The proxy that forwarded the earlier attempt records its response too.
	if sender := attemptSender(existing.Attempt); sender != "" && sender != existing.Owner && c.options.Host.Now() < until {
		response, _ = c.recallFrom(sender, req, existing.Attempt, until-c.options.Host.Now())
	}
	return response, apierror.ResponseExpired
}

// recallFrom requests a key's recorded response from one proxy, which may be this one.
func (c *Controller) recallFrom(
	proxy string, req *wire.ForwardRequest, attempt string, timeout monotonic.Micros,
) (*request.Response, apierror.Cause) {
	if proxy == c.options.Proxy {
		response, running := c.recordedResponse(req.Scope, req.Digest, timeout)
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

// serveRecall handles another proxy's request for a key's recorded response.
func (c *Controller) serveRecall(recall *wire.ReplayRequest) (*wire.ForwardResponse, error) {
	response, running := c.recordedResponse(recall.Scope, recall.Digest, remoteRecallTimeout)
	if response != nil {
		return success("", response), nil
	}
	cause := apierror.ResponseExpired
	if running {
		cause = apierror.KeyPending
	}
	return &wire.ForwardResponse{Rejected: true, Cause: uint32(cause), Verdict: string(apierror.MayHaveRun)}, nil
}

// recordedResponse returns the response that this proxy recorded for a key, or nil. It first waits, at most for the timeout, while
// an attempt is running here; running is true if it still is.
func (c *Controller) recordedResponse(scope string, digest []byte, timeout monotonic.Micros) (response *request.Response, running bool) {
	running = c.executions.await(scope, timeout)
	return c.options.Replay.Lookup(scope, digest), running
}
