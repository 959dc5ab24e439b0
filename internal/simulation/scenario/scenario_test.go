package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// seeds gives the fixed seeds, or a range from the environment for longer runs.
func seeds(t *testing.T, fixed ...uint64) []uint64 {
	text := os.Getenv("SNOWFLOW_SEEDS")
	if text == "" {
		return fixed
	}
	first, last, found := strings.Cut(text, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	until := from
	if err == nil && found {
		until, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || until < from {
		t.Fatalf("SNOWFLOW_SEEDS %q is not a seed or a range", text)
	}
	var all []uint64
	for seed := from; seed <= until; seed++ {
		all = append(all, seed)
	}
	return all
}

func runScenario(t *testing.T, name string, fixed ...uint64) {
	for _, seed := range seeds(t, fixed...) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			result := Run(Scenarios[name], seed, Defects{})
			for _, finding := range result.Findings {
				t.Errorf("seed %d: %s", seed, finding)
			}
			t.Logf("served %d of %d, %d events, seen %v", result.Served, result.Sent, result.Events, result.Seen)
			if t.Failed() && os.Getenv("SNOWFLOW_LOG") != "" {
				t.Log(strings.Join(result.Log, "\n"))
			}
		})
	}
}

func TestCalm(t *testing.T)                    { runScenario(t, "calm", 1) }
func TestEverything(t *testing.T)              { runScenario(t, "everything", 1, 2, 2074) }
func TestFour(t *testing.T)                    { runScenario(t, "four", 1, 2017) }
func TestTroubled(t *testing.T)                { runScenario(t, "troubled", 21) }
func TestTrials(t *testing.T)                  { runScenario(t, "trials", 1) }
func TestClocks(t *testing.T)                  { runScenario(t, "clocks", 1) }
func TestAssociation(t *testing.T)             { runScenario(t, "association", 1) }
func TestRaahbar(t *testing.T)                 { runScenario(t, "raahbar", 1) }
func TestCombined(t *testing.T)                { runScenario(t, "combined", 1) }
func TestWritten(t *testing.T)                 { runScenario(t, "written", 1) }
func TestSurge(t *testing.T)                   { runScenario(t, "rush", 1) }
func TestCore(t *testing.T)                    { runScenario(t, "core", 1, 2) }
func TestConfigurations(t *testing.T)          { runScenario(t, "configurations", 1) }
func TestBackends(t *testing.T)                { runScenario(t, "backends", 1) }
func TestDrains(t *testing.T)                  { runScenario(t, "drains", 1) }
func TestFaultsAtAcknowledgement(t *testing.T) { runScenario(t, "acknowledged", 1) }
func TestClosing(t *testing.T)                 { runScenario(t, "closing", 1) }
func TestGuards(t *testing.T)                  { runScenario(t, "guards", 1) }

// TestReplay plays a seed again and again: what was found must be found again. The second course loses power with
// several files unsynced, which once drew from chance in the order of a map.
func TestReplay(t *testing.T) {
	for name, defects := range map[string]Defects{"everything": {}, "acknowledged": {NoSync: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one := Run(Scenarios[name], 7, defects)
			for range 2 {
				other := Run(Scenarios[name], 7, defects)
				if one.Digest != other.Digest || one.Served != other.Served || one.Events != other.Events {
					t.Fatalf("the same seed took another course: %d events and %d served, then %d and %d", one.Events, one.Served, other.Events, other.Served)
				}
			}
		})
	}
}

