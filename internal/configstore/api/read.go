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

// readTimeLimit is how long a read may take, with a failover in between.
const readTimeLimit = 5 * monotonic.Second

// versionParameter is the path parameter that names a version.
const versionParameter = "serial"

// StoredState is one accepted version.
type StoredState struct {
	Version   uint64 `json:"serial"`
	Digest    string `json:"digest"`
	RequestID string `json:"request,omitempty"`
	// Content is left out of lists.
	Content json.RawMessage `json:"content,omitempty"`
}

// readLatest serves GET /desired-state.
func (h *handler) readLatest(w http.ResponseWriter, _ *http.Request) { h.readState(w, 0) }

// readNumbered serves GET /desired-state/VERSION.
func (h *handler) readNumbered(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseUint(chi.URLParam(r, versionParameter), 10, 64)
	if err != nil || version == 0 {
		writeError(w, http.StatusBadRequest, "the serial must be a number from 1")
		return
	}
	h.readState(w, version)
}

// readState writes a stored version, the newest for version zero.
func (h *handler) readState(w http.ResponseWriter, version uint64) {
	response, err := h.store.readPrimary(&wire.ConfigReadRequest{Version: version}, readTimeLimit)
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
	response, err := h.store.readPrimary(&wire.ConfigReadRequest{List: true}, readTimeLimit)
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

// parameterError reports a query parameter that can't be read.
func parameterError(parameter string, err error) error { return fmt.Errorf("%s: %w", parameter, err) }
