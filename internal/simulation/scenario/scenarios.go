package scenario

import (
	"fmt"
	"slices"

	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/workload"
)

// allFaults are the faults of the scenarios that combine all failures.
var allFaults = []fault{killProxy, killCoreProcess, killPrimary, powerOffCore, powerOffCoreMachine, freezeCore, freezePrimary, freezeProxy, partitionCore, isolateMachine,
	partitionProxyFromCore, partitionProxies, slowDisk, fillDisk, failSync, misbehaveBackend, failService, replaceBackend, reuseAddress, applyConfig, applyConfigRace,
	applyConfigBurst, powerOffEverything, moveCoreMachine}

// allInitialFaults are the initial faults of the scenarios that combine all failures.
var allInitialFaults = []fault{failService, replaceBackend, applyConfig, reuseAddress}

func init() {
	for _, scenario := range slices.Concat(combinedScenarios(), coreScenarios(), outageScenarios(), proxyScenarios(), callerScenarios(), controlPlaneScenarios(), tenantScenarios()) {
		register(scenario)
	}
	register(peakTrafficScenario())
}

// combinedScenarios returns the scenarios with no failures or with all of them together.
func combinedScenarios() []Scenario {
	atDeployment := func(name string, topology Topology) Scenario {
		return Scenario{
			Name:          name,
			Summary:       "all failures together, several at a time, in the topology of a deployment",
			Topology:      topology,
			Duration:      40 * monotonic.Second,
			Rate:          60,
			FaultInterval: 900 * monotonic.Millisecond,
			Rules:         []int{1, 2, 3, 4, 5, 6, 7, 8, 12},
			InitialFaults: allInitialFaults,
			Faults:        allFaults,
		}
	}
	return []Scenario{
		{
			Name:          "calm",
			Summary:       "no failure",
			Topology:      smallTopology,
			Duration:      20 * monotonic.Second,
			Rate:          30,
			FaultInterval: monotonic.Minute,
			Rules:         []int{1, 3, 5, 6, 7, 8},
			Faults:        []fault{applyConfig},
		},
		{
			Name:          "everything",
			Summary:       "all failures together",
			Topology:      smallTopology,
			Duration:      60 * monotonic.Second,
			Rate:          25,
			FaultInterval: 2 * monotonic.Second,
			Rules:         []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12},
			InitialFaults: allInitialFaults,
			Faults:        allFaults,
		},
		{
			Name:          "four",
			Summary:       "all failures together, four core machines in four zones",
			Topology:      fourZoneTopology,
			Duration:      60 * monotonic.Second,
			Rate:          25,
			FaultInterval: 2 * monotonic.Second,
			Rules:         []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12},
			InitialFaults: allInitialFaults,
			Faults:        allFaults,
		},
		atDeployment("association", Topology{Cores: 3, Proxies: 16, Zones: 3, Backends: 5}),
		atDeployment("raahbar", Topology{Cores: 4, Proxies: 12, Zones: 4, Backends: 4}),
	}
}

// coreScenarios returns the scenarios with failures of the core.
func coreScenarios() []Scenario {
	return []Scenario{
		{
			Name:          "core",
			Summary:       "the core's failures alone: kills, power, disks, partitions, freezes, planned stops",
			Topology:      smallTopology,
			Duration:      50 * monotonic.Second,
			Rate:          40,
			FaultInterval: 3 * monotonic.Second,
			Rules:         []int{1, 3, 6, 7, 10, 12},
			InitialFaults: []fault{failService, applyConfig, killPrimary},
			Faults: []fault{killCoreProcess, killPrimary, powerOffCore, powerOffCoreMachine, freezeCore, freezePrimary, partitionCore, slowDisk, fillDisk, failSync,
				loseDisk, damageDisk, stopPrimary, applyConfig, applyConfigRace, moveCoreMachine},
		},
		{
			Name:          "acknowledged",
			Summary:       "power of the whole core, or one machine's disk, lost at the moment of an acknowledgement",
			Topology:      smallTopology,
			Duration:      40 * monotonic.Second,
			Rate:          25,
			FaultInterval: 9 * monotonic.Second,
			Rules:         []int{1, 3, 7, 12},
			InitialFaults: []fault{powerOffAtAcknowledgement, loseDiskAtAcknowledgement},
			Faults:        []fault{powerOffAtAcknowledgement, loseDiskAtAcknowledgement},
		},
		{
			Name:          "written",
			Summary:       "a registry's machine, its disk, or the whole core's power lost right after the acknowledgement of a claim, a voided claim, a probe lease or a breaker write",
			Topology:      smallTopology,
			Duration:      70 * monotonic.Second,
			Rate:          40,
			FaultInterval: 12 * monotonic.Second,
			Rules:         []int{1, 2, 3, 10, 12},
			Prepare:       faultAfterWrites,
			InitialFaults: []fault{failService},
			Faults:        []fault{failService, misbehaveBackend},
		},
	}
}

