package scenario

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/simulation/world"
)

// voters returns the voters of each group, and reports an error for each process in use that knows other voters than the first one.
func (m *Mesh) voters(t *testing.T) map[string][]string {
	known := map[string][]string{}
	compare := func(group, name string, member *replication.Member) {
		node := m.World.Node(name)
		if m.retired[node.Machine] {
			return
		}
		voters := member.Voters()
		if known[group] == nil {
			known[group] = voters
		}
		if !slices.Equal(known[group], voters) {
			t.Errorf("%s knows the voters %v, another process %v", name, voters, known[group])
		}
	}
	for name, service := range m.registries {
		compare(registry.Group, name, service.Member)
	}
	for name, service := range m.configStores {
		compare(configstore.Group, name, service.Member)
	}
	return known
}

// TestFourthMachine checks that a core of three becomes a core of four voters once a fourth machine has started, whatever else fails.
func TestFourthMachine(t *testing.T) {
	for _, seed := range seeds(t, 1, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			topology := smallTopology
			topology.Voters = 4
			mesh, _ := runMesh(t, Scenario{Name: "fourth", Topology: topology, Duration: 40 * monotonic.Second, Rate: 25, FaultInterval: 5 * monotonic.Second, Rules: []int{1, 3, 7, 12},
				InitialFaults: []fault{addCoreMachine}, Faults: []fault{killPrimary, powerOffCoreMachine, freezePrimary, partitionCore, applyConfig}}, seed)
			for group, voters := range mesh.voters(t) {
				if len(voters) != 4 {
					t.Errorf("the voters of group %s are %v, not four", group, voters)
				}
			}
		})
	}
}

// TestMachinesReplaced retires the initial core machines one after another and starts a new machine some seconds before or after each. At
// the end only new machines vote, and none of the initial seed addresses is in use.
func TestMachinesReplaced(t *testing.T) {
	for _, test := range []struct {
		name                    string
		voterCount              int // the number of voters that is configured; zero for the default
		retireAfter, startAfter monotonic.Micros
	}{
		{"then another comes", 0, 0, 2 * monotonic.Second},
		{"after another came", 3, 4 * monotonic.Second, 0},
		{"after another came, no number expected", 0, 4 * monotonic.Second, 0},
	} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				topology := smallTopology
				topology.VoterTimeout, topology.Voters = 4*monotonic.Second, test.voterCount
				// Three intervals between faults may take 72 s: a shorter run might end before the third replacement.
				replacement := replaceCoreMachine(test.retireAfter, test.startAfter)
				mesh, _ := runMesh(t, Scenario{Name: "replacement", Topology: topology, Duration: 80 * monotonic.Second, Rate: 25, FaultInterval: 16 * monotonic.Second, Rules: []int{1, 3, 7, 12},
					InitialFaults: []fault{replacement, replacement, replacement}, Faults: []fault{applyConfig}}, seed)
				if len(mesh.retired) != 3 {
					t.Errorf("%d machines were replaced", len(mesh.retired))
				}
				for group, voters := range mesh.voters(t) {
					for _, number := range []int{4, 5, 6} {
						if name := fmt.Sprintf("%s-%d", group, number); !slices.Contains(voters, name) {
							t.Errorf("%s is not among the voters %v", name, voters)
						}
					}
				}
			})
		}
	}
}

// TestAcknowledgedThenLost loses the disk of the configuration store's primary right after an acknowledgement, in cores of three and four
// machines. In a core of five with three replicas it loses a backup's disk too.
func TestAcknowledgedThenLost(t *testing.T) {
	for _, test := range []struct {
		cores, replicas int
		lose            fault
	}{{3, 2, loseDiskAtAcknowledgement}, {4, 2, loseDiskAtAcknowledgement}, {5, 3, loseTwoDisksAtAcknowledgement}} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%d/%d", test.cores, seed), func(t *testing.T) {
				t.Parallel()
				topology := smallTopology
				topology.Cores, topology.Replicas = test.cores, test.replicas
				mesh, _ := runMesh(t, Scenario{Name: "lost", Topology: topology, Duration: 60 * monotonic.Second, Rate: 25, FaultInterval: 11 * monotonic.Second, Rules: []int{1, 3, 7, 12},
					InitialFaults: []fault{test.lose}, Faults: []fault{test.lose}}, seed)
				joined := strings.Count(strings.Join(mesh.log, "\n"), fmt.Sprintf(" %d {", eventlog.VoterJoined))
				// Each process joins once at its start, and again after the loss of its disk.
				if joined <= 2*test.cores {
					t.Errorf("no disk was lost: %d joins", joined)
				}
			})
		}
	}
}

