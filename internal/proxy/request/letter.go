// Package request is a request on its way through a carrier, and what came of it.
package request

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// Names of the headers that snowflow gives meaning to.
const (
	KeyHeader         = "X-Snowflow-Key"
	CutoffHeader      = "X-Snowflow-Cutoff-Micros"
	NotExecutedHeader = "X-Snowflow-Not-Executed"
	RequestHeader     = "X-Snowflow-Request"
	// SerialHeader names the desired state that an answer was handled by.
	SerialHeader = "X-Snowflow-Serial"
)

// Request is one request, read whole. Invariant: it isn't changed after it was read.
type Request struct {
	ID      string
	Method  string
	Host    string // as it was sent, a port too; empty where there is none
	Target  string // path and query, as it was sent
	Headers []*wire.Header
	Body    []byte
	Key     string
	// Cutoff is this process's clock at which the caller gives up; zero leaves it to the service's limit.
	Cutoff monotonic.Micros
	// RequestTarget is the request's own spelling where that must not be changed; nil has it spelled in the one way of the mesh.
	Address *resourcepath.RequestTarget
	// Scope names what may run once where the key alone does; empty has it made of resource and key.
	Scope string
	// Alone has a refusal speak of this request only, not of its key: a later request with the key may still run.
	Alone bool
	// ReadAt is the latest moment of holder time that this carrier knew had passed when it read the request.
	ReadAt *wire.LeaderTimestamp
	// Left has something happen, on a task of its own, when the caller closes its connection before it was answered; stop ends that. Nil where that
	// can't be known.
	Left func(happen func()) (stop func() bool)
}

// Answer is a backend's own complete answer.
type Answer struct {
	Status   uint32
	Headers  []*wire.Header
	Body     []byte
	Instance string
	Serial   uint64
	// NotRun is the backend's own certain word that it did not run the request.
	NotRun bool
}

// Header finds a header's first value; names are matched as they were sent by the process's own canonical form.
func Header(headers []*wire.Header, name string) string {
	for _, header := range headers {
		if header.Name == name {
			return header.Value
		}
	}
	return ""
}
