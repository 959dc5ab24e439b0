// Package uplink admits large responses to a host's network link: it tracks how long the link is taken by the responses that are being
// sent and by the reservations of requests in flight. It has no clock of its own: callers pass the time.
package uplink

import (
	"sync"

	"snowflow/internal/monotonic"
)

const (
	// largeResponse is the usual size in bytes from which a route's responses may be rejected. Smaller ones are only counted.
	largeResponse = 8 << 10
	// sizeWindow is the number of responses over which a route's usual size is taken, the newest weighing most.
	sizeWindow = 16
	// maxRoutes bounds the number of routes with a usual size.
	maxRoutes = 4096
	// bitsPerByte converts a capacity in megabits a second, which are bits a microsecond, to bytes a microsecond.
	bitsPerByte = 8
	// overhead is the number of bytes on the link that are counted for each byte of a response: frames, headers, acknowledgements, and
	// a reserve for all other traffic, which must not wait behind large responses.
	overhead = 1.5
)

// Uplink tracks one host's link. It is safe for concurrent use.
type Uplink struct {
	rate float64 // bytes a microsecond; zero for no limit

	mu sync.Mutex // guards the fields below
	// freeAt is when the link has sent all responses handed to it, if it sends at its rate and nothing else.
	freeAt monotonic.Micros
	// reserved is the sum of the usual sizes of the responses that were admitted and are not handed to the link yet.
	reserved float64
	sizes    map[string]float64 // usual size in bytes, by route
}

// New returns an uplink of a capacity in megabits a second; zero for no limit.
func New(megabits float64) *Uplink {
	return &Uplink{rate: megabits / bitsPerByte, sizes: map[string]float64{}}
}

// Admit reserves the link for a response of the route's usual size, or rejects it with the wait until the link is free if the response
// would not be sent within the limit. The size of an admitted response must be passed to Done.
func (u *Uplink) Admit(now monotonic.Micros, route string, limit monotonic.Micros) (size float64, wait monotonic.Micros, admitted bool) {
	if u.rate == 0 {
		return 0, 0, true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	size = u.sizes[route]
	wait = max(0, u.freeAt-now) + u.transmitTime(u.reserved)
	if size >= largeResponse && wait+u.transmitTime(size) > limit {
		return 0, wait, false
	}
	u.reserved += size
	return size, wait, true
}

// Done replaces a reservation by the number of bytes that are sent, zero for a request without a response.
func (u *Uplink) Done(now monotonic.Micros, route string, size float64, bytes int) {
	if u.rate == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reserved = max(0, u.reserved-size)
	if bytes == 0 {
		return
	}
	u.freeAt = max(u.freeAt, now) + u.transmitTime(float64(bytes))
	known, present := u.sizes[route]
	if !present && len(u.sizes) >= maxRoutes {
		clear(u.sizes)
	}
	if !present {
		known = float64(bytes)
	}
	u.sizes[route] = known + (float64(bytes)-known)/sizeWindow
}

// transmitTime returns how long the link takes to send a response. It must not be called without a limit.
func (u *Uplink) transmitTime(bytes float64) monotonic.Micros {
	return monotonic.Micros(bytes * overhead / u.rate)
}
