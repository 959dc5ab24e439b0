package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// primaryReadTimeout is how long a read from the primary may take, including a failover.
const primaryReadTimeout = 5 * monotonic.Second

// versionParameter is the name of the path parameter for the version number.
const versionParameter = "serial"

// StoredState is a stored version of the configuration.
type StoredState struct {
	Version   uint64 `json:"serial"`
	Digest    string `json:"digest"`
	RequestID string `json:"request,omitempty"`
	// Content is omitted in lists.
	Content json.RawMessage `json:"content,omitempty"`
}

// readLatest serves GET /desired-state.
func (h *handler) readLatest(w http.ResponseWriter, _ *http.Request) { h.writeVersion(w, 0) }

// readVersion serves GET /desired-state/VERSION.
func (h *handler) readVersion(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(chi.URLParam(r, versionParameter), 10, 64)
	if err != nil || version == 0 {
		writeError(w, http.StatusBadRequest, "the serial must be a number from 1")
		return
	}
	h.writeVersion(w, version)
}

// writeVersion writes the response with a stored version, the newest for version zero.
func (h *handler) writeVersion(w http.ResponseWriter, version uint64) {
	response, err := h.store.readPrimary(&wire.ConfigReadRequest{Version: version}, primaryReadTimeout)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if !response.Found {
		writeError(w, http.StatusNotFound, errVersionNotFound.Error())
		return
	}
	stored := response.Versions[0]
	writeJSON(w, http.StatusOK, StoredState{Version: stored.Version, Digest: stored.Digest, RequestID: stored.Request, Content: stored.Content})
}

// listHistory serves GET /history.
func (h *handler) listHistory(w http.ResponseWriter, _ *http.Request) {
	response, err := h.store.readPrimary(&wire.ConfigReadRequest{List: true}, primaryReadTimeout)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	history := []StoredState{}
	for _, stored := range response.Versions {
		history = append(history, StoredState{Version: stored.Version, Digest: stored.Digest, RequestID: stored.Request})
	}
	writeJSON(w, http.StatusOK, history)
}

// parameterError returns the error for a query parameter that can't be parsed.
func parameterError(parameter string, err error) error { return fmt.Errorf("%s: %w", parameter, err) }
