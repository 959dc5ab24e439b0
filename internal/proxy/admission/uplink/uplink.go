// Package uplink admits requests with large responses as far as a host's network link has capacity for them. It tracks how long the
// link will be busy with the responses being sent and with those for which requests in flight have reserved capacity. Callers pass
// the time.
package uplink

import (
	"sync"

	"snowflow/internal/monotonic"
)

const (
	// largeResponse is a size in bytes. The requests of a route may be rejected only if its responses usually have at least this
	// size; smaller responses only count as traffic.
	largeResponse = 8 << 10
	// sizeWindow is the number of responses over which a route's usual size is averaged; the newest ones have the most weight.
	sizeWindow = 16
	// maxRoutes bounds the number of routes whose usual size is stored.
	maxRoutes = 4096
	// bitsPerByte converts a capacity in megabits per second, which equals bits per microsecond, to bytes per microsecond.
	bitsPerByte = 8
	// overhead is the number of bytes on the link that are counted for each byte of a response. It covers frames, headers and
	// acknowledgements, and a reserve for all other traffic, which must not wait behind large responses.
	overhead = 1.5
)

// Uplink tracks one host's link. It is safe for concurrent use.
type Uplink struct {
	rate float64 // bytes per microsecond; zero for no limit

	mu sync.Mutex // guards the fields below
	// freeAt is when the link will have sent all responses passed to it so far, at its full rate and without other traffic.
	freeAt monotonic.Micros
	// reserved is the sum of the usual sizes of the responses that were admitted and have not been passed to the link yet.
	reserved float64
	sizes    map[string]float64 // usual size in bytes, by route
}

// New returns an uplink with a capacity in megabits per second; zero for no limit.
func New(megabits float64) *Uplink {
	return &Uplink{rate: megabits / bitsPerByte, sizes: map[string]float64{}}
}

// Admit reserves the link for a response of the route's usual size. If such a response would not be sent within the limit, Admit
// rejects it and returns the time until the link is free. The size that Admit returns for an admitted response must be passed to Done.
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

// Done replaces a reservation with the number of bytes that are actually sent; zero for a request without a response.
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

// transmitTime returns how long the link takes to send a response. It must not be called if the link has no limit.
func (u *Uplink) transmitTime(bytes float64) monotonic.Micros {
	return monotonic.Micros(bytes * overhead / u.rate)
}
