package admission

import (
	"snowflow/internal/apierror"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

// rejection returns the reply to a request that ended with a fault.
func (c *Controller) rejection(req *wire.ForwardRequest, fault *apierror.Error) *wire.ForwardResponse {
	version, _ := c.options.ConfigClient.Version()
	return &wire.ForwardResponse{
		Id:            req.Id,
		Rejected:      true,
		Cause:         uint32(fault.Cause),
		Verdict:       string(fault.Verdict),
		RetryAfter:    int64(fault.RetryAfter),
		BackendFault:  fault.Backend,
		ConfigVersion: version,
		Detail:        fault.Detail,
	}
}

// success returns the reply with a backend's response.
func success(id string, response *request.Response) *wire.ForwardResponse {
	return &wire.ForwardResponse{
		Id:       id,
		Status:   response.Status,
		Headers:  response.Headers,
		Body:     response.Body,
		Length:   uint64(len(response.Body)),
		Checksum: frame.Checksum(response.Body),
		Instance: response.Instance,
	}
}

// Complete reports whether a reply's body has the length and checksum that the reply states.
func Complete(reply *wire.ForwardResponse) bool {
	return uint64(len(reply.Body)) == reply.Length && frame.Checksum(reply.Body) == reply.Checksum
}
