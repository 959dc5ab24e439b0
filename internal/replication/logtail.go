package replication

import (
	"slices"

	"snowflow/internal/transport/wire"
)

const (
	// maxTailBytes and maxTailEntries bound what a copy keeps of its last entries.
	maxTailBytes   = 2 << 20
	maxTailEntries = 1 << 14
)

// position is how far a copy is. A primary numbers within an epoch that it won in this life, and brings others into step within one, so a
// position names one state.
type logPosition struct{ epoch, sequence uint64 }

// tail is what a copy remembers of the entries applied last, so that another copy that is a little behind need not be given the whole state.
//
// Invariants, searched by TestReplicaSearch: entries follow one another without gaps, the first right behind base; each position in marks is one of a state
// that this copy went through; a copy at a position that since knows has the state that this one had there.
type logTail struct {
	base    logPosition
	entries []*wire.Entry
	bytes   int
	aliases []logPosition // positions that were given to a state besides that of its last entry
}

// reset begins anew behind a state at a position.
func (t *logTail) reset(base logPosition) {
	t.base, t.entries, t.bytes, t.aliases = base, nil, 0, nil
}

// add notes an entry that was applied.
func (t *logTail) add(entry *wire.Entry) {
	t.entries = append(t.entries, entry)
	t.bytes += len(entry.Command)
	for t.bytes > maxTailBytes || len(t.entries) > maxTailEntries {
		oldest := t.entries[0]
		t.base = logPosition{oldest.Epoch, oldest.Sequence}
		t.bytes -= len(oldest.Command)
		t.entries[0], t.entries = nil, t.entries[1:]
	}
	t.aliases = slices.DeleteFunc(t.aliases, func(mark logPosition) bool { return mark.sequence < t.base.sequence })
}

// mark notes that the present state has another position too.
func (t *logTail) addAlias(current logPosition) {
	if !slices.Contains(t.aliases, current) {
		t.aliases = append(t.aliases, current)
	}
}

// since lists the entries behind a position, if this copy went through it and remembers all that followed.
func (t *logTail) entriesAfter(current logPosition) (missed []*wire.Entry, known bool) {
	if current == t.base || slices.Contains(t.aliases, current) {
		known = true
	}
	at := slices.IndexFunc(t.entries, func(entry *wire.Entry) bool { return entry.Sequence == current.sequence })
	if at >= 0 && t.entries[at].Epoch == current.epoch {
		known = true
	}
	if !known {
		return nil, false
	}
	return slices.Clone(t.entries[at+1:]), true // at is -1 for the base
}