// TestRulesDetectDefects breaks one part of the mesh at a time; the rule that it serves must find something in some seed.
func TestRulesDetectDefects(t *testing.T) {
	broken := []struct {
		name    string
		rule    int
		course  string
		defects Defects
		first   uint64 // seed to begin with
	}{
		{"claims left out", 1, "backends", Defects{NoClaims: true}, 1},
		{"claims left out, so not run is a guess", 2, "backends", Defects{NoClaims: true}, 1},
		{"short answers pass for whole", 3, "backends", Defects{AcceptTruncated: true}, 1},
		{"leaving ignored", 4, "backends", Defects{IgnoreDraining: true}, 1},
		{"identity not asked", 5, "backends", Defects{NoIdentityCheck: true}, 1},
		{"serving without a tenure", 6, "configurations", Defects{NoServingLease: true}, 1},
		{"clocks that stand still in a suspended machine", 6, "configurations", Defects{ClockStopsWhileFrozen: true}, 1},
		{"syncs that do nothing", 7, "acknowledged", Defects{NoSync: true}, 1},
		{"tries without a budget", 8, "backends", Defects{NoRetryBudget: true}, 1},
		{"a planned stop that ends at once", 9, "drains", Defects{NoDrain: true}, 1},
		{"slots that leak", 10, "guards", Defects{Breakers: breakerstore.FaultLosesReturnedProbes}, 1},
		{"every trip opens for all", 11, "troubled", Defects{Breakers: breakerstore.FaultOpensOnAnyTrip}, 1},
		{"syncs that do nothing, and verdicts lost with them", 10, "written", Defects{NoSync: true}, 60},
		{"a configuration acknowledged by a clock that leapt", 6, "clocks", Defects{TrustClock: true}, 2},
		{"a key run again after a leap", 1, "clocks", Defects{TrustClock: true}, 11},
		{"one carrier may take a round and reopen alone", 11, "trials", Defects{Breakers: breakerstore.FaultNoProbeShares}, 2},
		{"closed without a trial", 10, "guards", Defects{Breakers: breakerstore.FaultSkipsTrial}, 1},
		{"a wait cut short", 10, "guards", Defects{Breakers: breakerstore.FaultShortWait}, 1},
		{"probes that never go back", 10, "guards", Defects{Breakers: breakerstore.FaultKeepsProbes}, 1},
		{"calls in a trial without a probe", 10, "trials", Defects{NoProbeLease: true}, 1},
		{"a core that stays away", 12, "core", Defects{NoRecovery: true}, 1},
	}
	for _, one := range broken {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			for seed := one.first; seed < one.first+12; seed++ {
				for _, finding := range Run(Scenarios[one.course], seed, one.defects).Findings {
					// That a checker had nothing to look at is no catch.
					if finding.Rule == one.rule && !finding.NothingExamined {
						t.Logf("seed %d: %s", seed, finding)
						return
					}
				}
			}
			t.Errorf("the checker of rule %d saw nothing wrong in 12 seeds", one.rule)
		})
	}
}

// TestClaimCost measures what the claim adds at Raahbar's rate of submissions, by the time that the core's disks take to
// sync. Simulated time makes the figures repeat; the test holds only that slow disks delay, and refuse nobody.
func TestClaimCost(t *testing.T) {
	for _, sync := range []monotonic.Micros{200, 5 * monotonic.Millisecond, 20 * monotonic.Millisecond, 100 * monotonic.Millisecond} {
		result := Run(Scenario{Name: "claims", Sizes: fourZoneTopology, Duration: 15 * monotonic.Second, Rate: 260, FaultInterval: monotonic.Minute, SyncDuration: sync, Faults: []fault{applyConfig}}, 1, Defects{})
		if len(result.Findings) > 0 || result.Served != result.Sent {
			t.Errorf("sync %d: %d of %d served, %v", sync, result.Served, result.Sent, result.Findings)
		}
		form, submission := result.Latencies["form"], result.Latencies["submission"]
		t.Logf("sync %d: form p50 %d p99 %d, submission p50 %d p99 %d microseconds", sync, form[len(form)/2], form[len(form)*99/100],
			submission[len(submission)/2], submission[len(submission)*99/100])
	}
}

