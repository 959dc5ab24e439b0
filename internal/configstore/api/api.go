// Package api is the operators' HTTP door. Any postmaster has it; what needs the primary is passed on to it.
package api

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Names of the headers and query words that operators use.
const (
	ExpectedQuery = "expected"
	RequestQuery  = "request"
)

type door struct {
	store *forwarding
	place host.Host
	book  *discovery.Book
	// reads reads contents in the dialect that they are stored in, with all their faults.
	reads config.Reader
}

// Applied is the answer to an apply.
type Applied struct {
	Outcome string   `json:"outcome"`
	Serial  uint64   `json:"serial"`
	Digest  string   `json:"digest,omitempty"`
	Request string   `json:"request,omitempty"`
	Faults  []string `json:"faults,omitempty"`
}

// Kept is one accepted state.
type Kept struct {
	Serial  uint64          `json:"serial"`
	Digest  string          `json:"digest"`
	Request string          `json:"request,omitempty"`
	Content json.RawMessage `json:"content,omitempty"`
}

func write(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		writer.Header().Set("Retry-After", "2")
	}
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// New makes the handler. read reads contents in the dialect that they are stored in, with all their faults.
func New(place host.Host, book *discovery.Book, metrics http.Handler, status func() any, read config.Reader) http.Handler {
	door := &door{store: &forwarding{place: place, book: book}, place: place, book: book, reads: read}
	router := chi.NewRouter()
	router.Put("/desired-state", door.apply)
	router.Post("/desired-state/check", door.check)
	router.Get("/desired-state", func(writer http.ResponseWriter, _ *http.Request) { door.read(writer, 0) })
	router.Get("/desired-state/{serial}", func(writer http.ResponseWriter, incoming *http.Request) {
		serial, err := strconv.ParseUint(chi.URLParam(incoming, "serial"), 10, 64)
		if err != nil || serial == 0 {
			write(writer, http.StatusBadRequest, map[string]string{"error": "the serial must be a number from 1"})
			return
		}
		door.read(writer, serial)
	})
	router.Get("/history", door.history)
	router.Get("/changes", door.between)
	router.Post("/changes", door.preview)
	router.Get("/status", func(writer http.ResponseWriter, _ *http.Request) { write(writer, http.StatusOK, door.status()) })
	router.Get("/local", func(writer http.ResponseWriter, _ *http.Request) { write(writer, http.StatusOK, status()) })
	router.Get("/live", func(writer http.ResponseWriter, _ *http.Request) {
		write(writer, http.StatusOK, map[string]bool{"live": true})
	})
	router.Get("/ready", func(writer http.ResponseWriter, _ *http.Request) {
		if leader := book.Leader(configstore.Group); leader == "" {
			write(writer, http.StatusServiceUnavailable, map[string]any{"ready": false, "why": "no primary is known"})
			return
		}
		write(writer, http.StatusOK, map[string]bool{"ready": true})
	})
	router.Handle("/metrics", metrics)
	return router
}

// Unreached is the outcome of an apply that wasn't passed on, since this door finds no primary.
const Unreached = "unreached"

// applyPatience is how long an apply may take: reaching the primary, and being in force everywhere.
const applyPatience = 24 * monotonic.Second

var statuses = map[string]int{versions.Accepted: http.StatusOK, versions.Conflict: http.StatusPreconditionFailed, versions.Invalid: http.StatusBadRequest}

func (door *door) apply(writer http.ResponseWriter, incoming *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, config.Longest))
	if err != nil {
		write(writer, http.StatusRequestEntityTooLarge, Applied{Outcome: versions.Invalid, Faults: []string{err.Error()}})
		return
	}
	query := incoming.URL.Query()
	ask := &wire.ConfigApplyRequest{Content: content, Request: query.Get(RequestQuery)}
	if ask.Request == "" {
		ask.Request = uuid.NewString()
	}
	switch expected := query.Get(ExpectedQuery); expected {
	case "":
		write(writer, http.StatusBadRequest, Applied{Outcome: versions.Invalid, Faults: []string{"expected: the serial that this state follows must be named, or any"}})
		return
	case "any":
		ask.AnyVersion = true
	default:
		if ask.ExpectedVersion, err = strconv.ParseUint(expected, 10, 64); err != nil {
			write(writer, http.StatusBadRequest, Applied{Outcome: versions.Invalid, Faults: []string{"expected: " + err.Error()}})
			return
		}
	}
	if invalid(writer, content, ask.Request) {
		return
	}
	tell, err := door.store.Apply(applyPatience, ask)
	if errors.Is(err, ErrNotTaken) {
		write(writer, http.StatusServiceUnavailable, Applied{Outcome: Unreached, Request: ask.Request, Faults: []string{err.Error()}})
		return
	}
	if err != nil {
		write(writer, http.StatusServiceUnavailable, Applied{Outcome: "unknown", Request: ask.Request, Faults: []string{err.Error()}})
		return
	}
	write(writer, statuses[tell.Outcome], Applied{Outcome: tell.Outcome, Serial: tell.Version, Digest: tell.Digest, Request: ask.Request, Faults: tell.Errors})
}