// TestFailover kills primaries at random times within their leases. Another process must serve as primary within 2.5 seconds.
func TestFailover(t *testing.T) {
	for _, cores := range []int{3, 5} {
		t.Run(fmt.Sprint(cores), func(t *testing.T) {
			t.Parallel()
			topology := Topology{Cores: cores, Proxies: 1, Zones: 1, Backends: 1, Replicas: cores/2 + 1}
			mesh := Build(1, topology, Defects{})
			defer mesh.World.Close()
			mesh.runFor(10 * monotonic.Second)
			var longest, sum monotonic.Micros
			const times = 20
			for range times {
				mesh.runFor(mesh.randomDuration(8*monotonic.Second, 9*monotonic.Second))
				for _, group := range coreGroups {
					primary := mesh.primary(group)
					if primary == nil {
						t.Fatalf("group %s has no primary", group)
					}
					mesh.World.Kill(primary)
					killedAt := mesh.World.Now()
					for mesh.primary(group) == nil && mesh.World.Now()-killedAt < 10*monotonic.Second {
						mesh.runFor(10 * monotonic.Millisecond)
					}
					took := mesh.World.Now() - killedAt
					longest, sum = max(longest, took), sum+took
					mesh.World.Start(primary)
				}
			}
			t.Logf("%d core machines: mean %d ms, longest %d ms", cores, sum/(2*times)/monotonic.Millisecond, longest/monotonic.Millisecond)
			if longest > 2500*monotonic.Millisecond {
				t.Errorf("the longest failover took %d microseconds", longest)
			}
		})
	}
}

// TestPrimaryDiesDuringChange ends a primary at most 3 ms after it has entered a joint configuration, also with the loss of its disk if no
// other machine is lost. The next primary must complete the membership change.
func TestPrimaryDiesDuringChange(t *testing.T) {
	kill, powerLoss, diskLoss := (*world.World).Kill, (*world.World).PowerLoss, (*world.World).LoseDisk
	for _, test := range []struct {
		name       string
		changes    []fault
		stops      []func(*world.World, *world.Node) // the ways in which a primary may end
		voterCount int                               // the number of voters that is configured
		newest     int                               // the number of the machine that must be a voter at the end
	}{
		{"a fourth comes", []fault{addCoreMachine}, []func(*world.World, *world.Node){kill, powerLoss, diskLoss}, 4, 4},
		{"one is replaced", []fault{replaceCoreMachine(0, 2*monotonic.Second)}, []func(*world.World, *world.Node){kill, powerLoss}, 3, 4},
		{"a fourth comes, then one is replaced", []fault{addCoreMachine, replaceCoreMachine(0, 2*monotonic.Second)}, []func(*world.World, *world.Node){kill, powerLoss}, 4, 5},
	} {
		for _, seed := range seeds(t, 1, 2) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				t.Parallel()
				ended := map[string]int{} // the number of primaries that were ended, by group
				topology := smallTopology
				topology.VoterTimeout, topology.Voters = 4*monotonic.Second, test.voterCount
				mesh, _ := runMesh(t, Scenario{Name: "loss during a membership change", Topology: topology, Duration: 50 * monotonic.Second, Rate: 25, FaultInterval: 14 * monotonic.Second, Rules: []int{1, 3, 7, 12},
					InitialFaults: test.changes, Faults: []fault{applyConfig}, Prepare: func(mesh *Mesh) {
						trace := mesh.World.Trace
						mesh.World.Trace = func(at monotonic.Micros, name string, number int, fields map[string]any) {
							trace(at, name, number, fields)
							group := strings.SplitN(name, "-", 2)[0]
							if joint, _ := fields["joint"].([]string); number != eventlog.MembershipChanged || len(joint) == 0 || ended[group] >= len(test.changes) {
								return
							}
							ended[group]++
							stop := pick(mesh, test.stops)
							mesh.after(mesh.randomDuration(0, 3*monotonic.Millisecond), func() {
								mesh.restartAfter([]*world.Node{mesh.World.Node(name)}, mesh.randomDuration(200*monotonic.Millisecond, 3*monotonic.Second),
									func(node *world.Node) { stop(mesh.World, node) })
							})
						}
					}}, seed)
				if ended[registry.Group] != len(test.changes) || ended[configstore.Group] != len(test.changes) {
					t.Errorf("primaries that ended during a change: %v", ended)
				}
				for group, voters := range mesh.voters(t) {
					if name := fmt.Sprintf("%s-%d", group, test.newest); !slices.Contains(voters, name) {
						t.Errorf("%s is not among the voters %v", name, voters)
					}
				}
			})
		}
	}
}
