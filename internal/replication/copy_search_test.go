package replication

import (
	"testing"

	"snowflow/internal/transport/wire"
)

// The copy search explores how three processes' copies are written, brought into step and lost: primaries that write while their backup hears them or
// not, successions, primaries of the past that still write and install, restarts that forget what only memory held, and one lost disk. It uses the code's own tail.
//
// What it holds: a position names one state; whoever the register names as a holder has every entry that was answered; and the primary that answers does.
// What it leaves out: ballots (the register is one value that changes by comparing) and leases (an entry is answered only while the register still
// names its writer's epoch, which is what a lease is for).

const (
	searchEntries = 3 // most entries in a log
	searchEpochs  = 8
)

// searchLog is a copy: its entries by their epochs, the first at sequence 1, and the epoch of its position.
type searchLog struct {
	entries [searchEntries]uint8
	length  uint8
	epoch   uint8
}

func (log searchLog) position() position {
	return position{uint64(log.epoch), uint64(log.length)}
}

// searchTail is what a copy's memory holds beside its log: where its entries begin, and further positions.
type searchTail struct {
	base  uint8 // entries before are forgotten
	label uint8 // the base's epoch
	marks [searchEpochs + 1]uint8
}

type copySearch struct {
	logs    [3]searchLog
	tails   [3]searchTail
	fenced  [3]uint8
	lead    [3]uint8 // the epoch that each thinks it leads, zero for none
	settled [3]bool
	partner [3]uint8 // one more than the backup of that lead, zero for none
	epoch   uint8    // the register's value
	primary uint8
	holders uint8 // a bit each
	stands  bool  // settled
	answer  [searchEntries]uint8
	answers uint8
	lost    bool
}

// copyRules are what may be left out.
type copyRules struct {
	bySequence bool // a tail goes by sequence alone
	unchecked  bool // a copy takes entries wherever it is
	anybody    bool // whoever wants takes over
}

// tailOf makes the code's own tail of a searched copy.
func (state *copySearch) tailOf(index int) *tail {
	log, memory := state.logs[index], state.tails[index]
	made := &tail{}
	made.reset(position{uint64(memory.label), uint64(memory.base)})
	for sequence := memory.base; sequence < log.length; sequence++ {
		made.add(&wire.Entry{Epoch: uint64(log.entries[sequence]), Sequence: uint64(sequence) + 1})
	}
	for epoch, sequence := range memory.marks {
		if sequence > 0 {
			made.mark(position{uint64(epoch), uint64(sequence) - 1})
		}
	}
	return made
}

// since is what a primary would send a copy, by the code's tail or by a broken one.
func (state *copySearch) since(from int, present position, rules copyRules) (missed []*wire.Entry, known bool) {
	made := state.tailOf(from)
	if missed, known = made.since(present); known || !rules.bySequence {
		return missed, known
	}
	for _, entry := range made.entries {
		if entry.Sequence > present.sequence {
			missed = append(missed, entry)
		}
	}
	return missed, present.sequence >= made.base.sequence && present.sequence <= uint64(state.logs[from].length)
}

// relabel gives a copy's state a position, by the primary of an epoch.
func (state *copySearch) relabel(index int, epoch uint8) {
	state.logs[index].epoch = max(state.logs[index].epoch, epoch)
	state.tails[index].marks[state.logs[index].epoch] = state.logs[index].length + 1
}

// bring has a primary, also one of the past, bring a copy into step.
func (state copySearch) bring(from, to int, rules copyRules, told position) (copySearch, bool) {
	epoch := state.lead[from]
	if epoch < state.fenced[to] || epoch < state.logs[to].epoch {
		return state, false
	}
	missed, known := state.since(from, told, rules)
	if known && told.sequence > 0 {
		if told != state.logs[to].position() && !rules.unchecked {
			return state, false
		}
		log := &state.logs[to]
		for _, entry := range missed {
			if log.length == searchEntries {
				return state, false
			}
			log.entries[log.length], log.epoch = uint8(entry.Epoch), uint8(entry.Epoch)
			log.length++
		}
		state.relabel(to, epoch)
	} else {
		state.logs[to] = state.logs[from]
		state.logs[to].epoch = max(state.logs[from].epoch, epoch)
		state.tails[to] = searchTail{base: state.logs[to].length, label: state.logs[to].epoch}
	}
	state.fenced[to] = max(state.fenced[to], epoch)
	if state.lead[to] != 0 && state.lead[to] < epoch {
		state.lead[to], state.settled[to], state.partner[to] = 0, false, 0
	}
	return state, true
}

