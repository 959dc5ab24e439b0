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
	// maxBodyBytes bounds what is read into memory for one request. Services may take less.
	maxBodyBytes = 32 << 20
	// maxRequestIDBytes is the longest request ID that is taken over from a caller.
	maxRequestIDBytes = 100
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10

	readHeaderTimeout = 10 * time.Second
	readTimeout       = 60 * time.Second
	idleTimeout       = 60 * time.Second
)

// forwarder forwards a request and returns its response or its fault, see forward.Forwarder.Forward.
type forwarder interface {
	Forward(req *request.Request) (*request.Response, *apierror.Error)
}

// Handler takes callers' requests.
type Handler struct {
	forwarder forwarder
	// leaderClock returns a time of the registry leader's clock that has certainly passed.
	leaderClock func() *wire.LeaderTimestamp
	clock       monotonic.Clock
	inFlight    *shutdown.InFlight
}

// New returns the handler of a proxy's callers. The clock is that of the proxy's deadlines.
func New(sidecar *proxy.Proxy, clock monotonic.Clock) http.Handler {
	return newHandler(&Handler{forwarder: sidecar.Forwarder, leaderClock: sidecar.LeaderClock, clock: clock, inFlight: sidecar.Callers})
}

func newHandler(h *Handler) http.Handler {
	router := chi.NewRouter()
	router.HandleFunc("/*", h.serve)
	router.MethodNotAllowed(h.serve) // the configuration decides which methods there are
	return router
}

// NewServer returns the HTTP server of a handler.
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

// newRequest takes over what is known of a request before its body is read.
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

// read reads the rest of a request.
func (h *Handler) read(req *request.Request, writer http.ResponseWriter, incoming *http.Request) *apierror.Error {
	body, fault := ReadBody(writer, incoming)
	if fault != nil {
		return fault
	}
	// From here on the request counts as read: a fence of its key holds for it if it is later than this time.
	req.Body, req.Headers, req.ReadAt = body, upstream.EndToEndHeaders(withoutMeshHeaders(incoming.Header)), h.leaderClock()
	limit := incoming.Header.Get(request.DeadlineHeader)
	if limit == "" {
		return nil
	}
	timeoutMicros, err := strconv.ParseInt(limit, 10, 64)
	if err != nil || timeoutMicros <= 0 {
		return apierror.New(apierror.MalformedRequest, apierror.NotRun, "%s is not a number of microseconds above 0", request.DeadlineHeader)
	}
	req.Deadline = h.clock.Now() + monotonic.Micros(timeoutMicros)
	return nil
}

// ReadBody reads the complete body of a request, of at most 32 MiB. The fault is a longer body's, or that of a body that can't
// be read to its end.
func ReadBody(writer http.ResponseWriter, incoming *http.Request) ([]byte, *apierror.Error) {
	body, err := upstream.ReadAll(http.MaxBytesReader(writer, incoming.Body, maxBodyBytes), incoming.ContentLength)
	if err == nil {
		return body, nil
	}
	cause := apierror.MalformedRequest
	if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
		cause = apierror.BodyTooLarge
	}
	return nil, apierror.New(cause, apierror.NotRun, "%v", err)
}

// withoutMeshHeaders is a copy of the headers without those that are for the mesh alone.
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

// Flush writes what the server still buffers of a response, so that the response is written when the handler's request ends.
func Flush(writer http.ResponseWriter) { _ = http.NewResponseController(writer).Flush() } // fails only if the caller has disconnected

// hasBody reports whether a response to a method may have a body.
func hasBody(method string, status uint32) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