// TestControlMessages counts what an idle carrier says and hears as carriers double: a mesh of many must not make each
// one talk more.
func TestControlMessages(t *testing.T) {
	const seconds = 30
	perProxy := func(carriers int) (calls, bytes, core float64) {
		mesh := Build(1, Topology{Cores: 3, Proxies: carriers, Zones: 3, Backends: carriers / 2}, Defects{})
		defer mesh.World.Close()
		mesh.External.Go(func() { mesh.applyDesired(Desired(0), false, 0, 20*monotonic.Second) })
		mesh.World.Run(mesh.World.Now() + 15*monotonic.Second)
		mesh.World.Calls, mesh.World.Bytes = map[string]map[wire.Kind]int{}, map[string]int{}
		mesh.World.Run(mesh.World.Now() + seconds*monotonic.Second)
		for node, kinds := range mesh.World.Calls {
			for _, count := range kinds {
				if strings.HasPrefix(node, "carrier") {
					calls += float64(count) / seconds / float64(carriers)
				} else if node != "outside" {
					core += float64(count) / seconds
				}
			}
		}
		for node, count := range mesh.World.Bytes {
			if strings.HasPrefix(node, "carrier") {
				bytes += float64(count) / seconds / float64(carriers)
			}
		}
		return calls, bytes, core
	}
	first, _, _ := perProxy(4)
	for _, carriers := range []int{4, 8, 16, 32} {
		calls, bytes, core := perProxy(carriers)
		t.Logf("%d carriers: %.2f calls and %.0f bytes a second for each; the core %.0f calls a second among itself", carriers, calls, bytes, core)
		if calls == 0 || calls > 1.2*first {
			t.Errorf("%d carriers: %.2f calls a second for each, %.2f with four", carriers, calls, first)
		}
	}
}

func slowAndDown(slow, down int, sync monotonic.Micros) fault {
	return fault{"slow one core machine and end another", func(mesh *Mesh) {
		for _, node := range mesh.coreNodes(mesh.coreMachines[slow]) {
			node.Disk.SyncDelay = sync
		}
		for _, node := range mesh.coreNodes(mesh.coreMachines[down]) {
			mesh.World.Kill(node)
		}
	}}
}

// TestVerdictOnSlowDisk: services fail and recover while one core machine is slow and another down. Carriers must go by
// the shared verdict still, not fall back to their own windows with every write or probe that waits for a sync.
func TestVerdictOnSlowDisk(t *testing.T) {
	t.Parallel()
	result := Run(Scenario{Name: "slow verdicts", Sizes: smallTopology, Duration: 60 * monotonic.Second, Rate: 40, FaultInterval: 6 * monotonic.Second, Rules: []int{10},
		InitialFaults: []fault{slowAndDown(0, 1, 400*monotonic.Millisecond), failService, noFault, failService}, Faults: []fault{noFault, failService}}, 1, Defects{})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	degraded, changed := 0, 0
	for _, line := range result.Log {
		degraded += strings.Count(line, fmt.Sprintf(" %d {", eventlog.BreakerDegraded))
		changed += strings.Count(line, fmt.Sprintf(" %d {", eventlog.BreakerStateChanged))
	}
	t.Logf("%d changes of a shared verdict learned, %d times degraded", changed, degraded)
	if changed == 0 || degraded > 60 {
		t.Errorf("%d changes of a shared verdict learned, %d times degraded", changed, degraded)
	}
}

// TestSlowAndDown: of three core machines one has a slow disk and another is down. The two left are a majority, so every
// write must come through, if late; the syncs are simulated, so the figures repeat.
func TestSlowAndDown(t *testing.T) {
	for _, sync := range []monotonic.Micros{300 * monotonic.Millisecond, 600 * monotonic.Millisecond} {
		for slow := range 2 {
			t.Run(fmt.Sprintf("%d/%d", sync, slow), func(t *testing.T) {
				t.Parallel()
				down := slowAndDown(slow, 1-slow, sync)
				result := Run(Scenario{Name: "slow and down", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 2 * monotonic.Second,
					InitialFaults: []fault{down}, Faults: []fault{noFault, applyConfig}}, 1, Defects{})
				for _, finding := range result.Findings {
					t.Error(finding)
				}
				t.Logf("%d of %d served, submissions p50 %d p99 %d", result.Served, result.Sent, result.Latencies["submission"][len(result.Latencies["submission"])/2], result.Latencies["submission"][len(result.Latencies["submission"])*99/100])
				if result.Served*10 < result.Sent*9 {
					t.Errorf("only %d of %d were served", result.Served, result.Sent)
				}
			})
		}
	}
}

