package breakerstore

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// Shown numbers the records as they are shown to carriers, so that each is told only what changed since it last asked. Nothing of it is
// replicated: another process, or another life, has another source, and whoever names that is told all.
//
// Invariants: version rises whenever any record differs from what it was; a record's number is the version at which it became what it is;
// whoever has a version from whole on lacks no record that is gone.
type Shown struct {
	lock    sync.Mutex
	source  uint64
	version uint64
	whole   uint64
	fresh   bool // touched is what the table had when it was last looked at
	touched uint64
	order   []string // of the records
	records map[string]numbered
}

type numbered struct {
	record  *wire.BreakerRecord
	version uint64
}

// NewShown makes one; source is a number that no other life has, and not zero.
func NewShown(source uint64) *Shown { return &Shown{source: source, records: map[string]numbered{}} }

// Look takes the table's present records in. The table must not change meanwhile.
func (shown *Shown) Look(table *Table) {
	shown.lock.Lock()
	defer shown.lock.Unlock()
	if shown.fresh && shown.touched == table.Touched() {
		return
	}
	shown.fresh, shown.touched = true, table.Touched()
	next, records, changed := shown.version+1, table.Records(), shown.version == 0
	shown.order = shown.order[:0]
	for _, record := range records {
		shown.order = append(shown.order, record.Service)
		if present, found := shown.records[record.Service]; !found || !proto.Equal(present.record, record) {
			shown.records[record.Service], changed = numbered{record, next}, true
		}
	}
	if len(shown.records) != len(records) { // some are gone
		present := make(map[string]numbered, len(records))
		for _, service := range shown.order {
			present[service] = shown.records[service]
		}
		shown.records, shown.whole, changed = present, next, true
	}
	if changed {
		shown.version = next
	}
}

// Change is what somebody lacks of the records. They aren't to be changed.
type Change struct {
	Records         []*wire.BreakerRecord
	Changes         bool // Records are those that changed, and no more
	Source, Version uint64
}

// Since gives what whoever took a version of a source lacks: the records that changed since, or all.
func (shown *Shown) Since(source, version uint64) Change {
	shown.lock.Lock()
	defer shown.lock.Unlock()
	change := Change{Source: shown.source, Version: shown.version}
	change.Changes = source == shown.source && version >= shown.whole && version <= shown.version && version > 0
	for _, service := range shown.order {
		if present := shown.records[service]; !change.Changes || present.version > version {
			change.Records = append(change.Records, present.record)
		}
	}
	return change
}
