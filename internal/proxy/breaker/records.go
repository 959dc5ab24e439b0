package breaker

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// ApplyPoll applies the records that a poll of the registry returned. If the poll didn't reach the registry's leader, the set
// becomes degraded.
func (s *Set) ApplyPoll(records []*wire.BreakerRecord, leaderReached bool) {
	if !leaderReached {
		s.enterDegraded(apierror.Unreachable.New("the poll did not reach a registry leader"))
		return
	}
	s.leaveDegraded()
	for _, record := range records {
		s.applyRecord(s.breakerFor(record.Service), record)
	}
}

// applyRecord stores a shared record unless a newer one is known. A change of state resets the local breaker. A nil record is
// ignored.
func (s *Set) applyRecord(b *serviceBreaker, record *wire.BreakerRecord) {
	if record == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shared != nil && record.Version < b.shared.Version {
		return
	}
	previousState := breakerstore.Closed
	if b.shared != nil {
		previousState = b.shared.State
	}
	b.shared = record
	if record.State == previousState {
		return
	}
	b.resetLocal()
	s.config.Host.Report(eventlog.BreakerStateChanged, eventlog.Attributes{
		"service": b.service,
		"state":   record.State,
		"serial":  record.Version,
	})
}
