package breaker

// window is a sliding window over the results of the last calls.
//
// Invariant: failed and slow count the results in the filled part of the ring.
type window struct {
	results []callResult // ring buffer
	next    int          // index for the next result
	filled  int          // number of results in the ring
	failed  int
	slow    int
}

// callResult is the result of one call.
type callResult struct{ failed, slow bool }

func newWindow(size int) *window { return &window{results: make([]callResult, size)} }

// add adds a result, which replaces the oldest one if the window is full. It first resizes the window to size if necessary.
func (w *window) add(result callResult, size int) {
	if len(w.results) != size {
		*w = *w.resized(size)
	}
	if w.filled == size {
		w.adjustCounts(w.results[w.next], -1)
	} else {
		w.filled++
	}
	w.results[w.next] = result
	w.next = (w.next + 1) % size
	w.adjustCounts(result, 1)
}

// resized returns a window of another size with as many of the most recent results as fit. A change of the size doesn't
// invalidate them.
func (w *window) resized(size int) *window {
	resized := newWindow(size)
	for back := min(w.filled, size); back > 0; back-- {
		resized.add(w.results[(w.next-back+len(w.results))%len(w.results)], size)
	}
	return resized
}

// adjustCounts adds step to the counts that the result belongs to.
func (w *window) adjustCounts(result callResult, step int) {
	if result.failed {
		w.failed += step
	}
	if result.slow {
		w.slow += step
	}
}

// exceedsThreshold reports whether the window holds at least minimumCalls and the share of failed or slow calls reaches its rate.
func (w *window) exceedsThreshold(minimumCalls int, failureRate, slowRate float64) bool {
	if w.filled < minimumCalls || w.filled == 0 {
		return false
	}
	calls := float64(w.filled)
	return float64(w.failed) >= failureRate*calls || (w.slow > 0 && float64(w.slow) >= slowRate*calls)
}
