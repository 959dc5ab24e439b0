// Package cancellation tracks the attempts of one request, so that the attempt in flight can be cancelled when the caller
// disconnects before it has a response.
//
// A request with an idempotency key isn't cancelled: the caller may send the key again and must then get the response.
package cancellation

import "sync"

// Attempt is an attempt whose response is pending.
type Attempt struct {
	ID string // as sent with the attempt
	// Proxy, Incarnation and Address identify the proxy to which the attempt was sent.
	Proxy       string
	Incarnation uint64
	Address     string
}

// Tracker tracks the attempts of one request. It is safe for concurrent use, since the caller may disconnect at any time.
type Tracker struct {
	// ignoreDisconnect is set if the request isn't cancellable.
	ignoreDisconnect bool

	mu                 sync.Mutex // guards the fields below
	callerDisconnected bool
	current            *Attempt // nil between two attempts
}

// NewTracker returns the tracker of a request. If cancellable is false, a disconnect of the caller has no effect.
func NewTracker(cancellable bool) *Tracker {
	return &Tracker{ignoreDisconnect: !cancellable}
}

// Begin records that an attempt is about to be sent. It returns false if the caller has disconnected; the attempt must then not
// be sent.
func (t *Tracker) Begin(attempt Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callerDisconnected {
		return false
	}
	t.current = &attempt
	return true
}

// End records that the attempt has ended and reports whether the caller has disconnected.
func (t *Tracker) End() (callerDisconnected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = nil
	return t.callerDisconnected
}

// CallerDisconnected records that the caller has disconnected. It returns the attempt to cancel, nil if there is none.
func (t *Tracker) CallerDisconnected() *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ignoreDisconnect {
		return nil
	}
	t.callerDisconnected = true
	return t.current
}
