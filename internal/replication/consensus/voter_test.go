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

// voterFixture is a voter with a clock. It starts at the time when the voter's wait after a restart is over.
type voterFixture struct {
	voter *Voter
	clock Clock
}

func newVoterFixture(record *wire.RegisterRecord) *voterFixture {
	f := &voterFixture{voter: NewVoter(Options{InitialVoters: testVoters, LeaseDuration: testLease}), clock: Clock{Steady: true}}
	f.voter.Restore(0, record)
	f.clock.Now = testLease
	return f
}

// joinedRecord returns the record of a voter that accepted a value of epoch 5 in proposal 10.
func joinedRecord() *wire.RegisterRecord {
	return &wire.RegisterRecord{
		Joined: true, Promised: 10, Accepted: 10,
		Value: &wire.RegisterValue{Epoch: 5, Primary: memberA, Voters: testVoters},
	}
}

// prepare requests a promise, and saves and confirms it if it is granted.
func (f *voterFixture) prepare(proposal uint64, proposer *wire.MemberID) error {
	decision := f.voter.Prepare(f.clock, &wire.PrepareRequest{
		Proposal: proposal, Proposer: proposer, Voters: testVoters, KnownProposal: 10, ProcessId: proposer.Incarnation,
	})
	if decision.Rejection == nil {
		f.voter.RecordSaved(decision.Record)
		f.voter.ConfirmPromise(f.clock.Now, proposer)
	}
	return decision.Rejection
}

// accept requests that a value of epoch 6 is accepted, and saves it if it is.
func (f *voterFixture) accept(proposal uint64, proposer *wire.MemberID) error {
	decision := f.voter.Accept(f.clock, &wire.AcceptRequest{
		Proposal: proposal, Proposer: proposer,
		Value: &wire.RegisterValue{Epoch: 6, Primary: proposer, Voters: testVoters},
	})
	if decision.Rejection == nil {
		f.voter.RecordSaved(decision.Record)
	}
	return decision.Rejection
}

// lease requests a lease for an epoch that was won by proposal 10, and saves and confirms it if it is granted.
func (f *voterFixture) lease(epoch uint64, leader *wire.MemberID) error {
	const proposal = 10
	decision := f.voter.GrantLease(f.clock, &wire.LeaseRequest{
		Epoch: epoch, Proposal: proposal, Leader: leader, Voters: testVoters, KnownProposal: proposal, ProcessId: leader.Incarnation,
	})
	if decision.Rejection == nil {
		if decision.Record != nil {
			f.voter.RecordSaved(decision.Record)
		}
		f.voter.ConfirmLease(f.clock.Now, leader)
	}
	return decision.Rejection
}

// release requests the release of the lease of a leader's process.
func (f *voterFixture) release(leader *wire.MemberID, processID uint64) {
	f.voter.ReleaseLease(&wire.LeaseRequest{Leader: leader, ProcessId: processID, Release: true})
}

