// Package cancellation follows the attempts of one request, so that the one in flight can be cancelled when the caller
// disconnects before it has a response.
//
// A request with an idempotency key isn't cancelled: the caller may send the key again and must then get the response.
package cancellation

import "sync"

// Attempt is an attempt that waits for a response.
type Attempt struct {
	ID string // as it was sent with the request
	// Proxy, Incarnation and Address are those of the proxy that the attempt was sent to.
	Proxy       string
	Incarnation uint64
	Address     string
}

// Tracker follows the attempts of one request. It is safe for concurrent use: the caller may disconnect at any time.
type Tracker struct {
	// ignoreCaller makes a disconnect change nothing.
	ignoreCaller bool

	mu         sync.Mutex // guards what follows
	callerLeft bool
	current    *Attempt // nil between two attempts
}

// NewTracker returns the tracker of a request. With cancellable false a disconnect changes nothing.
func NewTracker(cancellable bool) *Tracker {
	return &Tracker{ignoreCaller: !cancellable}
}

// Begin records that an attempt is about to be sent. It returns false if the caller has disconnected: then the attempt must
// not be sent.
func (t *Tracker) Begin(attempt Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.callerLeft {
		return false
	}
	t.current = &attempt
	return true
}

// End records that the attempt has ended and reports whether the caller disconnected meanwhile.
func (t *Tracker) End() (callerLeft bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current = nil
	return t.callerLeft
}

// CallerDisconnected records that the caller has disconnected. It returns the attempt that is to be cancelled, nil if there is none.
func (t *Tracker) CallerDisconnected() *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ignoreCaller {
		return nil
	}
	t.callerLeft = true
	return t.current
}
