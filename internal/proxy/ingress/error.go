package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// ErrorBody is the body of an error response that the mesh generates.
type ErrorBody struct {
	Cause            uint32 `json:"cause"`
	Name             string `json:"name"` // the name of the cause
	Verdict          string `json:"verdict"`
	RetryAfterMicros int64  `json:"retry_after_micros"` // 0 if a retry is useless
	Detail           string `json:"detail"`             // human-readable; the text isn't stable
	Request          string `json:"request"`            // the request's ID
}

// WriteError writes a fault as the response to the request with the given ID.
func WriteError(writer http.ResponseWriter, id string, fault *apierror.Error) {
	headers := writer.Header()
	headers.Set("Content-Type", "application/json")
	headers.Set(request.RequestIDHeader, id)
	if fault.RetryAfter > 0 {
		seconds := (fault.RetryAfter + monotonic.Second - 1) / monotonic.Second // rounded up
		headers.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if fault.NotRun() {
		headers.Set(request.NotExecutedHeader, "1")
	}
	if fault.Cause == apierror.Draining {
		headers.Set("Connection", "close")
	}
	writer.WriteHeader(fault.Status())
	_ = json.NewEncoder(writer).Encode(ErrorBody{ // fails only if the caller has disconnected
		Cause:            uint32(fault.Cause),
		Name:             fault.Cause.Name(),
		Verdict:          string(fault.Verdict),
		RetryAfterMicros: int64(fault.RetryAfter),
		Detail:           fault.Detail,
		Request:          id,
	})
}
