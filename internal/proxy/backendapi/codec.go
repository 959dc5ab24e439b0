package backendapi

import (
	"encoding/json"
	"net/http"

	"snowflow/internal/apierror"
)

// maxBodyBytes bounds the body of a request to this API.
const maxBodyBytes = 64 << 10

// The bodies of requests and responses. The JSON keys are part of the API.
type (
	registerRequest struct {
		Service   string `json:"service"`
		Instance  string `json:"instance"` // empty: the proxy generates one
		Address   string `json:"address"`
		Condition string `json:"condition"` // left out: alive
	}

	registerResponse struct {
		Instance        string `json:"instance"`
		HeartbeatMicros int64  `json:"beat_micros"` // the interval of heartbeats to keep
	}

	heartbeatRequest struct {
		Condition string `json:"condition"` // left out: alive
	}

	leaseRequest struct {
		Instance string `json:"instance"`
		Length   int64  `json:"length_micros"` // ignored for a release
	}

	readyResponse struct {
		Ready  bool   `json:"ready"`
		Reason string `json:"why"`
	}

	errorResponse struct {
		Error string `json:"error"`
	}
)

// The responses that only confirm a request.
var (
	noted    = map[string]bool{"noted": true}
	live     = map[string]bool{"live": true}
	draining = map[string]bool{"draining": true}
)

// WriteJSON writes a response with a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content) // fails only if the client has left
}

// WriteError writes a response with an error's text: status 404 for a refused request, 503 if the outcome is not known, and 400
// otherwise.
func WriteError(writer http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if apierror.IsRefused(err) {
		status = http.StatusNotFound
	} else if apierror.IsLost(err) {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(writer, status, errorResponse{Error: err.Error()})
}

// ReadJSON decodes a request's JSON body, which must not have unknown fields.
func ReadJSON(writer http.ResponseWriter, incoming *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, incoming.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return apierror.Invalid.Wrap(err, "unreadable body")
	}
	return nil
}

// writeNoted confirms a request, or writes its error.
func writeNoted(writer http.ResponseWriter, err error) {
	if err != nil {
		WriteError(writer, err)
		return
	}
	WriteJSON(writer, http.StatusOK, noted)
}
