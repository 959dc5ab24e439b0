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
var changing = []string{"submission", "correction", "batch", "pack"}

// archived are routes that nobody asks for, so that there is much that a change must leave alone.
const archived = 200

// fridayPatience is for how long a key is asked for again, until it's served, whatever dies meanwhile. It's shorter than a minute, for which a
// key runs at most once.
const fridayPatience = 45 * time.Second

// families are a layout's kinds whose routes change. Each may go to a service of its own besides.
func families(chosen layout.Layout) (found []workload.RouteFamily) {
	for _, kind := range chosen.Kinds {
		if slices.Contains(changing, kind.Name) {
			found = append(found, workload.RouteFamily{Kind: kind.Name, Method: kind.Method, Prefix: kind.Path, Service: kind.Service, Alternate: kind.Service + "-next"})
		}
	}
	return found
}

// morning is the day's first state: the layout's own, with a route for each family in place of its service's path, the other services, and the
// archive.
func morning(state *wire.DesiredState, families []workload.RouteFamily) *wire.DesiredState {
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
	for number := range archived {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("archive-", number), Host: fmt.Sprintf("a%d.example", number%20), Prefix: fmt.Sprintf("/archive/%d/", number),
			Class: wire.Path_read, Split: []*wire.Share{{Service: families[0].Service, Weight: 1}}})
	}
	return state
}

// region puts every request into one of the parts of its family that may have a route of their own.
func region(kind layout.Kind, number int64) string {
	if !slices.Contains(changing, kind.Name) {
		return fmt.Sprint(kind.Path, number)
	}
	return fmt.Sprintf("%s%d/%d", kind.Path, number%workload.RegionsPerFamily, number)
}

