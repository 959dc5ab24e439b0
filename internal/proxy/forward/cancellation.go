package forward

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/cancellation"
	"snowflow/internal/transport/wire"
)

// cancelTimeout is how long another proxy may take to acknowledge a cancellation.
const cancelTimeout = 500 * monotonic.Millisecond

// watchCaller cancels the attempt in flight when the caller disconnects, until stop is called.
func (f *Forwarder) watchCaller(exchange *Exchange) (stop func() bool) {
	exchange.cancellation = cancellation.NewTracker(!exchange.RunOnce)
	if exchange.Request.OnCallerDisconnect == nil {
		return func() bool { return true }
	}
	tracker := exchange.cancellation
	return exchange.Request.OnCallerDisconnect(func() {
		if attempt := tracker.CallerDisconnected(); attempt != nil {
			f.cancel(attempt)
		}
	})
}

// cancel asks the backend's proxy to cancel an attempt whose caller has disconnected. This is best effort: an error is ignored, and
// the attempt then ends at its deadline.
func (f *Forwarder) cancel(attempt *cancellation.Attempt) {
	if f.isSelf(attempt.Proxy, attempt.Incarnation) {
		f.config.Admission.Cancel(f.config.Proxy, attempt.ID)
		return
	}
	message := &wire.ForwardCancelRequest{Id: attempt.ID, From: f.config.Proxy}
	_ = f.config.Host.Call(attempt.Address, wire.Kind_forward_cancel, message, &wire.ForwardCancelResponse{}, cancelTimeout)
}
