package breakerstore

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// ChangeTracker assigns version numbers to the changes that Observe finds, so that a polling proxy is sent only what changed since its
// last poll. Versions are local to one incarnation of one process, which is identified by the source; a proxy that names a different
// source gets all records. It is safe for concurrent use.
//
// Invariants:
//   - version rises whenever Observe finds a record that is changed, new or removed;
//   - versionedRecord.version is the version at which the record got its current content;
//   - a proxy whose version is at least lastRemoval holds no record that has since been removed.
type ChangeTracker struct {
	source uint64 // set once

	lock          sync.Mutex // guards the fields below
	version       uint64
	lastRemoval   uint64
	observed      bool // whether tableRevision is set
	tableRevision uint64
	services      []string // sorted
	records       map[string]versionedRecord
}

type versionedRecord struct {
	record  *wire.BreakerRecord
	version uint64
}

// NewChangeTracker returns a tracker without records. The source must be unique to this incarnation of the process and not
// zero.
func NewChangeTracker(source uint64) *ChangeTracker {
	return &ChangeTracker{source: source, records: map[string]versionedRecord{}}
}

// Observe compares the table's records with those of the previous call. The table must not change during the call.
func (c *ChangeTracker) Observe(table *Table) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.observed && c.tableRevision == table.Revision() {
		return
	}
	c.observed, c.tableRevision = true, table.Revision()
	records := table.Records()
	next, changed := c.version+1, c.version == 0
	c.services = c.services[:0]
	for _, record := range records {
		c.services = append(c.services, record.Service)
		if existing, found := c.records[record.Service]; !found || !proto.Equal(existing.record, record) {
			c.records[record.Service] = versionedRecord{record, next}
			changed = true
		}
	}
	if len(c.records) != len(records) {
		c.removeMissing()
		c.lastRemoval = next
		changed = true
	}
	if changed {
		c.version = next
	}
}

// removeMissing removes the records whose service is not in services. The lock is held.
func (c *ChangeTracker) removeMissing() {
	remaining := make(map[string]versionedRecord, len(c.services))
	for _, service := range c.services {
		remaining[service] = c.records[service]
	}
	c.records = remaining
}

// Change holds the records that a proxy does not have yet. The records are shared and must not be changed.
type Change struct {
	Records []*wire.BreakerRecord
	// Incremental means that Records holds only the changed records, and that the proxy keeps its others. Otherwise Records holds
	// all records.
	Incremental bool
	// Source and Version identify the result. The proxy sends them with its next poll.
	Source, Version uint64
}

// Since returns the change from the version that a proxy has: the records that changed since. It returns all records if the source is
// a different one, if records were removed since, or if the version is zero or unknown.
func (c *ChangeTracker) Since(source, version uint64) Change {
	c.lock.Lock()
	defer c.lock.Unlock()
	change := Change{Source: c.source, Version: c.version}
	change.Incremental = source == c.source && version > 0 && version >= c.lastRemoval && version <= c.version
	for _, service := range c.services {
		if entry := c.records[service]; !change.Incremental || entry.version > version {
			change.Records = append(change.Records, entry.record)
		}
	}
	return change
}
