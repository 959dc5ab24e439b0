package forward

import (
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

// cancelTimeout is how long another carrier may take to hear that a caller has left.
const cancelTimeout = 500 * monotonic.Millisecond

// leaving is what becomes of a request whose caller leaves: the try under way is called off, and no further one is made. Run-once requests
// go on, since whoever asks again is owed their answer.
// Invariant: under is the pass that waits for an answer now, nil between two.
type cancellation struct {
	mu         sync.Mutex
	callerLeft bool
	inFlight   *inFlightAttempt
}

type inFlightAttempt struct {
	candidate session.Candidate
	id        string
}

// watch has a trip end when its caller leaves, until stop is called.
func (f *Forwarder) watchCaller(exchange *Exchange) (stop func() bool) {
	if exchange.Request.OnCallerLeft == nil {
		return func() bool { return true }
	}
	return exchange.Request.OnCallerLeft(func() {
		exchange.cancellation.mu.Lock()
		exchange.cancellation.callerLeft = true
		inFlight := exchange.cancellation.inFlight
		exchange.cancellation.mu.Unlock()
		if inFlight != nil && !exchange.RunOnce {
			f.cancelAttempt(inFlight)
		}
	})
}

// cancel tells the server's side that nobody waits for a pass any more.
func (f *Forwarder) cancelAttempt(inFlight *inFlightAttempt) {
	if inFlight.candidate.Proxy == f.config.Proxy && inFlight.candidate.Incarnation == f.config.Incarnation {
		f.config.Admission.Cancel(f.config.Proxy, inFlight.id)
		return
	}
	cancelRequest := &wire.ForwardCancelRequest{Id: inFlight.id, From: f.config.Proxy}
	_ = f.config.Host.Call(inFlight.candidate.Address, wire.Kind_forward_cancel, cancelRequest, &wire.ForwardCancelResponse{}, cancelTimeout)
}

// sending notes that a pass is under way, unless the caller has left already.
func (e *Exchange) beginSend(candidate session.Candidate, id string) *apierror.Fault {
	e.cancellation.mu.Lock()
	defer e.cancellation.mu.Unlock()
	if e.cancellation.callerLeft && !e.RunOnce {
		return apierror.New(apierror.ClientClosed, apierror.NotRun, "its caller left")
	}
	e.cancellation.inFlight = &inFlightAttempt{candidate, id}
	return nil
}

// sent notes that the pass under way has ended, and tells whether the caller has left meanwhile.
func (e *Exchange) endSend() (callerLeft bool) {
	e.cancellation.mu.Lock()
	defer e.cancellation.mu.Unlock()
	e.cancellation.inFlight = nil
	return e.cancellation.callerLeft && !e.RunOnce
}
