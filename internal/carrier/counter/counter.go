// Package counter is the HTTP door at which callers hand in their requests.
package counter

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"snowflow/internal/carrier"
	"snowflow/internal/carrier/delivery"
	"snowflow/internal/carrier/letter"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

// longestBody bounds what is read into memory for one request; services may take less.
const longestBody = 32 << 20

// Counter is the door.
type Counter struct {
	carrier *carrier.Carrier
	clock   postmark.Clock
}

// New makes the door's handler.
func New(carrier *carrier.Carrier, clock postmark.Clock) http.Handler {
	counter := &Counter{carrier: carrier, clock: clock}
	router := chi.NewRouter()
	router.HandleFunc("/*", counter.take)
	router.MethodNotAllowed(counter.take) // which methods there are is for the desired state to say
	return router
}

func (counter *Counter) take(writer http.ResponseWriter, incoming *http.Request) {
	request := &letter.Request{Left: func(happen func()) (stop func() bool) { return context.AfterFunc(incoming.Context(), happen) }, ID: incoming.Header.Get(letter.RequestHeader), Method: incoming.Method, Host: incoming.Host,
		Target: incoming.URL.RequestURI(), Key: incoming.Header.Get(letter.KeyHeader)}
	if request.ID == "" || len(request.ID) > 100 {
		request.ID = uuid.NewString()
	}
	body, err := delivery.Whole(http.MaxBytesReader(writer, incoming.Body, longestBody), incoming.ContentLength)
	if err != nil {
		cause := seal.Unreadable
		if tooLong := new(http.MaxBytesError); errors.As(err, &tooLong) {
			cause = seal.BodyTooLarge
		}
		Refuse(writer, request.ID, seal.New(cause, seal.NotRun, "%v", err))
		return
	}
	// From here on the request counts as read, and gets an answer.
	request.Body, request.Headers, request.ReadAt = body, delivery.Kept(withoutOwn(incoming.Header)), counter.carrier.Moment()
	if limit := incoming.Header.Get(letter.CutoffHeader); limit != "" {
		span, err := strconv.ParseInt(limit, 10, 64)
		if err != nil || span <= 0 {
			Refuse(writer, request.ID, seal.New(seal.Unreadable, seal.NotRun, "%s is not a span in microseconds", letter.CutoffHeader))
			return
		}
		request.Cutoff = counter.clock.Now() + postmark.Micros(span)
	}
	answer, fault := counter.carrier.Passage.Carry(request)
	if fault != nil {
		Refuse(writer, request.ID, fault)
		return
	}
	headers := writer.Header()
	for _, header := range answer.Headers {
		headers.Add(header.Name, header.Value)
	}
	headers.Set(letter.RequestHeader, request.ID)
	if answer.Serial > 0 {
		headers.Set(letter.SerialHeader, strconv.FormatUint(answer.Serial, 10))
	}
	if incoming.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		headers.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	writer.WriteHeader(int(answer.Status))
	_, _ = writer.Write(answer.Body) // a caller that has gone can't be told
}

func withoutOwn(headers http.Header) http.Header {
	kept := headers.Clone()
	kept.Del(letter.RequestHeader)
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
func Refuse(writer http.ResponseWriter, id string, fault *seal.Fault) {
	headers := writer.Header()
	headers.Set("Content-Type", "application/json")
	headers.Set(letter.RequestHeader, id)
	if fault.RetryAfter > 0 {
		headers.Set("Retry-After", strconv.FormatInt(int64((fault.RetryAfter+postmark.Second-1)/postmark.Second), 10))
	}
	if fault.NotRun() {
		headers.Set(letter.NotExecutedHeader, "1")
	}
	if fault.Cause == seal.Draining {
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
