package scenario

import (
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/invariants"
)

// Scenario is a sequence of faults or changes that a fleet undergoes under traffic.
type Scenario struct {
	Name    string
	Summary string
	Rules   []int // numbers in docs/rules.md of the rules whose checkers must examine something; otherwise the rehearsal proves nothing
	Run     func(r *Rehearsal) error
	// Prepare runs on the ready fleet before traffic starts. May be nil.
	Prepare func(r *Rehearsal) error
	// Checks run in addition to all rules.
	Checks []invariants.Check
}

// All holds the scenarios by name.
var All = byName(
	Scenario{Name: "steady", Summary: "no faults", Rules: []int{1, 3, 5, 6, 7, 8}, Run: runWithoutFaults},

	Scenario{Name: "kill-proxies", Summary: "kill proxies one after another; each is restarted after two seconds", Rules: []int{1, 3, 5, 8}, Run: killProxies},
	Scenario{Name: "kill-primaries", Summary: "kill the primaries of the registry and of the configuration store in turn", Rules: []int{1, 3, 5, 7, 12}, Run: killPrimaries},
	Scenario{Name: "kill-core", Summary: "kill the whole control plane at once, and restart it some seconds later", Rules: []int{1, 3, 7, 12}, Run: killControlPlane},
	Scenario{Name: "closing", Summary: "kill all processes and restart them; they must serve within 15 s", Rules: []int{1, 3, 7, 12}, Run: killAllProcesses},
	Scenario{Name: "freeze", Summary: "freeze proxies and primaries for four or eight seconds; once resumed they must not act on expired state", Rules: []int{1, 3, 5, 7, 12}, Run: freezeProcesses},
	Scenario{Name: "clocks", Summary: "step the clocks of primaries and proxies forward and back by seconds to an hour, while configurations are applied and a service fails",
		Rules: []int{1, 3, 6, 7, 10, 12}, Run: stepClocks},

	Scenario{Name: "lose-disk", Summary: "kill each control plane primary and restart it with an empty disk", Rules: []int{1, 3, 7, 12}, Run: loseDisks},
	Scenario{Name: "damage-disk", Summary: "corrupt a byte of each primary's record file while it is down; it must install a new snapshot", Rules: []int{1, 3, 7, 12}, Run: corruptDisks},
	Scenario{Name: "full-disk", Summary: "fill the disk of each primary, then of a whole control plane host, for a while", Rules: []int{1, 3, 7, 12}, Run: fillDisks},
	Scenario{Name: "slow-disk", Summary: "slow each sync of a control plane host's disk by 400 ms, as backup and as primary; then the disk recovers", Rules: []int{1, 3, 7, 12}, Run: slowDisks},

	Scenario{Name: "rolling", Summary: "restart every process in turn with a planned stop", Rules: []int{1, 3, 7, 9, 12}, Run: restartEachProcess},
	Scenario{Name: "hurried", Summary: "stop proxies under full traffic with slow backends, and kill them if they still run 3, 4 or 5 s later", Rules: []int{1, 3, 9, 12}, Run: killDrainingProxies},
	Scenario{Name: "versions", Summary: "roll every process from an earlier build to this one, under traffic", Rules: []int{1, 3, 7, 9, 12}, Run: rollVersions},
	Scenario{Name: "move-seeds", Summary: "move two control plane hosts to other addresses, one after the other, and restart a proxy with outdated seeds", Rules: []int{1, 3, 7, 12}, Run: moveSeeds},

	Scenario{Name: "backends", Summary: "replace the backends one by one, each by a new instance on another host", Rules: []int{1, 3, 4, 5, 8}, Run: replaceAllBackends},
	Scenario{Name: "address-reuse", Summary: "stop backends abruptly and give their addresses to other services two seconds later", Rules: []int{1, 3, 5, 8}, Run: reuseAddresses},
	Scenario{Name: "wrong-bytes", Summary: "backends execute requests and then send no, truncated, overlong or malformed responses, or respond that they did not execute", Rules: []int{1, 2, 3, 8}, Run: malformResponses},
	Scenario{Name: "rush", Summary: "multiply the traffic for a while, with few workers per backend", Rules: []int{1, 3, 8}, Run: overload},

	Scenario{Name: "configurations", Summary: "apply bursts of configurations, some of them invalid or from two racing operators, while a proxy is frozen", Rules: []int{1, 3, 5, 6, 7}, Run: applyConfigurationBursts},
	Scenario{Name: "revocations", Summary: "replace the tenants' keys that callers send again and again, while proxies are frozen and killed",
		Rules: []int{1, 3, 5, 6, 7, 12}, Checks: []invariants.Check{invariants.RevocationTimeout(0)}, Prepare: prepareTenants, Run: revokeKeys},
	Scenario{Name: "acknowledge", Summary: "measure how long acknowledgements take with all proxies running, then right after one was killed", Rules: []int{1, 3, 6, 7}, Run: measureAcknowledgements},

	Scenario{Name: "isolate", Summary: "partition single hosts from all others, in one direction or both, proxies and control plane", Rules: []int{1, 3, 5, 7, 12}, Run: isolateHosts},
	Scenario{Name: "split", Summary: "partition one control plane host from the others, then the control plane from the proxies", Rules: []int{1, 3, 5, 7, 12}, Run: partitionControlPlane},
	Scenario{Name: "halves", Summary: "partition a control plane of four hosts into halves, both reachable from the proxies, while configurations are applied", Rules: []int{1, 3, 6, 7, 12}, Run: partitionIntoHalves},
	Scenario{Name: "troubled", Summary: "delay, corrupt, then block one proxy's traffic with the others; the other proxies' callers must not be affected", Rules: []int{1, 3, 11}, Run: impairProxyNetwork},

	Scenario{Name: "breaker", Summary: "make a whole service fail for a while; its breaker must open, probe and close again", Rules: []int{1, 2, 8, 10}, Run: failService},
	Scenario{Name: "breaker-probes", Summary: "kill or freeze probing proxies, and kill the registry's primary, while breaker probes of a recovering service are in flight",
		Rules: []int{1, 2, 8, 10, 12}, Run: interruptProbes},
	Scenario{Name: "breaker-callers", Summary: "slow the networks of two proxies that receive most requests, while a service fails and recovers", Rules: []int{1, 3, 10, 11}, Run: impairCallersOfFailingService},

	Scenario{Name: "peak-routes", Summary: "change routes of submissions, corrections and downloads singly, in bursts and concurrently, while proxies restart and a primary is killed",
		Rules: []int{1, 3, 5, 6, 7}, Checks: peakTrafficChecks, Prepare: preparePeakTraffic, Run: runPeakTraffic(true)},
	Scenario{Name: "peak-quiet", Summary: "peak-routes without route changes, for comparison", Rules: []int{1, 3, 5}, Checks: peakTrafficChecks, Prepare: preparePeakTraffic, Run: runPeakTraffic(false)},
)

// deprecatedNames maps the scenarios' names in earlier releases to the current ones. Find still accepts them.
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

// Names returns the scenarios' current names in alphabetical order.
func Names() []string { return slices.Sorted(maps.Keys(All)) }

// Find returns the scenario with a name, current or deprecated. The error for an unknown name lists the current ones.
func Find(name string) (Scenario, error) {
	if present, deprecated := deprecatedNames[name]; deprecated {
		name = present
	}
	found, known := All[name]
	if !known {
		return Scenario{}, fmt.Errorf("no scenario %q; known scenarios are %v", name, Names())
	}
	return found, nil
}
