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

func play(t *testing.T, name string, fixed ...uint64) {
	for _, seed := range seeds(t, fixed...) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			result := Run(Courses[name], seed, Breakage{})
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

func TestCalm(t *testing.T)           { play(t, "calm", 1) }
func TestEverything(t *testing.T)     { play(t, "everything", 1, 2, 2074) }
func TestFour(t *testing.T)           { play(t, "four", 1, 2017) }
func TestTroubled(t *testing.T)       { play(t, "troubled", 21) }
func TestTrials(t *testing.T)         { play(t, "trials", 1) }
func TestClocks(t *testing.T)         { play(t, "clocks", 1) }
func TestAssociation(t *testing.T)    { play(t, "association", 1) }
func TestRaahbar(t *testing.T)        { play(t, "raahbar", 1) }
func TestCombined(t *testing.T)       { play(t, "combined", 1) }
func TestWritten(t *testing.T)        { play(t, "written", 1) }
func TestRush(t *testing.T)           { play(t, "rush", 1) }
func TestCore(t *testing.T)           { play(t, "core", 1, 2) }
func TestConfigurations(t *testing.T) { play(t, "configurations", 1) }
func TestBackends(t *testing.T)       { play(t, "backends", 1) }
func TestDrains(t *testing.T)         { play(t, "drains", 1) }
func TestAcknowledged(t *testing.T)   { play(t, "acknowledged", 1) }
func TestClosing(t *testing.T)        { play(t, "closing", 1) }
func TestGuards(t *testing.T)         { play(t, "guards", 1) }

// TestReplay plays a seed again and again: what was found must be found again. The second course loses power with
// several files unsynced, which once drew from chance in the order of a map.
func TestReplay(t *testing.T) {
	for name, breakage := range map[string]Breakage{"everything": {}, "acknowledged": {NoSync: true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			one := Run(Courses[name], 7, breakage)
			for range 2 {
				other := Run(Courses[name], 7, breakage)
				if one.Digest != other.Digest || one.Served != other.Served || one.Events != other.Events {
					t.Fatalf("the same seed took another course: %d events and %d served, then %d and %d", one.Events, one.Served, other.Events, other.Served)
				}
			}
		})
	}
}

