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

type handler struct {
	store    *forwardingStore
	host     host.Host
	resolver *discovery.Resolver
	// reads reads contents in the dialect that they are stored in, with all their faults.
	parse config.Parser
}

// ApplyResult is the answer to an apply.
type ApplyResult struct {
	Outcome   string   `json:"outcome"`
	Version   uint64   `json:"serial"`
	Digest    string   `json:"digest,omitempty"`
	RequestID string   `json:"request,omitempty"`
	Errors    []string `json:"faults,omitempty"`
}

// StoredState is one accepted state.
type StoredState struct {
	Version   uint64          `json:"serial"`
	Digest    string          `json:"digest"`
	RequestID string          `json:"request,omitempty"`
	Content   json.RawMessage `json:"content,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "2")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content)
}

// New makes the handler. read reads contents in the dialect that they are stored in, with all their faults.
func New(host host.Host, resolver *discovery.Resolver, metrics http.Handler, status func() any, parse config.Parser) http.Handler {
	h := &handler{store: &forwardingStore{host: host, resolver: resolver}, host: host, resolver: resolver, parse: parse}
	router := chi.NewRouter()
	router.Put("/desired-state", h.apply)
	router.Post("/desired-state/check", h.check)
	router.Get("/desired-state", func(w http.ResponseWriter, _ *http.Request) { h.readState(w, 0) })
	router.Get("/desired-state/{serial}", func(w http.ResponseWriter, r *http.Request) {
		version, err := strconv.ParseUint(chi.URLParam(r, "serial"), 10, 64)
		if err != nil || version == 0 {
			writeJSON(w, http.StatusBadRequest, map[string]string{"error": "the serial must be a number from 1"})
			return
		}
		h.readState(w, version)
	})
	router.Get("/history", h.listHistory)
	router.Get("/changes", h.compareVersions)
	router.Post("/changes", h.compareDraft)
	router.Get("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, h.status()) })
	router.Get("/local", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, status()) })
	router.Get("/live", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"live": true})
	})
	router.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if leader := resolver.Leader(configstore.Group); leader == "" {
			writeJSON(w, http.StatusServiceUnavailable, map[string]any{"ready": false, "why": "no primary is known"})
			return
		}
		writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
	})
	router.Handle("/metrics", metrics)
	return router
}

// OutcomeUnreached is the outcome of an apply that wasn't passed on, since this door finds no primary.
const OutcomeUnreached = "unreached"

// applyTimeout is how long an apply may take: reaching the primary, and being in force everywhere.
const applyTimeout = 24 * monotonic.Second

var statusCodes = map[string]int{versions.Accepted: http.StatusOK, versions.Conflict: http.StatusPreconditionFailed, versions.Invalid: http.StatusBadRequest}

func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxContentSize))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, ApplyResult{Outcome: versions.Invalid, Errors: []string{err.Error()}})
		return
	}
	query := r.URL.Query()
	request := &wire.ConfigApplyRequest{Content: content, Request: query.Get(RequestQuery)}
	if request.Request == "" {
		request.Request = uuid.NewString()
	}
	switch expected := query.Get(ExpectedQuery); expected {
	case "":
		writeJSON(w, http.StatusBadRequest, ApplyResult{Outcome: versions.Invalid, Errors: []string{"expected: the serial that this state follows must be named, or any"}})
		return
	case "any":
		request.AnyVersion = true
	default:
		if request.ExpectedVersion, err = strconv.ParseUint(expected, 10, 64); err != nil {
			writeJSON(w, http.StatusBadRequest, ApplyResult{Outcome: versions.Invalid, Errors: []string{"expected: " + err.Error()}})
			return
		}
	}
	if rejectInvalid(w, content, request.Request) {
		return
	}
	response, err := h.store.Apply(applyTimeout, request)
	if errors.Is(err, ErrNotAccepted) {
		writeJSON(w, http.StatusServiceUnavailable, ApplyResult{Outcome: OutcomeUnreached, RequestID: request.Request, Errors: []string{err.Error()}})
		return
	}
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ApplyResult{Outcome: "unknown", RequestID: request.Request, Errors: []string{err.Error()}})
		return
	}
	writeJSON(w, statusCodes[response.Outcome], ApplyResult{Outcome: response.Outcome, Version: response.Version, Digest: response.Digest, RequestID: request.Request, Errors: response.Errors})
}

func (h *handler) check(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, config.MaxContentSize))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, ApplyResult{Outcome: versions.Invalid, Errors: []string{err.Error()}})
		return
	}
	if !rejectInvalid(w, content, "") {
		writeJSON(w, http.StatusOK, ApplyResult{Outcome: "valid", Digest: config.Digest(content)})
	}
}

// invalid turns a content down that has faults, and tells whether it did.
func rejectInvalid(w http.ResponseWriter, content []byte, requestID string) bool {
	_, fieldErrors := config.Parse(content)
	if len(fieldErrors) == 0 {
		return false
	}
	result := ApplyResult{Outcome: versions.Invalid, RequestID: requestID}
	for _, fieldError := range fieldErrors {
		result.Errors = append(result.Errors, fieldError.String())
	}
	writeJSON(w, http.StatusBadRequest, result)
	return true
}

func (h *handler) readState(w http.ResponseWriter, version uint64) {
	response := &wire.ConfigReadResponse{}
	if err := h.store.callPrimary(wire.Kind_config_read, &wire.ConfigReadRequest{Version: version}, response, 5*monotonic.Second); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	if !response.Found {
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such serial"})
		return
	}
	stored := response.Versions[0]
	writeJSON(w, http.StatusOK, StoredState{Version: stored.Version, Digest: stored.Digest, RequestID: stored.Request, Content: stored.Content})
}

func (h *handler) listHistory(w http.ResponseWriter, _ *http.Request) {
	response := &wire.ConfigReadResponse{}
	if err := h.store.callPrimary(wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, response, 5*monotonic.Second); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": err.Error()})
		return
	}
	history := []StoredState{}
	for _, stored := range response.Versions {
		history = append(history, StoredState{Version: stored.Version, Digest: stored.Digest, RequestID: stored.Request})
	}
	writeJSON(w, http.StatusOK, history)
}

// Overview is the whole core as one postmaster sees it.
type Overview struct {
	ConfigStores map[string]json.RawMessage `json:"postmasters"`
	Registries   map[string]json.RawMessage `json:"sorters"`
	Missing      map[string]string          `json:"missing"`
	Addresses    []*wire.PeerAddress        `json:"addresses"`
}

// status asks every core process how it stands.
func (h *handler) status() Overview {
	overview := Overview{ConfigStores: map[string]json.RawMessage{}, Registries: map[string]json.RawMessage{}, Missing: map[string]string{}, Addresses: h.resolver.Peers()}
	kinds := []struct {
		group string
		kind  wire.Kind
		into  map[string]json.RawMessage
	}{{"postmaster", wire.Kind_configstore_status, overview.ConfigStores}, {"sorter", wire.Kind_registry_status, overview.Registries}}
	for _, target := range kinds {
		members := h.resolver.Members(target.group)
		replies := host.Gather(h.host, members, 2*monotonic.Second, func(name string) (*wire.StatusResponse, error) {
			response := &wire.StatusResponse{}
			return response, h.resolver.Call(name, target.kind, &wire.StatusRequest{}, response, 1500*monotonic.Millisecond)
		}, func(map[string]*wire.StatusResponse, int) bool { return false })
		for _, name := range members {
			if reply := replies[name]; reply != nil {
				target.into[name] = reply.Json
			} else {
				overview.Missing[target.group+" "+name] = "no answer"
			}
		}
	}
	return overview
}

// NewServer makes the HTTP server for the door.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second, IdleTimeout: 60 * time.Second}
}
