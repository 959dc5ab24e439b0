package breaker

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// ApplyPoll takes the records that a poll of the registry brought. With reached false the registry's leader wasn't reached,
// and the set becomes degraded.
func (s *Set) ApplyPoll(records []*wire.BreakerRecord, reached bool) {
	if !reached {
		s.enterDegraded(apierror.Unreachable.New("poll"))
		return
	}
	s.leaveDegraded()
	for _, record := range records {
		s.applyRecord(s.breakerFor(record.Service), record)
	}
}

// applyRecord takes a shared record, unless a newer one is known. If the state has changed, the local breaker starts anew. A
// nil record is ignored.
func (s *Set) applyRecord(b *serviceBreaker, record *wire.BreakerRecord) {
	if record == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shared != nil && record.Version < b.shared.Version {
		return
	}
	formerState := breakerstore.Closed
	if b.shared != nil {
		formerState = b.shared.State
	}
	b.shared = record
	if record.State == formerState {
		return
	}
	b.resetLocal()
	s.config.Host.Report(eventlog.BreakerStateChanged, eventlog.Attributes{
		"service": b.service,
		"state":   record.State,
		"serial":  record.Version,
	})
}
