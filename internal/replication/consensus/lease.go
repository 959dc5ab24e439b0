package consensus

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// GrantLease decides whether to grant a lease to a primary. If it is granted, ConfirmLease must be called after the sync.
func (v *Voter) GrantLease(clock Clock, request *wire.LeaseRequest) Decision[*wire.LeaseResponse] {
	response := v.leaseResponse()
	reject := func(err error) Decision[*wire.LeaseResponse] {
		response.Reason = err.Error()
		return Decision[*wire.LeaseResponse]{Response: response, Rejection: err}
	}
	if err := v.checkConfig(quorum.Config{Voters: request.Voters, Joint: request.JointVoters}, request.KnownProposal); err != nil {
		return reject(err)
	}
	// A primary's own proposal, in flight or accepted, doesn't preempt its lease: only that primary can get it chosen,
	// and it doesn't serve until it knows the outcome.
	preempted := v.record.Promised > request.Proposal && !SameMember(v.promise.proposer, request.Leader)
	superseded := v.record.Value != nil && v.record.Value.Epoch > request.Epoch && !SameMember(v.record.Value.Primary, request.Leader)
	if err := v.checkVote(clock, request.Leader, preempted || superseded); err != nil {
		return reject(err)
	}
	response.Granted = true
	decision := Decision[*wire.LeaseResponse]{Response: response}
	if grantees := v.granteesWith(clock.Now, request.Leader.Name, request.ProcessId); !sameGrantees(grantees, v.record.Grantees) {
		decision.Record = v.copyRecord()
		decision.Record.Grantees = grantees
	}
	return decision
}

// ConfirmLease starts the duration of a granted lease.
func (v *Voter) ConfirmLease(now monotonic.Micros, leader *wire.MemberID) {
	v.grant = leaseGrant{leader: leader, until: now + v.options.LeaseDuration}
}

// ReleaseLease ends a lease at the request of its leader. A delayed request of a process that has ended is ignored: the
// lease may have been granted to the next process of that name since then.
func (v *Voter) ReleaseLease(request *wire.LeaseRequest) *wire.LeaseResponse {
	onlyGrantee := []*wire.Grantee{{Name: request.Leader.Name, ProcessId: request.ProcessId}}
	if SameMember(v.grant.leader, request.Leader) && sameGrantees(v.record.Grantees, onlyGrantee) {
		v.grant = leaseGrant{}
	}
	return v.leaseResponse()
}

func (v *Voter) leaseResponse() *wire.LeaseResponse {
	return &wire.LeaseResponse{Promised: v.record.Promised, Accepted: v.record.Accepted, Value: v.record.Value}
}

// OtherLeaseRemaining returns the remaining time of a lease granted to a member other than the given one, or zero if there
// is none.
func (v *Voter) OtherLeaseRemaining(now monotonic.Micros, member *wire.MemberID) monotonic.Micros {
	if !v.leaseActive(now) || SameMember(v.grant.leader, member) {
		return 0
	}
	return v.grant.until - now
}

func (v *Voter) leaseActive(now monotonic.Micros) bool {
	return v.grant.leader != nil && now < v.grant.until
}

// LeaseStatus describes the lease that keeps a voter from promising or granting anything to members other than the
// leader. The wait of a restarted voter is reported as the lease of an unknown leader.
type LeaseStatus struct {
	// Remaining is zero if there is no such lease.
	Remaining monotonic.Micros
	// Leader is the name of the lease's leader, empty if it is unknown or there is no lease.
	Leader string
}

// LeaseStatus returns the active lease, or the wait after a restart.
func (v *Voter) LeaseStatus(now monotonic.Micros) LeaseStatus {
	switch {
	case !v.WaitOver(now):
		return LeaseStatus{Remaining: v.votesAfter - now}
	case v.leaseActive(now):
		return LeaseStatus{Remaining: v.grant.until - now, Leader: v.grant.leader.Name}
	}
	return LeaseStatus{}
}

// WaitOver reports whether the wait is over, so all leases that an earlier process may have granted have ended.
func (v *Voter) WaitOver(now monotonic.Micros) bool { return now >= v.votesAfter }

// DeferVotes makes the voter wait at least until the given time, even if its grantees are found to have ended.
func (v *Voter) DeferVotes(until monotonic.Micros) {
	v.votesAfter, v.waitMayEndEarly = max(v.votesAfter, until), false
}

// EndWait ends the voter's wait. It is for the first start of a group, before which no lease was granted.
func (v *Voter) EndWait(now monotonic.Micros) { v.votesAfter = now }

// ObserveProcesses takes the current process ID of each member, by name. The wait ends if every grantee is known to have
// been succeeded by another process of its name. The IDs must come from answers to this process's own reads: these were
// given after the grant, while a delayed request may be older.
func (v *Voter) ObserveProcesses(now monotonic.Micros, processIDs map[string]uint64) {
	mayBeRunning := func(grantee *wire.Grantee) bool {
		current := processIDs[grantee.Name]
		return grantee.ProcessId == 0 || current == 0 || current == grantee.ProcessId
	}
	if v.waitMayEndEarly && !slices.ContainsFunc(v.record.Grantees, mayBeRunning) {
		v.votesAfter, v.waitMayEndEarly = min(v.votesAfter, now), false
	}
}

// granteesWith returns the processes that may hold a lease granted here after a promise or grant to one more process.
// Earlier grantees remain while a lease is active: the delayed request of a process that has ended may be granted after
// that of its successor.
func (v *Voter) granteesWith(now monotonic.Micros, name string, processID uint64) (grantees []*wire.Grantee) {
	added := &wire.Grantee{Name: name, ProcessId: processID}
	if v.leaseActive(now) {
		grantees = slices.Clone(v.record.Grantees)
	}
	if !slices.ContainsFunc(grantees, func(grantee *wire.Grantee) bool { return sameGrantee(grantee, added) }) {
		grantees = append(grantees, added)
	}
	return grantees
}

func sameGrantee(a, b *wire.Grantee) bool { return a.Name == b.Name && a.ProcessId == b.ProcessId }

func sameGrantees(a, b []*wire.Grantee) bool { return slices.EqualFunc(a, b, sameGrantee) }
