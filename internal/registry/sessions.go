package registry

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/transport/wire"
)

const (
	// exchangeInterval is how often this registry exchanges sessions with the others.
	exchangeInterval = 500 * monotonic.Millisecond
	// exchangeTimeout is the timeout of one exchange.
	exchangeTimeout = 500 * monotonic.Millisecond
	// expiryInterval is how often sessions are checked for expiry.
	expiryInterval = 250 * monotonic.Millisecond
)

// handlePoll updates a proxy's session and returns the directory changes that the proxy does not have yet. The serving primary also
// returns the changes of the breaker records.
func (r *Registry) handlePoll(request *wire.RegistryPollRequest) (*wire.RegistryPollResponse, error) {
	session := request.Session
	if session == nil || session.Proxy == "" {
		return nil, apierror.Invalid.New("poll without a session")
	}
	session.Age = 0
	if r.directory.Observe(session, true) {
		r.config.Host.Report(eventlog.SessionOpened, eventlog.Incarnation(session.Proxy, session.Incarnation))
	}
	r.directory.RecordActivity(session.Proxy, request.Activity)
	response := &wire.RegistryPollResponse{Proxies: uint32(r.directory.LiveCount()), Primaries: r.config.Resolver.Primaries()}
	r.addDirectory(response, request)
	r.addBreakers(response, request)
	return response, nil
}

// addDirectory adds the directory changes that the proxy does not have yet to the response.
func (r *Registry) addDirectory(response *wire.RegistryPollResponse, request *wire.RegistryPollRequest) {
	update := r.directory.UpdateSince(directory.Base{
		Source: request.DirectorySource, Version: request.DirectoryVersion, Checksum: request.DirectoryChecksum,
		Complete: request.DirectoryComplete,
	})
	response.DirectorySource = update.Source
	response.DirectoryVersion = update.Version
	response.DirectoryUnchanged = update.Unchanged
	response.DirectoryIsDelta = update.Incremental
	response.DirectoryRemoved = update.Removed
	response.DirectoryDigest = update.Digest
	response.Sessions = update.Sessions
	if update.Incremental {
		response.DirectoryBaseSource, response.DirectoryBaseVersion = request.DirectorySource, request.DirectoryVersion
	}
	response.DirectoryAge = int64(r.directory.Age())
}

// addBreakers adds the leader clock and the breaker records that changed since the proxy's last poll to the response, if this registry
// is the serving primary.
func (r *Registry) addBreakers(response *wire.RegistryPollResponse, request *wire.RegistryPollRequest) {
	response.Primary = r.Member.Read(func(epoch uint64, now monotonic.Micros) {
		response.Epoch, response.LeaderClock = epoch, int64(now)
		r.breakerChanges.Observe(r.machine.Breakers)
	})
	if !response.Primary {
		return
	}
	change := r.breakerChanges.Since(request.BreakersSource, request.BreakersVersion)
	response.Breakers = change.Records
	response.BreakersAreDelta = change.Incremental
	response.BreakersSource, response.BreakersVersion = change.Source, change.Version
}

// DirectorySnapshot returns the full directory, as sent to a proxy that has none yet.
func (r *Registry) DirectorySnapshot() directory.Update {
	return r.directory.UpdateSince(directory.Base{})
}

// handleSessions stores the sessions that another registry received from proxies, and returns those that this one received.
func (r *Registry) handleSessions(request *wire.SessionsRequest) (*wire.SessionsResponse, error) {
	for _, session := range request.Sessions {
		r.directory.Observe(session, false)
	}
	return &wire.SessionsResponse{Sessions: r.directory.DirectSessions()}, nil
}

// exchangeSessions exchanges sessions with the other registries. It never returns.
func (r *Registry) exchangeSessions() {
	for {
		r.config.Host.Sleep(exchangeInterval)
		for _, name := range r.Member.Voters() {
			if name != r.config.Name {
				r.config.Host.Go(func() { r.exchangeSessionsWith(name) })
			}
		}
	}
}

// exchangeSessionsWith exchanges sessions with one registry. A failed exchange is not retried, since the next one sends all sessions again.
func (r *Registry) exchangeSessionsWith(name string) {
	response := &wire.SessionsResponse{}
	request := &wire.SessionsRequest{From: r.config.Name, Sessions: r.directory.DirectSessions()}
	if r.config.Resolver.Call(name, wire.Kind_sessions, request, response, exchangeTimeout) != nil {
		return
	}
	for _, session := range response.Sessions {
		r.directory.Observe(session, false)
	}
}

// expireSessions ends the sessions of proxies that stopped polling. It never returns.
func (r *Registry) expireSessions() {
	for {
		r.config.Host.Sleep(expiryInterval)
		if !r.Member.ClockWatch.Steady() {
			continue // after a clock jump, a session may look expired although its proxy still polls
		}
		ended := r.directory.ExpireSessions()
		for _, member := range ended {
			r.config.Host.Report(eventlog.SessionEnded, eventlog.Incarnation(member.Name, member.Incarnation))
		}
		if len(ended) > 0 && r.Member.Serving() {
			r.config.Host.Go(func() {
				// This returns the leased probes of the ended sessions. If it fails, they return when their leases end.
				_, _ = r.propose(&wire.RegistryCommand{Tick: &wire.Tick{EndedSessions: ended}})
			})
		}
	}
}
