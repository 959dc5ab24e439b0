package breaker

import "snowflow/internal/monotonic"

// window is a sliding window over the last calls.
// Invariant: failed and slow count the marks in ring's filled part.
type window struct {
	ring   []callResult
	next   int
	filled int
	failed int
	slow   int
}

type callResult struct{ failed, slow bool }

func (w *window) add(result callResult, size int) {
	if len(w.ring) != size {
		*w = *w.resized(size)
	}
	if w.filled == size {
		w.remove(w.ring[w.next])
	} else {
		w.filled++
	}
	w.ring[w.next] = result
	w.next = (w.next + 1) % size
	w.count(result, 1)
}

// resized is a window of another size with the last marks of this one, as many as it has room for: a change of the size says nothing of
// the calls.
func (w *window) resized(size int) *window {
	fresh := newWindow(size)
	for back := min(w.filled, size); back > 0; back-- {
		fresh.add(w.ring[(w.next-back+len(w.ring))%len(w.ring)], size)
	}
	return fresh
}

func newWindow(size int) *window { return &window{ring: make([]callResult, size)} }

func (w *window) remove(result callResult) { w.count(result, -1) }

func (w *window) count(result callResult, step int) {
	if result.failed {
		w.failed += step
	}
	if result.slow {
		w.slow += step
	}
}

// over tells whether the window is over a threshold.
func (w *window) exceeds(minimum int, failureRate, slowRate float64) bool {
	if w.filled < minimum || w.filled == 0 {
		return false
	}
	calls := float64(w.filled)
	return float64(w.failed) >= failureRate*calls || (w.slow > 0 && float64(w.slow) >= slowRate*calls)
}

// local is this node's own breaker, which judges while the shared record is closed or out of reach.
type localBreaker struct {
	state     string
	enteredAt monotonic.Micros
	inFlight  int // probes under way
	remaining int // probes that may still start
	completed int
	failed    int
}
