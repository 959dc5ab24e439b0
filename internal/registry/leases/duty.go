// Package leases keeps the tenures of duties that one node does at a time.
package leases

import (
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// A duty's tenure is no shorter and no longer, so that it outlasts a failover and a lost node can't hold it for ever.
const (
	shortest = 3 * monotonic.Second
	longest  = 30 * monotonic.Second
)

// Table holds the duties. Invariant: a duty has one holder until its tenure ends on holder time or the holder gives it up.
type Table struct {
	records map[string]*wire.SingletonLeaseRecord
}

// New makes an empty table.
func New() *Table { return &Table{records: map[string]*wire.SingletonLeaseRecord{}} }

// Restore replaces the table's content.
func (table *Table) Restore(records []*wire.SingletonLeaseRecord) {
	table.records = map[string]*wire.SingletonLeaseRecord{}
	for _, record := range records {
		table.records[record.Role] = record
	}
}

// Records lists all duties by name.
func (table *Table) Records() []*wire.SingletonLeaseRecord {
	records := make([]*wire.SingletonLeaseRecord, 0, len(table.records))
	for _, record := range table.records {
		records = append(records, record)
	}
	sort.Slice(records, func(one, other int) bool { return records[one].Role < records[other].Role })
	return records
}

// Ask grants, renews or gives up a duty.
func (table *Table) Ask(ask *wire.SingletonLeaseRequest, now monotonic.Micros) *wire.SingletonLeaseResponse {
	present := table.records[ask.Role]
	if present != nil && int64(now) < present.Until && present.Instance != ask.Instance {
		return &wire.SingletonLeaseResponse{Owner: present.Proxy, Instance: present.Instance}
	}
	if ask.Release {
		delete(table.records, ask.Role)
		return &wire.SingletonLeaseResponse{}
	}
	length := min(max(monotonic.Micros(ask.Duration), shortest), longest)
	until := int64(now + length)
	if present != nil && present.Instance == ask.Instance {
		until = max(until, present.Until) // an older ask that comes late takes nothing back
	}
	table.records[ask.Role] = &wire.SingletonLeaseRecord{Role: ask.Role, Proxy: ask.Proxy, Instance: ask.Instance, Until: until}
	return &wire.SingletonLeaseResponse{Granted: true, Owner: ask.Proxy, Instance: ask.Instance, Duration: int64(length)}
}

// Sweep forgets duties whose tenure ended.
func (table *Table) Sweep(now monotonic.Micros) {
	for name, record := range table.records {
		if int64(now) >= record.Until {
			delete(table.records, name)
		}
	}
}
