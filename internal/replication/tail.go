package replication

import (
	"slices"

	"snowflow/internal/transport/wire"
)

const (
	// mostTailBytes and mostTailEntries bound what a copy keeps of its last entries.
	mostTailBytes   = 2 << 20
	mostTailEntries = 1 << 14
)

// position is how far a copy is. A primary numbers within an epoch that it won in this life, and brings others into step within one, so a
// position names one state.
type position struct{ epoch, sequence uint64 }

// tail is what a copy remembers of the entries applied last, so that another copy that is a little behind need not be given the whole state.
//
// Invariants, searched by TestCopySearch: entries follow one another without gaps, the first right behind base; each position in marks is one of a state
// that this copy went through; a copy at a position that since knows has the state that this one had there.
type tail struct {
	base    position
	entries []*wire.Entry
	bytes   int
	marks   []position // positions that were given to a state besides that of its last entry
}

// reset begins anew behind a state at a position.
func (tail *tail) reset(base position) {
	tail.base, tail.entries, tail.bytes, tail.marks = base, nil, 0, nil
}

// add notes an entry that was applied.
func (tail *tail) add(entry *wire.Entry) {
	tail.entries = append(tail.entries, entry)
	tail.bytes += len(entry.Command)
	for tail.bytes > mostTailBytes || len(tail.entries) > mostTailEntries {
		oldest := tail.entries[0]
		tail.base = position{oldest.Epoch, oldest.Sequence}
		tail.bytes -= len(oldest.Command)
		tail.entries[0], tail.entries = nil, tail.entries[1:]
	}
	tail.marks = slices.DeleteFunc(tail.marks, func(mark position) bool { return mark.sequence < tail.base.sequence })
}

// mark notes that the present state has another position too.
func (tail *tail) mark(present position) {
	if !slices.Contains(tail.marks, present) {
		tail.marks = append(tail.marks, present)
	}
}

// since lists the entries behind a position, if this copy went through it and remembers all that followed.
func (tail *tail) since(present position) (missed []*wire.Entry, known bool) {
	if present == tail.base || slices.Contains(tail.marks, present) {
		known = true
	}
	at := slices.IndexFunc(tail.entries, func(entry *wire.Entry) bool { return entry.Sequence == present.sequence })
	if at >= 0 && tail.entries[at].Epoch == present.epoch {
		known = true
	}
	if !known {
		return nil, false
	}
	return slices.Clone(tail.entries[at+1:]), true // at is -1 for the base
}
