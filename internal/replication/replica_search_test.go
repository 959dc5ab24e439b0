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

// searchReplica is a copy: its entries by their epochs, the first at sequence 1, and the epoch of its position.
type searchReplica struct {
	entries [searchEntries]uint8
	length  uint8
	epoch   uint8
}

func (log searchReplica) logPosition() logPosition {
	return logPosition{uint64(log.epoch), uint64(log.length)}
}

// searchTail is what a copy's memory holds beside its log: where its entries begin, and further positions.
type searchTail struct {
	base      uint8 // entries before are forgotten
	baseEpoch uint8 // the base's epoch
	aliases   [searchEpochs + 1]uint8
}

type replicaSearch struct {
	logs                [3]searchReplica
	tails               [3]searchTail
	fenced              [3]uint8
	leads               [3]uint8 // the epoch that each thinks it leads, zero for none
	established         [3]bool
	backups             [3]uint8 // one more than the backup of that lead, zero for none
	epoch               uint8    // the register's value
	primary             uint8
	holders             uint8 // a bit each
	registerEstablished bool  // settled
	acknowledged        [searchEntries]uint8
	acknowledgedLength  uint8
	lost                bool
}

// replicaRules are what may be left out.
type replicaRules struct {
	bySequence        bool // a tail goes by sequence alone
	skipPositionCheck bool // a copy takes entries wherever it is
	anyoneCampaigns   bool // whoever wants takes over
}

// tailOf makes the code's own tail of a searched copy.
func (state *replicaSearch) tailOf(index int) *logTail {
	log, memory := state.logs[index], state.tails[index]
	made := &logTail{}
	made.reset(logPosition{uint64(memory.baseEpoch), uint64(memory.base)})
	for sequence := memory.base; sequence < log.length; sequence++ {
		made.add(&wire.Entry{Epoch: uint64(log.entries[sequence]), Sequence: uint64(sequence) + 1})
	}
	for epoch, sequence := range memory.aliases {
		if sequence > 0 {
			made.addAlias(logPosition{uint64(epoch), uint64(sequence) - 1})
		}
	}
	return made
}

// since is what a primary would send a copy, by the code's tail or by a broken one.
func (state *replicaSearch) entriesAfter(from int, current logPosition, rules replicaRules) (missed []*wire.Entry, known bool) {
	made := state.tailOf(from)
	if missed, known = made.entriesAfter(current); known || !rules.bySequence {
		return missed, known
	}
	for _, entry := range made.entries {
		if entry.Sequence > current.sequence {
			missed = append(missed, entry)
		}
	}
	return missed, current.sequence >= made.base.sequence && current.sequence <= uint64(state.logs[from].length)
}

// relabel gives a copy's state a position, by the primary of an epoch.
func (state *replicaSearch) addAlias(index int, epoch uint8) {
	state.logs[index].epoch = max(state.logs[index].epoch, epoch)
	state.tails[index].aliases[state.logs[index].epoch] = state.logs[index].length + 1
}

