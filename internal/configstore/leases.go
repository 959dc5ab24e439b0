package configstore

import (
	"maps"
	"slices"
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// holder is one carrier's tenure. Invariants: until is no earlier than the end the carrier itself counts with; one that was
// released stays so, since that life of its carrier serves no more.
type proxyLease struct {
	proxy          string
	adoptedVersion uint64
	adoptedAt      monotonic.Micros // when this process first heard that
	adoptionTime   monotonic.Micros // from the commit until then, zero if this process doesn't know
	expiresAt      monotonic.Micros
	released       bool
}

// settled is called when this process starts answering. Only after a takeover may strangers hold tenures.
func (s *Server) onPrimary(epoch uint64, _ monotonic.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Between a handover's epoch and this one lies only this process's own takeover, in which nobody answered: then the
	// tenures that were told are all there are.
	if s.inheritedLeases != nil && epoch == s.inheritedEpoch+2 {
		s.leases = s.inheritedLeases
	} else if s.epoch == 0 || epoch != s.epoch+1 {
		s.acknowledgeFrom = s.options.Host.Now() + s.options.Timeouts.unknownLeasePeriod()
	}
	s.epoch, s.inheritedLeases = epoch, nil
	s.options.Host.Go(func() {
		s.options.Host.Sleep(monotonic.Second) // it isn't answering yet
		s.notifyAccepted()
	})
}

// doubt puts acknowledgements off: the tenures that this process gave may stand though its clock says they are over.
func (s *Server) deferAcknowledgements() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledgeFrom = max(s.acknowledgeFrom, s.options.Host.Now()+s.options.Timeouts.unknownLeasePeriod())
}

// handing tells the next primary who holds tenures, and for how much longer.
func (s *Server) exportLeases() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Host.Now()
	if now < s.acknowledgeFrom || !s.Member.ClockWatch.Steady() {
		return nil // there may be tenures that this process doesn't know of, or whose ends it can't tell
	}
	handover := &wire.LeaseHolders{Complete: true}
	for _, key := range slices.Sorted(maps.Keys(s.leases)) {
		if lease := s.leases[key]; lease.expiresAt > now && !lease.released {
			handover.Holders = append(handover.Holders, &wire.LeaseHolder{Key: key, Proxy: lease.proxy, AdoptedVersion: lease.adoptedVersion, Remaining: int64(lease.expiresAt - now)})
		}
	}
	content, err := proto.Marshal(handover)
	if err != nil {
		return nil
	}
	return content
}

func (s *Server) importLeases(epoch uint64, content []byte) {
	handover := &wire.LeaseHolders{}
	if proto.Unmarshal(content, handover) != nil || !handover.Complete {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inheritedLeases, s.inheritedEpoch = map[string]*proxyLease{}, epoch
	for _, lease := range handover.Holders {
		s.inheritedLeases[lease.Key] = &proxyLease{proxy: lease.Proxy, adoptedVersion: lease.AdoptedVersion, adoptedAt: s.options.Host.Now(), expiresAt: s.options.Host.Now() + monotonic.Micros(lease.Remaining)}
	}
}

func leaseKey(request *wire.ConfigPollRequest) string {
	return request.Proxy + "/" + strconv.FormatUint(request.Incarnation, 16)
}

func (s *Server) recordAdoption(request *wire.ConfigPollRequest) {
	s.mu.Lock()
	now, adoptionTime := s.options.Host.Now(), monotonic.Micros(-1)
	if lease := s.leases[leaseKey(request)]; lease != nil {
		if lease.adoptedVersion < request.CurrentVersion {
			lease.adoptedVersion, lease.adoptedAt, lease.adoptionTime = request.CurrentVersion, now, 0
			if request.CurrentVersion == s.latestVersion {
				adoptionTime = now - s.latestAt
				lease.adoptionTime = adoptionTime
			}
		}
	}
	s.mu.Unlock()
	if adoptionTime >= 0 && s.options.OnAdopted != nil {
		s.options.OnAdopted(request.Proxy, request.CurrentVersion, adoptionTime)
	}
	s.adoptions.notifyAll()
}

func (s *Server) grantLease(request *wire.ConfigPollRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := leaseKey(request)
	if s.leases[key] == nil {
		s.leases[key] = &proxyLease{proxy: request.Proxy}
		s.forgetEarlierIncarnations(request.Proxy, key)
	}
	lease := s.leases[key]
	if lease.released {
		return // an earlier poll of the same life, held until now
	}
	now := s.options.Host.Now()
	if lease.adoptedVersion < request.CurrentVersion {
		lease.adoptedVersion, lease.adoptedAt, lease.adoptionTime = request.CurrentVersion, now, 0
	}
	lease.expiresAt = now + s.options.Timeouts.Lease
}

// forgetEarlierIncarnations has nobody wait for a carrier's lives before the one that polls now, since a carrier has one life at a time. Should a late poll of an
// earlier life come, the present one is noted again with its next poll. Where leases are needed they are waited for all the same.
// The caller holds the lock.
func (s *Server) forgetEarlierIncarnations(proxy, currentKey string) {
	if !s.options.Timeouts.ServeStale {
		return
	}
	for key, lease := range s.leases {
		if lease.proxy == proxy && key != currentKey {
			delete(s.leases, key)
		}
	}
}

// release ends a tenure whose carrier serves no more: nobody needs to wait for its end.
func (s *Server) releaseLease(request *wire.ConfigPollRequest) *wire.ConfigPollResponse {
	s.mu.Lock()
	if lease := s.leases[leaseKey(request)]; lease != nil {
		lease.released = true
	}
	s.mu.Unlock()
	s.adoptions.notifyAll()
	return &wire.ConfigPollResponse{}
}

// behind names the carriers that may still serve by an older serial for longer than Slack. Where carriers serve on, these are
// those heard within the last Lease that haven't adopted.
func (s *Server) proxiesBehind(version uint64) (names []string, wait monotonic.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, leaseSlack := s.options.Host.Now(), s.options.Timeouts.effectiveSlack()
	if !s.Member.ClockWatch.Steady() {
		return []string{"(the clock may have leapt)"}, 100 * monotonic.Millisecond
	}
	for key, lease := range s.leases {
		if now >= lease.expiresAt {
			delete(s.leases, key)
			continue
		}
		if !lease.released && lease.adoptedVersion < version && lease.expiresAt-now > leaseSlack {
			names = append(names, lease.proxy)
			wait = max(wait, lease.expiresAt-now-leaseSlack)
		}
	}
	if s.acknowledgeFrom > now {
		names = append(names, "(tenures of an earlier primary)")
		wait = max(wait, s.acknowledgeFrom-now)
	}
	sort.Strings(names)
	return names, wait
}