// outageScenarios returns the scenarios in which all machines lose power or clocks are stepped.
func outageScenarios() []Scenario {
	return []Scenario{
		{
			Name:          "closing",
			Summary:       "power lost everywhere, more than once; the voters are known from the disks alone",
			Topology:      discoveredTopology,
			Duration:      40 * monotonic.Second,
			Rate:          25,
			FaultInterval: 8 * monotonic.Second,
			Rules:         []int{1, 3, 7, 12},
			InitialFaults: []fault{applyConfig},
			Faults:        []fault{powerOffEverything, powerOffEverything, applyConfig, moveCoreMachine},
		},
		{
			Name:          "combined",
			Summary:       "power lost everywhere while one core machine loses its disk, moves, or comes back with a slow or damaged one",
			Topology:      smallTopology,
			Duration:      40 * monotonic.Second,
			Rate:          30,
			FaultInterval: 9 * monotonic.Second,
			Rules:         []int{1, 3, 7, 12},
			InitialFaults: []fault{applyConfig},
			Faults: []fault{powerOffEverythingWith(loseDisk), powerOffEverythingWith(moveCoreMachine), powerOffEverythingWith(slowDisk), powerOffEverythingWith(damageDisk),
				powerOffEverythingWith(loseDisk, moveCoreMachine), applyConfig},
		},
		{
			Name:          "clocks",
			Summary:       "clocks are stepped forward and back, by seconds to an hour, among other failures",
			Topology:      smallTopology,
			Duration:      60 * monotonic.Second,
			Rate:          40,
			FaultInterval: 2 * monotonic.Second,
			Rules:         []int{1, 2, 3, 6, 7, 8, 10, 12},
			InitialFaults: []fault{failService, stepPrimaryClockDuringPartition, stepPrimaryClock},
			Faults: []fault{stepCoreClock, stepPrimaryClock, stepPrimaryClock, stepProxyClock, stepProxyClock, stepPrimaryClockDuringPartition, failService, applyConfig,
				misbehaveBackend, partitionProxies, killProxy, freezeProxy},
		},
	}
}

