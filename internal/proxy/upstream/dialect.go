package upstream

import (
	"fmt"
	"net/http"
	"time"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/request"
	"snowflow/internal/transport/wire"
)

// Dialect holds what differs between kinds of backends: the headers that they expect and send, and how their responses are checked.
// DefaultDialect is snowflow's own. An adapter to another platform defines its own dialect and tests it with package transcript.
type Dialect struct {
	// ChecksIdentity makes the transport request the identity page on each new connection. Without it, Headers must name the
	// instance.
	ChecksIdentity bool
	// RequestID returns the id by which the backend knows a request, and which its response echoes. All attempts at a request may
	// share one id. The transport does not send an id again on a connection that has it in its requestHistory.
	RequestID func(req admission.BackendRequest) string
	// ResponseID returns the request id that a response names, empty if it names none. The transport takes a response that names an
	// earlier request on its connection for a duplicate: it discards one such response per request and reads the next.
	ResponseID func(response *http.Response) string
	// Headers returns the headers of a request; remaining is the time until its deadline. A "Host" header among them replaces the
	// default one, which is the backend's address.
	Headers func(req admission.BackendRequest, remaining monotonic.Micros) []*wire.Header
	// CheckResponse examines a complete response. notRun is true if the backend certainly did not run the request; err is set if
	// the response does not belong to this request.
	CheckResponse func(req admission.BackendRequest, response *http.Response) (notRun bool, err error)
	// AllowsTrailingBytes accepts a complete response that is followed by more bytes. Its connection is then closed.
	AllowsTrailingBytes bool
	// MaxIdleForNonRetryable bounds the idle time of a connection that is reused for a request that must not be repeated: such a
	// request can't be sent again if the backend closes the idle connection at that moment. Zero requires a new connection.
	MaxIdleForNonRetryable time.Duration
}

// DefaultDialect returns snowflow's own dialect.
func DefaultDialect() Dialect {
	return Dialect{
		ChecksIdentity: true,
		RequestID:      defaultRequestID,
		ResponseID:     defaultResponseID,
		Headers:        defaultHeaders,
		CheckResponse:  checkDefaultResponse,
	}
}

func defaultRequestID(req admission.BackendRequest) string { return req.ID }

func defaultResponseID(response *http.Response) string {
	return response.Header.Get(request.RequestIDHeader)
}

func defaultHeaders(req admission.BackendRequest, _ monotonic.Micros) []*wire.Header {
	headers := req.Headers[:len(req.Headers):len(req.Headers)] // full capacity, so that append copies the slice
	if req.Tenant != "" {
		headers = append(headers, &wire.Header{Name: request.TenantHeader, Value: req.Tenant})
	}
	return append(headers, &wire.Header{Name: request.RequestIDHeader, Value: req.ID})
}

func checkDefaultResponse(req admission.BackendRequest, response *http.Response) (notRun bool, err error) {
	if echoed := defaultResponseID(response); echoed != "" && echoed != req.ID {
		return false, fmt.Errorf("answered request %s, not %s", echoed, req.ID)
	}
	return response.Header.Get(request.NotExecutedHeader) != "", nil
}
