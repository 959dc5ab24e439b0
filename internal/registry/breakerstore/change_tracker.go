package breakerstore

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/transport/wire"
)

// ChangeTracker numbers the changes of the records that Observe sees, so that a polling proxy is sent only what changed since
// its last poll. It is local to one process: another process, or a later incarnation of this one, has another source, and a
// proxy that names a different source gets all records. It is safe for concurrent use.
//
// Invariants:
//   - version rises whenever Observe finds a record that differs, is new or was removed;
//   - versionedRecord.version is the version at which the record became what it is;
//   - a proxy that has a version of at least lastRemoval holds no record that has been removed since.
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

// Observe compares the table's records with those seen before. The caller must keep the table from changing meanwhile.
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

// Change has the records that a proxy does not have yet. The records are shared and must not be changed.
type Change struct {
	Records []*wire.BreakerRecord
	// Incremental means that Records holds only those that changed, and that the proxy's other records are unchanged.
	// Otherwise Records holds all there are.
	Incremental bool
	// Source and Version are what the proxy names in its next poll.
	Source, Version uint64
}

// Since returns the change from the version of a source that a proxy has: the records that changed since, or all if the source is
// another, if records were removed since, or if the version is zero or unknown.
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
