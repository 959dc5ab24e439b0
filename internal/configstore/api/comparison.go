package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Names of the query words of a comparison: serials, the newest if left out.
const (
	FromQuery = "from"
	ToQuery   = "to"
)

// Comparison is in what a version differs from another, and what it costs to tell.
type Comparison struct {
	From            uint64          `json:"from"`
	To              uint64          `json:"to,omitempty"` // zero for a content that isn't applied
	Summary         changes.Summary `json:"changes"`
	DifferenceBytes int             `json:"difference_bytes"`
	FullBytes       int             `json:"whole_bytes"`
	Proxies         int             `json:"nodes"` // that hold a lease now
}

var errVersionNotFound = errors.New("no such serial")

// version reads an accepted state back and takes it apart.
func (h *handler) readVersion(version uint64) (*wire.StoredConfig, *changes.Set, error) {
	response := &wire.ConfigReadResponse{}
	if err := h.store.callPrimary(wire.Kind_config_read, &wire.ConfigReadRequest{Version: version}, response, 5*monotonic.Second); err != nil {
		return nil, nil, err
	}
	if !response.Found {
		return nil, nil, fmt.Errorf("%w: %d", errVersionNotFound, version)
	}
	state, fieldErrors := h.parse(response.Versions[0].Content)
	if state == nil {
		return nil, nil, fmt.Errorf("serial %d: %v", version, fieldErrors)
	}
	set, err := changes.NewSet(state) // faults that an earlier build let pass don't matter here
	return response.Versions[0], set, err
}

// ParseSet reads a content that must have no faults, and takes it apart.
func ParseSet(parse config.Parser, content []byte) (*changes.Set, error) {
	state, fieldErrors := parse(content)
	if len(fieldErrors) > 0 {
		texts := make([]string, len(fieldErrors))
		for index, fieldError := range fieldErrors {
			texts[index] = fieldError.String()
		}
		return nil, errors.New(strings.Join(texts, "; "))
	}
	return changes.NewSet(state)
}

func (h *handler) compareVersions(w http.ResponseWriter, r *http.Request) {
	versions := map[string]uint64{}
	for _, parameter := range []string{FromQuery, ToQuery} {
		if text := r.URL.Query().Get(parameter); text != "" {
			version, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				writeJSON(w, http.StatusBadRequest, map[string]string{"error": parameter + ": " + err.Error()})
				return
			}
			versions[parameter] = version
		}
	}
	_, base, err := h.readVersion(versions[FromQuery])
	var stored *wire.StoredConfig
	var next *changes.Set
	if err == nil {
		stored, next, err = h.readVersion(versions[ToQuery])
	}
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, h.fillComparison(base, next, Comparison{From: versions[FromQuery], To: stored.Version, FullBytes: len(stored.Content)}))
}

// preview compares a content that isn't applied with the newest state.
func (h *handler) compareDraft(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxContentSize))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"error": err.Error()})
		return
	}
	next, err := ParseSet(h.parse, content)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	stored, base, err := h.readVersion(0)
	if errors.Is(err, errVersionNotFound) {
		stored, base, err = &wire.StoredConfig{}, &changes.Set{}, nil
	}
	if err != nil {
		h.writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, h.fillComparison(base, next, Comparison{From: stored.Version, FullBytes: len(content)}))
}

func (h *handler) writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, errVersionNotFound) {
		status = http.StatusNotFound
	} else if errors.Is(err, changes.ErrInvalidSet) {
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]string{"error": err.Error()})
}

// compared fills a comparison in.
func (h *handler) fillComparison(base, next *changes.Set, comparison Comparison) Comparison {
	difference := changes.Diff(base, next)
	comparison.Summary = changes.Summarize(base, difference)
	if content, err := changes.Encode(difference, comparison.To, config.Digest(nil)); err == nil {
		comparison.DifferenceBytes = len(content)
	}
	for _, content := range h.status().ConfigStores {
		var status configstore.Status
		if json.Unmarshal(content, &status) == nil {
			comparison.Proxies = max(comparison.Proxies, len(status.Leases))
		}
	}
	return comparison
}
