package configstore

import (
	"strconv"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// unsteadyRecheck is the interval at which leases are checked again while the clock may have jumped.
const unsteadyRecheck = 100 * monotonic.Millisecond

// proxyLease is the lease of one incarnation of a proxy.
type proxyLease struct {
	proxy string
	// adoptedVersion is the newest version that the proxy has reported as adopted, and adoptedAt when this process first received
	// that report.
	adoptedVersion uint64
	adoptedAt      monotonic.Micros
	// adoptionTime is the time from the commit of adoptedVersion until adoptedAt, zero if unknown.
	adoptionTime monotonic.Micros
	// expiresAt is no earlier than the end of the lease by the proxy's clock: the proxy counts the lease from before it sent the poll.
	expiresAt monotonic.Micros
	// released is never reset, because an incarnation that has released its lease doesn't serve again.
	released bool
}

// isActiveAt reports whether the proxy may serve under the lease at the given time.
func (l *proxyLease) isActiveAt(now monotonic.Micros) bool { return l.expiresAt > now && !l.released }

// leaseKey identifies one incarnation of a proxy. It's also sent in handovers.
func leaseKey(request *wire.ConfigPollRequest) string {
	return request.Proxy + "/" + strconv.FormatUint(request.Incarnation, 16)
}

// recordAdoption records the version that a proxy has adopted, and wakes the applies that wait for proxies.
func (s *Server) recordAdoption(request *wire.ConfigPollRequest) {
	adoptionTime, measured := s.updateAdoption(request)
	if measured && s.options.OnAdopted != nil {
		s.options.OnAdopted(request.Proxy, request.CurrentVersion, adoptionTime)
	}
	s.adoptions.notifyAll()
}

// updateAdoption sets the adopted version of a proxy that has a lease, if it's newer. The time since the commit is measured only for
// the newest version.
func (s *Server) updateAdoption(request *wire.ConfigPollRequest) (adoptionTime monotonic.Micros, measured bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Host.Now()
	lease := s.leases[leaseKey(request)]
	if lease == nil || !lease.adopt(request.CurrentVersion, now) || request.CurrentVersion != s.latestVersion {
		return 0, false
	}
	lease.adoptionTime = now - s.latestAt
	return lease.adoptionTime, true
}

// adopt sets the adopted version if the given one is newer, and reports whether it is.
func (l *proxyLease) adopt(version uint64, now monotonic.Micros) bool {
	if l.adoptedVersion >= version {
		return false
	}
	l.adoptedVersion, l.adoptedAt, l.adoptionTime = version, now, 0
	return true
}

// grantLease starts or extends the lease of the polling proxy. A released lease stays released: a poll that finds it released was sent
// by the same incarnation before the release, and has been waiting since.
func (s *Server) grantLease(request *wire.ConfigPollRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := leaseKey(request)
	if s.leases[key] == nil {
		s.leases[key] = &proxyLease{proxy: request.Proxy}
		s.removeOtherIncarnations(request.Proxy, key)
	}
	lease := s.leases[key]
	if lease.released {
		return
	}
	now := s.options.Host.Now()
	lease.adopt(request.CurrentVersion, now)
	lease.expiresAt = now + s.options.Timeouts.Lease
}

// removeOtherIncarnations removes the leases of a proxy's other incarnations, because a proxy runs as one process at a time. If a
// delayed poll of an earlier incarnation removes the lease of the current one, the next poll of the current one restores it. Without
// ServeStale nothing is removed: an earlier incarnation that is still running may serve until its lease ends. The caller must hold mu.
func (s *Server) removeOtherIncarnations(proxy, currentKey string) {
	if !s.options.Timeouts.ServeStale {
		return
	}
	for key, lease := range s.leases {
		if lease.proxy == proxy && key != currentKey {
			delete(s.leases, key)
		}
	}
}

// releaseLease ends the lease of a proxy that has stopped serving. Applies no longer wait for it.
func (s *Server) releaseLease(request *wire.ConfigPollRequest) *wire.ConfigPollResponse {
	s.mu.Lock()
	if lease := s.leases[leaseKey(request)]; lease != nil {
		lease.released = true
	}
	s.mu.Unlock()
	s.adoptions.notifyAll()
	return &wire.ConfigPollResponse{}
}

// allAdopted reports whether no proxy may serve a version older than the given one for longer than the lease slack. With ServeStale
// it reports whether all proxies that polled within the last Timeouts.Lease have adopted the version. If not, wait is the time until
// it can hold: until all leases that prevent it have at most the slack left. Expired leases are removed.
func (s *Server) allAdopted(version uint64) (adopted bool, wait monotonic.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Member.ClockWatch.Steady() {
		return false, unsteadyRecheck
	}
	adopted = true
	now, slack := s.options.Host.Now(), s.options.Timeouts.effectiveSlack()
	for key, lease := range s.leases {
		if now >= lease.expiresAt {
			delete(s.leases, key)
			continue
		}
		remaining := lease.expiresAt - now - slack
		if !lease.released && lease.adoptedVersion < version && remaining > 0 {
			adopted, wait = false, max(wait, remaining)
		}
	}
	if s.acknowledgeFrom > now { // leases that an earlier primary granted may be active
		adopted, wait = false, max(wait, s.acknowledgeFrom-now)
	}
	return adopted, wait
}
