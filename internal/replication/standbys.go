package replication

import (
	"slices"

	"snowflow/internal/monotonic"
)

const (
	// standbyTimeout is how long after its last request a standby counts as in contact.
	standbyTimeout = 3 * monotonic.Second
	// standbyReportInterval is how long a standby may take to report to a new primary.
	standbyReportInterval = 1500 * monotonic.Millisecond
	// leaveTimeout is how long after its last request to leave a process counts as leaving. It is limited because the next process
	// of the same name isn't leaving.
	leaveTimeout = monotonic.Second
)

// standby is a process that asked to join the voters.
type standby struct {
	lastContact monotonic.Micros
	// hasRegister is set once the process has a register, so that it can vote as soon as it is added.
	hasRegister bool
}

// standbyTable holds the standbys that a primary knows, by name. A standby stays in it only by its own repeated requests. It isn't
// safe for concurrent use.
type standbyTable map[string]standby

// live returns the standbys in contact that have a register, sorted by name, and forgets those that are no longer in contact.
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

// leavingTable holds, by name, when each process that is shutting down last reported that. It isn't safe for concurrent use.
type leavingTable map[string]monotonic.Micros

// current returns the processes that reported within leaveTimeout that they are shutting down, and forgets the others.
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
