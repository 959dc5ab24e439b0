package consensus

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
)

// The random test runs real voters. Two members campaign and renew leases, requests are delayed and lost, and voters and members
// restart. After each step, at most one member may have a lease, and each epoch may have been won by only one process.

// randomMember is a member that campaigns. Its process has a lease until leaseUntil. The epoch is 0 while it isn't the primary.
type randomMember struct {
	id              *wire.MemberID
	processID       uint64
	epoch, proposal uint64
	leaseUntil      monotonic.Micros
}

// randomGroup is a group of real voters and two members.
type randomGroup struct {
	random       *rand.Rand
	now          monotonic.Micros
	voters       map[string]*Voter
	disks        map[string]*wire.RegisterRecord
	members      [2]randomMember
	lastProposal uint64
	winners      map[uint64]string // the member and process that won, by epoch
	defects      randomDefects
}

// randomDefects disable rules, to show that the test detects their absence.
type randomDefects struct {
	noWait             bool // a restarted voter votes without a wait
	countFromLastGrant bool // a lease counts from half its duration after the last grant
	minorityDecides    bool // a single promise, acceptance or grant counts as a quorum
}

func newRandomGroup(seed uint64, defects randomDefects) *randomGroup {
	g := &randomGroup{
		random: rand.New(rand.NewPCG(seed, 1)), voters: map[string]*Voter{}, disks: map[string]*wire.RegisterRecord{},
		winners: map[uint64]string{}, defects: defects,
	}
	for _, name := range testVoters {
		g.disks[name] = &wire.RegisterRecord{Joined: true}
		g.startVoter(name)
	}
	g.members[0] = randomMember{id: memberA, processID: 1}
	g.members[1] = randomMember{id: memberB, processID: 1}
	g.now = testLease
	return g
}

func (g *randomGroup) startVoter(name string) {
	voter := NewVoter(Options{InitialVoters: testVoters, LeaseDuration: testLease})
	voter.Restore(g.now, proto.CloneOf(g.disks[name]))
	if g.defects.noWait {
		voter.EndWait(g.now)
	}
	g.voters[name] = voter
}

// save writes a voter's record to its disk, if there is one.
func (g *randomGroup) save(name string, record *wire.RegisterRecord) {
	if record != nil {
		g.disks[name] = proto.CloneOf(record)
		g.voters[name].RecordSaved(record)
	}
}

// sendToVoters calls request for each voter in a random order, after a random delay. One request in five is lost.
func (g *randomGroup) sendToVoters(request func(name string, clock Clock)) {
	for _, index := range g.random.Perm(len(testVoters)) {
		g.now += monotonic.Micros(g.random.Int64N(int64(testLease / 20)))
		if g.random.IntN(5) > 0 {
			request(testVoters[index], Clock{Now: g.now, Steady: true})
		}
	}
}

func (g *randomGroup) isQuorum(names []string) bool {
	return quorum.Voters(testVoters).HasQuorum(names) || g.defects.minorityDecides && len(names) > 0
}

// campaign proposes the next epoch, with a member as its primary.
func (g *randomGroup) campaign(member *randomMember) {
	g.lastProposal++
	number, started := g.lastProposal, g.now
	var promised, accepted []string
	var highest uint64
	var value *wire.RegisterValue
	g.sendToVoters(func(name string, clock Clock) {
		decision := g.voters[name].Prepare(clock, &wire.PrepareRequest{Proposal: number, Proposer: member.id, ProcessId: member.processID})
		if decision.Rejection != nil {
			return
		}
		g.save(name, decision.Record)
		g.voters[name].ConfirmPromise(g.now, member.id)
		promised = append(promised, name)
		if decision.Response.Accepted > highest {
			highest, value = decision.Response.Accepted, decision.Response.Value
		}
	})
	if !g.isQuorum(promised) || g.now-started >= testLease {
		return
	}
	next := NextValue(value, value.GetEpoch()+1, member.id, nil)
	g.sendToVoters(func(name string, clock Clock) {
		decision := g.voters[name].Accept(clock, &wire.AcceptRequest{Proposal: number, Proposer: member.id, Value: next})
		if decision.Rejection == nil {
			g.save(name, decision.Record)
			accepted = append(accepted, name)
		}
	})
	if g.isQuorum(accepted) {
		member.epoch, member.proposal = next.Epoch, number
	}
}

