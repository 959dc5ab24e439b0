package consensus

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// GrantLease decides whether to grant a primary a lease. If it is granted, ConfirmLease must follow the sync.
func (v *Voter) GrantLease(clock Clock, request *wire.LeaseRequest) Decision[*wire.LeaseResponse] {
	response := v.leaseResponse()
	reject := func(err error) Decision[*wire.LeaseResponse] {
		response.Reason = err.Error()
		return Decision[*wire.LeaseResponse]{Response: response, Rejection: err}
	}
	if err := v.checkConfig(quorum.Config{Voters: request.Voters, Joint: request.JointVoters}, request.KnownProposal); err != nil {
		return reject(err)
	}
	// A primary's own proposal, in flight or accepted, doesn't preempt its lease: only that primary can have it chosen,
	// and it serves nothing until it knows the outcome.
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

// ConfirmLease starts a granted lease.
func (v *Voter) ConfirmLease(now monotonic.Micros, leader *wire.MemberID) {
	v.grant = leaseGrant{leader: leader, until: now + v.options.LeaseDuration}
}

// ReleaseLease ends a lease at its leader's request. A delayed request of an ended process is ignored: the lease may
// since have been granted to the next process of that name.
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

// OtherLeaseRemaining returns how long a lease granted to another member than this one remains, zero if there is none.
func (v *Voter) OtherLeaseRemaining(now monotonic.Micros, member *wire.MemberID) monotonic.Micros {
	if !v.leaseStands(now) || SameMember(v.grant.leader, member) {
		return 0
	}
	return v.grant.until - now
}

func (v *Voter) leaseStands(now monotonic.Micros) bool {
	return v.grant.leader != nil && now < v.grant.until
}

// LeaseStatus says for how long a voter promises and grants nothing, except to the leader that it granted a lease. Until
// a restarted voter's wait is over, it counts as a lease of an unknown leader.
type LeaseStatus struct {
	// Remaining is zero if the voter is free.
	Remaining monotonic.Micros
	// Leader is the name of the leader that is excepted, empty if nobody is.
	Leader string
}

// LeaseStatus returns whether a lease keeps this voter from promising and granting, and whose.
func (v *Voter) LeaseStatus(now monotonic.Micros) LeaseStatus {
	switch {
	case !v.WaitOver(now):
		return LeaseStatus{Remaining: v.votesAfter - now}
	case v.leaseStands(now):
		return LeaseStatus{Remaining: v.grant.until - now, Leader: v.grant.leader.Name}
	}
	return LeaseStatus{}
}

// WaitOver reports whether leases that an earlier process may have granted have ended.
func (v *Voter) WaitOver(now monotonic.Micros) bool { return now >= v.votesAfter }

// DeferVotes makes the voter wait, even if its grantees are found to have ended.
func (v *Voter) DeferVotes(until monotonic.Micros) {
	v.votesAfter, v.awaitsGrantees = max(v.votesAfter, until), false
}

// EndWait ends the voter's wait: it takes part in the first start of the group, before which nobody held a lease.
func (v *Voter) EndWait(now monotonic.Micros) { v.votesAfter = now }

// ObserveProcesses takes the present process ID of each name, as read from it by this process. The wait for leases of an
// earlier process ends if every grantee is known to have been followed by another process of its name. Only answers to
// this process's own reads count: they were given after the grant, while a delayed request may be older.
func (v *Voter) ObserveProcesses(now monotonic.Micros, processIDs map[string]uint64) {
	mayBeAlive := func(grantee *wire.Grantee) bool {
		present := processIDs[grantee.Name]
		return grantee.ProcessId == 0 || present == 0 || present == grantee.ProcessId
	}
	if v.awaitsGrantees && !slices.ContainsFunc(v.record.Grantees, mayBeAlive) {
		v.votesAfter, v.awaitsGrantees = min(v.votesAfter, now), false
	}
}

// granteesWith returns who may hold a lease granted here once one more process is promised or granted something. While
// a lease stands earlier grantees remain: a delayed request of an ended process may be granted after its successor's.
func (v *Voter) granteesWith(now monotonic.Micros, name string, processID uint64) (grantees []*wire.Grantee) {
	added := &wire.Grantee{Name: name, ProcessId: processID}
	if v.leaseStands(now) {
		grantees = slices.Clone(v.record.Grantees)
	}
	if !slices.ContainsFunc(grantees, func(grantee *wire.Grantee) bool { return sameGrantee(grantee, added) }) {
		grantees = append(grantees, added)
	}
	return grantees
}

func sameGrantee(a, b *wire.Grantee) bool { return a.Name == b.Name && a.ProcessId == b.ProcessId }

func sameGrantees(a, b []*wire.Grantee) bool { return slices.EqualFunc(a, b, sameGrantee) }
