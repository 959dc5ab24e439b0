// Package leases implements the registry's table of singleton leases. A singleton lease gives one backend instance at a time a role,
// such as the reconciliation of a service. The table is a deterministic state machine: the current time is an argument, the leader clock in
// microseconds, and every replica applies the same calls in the same order.
package leases

import (
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// The limits of a lease's duration. A lease must outlast a failover of the registry, but a lost instance must not block its role for
// long.
const (
	minDuration = 3 * monotonic.Second
	maxDuration = 30 * monotonic.Second
)

// Table holds the leases by role. It is not safe for concurrent use; the state machine that owns it serializes the calls.
//
// Invariant: a role has one owner, an instance, until its lease ends on the leader clock or the owner releases it.
type Table struct {
	records map[string]*wire.SingletonLeaseRecord
}

// New returns an empty table.
func New() *Table { return &Table{records: map[string]*wire.SingletonLeaseRecord{}} }

// Restore replaces all leases. The table keeps the given messages; the caller must not change them afterwards.
func (t *Table) Restore(records []*wire.SingletonLeaseRecord) {
	t.records = map[string]*wire.SingletonLeaseRecord{}
	for _, record := range records {
		t.records[record.Role] = record
	}
}

// Records returns all leases, sorted by role. They are shared with the table and must not be changed.
func (t *Table) Records() []*wire.SingletonLeaseRecord {
	records := make([]*wire.SingletonLeaseRecord, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Role < records[j].Role })
	return records
}

// Len returns the number of leases.
func (t *Table) Len() int { return len(t.records) }

// Acquire grants, renews or releases a lease. The response names the current owner if that is another instance. The granted duration is
// the requested one, limited to minDuration and maxDuration.
func (t *Table) Acquire(request *wire.SingletonLeaseRequest, now monotonic.Micros) *wire.SingletonLeaseResponse {
	current := t.records[request.Role]
	if current != nil && int64(now) < current.Until && current.Instance != request.Instance {
		return &wire.SingletonLeaseResponse{Owner: current.Proxy, Instance: current.Instance}
	}
	if request.Release {
		delete(t.records, request.Role)
		return &wire.SingletonLeaseResponse{}
	}
	duration := min(max(monotonic.Micros(request.Duration), minDuration), maxDuration)
	until := int64(now + duration)
	if current != nil && current.Instance == request.Instance {
		until = max(until, current.Until) // a delayed older request must not shorten the lease
	}
	t.records[request.Role] = &wire.SingletonLeaseRecord{Role: request.Role, Proxy: request.Proxy, Instance: request.Instance, Until: until}
	return &wire.SingletonLeaseResponse{Granted: true, Owner: request.Proxy, Instance: request.Instance, Duration: int64(duration)}
}

// Sweep removes the leases that have ended.
func (t *Table) Sweep(now monotonic.Micros) {
	for role, record := range t.records {
		if int64(now) >= record.Until {
			delete(t.records, role)
		}
	}
}
