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

// Dialect is what differs between kinds of backends: the headers that they expect and send. DefaultDialect is snowflow's own. An
// adapter to another platform defines its own, and tests it with package transcript.
type Dialect struct {
	// ChecksIdentity makes the transport request the identity page on each new connection. Without it Headers must name the
	// instance.
	ChecksIdentity bool
	// RequestID returns the id by which the backend knows a request, and which its response names. Attempts at one request may have
	// the same one. The transport sends no id on a connection that has it in its requestHistory.
	RequestID func(req admission.BackendRequest) string
	// ResponseID returns the id of the request that a response names, empty if it names none. A response that names an earlier request
	// on its connection is surplus: the transport passes it over and reads on, once for each request.
	ResponseID func(response *http.Response) string
	// Headers returns the headers of a request; remaining is the time to its deadline. A "Host" among them replaces the
	// backend's address in that header.
	Headers func(req admission.BackendRequest, remaining monotonic.Micros) []*wire.Header
	// CheckResponse examines a complete response. notRun is true if the backend certainly did not run the request; err is set if
	// the response is not the backend's response to this request.
	CheckResponse func(req admission.BackendRequest, response *http.Response) (notRun bool, err error)
	// AllowsTrailingBytes accepts a complete response that is followed by more bytes. The connection is not used again.
	AllowsTrailingBytes bool
	// MaxIdleForNonRetryable is how long a connection may have been idle for a request that must not be repeated to be sent on it: such a
	// request can't be sent again if the backend closes the connection meanwhile. Zero requires a new connection.
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
	own := req.Headers[:len(req.Headers):len(req.Headers)] // so that append copies them
	if req.Tenant != "" {
		own = append(own, &wire.Header{Name: request.TenantHeader, Value: req.Tenant})
	}
	return append(own, &wire.Header{Name: request.RequestIDHeader, Value: req.ID})
}

func checkDefaultResponse(req admission.BackendRequest, response *http.Response) (notRun bool, err error) {
	if echoed := defaultResponseID(response); echoed != "" && echoed != req.ID {
		return false, fmt.Errorf("answered request %s, not %s", echoed, req.ID)
	}
	return response.Header.Get(request.NotExecutedHeader) != "", nil
}
