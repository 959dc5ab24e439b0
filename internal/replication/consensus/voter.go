package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// Options are a voter's settings.
type Options struct {
	// InitialVoters are the voters of the settings, which decide until a register value names others.
	InitialVoters []string
	// LeaseDuration is how long a granted lease is valid. It also bounds how long a promise may be followed by an accept
	// request, and how long a restarted voter waits.
	LeaseDuration monotonic.Micros
}

// Clock is a reading of the voter's clock.
type Clock struct {
	Now monotonic.Micros
	// Steady reports whether the clock has advanced as time did, as far as this process can tell.
	Steady bool
}

// Decision is how a voter answers one request.
type Decision[Response any] struct {
	Response Response
	// Record must be synced before Response is sent. It is nil if nothing is to be written.
	Record *wire.RegisterRecord
	// Rejection says why the request is rejected. It is nil if the request is granted.
	Rejection error
}

// Voter is one voter of a group's register. It isn't safe for concurrent use.
//
// Invariants:
//   - a response that depends on a record is sent only once that record is on disk;
//   - record.Promised >= record.Accepted;
//   - a proposal is accepted only if it is exactly the one that this process promised within the last lease duration; a
//     voter that lost its disk can't complete a proposal that its earlier process promised;
//   - a grant is never shortened except by its leader, and nobody else is promised or granted anything before it ends;
//   - nothing is promised, accepted or granted before votesAfter, because an earlier process may have granted a lease;
//   - every process that may hold a lease granted here is among record.Grantees, on disk before the grant is sent;
//   - votesAfter is brought forward only while it stands for an earlier process's grants alone (awaitsGrantees), and only
//     once every grantee's process is known to have ended: a lease ends with the process that holds it.
type Voter struct {
	options        Options
	record         *wire.RegisterRecord
	promise        promise
	grant          leaseGrant
	votesAfter     monotonic.Micros
	awaitsGrantees bool
}

// promise is the newest promise of this process. The zero value is none.
type promise struct {
	proposer *wire.MemberID
	at       monotonic.Micros
}

// leaseGrant is the newest lease granted by this process. The zero value is none.
type leaseGrant struct {
	leader *wire.MemberID
	until  monotonic.Micros
}

// NewVoter returns a voter with an empty register. Restore must follow.
func NewVoter(options Options) *Voter {
	return &Voter{options: options, record: &wire.RegisterRecord{}}
}

// Restore takes the record found on disk at the start of a process, an empty one if there was none.
func (v *Voter) Restore(now monotonic.Micros, record *wire.RegisterRecord) {
	v.record = record
	v.votesAfter = now + v.options.LeaseDuration
	v.awaitsGrantees = record.Joined && len(record.Grantees) > 0
}

// Record returns the record that is on disk. The caller must not change it.
func (v *Voter) Record() *wire.RegisterRecord { return v.record }

// RecordSaved must be called once a record has been synced.
func (v *Voter) RecordSaved(record *wire.RegisterRecord) { v.record = record }

// Joined reports whether this process has a register. Without one it doesn't vote.
func (v *Voter) Joined() bool { return v.record.Joined }

// Prepare decides whether to promise a proposal number. If it is granted, ConfirmPromise must follow the sync.
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

// ConfirmPromise starts the time within which the promised proposal may be accepted.
func (v *Voter) ConfirmPromise(now monotonic.Micros, proposer *wire.MemberID) {
	v.promise = promise{proposer: proposer, at: now}
}

// Accept decides whether to store the value of a promised proposal.
func (v *Voter) Accept(clock Clock, request *wire.AcceptRequest) Decision[*wire.AcceptResponse] {
	response := &wire.AcceptResponse{Promised: v.record.Promised}
	fresh := v.promise.proposer != nil && clock.Now-v.promise.at <= v.options.LeaseDuration
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

// Join returns the record with which a process that has no register begins to vote.
func (v *Voter) Join(promised, accepted uint64, value *wire.RegisterValue) *wire.RegisterRecord {
	record := v.copyRecord()
	record.Joined, record.Promised, record.Accepted, record.Value = true, promised, accepted, value
	return record
}

// CheckInitialVoters returns an *InitialVotersError if a member's settings name other initial voters. No names pass:
// earlier releases send none.
func (v *Voter) CheckInitialVoters(voters []string) error {
	if len(voters) == 0 || slices.Equal(voters, v.options.InitialVoters) {
		return nil
	}
	return &InitialVotersError{Remote: voters, Local: v.options.InitialVoters}
}

// checkConfig checks the configuration that a request was sent by, which the requesting member took from the value of
// the proposal known. It returns an *OutdatedConfigError or an *InitialVotersError.
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

// checkVote returns the reason for which a proposer or primary is rejected, nil if there is none.
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