// prepareFriday starts the other services' backends and has the morning's state taken up.
func prepareFriday(stage *Stage) error {
	chosen := stage.Fleet.Layout
	content, err := examples.Desired(chosen.Desired)
	if err != nil {
		return err
	}
	state, faults := config.Parse(content)
	if len(faults) > 0 {
		return fmt.Errorf("%v", faults)
	}
	of := families(chosen)
	stage.friday = workload.NewRouteChanges(morning(state, of), of, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	stage.Callers.Place, stage.Callers.Again, stage.Callers.Patience = region, math.MaxInt, fridayPatience
	for _, one := range of {
		index := slices.IndexFunc(chosen.Services, func(service layout.Service) bool { return service.Name == one.Service })
		other := chosen.Services[index]
		other.Name = one.Alternate
		for number := range other.Backends {
			if _, err := stage.AddBackend(other, chosen.Home(other, number)); err != nil {
				return err
			}
		}
		stage.History.AllowRoute(one.Kind, one.Service, 0)
		stage.History.AllowRoute(one.Kind, one.Alternate, 0)
	}
	applied, err := stage.change(stage.friday.State, "any")
	if err != nil || applied.Outcome != "accepted" {
		return fmt.Errorf("the morning's state was not accepted: %v %w", applied, err)
	}
	return stage.settled()
}

// settled waits until every carrier that's ready sees the backends of all services.
func (stage *Stage) settled() error {
	return fleet.Await(stage.Fleet.Carriers, 20*time.Second)
}

func (stage *Stage) change(state *wire.DesiredState, expected string) (applied struct {
	Serial  uint64
	Outcome string
}, err error) {
	told, err := stage.Operator.Apply(workload.EncodeState(state), expected, 40*time.Second)
	applied.Serial, applied.Outcome = told.Version, told.Outcome
	return applied, err
}

// deed is something that is done on a Friday.
type deed struct {
	name    string
	changes bool // it changes routes, and is left out of a quiet Friday
	do      func(stage *Stage) error
}

// killed kills a process and has it start again.
func (stage *Stage) killed(victim *fleet.Process, away time.Duration) {
	stage.History.RecordMarker(invariants.ProxyKilledMarker+victim.Name, stage.Clock.Now())
	victim.Kill()
	stage.History.RecordMarker(invariants.ProxyKilledMarker+victim.Name, stage.Clock.Now())
	stage.restart(victim, away)
}

var (
	alone = deed{"a change of a route", true, func(stage *Stage) error {
		stage.friday.State = stage.friday.Next()
		_, err := stage.change(stage.friday.State, "any")
		return err
	}}
	storm = deed{"a storm of changes", true, func(stage *Stage) error {
		ended := make(chan error, 8)
		for range cap(ended) {
			stage.friday.State = stage.friday.Next()
			state := stage.friday.State
			go func() {
				_, err := stage.change(state, "any")
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
	race = deed{"two operators race", true, func(stage *Stage) error {
		// A change of its own first, whose serial both follow.
		stage.friday.State = stage.friday.Next()
		first, err := stage.change(stage.friday.State, "any")
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
			state := stage.friday.Next()
			go func() {
				applied, err := stage.change(state, strconv.FormatUint(first.Serial, 10))
				ended <- end{state, applied.Outcome, err}
			}()
		}
		won := 0
		for range cap(ended) {
			one := <-ended
			err = errors.Join(err, one.err)
			if one.outcome == "accepted" {
				stage.friday.State = one.state
				won++
			}
		}
		if err == nil && won != 1 {
			stage.Find("%d of two operators that raced won", won)
		}
		return err
	}}
	dieCarrier = deed{"a carrier dies and comes back", false, func(stage *Stage) error {
		stage.killed(random(stage.Fleet.Carriers), time.Second)
		return nil
	}}
	stopCarrier = deed{"a carrier is restarted as planned", false, func(stage *Stage) error {
		victim := random(stage.Fleet.Carriers)
		victim.Stop(40 * time.Second)
		stage.restart(victim, 100*time.Millisecond)
		return nil
	}}
	diePrimary = deed{"the postmasters' primary dies", false, func(stage *Stage) error {
		victim := stage.Primary(stage.Fleet.Postmasters)
		victim.Kill()
		stage.restart(victim, 2*time.Second)
		return nil
	}}
)

// fridayOrder is done again and again. Each deed begins when the one before has ended, but for the last two, which meet: the primary dies in
// a storm.
var fridayOrder = []deed{alone, storm, dieCarrier, race, alone, stopCarrier, storm, alone}

// fridayEvery is from the start of one deed to the start of the next, if that has ended.
const fridayEvery = 900 * time.Millisecond

// playFriday plays the day, with or without its changes. A quiet one does nothing where the other changes routes, at the same pace.
func playFriday(changes bool) func(stage *Stage) error {
	do := func(stage *Stage, one deed) error {
		if one.changes && !changes {
			return nil
		}
		stage.Say("%s", one.name)
		return one.do(stage)
	}
	return func(stage *Stage) error {
		began := time.Now()
		for turn := 0; time.Since(began) < stage.Options.Length; turn++ {
			next := time.Now().Add(fridayEvery)
			if err := do(stage, fridayOrder[turn%len(fridayOrder)]); err != nil {
				return err
			}
			if turn%len(fridayOrder) == len(fridayOrder)-1 {
				met := make(chan error, 1)
				go func() { met <- do(stage, storm) }()
				if err := errors.Join(do(stage, diePrimary), <-met); err != nil {
					return err
				}
			}
			time.Sleep(time.Until(next))
		}
		stage.Say("nothing new is sent; who sent a key goes on asking")
		stage.Callers.Ebb()
		if changes {
			stage.Say("changes: %v", stage.friday.Counts)
		}
		return nil
	}
}

// Lookup tells whether a kind of traffic is the internal lookups of backends.
func Lookup(kind string) bool { return strings.HasPrefix(kind, "lookup") }

func init() {
	checks := []invariants.Check{invariants.KeysExecutedOnce, invariants.VersionsAdopted, invariants.BreakerCountersMonotonic}
	add(Scenario{Name: "friday-routes", Short: "routes of submissions, corrections and downloads change alone, in storms and raced, while carriers restart and a primary dies",
		Rules: []int{1, 3, 5, 6, 7}, Checks: checks, Prepare: prepareFriday, Run: playFriday(true)})
	add(Scenario{Name: "friday-quiet", Short: "friday-routes without its changes, to compare", Rules: []int{1, 3, 5}, Checks: checks, Prepare: prepareFriday, Run: playFriday(false)})
}
