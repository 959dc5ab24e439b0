package forward

import "sync"

// serviceCounters counts the requests in flight by service. It is safe for concurrent use.
type serviceCounters struct {
	mu     sync.Mutex // guards counts
	counts map[string]int64
}

// increment adds a request.
func (c *serviceCounters) increment(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[service]++
}

// tryIncrement adds a request if the count is below the limit, and reports whether it did.
func (c *serviceCounters) tryIncrement(service string, limit int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts[service] >= limit {
		return false
	}
	c.counts[service]++
	return true
}

// decrement removes a request.
func (c *serviceCounters) decrement(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[service]--
}