// TestCheckersSee breaks one part of the mesh at a time; the rule that it serves must find something in some seed.
func TestCheckersSee(t *testing.T) {
	broken := []struct {
		name     string
		rule     int
		course   string
		breakage Breakage
		first    uint64 // seed to begin with
	}{
		{"claims left out", 1, "backends", Breakage{NoClaims: true}, 1},
		{"claims left out, so not run is a guess", 2, "backends", Breakage{NoClaims: true}, 1},
		{"short answers pass for whole", 3, "backends", Breakage{TrustShort: true}, 1},
		{"leaving ignored", 4, "backends", Breakage{LeaveIgnored: true}, 1},
		{"identity not asked", 5, "backends", Breakage{NoIdentity: true}, 1},
		{"serving without a tenure", 6, "configurations", Breakage{NoTenure: true}, 1},
		{"clocks that stand still in a suspended machine", 6, "configurations", Breakage{StoppedClock: true}, 1},
		{"syncs that do nothing", 7, "acknowledged", Breakage{NoSync: true}, 1},
		{"tries without a budget", 8, "backends", Breakage{NoBudget: true}, 1},
		{"a planned stop that ends at once", 9, "drains", Breakage{NoDrain: true}, 1},
		{"slots that leak", 10, "guards", Breakage{Guards: breakerstore.FaultLosesReturnedProbes}, 1},
		{"every trip opens for all", 11, "troubled", Breakage{Guards: breakerstore.FaultOpensOnAnyTrip}, 1},
		{"syncs that do nothing, and verdicts lost with them", 10, "written", Breakage{NoSync: true}, 60},
		{"a configuration acknowledged by a clock that leapt", 6, "clocks", Breakage{TrustClock: true}, 2},
		{"a key run again after a leap", 1, "clocks", Breakage{TrustClock: true}, 11},
		{"one carrier may take a round and reopen alone", 11, "trials", Breakage{Guards: breakerstore.FaultNoProbeShares}, 2},
		{"closed without a trial", 10, "guards", Breakage{Guards: breakerstore.FaultSkipsTrial}, 1},
		{"a wait cut short", 10, "guards", Breakage{Guards: breakerstore.FaultShortWait}, 1},
		{"probes that never go back", 10, "guards", Breakage{Guards: breakerstore.FaultKeepsProbes}, 1},
		{"calls in a trial without a probe", 10, "trials", Breakage{Unleased: true}, 1},
		{"a core that stays away", 12, "core", Breakage{NoReturn: true}, 1},
	}
	for _, one := range broken {
		t.Run(one.name, func(t *testing.T) {
			t.Parallel()
			for seed := one.first; seed < one.first+12; seed++ {
				for _, finding := range Run(Courses[one.course], seed, one.breakage).Findings {
					// That a checker had nothing to look at is no catch.
					if finding.Rule == one.rule && !finding.Blind {
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
		result := Run(Course{Name: "claims", Sizes: four, Length: 15 * monotonic.Second, Rate: 260, Every: monotonic.Minute, Sync: sync, Faults: []fault{applyOne}}, 1, Breakage{})
		if len(result.Findings) > 0 || result.Served != result.Sent {
			t.Errorf("sync %d: %d of %d served, %v", sync, result.Served, result.Sent, result.Findings)
		}
		form, submission := result.Taken["form"], result.Taken["submission"]
		t.Logf("sync %d: form p50 %d p99 %d, submission p50 %d p99 %d microseconds", sync, form[len(form)/2], form[len(form)*99/100],
			submission[len(submission)/2], submission[len(submission)*99/100])
	}
}

// TestControlMessages counts what an idle carrier says and hears as carriers double: a mesh of many must not make each
// one talk more.
func TestControlMessages(t *testing.T) {
	const seconds = 30
	perCarrier := func(carriers int) (calls, bytes, core float64) {
		mesh := Build(1, Sizes{Cores: 3, Carriers: carriers, Zones: 3, Backends: carriers / 2}, Breakage{})
		defer mesh.World.Close()
		mesh.Outside.Go(func() { mesh.apply(Desired(0), false, 0, 20*monotonic.Second) })
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
	first, _, _ := perCarrier(4)
	for _, carriers := range []int{4, 8, 16, 32} {
		calls, bytes, core := perCarrier(carriers)
		t.Logf("%d carriers: %.2f calls and %.0f bytes a second for each; the core %.0f calls a second among itself", carriers, calls, bytes, core)
		if calls == 0 || calls > 1.2*first {
			t.Errorf("%d carriers: %.2f calls a second for each, %.2f with four", carriers, calls, first)
		}
	}
}

func slowAndDown(slow, down int, sync monotonic.Micros) fault {
	return fault{"slow one core machine and end another", func(mesh *Mesh) {
		for _, node := range mesh.coreNodes(mesh.cores[slow]) {
			node.Disk.SyncDelay = sync
		}
		for _, node := range mesh.coreNodes(mesh.cores[down]) {
			mesh.World.Kill(node)
		}
	}}
}

// TestVerdictOnSlowDisk: services fail and recover while one core machine is slow and another down. Carriers must go by
// the shared verdict still, not fall back to their own windows with every write or probe that waits for a sync.
func TestVerdictOnSlowDisk(t *testing.T) {
	t.Parallel()
	result := Run(Course{Name: "slow verdicts", Sizes: small, Length: 60 * monotonic.Second, Rate: 40, Every: 6 * monotonic.Second, Rules: []int{10},
		First: []fault{slowAndDown(0, 1, 400*monotonic.Millisecond), serviceFails, nothing, serviceFails}, Faults: []fault{nothing, serviceFails}}, 1, Breakage{})
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
				result := Run(Course{Name: "slow and down", Sizes: small, Length: 40 * monotonic.Second, Rate: 40, Every: 2 * monotonic.Second,
					First: []fault{down}, Faults: []fault{nothing, applyOne}}, 1, Breakage{})
				for _, finding := range result.Findings {
					t.Error(finding)
				}
				t.Logf("%d of %d served, submissions p50 %d p99 %d", result.Served, result.Sent, result.Taken["submission"][len(result.Taken["submission"])/2], result.Taken["submission"][len(result.Taken["submission"])*99/100])
				if result.Served*10 < result.Sent*9 {
					t.Errorf("only %d of %d were served", result.Served, result.Sent)
				}
			})
		}
	}
}

// TestQuietCarrier: a carrier with backends freezes for longer than any cutoff. Requests that other carriers passed to it
// must be settled once it's found quiet, not held until their cutoff.
func TestQuietCarrier(t *testing.T) {
	t.Parallel()
	var mesh *Mesh
	frozen := fault{"freeze a carrier for long", func(mesh *Mesh) {
		mesh.World.Freeze(mesh.World.Node(mesh.carriers[1]), 12*monotonic.Second)
	}}
	result := Run(Course{Name: "quiet", Sizes: small, Length: 40 * monotonic.Second, Rate: 40, Every: 6 * monotonic.Second,
		First: []fault{frozen}, Faults: []fault{nothing}, Prepare: func(built *Mesh) { mesh = built }}, 1, Breakage{})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	longest, passed := monotonic.Micros(0), 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Caller == mesh.carriers[1] || attempt.Ended == 0 {
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
	for name, brought := range map[string]struct {
		fault   fault
		delayed bool
	}{
		"a carrier's planned stop": {drainCarrier, false},
		"a postmaster's planned stop": {fault{"hand over", func(mesh *Mesh) {
			node := mesh.leader("postmaster")
			mesh.Outside.Go(func() {
				_, _ = mesh.Outside.Transact(node.Address, 5*monotonic.Second, func(*world.Node) ([]byte, error) {
					mesh.masters[node.Name].Member.TransferLeadership("planned")
					return nil, nil
				})
				mesh.World.At(mesh.World.Now(), func() { mesh.World.Kill(node) })
			})
		}}, false},
		"a carrier's end":    {killCarrier, true},
		"a postmaster's end": {fault{"kill the primary", func(mesh *Mesh) { mesh.World.Kill(mesh.leader("postmaster")) }}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var longest monotonic.Micros
			timed := fault{"apply and time it", func(mesh *Mesh) {
				began := mesh.World.Now()
				mesh.Outside.Go(func() {
					if tell := mesh.apply(Desired(0), true, 0, 30*monotonic.Second); tell != nil && tell.Outcome == "accepted" {
						longest = max(longest, mesh.World.Now()-began)
					}
				})
			}}
			both := fault{brought.fault.name, func(mesh *Mesh) {
				brought.fault.bring(mesh)
				mesh.later(2*monotonic.Second, func() { timed.bring(mesh) })
			}}
			result := Run(Course{Name: "planned", Sizes: small, Length: 20 * monotonic.Second, Rate: 20, Every: 10 * monotonic.Second,
				First: []fault{both}, Faults: []fault{nothing}}, 3, Breakage{})
			for _, finding := range result.Findings {
				t.Error(finding)
			}
			t.Logf("acknowledged after %d microseconds", longest)
			if longest == 0 || longest > monotonic.Second != brought.delayed {
				t.Errorf("acknowledged after %d microseconds", longest)
			}
		})
	}
}

// TestReturnWave: the core is out of every carrier's reach for half a minute, and callers come back when they are told to. What
// comes in the seconds after its return is counted, with their return spread and without.
func TestReturnWave(t *testing.T) {
	const rate, away = 40, 30 * monotonic.Second
	wave := func(breakage Breakage) (most int) {
		var mesh *Mesh
		var back monotonic.Micros
		cut := fault{"cut the core off", func(mesh *Mesh) {
			back = mesh.World.Now() + away
			for _, carrier := range mesh.carriers {
				for _, core := range mesh.cores {
					mesh.cutFor(carrier, core, true, away)
				}
			}
		}}
		result := Run(Course{Name: "wave", Sizes: small, Length: 60 * monotonic.Second, Rate: rate, Every: 10 * monotonic.Second, First: []fault{cut}, Faults: []fault{nothing},
			Prepare: func(built *Mesh) {
				mesh = built
				mesh.patient = true
			}}, 1, breakage)
		for _, finding := range result.Findings {
			t.Error(finding)
		}
		seconds := map[monotonic.Micros]int{}
		for _, attempt := range mesh.History.Attempts {
			if attempt.Sent >= back && attempt.Sent < back+15*monotonic.Second {
				second := (attempt.Sent - back) / monotonic.Second
				seconds[second]++
				most = max(most, seconds[second])
			}
		}
		return most
	}
	together, spread := wave(Breakage{Together: true}), wave(Breakage{})
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
					mesh.down(mesh.coreNodes(mesh.cores[ended-1]), 2*monotonic.Second, mesh.World.Kill)
				}
			}}
			split := fault{"split the core in halves", func(mesh *Mesh) {
				from, until = mesh.World.Now()+5*monotonic.Second, mesh.World.Now()+20*monotonic.Second
				for _, one := range mesh.cores[:2] {
					for _, other := range mesh.cores[2:] {
						mesh.cutFor(one, other, true, 20*monotonic.Second)
					}
				}
			}}
			result := Run(Course{Name: "halves", Sizes: four, Length: 60 * monotonic.Second, Rate: 40, Every: 12 * monotonic.Second,
				First: []fault{lead, split}, Faults: []fault{nothing}, Prepare: func(built *Mesh) { mesh = built }}, 1, Breakage{})
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