func (state *copySearch) next(rules copyRules, visit func(copySearch)) {
	for index := range 3 {
		if state.epoch+2 <= searchEpochs && (state.holders&(1<<index) != 0 || rules.anybody) {
			next := *state
			next.epoch++
			next.primary, next.stands = uint8(index), false
			next.holders |= 1 << index
			next.lead[index], next.settled[index], next.partner[index] = next.epoch, false, 0
			next.fenced[index] = max(next.fenced[index], next.epoch)
			visit(next)
		}
		if restarted := *state; restarted.lead[index] != 0 || restarted.fenced[index] != 0 {
			restarted.lead[index], restarted.settled[index], restarted.partner[index], restarted.fenced[index] = 0, false, 0, 0
			restarted.tails[index] = searchTail{}
			visit(restarted)
		}
		if !state.lost && state.stands && state.holders != 1<<index {
			next := *state
			next.lost = true
			next.logs[index], next.tails[index], next.fenced[index] = searchLog{}, searchTail{}, 0
			next.lead[index], next.settled[index], next.partner[index] = 0, false, 0
			next.holders &^= 1 << index // a copy that was lost and begun anew is another holder
			visit(next)
		}
		if state.lead[index] == 0 {
			continue
		}
		for other := range 3 {
			if other != index {
				state.install(index, other, rules, visit)
			}
		}
		if state.settled[index] && state.logs[index].length < searchEntries {
			state.write(index, visit)
		}
	}
}

// install brings a copy into step and names it in the register, or fails to: the register may have moved on, or the answer be lost.
func (state *copySearch) install(index, other int, rules copyRules, visit func(copySearch)) {
	tolds := []position{state.logs[other].position()}
	if rules.unchecked {
		tolds = append(tolds, position{uint64(state.tails[other].label), uint64(state.tails[other].base)})
	}
	for _, told := range tolds {
		next, taken := state.bring(index, other, rules, told)
		if !taken {
			continue
		}
		visit(next)
		if next.epoch != next.lead[index] || next.primary != uint8(index) || next.epoch == searchEpochs {
			continue
		}
		installed := next.lead[index]
		next.epoch++
		next.holders, next.stands = 1<<index|1<<other, true
		next.lead[index], next.settled[index], next.partner[index] = next.epoch, true, uint8(other)+1
		next.relabel(index, installed)
		visit(next)
	}
}

// write has a primary write an entry, which its backup takes or not; it's answered while the register still names the epoch.
func (state *copySearch) write(index int, visit func(copySearch)) {
	epoch, backup := state.lead[index], int(state.partner[index])-1
	put := func(next *copySearch, at int) {
		log := &next.logs[at]
		log.entries[log.length], log.epoch = epoch, epoch
		log.length++
	}
	alone := *state
	put(&alone, index)
	// What isn't taken by the backup ends with another backup in this very epoch, or with the end of this lead.
	alone.settled[index], alone.partner[index] = false, 0
	visit(alone)
	fits := state.logs[backup].position() == state.logs[index].position() && epoch >= state.fenced[backup]
	if !fits {
		return
	}
	both := *state
	put(&both, index)
	put(&both, backup)
	both.fenced[backup] = max(both.fenced[backup], epoch)
	if both.epoch == epoch && both.stands {
		both.answer, both.answers = both.logs[index].entries, both.logs[index].length
		visit(both)
		return
	}
	visit(both)
	remote := *state
	put(&remote, backup)
	remote.lead[index], remote.settled[index], remote.partner[index] = 0, false, 0
	visit(remote)
}

// broken tells what doesn't hold.
func (state *copySearch) broken() string {
	for one := range 3 {
		for other := range one {
			if state.logs[one].length > 0 && state.logs[one].position() == state.logs[other].position() && state.logs[one].entries != state.logs[other].entries {
				return "one position names two states"
			}
		}
		if state.holders&(1<<one) == 0 {
			continue
		}
		for sequence := range state.answers {
			if state.logs[one].length <= sequence || state.logs[one].entries[sequence] != state.answer[sequence] {
				return "a holder lacks what was answered"
			}
		}
	}
	return ""
}

// searchCopies explores breadth first, to a depth, and tells what it found first.
func searchCopies(rules copyRules, depth int) (states int, found string) {
	start := copySearch{epoch: 1, holders: 1, primary: 0}
	start.lead[0], start.fenced[0] = 1, 1
	seen, front := map[copySearch]bool{start: true}, []copySearch{start}
	for range depth {
		var further []copySearch
		for _, state := range front {
			state.next(rules, func(next copySearch) {
				if found != "" || seen[next] {
					return
				}
				seen[next] = true
				if found = next.broken(); found == "" {
					further = append(further, next)
				}
			})
			if found != "" {
				return len(seen), found
			}
		}
		front = further
	}
	return len(seen), ""
}

// TestCopySearch: with the rules as they are nothing is found, and with each left out something is. One more was left out on trial, that a copy which
// caught up takes the position that its primary gives it: to a depth of 9 nothing was found in 3,519,860 states. It's kept.
func TestCopySearch(t *testing.T) {
	states, found := searchCopies(copyRules{}, 7)
	t.Logf("%d states", states)
	if found != "" || states < 10000 {
		t.Errorf("%d states: %s", states, found)
	}
	for name, rules := range map[string]copyRules{
		"a tail that goes by sequence alone":       {bySequence: true},
		"a copy that takes entries wherever it is": {unchecked: true},
		"whoever wants takes over":                 {anybody: true},
	} {
		t.Run(name, func(t *testing.T) {
			states, found := searchCopies(rules, 9)
			t.Logf("%d states: %s", states, found)
			if found == "" {
				t.Errorf("nothing was found in %d states", states)
			}
		})
	}
}
