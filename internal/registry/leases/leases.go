// Package leases keeps the tenures of duties that one node does at a time.
package leases

import (
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// A duty's tenure is no shorter and no longer, so that it outlasts a failover and a lost node can't hold it for ever.
const (
	minDuration = 3 * monotonic.Second
	maxDuration = 30 * monotonic.Second
)

// Table holds the duties. Invariant: a duty has one holder until its tenure ends on holder time or the holder gives it up.
type Table struct {
	records map[string]*wire.SingletonLeaseRecord
}

// New makes an empty table.
func New() *Table { return &Table{records: map[string]*wire.SingletonLeaseRecord{}} }

// Restore replaces the table's content.
func (t *Table) Restore(records []*wire.SingletonLeaseRecord) {
	t.records = map[string]*wire.SingletonLeaseRecord{}
	for _, record := range records {
		t.records[record.Role] = record
	}
}

// Records lists all duties by name.
func (t *Table) Records() []*wire.SingletonLeaseRecord {
	records := make([]*wire.SingletonLeaseRecord, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	sort.Slice(records, func(first, second int) bool { return records[first].Role < records[second].Role })
	return records
}

// Acquire grants, renews or gives up a duty.
func (t *Table) Acquire(request *wire.SingletonLeaseRequest, now monotonic.Micros) *wire.SingletonLeaseResponse {
	present := t.records[request.Role]
	if present != nil && int64(now) < present.Until && present.Instance != request.Instance {
		return &wire.SingletonLeaseResponse{Owner: present.Proxy, Instance: present.Instance}
	}
	if request.Release {
		delete(t.records, request.Role)
		return &wire.SingletonLeaseResponse{}
	}
	duration := min(max(monotonic.Micros(request.Duration), minDuration), maxDuration)
	expires := int64(now + duration)
	if present != nil && present.Instance == request.Instance {
		expires = max(expires, present.Until) // an older ask that comes late takes nothing back
	}
	t.records[request.Role] = &wire.SingletonLeaseRecord{Role: request.Role, Proxy: request.Proxy, Instance: request.Instance, Until: expires}
	return &wire.SingletonLeaseResponse{Granted: true, Owner: request.Proxy, Instance: request.Instance, Duration: int64(duration)}
}

// Sweep forgets duties whose tenure ended.
func (t *Table) Sweep(now monotonic.Micros) {
	for name, record := range t.records {
		if int64(now) >= record.Until {
			delete(t.records, name)
		}
	}
}
