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

// longestBody bounds what is read into memory for one request; services may take less.
const longestBody = 32 << 20

// Counter is the door.
type Counter struct {
	carrier *proxy.Carrier
	clock   monotonic.Clock
}

// New makes the door's handler.
func New(carrier *proxy.Carrier, clock monotonic.Clock) http.Handler {
	counter := &Counter{carrier: carrier, clock: clock}
	router := chi.NewRouter()
	router.HandleFunc("/*", counter.take)
	router.MethodNotAllowed(counter.take) // which methods there are is for the desired state to say
	return router
}

func (counter *Counter) take(writer http.ResponseWriter, incoming *http.Request) {
	req := &request.Request{Left: func(happen func()) (stop func() bool) { return context.AfterFunc(incoming.Context(), happen) }, ID: incoming.Header.Get(request.RequestHeader), Method: incoming.Method, Host: incoming.Host,
		Target: incoming.URL.RequestURI(), Key: incoming.Header.Get(request.KeyHeader)}
	if req.ID == "" || len(req.ID) > 100 {
		req.ID = uuid.NewString()
	}
	body, err := upstream.Whole(http.MaxBytesReader(writer, incoming.Body, longestBody), incoming.ContentLength)
	if err != nil {
		cause := apierror.MalformedRequest
		if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
			cause = apierror.BodyTooLarge
		}
		Refuse(writer, req.ID, apierror.New(cause, apierror.NotRun, "%v", err))
		return
	}
	// From here on the request counts as read, and gets an answer.
	req.Body, req.Headers, req.ReadAt = body, upstream.Kept(withoutOwn(incoming.Header)), counter.carrier.Moment()
	if limit := incoming.Header.Get(request.CutoffHeader); limit != "" {
		span, err := strconv.ParseInt(limit, 10, 64)
		if err != nil || span <= 0 {
			Refuse(writer, req.ID, apierror.New(apierror.MalformedRequest, apierror.NotRun, "%s is not a span in microseconds", request.CutoffHeader))
			return
		}
		req.Cutoff = counter.clock.Now() + monotonic.Micros(span)
	}
	answer, fault := counter.carrier.Passage.Carry(req)
	if fault != nil {
		Refuse(writer, req.ID, fault)
		return
	}
	headers := writer.Header()
	for _, header := range answer.Headers {
		headers.Add(header.Name, header.Value)
	}
	headers.Set(request.RequestHeader, req.ID)
	if answer.Serial > 0 {
		headers.Set(request.SerialHeader, strconv.FormatUint(answer.Serial, 10))
	}
	if incoming.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		headers.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	writer.WriteHeader(int(answer.Status))
	_, _ = writer.Write(answer.Body) // a caller that has gone can't be told
}

func withoutOwn(headers http.Header) http.Header {
	kept := headers.Clone()
	kept.Del(request.RequestHeader)
	return kept
}

// Refusal is the body of every answer that is the mesh's own.
type Refusal struct {
	Cause            uint32 `json:"cause"`
	Name             string `json:"name"`
	Verdict          string `json:"verdict"`
	RetryAfterMicros int64  `json:"retry_after_micros"`
	Detail           string `json:"detail"`
	Request          string `json:"request"`
}

// Refuse writes a fault as the mesh's own answer.
func Refuse(writer http.ResponseWriter, id string, fault *apierror.Fault) {
	headers := writer.Header()
	headers.Set("Content-Type", "application/json")
	headers.Set(request.RequestHeader, id)
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
	_ = json.NewEncoder(writer).Encode(Refusal{Cause: uint32(fault.Cause), Name: fault.Cause.Name(), Verdict: string(fault.Verdict),
		RetryAfterMicros: int64(fault.RetryAfter), Detail: fault.Detail, Request: id})
}

// Server makes the HTTP server for a door.
func Server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 60 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 64 << 10}
}
