package ingress

import (
	"context"
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
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/transport/wire"
)

const (
	// maxBodyBytes is the largest request body that is read into memory. The limit of a service may be lower.
	maxBodyBytes = 32 << 20
	// maxRequestIDBytes is the maximum length of a request ID that is accepted from a caller. A longer one is replaced.
	maxRequestIDBytes = 100
	// maxHeaderBytes is the maximum size of a request's headers.
	maxHeaderBytes = 64 << 10

	readHeaderTimeout = 10 * time.Second
	readTimeout       = 60 * time.Second
	idleTimeout       = 60 * time.Second
)

// forwarder forwards requests; see forward.Forwarder.
type forwarder interface {
	Forward(req *request.Request) (*request.Response, *apierror.Error)
}

// Handler serves the requests of callers.
type Handler struct {
	forwarder forwarder
	// leaderClock returns a lower bound on the registry leader's clock.
	leaderClock func() *wire.LeaderTimestamp
	clock       monotonic.Clock
	inFlight    *shutdown.InFlight
}

// New returns the handler for the callers of a proxy. The clock must be the one that the proxy uses for deadlines.
func New(sidecar *proxy.Proxy, clock monotonic.Clock) http.Handler {
	return newHandler(&Handler{forwarder: sidecar.Forwarder, leaderClock: sidecar.LeaderClock, clock: clock, inFlight: sidecar.Callers})
}

func newHandler(h *Handler) http.Handler {
	router := chi.NewRouter()
	router.HandleFunc("/*", h.serve)
	router.MethodNotAllowed(h.serve) // the configuration decides which methods are allowed
	return router
}

// NewServer returns an HTTP server for a handler, with timeouts and a limit of the headers' size.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve forwards one request.
func (h *Handler) serve(writer http.ResponseWriter, incoming *http.Request) {
	req := newRequest(incoming)
	fault := h.read(req, writer, incoming)
	h.inFlight.Begin()
	defer h.inFlight.End()
	defer Flush(writer)
	if fault != nil {
		WriteError(writer, req.ID, fault)
		return
	}
	response, fault := h.forwarder.Forward(req)
	if fault != nil {
		WriteError(writer, req.ID, fault)
		return
	}
	writeResponse(writer, req, response)
}

// newRequest returns the part of a request that is known before its body is read.
func newRequest(incoming *http.Request) *request.Request {
	id := incoming.Header.Get(request.RequestIDHeader)
	if id == "" || len(id) > maxRequestIDBytes {
		id = uuid.NewString()
	}
	return &request.Request{
		ID:             id,
		Method:         incoming.Method,
		Host:           incoming.Host,
		Target:         incoming.URL.RequestURI(),
		IdempotencyKey: incoming.Header.Get(request.IdempotencyKeyHeader),
		TenantKeys:     incoming.Header.Values(request.TenantKeyHeader),
		OnCallerDisconnect: func(callback func()) (stop func() bool) {
			return context.AfterFunc(incoming.Context(), callback)
		},
	}
}

// read reads the body and sets the fields that newRequest leaves out.
func (h *Handler) read(req *request.Request, writer http.ResponseWriter, incoming *http.Request) *apierror.Error {
	body, fault := ReadBody(writer, incoming)
	if fault != nil {
		return fault
	}
	// From here on the request counts as read: a fence of its key rejects it if the fence is later than ReadAt.
	req.Body, req.Headers, req.ReadAt = body, upstream.EndToEndHeaders(withoutMeshHeaders(incoming.Header)), h.leaderClock()
	limit := incoming.Header.Get(request.DeadlineHeader)
	if limit == "" {
		return nil
	}
	timeoutMicros, err := strconv.ParseInt(limit, 10, 64)
	if err != nil || timeoutMicros <= 0 {
		return apierror.New(apierror.MalformedRequest, apierror.NotRun, "%s must be a positive number of microseconds", request.DeadlineHeader)
	}
	req.Deadline = h.clock.Now() + monotonic.Micros(timeoutMicros)
	return nil
}

// ReadBody reads the complete body of a request. It returns a fault if the body is longer than 32 MiB or can't be read to its end.
func ReadBody(writer http.ResponseWriter, incoming *http.Request) ([]byte, *apierror.Error) {
	body, err := upstream.ReadAll(http.MaxBytesReader(writer, incoming.Body, maxBodyBytes), incoming.ContentLength)
	if err == nil {
		return body, nil
	}
	cause := apierror.MalformedRequest
	if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
		cause = apierror.BodyTooLarge
	}
	return nil, apierror.New(cause, apierror.NotRun, "the request body can't be read: %v", err)
}

// withoutMeshHeaders returns a copy of the headers without those that a backend must not get from a caller.
func withoutMeshHeaders(headers http.Header) http.Header {
	forwarded := headers.Clone()
	for _, name := range []string{request.RequestIDHeader, request.TenantKeyHeader, request.TenantHeader} {
		forwarded.Del(name)
	}
	return forwarded
}

// writeResponse writes a backend's response.
func writeResponse(writer http.ResponseWriter, req *request.Request, response *request.Response) {
	headers := writer.Header()
	for _, header := range response.Headers {
		headers.Add(header.Name, header.Value)
	}
	headers.Set(request.RequestIDHeader, req.ID)
	if response.ConfigVersion > 0 {
		headers.Set(request.ConfigVersionHeader, strconv.FormatUint(response.ConfigVersion, 10))
	}
	if hasBody(req.Method, response.Status) {
		headers.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	writer.WriteHeader(int(response.Status))
	_, _ = writer.Write(response.Body) // fails only if the caller has disconnected
}

// Flush writes what the server still buffers of a response, so that a request counts as in flight until its response is written.
func Flush(writer http.ResponseWriter) { _ = http.NewResponseController(writer).Flush() } // fails only if the caller has disconnected

// hasBody reports whether the response to a request with this method may have a body.
func hasBody(method string, status uint32) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
