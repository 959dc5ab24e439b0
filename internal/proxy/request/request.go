// Package request is a request on its way through a carrier, and what came of it.
package request

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// Names of the headers that snowflow gives meaning to.
const (
	IdempotencyKeyHeader = "X-Snowflow-Key"
	DeadlineHeader       = "X-Snowflow-Cutoff-Micros"
	NotExecutedHeader    = "X-Snowflow-Not-Executed"
	RequestIDHeader      = "X-Snowflow-Request"
	// ConfigVersionHeader names the desired state that an answer was handled by.
	ConfigVersionHeader = "X-Snowflow-Serial"
)

// Request is one request, read whole. Invariant: it isn't changed after it was read.
type Request struct {
	ID             string
	Method         string
	Host           string // as it was sent, a port too; empty where there is none
	Target         string // path and query, as it was sent
	Headers        []*wire.Header
	Body           []byte
	IdempotencyKey string
	// Deadline is this process's clock at which the caller gives up; zero leaves it to the service's limit.
	Deadline monotonic.Micros
	// RequestTarget is the request's own spelling where that must not be changed; nil has it spelled in the one way of the mesh.
	ParsedTarget *resourcepath.RequestTarget
	// IdempotencyScope names what may run once where the key alone does; empty has it made of resource and key.
	IdempotencyScope string
	// VerdictPerRequest has a refusal speak of this request only, not of its key: a later request with the key may still run.
	VerdictPerRequest bool
	// ReadAt is the latest moment of holder time that this carrier knew had passed when it read the request.
	ReadAt *wire.LeaderTimestamp
	// OnCallerLeft has something happen, on a task of its own, when the caller closes its connection before it was answered; stop ends that. Nil where that
	// can't be known.
	OnCallerLeft func(callback func()) (stop func() bool)
}

// Response is a backend's own complete answer.
type Response struct {
	Status        uint32
	Headers       []*wire.Header
	Body          []byte
	Instance      string
	ConfigVersion uint64
	// NotRun is the backend's own certain word that it did not run the request.
	NotRun bool
}

// HeaderValue finds a header's first value; names are matched as they were sent by the process's own canonical form.
func HeaderValue(headers []*wire.Header, name string) string {
	for _, header := range headers {
		if header.Name == name {
			return header.Value
		}
	}
	return ""
}
