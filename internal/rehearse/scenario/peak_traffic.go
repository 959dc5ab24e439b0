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
	"snowflow/internal/configstore/api"
	"snowflow/internal/invariants"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/transport/wire"
	"snowflow/internal/workload"
)

const (
	// archivedRoutes is the number of routes without traffic, which changes of other routes must leave as they are.
	archivedRoutes = 200
	// keyRetryTimeout limits how long a request with an idempotency key is retried. It is less than the minute within which the mesh
	// executes a key at most once.
	keyRetryTimeout = 45 * time.Second
	// actionInterval is the time between the starts of two actions; more if the first takes longer.
	actionInterval = 900 * time.Millisecond
	// burstSize and burstInterval are the number of changes in a burst and the pause between them.
	burstSize     = 8
	burstInterval = 60 * time.Millisecond
)

// reroutedKinds are the kinds of traffic whose routes change during peak traffic.
var reroutedKinds = []string{"submission", "correction", "batch", "pack"}

// peakTrafficChecks run in addition to the rules.
var peakTrafficChecks = []invariants.Check{invariants.KeysExecutedOnce, invariants.VersionsAdopted, invariants.BreakerCountersMonotonic}

// routeFamilies returns the route families of a layout's kinds of traffic whose routes change. Each has its own alternate service.
func routeFamilies(chosen layout.Layout) (families []workload.RouteFamily) {
	for _, kind := range chosen.Kinds {
		if slices.Contains(reroutedKinds, kind.Name) {
			families = append(families, workload.RouteFamily{Kind: kind.Name, Method: kind.Method, Prefix: kind.Path, Service: kind.Service, Alternate: kind.Service + "-next"})
		}
	}
	return families
}

// initialState returns the desired state before the first change: the given one with a route for each family in place of its service's
// path, with the alternate services, and with the archived routes.
func initialState(state *wire.DesiredState, families []workload.RouteFamily) *wire.DesiredState {
	state = proto.CloneOf(state)
	for _, family := range families {
		for _, group := range state.Groups {
			addAlternate(group, family)
		}
		state.Routes = append(state.Routes, family.GeneralRoute())
	}
	for number := range archivedRoutes {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("archive-", number), Host: fmt.Sprintf("a%d.example", number%20), Prefix: fmt.Sprintf("/archive/%d/", number),
			Class: wire.Path_read, Split: []*wire.Share{{Service: families[0].Service, Weight: 1}}})
	}
	return state
}

// addAlternate removes a family's path from its service and adds its alternate service, if the group contains the family's service.
func addAlternate(group *wire.Group, family workload.RouteFamily) {
	index := slices.IndexFunc(group.Services, func(service *wire.Service) bool { return service.Name == family.Service })
	if index < 0 {
		return
	}
	service := group.Services[index]
	service.Paths = slices.DeleteFunc(service.Paths, func(path *wire.Path) bool { return path.Method == family.Method && path.Prefix+"/" == family.Prefix })
	alternate := proto.CloneOf(service)
	alternate.Name, alternate.Paths = family.Alternate, nil
	group.Services = append(group.Services, alternate)
}

// regionPath returns a request's path. If the kind's routes change, it contains one of the family's regions, which may have their own
// routes.
func regionPath(kind layout.Kind, number int64) string {
	if !slices.Contains(reroutedKinds, kind.Name) {
		return fmt.Sprint(kind.Path, number)
	}
	return fmt.Sprintf("%s%d/%d", kind.Path, number%workload.RegionsPerFamily, number)
}