// proxyScenarios returns the scenarios with failures and planned stops of proxies, and failures of their local backends.
func proxyScenarios() []Scenario {
	return []Scenario{
		{
			Name:          "configurations",
			Summary:       "configurations change while proxies are partitioned, frozen and restarted",
			Topology:      smallTopology,
			Duration:      40 * monotonic.Second,
			Rate:          30,
			FaultInterval: 1500 * monotonic.Millisecond,
			Rules:         []int{3, 5, 6, 7},
			InitialFaults: []fault{freezeAndApply, isolateProxyFromCore, applyConfig},
			Faults: []fault{isolateProxyFromCore, isolateProxyFromCore, freezeProxy, killProxy, killPrimary, applyConfig, applyConfig, applyConfigRace, applyConfigBurst,
				drainProxy, stopPrimary},
		},
		{
			Name:          "backends",
			Summary:       "backends replaced, ended, their addresses reused, misbehaving",
			Topology:      smallTopology,
			Duration:      40 * monotonic.Second,
			Rate:          40,
			FaultInterval: monotonic.Second,
			Rules:         []int{1, 2, 3, 4, 5, 8},
			InitialFaults: []fault{replaceBackend, reuseAddress, failService},
			Faults:        []fault{replaceBackend, reuseAddress, misbehaveBackend, misbehaveBackend, failService, partitionProxies, killProxy},
		},
		{
			Name:          "drains",
			Summary:       "planned stops of proxies and primaries under traffic",
			Topology:      smallTopology,
			Duration:      40 * monotonic.Second,
			Rate:          40,
			FaultInterval: 3 * monotonic.Second,
			Rules:         []int{1, 3, 9},
			Prepare:       func(m *Mesh) { m.plannedStopsOnly = true },
			InitialFaults: []fault{slowBackends, drainProxy, stopPrimary},
			Faults:        []fault{drainProxy, drainProxy, stopPrimary, applyConfig, slowBackends},
		},
		{
			Name:          "guards",
			Summary:       "services fail and recover while proxies and the primary that holds the breaker records are killed or frozen",
			Topology:      smallTopology,
			Duration:      50 * monotonic.Second,
			Rate:          40,
			FaultInterval: 2 * monotonic.Second,
			Rules:         []int{2, 8, 10},
			InitialFaults: []fault{failService},
			Faults:        []fault{failService, failService, killProxy, killPrimary, freezeProxy, freezePrimary, powerOffCoreMachine, partitionProxyFromCore},
		},
	}
}

// callerScenarios returns the scenarios in which some callers' networks are degraded or requests surge.
func callerScenarios() []Scenario {
	return []Scenario{
		{
			Name:          "troubled",
			Summary:       "one caller's network degraded, all others healthy",
			Topology:      smallTopology,
			Duration:      40 * monotonic.Second,
			Rate:          40,
			FaultInterval: 4 * monotonic.Second,
			Rules:         []int{1, 3, 11},
			Prepare:       degradeNetworks(0, shortDeadlines),
			Faults:        []fault{partitionDegradedProxy, applyConfig},
		},
		{
			Name:          "trials",
			Summary:       "a service fails and recovers again and again while two of eight callers' networks are degraded",
			Topology:      Topology{Cores: 3, Proxies: 8, Zones: 2, Backends: 3},
			Duration:      60 * monotonic.Second,
			Rate:          80,
			FaultInterval: 12 * monotonic.Second,
			Rules:         []int{1, 3, 8, 10, 11},
			Prepare:       degradeNetworks(6, slowNetwork, slowNetwork),
			DesiredState:  desiredWithSlowCallRate,
			InitialFaults: []fault{failServiceWithMarkers, noFault, noFault},
			Faults:        []fault{failServiceWithMarkers, noFault},
		},
		{
			Name:          "rush",
			Summary:       "ten times the traffic at backends with few slots, while backends misbehave, proxies and primaries are killed and the core loses power",
			Topology:      smallTopology,
			Duration:      40 * monotonic.Second,
			Rate:          30,
			FaultInterval: 3 * monotonic.Second,
			Rules:         []int{1, 2, 3, 8, 12},
			Prepare:       func(m *Mesh) { m.workDuration = 150 * monotonic.Millisecond },
			DesiredState:  desiredWithFewSlots,
			InitialFaults: []fault{trafficSurge, misbehaveBackend, trafficSurge},
			Faults:        []fault{trafficSurge, trafficSurge, misbehaveBackend, killProxy, killPrimary, powerOffCore, freezeProxy, replaceBackend},
		},
	}
}

