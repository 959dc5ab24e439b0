// Package request defines a caller's request and a backend's response as a proxy holds them: complete, with headers and body in
// memory.
package request

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// The HTTP headers that the mesh interprets or sets. Their names are part of the API.
const (
	// IdempotencyKeyHeader holds the idempotency key, under which a request runs at most once.
	IdempotencyKeyHeader = "X-Snowflow-Key"
	// DeadlineHeader holds the time for which the caller waits, in microseconds.
	DeadlineHeader = "X-Snowflow-Cutoff-Micros"
	// NotExecutedHeader is set in a response if the request certainly hasn't run.
	NotExecutedHeader = "X-Snowflow-Not-Executed"
	// TenantKeyHeader holds the key of the tenant that sends the request. It isn't forwarded to backends.
	TenantKeyHeader = "X-Snowflow-Caller-Key"
	// TenantHeader holds, in a request to a backend, the name of the tenant that sent the request.
	TenantHeader = "X-Snowflow-Caller-Tenant"
	// RequestIDHeader holds the request's ID, in the request and in its response.
	RequestIDHeader = "X-Snowflow-Request"
	// ConfigVersionHeader holds, in a response, the version of the configuration by which the request was forwarded.
	ConfigVersionHeader = "X-Snowflow-Serial"
)

// Request is a caller's request. Invariant: it isn't changed once it has been read.
type Request struct {
	ID             string
	Method         string
	Host           string // as sent, with the port if there was one; may be empty
	Target         string // path and query, as sent
	Headers        []*wire.Header
	Body           []byte
	IdempotencyKey string // empty if it has none
	// TenantKeys are all tenant keys that the request carries. Headers contains none of them.
	TenantKeys []string
	// Deadline is when the caller gives up, on the clock of this process in microseconds. If 0, the service's configuration
	// determines the deadline.
	Deadline monotonic.Micros
	// ParsedTarget is the target if its spelling must not be changed. If nil, Target is used in its canonical form.
	ParsedTarget *resourcepath.RequestTarget
	// IdempotencyScope identifies what may run only once. If empty, it is derived from the resource and the idempotency key.
	IdempotencyScope string
	// VerdictPerRequest limits the verdict of a fault to this request: another request with the same idempotency key may still run.
	// If it is false, NotRun also means that no request with the key that was read earlier can run.
	VerdictPerRequest bool
	// ReadAt is a lower bound on the registry leader's clock at the time the request was read; nil if none is known.
	ReadAt *wire.LeaderTimestamp
	// OnCallerDisconnect registers a callback that is called, in its own goroutine, when the caller disconnects before it has a
	// response. The returned stop prevents the call and reports whether it did. OnCallerDisconnect is nil if a disconnect can't
	// be detected.
	OnCallerDisconnect func(callback func()) (stop func() bool)
}

// Response is a backend's complete response.
type Response struct {
	Status        uint32 // HTTP status
	Headers       []*wire.Header
	Body          []byte
	Instance      string // the backend's instance
	ConfigVersion uint64 // the configuration version by which the request was forwarded; 0 if unknown
	// NotRun is true if the backend itself reports that it certainly hasn't run the request.
	NotRun bool
}

// HeaderValue returns the value of the first header with the given name, empty if there is none. Names are compared exactly, since
// they are stored in canonical form.
func HeaderValue(headers []*wire.Header, name string) string {
	for _, header := range headers {
		if header.Name == name {
			return header.Value
		}
	}
	return ""
}