// preparePeakTraffic starts the alternate services' backends and applies the initial state.
func preparePeakTraffic(r *Rehearsal) error {
	chosen := r.Fleet.Layout
	content, err := examples.Desired(chosen.DesiredState)
	if err != nil {
		return err
	}
	state, fieldErrors := config.Parse(content)
	if len(fieldErrors) > 0 {
		return fmt.Errorf("the example %s is invalid: %v", chosen.DesiredState, fieldErrors)
	}
	families := routeFamilies(chosen)
	r.routeChanges = workload.NewRouteChanges(initialState(state, families), families, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.Load.RequestPath, r.Load.MaxRetries, r.Load.RetryTimeout = regionPath, math.MaxInt, keyRetryTimeout
	for _, family := range families {
		if err := r.startAlternate(family); err != nil {
			return err
		}
	}
	applied, err := r.applyState(r.routeChanges.State, "any")
	if err != nil || applied.Outcome != "accepted" {
		return fmt.Errorf("the initial state was not accepted: %v %w", applied, err)
	}
	return fleet.AwaitReady(r.Fleet.Proxies, readyTimeout)
}

// startAlternate starts the backends of a family's alternate service, as many as the family's service has.
func (r *Rehearsal) startAlternate(family workload.RouteFamily) error {
	services := r.Fleet.Layout.Services
	index := slices.IndexFunc(services, func(service layout.Service) bool { return service.Name == family.Service })
	alternate := services[index]
	alternate.Name = family.Alternate
	for number := range alternate.Backends {
		if _, err := r.AddBackend(alternate, r.Fleet.Layout.ProxyIndex(alternate, number)); err != nil {
			return err
		}
	}
	r.History.AllowRoute(family.Kind, family.Service, 0)
	r.History.AllowRoute(family.Kind, family.Alternate, 0)
	return nil
}

// applyState applies a state on top of an expected version, or of any version if expected is "any".
func (r *Rehearsal) applyState(state *wire.DesiredState, expected string) (api.ApplyResult, error) {
	return r.Operator.Apply(workload.EncodeState(state), expected, applyTimeout)
}

// action is one step of peak traffic.
type action struct {
	name          string
	changesRoutes bool // skipped in runs without changes
	run           func(r *Rehearsal) error
}

var (
	changeOneRoute         = action{"a change of a route", true, (*Rehearsal).changeRoute}
	changeBurst            = action{"a burst of changes", true, (*Rehearsal).changeRoutesInBurst}
	operatorRace           = action{"two operators race", true, (*Rehearsal).raceOperators}
	killProxy              = action{"a proxy is killed and comes back", false, (*Rehearsal).killOneProxy}
	restartProxy           = action{"a proxy is restarted as planned", false, (*Rehearsal).restartOneProxy}
	killConfigStorePrimary = action{"the configuration store's primary is killed", false, (*Rehearsal).killConfigStorePrimary}
)

// peakActions are repeated for the scenario's duration. After the last of them the configuration store's primary is killed during a
// burst.
var peakActions = []action{changeOneRoute, changeBurst, killProxy, operatorRace, changeOneRoute, restartProxy, changeBurst, changeOneRoute}

func (r *Rehearsal) changeRoute() error {
	r.routeChanges.State = r.routeChanges.Next()
	_, err := r.applyState(r.routeChanges.State, "any")
	return err
}

func (r *Rehearsal) changeRoutesInBurst() error {
	outcomes := make(chan error, burstSize)
	for range burstSize {
		r.routeChanges.State = r.routeChanges.Next()
		state := r.routeChanges.State
		go func() {
			_, err := r.applyState(state, "any")
			outcomes <- err
		}()
		time.Sleep(burstInterval)
	}
	var errs []error
	for range burstSize {
		errs = append(errs, <-outcomes)
	}
	return errors.Join(errs...)
}

// raceOperators makes two operators apply different states on top of the same version. Exactly one of them must be accepted.
func (r *Rehearsal) raceOperators() error {
	r.routeChanges.State = r.routeChanges.Next()
	first, err := r.applyState(r.routeChanges.State, "any")
	if err != nil {
		return err
	}
	type result struct {
		state   *wire.DesiredState
		outcome string
		err     error
	}
	results := make(chan result, 2)
	for range cap(results) {
		state := r.routeChanges.Next()
		go func() {
			applied, err := r.applyState(state, strconv.FormatUint(first.Version, 10))
			results <- result{state, applied.Outcome, err}
		}()
	}
	accepted := 0
	for range cap(results) {
		one := <-results
		err = errors.Join(err, one.err)
		if one.outcome == "accepted" {
			r.routeChanges.State = one.state
			accepted++
		}
	}
	if err == nil && accepted != 1 {
		r.AddFinding("%d of two racing operators were accepted instead of one", accepted)
	}
	return err
}

// killOneProxy kills and restarts a proxy. The markers before and after the kill tell KeysExecutedOnce which attempts it may have
// interrupted.
func (r *Rehearsal) killOneProxy() error {
	victim := randomItem(r.Fleet.Proxies)
	r.History.RecordMarker(invariants.MarkerProxyKilled+victim.Name, r.Clock.Now())
	victim.Kill()
	r.History.RecordMarker(invariants.MarkerProxyKilled+victim.Name, r.Clock.Now())
	r.restartAfter(victim, time.Second)
	return nil
}

func (r *Rehearsal) restartOneProxy() error {
	victim := randomItem(r.Fleet.Proxies)
	victim.Stop(40 * time.Second)
	r.restartAfter(victim, 100*time.Millisecond)
	return nil
}

func (r *Rehearsal) killConfigStorePrimary() error {
	victim := r.AwaitPrimary(r.Fleet.ConfigStores)
	victim.Kill()
	r.restartAfter(victim, 2*time.Second)
	return nil
}

// runPeakTraffic returns the Run function of the peak traffic scenarios, with route changes or, for comparison, with the same intervals
// but without them.
func runPeakTraffic(changes bool) func(r *Rehearsal) error {
	return func(r *Rehearsal) error {
		began := time.Now()
		for turn := 0; r.withinDuration(began); turn++ {
			next := time.Now().Add(actionInterval)
			if err := r.perform(peakActions[turn%len(peakActions)], changes); err != nil {
				return err
			}
			if turn%len(peakActions) == len(peakActions)-1 {
				if err := r.killPrimaryDuringBurst(changes); err != nil {
					return err
				}
			}
			time.Sleep(time.Until(next))
		}
		r.Logf("no new requests; retrying those that were not served yet")
		r.Load.FinishRetries()
		if changes {
			r.Logf("changes: %v", r.routeChanges.Counts)
		}
		return nil
	}
}

// perform runs an action, unless it changes routes and changes is false.
func (r *Rehearsal) perform(one action, changes bool) error {
	if one.changesRoutes && !changes {
		return nil
	}
	r.Logf("%s", one.name)
	return one.run(r)
}

func (r *Rehearsal) killPrimaryDuringBurst(changes bool) error {
	burst := make(chan error, 1)
	go func() { burst <- r.perform(changeBurst, changes) }()
	return errors.Join(r.perform(killConfigStorePrimary, changes), <-burst)
}

// IsLookup reports whether a kind of traffic is a lookup, which a backend sends to another service.
func IsLookup(kind string) bool { return strings.HasPrefix(kind, "lookup") }
