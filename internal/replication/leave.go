package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// LeaveLimit is how long a planned stop waits at most for its copy and seat to be taken over.
	LeaveLimit = 2500 * monotonic.Millisecond
	// leavePause is how often a member that stops as planned asks whether it may go.
	leavePause = 50 * monotonic.Millisecond
	// applicantPause is how long a process that waits for a seat may take to tell a new primary so.
	applicantPause = 1500 * monotonic.Millisecond
	// leavePatience is how long after its last word a process counts as leaving: its next life is none that leaves.
	leavePatience = monotonic.Second
)

// Leave is for a planned stop. It hands the lead over and returns once this member holds no copy that is counted on, and its seat is taken by
// a successor if one waits; or when the limit has passed, since the process is ended then in any case.
func (member *Member) Leave(why string, limit monotonic.Micros) {
	place := member.env.Place
	cutoff := place.Now() + limit
	member.lock.Lock()
	member.stopping = true
	member.lock.Unlock()
	member.handOverTo(why, member.env.Name)
	for place.Now() < cutoff && !member.env.Abandon {
		if member.askLeave(cutoff - place.Now()) {
			place.Report(eventlog.MemberReleased, map[string]any{"group": member.env.Group})
			return
		}
		place.Sleep(min(leavePause, max(0, cutoff-place.Now())))
	}
	place.Report(eventlog.MemberNotReleased, map[string]any{"group": member.env.Group})
}

// askLeave asks the primary whether this member may go.
func (member *Member) askLeave(patience monotonic.Micros) bool {
	leader := member.env.Book.Leader(member.env.Group)
	if leader == "" || leader == member.env.Name {
		member.env.Book.Ask()
		return false
	}
	tell := &wire.JoinResponse{}
	ask := &wire.JoinRequest{To: leader, Name: member.env.Name, Leaving: true}
	err := member.env.Book.Call(leader, wire.Kind_join, ask, tell, min(patience, member.env.Patience))
	return err == nil && tell.Released
}

// answerLeave notes that a process stops as planned, and tells whether it may go: it holds no copy that is counted on, and no seat that a
// process that waits could take.
func (member *Member) answerLeave(name string) *wire.JoinResponse {
	if !member.Answering() {
		return &wire.JoinResponse{}
	}
	now := member.env.Place.Now()
	member.lock.Lock()
	member.leavers[name] = now
	delete(member.applicants, name)
	state := member.lead
	member.lock.Unlock()
	if slices.Contains(names(state.backups), name) {
		member.inbox.Put(nil) // the work task gives the copy to another
		return &wire.JoinResponse{Released: !member.spare(state.backups)}
	}
	_, present, _, found := member.observe()
	// A young primary doesn't know yet who waits.
	alone := len(found.waiting) == 0 && now-state.since >= applicantPause
	stuck := len(found.waiting) > 0 && found.next() == nil
	released := state.answering && len(present.joint) == 0 && (!slices.Contains(present.voters, name) || alone || stuck)
	if !released {
		member.nudge.Fire()
	}
	return &wire.JoinResponse{Released: released}
}

// leavingNow lists the processes that said lately that they stop as planned. The caller holds the lock.
func (member *Member) leavingNow(now monotonic.Micros) map[string]bool {
	leaving := map[string]bool{}
	for name, at := range member.leavers {
		if now-at > leavePatience {
			delete(member.leavers, name)
			continue
		}
		leaving[name] = true
	}
	return leaving
}

// relieveLeavers gives the copies of backups that stop as planned to other voters, before those that leave are let go.
func (member *Member) relieveLeavers() {
	member.lock.Lock()
	state, leaving := member.lead, member.leavingNow(member.env.Place.Now())
	member.lock.Unlock()
	leaves := func(backup *wire.MemberID) bool { return leaving[backup.Name] }
	if !state.answering || !slices.ContainsFunc(state.backups, leaves) || !member.spare(state.backups) {
		return
	}
	var going []*wire.MemberID
	for _, backup := range state.backups {
		if leaves(backup) {
			going = append(going, backup)
		}
	}
	member.dropBackups(going, "it stops as planned")
	member.settle(nil)
}
