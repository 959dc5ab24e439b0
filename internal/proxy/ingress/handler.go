// Package ingress is the HTTP door at which callers hand in their requests.
package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/upstream"
)

// maxBodyBytes bounds what is read into memory for one request; services may take less.
const maxBodyBytes = 32 << 20

// Handler is the door.
type Handler struct {
	proxy *proxy.Proxy
	clock monotonic.Clock
}

// New makes the door's handler.
func New(sidecar *proxy.Proxy, clock monotonic.Clock) http.Handler {
	h := &Handler{proxy: sidecar, clock: clock}
	router := chi.NewRouter()
	router.HandleFunc("/*", h.serveHTTP)
	router.MethodNotAllowed(h.serveHTTP) // which methods there are is for the desired state to say
	return router
}

func (h *Handler) serveHTTP(writer http.ResponseWriter, incoming *http.Request) {
	req := &request.Request{OnCallerLeft: func(callback func()) (stop func() bool) { return context.AfterFunc(incoming.Context(), callback) }, ID: incoming.Header.Get(request.RequestIDHeader), Method: incoming.Method, Host: incoming.Host,
		Target: incoming.URL.RequestURI(), IdempotencyKey: incoming.Header.Get(request.IdempotencyKeyHeader)}
	if req.ID == "" || len(req.ID) > 100 {
		req.ID = uuid.NewString()
	}
	body, err := upstream.ReadAll(http.MaxBytesReader(writer, incoming.Body, maxBodyBytes), incoming.ContentLength)
	if err != nil {
		cause := apierror.MalformedRequest
		if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
			cause = apierror.BodyTooLarge
		}
		WriteError(writer, req.ID, apierror.New(cause, apierror.NotRun, "%v", err))
		return
	}
	// From here on the request counts as read, and gets an answer.
	req.Body, req.Headers, req.ReadAt = body, upstream.EndToEndHeaders(withoutMeshHeaders(incoming.Header)), h.proxy.LeaderClock()
	if limit := incoming.Header.Get(request.DeadlineHeader); limit != "" {
		timeoutMicros, err := strconv.ParseInt(limit, 10, 64)
		if err != nil || timeoutMicros <= 0 {
			WriteError(writer, req.ID, apierror.New(apierror.MalformedRequest, apierror.NotRun, "%s is not a span in microseconds", request.DeadlineHeader))
			return
		}
		req.Deadline = h.clock.Now() + monotonic.Micros(timeoutMicros)
	}
	response, fault := h.proxy.Forwarder.Forward(req)
	if fault != nil {
		WriteError(writer, req.ID, fault)
		return
	}
	headers := writer.Header()
	for _, header := range response.Headers {
		headers.Add(header.Name, header.Value)
	}
	headers.Set(request.RequestIDHeader, req.ID)
	if response.ConfigVersion > 0 {
		headers.Set(request.ConfigVersionHeader, strconv.FormatUint(response.ConfigVersion, 10))
	}
	if incoming.Method != http.MethodHead && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		headers.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	writer.WriteHeader(int(response.Status))
	_, _ = writer.Write(response.Body) // a caller that has gone can't be told
}

func withoutMeshHeaders(headers http.Header) http.Header {
	forwarded := headers.Clone()
	forwarded.Del(request.RequestIDHeader)
	return forwarded
}

// ErrorBody is the body of every answer that is the mesh's own.
type ErrorBody struct {
	Cause            uint32 `json:"cause"`
	Name             string `json:"name"`
	Verdict          string `json:"verdict"`
	RetryAfterMicros int64  `json:"retry_after_micros"`
	Detail           string `json:"detail"`
	Request          string `json:"request"`
}

// WriteError writes a fault as the mesh's own answer.
func WriteError(writer http.ResponseWriter, id string, fault *apierror.Fault) {
	headers := writer.Header()
	headers.Set("Content-Type", "application/json")
	headers.Set(request.RequestIDHeader, id)
	if fault.RetryAfter > 0 {
		headers.Set("Retry-After", strconv.FormatInt(int64((fault.RetryAfter+monotonic.Second-1)/monotonic.Second), 10))
	}
	if fault.NotRun() {
		headers.Set(request.NotExecutedHeader, "1")
	}
	if fault.Cause == apierror.Draining {
		headers.Set("Connection", "close")
	}
	writer.WriteHeader(fault.Status())
	_ = json.NewEncoder(writer).Encode(ErrorBody{Cause: uint32(fault.Cause), Name: fault.Cause.Name(), Verdict: string(fault.Verdict),
		RetryAfterMicros: int64(fault.RetryAfter), Detail: fault.Detail, Request: id})
}

// NewServer makes the HTTP server for a door.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 60 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 64 << 10}
}
