// Package apierror holds the errors of a request's way. Each says whether the request may have run.
package apierror

import (
	"fmt"

	"github.com/joomcode/errorx"

	"snowflow/internal/monotonic"
)

// Verdict says what is known about a request that did not end with the backend's own answer.
type Verdict string

const (
	// NotRun: no backend has run it, and none will under this name.
	NotRun Verdict = "not_run"
	// MayHaveRun: it may have run, or may still.
	MayHaveRun Verdict = "may_have_run"
)

var (
	space = errorx.NewNamespace("snowflow")
	// Unreachable marks a call whose message certainly never reached the other process.
	Unreachable = space.NewType("unreachable")
	// Lost marks a call that may have reached the other process; no answer came back.
	Lost = space.NewType("lost")
	// Refused marks a call the other process received and turned down.
	Refused = space.NewType("refused")
	// Invalid marks bad input.
	Invalid = space.NewType("invalid")
)

// Cause is the number of a refusal, stable across releases and listed in docs/interfaces.md.
type Cause uint32

// Fault is the error a caller is told about.
// Invariant: Verdict is NotRun only when it is certain; when in doubt it's MayHaveRun.
type Fault struct {
	Cause      Cause
	Verdict    Verdict
	RetryAfter monotonic.Micros
	Detail     string
	// Backend is true when the fault is the backend's, and so counts against its guard.
	Backend bool
	// RetryAfterMeasured is true when RetryAfter is a wait that a gate measured, not the catalogue's.
	RetryAfterMeasured bool
	// Local is true when the fault says nothing of how the backend does: it lies with the network, or a connection that it had forgotten.
	Local bool
}

func (f *Fault) Error() string {
	return fmt.Sprintf("cause %d %s (%s): %s", f.Cause, f.Cause.Name(), f.Verdict, f.Detail)
}

// New makes a fault from the catalogue's defaults.
func New(cause Cause, verdict Verdict, format string, arguments ...any) *Fault {
	entry := catalogue[cause]
	return &Fault{Cause: cause, Verdict: verdict, RetryAfter: entry.retryAfter, Detail: fmt.Sprintf(format, arguments...),
		Backend: entry.backend}
}

// NotRun reports the verdict as a boolean.
func (f *Fault) NotRun() bool { return f.Verdict == NotRun }

// Status is the HTTP status a caller sees.
func (f *Fault) Status() int { return catalogue[f.Cause].status }

// IsUnreachable tells whether a call's message certainly never reached the other process.
func IsUnreachable(err error) bool { return errorx.IsOfType(err, Unreachable) }

// IsLost tells whether a message may or may not have been delivered.
func IsLost(err error) bool { return errorx.IsOfType(err, Lost) }

// IsRefused tells whether the other process turned the call down.
func IsRefused(err error) bool { return errorx.IsOfType(err, Refused) }