// TestVoterDecisions checks the voter's decision on one request, which follows an optional request that must be granted.
func TestVoterDecisions(t *testing.T) {
	for name, test := range map[string]struct {
		record  *wire.RegisterRecord
		setup   func(f *voterFixture) error
		request func(f *voterFixture) error
		want    error
	}{
		"a higher proposal is promised":   {joinedRecord(), nil, func(f *voterFixture) error { return f.prepare(11, memberB) }, nil},
		"the promised number is rejected": {joinedRecord(), nil, func(f *voterFixture) error { return f.prepare(10, memberB) }, ErrStaleProposal},
		"a promised proposal is accepted": {joinedRecord(), func(f *voterFixture) error { return f.prepare(11, memberB) },
			func(f *voterFixture) error { return f.accept(11, memberB) }, nil},
		"a proposal that was not promised is rejected": {joinedRecord(), func(f *voterFixture) error { return f.prepare(11, memberB) },
			func(f *voterFixture) error { return f.accept(12, memberB) }, ErrStaleProposal},
		"a number promised to another proposer is rejected": {joinedRecord(), func(f *voterFixture) error { return f.prepare(11, memberB) },
			func(f *voterFixture) error { return f.accept(11, memberA) }, ErrStaleProposal},
		"a promise of an earlier process is rejected": {joinedRecord(), nil, func(f *voterFixture) error { return f.accept(10, memberB) }, ErrStaleProposal},
		"a promise is valid for a lease duration": {joinedRecord(), func(f *voterFixture) error { return f.prepare(11, memberB) },
			func(f *voterFixture) error { f.clock.Now += testLease; return f.accept(11, memberB) }, nil},
		"a promise is invalid after a lease duration": {joinedRecord(), func(f *voterFixture) error { return f.prepare(11, memberB) },
			func(f *voterFixture) error { f.clock.Now += testLease + 1; return f.accept(11, memberB) }, ErrStaleProposal},
		"without a register there is no vote": {&wire.RegisterRecord{}, nil,
			func(f *voterFixture) error { return f.prepare(11, memberB) }, ErrNotVoting},
		"a restarted voter waits": {joinedRecord(), nil,
			func(f *voterFixture) error { f.clock.Now = testLease - 1; return f.prepare(11, memberB) }, ErrNotVoting},
		"with an unsteady clock there is no vote": {joinedRecord(), nil, func(f *voterFixture) error { f.clock.Steady = false; return f.prepare(11, memberB) }, ErrClockUnsteady},
		"a lease excludes other members": {joinedRecord(), func(f *voterFixture) error { return f.lease(5, memberA) },
			func(f *voterFixture) error { return f.prepare(11, memberB) }, ErrLeaseGranted},
		"a lease doesn't exclude its leader": {joinedRecord(), func(f *voterFixture) error { return f.lease(5, memberA) },
			func(f *voterFixture) error { return f.prepare(11, memberA) }, nil},
		"an expired lease excludes nobody": {joinedRecord(), func(f *voterFixture) error { return f.lease(5, memberA) },
			func(f *voterFixture) error { f.clock.Now += testLease; return f.prepare(11, memberB) }, nil},
		"a released lease excludes nobody": {joinedRecord(), func(f *voterFixture) error { return f.lease(5, memberA) },
			func(f *voterFixture) error { f.release(memberA, 1); return f.prepare(11, memberB) }, nil},
		"a release by an earlier process is ignored": {joinedRecord(), func(f *voterFixture) error { return f.lease(5, memberA) },
			func(f *voterFixture) error { f.release(memberA, 7); return f.prepare(11, memberB) }, ErrLeaseGranted},
		"a higher promise preempts a lease": {joinedRecord(), func(f *voterFixture) error { return f.prepare(11, memberB) },
			func(f *voterFixture) error { return f.lease(5, memberA) }, ErrStaleProposal},
		"a higher promise to the leader itself doesn't preempt its lease": {joinedRecord(), func(f *voterFixture) error { return f.prepare(11, memberA) },
			func(f *voterFixture) error { return f.lease(5, memberA) }, nil},
		"an accepted later epoch supersedes a lease": {joinedRecord(), nil, func(f *voterFixture) error { return f.lease(4, memberB) }, ErrStaleProposal},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVoterFixture(test.record)
			if test.setup != nil {
				if err := test.setup(f); err != nil {
					t.Fatalf("setup: %v", err)
				}
			}
			if err := test.request(f); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}

// TestConfigurationMismatch checks that a voter rejects requests with other initial voters or outdated voters, with a typed error that
// names the voters, and doesn't reject voters newer than its own.
func TestConfigurationMismatch(t *testing.T) {
	others := []string{"x", "y"}
	t.Run("other initial voters", func(t *testing.T) {
		f := newVoterFixture(&wire.RegisterRecord{Joined: true})
		decision := f.voter.Prepare(f.clock, &wire.PrepareRequest{Proposal: 1, Proposer: memberB, Voters: others})
		var mismatch *InitialVotersError
		if !errors.As(decision.Rejection, &mismatch) || !slices.Equal(mismatch.Remote, others) || !slices.Equal(mismatch.Local, testVoters) {
			t.Errorf("got %v", decision.Rejection)
		}
	})
	t.Run("outdated voters", func(t *testing.T) {
		f := newVoterFixture(joinedRecord())
		decision := f.voter.Prepare(f.clock, &wire.PrepareRequest{Proposal: 11, Proposer: memberB, Voters: others, KnownProposal: 9})
		var outdated *OutdatedConfigError
		if !errors.As(decision.Rejection, &outdated) || !slices.Equal(outdated.Voters, testVoters) {
			t.Errorf("got %v", decision.Rejection)
		}
		if decision.Response.Value.GetEpoch() != 5 || decision.Response.Accepted != 10 {
			t.Errorf("the response doesn't have the newer value: %v", decision.Response)
		}
	})
	t.Run("newer voters than this voter's", func(t *testing.T) {
		f := newVoterFixture(joinedRecord())
		decision := f.voter.Prepare(f.clock, &wire.PrepareRequest{Proposal: 11, Proposer: memberB, Voters: others, KnownProposal: 11})
		if decision.Rejection != nil {
			t.Errorf("got %v", decision.Rejection)
		}
	})
}

// TestObserveProcesses checks that a restarted voter's wait ends only once each process that may hold a lease granted by it is known
// to have ended.
func TestObserveProcesses(t *testing.T) {
	for name, test := range map[string]struct {
		grantees     []*wire.Grantee
		deferred     bool
		current      map[string]uint64
		wantWaitOver bool
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
			f := newVoterFixture(record)
			f.clock.Now = 1
			if test.deferred {
				f.voter.DeferVotes(testLease)
			}
			f.voter.ObserveProcesses(f.clock.Now, test.current)
			if waitOver := f.voter.WaitOver(f.clock.Now); waitOver != test.wantWaitOver {
				t.Errorf("the wait is over: %v", waitOver)
			}
		})
	}
}

func TestLeaseStatus(t *testing.T) {
	f := newVoterFixture(joinedRecord())
	if status := f.voter.LeaseStatus(0); status != (LeaseStatus{Remaining: testLease}) {
		t.Errorf("after a restart: %v", status)
	}
	if status := f.voter.LeaseStatus(f.clock.Now); status != (LeaseStatus{}) {
		t.Errorf("after the wait: %v", status)
	}
	if err := f.lease(5, memberA); err != nil {
		t.Fatal(err)
	}
	if status := f.voter.LeaseStatus(f.clock.Now); status != (LeaseStatus{Remaining: testLease, Leader: "a"}) {
		t.Errorf("after a grant: %v", status)
	}
}