// TestFrozenProxy: a carrier with backends freezes for longer than any cutoff. Requests that other carriers passed to it
// must be settled once it's found quiet, not held until their cutoff.
func TestFrozenProxy(t *testing.T) {
	t.Parallel()
	var mesh *Mesh
	frozen := fault{"freeze a carrier for long", func(mesh *Mesh) {
		mesh.World.Freeze(mesh.World.Node(mesh.proxyNames[1]), 12*monotonic.Second)
	}}
	result := Run(Scenario{Name: "quiet", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 6 * monotonic.Second,
		InitialFaults: []fault{frozen}, Faults: []fault{noFault}, Prepare: func(built *Mesh) { mesh = built }}, 1, Defects{})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	longest, passed := monotonic.Micros(0), 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Caller == mesh.proxyNames[1] || attempt.Ended == 0 {
			continue
		}
		passed++
		longest = max(longest, attempt.Ended-attempt.Sent)
		if attempt.Ended-attempt.Sent > 2500*monotonic.Millisecond {
			t.Errorf("%s took %d microseconds and ended with %d, cause %d", attempt.ID, attempt.Ended-attempt.Sent, attempt.Status, attempt.Cause)
		}
	}
	t.Logf("%d requests at carriers that were well, the longest took %d microseconds", passed, longest)
	if passed == 0 {
		t.Error("there were none")
	}
}

// TestPlannedStopsDelayNoApply: a carrier that stops as planned gives its tenure up, and a primary that stops as planned
// hands the tenures over, so an apply right after either waits for nobody. After kills it waits for what may still be served.
func TestPlannedStopsDelayNoApply(t *testing.T) {
	for name, injected := range map[string]struct {
		fault   fault
		delayed bool
	}{
		"a carrier's planned stop": {drainProxy, false},
		"a postmaster's planned stop": {fault{"hand over", func(mesh *Mesh) {
			node := mesh.primary("postmaster")
			mesh.External.Go(func() {
				_, _ = mesh.External.Transact(node.Address, 5*monotonic.Second, func(*world.Node) ([]byte, error) {
					mesh.configStores[node.Name].Member.TransferLeadership("planned")
					return nil, nil
				})
				mesh.World.At(mesh.World.Now(), func() { mesh.World.Kill(node) })
			})
		}}, false},
		"a carrier's end":    {killProxy, true},
		"a postmaster's end": {fault{"kill the primary", func(mesh *Mesh) { mesh.World.Kill(mesh.primary("postmaster")) }}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var longest monotonic.Micros
			timed := fault{"apply and time it", func(mesh *Mesh) {
				began := mesh.World.Now()
				mesh.External.Go(func() {
					if response := mesh.applyDesired(Desired(0), true, 0, 30*monotonic.Second); response != nil && response.Outcome == "accepted" {
						longest = max(longest, mesh.World.Now()-began)
					}
				})
			}}
			both := fault{injected.fault.name, func(mesh *Mesh) {
				injected.fault.inject(mesh)
				mesh.after(2*monotonic.Second, func() { timed.inject(mesh) })
			}}
			result := Run(Scenario{Name: "planned", Sizes: smallTopology, Duration: 20 * monotonic.Second, Rate: 20, FaultInterval: 10 * monotonic.Second,
				InitialFaults: []fault{both}, Faults: []fault{noFault}}, 3, Defects{})
			for _, finding := range result.Findings {
				t.Error(finding)
			}
			t.Logf("acknowledged after %d microseconds", longest)
			if longest == 0 || longest > monotonic.Second != injected.delayed {
				t.Errorf("acknowledged after %d microseconds", longest)
			}
		})
	}
}

