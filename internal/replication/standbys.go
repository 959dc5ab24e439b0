package replication

import (
	"slices"

	"snowflow/internal/monotonic"
)

const (
	// standbyTimeout is how long after its last request a standby counts as being in contact.
	standbyTimeout = 3 * monotonic.Second
	// standbyReportInterval is how long a standby may take to report to a new primary.
	standbyReportInterval = 1500 * monotonic.Millisecond
	// leaveTimeout is how long after its last request a process counts as leaving: the next process of its name doesn't.
	leaveTimeout = monotonic.Second
)

// standby is a process that asked to join the voters.
type standby struct {
	lastContact monotonic.Micros
	// hasRegister is set once the process has a register, so that it can vote as soon as it is added.
	hasRegister bool
}

// standbyTable is the standbys that a primary knows, by name. Only its own requests keep a standby in it. It isn't safe for
// concurrent use.
type standbyTable map[string]standby

// live returns the standbys in contact that have a register, sorted by name, and forgets those that are silent.
func (t standbyTable) live(now monotonic.Micros) (names []string) {
	for name, standby := range t {
		if now-standby.lastContact > standbyTimeout {
			delete(t, name)
		} else if standby.hasRegister {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// leavingTable is when each process that is shutting down last said so, by name. It isn't safe for concurrent use.
type leavingTable map[string]monotonic.Micros

// current returns the processes that said lately that they are shutting down, and forgets older ones.
func (t leavingTable) current(now monotonic.Micros) map[string]bool {
	leaving := map[string]bool{}
	for name, at := range t {
		if now-at > leaveTimeout {
			delete(t, name)
			continue
		}
		leaving[name] = true
	}
	return leaving
}
