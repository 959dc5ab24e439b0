package consensus

import (
	"errors"
	"slices"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const testLease = monotonic.Second

var (
	testVoters = []string{"a", "b", "c"}
	memberA    = &wire.MemberID{Name: "a", Incarnation: 1}
	memberB    = &wire.MemberID{Name: "b", Incarnation: 2}
)

// voterFixture is a voter with a clock. Its process has waited for leases of an earlier one.
type voterFixture struct {
	voter *Voter
	clock Clock
}

func newVoterFixture(record *wire.RegisterRecord) *voterFixture {
	s := &voterFixture{voter: NewVoter(Options{InitialVoters: testVoters, LeaseDuration: testLease}), clock: Clock{Steady: true}}
	s.voter.Restore(0, record)
	s.clock.Now = testLease
	return s
}

// joinedRecord is the record of a voter that accepted a value of epoch 5 under proposal 10.
func joinedRecord() *wire.RegisterRecord {
	return &wire.RegisterRecord{
		Joined: true, Promised: 10, Accepted: 10,
		Value: &wire.RegisterValue{Epoch: 5, Primary: memberA, Voters: testVoters},
	}
}

// prepare requests a promise and confirms it.
func (s *voterFixture) prepare(proposal uint64, proposer *wire.MemberID) error {
	decision := s.voter.Prepare(s.clock, &wire.PrepareRequest{
		Proposal: proposal, Proposer: proposer, Voters: testVoters, KnownProposal: 10, ProcessId: proposer.Incarnation,
	})
	if decision.Rejection == nil {
		s.voter.RecordSaved(decision.Record)
		s.voter.ConfirmPromise(s.clock.Now, proposer)
	}
	return decision.Rejection
}

func (s *voterFixture) accept(proposal uint64, proposer *wire.MemberID) error {
	decision := s.voter.Accept(s.clock, &wire.AcceptRequest{
		Proposal: proposal, Proposer: proposer,
		Value: &wire.RegisterValue{Epoch: 6, Primary: proposer, Voters: testVoters},
	})
	if decision.Rejection == nil {
		s.voter.RecordSaved(decision.Record)
	}
	return decision.Rejection
}

// lease requests a lease for an epoch that proposal 10 won, and confirms it.
func (s *voterFixture) lease(epoch uint64, leader *wire.MemberID) error {
	const proposal = 10
	decision := s.voter.GrantLease(s.clock, &wire.LeaseRequest{
		Epoch: epoch, Proposal: proposal, Leader: leader, Voters: testVoters, KnownProposal: proposal, ProcessId: leader.Incarnation,
	})
	if decision.Rejection == nil {
		if decision.Record != nil {
			s.voter.RecordSaved(decision.Record)
		}
		s.voter.ConfirmLease(s.clock.Now, leader)
	}
	return decision.Rejection
}

func (s *voterFixture) release(leader *wire.MemberID, processID uint64) {
	s.voter.ReleaseLease(&wire.LeaseRequest{Leader: leader, ProcessId: processID, Release: true})
}

// TestVoterDecisions has each case end with one request. The steps before it must succeed.
func TestVoterDecisions(t *testing.T) {
	for name, test := range map[string]struct {
		record *wire.RegisterRecord
		before func(s *voterFixture) error
		last   func(s *voterFixture) error
		want   error
	}{
		"a higher proposal is promised":   {joinedRecord(), nil, func(s *voterFixture) error { return s.prepare(11, memberB) }, nil},
		"the promised number is rejected": {joinedRecord(), nil, func(s *voterFixture) error { return s.prepare(10, memberB) }, ErrStaleProposal},
		"a promised proposal is accepted": {joinedRecord(), func(s *voterFixture) error { return s.prepare(11, memberB) },
			func(s *voterFixture) error { return s.accept(11, memberB) }, nil},
		"a proposal that was not promised is rejected": {joinedRecord(), func(s *voterFixture) error { return s.prepare(11, memberB) },
			func(s *voterFixture) error { return s.accept(12, memberB) }, ErrStaleProposal},
		"a number promised to another proposer is rejected": {joinedRecord(), func(s *voterFixture) error { return s.prepare(11, memberB) },
			func(s *voterFixture) error { return s.accept(11, memberA) }, ErrStaleProposal},
		"a promise of an earlier process is rejected": {joinedRecord(), nil, func(s *voterFixture) error { return s.accept(10, memberB) }, ErrStaleProposal},
		"a promise lasts for a lease duration": {joinedRecord(), func(s *voterFixture) error { return s.prepare(11, memberB) },
			func(s *voterFixture) error { s.clock.Now += testLease; return s.accept(11, memberB) }, nil},
		"and not longer": {joinedRecord(), func(s *voterFixture) error { return s.prepare(11, memberB) },
			func(s *voterFixture) error { s.clock.Now += testLease + 1; return s.accept(11, memberB) }, ErrStaleProposal},
		"without a register there is no vote": {&wire.RegisterRecord{}, nil,
			func(s *voterFixture) error { return s.prepare(11, memberB) }, ErrNotVoting},
		"a restarted voter waits": {joinedRecord(), nil,
			func(s *voterFixture) error { s.clock.Now = testLease - 1; return s.prepare(11, memberB) }, ErrNotVoting},
		"an unsteady clock": {joinedRecord(), nil, func(s *voterFixture) error { s.clock.Steady = false; return s.prepare(11, memberB) }, ErrClockUnsteady},
		"a lease excludes rivals": {joinedRecord(), func(s *voterFixture) error { return s.lease(5, memberA) },
			func(s *voterFixture) error { return s.prepare(11, memberB) }, ErrLeaseGranted},
		"but not its leader": {joinedRecord(), func(s *voterFixture) error { return s.lease(5, memberA) },
			func(s *voterFixture) error { return s.prepare(11, memberA) }, nil},
		"until it ends": {joinedRecord(), func(s *voterFixture) error { return s.lease(5, memberA) },
			func(s *voterFixture) error { s.clock.Now += testLease; return s.prepare(11, memberB) }, nil},
		"or is released": {joinedRecord(), func(s *voterFixture) error { return s.lease(5, memberA) },
			func(s *voterFixture) error { s.release(memberA, 1); return s.prepare(11, memberB) }, nil},
		"a release by an earlier process is ignored": {joinedRecord(), func(s *voterFixture) error { return s.lease(5, memberA) },
			func(s *voterFixture) error { s.release(memberA, 7); return s.prepare(11, memberB) }, ErrLeaseGranted},
		"a higher promise preempts a lease": {joinedRecord(), func(s *voterFixture) error { return s.prepare(11, memberB) },
			func(s *voterFixture) error { return s.lease(5, memberA) }, ErrStaleProposal},
		"unless it was given to the leader itself": {joinedRecord(), func(s *voterFixture) error { return s.prepare(11, memberA) },
			func(s *voterFixture) error { return s.lease(5, memberA) }, nil},
		"an accepted later epoch supersedes a lease": {joinedRecord(), nil, func(s *voterFixture) error { return s.lease(4, memberB) }, ErrStaleProposal},
	} {
		t.Run(name, func(t *testing.T) {
			s := newVoterFixture(test.record)
			if test.before != nil {
				if err := test.before(s); err != nil {
					t.Fatalf("before: %v", err)
				}
			}
			if err := test.last(s); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// TestConfigurationMismatch: a voter rejects requests by other voters, with a typed error that names both.
func TestConfigurationMismatch(t *testing.T) {
	others := []string{"x", "y"}
	t.Run("other initial voters", func(t *testing.T) {
		s := newVoterFixture(&wire.RegisterRecord{Joined: true})
		decision := s.voter.Prepare(s.clock, &wire.PrepareRequest{Proposal: 1, Proposer: memberB, Voters: others})
		var mismatch *InitialVotersError
		if !errors.As(decision.Rejection, &mismatch) || !slices.Equal(mismatch.Remote, others) || !slices.Equal(mismatch.Local, testVoters) {
			t.Errorf("got %v", decision.Rejection)
		}
	})
	t.Run("outdated voters", func(t *testing.T) {
		s := newVoterFixture(joinedRecord())
		decision := s.voter.Prepare(s.clock, &wire.PrepareRequest{Proposal: 11, Proposer: memberB, Voters: others, KnownProposal: 9})
		var outdated *OutdatedConfigError
		if !errors.As(decision.Rejection, &outdated) || !slices.Equal(outdated.Voters, testVoters) {
			t.Errorf("got %v", decision.Rejection)
		}
		if decision.Response.Value.GetEpoch() != 5 || decision.Response.Accepted != 10 {
			t.Errorf("the newer value isn't reported: %v", decision.Response)
		}
	})
	t.Run("newer voters than this voter's", func(t *testing.T) {
		s := newVoterFixture(joinedRecord())
		decision := s.voter.Prepare(s.clock, &wire.PrepareRequest{Proposal: 11, Proposer: memberB, Voters: others, KnownProposal: 11})
		if decision.Rejection != nil {
			t.Errorf("got %v", decision.Rejection)
		}
	})
}

// TestObserveProcesses: a restarted voter needn't wait once each process that may hold a lease granted by it is known to have
// ended.
func TestObserveProcesses(t *testing.T) {
	for name, test := range map[string]struct {
		grantees []*wire.Grantee
		deferred bool
		present  map[string]uint64
		wantVote bool
	}{
		"the grantee's next process answered": {[]*wire.Grantee{{Name: "a", ProcessId: 1}}, false, map[string]uint64{"a": 2}, true},
		"the grantee itself answered":         {[]*wire.Grantee{{Name: "a", ProcessId: 1}}, false, map[string]uint64{"a": 1}, false},
		"nobody answered":                     {[]*wire.Grantee{{Name: "a", ProcessId: 1}}, false, nil, false},
		"one of two grantees ended": {
			[]*wire.Grantee{{Name: "a", ProcessId: 1}, {Name: "b", ProcessId: 1}}, false, map[string]uint64{"a": 2}, false,
		},
		"a grantee of an earlier release": {[]*wire.Grantee{{Name: "a"}}, false, map[string]uint64{"a": 2}, false},
		"grantees are not known":          {nil, false, map[string]uint64{"a": 2}, false},
		"the clock has jumped":            {[]*wire.Grantee{{Name: "a", ProcessId: 1}}, true, map[string]uint64{"a": 2}, false},
	} {
		t.Run(name, func(t *testing.T) {
			record := joinedRecord()
			record.Grantees = test.grantees
			s := newVoterFixture(record)
			s.clock.Now = 1
			if test.deferred {
				s.voter.DeferVotes(testLease)
			}
			s.voter.ObserveProcesses(s.clock.Now, test.present)
			if votes := s.voter.WaitOver(s.clock.Now); votes != test.wantVote {
				t.Errorf("votes: %v", votes)
			}
		})
	}
}

func TestLeaseStatus(t *testing.T) {
	s := newVoterFixture(joinedRecord())
	if status := s.voter.LeaseStatus(0); status != (LeaseStatus{Remaining: testLease}) {
		t.Errorf("after a restart: %v", status)
	}
	if status := s.voter.LeaseStatus(s.clock.Now); status != (LeaseStatus{}) {
		t.Errorf("after the wait: %v", status)
	}
	if err := s.lease(5, memberA); err != nil {
		t.Fatal(err)
	}
	if status := s.voter.LeaseStatus(s.clock.Now); status != (LeaseStatus{Remaining: testLease, Leader: "a"}) {
		t.Errorf("after a grant: %v", status)
	}
}