// peakTrafficScenario returns the scenario that changes routes under the traffic of a busy day.
func peakTrafficScenario() Scenario {
	routeFaults := []fault{changeRoute, changeRoute, changeRoutesInBurst, changeRoutesConcurrently, changeRoutesDuringPartition}
	return Scenario{
		Name:            "friday-routes",
		Summary:         "routes of submissions, corrections and downloads change one by one, in bursts and concurrently, while proxies restart and a primary dies",
		Topology:        Topology{Cores: 4, Proxies: 12, Zones: 4, Backends: 4, Services: peakServices(), Timeouts: configstore.Timeouts{ServeStale: true}},
		Duration:        40 * monotonic.Second,
		Rate:            300,
		FaultInterval:   900 * monotonic.Millisecond,
		Rules:           []int{1, 3, 5, 6, 7},
		Checks:          []invariants.Check{invariants.KeysExecutedOnce, invariants.VersionsAdopted, invariants.BreakerCountersMonotonic},
		Prepare:         preparePeakTraffic,
		DesiredState:    func(int) []byte { return workload.EncodeState(peakDesiredState()) },
		GenerateTraffic: generatePeakTraffic,
		InitialFaults:   append(slices.Clone(routeFaults[:4]), killConfigPrimaryDuringBurst, killProxyWithMarker, drainProxy),
		Faults:          append(slices.Clone(routeFaults), changeRoute, killProxyWithMarker, drainProxy, killConfigPrimaryDuringBurst),
	}
}

// controlPlaneScenarios returns the scenarios with faults of the control plane alone, while operators read and write on all core
// machines.
func controlPlaneScenarios() (scenarios []Scenario) {
	for _, size := range []struct{ cores, replicas int }{{3, 2}, {4, 2}, {5, 3}} {
		add := func(name, summary string, faults ...fault) {
			scenarios = append(scenarios, Scenario{
				Name:          fmt.Sprintf("%s-%d", name, size.cores),
				Summary:       summary,
				Topology:      controlPlaneTopology(size.cores, size.replicas),
				Duration:      100 * monotonic.Second,
				Rate:          10,
				FaultInterval: 9 * monotonic.Second,
				Rules:         []int{1, 3, 12},
				Prepare: func(m *Mesh) {
					m.serving = true
					m.startOperators(4, 600*monotonic.Millisecond)
				},
				Faults:        faults,
				InitialFaults: faults[:min(3, len(faults))],
				Checks:        []invariants.Check{invariants.OperatorCallsLinearizable},
			})
		}
		add("cut-off", "core machines cut off for twenty seconds, restarted meanwhile, or followed by other failures on their return",
			longCorePartition, restartDuringPartition, killOthersAfterPartition, longFullPartition, staleMemberAfterPartition, splitCore, freezePrimary, killPrimary, powerOffCore)
		add("exchanges", "core machines replaced as planned and lost permanently, in quick succession",
			lossDuringReplacement, plannedReplacement, permanentLoss, lossDuringReplacement, loseDiskThenReplace, loseDiskAtWrite, powerOffCore, loseDiskAndPowerAtWrite, slowSingleDisk, longCorePartition)
		add("closing-losses", "as many replicas' disks as tolerated are lost at a confirmed write, while everything else loses power",
			loseDisksAndPowerAtWrite, loseDisksAndPowerAtWrite, loseDisksAndPowerAtWrite, powerOffEverything, killPrimary)
		add("many-changes", "hundreds of changes, while members restart with an outdated state, or with a lost or corrupted disk",
			loseDiskAtWrite, killPrimary, staleMemberAfterPartition, loseDiskAndPowerAtWrite, killCoreProcess, powerOffCoreMachine, loseDisk, damageDisk, fillDisk, failSync, powerOffCore)
	}
	return scenarios
}

// controlPlaneTopology returns a topology like that of the platform: core processes know the initial voters at their first start
// only, the store retains few configurations, and proxies continue to serve without the core.
func controlPlaneTopology(cores, replicas int) Topology {
	return Topology{
		Cores:            cores,
		Proxies:          2,
		Zones:            2,
		Backends:         1,
		DiscoverVoters:   true,
		Replicas:         replicas,
		VoterTimeout:     catchUpAllowance / 2,
		RetainedVersions: 3,
		Timeouts:         configstore.Timeouts{ServeStale: true},
	}
}
