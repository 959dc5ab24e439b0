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

// The random test drives real voters: two members campaign and renew leases, requests are lost and take time, and voters and
// members restart. Checked after each step: at most one member has a lease, and an epoch is won by one process only.

// randomMember is a member that campaigns. Its process has a lease until leaseUntil.
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
	winners      map[uint64]string // by epoch
	defects      randomDefects
}

// randomDefects are rules that may be left out, to show that the test detects it.
type randomDefects struct {
	noWait        bool // a restarted voter votes at once
	countFromLast bool // a lease counts from after the last grant
	minority      bool // one promise, acceptance or grant is enough
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

// save syncs a voter's record, if there is one.
func (g *randomGroup) save(name string, record *wire.RegisterRecord) {
	if record != nil {
		g.disks[name] = proto.CloneOf(record)
		g.voters[name].RecordSaved(record)
	}
}

// reach returns the voters that a request reaches, and lets some time pass before each.
func (g *randomGroup) reach(request func(name string, clock Clock)) {
	for _, index := range g.random.Perm(len(testVoters)) {
		g.now += monotonic.Micros(g.random.Int64N(int64(testLease / 20)))
		if g.random.IntN(5) > 0 {
			request(testVoters[index], Clock{Now: g.now, Steady: true})
		}
	}
}

func (g *randomGroup) isQuorum(names []string) bool {
	return quorum.Voters(testVoters).HasQuorum(names) || g.defects.minority && len(names) > 0
}

// campaign proposes the next epoch with a member as primary.
func (g *randomGroup) campaign(member *randomMember) {
	g.lastProposal++
	number, started := g.lastProposal, g.now
	var promised, accepted []string
	var highest uint64
	var value *wire.RegisterValue
	g.reach(func(name string, clock Clock) {
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
	g.reach(func(name string, clock Clock) {
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

// renew requests a lease for the epoch that a member has won.
func (g *randomGroup) renew(member *randomMember) {
	requestedAt := g.now
	var granted []string
	g.reach(func(name string, clock Clock) {
		request := &wire.LeaseRequest{Epoch: member.epoch, Proposal: member.proposal, Leader: member.id, ProcessId: member.processID}
		decision := g.voters[name].GrantLease(clock, request)
		if decision.Rejection != nil {
			return
		}
		g.save(name, decision.Record)
		g.voters[name].ConfirmLease(g.now, member.id)
		granted = append(granted, name)
	})
	if g.defects.countFromLast {
		requestedAt = g.now + testLease/2
	}
	if g.isQuorum(granted) {
		member.leaseUntil = requestedAt + testLease
	}
}

// release ends a member's leadership, and releases its lease.
func (g *randomGroup) release(member *randomMember) {
	member.epoch, member.leaseUntil = 0, 0
	g.reach(func(name string, _ Clock) {
		g.voters[name].ReleaseLease(&wire.LeaseRequest{Leader: member.id, ProcessId: member.processID, Release: true})
	})
}

// readMembers has a voter learn the present process of each member.
func (g *randomGroup) readMembers(name string) {
	processIDs := map[string]uint64{}
	for _, member := range g.members {
		processIDs[member.id.Name] = member.processID
	}
	g.voters[name].ObserveProcesses(g.now, processIDs)
}

// step does something, and describes it.
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
		g.readMembers(name)
		return "reads by voter " + name
	}
	g.now += monotonic.Micros(g.random.Int64N(int64(testLease)))
	return "time"
}

// violation describes what doesn't hold, empty if everything does.
func (g *randomGroup) violation() string {
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

// runRandom runs some groups, and returns the first violation with its seed, and how many epochs were won.
func runRandom(defects randomDefects, groups, steps int) (violation string, epochs int) {
	for seed := range groups {
		g := newRandomGroup(uint64(seed), defects)
		for number := range steps {
			done := g.step()
			if found := g.violation(); found != "" {
				return fmt.Sprintf("seed %d, step %d, %s: %s", seed, number, done, found), epochs
			}
		}
		epochs += len(g.winners)
	}
	return "", epochs
}

func TestVotersAtRandom(t *testing.T) {
	violation, epochs := runRandom(randomDefects{}, 200, 300)
	t.Logf("%d epochs won", epochs)
	if violation != "" || epochs < 2000 {
		t.Errorf("%d epochs won: %s", epochs, violation)
	}
	for name, defects := range map[string]randomDefects{
		"a restarted voter votes at once":    {noWait: true},
		"a lease counts from its last grant": {countFromLast: true},
		"a minority decides":                 {minority: true},
	} {
		t.Run(name, func(t *testing.T) {
			violation, epochs := runRandom(defects, 2000, 300)
			t.Logf("after %d epochs: %s", epochs, violation)
			if violation == "" {
				t.Errorf("nothing was found in %d epochs", epochs)
			}
		})
	}
}
