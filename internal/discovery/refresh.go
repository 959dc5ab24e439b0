package discovery

import (
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// refreshInterval is the minimum time between two refreshes of a process, no matter how many of its tasks call Refresh.
	refreshInterval = 100 * monotonic.Millisecond
	// refreshTimeout is the timeout of one discover request.
	refreshTimeout = 500 * monotonic.Millisecond
)

// Register adds the handler for discover requests.
func (r *Resolver) Register(handlers host.Handlers) {
	host.Handle(handlers, wire.Kind_discover, r.handleDiscover)
}

// handleDiscover stores the addresses that the requester knows and returns those that this process knows. The response to a health check
// is empty, since health checks are sent for every long request, often between zones.
func (r *Resolver) handleDiscover(request *wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
	r.AddPeers(request.Known)
	if request.HealthCheck {
		return &wire.DiscoverResponse{}, nil
	}
	return &wire.DiscoverResponse{Known: r.Peers(), Primaries: r.Primaries()}, nil
}

// Run refreshes and stores the addresses periodically. Each pause is the interval plus a random part of up to a quarter. It never returns.
func (r *Resolver) Run(interval monotonic.Micros) {
	for {
		r.Refresh()
		r.store.save(r.Peers())
		r.host.Sleep(interval + monotonic.Micros(r.host.Random()%uint64(interval/4+1)))
	}
}

// Refresh requests the addresses and primaries that the next target knows; targets are the seeds and the known processes. It returns at
// once if the last request was sent within refreshInterval, or if every target has a request in flight. Targets that did not answer
// their last request are queried in a separate rotation and in the background, so that they delay no caller, no matter how many they are.
func (r *Resolver) Refresh() {
	if !r.beginQuery() {
		return
	}
	targets := r.targets()
	responsive, unresponsive := r.takeTarget(targets, false), r.takeTarget(targets, true)
	if responsive == "" {
		r.query(unresponsive)
		return
	}
	if unresponsive != "" {
		r.host.Go(func() { r.query(unresponsive) })
	}
	r.query(responsive)
}

// query requests the addresses and primaries that a target knows, and releases the target. It does nothing for an empty target.
func (r *Resolver) query(target string) {
	if target == "" {
		return
	}
	request, response := &wire.DiscoverRequest{}, &wire.DiscoverResponse{}
	if r.self != nil {
		request.Known = []*wire.PeerAddress{r.self}
	}
	err := r.host.Call(target, wire.Kind_discover, request, response, refreshTimeout)
	r.releaseTarget(target, err == nil)
	if err == nil {
		r.AddPeers(response.Known)
		r.ObservePrimaries(response.Primaries)
	}
}

// beginQuery reports whether refreshInterval has passed since the last query. If so, it records the current one.
func (r *Resolver) beginQuery() bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := r.host.Now()
	if r.lastQuery != 0 && now-r.lastQuery < refreshInterval {
		return false
	}
	r.lastQuery = now
	return true
}
