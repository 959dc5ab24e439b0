package scenario

import (
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/invariants"
)

// Scenario is one course of faults or changes that a fleet goes through under traffic.
type Scenario struct {
	Name    string
	Summary string
	Rules   []int // numbers of the invariants whose checkers must have examined something, or the rehearsal proves nothing
	Run     func(r *Rehearsal) error
	// Prepare runs on the ready fleet before traffic starts. Nil for nothing.
	Prepare func(r *Rehearsal) error
	// Checks run in addition to all invariants.
	Checks []invariants.Check
}

// All holds the scenarios by name.
var All = byName(
	Scenario{Name: "steady", Summary: "no failure at all", Rules: []int{1, 3, 5, 6, 7, 8}, Run: runWithoutFaults},

	Scenario{Name: "kill-proxies", Summary: "kill proxies one after another; each comes back after two seconds", Rules: []int{1, 3, 5, 8}, Run: killProxies},
	Scenario{Name: "kill-primaries", Summary: "kill the primaries of the registry and of the configuration store in turn", Rules: []int{1, 3, 5, 7, 12}, Run: killPrimaries},
	Scenario{Name: "kill-core", Summary: "kill the whole control plane at once, and start it again some seconds later", Rules: []int{1, 3, 7, 12}, Run: killControlPlane},
	Scenario{Name: "closing", Summary: "kill every process, start them again, and serve within 15 s", Rules: []int{1, 3, 7, 12}, Run: killAllProcesses},
	Scenario{Name: "freeze", Summary: "freeze proxies and primaries for four or eight seconds; once they go on they must not act on expired state", Rules: []int{1, 3, 5, 7, 12}, Run: freezeProcesses},
	Scenario{Name: "clocks", Summary: "the clocks of primaries and proxies step forward and back by seconds to an hour, while configurations are applied and a service fails",
		Rules: []int{1, 3, 6, 7, 10, 12}, Run: stepClocks},

	Scenario{Name: "lose-disk", Summary: "a control plane process stops with its disk lost, and comes back with an empty one", Rules: []int{1, 3, 7, 12}, Run: loseDisks},
	Scenario{Name: "damage-disk", Summary: "a byte of each primary's log is corrupted while it is down; it installs a fresh snapshot", Rules: []int{1, 3, 7, 12}, Run: corruptDisks},
	Scenario{Name: "full-disk", Summary: "the disk of each primary, then of a whole control plane host, is full for a while", Rules: []int{1, 3, 7, 12}, Run: fillDisks},
	Scenario{Name: "slow-disk", Summary: "a control plane host's disk takes 400 ms longer for each sync, as backup and as primary; then it recovers", Rules: []int{1, 3, 7, 12}, Run: slowDisks},

	Scenario{Name: "rolling", Summary: "restart every process in turn by a planned stop", Rules: []int{1, 3, 7, 9, 12}, Run: restartEachProcess},
	Scenario{Name: "hurried", Summary: "ask proxies to stop under full traffic with slow backends, and kill them 3, 4 and 5 s later", Rules: []int{1, 3, 9, 12}, Run: killDrainingProxies},
	Scenario{Name: "versions", Summary: "roll every process from an earlier build to this one, under traffic", Rules: []int{1, 3, 7, 9, 12}, Run: rollVersions},
	Scenario{Name: "move-seeds", Summary: "two control plane hosts move to other addresses, one after the other, and a proxy restarts on outdated seeds", Rules: []int{1, 3, 7, 12}, Run: moveSeeds},

	Scenario{Name: "backends", Summary: "replace the backends one by one, each by a new instance on another host", Rules: []int{1, 3, 4, 5, 8}, Run: replaceAllBackends},
	Scenario{Name: "address-reuse", Summary: "end backends without notice and give their addresses to other services two seconds later", Rules: []int{1, 3, 5, 8}, Run: reuseAddresses},
	Scenario{Name: "wrong-bytes", Summary: "backends execute requests and drop, cut, overrun or garble their responses, or respond that they did not execute", Rules: []int{1, 2, 3, 8}, Run: malformResponses},
	Scenario{Name: "rush", Summary: "many times the traffic for a while, at backends with few workers", Rules: []int{1, 3, 8}, Run: overload},

	Scenario{Name: "configurations", Summary: "bursts of configurations, races between two operators, and invalid ones, with a proxy frozen", Rules: []int{1, 3, 5, 6, 7}, Run: applyConfigurationBursts},
	Scenario{Name: "revocations", Summary: "callers bear tenants' keys, which are replaced again and again while proxies are frozen and killed",
		Rules: []int{1, 3, 5, 6, 7, 12}, Checks: []invariants.Check{invariants.RevocationTimeout(0)}, Prepare: prepareTenants, Run: revokeKeys},
	Scenario{Name: "acknowledge", Summary: "apply configurations with all proxies running, then right after one was killed", Rules: []int{1, 3, 6, 7}, Run: measureAcknowledgements},

	Scenario{Name: "isolate", Summary: "partition single hosts from all others, in one direction or both, proxies and control plane", Rules: []int{1, 3, 5, 7, 12}, Run: isolateHosts},
	Scenario{Name: "split", Summary: "partition the control plane from itself and from the proxies", Rules: []int{1, 3, 5, 7, 12}, Run: partitionControlPlane},
	Scenario{Name: "halves", Summary: "partition a control plane of four into halves, both reachable from the proxies, while configurations are applied", Rules: []int{1, 3, 6, 7, 12}, Run: partitionIntoHalves},
	Scenario{Name: "troubled", Summary: "one proxy's network to the others is slow, then corrupts bytes, then is partitioned; no other proxy's callers may notice", Rules: []int{1, 3, 11}, Run: impairProxyNetwork},

	Scenario{Name: "breaker", Summary: "a whole service fails for a while; its breaker opens, probes and closes again", Rules: []int{1, 2, 8, 10}, Run: failService},
	Scenario{Name: "breaker-probes", Summary: "a service fails and recovers; while its probes are in flight, their proxies and the registry's leader are killed and frozen",
		Rules: []int{1, 2, 8, 10, 12}, Run: interruptProbes},
	Scenario{Name: "breaker-callers", Summary: "two proxies' networks are slow and they send more than all others, while a service fails and recovers", Rules: []int{1, 3, 10, 11}, Run: impairCallersOfFailingService},

	Scenario{Name: "peak-routes", Summary: "routes of submissions, corrections and downloads change alone, in bursts and concurrently, while proxies restart and a primary is killed",
		Rules: []int{1, 3, 5, 6, 7}, Checks: peakTrafficChecks, Prepare: preparePeakTraffic, Run: runPeakTraffic(true)},
	Scenario{Name: "peak-quiet", Summary: "peak-routes without its changes, to compare", Rules: []int{1, 3, 5}, Checks: peakTrafficChecks, Prepare: preparePeakTraffic, Run: runPeakTraffic(false)},
)

// deprecatedNames maps names that scenarios had in earlier releases to the present ones. Find still accepts them.
var deprecatedNames = map[string]string{
	"kill-carriers": "kill-proxies",
	"guard":         "breaker",
	"trial":         "breaker-probes",
	"trials":        "breaker-callers",
	"friday-routes": "peak-routes",
	"friday-quiet":  "peak-quiet",
}

func byName(scenarios ...Scenario) map[string]Scenario {
	all := map[string]Scenario{}
	for _, scenario := range scenarios {
		all[scenario.Name] = scenario
	}
	return all
}

// Names lists the scenarios' present names in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(All)) }

// Find gives the scenario with a name, present or deprecated. An unknown name is an error that lists the present ones.
func Find(name string) (Scenario, error) {
	if present, deprecated := deprecatedNames[name]; deprecated {
		name = present
	}
	found, known := All[name]
	if !known {
		return Scenario{}, fmt.Errorf("no scenario %q; there are %v", name, Names())
	}
	return found, nil
}
