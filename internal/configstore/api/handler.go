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
	// retryAfterSeconds is the value of the Retry-After header of responses with status 503.
	retryAfterSeconds = "2"
)

// handler serves the requests of the HTTP interface.
type handler struct {
	store    *forwardingStore
	host     host.Host
	resolver *discovery.Resolver
	// parse is the parser for the format in which configurations are stored. It reports all errors.
	parse config.Parser
}

// New returns the handler of the HTTP interface. The handler metrics serves /metrics, and status returns the value that /local shows
// as JSON. The function parse is the parser for the format in which configurations are stored; it reports all errors.
func New(host host.Host, resolver *discovery.Resolver, metrics http.Handler, status func() any, parse config.Parser) http.Handler {
	h := &handler{store: &forwardingStore{host: host, resolver: resolver}, host: host, resolver: resolver, parse: parse}
	router := chi.NewRouter()
	router.Put("/desired-state", h.apply)
	router.Post("/desired-state/check", h.check)
	router.Get("/desired-state", h.readLatest)
	router.Get("/desired-state/{"+versionParameter+"}", h.readVersion)
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

// NewServer returns an HTTP server for a handler, with timeouts against clients that stall.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// liveness is the body of the response to GET /live.
type liveness struct {
	Live bool `json:"live"`
}

// readiness is the body of the response to GET /ready.
type readiness struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"why,omitempty"`
}

// ready serves GET /ready: it reports whether this process knows a primary, without contacting it.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if h.resolver.PrimaryName(configstore.Group) == "" {
		writeJSON(w, http.StatusServiceUnavailable, readiness{Reason: "no primary is known"})
		return
	}
	writeJSON(w, http.StatusOK, readiness{Ready: true})
}

// writeJSON writes a response with a JSON body. Responses with status 503 also have a Retry-After header.
func writeJSON(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content) // fails only if the client has disconnected
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorBody{Error: message})
}
