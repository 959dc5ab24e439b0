package configstore

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Poll renews a proxy's lease and returns the newest version if the proxy doesn't have it. Otherwise it waits for a newer version, at
// most for Timeouts.LongPoll. A request with Release set ends the lease instead. If this process isn't the primary, the response
// lists the primaries that it knows and grants no lease. The error is always nil.
func (s *Server) Poll(request *wire.ConfigPollRequest) (*wire.ConfigPollResponse, error) {
	if request.Release {
		return s.releaseLease(request), nil
	}
	host := s.options.Host
	s.recordAdoption(request)
	deadline := host.Now() + s.options.Timeouts.LongPoll
	for {
		signal := s.updates.subscribe()
		update := s.readUpdate(request)
		if !update.response.Primary {
			s.updates.unsubscribe(signal)
			return s.replicaResponse(request, update.response.Primaries), nil
		}
		remaining := deadline - host.Now()
		if update.response.Version != request.CurrentVersion || request.First || remaining <= 0 {
			s.updates.unsubscribe(signal)
			s.fillUpdate(request, update)
			return update.response, nil
		}
		signal.Wait(remaining)
		s.updates.unsubscribe(signal)
	}
}

// pollUpdate is a poll's response before the content is filled in.
type pollUpdate struct {
	response *wire.ConfigPollResponse
	// latest is the newest version, nil if there is none or the proxy has it.
	latest *wire.StoredConfig
	// base is the version that the proxy has, nil if the proxy has none or that version has been removed.
	base *wire.StoredConfig
}

// readUpdate prepares the response to a poll and, if this process is primary, grants the lease, both within one read of the
// replicated state.
func (s *Server) readUpdate(request *wire.ConfigPollRequest) pollUpdate {
	response := &wire.ConfigPollResponse{
		Primaries: s.options.Resolver.Primaries(),
		Lease:     int64(s.options.Timeouts.Lease),
		LongPoll:  int64(s.options.Timeouts.LongPoll),
	}
	update := pollUpdate{response: response}
	response.Primary = s.Member.Read(func(epoch uint64, _ monotonic.Micros) {
		response.Epoch, response.Version = epoch, s.store.LatestVersion()
		s.recordVersion(response.Version)
		if latest := s.store.Latest(); latest != nil && latest.Version != request.CurrentVersion {
			update.latest, update.base = latest, s.store.Find(request.CurrentVersion)
		}
		// The lease is granted within the read of the version, so that an apply that commits later waits for the lease.
		s.grantLease(request)
	})
	return update
}

// replicaResponse returns the response of a process that isn't the primary. With ServeStale, a proxy that has no configuration yet
// gets the newest version of this replica: it may be outdated, but lets the proxy start while there is no primary.
func (s *Server) replicaResponse(request *wire.ConfigPollRequest, primaries []*wire.Primary) *wire.ConfigPollResponse {
	response := &wire.ConfigPollResponse{Primaries: primaries}
	if request.CurrentVersion > 0 || !s.options.Timeouts.ServeStale {
		return response
	}
	s.Member.ReadStale(func() {
		if latest := s.store.Latest(); latest != nil {
			response.Version = latest.Version
			s.compressed.fillContent(response, latest, request.AcceptsCompressed)
		}
	})
	return response
}

// fillUpdate adds the newest version to a response: as a difference from the proxy's version if one is available and the proxy didn't
// request the full content, else in full. Stored versions don't change, so no lock is needed.
func (s *Server) fillUpdate(request *wire.ConfigPollRequest, update pollUpdate) {
	if update.latest == nil {
		return
	}
	response := update.response
	if !request.Full {
		response.Difference = s.differences.Difference(update.base, update.latest, request.Digest)
	}
	if response.Difference == nil {
		s.compressed.fillContent(response, update.latest, request.AcceptsCompressed)
	}
}
