// Package uplink is the admission of large answers to a machine's own link: how much of it is taken by answers on their way and
// by those to come. It's a pure state machine; its owner gives it the time.
package uplink

import (
	"sync"

	"snowflow/internal/monotonic"
)

const (
	// large is the usual size in bytes from which a route's answers are admitted by the link; smaller ones only count.
	largeResponse = 8 << 10
	// memory is the number of answers over which a route's usual size is taken, the newest weighing most.
	sizeWindow = 16
	// maxRoutes bounds what is kept by route.
	maxRoutes = 4096
	// overhead is what a byte of an answer counts for on the link: frames, headers and acknowledgements, and room for all that isn't
	// counted, which must not wait behind large answers.
	overhead = 1.5
)

// Uplink counts one machine's link.
// Invariants: promised is the sum of the usual sizes of the answers that were admitted and aren't there yet; free is when the
// link has sent all that was handed to it, if it sends at its rate and nothing else.
type Uplink struct {
	rate     float64 // bytes a microsecond; zero for a link that isn't counted
	mu       sync.Mutex
	freeAt   monotonic.Micros
	reserved float64
	sizes    map[string]float64
}

// New makes the count of a link of so many megabits a second; zero for one that isn't counted.
func New(megabits float64) *Uplink { return &Uplink{rate: megabits / 8, sizes: map[string]float64{}} }

// Admit takes a request whose answer is to be on its way within a limit, or tells how long the link is taken. size must be given
// back to Done.
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

// Done notes that an answer of so many bytes goes out, none for a request that had no answer.
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

func (u *Uplink) transmitTime(bytes float64) monotonic.Micros {
	return monotonic.Micros(bytes * overhead / u.rate)
}
