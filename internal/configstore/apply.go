package configstore

import (
	"errors"

	"snowflow/internal/config"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

const (
	// adoptionRecheck is the interval at which a waiting apply checks again while this process doesn't serve as primary.
	adoptionRecheck = 100 * monotonic.Millisecond
	// maxAdoptionRecheck is the longest interval between two checks of the leases while this process serves as primary.
	maxAdoptionRecheck = 250 * monotonic.Millisecond
)

// ErrUnacknowledged means that the configuration may have been accepted. Applying it again with the same request ID or version
// is harmless and gives the outcome.
var ErrUnacknowledged = errors.New("postmaster: outcome unknown, ask again with the same request id")

// Apply validates a configuration, replicates it, and waits until the proxies have adopted it. The package documentation describes
// what the outcome versions.Accepted guarantees. A rejected configuration has another outcome and no error. Errors are
// ErrUnacknowledged and, if this process isn't the primary, those of package apierror.
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
		return s.reject(fieldErrors), nil
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
	// An apply that names a version below the newest is acknowledged but changes nothing, so no event is reported.
	superseded := request.Version > 0 && response.Version != request.Version
	if !superseded {
		s.options.Host.Report(eventlog.ConfigAccepted, eventlog.Attributes{"serial": response.Version, "digest": response.Digest})
	}
	return s.acknowledge(response)
}

// reject reports an event for an invalid configuration and returns the response to it.
func (s *Server) reject(fieldErrors []config.FieldError) *wire.ConfigApplyResponse {
	response := &wire.ConfigApplyResponse{Outcome: versions.Invalid}
	for _, fieldError := range fieldErrors {
		response.Errors = append(response.Errors, fieldError.String())
	}
	s.options.Host.Report(eventlog.ConfigRejected, eventlog.Attributes{"faults": response.Errors})
	return response
}

// acknowledge completes the response to an accepted configuration once the proxies have adopted it. If the wait for them times out,
// the response says so with ServeStale; otherwise the error is ErrUnacknowledged.
func (s *Server) acknowledge(response *wire.ConfigApplyResponse) (*wire.ConfigApplyResponse, error) {
	response.AdoptedEverywhere = s.waitForAdoption(response.Version)
	if !response.AdoptedEverywhere && !s.options.Timeouts.ServeStale {
		return nil, ErrUnacknowledged
	}
	return response, nil
}

// recordVersion records the time at which this process learned of an accepted version, if it's newer than those known.
func (s *Server) recordVersion(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version > s.latestVersion {
		s.latestVersion, s.latestAt = version, s.options.Host.Now()
	}
}

// beginWait sets committedVersion and committedAt if no apply has waited for the version or a newer one yet, and returns the time from
// which the timeout of the wait is counted. With ServeStale this is committedAt, so that a repeated apply doesn't wait again; otherwise
// it's the current time.
func (s *Server) beginWait(version uint64) monotonic.Micros {
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

// waitForAdoption waits until allAdopted holds for a version, and reports whether it did before the timeout. While this process
// doesn't serve as primary the result of allAdopted doesn't count, because another primary may grant leases that this process doesn't
// know of. When it serves again, onPrimary has set acknowledgeFrom, which covers those leases.
func (s *Server) waitForAdoption(version uint64) bool {
	host := s.options.Host
	started := host.Now()
	deadline := s.beginWait(version) + s.options.Timeouts.acknowledgeTimeout()
	s.updates.notifyAll()
	for {
		signal := s.adoptions.subscribe()
		adopted, recheck := s.checkAdoption(version)
		if adopted {
			s.adoptions.unsubscribe(signal)
			host.Report(eventlog.ConfigPropagated, eventlog.Attributes{"serial": version, "micros": int64(host.Now() - started)})
			return true
		}
		remaining := deadline - host.Now()
		if remaining > 0 {
			signal.Wait(min(recheck, remaining))
		}
		s.adoptions.unsubscribe(signal)
		if remaining <= 0 {
			return false
		}
	}
}

// checkAdoption reports whether this process serves as primary and allAdopted holds. If not, recheck is the time until the next
// check.
func (s *Server) checkAdoption(version uint64) (adopted bool, recheck monotonic.Micros) {
	if !s.Member.Serving() {
		return false, adoptionRecheck
	}
	adopted, leaseWait := s.allAdopted(version)
	if adopted && s.Member.Serving() {
		return true, 0
	}
	return false, min(max(leaseWait, monotonic.Millisecond), maxAdoptionRecheck)
}