// TestClaimsHoldNoPlaces: the core is away for a while at backends with few places. Submissions that wait for their claims must
// not take the places that nobody uses.
func TestClaimsHoldNoPlaces(t *testing.T) {
	t.Parallel()
	var mesh *Mesh
	off := fault{"power off the core", func(mesh *Mesh) { mesh.down(mesh.allCore(), 1500*monotonic.Millisecond, mesh.World.PowerLoss) }}
	result := Run(Course{Name: "places", Sizes: small, Length: 40 * monotonic.Second, Rate: 40, Every: 8 * monotonic.Second, First: []fault{off}, Faults: []fault{nothing},
		Content: fewPlaces, Prepare: func(built *Mesh) { mesh = built }}, 1, Breakage{})
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
	for name, course := range map[string]Course{
		"core": {First: []fault{{"power off the core", func(mesh *Mesh) { mesh.down(mesh.allCore(), 1500*monotonic.Millisecond, mesh.World.PowerLoss) }}}},
		"mixed": {First: []fault{{"mixed backends", func(mesh *Mesh) {
			for _, one := range mesh.live("") {
				one.manner = "mixed"
			}
		}}}},
		"leaving": {First: []fault{{"backends leave", func(mesh *Mesh) {
			for _, service := range []string{"forms", "households"} {
				one := mesh.live(service)[0]
				mesh.leave(one)
				mesh.startBackend(service, one.carrier, one.address+"0", 0)
			}
		}}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mesh *Mesh
			course.Name, course.Length, course.Rate, course.Every, course.Faults = "slots", 40*monotonic.Second, 60, 8*monotonic.Second, []fault{nothing}
			course.Sizes = small
			course.Sizes.Slots = 3
			course.Prepare = func(built *Mesh) {
				mesh = built
				mesh.labour = 60 * monotonic.Millisecond
			}
			result := Run(course, 1, Breakage{})
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
				most = max(most, one.most)
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

// TestYoungSorter: sorters are killed one after another and come back with empty directories. A carrier that is told of
// nobody by a sorter that has only just begun to be told must not forget the backends that it knows.
func TestYoungSorter(t *testing.T) {
	t.Parallel()
	var mesh *Mesh
	turn := 0
	kill := fault{"kill the next sorter", func(mesh *Mesh) {
		turn++
		node := mesh.World.Node(fmt.Sprintf("sorter-%d", turn%3+1))
		mesh.down([]*world.Node{node}, 100*monotonic.Millisecond, mesh.World.Kill)
	}}
	result := Run(Course{Name: "young", Sizes: small, Length: 60 * monotonic.Second, Rate: 60, Every: 3 * monotonic.Second,
		Faults: []fault{kill}, Prepare: func(built *Mesh) { mesh = built }}, 1, Breakage{})
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
