package api

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"snowflow/internal/config"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Query parameters of an apply.
const (
	// ExpectedQuery is the version that must be the newest for the apply to succeed, or anyVersion. It's required.
	ExpectedQuery = "expected"
	// RequestQuery is the request ID. Without it a random ID is generated.
	RequestQuery = "request"

	// anyVersion applies a configuration regardless of which version is the newest.
	anyVersion = "any"
)

// Outcomes of an apply or a check in addition to those of package versions.
const (
	// OutcomeUnreached means that the apply had no effect, because this process didn't reach a primary.
	OutcomeUnreached = "unreached"

	outcomeUnknown = "unknown"
	outcomeValid   = "valid"
)

// applyTimeout is how long an apply may take, including reaching the primary and the adoption by all proxies.
const applyTimeout = 24 * monotonic.Second

// statusCodes are the HTTP status codes for the outcomes that Store.Apply returns.
var statusCodes = map[string]int{
	versions.Accepted: http.StatusOK,
	versions.Conflict: http.StatusPreconditionFailed,
	versions.Invalid:  http.StatusBadRequest,
}

// ApplyResult is the response to an apply or a check.
type ApplyResult struct {
	// Outcome is an outcome of package versions, OutcomeUnreached, "valid" or "unknown".
	Outcome string `json:"outcome"`
	// Version is the accepted version, or the newest version if there is a conflict; zero if unknown.
	Version uint64 `json:"serial"`
	Digest  string `json:"digest,omitempty"`
	// RequestID identifies the request. It can be sent again to repeat the request safely.
	RequestID string   `json:"request,omitempty"`
	Errors    []string `json:"faults,omitempty"`
}

// apply serves PUT /desired-state.
func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	content, ok := readContent(w, r)
	if !ok {
		return
	}
	request, err := applyRequest(r, content)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ApplyResult{Outcome: versions.Invalid, Errors: []string{err.Error()}})
		return
	}
	if rejectInvalid(w, content, request.Request) {
		return
	}
	response, err := h.store.Apply(applyTimeout, request)
	if err != nil {
		outcome := outcomeUnknown
		if errors.Is(err, ErrNotAccepted) {
			outcome = OutcomeUnreached
		}
		writeJSON(w, http.StatusServiceUnavailable, ApplyResult{Outcome: outcome, RequestID: request.Request, Errors: []string{err.Error()}})
		return
	}
	writeJSON(w, statusCodes[response.Outcome], ApplyResult{
		Outcome:   response.Outcome,
		Version:   response.Version,
		Digest:    response.Digest,
		RequestID: request.Request,
		Errors:    response.Errors,
	})
}

// errNoExpectedVersion means that an apply lacks the parameter ExpectedQuery.
var errNoExpectedVersion = errors.New("expected: the serial that this state follows must be named, or any")

// applyRequest builds an apply request from the query parameters and the content.
func applyRequest(r *http.Request, content []byte) (*wire.ConfigApplyRequest, error) {
	query := r.URL.Query()
	request := &wire.ConfigApplyRequest{Content: content, Request: query.Get(RequestQuery)}
	if request.Request == "" {
		request.Request = uuid.NewString()
	}
	switch expected := query.Get(ExpectedQuery); expected {
	case "":
		return nil, errNoExpectedVersion
	case anyVersion:
		request.AnyVersion = true
	default:
		version, err := strconv.ParseUint(expected, 10, 64)
		if err != nil {
			return nil, parameterError(ExpectedQuery, err)
		}
		request.ExpectedVersion = version
	}
	return request, nil
}

// check serves POST /desired-state/check: it validates a configuration and stores nothing.
func (h *handler) check(w http.ResponseWriter, r *http.Request) {
	content, ok := readContent(w, r)
	if !ok || rejectInvalid(w, content, "") {
		return
	}
	writeJSON(w, http.StatusOK, ApplyResult{Outcome: outcomeValid, Digest: config.Digest(content)})
}

// readContent reads a configuration from a request's body. If it can't, it writes the response and returns false.
func readContent(w http.ResponseWriter, r *http.Request) (content []byte, ok bool) {
	content, err := readBody(w, r)
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, ApplyResult{Outcome: versions.Invalid, Errors: []string{err.Error()}})
		return nil, false
	}
	return content, true
}

// readBody reads a request's body. It fails if the body exceeds config.MaxContentSize.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxContentSize))
}

// rejectInvalid validates a configuration. If it has errors, rejectInvalid writes the response and returns true.
func rejectInvalid(w http.ResponseWriter, content []byte, requestID string) bool {
	_, fieldErrors := config.Parse(content)
	if len(fieldErrors) == 0 {
		return false
	}
	writeJSON(w, http.StatusBadRequest, ApplyResult{Outcome: versions.Invalid, RequestID: requestID, Errors: errorTexts(fieldErrors)})
	return true
}

// errorTexts formats errors for operators.
func errorTexts(fieldErrors []config.FieldError) []string {
	all := make([]string, len(fieldErrors))
	for index, fieldError := range fieldErrors {
		all[index] = fieldError.String()
	}
	return all
}
