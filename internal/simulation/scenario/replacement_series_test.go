package scenario

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/configstore/api"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
)

const (
	// seriesLease and seriesVoterTimeout are the values of the users' platform.
	seriesLease        = 600 * monotonic.Millisecond
	seriesVoterTimeout = 2 * monotonic.Second
	// successorDelay is the time from the loss of a machine to the start of an empty successor.
	successorDelay = monotonic.Second
	// stabilizationTime is the time from that start until the core is expected to serve normally. The users' platform takes 3 s and 4 s for it.
	stabilizationTime = 7 * monotonic.Second
	// acknowledgementLimit is how long the users' platform waits until a stable core acknowledges a change.
	acknowledgementLimit = 4 * monotonic.Second
	// checkInterval is the time between two checks of a stable core.
	checkInterval = 100 * monotonic.Millisecond
	// seedAddressCount is the number of core machines whose addresses a new machine gets as seed addresses.
	seedAddressCount = 3
)

// replacementSeries is a core whose machines are lost permanently one after another. Each gets an empty successor at another address.
type replacementSeries struct {
	t       *testing.T
	seed    uint64
	mesh    *Mesh
	version uint64 // the newest acknowledged version
}

// TestReplacementsInSeries guards against the loss of the acknowledged configuration after the oldest core machine was replaced at least
// five times, 8 to 15 s apart: a new machine asked a former primary to be admitted as a voter, and members counted on voters whose
// addresses they didn't know.
func TestReplacementsInSeries(t *testing.T) {
	for _, cores := range []int{3, 5} {
		for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6) {
			t.Run(fmt.Sprintf("%d/%d", cores, seed), func(t *testing.T) {
				t.Parallel()
				series := newReplacementSeries(t, cores, seed)
				random := series.mesh.World.Rand()
				count := 5 + random.IntN(6)
				interval := 8*monotonic.Second + monotonic.Micros(random.Int64N(int64(7*monotonic.Second)))
				for range count {
					series.replaceOldest(interval)
				}
				series.mesh.runFor(stabilizationTime)
				series.replaceOldest(stabilizationTime + successorDelay)
			})
		}
	}
}

func newReplacementSeries(t *testing.T, cores int, seed uint64) *replacementSeries {
	t.Helper()
	topology := discoveredTopology
	topology.Cores, topology.Replicas, topology.VoterTimeout = cores, (cores+1)/2, seriesVoterTimeout
	mesh := Build(seed, topology, Defects{})
	t.Cleanup(mesh.World.Close)
	mesh.World.DialTimeout = 300 * monotonic.Millisecond
	mesh.adjustReplication = func(config *replication.Config) { config.LeaseDuration = seriesLease }
	for _, node := range mesh.allCoreNodes() {
		mesh.World.Kill(node)
		mesh.World.Start(node)
	}
	series := &replacementSeries{t: t, seed: seed, mesh: mesh}
	mesh.runFor(stabilizationTime)
	series.apply()
	return series
}

// replaceOldest loses the oldest machine permanently and starts its successor. Once the core is stable, it changes the configuration and
// checks repeatedly that the voters are reachable, until an interval has passed since the loss.
func (s *replacementSeries) replaceOldest(interval monotonic.Micros) {
	s.t.Helper()
	next := s.mesh.World.Now() + interval
	oldest := s.mesh.coreMachines[0]
	seeds := s.currentAddresses()
	s.mesh.retire(oldest)
	s.mesh.runFor(successorDelay)
	for _, node := range s.mesh.coreNodes(s.mesh.addMachine(seeds)) {
		s.mesh.World.Start(node)
	}
	s.mesh.runFor(stabilizationTime)
	s.apply()
	s.checkReachable()
	for s.mesh.World.Now() < next && !s.t.Failed() {
		s.mesh.runFor(min(checkInterval, next-s.mesh.World.Now()))
		s.checkReachable()
	}
}

// currentAddresses returns the seed addresses that the platform gives to a new machine: those of the configuration stores on the oldest
// machines. They include the machine that is about to be lost, because the platform's list is not up to date.
func (s *replacementSeries) currentAddresses() (addresses []string) {
	for _, machine := range s.mesh.coreMachines[:min(seedAddressCount, len(s.mesh.coreMachines))] {
		for _, node := range s.mesh.coreNodes(machine) {
			if s.mesh.configStores[node.Name] != nil {
				addresses = append(addresses, node.Address)
			}
		}
	}
	return addresses
}

// checkReachable checks that each group has a primary and a running quorum of voters, and that each current replica knows the addresses of
// the running voters, so that it can be elected after the next loss.
func (s *replacementSeries) checkReachable() {
	s.t.Helper()
	for _, group := range coreGroups {
		primary := s.mesh.primary(group)
		if primary == nil {
			s.t.Errorf("seed %d: %s has no primary", s.seed, group)
			continue
		}
		member := s.mesh.replicationMember(primary.Name)
		for _, replica := range append(member.Backups(), primary.Name) {
			s.checkReplica(replica, member.Voters())
		}
	}
}

func (s *replacementSeries) checkReplica(replica string, voters []string) {
	s.t.Helper()
	var running []string
	for _, voter := range voters {
		node := s.mesh.World.Node(voter)
		if !node.Up() {
			continue
		}
		running = append(running, voter)
		if !slices.Contains(knownAddresses(s.mesh, replica, voter), node.Address) {
			s.t.Errorf("seed %d: replica %s doesn't know the address of voter %s", s.seed, replica, voter)
		}
	}
	if !replication.HasQuorum(voters, running) {
		s.t.Errorf("seed %d: of the voters %v only %v run", s.seed, voters, running)
	}
}

// knownAddresses returns the addresses that a core process knows for another one.
func knownAddresses(mesh *Mesh, process, other string) (addresses []string) {
	for _, known := range mesh.resolvers[process].Peers() {
		if known.Name == other {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// apply checks that the core still has the newest acknowledged version, and applies the next one, which must be acknowledged in time.
func (s *replacementSeries) apply() {
	s.t.Helper()
	if newest := s.readBack(); newest != s.version {
		s.t.Errorf("seed %d: the core has version %d, not %d", s.seed, newest, s.version)
	}
	response, took, err := s.mesh.applyVersion(s.version+1, acknowledgementLimit)
	if err != nil || response.Version != s.version+1 {
		s.t.Errorf("seed %d: version %d is not acknowledged after %d ms: %v %v", s.seed, s.version+1, took/monotonic.Millisecond, response, err)
		return
	}
	s.version++
}

// readBack returns the newest version that the core has, or zero if it has none or doesn't answer in time.
func (s *replacementSeries) readBack() (version uint64) {
	ended := false
	s.mesh.External.Go(func() {
		newest, err := api.NewStore(s.mesh.External, s.mesh.resolver).Latest(acknowledgementLimit)
		if err == nil {
			version = newest.GetVersion()
		}
		ended = true
	})
	for !ended {
		s.mesh.runFor(monotonic.Millisecond)
	}
	return version
}
