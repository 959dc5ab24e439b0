package replication

import (
	"slices"

	"snowflow/internal/transport/wire"
)

const (
	// maxTailBytes and maxTailEntries limit how many entries a replica keeps in memory.
	maxTailBytes   = 2 << 20
	maxTailEntries = 1 << 14
)

// logPosition is how far a replica is. It names one state: a primary numbers within an epoch that its process won, and brings
// other replicas into step within one.
type logPosition struct{ epoch, sequence uint64 }

// logTail holds the entries that a replica applied last, so that another replica that is a little behind needn't be sent the
// whole state.
//
// Invariants, explored by TestReplicaSearch: entries follow one another without gaps, the first right after base; each alias is
// the position of a state that this replica had; a replica at a position for which entriesAfter returns entries has the state
// that this one had there.
type logTail struct {
	base    logPosition
	entries []*wire.Entry
	// bytes is the size of the entries' commands.
	bytes int
	// aliases are positions that a state was given besides that of its last entry.
	aliases []logPosition
}

// reset forgets all entries. base is the position of the present state.
func (t *logTail) reset(base logPosition) {
	*t = logTail{base: base}
}

// add takes an entry that was applied, and forgets the oldest ones beyond the limits.
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

// addAlias gives the present state another position.
func (t *logTail) addAlias(position logPosition) {
	if !slices.Contains(t.aliases, position) {
		t.aliases = append(t.aliases, position)
	}
}

// entriesAfter returns the entries after a position. known is false if this replica never was there, or has forgotten some of
// those entries.
func (t *logTail) entriesAfter(position logPosition) (entries []*wire.Entry, known bool) {
	index := slices.IndexFunc(t.entries, func(entry *wire.Entry) bool { return entry.Sequence == position.sequence })
	known = position == t.base || slices.Contains(t.aliases, position) ||
		index >= 0 && t.entries[index].Epoch == position.epoch
	if !known {
		return nil, false
	}
	return slices.Clone(t.entries[index+1:]), true // index is -1 for the base
}
