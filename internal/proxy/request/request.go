// Package request holds a caller's request and a backend's response as they go through a proxy. Both are complete: headers
// and body are in memory.
package request

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// The HTTP headers that the mesh interprets or sets. Their names are stable.
const (
	// IdempotencyKeyHeader holds the key under which a request runs at most once.
	IdempotencyKeyHeader = "X-Snowflow-Key"
	// DeadlineHeader holds the microseconds for which the caller waits.
	DeadlineHeader = "X-Snowflow-Cutoff-Micros"
	// NotExecutedHeader is set in a response if the request has certainly not run.
	NotExecutedHeader = "X-Snowflow-Not-Executed"
	// TenantKeyHeader holds the key of the tenant that a request is of. Backends aren't shown it.
	TenantKeyHeader = "X-Snowflow-Caller-Key"
	// TenantHeader holds, in a request to a backend, the name of the tenant whose key the request bears.
	TenantHeader = "X-Snowflow-Caller-Tenant"
	// RequestIDHeader holds the request's ID, in the request and in its response.
	RequestIDHeader = "X-Snowflow-Request"
	// ConfigVersionHeader holds, in a response, the version of the configuration by which the request was forwarded.
	ConfigVersionHeader = "X-Snowflow-Serial"
)

// Request is one caller's request. Invariant: it isn't changed once read.
type Request struct {
	ID             string
	Method         string
	Host           string // as sent, with the port if there was one; may be empty
	Target         string // path and query, as sent
	Headers        []*wire.Header
	Body           []byte
	IdempotencyKey string // empty if it has none
	// TenantKeys are the tenants' keys that the request bears. Headers has none of them.
	TenantKeys []string
	// Deadline is when the caller gives up, on the clock of this process in microseconds; 0 leaves it to the service's
	// configuration.
	Deadline monotonic.Micros
	// ParsedTarget is the target if its spelling must not be changed; if nil, Target is converted to its canonical spelling.
	ParsedTarget *resourcepath.RequestTarget
	// IdempotencyScope names what may run once; if empty, it is made of the resource and the key.
	IdempotencyScope string
	// VerdictPerRequest makes the verdict of a fault one on this request only, not on its key: a later request with the key
	// may still run.
	VerdictPerRequest bool
	// ReadAt is a time of the registry leader's clock that had certainly passed when the request was read; nil if none is known.
	ReadAt *wire.LeaderTimestamp
	// OnCallerDisconnect registers a callback that is called, on a goroutine of its own, when the caller disconnects before it has a response. The
	// returned stop prevents that, and reports whether it did. Nil if a disconnect can't be seen.
	OnCallerDisconnect func(callback func()) (stop func() bool)
}

// Response is a backend's complete response.
type Response struct {
	Status        uint32 // HTTP status
	Headers       []*wire.Header
	Body          []byte
	Instance      string // the backend
	ConfigVersion uint64 // by which the request was forwarded; 0 if that isn't known
	// NotRun is true if the backend itself reports that it has certainly not run the request.
	NotRun bool
}

// HeaderValue returns the value of the first header with a name, empty if there is none. Names are compared exactly: the
// process stores them in canonical form.
func HeaderValue(headers []*wire.Header, name string) string {
	for _, header := range headers {
		if header.Name == name {
			return header.Value
		}
	}
	return ""
}
