package breaker

import "snowflow/internal/monotonic"

// window is a sliding window over the last calls.
// Invariant: failed and slow count the marks in ring's filled part.
type window struct {
	ring   []mark
	next   int
	filled int
	failed int
	slow   int
}

type mark struct{ failed, slow bool }

func (window *window) add(entry mark, size int) {
	if len(window.ring) != size {
		*window = *window.resized(size)
	}
	if window.filled == size {
		window.remove(window.ring[window.next])
	} else {
		window.filled++
	}
	window.ring[window.next] = entry
	window.next = (window.next + 1) % size
	window.count(entry, 1)
}

// resized is a window of another size with the last marks of this one, as many as it has room for: a change of the size says nothing of
// the calls.
func (window *window) resized(size int) *window {
	fresh := newWindow(size)
	for back := min(window.filled, size); back > 0; back-- {
		fresh.add(window.ring[(window.next-back+len(window.ring))%len(window.ring)], size)
	}
	return fresh
}

func newWindow(size int) *window { return &window{ring: make([]mark, size)} }

func (window *window) remove(entry mark) { window.count(entry, -1) }

func (window *window) count(entry mark, step int) {
	if entry.failed {
		window.failed += step
	}
	if entry.slow {
		window.slow += step
	}
}

// over tells whether the window is over a threshold.
func (window *window) over(minimum int, failureRate, slowRate float64) bool {
	if window.filled < minimum || window.filled == 0 {
		return false
	}
	calls := float64(window.filled)
	return float64(window.failed) >= failureRate*calls || (window.slow > 0 && float64(window.slow) >= slowRate*calls)
}

// local is this node's own breaker, which judges while the shared record is closed or out of reach.
type local struct {
	state   string
	entered monotonic.Micros
	out     int // probes under way
	left    int // probes that may still start
	tallied int
	failed  int
}
