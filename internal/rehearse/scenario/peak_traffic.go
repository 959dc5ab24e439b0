package scenario

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"snowflow/examples"
	"snowflow/internal/config"
	"snowflow/internal/invariants"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/transport/wire"
	"snowflow/internal/workload"
)

// changing are the kinds of traffic whose routes change on a Friday: submissions, corrections and downloads of batches or packs.
var reroutedKinds = []string{"submission", "correction", "batch", "pack"}

// archived are routes that nobody asks for, so that there is much that a change must leave alone.
const archivedRoutes = 200

// keyRetryTimeout is for how long a key is asked for again, until it's served, whatever dies meanwhile. It's shorter than a minute, for which a
// key runs at most once.
const keyRetryTimeout = 45 * time.Second

// families are a layout's kinds whose routes change. Each may go to a service of its own besides.
func routeFamilies(chosen layout.Layout) (found []workload.RouteFamily) {
	for _, kind := range chosen.Kinds {
		if slices.Contains(reroutedKinds, kind.Name) {
			found = append(found, workload.RouteFamily{Kind: kind.Name, Method: kind.Method, Prefix: kind.Path, Service: kind.Service, Alternate: kind.Service + "-next"})
		}
	}
	return found
}

// morning is the day's first state: the layout's own, with a route for each family in place of its service's path, the other services, and the
// archive.
func initialState(state *wire.DesiredState, families []workload.RouteFamily) *wire.DesiredState {
	state = proto.CloneOf(state)
	for _, one := range families {
		for _, group := range state.Groups {
			index := slices.IndexFunc(group.Services, func(service *wire.Service) bool { return service.Name == one.Service })
			if index >= 0 {
				service := group.Services[index]
				service.Paths = slices.DeleteFunc(service.Paths, func(path *wire.Path) bool { return path.Method == one.Method && path.Prefix+"/" == one.Prefix })
				next := proto.CloneOf(service)
				next.Name, next.Paths = one.Alternate, nil
				group.Services = append(group.Services, next)
			}
		}
		state.Routes = append(state.Routes, one.Route())
	}
	for number := range archivedRoutes {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("archive-", number), Host: fmt.Sprintf("a%d.example", number%20), Prefix: fmt.Sprintf("/archive/%d/", number),
			Class: wire.Path_read, Split: []*wire.Share{{Service: families[0].Service, Weight: 1}}})
	}
	return state
}

// region puts every request into one of the parts of its family that may have a route of their own.
func regionPath(kind layout.Kind, number int64) string {
	if !slices.Contains(reroutedKinds, kind.Name) {
		return fmt.Sprint(kind.Path, number)
	}
	return fmt.Sprintf("%s%d/%d", kind.Path, number%workload.RegionsPerFamily, number)
}

