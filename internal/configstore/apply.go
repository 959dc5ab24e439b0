package configstore

import (
	"errors"

	"snowflow/internal/apierror"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// ErrUnacknowledged: the desired state may have been accepted. Asking again with the same request id is harmless.
var ErrUnacknowledged = errors.New("postmaster: outcome unknown, ask again with the same request id")

// Apply checks a desired state, has it kept in two copies, and waits until it's in force everywhere.
func (s *Server) Apply(request *wire.ConfigApplyRequest) (*wire.ConfigApplyResponse, error) {
	request, known, err := s.expandRequest(request)
	if err != nil {
		return nil, err
	}
	if !known {
		return &wire.ConfigApplyResponse{Outcome: versions.BaseUnknown}, nil
	}
	state, fieldErrors := s.options.Parse(request.Content)
	if len(fieldErrors) > 0 {
		response := &wire.ConfigApplyResponse{Outcome: versions.Invalid}
		for _, fieldError := range fieldErrors {
			response.Errors = append(response.Errors, fieldError.String())
		}
		s.options.Host.Report(eventlog.ConfigRejected, map[string]any{"faults": response.Errors})
		return response, nil
	}
	s.differences.Add(request.Content, state)
	response, err := s.replicate(request)
	if errors.Is(err, replication.ErrUnknown) {
		return nil, ErrUnacknowledged
	}
	if err != nil {
		return nil, err
	}
	if response.Outcome != versions.Accepted {
		return response, nil
	}
	s.recordVersion(response.Version)
	s.notifyAccepted()
	if request.Version > 0 && response.Version != request.Version {
		return s.acknowledge(response) // a higher one stands
	}
	s.options.Host.Report(eventlog.ConfigAccepted, map[string]any{"serial": response.Version, "digest": response.Digest})
	return s.acknowledge(response)
}

// acknowledge acknowledges an accepted state once it's in force everywhere, or, where carriers serve on, once that was waited for.
func (s *Server) acknowledge(response *wire.ConfigApplyResponse) (*wire.ConfigApplyResponse, error) {
	response.AdoptedEverywhere = s.waitForAdoption(response.Version)
	if !response.AdoptedEverywhere && !s.options.Timeouts.ServeStale {
		return nil, ErrUnacknowledged
	}
	return response, nil
}

// seen notes a serial that was accepted.
func (s *Server) recordVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.latestVersion {
		s.latestVersion, s.latestAt = version, s.options.Host.Now()
	}
}

// waitStart is the moment from which an apply of a serial waits to be in force everywhere. Where carriers serve on, that is the
// commit of the newest, as far as this process knows, so that asking again doesn't wait again.
func (s *Server) waitStart(version uint64) monotonic.Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Host.Now()
	if version > s.committedVersion {
		s.committedVersion, s.committedAt = version, now
	}
	if s.options.Timeouts.ServeStale {
		return s.committedAt
	}
	return now
}

// spread waits until a serial is in force at every carrier that may serve. While this process isn't answering it
// can't tell; when it answers again, settled has put ackFrom behind any tenure that another primary gave meanwhile.
func (s *Server) waitForAdoption(version uint64) bool {
	host := s.options.Host
	started, deadline := host.Now(), s.waitStart(version)+s.options.Timeouts.acknowledgeTimeout()
	s.updates.notifyAll()
	for {
		wait := 100 * monotonic.Millisecond
		signal := s.adoptions.subscribe()
		if s.Member.Serving() {
			names, behind := s.proxiesBehind(version)
			if len(names) == 0 && s.Member.Serving() {
				s.adoptions.unsubscribe(signal)
				host.Report(eventlog.ConfigPropagated, map[string]any{"serial": version, "micros": int64(host.Now() - started)})
				return true
			}
			wait = min(max(behind, monotonic.Millisecond), 250*monotonic.Millisecond)
		}
		remaining := deadline - host.Now()
		if remaining > 0 {
			signal.Wait(min(wait, remaining))
		}
		s.adoptions.unsubscribe(signal)
		if remaining <= 0 {
			return false
		}
	}
}

// ReadStates gives one accepted state, the newest for serial zero, or the list of all without their contents.
func (s *Server) ReadStates(request *wire.ConfigReadRequest) (*wire.ConfigReadResponse, error) {
	response := &wire.ConfigReadResponse{}
	var base *wire.StoredConfig
	done := s.Member.Read(func(uint64, monotonic.Micros) {
		if request.List {
			response.Found = true
			for _, stored := range s.store.All() {
				response.Versions = append(response.Versions, &wire.StoredConfig{Version: stored.Version, Digest: stored.Digest, Request: stored.Request})
			}
			return
		}
		version := request.Version
		if version == 0 {
			version = s.store.LatestVersion()
		}
		if stored := s.store.Find(version); stored != nil {
			response.Found, response.Versions = true, []*wire.StoredConfig{stored}
			base = s.store.FindDigest(request.BaseDigest)
		}
	})
	if !done {
		return nil, apierror.Refused.New("not the primary")
	}
	if request.Deltas && len(response.Versions) == 1 && !request.List {
		response.Versions[0] = deltaState(response.Versions[0], base)
	}
	return response, nil
}
