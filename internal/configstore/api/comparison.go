package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore"
	"snowflow/internal/transport/wire"
)

// Query parameters of a comparison. Both are version numbers and default to the newest version.
const (
	FromQuery = "from"
	ToQuery   = "to"
)

// Comparison describes how one version differs from another, and how many bytes an update would send to how many proxies.
type Comparison struct {
	From uint64 `json:"from"`
	// To is zero for a configuration that hasn't been applied.
	To      uint64          `json:"to,omitempty"`
	Summary changes.Summary `json:"changes"`
	// DifferenceBytes and FullBytes are the encoded lengths of the difference and of the full content.
	DifferenceBytes int `json:"difference_bytes"`
	FullBytes       int `json:"whole_bytes"`
	// Proxies is the number of proxies that currently hold a lease.
	Proxies int `json:"nodes"`
}

var errVersionNotFound = errors.New("no such serial")

// ParseSet parses a configuration into its set of resources. It returns an error if the configuration is invalid.
func ParseSet(parse config.Parser, content []byte) (*changes.Set, error) {
	state, fieldErrors := parse(content)
	if len(fieldErrors) > 0 {
		return nil, errors.New(strings.Join(errorTexts(fieldErrors), "; "))
	}
	return changes.NewSet(state)
}

// compareVersions serves GET /changes: it compares two stored versions.
func (h *handler) compareVersions(w http.ResponseWriter, r *http.Request) {
	from, err := versionQuery(r, FromQuery)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	to, err := versionQuery(r, ToQuery)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	_, base, err := h.readSet(from)
	if err != nil {
		writeReadError(w, err)
		return
	}
	stored, next, err := h.readSet(to)
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, h.compare(base, next, Comparison{From: from, To: stored.Version, FullBytes: len(stored.Content)}))
}

// compareDraft serves POST /changes: it compares a configuration that hasn't been applied with the newest version.
func (h *handler) compareDraft(w http.ResponseWriter, r *http.Request) {
	content, err := readBody(w, r)
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	next, err := ParseSet(h.parse, content)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	stored, base, err := h.readSet(0)
	if errors.Is(err, errVersionNotFound) {
		stored, base, err = &wire.StoredConfig{}, &changes.Set{}, nil
	}
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, h.compare(base, next, Comparison{From: stored.Version, FullBytes: len(content)}))
}

// versionQuery reads a query parameter that is a version number. It returns zero if the parameter is missing.
func versionQuery(r *http.Request, parameter string) (uint64, error) {
	text := r.URL.Query().Get(parameter)
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, parameterError(parameter, err)
	}
	return version, nil
}

// readSet reads a stored version, the newest for version zero, and its set of resources. Validation errors are ignored as long as the
// content can be parsed, because the build that accepted it may have checked less.
func (h *handler) readSet(version uint64) (*wire.StoredConfig, *changes.Set, error) {
	response, err := h.store.readPrimary(&wire.ConfigReadRequest{Version: version}, primaryReadTimeout)
	if err != nil {
		return nil, nil, err
	}
	if !response.Found {
		return nil, nil, fmt.Errorf("%w: %d", errVersionNotFound, version)
	}
	stored := response.Versions[0]
	state, fieldErrors := h.parse(stored.Content)
	if state == nil {
		return nil, nil, fmt.Errorf("serial %d: %v", version, fieldErrors)
	}
	set, err := changes.NewSet(state)
	return stored, set, err
}

// writeReadError writes the response for an error of readSet.
func writeReadError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errVersionNotFound):
		status = http.StatusNotFound
	case errors.Is(err, changes.ErrInvalidSet):
		status = http.StatusConflict
	}
	writeError(w, status, err.Error())
}

// compare fills in the summary, the length of the encoded difference, and the number of proxies with a lease.
func (h *handler) compare(base, next *changes.Set, comparison Comparison) Comparison {
	difference := changes.Diff(base, next)
	comparison.Summary = changes.Summarize(base, difference)
	// Only the length is used, so any digest will do.
	if content, err := changes.Encode(difference, comparison.To, config.Digest(nil)); err == nil {
		comparison.DifferenceBytes = len(content)
	}
	for _, content := range h.overview().ConfigStores {
		var status configstore.Status
		if json.Unmarshal(content, &status) == nil {
			comparison.Proxies = max(comparison.Proxies, len(status.Leases))
		}
	}
	return comparison
}
