package breakerstore

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// The values of BreakerRecord.State. They are stored and sent.
const (
	Closed   = "closed"
	Open     = "open"
	HalfOpen = "half_open"
)

// Table holds the breaker records by service. It is not safe for concurrent use; the state machine that owns it serializes
// the calls.
//
// Invariants of each record:
//   - Version rises with every state change and never falls, not even when the record expires.
//   - While half open, Budget + len(ProbeLeases) + len(ProbeResults) == max(1, Settings.Permitted), so no probe is lost or added.
//   - A probe's id is in ProbeLeases or in ProbeResults, never in both, and only leased probes get a result.
//   - The sum of Granted - Returned over all Shares is len(ProbeLeases) + len(ProbeResults). Shares is empty unless half open.
//   - Reports is empty unless closed.
//
// Invariant of the table: revision rises with every call that may change a record.
type Table struct {
	records  map[string]*wire.BreakerRecord
	revision uint64
	// InjectedFault is one of the Fault constants, or empty. Only tests set it, to verify that the invariant checkers detect a faulty
	// table.
	InjectedFault string
}

// New returns an empty table.
func New() *Table { return &Table{records: map[string]*wire.BreakerRecord{}} }

// Restore replaces all records. The table keeps the given messages; the caller must not change them afterwards.
func (t *Table) Restore(records []*wire.BreakerRecord) {
	t.revision++
	t.records = map[string]*wire.BreakerRecord{}
	for _, record := range records {
		t.records[record.Service] = record
	}
}

// Revision returns a number that changes whenever a record may have changed.
func (t *Table) Revision() uint64 { return t.revision }

// Records returns copies of all records, sorted by service.
func (t *Table) Records() []*wire.BreakerRecord {
	var records []*wire.BreakerRecord
	for _, service := range t.services() {
		records = append(records, proto.CloneOf(t.records[service]))
	}
	return records
}

// IsClosed reports whether a service's breaker is closed. A service without a record has a closed breaker.
func (t *Table) IsClosed(service string) bool {
	record := t.records[service]
	return record == nil || record.State == Closed
}

// services returns the services that have a record, sorted so that every replica visits them in the same order.
func (t *Table) services() []string { return slices.Sorted(maps.Keys(t.records)) }

// HasTimers reports whether any record changes by the passing of time alone.
func (t *Table) HasTimers() bool {
	for _, record := range t.records {
		if record.State != Closed || len(record.Reports) > 0 {
			return true
		}
	}
	return false
}

// recordFor returns the record of a service and creates it if there is none. Settings that are not nil replace the record's settings.
func (t *Table) recordFor(service string, settings *wire.BreakerSettings, now monotonic.Micros) *wire.BreakerRecord {
	record := t.records[service]
	if record == nil {
		record = &wire.BreakerRecord{Service: service, State: Closed, Version: 1, EnteredAt: int64(now)}
		t.records[service] = record
	}
	if settings != nil {
		record.Settings = settings
	}
	return record
}
