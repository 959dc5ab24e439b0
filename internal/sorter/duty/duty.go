// Package duty keeps the tenures of duties that one node does at a time.
package duty

import (
	"sort"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// longest bounds a duty's tenure, so that a lost node can't hold one for ever.
const longest = 30 * postmark.Second

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
func (table *Table) Ask(ask *wire.DutyAsk, now postmark.Micros) *wire.DutyTell {
	present := table.records[ask.Duty]
	if present != nil && int64(now) < present.Until && (present.Carrier != ask.Carrier || present.Incarnation != ask.Incarnation) {
		return &wire.DutyTell{Holder: present.Carrier}
	}
	if ask.Release {
		delete(table.records, ask.Duty)
		return &wire.DutyTell{}
	}
	length := min(max(postmark.Micros(ask.Length), postmark.Second), longest)
	table.records[ask.Duty] = &wire.DutyRecord{Duty: ask.Duty, Carrier: ask.Carrier, Incarnation: ask.Incarnation, Until: int64(now + length)}
	return &wire.DutyTell{Granted: true, Holder: ask.Carrier}
}

// Sweep forgets duties whose tenure ended.
func (table *Table) Sweep(now postmark.Micros) {
	for name, record := range table.records {
		if int64(now) >= record.Until {
			delete(table.records, name)
		}
	}
}
