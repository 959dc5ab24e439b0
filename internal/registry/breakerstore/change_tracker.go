package breakerstore

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// ChangeTracker numbers the records as they are shown to carriers, so that each is told only what changed since it last asked. Nothing of it is
// replicated: another process, or another life, has another source, and whoever names that is told all.
//
// Invariants: version rises whenever any record differs from what it was; a record's number is the version at which it became what it is;
// whoever has a version from whole on lacks no record that is gone.
type ChangeTracker struct {
	lock          sync.Mutex
	source        uint64
	version       uint64
	lastRemoval   uint64
	observed      bool // touched is what the table had when it was last looked at
	tableRevision uint64
	services      []string // of the records
	records       map[string]versionedRecord
}

type versionedRecord struct {
	record  *wire.BreakerRecord
	version uint64
}

// NewChangeTracker makes one; source is a number that no other life has, and not zero.
func NewChangeTracker(source uint64) *ChangeTracker {
	return &ChangeTracker{source: source, records: map[string]versionedRecord{}}
}

// Observe takes the table's present records in. The table must not change meanwhile.
func (c *ChangeTracker) Observe(table *Table) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.observed && c.tableRevision == table.Revision() {
		return
	}
	c.observed, c.tableRevision = true, table.Revision()
	next, records, changed := c.version+1, table.Records(), c.version == 0
	c.services = c.services[:0]
	for _, record := range records {
		c.services = append(c.services, record.Service)
		if present, found := c.records[record.Service]; !found || !proto.Equal(present.record, record) {
			c.records[record.Service], changed = versionedRecord{record, next}, true
		}
	}
	if len(c.records) != len(records) { // some are gone
		present := make(map[string]versionedRecord, len(records))
		for _, service := range c.services {
			present[service] = c.records[service]
		}
		c.records, c.lastRemoval, changed = present, next, true
	}
	if changed {
		c.version = next
	}
}

// Change is what somebody lacks of the records. They aren't to be changed.
type Change struct {
	Records         []*wire.BreakerRecord
	Incremental     bool // Records are those that changed, and no more
	Source, Version uint64
}

// Since gives what whoever took a version of a source lacks: the records that changed since, or all.
func (c *ChangeTracker) Since(source, version uint64) Change {
	c.lock.Lock()
	defer c.lock.Unlock()
	change := Change{Source: c.source, Version: c.version}
	change.Incremental = source == c.source && version >= c.lastRemoval && version <= c.version && version > 0
	for _, service := range c.services {
		if present := c.records[service]; !change.Incremental || present.version > version {
			change.Records = append(change.Records, present.record)
		}
	}
	return change
}
