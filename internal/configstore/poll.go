package configstore

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Poll renews a carrier's tenure, with the newest desired state if the carrier hasn't got it. It waits a while for news.
func (s *Server) Poll(request *wire.ConfigPollRequest) (*wire.ConfigPollResponse, error) {
	host := s.options.Host
	if request.Release {
		return s.releaseLease(request), nil
	}
	s.recordAdoption(request)
	deadline := host.Now() + s.options.Timeouts.LongPoll
	for {
		signal := s.updates.subscribe()
		response := &wire.ConfigPollResponse{Primaries: s.options.Resolver.Primaries(), Lease: int64(s.options.Timeouts.Lease), LongPoll: int64(s.options.Timeouts.LongPoll)}
		var base, latest *wire.StoredConfig
		response.Primary = s.Member.Read(func(epoch uint64, _ monotonic.Micros) {
			response.Epoch, response.Version = epoch, s.store.LatestVersion()
			s.recordVersion(response.Version)
			if stored := s.store.Latest(); stored != nil && stored.Version != request.CurrentVersion {
				latest, base = stored, s.store.Find(request.CurrentVersion)
			}
			// Noted under the same look that read the serial: an apply that comes later waits for this tenure.
			s.grantLease(request)
		})
		if !response.Primary {
			s.updates.unsubscribe(signal)
			return s.replicaResponse(request, response.Primaries), nil
		}
		remaining := deadline - host.Now()
		if response.Version != request.CurrentVersion || request.First || remaining <= 0 {
			s.updates.unsubscribe(signal)
			s.fillUpdate(request, base, latest, response)
			return response, nil
		}
		signal.Wait(remaining)
		s.updates.unsubscribe(signal)
	}
}

// hearsay is the answer of a postmaster that isn't the primary. A carrier that has nothing yet and may serve on while out of touch is
// given what this copy holds: it's better served by that than by nothing until there's a primary again.
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

// content puts the newest state into an answer: what it changes where that is known and wanted, otherwise the whole. The states don't
// change, so no lock is needed for them.
func (s *Server) fillUpdate(request *wire.ConfigPollRequest, base, latest *wire.StoredConfig, response *wire.ConfigPollResponse) {
	if latest == nil {
		return
	}
	if !request.Full {
		response.Difference = s.differences.Difference(base, latest, request.Digest)
	}
	if response.Difference == nil {
		s.compressed.fillContent(response, latest, request.AcceptsCompressed)
	}
}