// TestRetryAfterIsSpread: the core is out of every carrier's reach for half a minute, and callers come back when they are told to. What
// comes in the seconds after its return is counted, with their return spread and without.
func TestRetryAfterIsSpread(t *testing.T) {
	const rate, outage = 40, 30 * monotonic.Second
	wave := func(defects Defects) (most int) {
		var mesh *Mesh
		var returnedAt monotonic.Micros
		cut := fault{"cut the core off", func(mesh *Mesh) {
			returnedAt = mesh.World.Now() + outage
			for _, proxyName := range mesh.proxyNames {
				for _, core := range mesh.coreMachines {
					mesh.partitionFor(proxyName, core, true, outage)
				}
			}
		}}
		result := Run(Scenario{Name: "wave", Sizes: smallTopology, Duration: 60 * monotonic.Second, Rate: rate, FaultInterval: 10 * monotonic.Second, InitialFaults: []fault{cut}, Faults: []fault{noFault},
			Prepare: func(built *Mesh) {
				mesh = built
				mesh.honorRetryAfter = true
			}}, 1, defects)
		for _, finding := range result.Findings {
			t.Error(finding)
		}
		seconds := map[monotonic.Micros]int{}
		for _, attempt := range mesh.History.Attempts {
			if attempt.Sent >= returnedAt && attempt.Sent < returnedAt+15*monotonic.Second {
				second := (attempt.Sent - returnedAt) / monotonic.Second
				seconds[second]++
				most = max(most, seconds[second])
			}
		}
		return most
	}
	together, spread := wave(Defects{SameRetryAfter: true}), wave(Defects{})
	t.Logf("requests in the worst second after the return: %d together, %d spread; %d a second are sent anew", together, spread, rate)
	if spread == 0 || 2*spread > together {
		t.Errorf("requests in the worst second after the return: %d together, %d spread", together, spread)
	}
}

// TestEvenSplit: a core of four falls apart into two halves, in which carriers reach everybody. The half with the voter that
// counts double goes on, whichever process led before.
func TestEvenSplit(t *testing.T) {
	for _, ended := range []int{0, 1, 3} { // a machine that ends before, so that others lead, or none
		t.Run(fmt.Sprint(ended), func(t *testing.T) {
			t.Parallel()
			var mesh *Mesh
			var from, until monotonic.Micros
			lead := fault{"have others lead", func(mesh *Mesh) {
				if ended > 0 {
					mesh.restartAfter(mesh.coreNodes(mesh.coreMachines[ended-1]), 2*monotonic.Second, mesh.World.Kill)
				}
			}}
			split := fault{"split the core in halves", func(mesh *Mesh) {
				from, until = mesh.World.Now()+5*monotonic.Second, mesh.World.Now()+20*monotonic.Second
				for _, one := range mesh.coreMachines[:2] {
					for _, other := range mesh.coreMachines[2:] {
						mesh.partitionFor(one, other, true, 20*monotonic.Second)
					}
				}
			}}
			result := Run(Scenario{Name: "halves", Sizes: fourZoneTopology, Duration: 60 * monotonic.Second, Rate: 40, FaultInterval: 12 * monotonic.Second,
				InitialFaults: []fault{lead, split}, Faults: []fault{noFault}, Prepare: func(built *Mesh) { mesh = built }}, 1, Defects{})
			for _, finding := range result.Findings {
				t.Error(finding)
			}
			sent, served := 0, 0
			for _, attempt := range mesh.History.Attempts {
				if attempt.Sent >= from && attempt.Sent < until {
					sent++
					if !attempt.Mesh && attempt.Status == 200 {
						served++
					}
				}
			}
			t.Logf("%d of %d served from 5 s after the split on", served, sent)
			if served*10 < sent*9 || sent == 0 {
				t.Errorf("%d of %d served from 5 s after the split on", served, sent)
			}
		})
	}
}

// TestClaimsUseNoSlots: the core is away for a while at backends with few places. Submissions that wait for their claims must
// not take the places that nobody uses.
func TestClaimsUseNoSlots(t *testing.T) {
	t.Parallel()
	var mesh *Mesh
	off := fault{"power off the core", func(mesh *Mesh) {
		mesh.restartAfter(mesh.allCoreNodes(), 1500*monotonic.Millisecond, mesh.World.PowerLoss)
	}}
	result := Run(Scenario{Name: "places", Sizes: smallTopology, Duration: 40 * monotonic.Second, Rate: 40, FaultInterval: 8 * monotonic.Second, InitialFaults: []fault{off}, Faults: []fault{noFault},
		DesiredState: desiredWithFewSlots, Prepare: func(built *Mesh) { mesh = built }}, 1, Defects{})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	overloaded, longest := 0, monotonic.Micros(0)
	for _, attempt := range mesh.History.Attempts {
		if attempt.Cause == int(apierror.Overloaded) || attempt.Cause == int(apierror.RetryBudgetExhausted) {
			overloaded++
		}
		longest = max(longest, attempt.Ended-attempt.Sent)
	}
	t.Logf("%d of %d served, %d refused for want of a place, the longest took %d microseconds", result.Served, result.Sent, overloaded, longest)
	if overloaded > 0 || longest < monotonic.Second {
		t.Errorf("%d refused for want of a place, the longest took %d microseconds", overloaded, longest)
	}
}

