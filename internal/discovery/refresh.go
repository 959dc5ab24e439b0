package discovery

import (
	"slices"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// refreshInterval is the least time between two discover requests of a process, however many of its tasks call Refresh.
	refreshInterval = 100 * monotonic.Millisecond
	// refreshTimeout bounds one discover request.
	refreshTimeout = 500 * monotonic.Millisecond
)

// Register adds the handler of discover requests.
func (r *Resolver) Register(handlers host.Handlers) {
	host.Handle(handlers, wire.Kind_discover, r.handleDiscover)
}

// handleDiscover adds what the requester knows and returns what is known here. A health check gets an empty response: it is
// sent for every long request, often between zones.
func (r *Resolver) handleDiscover(request *wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
	r.AddPeers(request.Known)
	if request.HealthCheck {
		return &wire.DiscoverResponse{}, nil
	}
	return &wire.DiscoverResponse{Known: r.Peers(), Primaries: r.Primaries()}, nil
}

// Run refreshes and stores the addresses at an interval, lengthened by up to a quarter at random. It never returns.
func (r *Resolver) Run(interval monotonic.Micros) {
	for {
		r.Refresh()
		r.store.save(r.Peers())
		r.host.Sleep(interval + monotonic.Micros(r.host.Random()%uint64(interval/4+1)))
	}
}

// Refresh requests the addresses and primaries that the next seed or known process knows. It returns at once if the last request
// was sent within refreshInterval, or if every target has a request in flight.
func (r *Resolver) Refresh() {
	if !r.beginQuery() {
		return
	}
	target := r.takeTarget(r.targets())
	if target == "" {
		return
	}
	defer r.releaseTarget(target)
	request, response := &wire.DiscoverRequest{}, &wire.DiscoverResponse{}
	if r.self != nil {
		request.Known = []*wire.PeerAddress{r.self}
	}
	if r.host.Call(target, wire.Kind_discover, request, response, refreshTimeout) == nil {
		r.AddPeers(response.Known)
		r.ObservePrimaries(response.Primaries)
	}
}

// beginQuery reports whether refreshInterval has passed since the last query, and counts the present one.
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

// targets returns the addresses to send discover requests to: the seeds, then the other known addresses.
func (r *Resolver) targets() []string {
	r.lock.Lock()
	targets := slices.Clone(r.seeds)
	r.lock.Unlock()
	for _, known := range r.Peers() {
		isSelf := r.self != nil && known.Name == r.self.Name
		if !isSelf && !slices.Contains(targets, known.Address) {
			targets = append(targets, known.Address)
		}
	}
	return targets
}

// takeTarget chooses the next target in turn and marks it pending. It skips those that are pending, since others may answer, and
// returns an empty string if there is no target or all are pending.
func (r *Resolver) takeTarget(targets []string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	for range targets {
		target := targets[r.nextTarget%len(targets)]
		r.nextTarget++
		if !r.pending[target] {
			r.pending[target] = true
			return target
		}
	}
	return ""
}

// releaseTarget marks a target as not pending, so that it may be chosen again.
func (r *Resolver) releaseTarget(target string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	delete(r.pending, target)
}
