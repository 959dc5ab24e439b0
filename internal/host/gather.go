package host

import (
	"slices"
	"sync"

	"snowflow/internal/monotonic"
)

// gathering collects the results of Gather's tasks.
type gathering[Reply any] struct {
	signal Signal // fires after each result

	lock     sync.Mutex // guards the fields below
	replies  map[string]Reply
	failures int
	closed   bool // whether later results are ignored
}

func (g *gathering[Reply]) add(name string, reply Reply, err error) {
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

// closeIf ignores later results and reports true if done does.
func (g *gathering[Reply]) closeIf(done func() bool) bool {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.closed = done()
	return g.closed
}

// Gather makes one call per name in tasks of their own. It returns the replies by name as soon as enough reports true for those
// that there are, all calls have returned, or the timeout has passed. Later replies are ignored. Calls are started in the order
// of the names, so that simulated runs repeat.
func Gather[Reply any](host Host, names []string, timeout monotonic.Micros, call func(name string) (Reply, error),
	enough func(replies map[string]Reply, failures int) bool) map[string]Reply {
	ordered := slices.Sorted(slices.Values(names))
	results := &gathering[Reply]{signal: host.NewSignal(), replies: map[string]Reply{}}
	for _, name := range ordered {
		host.Go(func() {
			reply, err := call(name)
			results.add(name, reply, err)
		})
	}
	deadline := host.Now() + timeout
	done := func() bool {
		all := len(results.replies)+results.failures == len(ordered)
		return all || enough(results.replies, results.failures) || host.Now() >= deadline
	}
	for !results.closeIf(done) {
		results.signal.Wait(deadline - host.Now())
	}
	return results.replies
}