// TestSlots: backends that say how many requests they run at once never get more, also while claims take long, while some lose
// answers, and while carriers stop as planned; and reads go on while claims can't be had.
func TestSlots(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]Scenario{
		"core": {InitialFaults: []fault{{"power off the core", func(mesh *Mesh) {
			mesh.restartAfter(mesh.allCoreNodes(), 1500*monotonic.Millisecond, mesh.World.PowerLoss)
		}}}},
		"mixed": {InitialFaults: []fault{{"mixed backends", func(mesh *Mesh) {
			for _, one := range mesh.liveBackends("") {
				one.behavior = "mixed"
			}
		}}}},
		"leaving": {InitialFaults: []fault{{"backends leave", func(mesh *Mesh) {
			for _, service := range []string{"forms", "households"} {
				one := mesh.liveBackends(service)[0]
				mesh.drainBackend(one)
				mesh.startBackend(service, one.proxy, one.address+"0", 0)
			}
		}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mesh *Mesh
			scenario.Name, scenario.Duration, scenario.Rate, scenario.FaultInterval, scenario.Faults = "slots", 40*monotonic.Second, 60, 8*monotonic.Second, []fault{noFault}
			scenario.Sizes = smallTopology
			scenario.Sizes.Slots = 3
			scenario.Prepare = func(built *Mesh) {
				mesh = built
				mesh.workDuration = 60 * monotonic.Millisecond
			}
			result := Run(scenario, 1, Defects{})
			for _, finding := range result.Findings {
				t.Error(finding)
			}
			forms, refused, overloaded, most := 0, 0, 0, 0
			for _, attempt := range mesh.History.Attempts {
				if attempt.Cause == int(apierror.Overloaded) {
					overloaded++
				}
				if attempt.Kind == "form" {
					forms++
					if attempt.Mesh {
						refused++
					}
				}
			}
			for _, one := range mesh.backends {
				most = max(most, one.maxInFlight)
			}
			t.Logf("%d of %d served; %d refused for want of a slot; %d of %d reads refused; at most %d at a backend", result.Served, result.Sent, overloaded, refused, forms, most)
			if most != 3 {
				t.Errorf("%d requests at a backend of 3 slots", most)
			}
			if name == "core" && refused*50 > forms {
				t.Errorf("%d of %d reads refused while claims couldn't be had", refused, forms)
			}
		})
	}
}

// TestRestartedRegistry: sorters are killed one after another and come back with empty directories. A carrier that is told of
// nobody by a sorter that has only just begun to be told must not forget the backends that it knows.
func TestRestartedRegistry(t *testing.T) {
	t.Parallel()
	var mesh *Mesh
	turn := 0
	kill := fault{"kill the next sorter", func(mesh *Mesh) {
		turn++
		node := mesh.World.Node(fmt.Sprintf("sorter-%d", turn%3+1))
		mesh.restartAfter([]*world.Node{node}, 100*monotonic.Millisecond, mesh.World.Kill)
	}}
	result := Run(Scenario{Name: "young", Sizes: smallTopology, Duration: 60 * monotonic.Second, Rate: 60, FaultInterval: 3 * monotonic.Second,
		Faults: []fault{kill}, Prepare: func(built *Mesh) { mesh = built }}, 1, Defects{})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	forgotten := 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Cause == int(apierror.NoBackend) {
			forgotten++
		}
	}
	t.Logf("%d of %d served, %d refused for want of a backend, %d sorters killed", result.Served, result.Sent, forgotten, turn)
	if forgotten > 0 || turn < 10 {
		t.Errorf("%d refused for want of a backend, %d sorters killed", forgotten, turn)
	}
}
