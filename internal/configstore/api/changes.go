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

// Changes is in what a version differs from another, and what it costs to tell.
type Changes struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to,omitempty"` // zero for a content that isn't applied
	Summary changes.Summary `json:"changes"`
	Bytes   int             `json:"difference_bytes"`
	Whole   int             `json:"whole_bytes"`
	Nodes   int             `json:"nodes"` // that hold a lease now
}

var errNoSerial = errors.New("no such serial")

// version reads an accepted state back and takes it apart.
func (door *door) version(serial uint64) (*wire.StoredConfig, *changes.Set, error) {
	tell := &wire.ConfigReadResponse{}
	if err := door.store.primary(wire.Kind_config_read, &wire.ConfigReadRequest{Version: serial}, tell, 5*monotonic.Second); err != nil {
		return nil, nil, err
	}
	if !tell.Found {
		return nil, nil, fmt.Errorf("%w: %d", errNoSerial, serial)
	}
	state, faults := door.reads(tell.Versions[0].Content)
	if state == nil {
		return nil, nil, fmt.Errorf("serial %d: %v", serial, faults)
	}
	set, err := changes.Read(state) // faults that an earlier build let pass don't matter here
	return tell.Versions[0], set, err
}

// Set reads a content that must have no faults, and takes it apart.
func Set(read config.Reader, content []byte) (*changes.Set, error) {
	state, faults := read(content)
	if len(faults) > 0 {
		texts := make([]string, len(faults))
		for index, fault := range faults {
			texts[index] = fault.String()
		}
		return nil, errors.New(strings.Join(texts, "; "))
	}
	return changes.Read(state)
}

func (door *door) between(writer http.ResponseWriter, incoming *http.Request) {
	serials := map[string]uint64{}
	for _, word := range []string{FromQuery, ToQuery} {
		if text := incoming.URL.Query().Get(word); text != "" {
			serial, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				write(writer, http.StatusBadRequest, map[string]string{"error": word + ": " + err.Error()})
				return
			}
			serials[word] = serial
		}
	}
	_, base, err := door.version(serials[FromQuery])
	var kept *wire.StoredConfig
	var next *changes.Set
	if err == nil {
		kept, next, err = door.version(serials[ToQuery])
	}
	if err != nil {
		door.fail(writer, err)
		return
	}
	write(writer, http.StatusOK, door.compared(base, next, Changes{From: serials[FromQuery], To: kept.Version, Whole: len(kept.Content)}))
}

// preview compares a content that isn't applied with the newest state.
func (door *door) preview(writer http.ResponseWriter, incoming *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, config.Longest))
	if err != nil {
		write(writer, http.StatusRequestEntityTooLarge, map[string]string{"error": err.Error()})
		return
	}
	next, err := Set(door.reads, content)
	if err != nil {
		write(writer, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	kept, base, err := door.version(0)
	if errors.Is(err, errNoSerial) {
		kept, base, err = &wire.StoredConfig{}, &changes.Set{}, nil
	}
	if err != nil {
		door.fail(writer, err)
		return
	}
	write(writer, http.StatusOK, door.compared(base, next, Changes{From: kept.Version, Whole: len(content)}))
}

func (door *door) fail(writer http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errors.Is(err, errNoSerial) {
		status = http.StatusNotFound
	} else if errors.Is(err, changes.ErrDoubtful) {
		status = http.StatusConflict
	}
	write(writer, status, map[string]string{"error": err.Error()})
}

// compared fills a comparison in.
func (door *door) compared(base, next *changes.Set, told Changes) Changes {
	difference := changes.Diff(base, next)
	told.Summary = changes.Summarize(base, difference)
	if content, err := changes.Encode(difference, told.To, config.Digest(nil)); err == nil {
		told.Bytes = len(content)
	}
	for _, content := range door.status().Postmasters {
		var status configstore.Status
		if json.Unmarshal(content, &status) == nil {
			told.Nodes = max(told.Nodes, len(status.Holders))
		}
	}
	return told
}
