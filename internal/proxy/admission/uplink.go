package admission

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// uplinkTimeShare is the fraction of a request's remaining time, or of its latency target, within which the link must be able to send
// a large response.
const uplinkTimeShare = 0.6

// reserveUplink reserves capacity of this host's network link for a response of the usual size on the request's route. It rejects
// the request as not run if the link can't send such a response in time. The returned size, in bytes, must be passed to
// releaseUplink.
func (c *Controller) reserveUplink(req *wire.ForwardRequest) (size float64, fault *apierror.Error) {
	if req.From == c.options.Proxy {
		return 0, nil // the response stays on this host
	}
	limit := req.Remaining
	if req.LatencyTarget > 0 && !req.MayQueue {
		limit = req.LatencyTarget
	}
	size, wait, admitted := c.uplink.Admit(c.options.Host.Now(), req.Route, monotonic.Micros(uplinkTimeShare*float64(limit)))
	if admitted {
		return size, nil
	}
	fault = apierror.New(
		apierror.Overloaded, apierror.NotRun, "the network link of %s is busy for %d ms", c.options.Proxy, wait/monotonic.Millisecond)
	fault.RetryAfter = max(wait, monotonic.Millisecond)
	return 0, fault
}

// releaseUplink replaces a reservation with the actual size of the response's body, which is zero if there is no response.
func (c *Controller) releaseUplink(req *wire.ForwardRequest, size float64, reply *wire.ForwardResponse) {
	if req.From != c.options.Proxy {
		c.uplink.Done(c.options.Host.Now(), req.Route, size, len(reply.GetBody()))
	}
}
