package host

import (
	"slices"
	"sync"

	"snowflow/internal/monotonic"
)

// gatherResults collects the results of the calls that one Gather makes.
type gatherResults[Reply any] struct {
	signal Signal // fires after each result

	lock     sync.Mutex // guards the fields below
	replies  map[string]Reply
	failures int
	closed   bool // whether further results are ignored
}

func (g *gatherResults[Reply]) add(name string, reply Reply, err error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.closed {
		return
	}
	if err != nil {
		g.failures++
	} else {
		g.replies[name] = reply
	}
	g.signal.Fire()
}

// closeIf returns what done returns. Once that is true, add ignores further results.
func (g *gatherResults[Reply]) closeIf(done func() bool) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.closed = done()
	return g.closed
}

// Gather makes one call per name, each in its own task. It returns the replies by name as soon as enough returns true for the
// replies and failures so far, all calls have returned, or the timeout has passed. Later replies are ignored. The calls start in
// the order of the names, so that simulated runs are reproducible.
func Gather[Reply any](host Host, names []string, timeout monotonic.Micros, call func(name string) (Reply, error),
	enough func(replies map[string]Reply, failures int) bool) map[string]Reply {
	ordered := slices.Sorted(slices.Values(names))
	results := &gatherResults[Reply]{signal: host.NewSignal(), replies: map[string]Reply{}}
	for _, name := range ordered {
		host.Go(func() {
			reply, err := call(name)
			results.add(name, reply, err)
		})
	}
	deadline := host.Now() + timeout
	done := func() bool {
		allReturned := len(results.replies)+results.failures == len(ordered)
		return allReturned || enough(results.replies, results.failures) || host.Now() >= deadline
	}
	for !results.closeIf(done) {
		results.signal.Wait(deadline - host.Now())
	}
	return results.replies
}
