package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 60 * time.Second
	// retryAfterSeconds is the Retry-After header of each 503.
	retryAfterSeconds = "2"
)

// handler serves the requests of the HTTP interface.
type handler struct {
	store    *forwardingStore
	host     host.Host
	resolver *discovery.Resolver
	// parse reads contents in the dialect in which they are stored, and reports all their errors.
	parse config.Parser
}

// New returns the handler of the HTTP interface. Metrics serves /metrics, and status returns what /local shows as JSON. Parse
// reads contents in the dialect in which they are stored, and reports all their errors.
func New(host host.Host, resolver *discovery.Resolver, metrics http.Handler, status func() any, parse config.Parser) http.Handler {
	h := &handler{store: &forwardingStore{host: host, resolver: resolver}, host: host, resolver: resolver, parse: parse}
	router := chi.NewRouter()
	router.Put("/desired-state", h.apply)
	router.Post("/desired-state/check", h.check)
	router.Get("/desired-state", h.readLatest)
	router.Get("/desired-state/{"+versionParameter+"}", h.readNumbered)
	router.Get("/history", h.listHistory)
	router.Get("/changes", h.compareVersions)
	router.Post("/changes", h.compareDraft)
	router.Get("/tenants", h.listTenants)
	router.Get("/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, h.overview()) })
	router.Get("/local", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, status()) })
	router.Get("/live", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, liveness{Live: true}) })
	router.Get("/ready", h.ready)
	router.Handle("/metrics", metrics)
	return router
}

// NewServer returns an HTTP server for a handler, with time limits against clients that stall.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
}

// errorBody is the body of a response that reports an error.
type errorBody struct {
	Error string `json:"error"`
}

type liveness struct {
	Live bool `json:"live"`
}

type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"why,omitempty"`
}

// ready reports whether this process knows a primary, without asking it.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.resolver.PrimaryName(configstore.Group) == "" {
		writeJSON(w, http.StatusServiceUnavailable, readiness{Reason: "no primary is known"})
		return
	}
	writeJSON(w, http.StatusOK, readiness{Ready: true})
}

// writeJSON writes a response. A 503 also has a Retry-After header.
func writeJSON(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content) // an error means that the client has disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: message})
}