// bring has a primary, also one of the past, bring a copy into step.
func (state replicaSearch) catchUp(from, to int, rules replicaRules, reported logPosition) (replicaSearch, bool) {
	epoch := state.leads[from]
	if epoch < state.fenced[to] || epoch < state.logs[to].epoch {
		return state, false
	}
	missed, known := state.entriesAfter(from, reported, rules)
	if known && reported.sequence > 0 {
		if reported != state.logs[to].logPosition() && !rules.skipPositionCheck {
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
		state.addAlias(to, epoch)
	} else {
		state.logs[to] = state.logs[from]
		state.logs[to].epoch = max(state.logs[from].epoch, epoch)
		state.tails[to] = searchTail{base: state.logs[to].length, baseEpoch: state.logs[to].epoch}
	}
	state.fenced[to] = max(state.fenced[to], epoch)
	if state.leads[to] != 0 && state.leads[to] < epoch {
		state.leads[to], state.established[to], state.backups[to] = 0, false, 0
	}
	return state, true
}

func (state *replicaSearch) next(rules replicaRules, visit func(replicaSearch)) {
	for index := range 3 {
		if state.epoch+2 <= searchEpochs && (state.holders&(1<<index) != 0 || rules.anyoneCampaigns) {
			next := *state
			next.epoch++
			next.primary, next.registerEstablished = uint8(index), false
			next.holders |= 1 << index
			next.leads[index], next.established[index], next.backups[index] = next.epoch, false, 0
			next.fenced[index] = max(next.fenced[index], next.epoch)
			visit(next)
		}
		if restarted := *state; restarted.leads[index] != 0 || restarted.fenced[index] != 0 {
			restarted.leads[index], restarted.established[index], restarted.backups[index], restarted.fenced[index] = 0, false, 0, 0
			restarted.tails[index] = searchTail{}
			visit(restarted)
		}
		if !state.lost && state.registerEstablished && state.holders != 1<<index {
			next := *state
			next.lost = true
			next.logs[index], next.tails[index], next.fenced[index] = searchReplica{}, searchTail{}, 0
			next.leads[index], next.established[index], next.backups[index] = 0, false, 0
			next.holders &^= 1 << index // a copy that was lost and begun anew is another holder
			visit(next)
		}
		if state.leads[index] == 0 {
			continue
		}
		for other := range 3 {
			if other != index {
				state.install(index, other, rules, visit)
			}
		}
		if state.established[index] && state.logs[index].length < searchEntries {
			state.write(index, visit)
		}
	}
}

// install brings a copy into step and names it in the register, or fails to: the register may have moved on, or the answer be lost.
func (state *replicaSearch) install(index, other int, rules replicaRules, visit func(replicaSearch)) {
	reports := []logPosition{state.logs[other].logPosition()}
	if rules.skipPositionCheck {
		reports = append(reports, logPosition{uint64(state.tails[other].baseEpoch), uint64(state.tails[other].base)})
	}
	for _, reported := range reports {
		next, taken := state.catchUp(index, other, rules, reported)
		if !taken {
			continue
		}
		visit(next)
		if next.epoch != next.leads[index] || next.primary != uint8(index) || next.epoch == searchEpochs {
			continue
		}
		installed := next.leads[index]
		next.epoch++
		next.holders, next.registerEstablished = 1<<index|1<<other, true
		next.leads[index], next.established[index], next.backups[index] = next.epoch, true, uint8(other)+1
		next.addAlias(index, installed)
		visit(next)
	}
}

// write has a primary write an entry, which its backup takes or not; it's answered while the register still names the epoch.
func (state *replicaSearch) write(index int, visit func(replicaSearch)) {
	epoch, backup := state.leads[index], int(state.backups[index])-1
	put := func(next *replicaSearch, at int) {
		log := &next.logs[at]
		log.entries[log.length], log.epoch = epoch, epoch
		log.length++
	}
	alone := *state
	put(&alone, index)
	// What isn't taken by the backup ends with another backup in this very epoch, or with the end of this lead.
	alone.established[index], alone.backups[index] = false, 0
	visit(alone)
	fits := state.logs[backup].logPosition() == state.logs[index].logPosition() && epoch >= state.fenced[backup]
	if !fits {
		return
	}
	both := *state
	put(&both, index)
	put(&both, backup)
	both.fenced[backup] = max(both.fenced[backup], epoch)
	if both.epoch == epoch && both.registerEstablished {
		both.acknowledged, both.acknowledgedLength = both.logs[index].entries, both.logs[index].length
		visit(both)
		return
	}
	visit(both)
	remote := *state
	put(&remote, backup)
	remote.leads[index], remote.established[index], remote.backups[index] = 0, false, 0
	visit(remote)
}

// broken tells what doesn't hold.
func (state *replicaSearch) broken() string {
	for one := range 3 {
		for other := range one {
			if state.logs[one].length > 0 && state.logs[one].logPosition() == state.logs[other].logPosition() && state.logs[one].entries != state.logs[other].entries {
				return "one position names two states"
			}
		}
		if state.holders&(1<<one) == 0 {
			continue
		}
		for sequence := range state.acknowledgedLength {
			if state.logs[one].length <= sequence || state.logs[one].entries[sequence] != state.acknowledged[sequence] {
				return "a holder lacks what was answered"
			}
		}
	}
	return ""
}

// searchReplicas explores breadth first, to a depth, and tells what it found first.
func searchReplicas(rules replicaRules, depth int) (states int, found string) {
	start := replicaSearch{epoch: 1, holders: 1, primary: 0}
	start.leads[0], start.fenced[0] = 1, 1
	seen, front := map[replicaSearch]bool{start: true}, []replicaSearch{start}
	for range depth {
		var further []replicaSearch
		for _, state := range front {
			state.next(rules, func(next replicaSearch) {
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

// TestReplicaSearch: with the rules as they are nothing is found, and with each left out something is. One more was left out on trial, that a copy which
// caught up takes the position that its primary gives it: to a depth of 9 nothing was found in 3,519,860 states. It's kept.
func TestReplicaSearch(t *testing.T) {
	states, found := searchReplicas(replicaRules{}, 7)
	t.Logf("%d states", states)
	if found != "" || states < 10000 {
		t.Errorf("%d states: %s", states, found)
	}
	for name, rules := range map[string]replicaRules{
		"a tail that goes by sequence alone":       {bySequence: true},
		"a copy that takes entries wherever it is": {skipPositionCheck: true},
		"whoever wants takes over":                 {anyoneCampaigns: true},
	} {
		t.Run(name, func(t *testing.T) {
			states, found := searchReplicas(rules, 9)
			t.Logf("%d states: %s", states, found)
			if found == "" {
				t.Errorf("nothing was found in %d states", states)
			}
		})
	}
}
