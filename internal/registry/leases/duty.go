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
type Table struct{ records map[string]*wire.DutyRecord }

// New makes an empty table.
func New() *Table { return &Table{records: map[string]*wire.DutyRecord{}} }

// Restore replaces the table's content.
func (table *Table) Restore(records []*wire.DutyRecord) {
	table.records = map[string]*wire.DutyRecord{}
	for _, record := range records {
		table.records[record.Duty] = record
	}
}

// Records lists all duties by name.
func (table *Table) Records() []*wire.DutyRecord {
	records := make([]*wire.DutyRecord, 0, len(table.records))
	for _, record := range table.records {
		records = append(records, record)
	}
	sort.Slice(records, func(one, other int) bool { return records[one].Duty < records[other].Duty })
	return records
}

// Ask grants, renews or gives up a duty.
func (table *Table) Ask(ask *wire.DutyAsk, now monotonic.Micros) *wire.DutyTell {
	present := table.records[ask.Duty]
	if present != nil && int64(now) < present.Until && present.Instance != ask.Instance {
		return &wire.DutyTell{Holder: present.Carrier, Instance: present.Instance}
	}
	if ask.Release {
		delete(table.records, ask.Duty)
		return &wire.DutyTell{}
	}
	length := min(max(monotonic.Micros(ask.Length), shortest), longest)
	until := int64(now + length)
	if present != nil && present.Instance == ask.Instance {
		until = max(until, present.Until) // an older ask that comes late takes nothing back
	}
	table.records[ask.Duty] = &wire.DutyRecord{Duty: ask.Duty, Carrier: ask.Carrier, Instance: ask.Instance, Until: until}
	return &wire.DutyTell{Granted: true, Holder: ask.Carrier, Instance: ask.Instance, Length: int64(length)}
}

// Sweep forgets duties whose tenure ended.
func (table *Table) Sweep(now monotonic.Micros) {
	for name, record := range table.records {
		if int64(now) >= record.Until {
			delete(table.records, name)
		}
	}
}
