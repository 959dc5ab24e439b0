package configstore

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// handoverEpochs is the number by which a handover increases the epoch: by one when the successor takes over, still without serving,
// and by one when its backups are in sync and it begins to serve. If the epoch has increased by exactly that number, no other process
// has been primary in between, and the leases that were handed over are complete.
const handoverEpochs = 2

// notifyDelay is the time from onPrimary until the stored versions are passed to OnAccepted. The member doesn't serve reads
// immediately.
const notifyDelay = monotonic.Second

// onPrimary is called when this process becomes primary, before it serves. Unless the leases were handed over, or this process was
// primary in the preceding epoch, other processes may have granted leases that it doesn't know of; acknowledgements then wait until
// each of these can have at most LeaseSlack left.
func (s *Server) onPrimary(epoch uint64, _ monotonic.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.inheritedLeases != nil && epoch == s.inheritedEpoch+handoverEpochs:
		s.leases = s.inheritedLeases
	case s.epoch == 0 || epoch != s.epoch+1:
		s.acknowledgeFrom = s.options.Host.Now() + s.options.Timeouts.unknownLeasePeriod()
	}
	s.epoch, s.inheritedLeases = epoch, nil
	s.options.Host.Go(func() {
		s.options.Host.Sleep(notifyDelay)
		s.notifyAccepted()
	})
}

// deferAcknowledgements is called when the clock may have jumped: leases that have expired by this process's clock may still be
// active at the proxies.
func (s *Server) deferAcknowledgements() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledgeFrom = max(s.acknowledgeFrom, s.options.Host.Now()+s.options.Timeouts.unknownLeasePeriod())
}

// exportLeases encodes the active leases for the next primary. It's called after this process has granted its last lease. It returns
// nil if the list would be incomplete, because this process doesn't know all leases or its clock may have jumped.
func (s *Server) exportLeases() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Host.Now()
	if now < s.acknowledgeFrom || !s.Member.ClockWatch.Steady() {
		return nil
	}
	handover := &wire.LeaseHolders{Complete: true}
	for _, key := range slices.Sorted(maps.Keys(s.leases)) {
		if lease := s.leases[key]; lease.isActiveAt(now) {
			handover.Holders = append(handover.Holders, &wire.LeaseHolder{
				Key:            key,
				Proxy:          lease.proxy,
				AdoptedVersion: lease.adoptedVersion,
				Remaining:      int64(lease.expiresAt - now),
			})
		}
	}
	content, err := proto.Marshal(handover)
	if err != nil {
		return nil
	}
	return content
}

// importLeases stores the leases that the primary of the given epoch hands over, for onPrimary to use if this process becomes the
// next primary. Incomplete or undecodable lists are ignored.
func (s *Server) importLeases(epoch uint64, content []byte) {
	handover := &wire.LeaseHolders{}
	if proto.Unmarshal(content, handover) != nil || !handover.Complete {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Host.Now()
	s.inheritedLeases, s.inheritedEpoch = map[string]*proxyLease{}, epoch
	for _, lease := range handover.Holders {
		s.inheritedLeases[lease.Key] = &proxyLease{
			proxy:          lease.Proxy,
			adoptedVersion: lease.AdoptedVersion,
			adoptedAt:      now,
			expiresAt:      now + monotonic.Micros(lease.Remaining),
		}
	}
}
