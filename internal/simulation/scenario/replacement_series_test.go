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
	// seriesLease and seriesVoterTimeout are those of the users' platform.
	seriesLease        = 600 * monotonic.Millisecond
	seriesVoterTimeout = 2 * monotonic.Second
	// successorDelay is how long after a loss an empty machine starts in place of the lost one.
	successorDelay = monotonic.Second
	// quietTime is how long after that start the core is quiet again: the users' platform takes 3 s and 4 s for it.
	quietTime = 7 * monotonic.Second
	// acknowledgementLimit is how long the users' platform waits until a quiet core acknowledges a change.
	acknowledgementLimit = 4 * monotonic.Second
	// checkInterval is the time between two checks of a quiet core.
	checkInterval = 100 * monotonic.Millisecond
	// seedAddressCount is how many addresses of core machines a new machine is told.
	seedAddressCount = 3
)

// replacementSeries is a core whose machines are lost for good one after another, each with an empty successor at another address.
type replacementSeries struct {
	t       *testing.T
	seed    uint64
	mesh    *Mesh
	version uint64 // the newest acknowledged one
}

// TestReplacementsInSeries guards against the fault by which the acknowledged configuration didn't come back after the oldest core
// machine was replaced five times and more, 8 to 15 s apart: a new machine asked a primary that was gone to let it vote, and members counted
// on voters whose address they didn't know.
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
				series.mesh.runFor(quietTime)
				series.replaceOldest(quietTime + successorDelay)
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
	mesh.runFor(quietTime)
	series.apply()
	return series
}

// replaceOldest loses the oldest machine for good, starts its successor, and lets an interval pass in all. Once the core is quiet it
// changes the configuration, and checks at each step what holds then.
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
	s.mesh.runFor(quietTime)
	s.apply()
	s.checkReachable()
	for s.mesh.World.Now() < next && !s.t.Failed() {
		s.mesh.runFor(min(checkInterval, next-s.mesh.World.Now()))
		s.checkReachable()
	}
}

// currentAddresses returns addresses of configuration stores on some machines, as the platform names them to a new one. The oldest
// machine is among them: the platform's list lags.
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

// checkReachable checks that each group has a primary and a quorum of voters that run, and that each current replica knows the address
// of each of these, so that it could be elected after the next loss.
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
			s.t.Errorf("seed %d: replica %s doesn't know the address of the voter %s", s.seed, replica, voter)
		}
	}
	if !replication.HasQuorum(voters, running) {
		s.t.Errorf("seed %d: of the voters %v only %v run", s.seed, voters, running)
	}
}

// knownAddresses returns the addresses of a process that a core process knows.
func knownAddresses(mesh *Mesh, process, name string) (addresses []string) {
	for _, known := range mesh.resolvers[process].Peers() {
		if known.Name == name {
			addresses = append(addresses, known.Address)
		}
	}
	return addresses
}

// apply checks that the newest acknowledged version is still there, and changes the configuration, which must be acknowledged in time.
func (s *replacementSeries) apply() {
	s.t.Helper()
	if newest := s.readBack(); newest != s.version {
		s.t.Errorf("seed %d: version %d is read back, not %d", s.seed, newest, s.version)
	}
	response, took, err := s.mesh.applyVersion(s.version+1, acknowledgementLimit)
	if err != nil || response.Version != s.version+1 {
		s.t.Errorf("seed %d: version %d is not acknowledged after %d ms: %v %v", s.seed, s.version+1, took/monotonic.Millisecond, response, err)
		return
	}
	s.version++
}

// readBack returns the newest version that the core has, zero if it has none or doesn't answer in time.
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