// renew requests a lease for the epoch that a member won.
func (g *randomGroup) renew(member *randomMember) {
	requestedAt := g.now
	var granted []string
	g.sendToVoters(func(name string, clock Clock) {
		request := &wire.LeaseRequest{Epoch: member.epoch, Proposal: member.proposal, Leader: member.id, ProcessId: member.processID}
		decision := g.voters[name].GrantLease(clock, request)
		if decision.Rejection != nil {
			return
		}
		g.save(name, decision.Record)
		g.voters[name].ConfirmLease(g.now, member.id)
		granted = append(granted, name)
	})
	if g.defects.countFromLastGrant {
		requestedAt = g.now + testLease/2
	}
	if g.isQuorum(granted) {
		member.leaseUntil = requestedAt + testLease
	}
}

// release ends a member's leadership and releases its lease at the voters.
func (g *randomGroup) release(member *randomMember) {
	member.epoch, member.leaseUntil = 0, 0
	g.sendToVoters(func(name string, _ Clock) {
		g.voters[name].ReleaseLease(&wire.LeaseRequest{Leader: member.id, ProcessId: member.processID, Release: true})
	})
}

// readProcessIDs tells a voter the current process ID of each member.
func (g *randomGroup) readProcessIDs(name string) {
	processIDs := map[string]uint64{}
	for _, member := range g.members {
		processIDs[member.id.Name] = member.processID
	}
	g.voters[name].ObserveProcesses(g.now, processIDs)
}

// step takes a random step and returns its description.
func (g *randomGroup) step() string {
	member := &g.members[g.random.IntN(len(g.members))]
	name := testVoters[g.random.IntN(len(testVoters))]
	switch choice := g.random.IntN(20); {
	case choice < 5:
		g.campaign(member)
		return "campaign of " + member.id.Name
	case choice < 11:
		if member.epoch > 0 {
			g.renew(member)
		}
		return "renewal by " + member.id.Name
	case choice == 11:
		g.release(member)
		return "release by " + member.id.Name
	case choice == 12:
		member.processID++
		member.epoch, member.leaseUntil = 0, 0
		return "restart of member " + member.id.Name
	case choice == 13:
		g.startVoter(name)
		return "restart of voter " + name
	case choice < 16:
		g.readProcessIDs(name)
		return "reads by voter " + name
	}
	g.now += monotonic.Micros(g.random.Int64N(int64(testLease)))
	return "passage of time"
}

// findViolation describes a violated property, or returns "" if there is none.
func (g *randomGroup) findViolation() string {
	leased := 0
	for _, member := range g.members {
		if g.now < member.leaseUntil {
			leased++
		}
		if member.epoch == 0 {
			continue
		}
		winner := fmt.Sprintf("%s, process %d", member.id.Name, member.processID)
		if known, won := g.winners[member.epoch]; won && known != winner {
			return fmt.Sprintf("epoch %d was won by %s and by %s", member.epoch, known, winner)
		}
		g.winners[member.epoch] = winner
	}
	if leased > 1 {
		return "two members have a lease"
	}
	return ""
}

// runRandom runs groups with different seeds. It returns the first violation with its seed, and how many epochs were won before.
func runRandom(defects randomDefects, groups, steps int) (violation string, epochs int) {
	for seed := range groups {
		g := newRandomGroup(uint64(seed), defects)
		for number := range steps {
			action := g.step()
			if found := g.findViolation(); found != "" {
				return fmt.Sprintf("seed %d, step %d, %s: %s", seed, number, action, found), epochs
			}
		}
		epochs += len(g.winners)
	}
	return "", epochs
}

// TestVotersAtRandom runs random steps. With all rules no property is violated; with one rule disabled the test finds a violation.
func TestVotersAtRandom(t *testing.T) {
	violation, epochs := runRandom(randomDefects{}, 200, 300)
	t.Logf("%d epochs won", epochs)
	if violation != "" || epochs < 2000 {
		t.Errorf("%d epochs won: %s", epochs, violation)
	}
	for name, defects := range map[string]randomDefects{
		"a restarted voter votes at once":    {noWait: true},
		"a lease counts from its last grant": {countFromLastGrant: true},
		"a minority decides":                 {minorityDecides: true},
	} {
		t.Run(name, func(t *testing.T) {
			violation, epochs := runRandom(defects, 2000, 300)
			t.Logf("after %d epochs: %s", epochs, violation)
			if violation == "" {
				t.Errorf("no violation was found in %d epochs", epochs)
			}
		})
	}
}
