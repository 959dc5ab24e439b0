package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// Options configure a voter.
type Options struct {
	// InitialVoters are the voters from the process's settings. They apply until a register value names others.
	InitialVoters []string
	// LeaseDuration is how long a granted lease is valid. It is also how long a promise is valid for an accept request, and
	// how long a restarted voter waits.
	LeaseDuration monotonic.Micros
}

// Clock is a reading of the voter's clock.
type Clock struct {
	Now monotonic.Micros
	// Steady reports whether, as far as this process can tell, the clock has not jumped.
	Steady bool
}

// Decision is a voter's answer to one request, and the record that it depends on.
type Decision[Response any] struct {
	Response Response
	// Record must be synced before Response is sent. It is nil if there is nothing to write.
	Record *wire.RegisterRecord
	// Rejection is the reason why the request is rejected, or nil if it is granted.
	Rejection error
}

// Voter is one voter of a group's register. It isn't safe for concurrent use.
//
// Invariants:
//   - a response that depends on a record is sent only once that record is on disk;
//   - record.Promised >= record.Accepted;
//   - only the newest proposal that this process promised within the last lease duration is accepted: a voter that lost its
//     disk can't complete a proposal that its earlier process promised;
//   - a grant is shortened only by its leader, and nothing is promised or granted to other members before it ends;
//   - nothing is promised, accepted or granted before votesAfter, because an earlier process may have granted a lease;
//   - every process that may hold a lease granted here is in record.Grantees, which is on disk before the grant is sent;
//   - votesAfter is brought forward only while the grants of an earlier process are the sole reason for the wait
//     (waitMayEndEarly), and only once every grantee's process is known to have ended: a lease ends with its process.
type Voter struct {
	options         Options
	record          *wire.RegisterRecord
	promise         promise
	grant           leaseGrant
	votesAfter      monotonic.Micros
	waitMayEndEarly bool
}

// promise is the newest promise of this process. The zero value means none.
type promise struct {
	proposer   *wire.MemberID
	promisedAt monotonic.Micros
}

// leaseGrant is the newest lease granted by this process. The zero value means none.
type leaseGrant struct {
	leader *wire.MemberID
	until  monotonic.Micros
}

// NewVoter returns a voter with an empty register. Restore must be called before the voter is used.
func NewVoter(options Options) *Voter {
	return &Voter{options: options, record: &wire.RegisterRecord{}}
}

// Restore sets the record read from disk at the start of the process (an empty one if there was none), and starts the wait.
func (v *Voter) Restore(now monotonic.Micros, record *wire.RegisterRecord) {
	v.record = record
	v.votesAfter = now + v.options.LeaseDuration
	v.waitMayEndEarly = record.Joined && len(record.Grantees) > 0
}

// Record returns the record on disk. The caller must not modify it.
func (v *Voter) Record() *wire.RegisterRecord { return v.record }

// RecordSaved makes a record the current one. The caller must have synced it to disk.
func (v *Voter) RecordSaved(record *wire.RegisterRecord) { v.record = record }

// Joined reports whether this voter has a register. Without one it doesn't vote.
func (v *Voter) Joined() bool { return v.record.Joined }

// Prepare decides whether to promise a proposal number. If it is granted, ConfirmPromise must be called after the sync.
func (v *Voter) Prepare(clock Clock, request *wire.PrepareRequest) Decision[*wire.PrepareResponse] {
	response := &wire.PrepareResponse{Promised: v.record.Promised, Incarnation: v.record.Incarnation}
	if err := v.checkConfig(quorum.Config{Voters: request.Voters, Joint: request.JointVoters}, request.KnownProposal); err != nil {
		response.Reason, response.Accepted, response.Value = err.Error(), v.record.Accepted, v.record.Value
		return Decision[*wire.PrepareResponse]{Response: response, Rejection: err}
	}
	if err := v.checkVote(clock, request.Proposer, request.Proposal <= v.record.Promised); err != nil {
		response.Reason = err.Error()
		return Decision[*wire.PrepareResponse]{Response: response, Rejection: err}
	}
	record := v.copyRecord()
	record.Promised = request.Proposal
	record.Grantees = v.granteesWith(clock.Now, request.Proposer.Name, request.ProcessId)
	response.Granted, response.Promised = true, record.Promised
	response.Accepted, response.Value = record.Accepted, record.Value
	return Decision[*wire.PrepareResponse]{Response: response, Record: record}
}

// ConfirmPromise starts the lease duration within which the promised proposal may be accepted.
func (v *Voter) ConfirmPromise(now monotonic.Micros, proposer *wire.MemberID) {
	v.promise = promise{proposer: proposer, promisedAt: now}
}

// Accept decides whether to store the value of a promised proposal.
func (v *Voter) Accept(clock Clock, request *wire.AcceptRequest) Decision[*wire.AcceptResponse] {
	response := &wire.AcceptResponse{Promised: v.record.Promised}
	fresh := v.promise.proposer != nil && clock.Now-v.promise.promisedAt <= v.options.LeaseDuration
	stale := request.Proposal != v.record.Promised || !fresh || !SameMember(request.Proposer, v.promise.proposer)
	if err := v.checkVote(clock, request.Proposer, stale); err != nil {
		response.Reason = err.Error()
		return Decision[*wire.AcceptResponse]{Response: response, Rejection: err}
	}
	record := v.copyRecord()
	record.Accepted, record.Value = request.Proposal, request.Value
	response.Granted = true
	return Decision[*wire.AcceptResponse]{Response: response, Record: record}
}

// Join returns the record with which a voter that has no register starts to vote, once it is saved.
func (v *Voter) Join(promised, accepted uint64, value *wire.RegisterValue) *wire.RegisterRecord {
	record := v.copyRecord()
	record.Joined, record.Promised, record.Accepted, record.Value = true, promised, accepted, value
	return record
}

// CheckInitialVoters returns an *InitialVotersError if a member's settings name other initial voters. An empty list is
// allowed, because earlier releases send none.
func (v *Voter) CheckInitialVoters(voters []string) error {
	if len(voters) == 0 || slices.Equal(voters, v.options.InitialVoters) {
		return nil
	}
	return &InitialVotersError{Remote: voters, Local: v.options.InitialVoters}
}

// checkConfig compares the configuration of a request with this voter's. The requesting member derived it from the value
// of the proposal whose number is known. It returns nil, an *OutdatedConfigError or an *InitialVotersError.
func (v *Voter) checkConfig(requested quorum.Config, known uint64) error {
	value := v.record.Value
	switch {
	case len(requested.Voters) == 0 || known > v.record.Accepted || requested.Equal(ConfigOf(value, v.options.InitialVoters)):
		return nil
	case value == nil || known == 0 && len(value.Voters) == 0:
		return v.CheckInitialVoters(requested.Voters)
	}
	return &OutdatedConfigError{Voters: value.Voters}
}

// checkVote returns the reason to reject a proposer or primary, or nil if there is none.
func (v *Voter) checkVote(clock Clock, proposer *wire.MemberID, stale bool) error {
	switch {
	case !v.Joined() || !v.WaitOver(clock.Now):
		return ErrNotVoting
	case !clock.Steady:
		return ErrClockUnsteady
	case v.OtherLeaseRemaining(clock.Now, proposer) > 0:
		return ErrLeaseGranted
	case stale:
		return ErrStaleProposal
	}
	return nil
}

func (v *Voter) copyRecord() *wire.RegisterRecord { return proto.CloneOf(v.record) }
