// Package apierror defines the errors of a request that passes through the mesh.
//
// There are two kinds. An Error is returned to a caller: it has a numbered cause, which determines the HTTP status, and a verdict on
// whether the request may have run. Unreachable, Lost, Refused and Invalid are the errors of a call between two processes of the
// mesh, from which such a verdict is derived.
package apierror

import (
	"fmt"

	"github.com/joomcode/errorx"

	"snowflow/internal/monotonic"
)

// Verdict says whether a request that received no response from a backend may have run. Its values are sent to callers.
type Verdict string

const (
	// NotRun means that no backend has run the request, and that none will.
	NotRun Verdict = "not_run"
	// MayHaveRun means that a backend may have run the request, or may still.
	MayHaveRun Verdict = "may_have_run"
)

var namespace = errorx.NewNamespace("snowflow")

// The types of errors of a call between two processes. IsUnreachable, IsLost and IsRefused test for them.
var (
	// Unreachable means that the request certainly never reached the other process.
	Unreachable = namespace.NewType("unreachable")
	// Lost means that the request may have reached the other process, but no reply came back.
	Lost = namespace.NewType("lost")
	// Refused means that the other process received the request and refused it.
	Refused = namespace.NewType("refused")
	// Invalid means that the request was malformed.
	Invalid = namespace.NewType("invalid")
)

// Error is an error that is returned to a caller.
//
// Invariant: Verdict is NotRun only if that is certain.
type Error struct {
	Cause      Cause
	Verdict    Verdict
	RetryAfter monotonic.Micros // zero if a retry is useless
	Detail     string
	// Backend means that the backend caused the error, so that it counts as a failure in the circuit breaker.
	Backend bool
	// RetryAfterMeasured means that admission control measured RetryAfter; otherwise it is the catalogue's value for the cause.
	RetryAfterMeasured bool
	// HealthNeutral means that the error says nothing about the backend's health: it was caused by the network, by an idle connection
	// that the backend had closed, or by the proxy itself.
	HealthNeutral bool
}

// New returns an error with the catalogue's RetryAfter and Backend for the cause. The detail is formatted as by fmt.Sprintf.
func New(cause Cause, verdict Verdict, format string, arguments ...any) *Error {
	entry := catalogue[cause]
	return &Error{Cause: cause, Verdict: verdict, RetryAfter: entry.retryAfter, Detail: fmt.Sprintf(format, arguments...),
		Backend: entry.backend}
}

// Error returns the cause, the verdict and the detail in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("cause %d %s (%s): %s", e.Cause, e.Cause.Name(), e.Verdict, e.Detail)
}

// NotRun reports whether the request certainly has not run.
func (e *Error) NotRun() bool { return e.Verdict == NotRun }

// Status returns the HTTP status of the response to the caller.
func (e *Error) Status() int { return catalogue[e.Cause].status }

// IsUnreachable reports whether an error is of type Unreachable.
func IsUnreachable(err error) bool { return errorx.IsOfType(err, Unreachable) }

// IsLost reports whether an error is of type Lost.
func IsLost(err error) bool { return errorx.IsOfType(err, Lost) }

// IsRefused reports whether an error is of type Refused.
func IsRefused(err error) bool { return errorx.IsOfType(err, Refused) }