// preparePeakTraffic starts the other services' backends and has the morning's state taken up.
func preparePeakTraffic(rehearsal *Rehearsal) error {
	chosen := rehearsal.Fleet.Layout
	content, err := examples.Desired(chosen.DesiredState)
	if err != nil {
		return err
	}
	state, faults := config.Parse(content)
	if len(faults) > 0 {
		return fmt.Errorf("%v", faults)
	}
	families := routeFamilies(chosen)
	rehearsal.peak = workload.NewRouteChanges(initialState(state, families), families, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	rehearsal.Load.RequestPath, rehearsal.Load.MaxRetries, rehearsal.Load.RetryTimeout = regionPath, math.MaxInt, keyRetryTimeout
	for _, one := range families {
		index := slices.IndexFunc(chosen.Services, func(service layout.Service) bool { return service.Name == one.Service })
		other := chosen.Services[index]
		other.Name = one.Alternate
		for number := range other.Backends {
			if _, err := rehearsal.AddBackend(other, chosen.ProxyIndex(other, number)); err != nil {
				return err
			}
		}
		rehearsal.History.AllowRoute(one.Kind, one.Service, 0)
		rehearsal.History.AllowRoute(one.Kind, one.Alternate, 0)
	}
	applied, err := rehearsal.applyState(rehearsal.peak.State, "any")
	if err != nil || applied.Outcome != "accepted" {
		return fmt.Errorf("the morning's state was not accepted: %v %w", applied, err)
	}
	return rehearsal.awaitProxiesReady()
}

// settled waits until every carrier that's ready sees the backends of all services.
func (r *Rehearsal) awaitProxiesReady() error {
	return fleet.AwaitReady(r.Fleet.Proxies, 20*time.Second)
}

func (r *Rehearsal) applyState(state *wire.DesiredState, expected string) (applied struct {
	Version uint64
	Outcome string
}, err error) {
	result, err := r.Operator.Apply(workload.EncodeState(state), expected, 40*time.Second)
	applied.Version, applied.Outcome = result.Version, result.Outcome
	return applied, err
}

// deed is something that is done on a Friday.
type action struct {
	name          string
	changesRoutes bool // it changes routes, and is left out of a quiet Friday
	run           func(rehearsal *Rehearsal) error
}

// killed kills a process and has it start again.
func (r *Rehearsal) killAndRestart(victim *fleet.Process, downtime time.Duration) {
	r.History.RecordMarker(invariants.ProxyKilledMarker+victim.Name, r.Clock.Now())
	victim.Kill()
	r.History.RecordMarker(invariants.ProxyKilledMarker+victim.Name, r.Clock.Now())
	r.restartAfter(victim, downtime)
}

var (
	changeOneRoute = action{"a change of a route", true, func(rehearsal *Rehearsal) error {
		rehearsal.peak.State = rehearsal.peak.Next()
		_, err := rehearsal.applyState(rehearsal.peak.State, "any")
		return err
	}}
	changeStorm = action{"a storm of changes", true, func(rehearsal *Rehearsal) error {
		ended := make(chan error, 8)
		for range cap(ended) {
			rehearsal.peak.State = rehearsal.peak.Next()
			state := rehearsal.peak.State
			go func() {
				_, err := rehearsal.applyState(state, "any")
				ended <- err
			}()
			time.Sleep(60 * time.Millisecond)
		}
		var faults []error
		for range cap(ended) {
			faults = append(faults, <-ended)
		}
		return errors.Join(faults...)
	}}
	operatorRace = action{"two operators race", true, func(rehearsal *Rehearsal) error {
		// A change of its own first, whose serial both follow.
		rehearsal.peak.State = rehearsal.peak.Next()
		first, err := rehearsal.applyState(rehearsal.peak.State, "any")
		if err != nil {
			return err
		}
		type end struct {
			state   *wire.DesiredState
			outcome string
			err     error
		}
		ended := make(chan end, 2)
		for range cap(ended) {
			state := rehearsal.peak.Next()
			go func() {
				applied, err := rehearsal.applyState(state, strconv.FormatUint(first.Version, 10))
				ended <- end{state, applied.Outcome, err}
			}()
		}
		won := 0
		for range cap(ended) {
			one := <-ended
			err = errors.Join(err, one.err)
			if one.outcome == "accepted" {
				rehearsal.peak.State = one.state
				won++
			}
		}
		if err == nil && won != 1 {
			rehearsal.AddFinding("%d of two operators that raced won", won)
		}
		return err
	}}
	killProxy = action{"a carrier dies and comes back", false, func(rehearsal *Rehearsal) error {
		rehearsal.killAndRestart(randomItem(rehearsal.Fleet.Proxies), time.Second)
		return nil
	}}
	restartProxy = action{"a carrier is restarted as planned", false, func(rehearsal *Rehearsal) error {
		victim := randomItem(rehearsal.Fleet.Proxies)
		victim.Stop(40 * time.Second)
		rehearsal.restartAfter(victim, 100*time.Millisecond)
		return nil
	}}
	killConfigStorePrimary = action{"the postmasters' primary dies", false, func(rehearsal *Rehearsal) error {
		victim := rehearsal.AwaitPrimary(rehearsal.Fleet.ConfigStores)
		victim.Kill()
		rehearsal.restartAfter(victim, 2*time.Second)
		return nil
	}}
)

// peakActions is done again and again. Each deed begins when the one before has ended, but for the last two, which meet: the primary dies in
// a storm.
var peakActions = []action{changeOneRoute, changeStorm, killProxy, operatorRace, changeOneRoute, restartProxy, changeStorm, changeOneRoute}

// actionInterval is from the start of one deed to the start of the next, if that has ended.
const actionInterval = 900 * time.Millisecond

// runPeakTraffic plays the day, with or without its changes. A quiet one does nothing where the other changes routes, at the same pace.
func runPeakTraffic(changes bool) func(rehearsal *Rehearsal) error {
	do := func(rehearsal *Rehearsal, one action) error {
		if one.changesRoutes && !changes {
			return nil
		}
		rehearsal.Logf("%s", one.name)
		return one.run(rehearsal)
	}
	return func(rehearsal *Rehearsal) error {
		began := time.Now()
		for turn := 0; time.Since(began) < rehearsal.Options.Duration; turn++ {
			next := time.Now().Add(actionInterval)
			if err := do(rehearsal, peakActions[turn%len(peakActions)]); err != nil {
				return err
			}
			if turn%len(peakActions) == len(peakActions)-1 {
				met := make(chan error, 1)
				go func() { met <- do(rehearsal, changeStorm) }()
				if err := errors.Join(do(rehearsal, killConfigStorePrimary), <-met); err != nil {
					return err
				}
			}
			time.Sleep(time.Until(next))
		}
		rehearsal.Logf("nothing new is sent; who sent a key goes on asking")
		rehearsal.Load.FinishRetries()
		if changes {
			rehearsal.Logf("changes: %v", rehearsal.peak.Counts)
		}
		return nil
	}
}

// Lookup tells whether a kind of traffic is the internal lookups of backends.
func Lookup(kind string) bool { return strings.HasPrefix(kind, "lookup") }

func init() {
	checks := []invariants.Check{invariants.KeysExecutedOnce, invariants.VersionsAdopted, invariants.BreakerCountersMonotonic}
	add(Scenario{Name: "friday-routes", Summary: "routes of submissions, corrections and downloads change alone, in storms and raced, while carriers restart and a primary dies",
		Rules: []int{1, 3, 5, 6, 7}, Checks: checks, Prepare: preparePeakTraffic, Run: runPeakTraffic(true)})
	add(Scenario{Name: "friday-quiet", Summary: "friday-routes without its changes, to compare", Rules: []int{1, 3, 5}, Checks: checks, Prepare: preparePeakTraffic, Run: runPeakTraffic(false)})
}
