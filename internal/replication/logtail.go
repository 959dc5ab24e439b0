package replication

import (
	"slices"

	"snowflow/internal/transport/wire"
)

const (
	// maxTailBytes and maxTailEntries limit the entries that a replica keeps in memory.
	maxTailBytes   = 2 << 20
	maxTailEntries = 1 << 14
)

// logPosition is the position of a replica in the sequence of entries. It identifies one state, because each primary numbers
// entries, and brings other replicas up to date, only within an epoch that its own process won.
type logPosition struct{ epoch, sequence uint64 }

// logTail holds the entries that a replica applied last, so that another replica that is slightly behind can catch up without a
// snapshot of the whole state.
//
// Invariants, checked by TestReplicaSearch: entries follow one another without gaps, the first directly after base; each alias is
// the position of a state that this replica had; a replica at a position for which entriesAfter returns entries has the state
// that this one had there.
type logTail struct {
	base    logPosition
	entries []*wire.Entry
	// bytes is the total size of the entries' commands.
	bytes int
	// aliases are additional positions of states. A state gets one when its replica moves to a later epoch.
	aliases []logPosition
}

// reset forgets all entries. base is the position of the current state.
func (t *logTail) reset(base logPosition) {
	*t = logTail{base: base}
}

// add appends an applied entry, and forgets the oldest ones beyond the limits.
func (t *logTail) add(entry *wire.Entry) {
	t.entries = append(t.entries, entry)
	t.bytes += len(entry.Command)
	for t.bytes > maxTailBytes || len(t.entries) > maxTailEntries {
		oldest := t.entries[0]
		t.base = logPosition{oldest.Epoch, oldest.Sequence}
		t.bytes -= len(oldest.Command)
		t.entries[0], t.entries = nil, t.entries[1:]
	}
	t.aliases = slices.DeleteFunc(t.aliases, func(alias logPosition) bool { return alias.sequence < t.base.sequence })
}

// addAlias adds a position of the current state.
func (t *logTail) addAlias(position logPosition) {
	if !slices.Contains(t.aliases, position) {
		t.aliases = append(t.aliases, position)
	}
}

// entriesAfter returns the entries after a position. known is false if this replica was never at that position, or has forgotten
// some of those entries.
func (t *logTail) entriesAfter(position logPosition) (entries []*wire.Entry, known bool) {
	index := slices.IndexFunc(t.entries, func(entry *wire.Entry) bool { return entry.Sequence == position.sequence })
	known = position == t.base || slices.Contains(t.aliases, position) ||
		index >= 0 && t.entries[index].Epoch == position.epoch
	if !known {
		return nil, false
	}
	return slices.Clone(t.entries[index+1:]), true // index is -1 at base, whose following entries are all of them
}