func (door *door) check(writer http.ResponseWriter, incoming *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(writer, incoming.Body, config.Longest))
	if err != nil {
		write(writer, http.StatusRequestEntityTooLarge, Applied{Outcome: versions.Invalid, Faults: []string{err.Error()}})
		return
	}
	if !invalid(writer, content, "") {
		write(writer, http.StatusOK, Applied{Outcome: "valid", Digest: config.Digest(content)})
	}
}

// invalid turns a content down that has faults, and tells whether it did.
func invalid(writer http.ResponseWriter, content []byte, request string) bool {
	_, faults := config.Parse(content)
	if len(faults) == 0 {
		return false
	}
	applied := Applied{Outcome: versions.Invalid, Request: request}
	for _, fault := range faults {
		applied.Faults = append(applied.Faults, fault.String())
	}
	write(writer, http.StatusBadRequest, applied)
	return true
}

func (door *door) read(writer http.ResponseWriter, serial uint64) {
	tell := &wire.ConfigReadResponse{}
	if err := door.store.primary(wire.Kind_config_read, &wire.ConfigReadRequest{Version: serial}, tell, 5*monotonic.Second); err != nil {
		write(writer, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	if !tell.Found {
		write(writer, http.StatusNotFound, map[string]string{"error": "no such serial"})
		return
	}
	kept := tell.Versions[0]
	write(writer, http.StatusOK, Kept{Serial: kept.Version, Digest: kept.Digest, Request: kept.Request, Content: kept.Content})
}

func (door *door) history(writer http.ResponseWriter, _ *http.Request) {
	tell := &wire.ConfigReadResponse{}
	if err := door.store.primary(wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, tell, 5*monotonic.Second); err != nil {
		write(writer, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	history := []Kept{}
	for _, kept := range tell.Versions {
		history = append(history, Kept{Serial: kept.Version, Digest: kept.Digest, Request: kept.Request})
	}
	write(writer, http.StatusOK, history)
}

// Overview is the whole core as one postmaster sees it.
type Overview struct {
	Postmasters map[string]json.RawMessage `json:"postmasters"`
	Sorters     map[string]json.RawMessage `json:"sorters"`
	Missing     map[string]string          `json:"missing"`
	Addresses   []*wire.PeerAddress        `json:"addresses"`
}

// status asks every core process how it stands.
func (door *door) status() Overview {
	overview := Overview{Postmasters: map[string]json.RawMessage{}, Sorters: map[string]json.RawMessage{}, Missing: map[string]string{}, Addresses: door.book.Known()}
	kinds := []struct {
		group string
		kind  wire.Kind
		into  map[string]json.RawMessage
	}{{"postmaster", wire.Kind_configstore_status, overview.Postmasters}, {"sorter", wire.Kind_registry_status, overview.Sorters}}
	for _, asked := range kinds {
		members := door.book.Members(asked.group)
		replies := host.Gather(door.place, members, 2*monotonic.Second, func(name string) (*wire.StatusResponse, error) {
			tell := &wire.StatusResponse{}
			return tell, door.book.Call(name, asked.kind, &wire.StatusRequest{}, tell, 1500*monotonic.Millisecond)
		}, func(map[string]*wire.StatusResponse, int) bool { return false })
		for _, name := range members {
			if reply := replies[name]; reply != nil {
				asked.into[name] = reply.Json
			} else {
				overview.Missing[asked.group+" "+name] = "no answer"
			}
		}
	}
	return overview
}

// Server makes the HTTP server for the door.
func Server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: 60 * time.Second}
}
