package scenario

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
	"snowflow/internal/workload"
)

var changingFamilies = []workload.RouteFamily{{Kind: "submission", Method: "POST", Prefix: "/submissions/", Service: "submission", Alternate: "submission-next"},
	{Kind: "correction", Method: "PUT", Prefix: "/corrections/", Service: "correction", Alternate: "correction-next"},
	{Kind: "batch", Method: "GET", Prefix: "/batches/", Service: "batches", Alternate: "batches-next"}}

// lookups are the services whose routes nobody changes.
var lookupFamilies = []workload.RouteFamily{{Kind: "assignment", Method: "GET", Prefix: "/assignments/", Service: "assignment"}, {Kind: "eligibility", Method: "GET", Prefix: "/eligibility/", Service: "eligibility"}}

// fridays is a day of route changes in a mesh.
type routeWorkload struct {
	*workload.RouteChanges
	// apart is the moment before which no carrier is cut off and no primary dies: a carrier that misses a version because it's cut off,
	// and then finds the primary dead, isn't in touch, and only who is in touch has a version within 2 s.
	exclusiveUntil monotonic.Micros
}

// alone tells whether a fault may take carriers out of touch now, and keeps others away for a span.
func (w *routeWorkload) tryReserve(now, duration monotonic.Micros) bool {
	if now < w.exclusiveUntil {
		return false
	}
	w.exclusiveUntil = now + duration
	return true
}

// peakDesiredState is the state in the morning: a route for each family and lookup, and hundreds that nobody asks for.
func peakDesiredState() *wire.DesiredState {
	group := &wire.Group{Name: "field", Guard: &wire.Breaker{WindowCalls: proto.Uint32(100), MinimumCalls: proto.Uint32(20)}, Limits: &wire.Limits{CutoffMicros: proto.Int64(int64(5 * monotonic.Second))}}
	state := &wire.DesiredState{Groups: []*wire.Group{group}}
	for _, one := range slices.Concat(changingFamilies, lookupFamilies) {
		for _, name := range []string{one.Service, one.Alternate} {
			if name != "" {
				group.Services = append(group.Services, &wire.Service{Name: name})
			}
		}
		state.Routes = append(state.Routes, one.Route())
	}
	for number := range 200 {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("archive-", number), Host: fmt.Sprintf("a%d.example", number%20), Prefix: fmt.Sprintf("/archive/%d/", number),
			Class: wire.Path_read, Split: []*wire.Share{{Service: "batches", Weight: 1}}})
	}
	return state
}

func peakServices() (names []string) {
	for _, service := range peakDesiredState().Groups[0].Services {
		names = append(names, service.Name)
	}
	return names
}

var (
	changeRoute = fault{"change a route", func(mesh *Mesh) {
		mesh.routeWorkload.State = mesh.routeWorkload.Next()
		content := workload.EncodeState(mesh.routeWorkload.State)
		mesh.External.Go(func() { mesh.applyDesired(content, true, 0, 20*monotonic.Second) })
	}}
	// Each of a storm follows the one before, as an operator's script would have it.
	changeRoutesInBurst = fault{"a storm of route changes", func(mesh *Mesh) {
		mesh.External.Go(func() {
			for range 8 {
				mesh.routeWorkload.State = mesh.routeWorkload.Next()
				content := workload.EncodeState(mesh.routeWorkload.State)
				mesh.External.Go(func() { mesh.applyDesired(content, true, 0, 20*monotonic.Second) })
				mesh.External.Sleep(60 * monotonic.Millisecond)
			}
		})
	}}
	changeRoutesConcurrently = fault{"two operators race with route changes", func(mesh *Mesh) {
		expected, states := mesh.latestVersion, []*wire.DesiredState{mesh.routeWorkload.Next(), mesh.routeWorkload.Next()}
		for _, state := range states {
			mesh.External.Go(func() {
				if response := mesh.applyDesired(workload.EncodeState(state), false, expected, 20*monotonic.Second); response != nil && response.Outcome == "accepted" {
					mesh.routeWorkload.State = state
				}
			})
		}
	}}
	// A carrier that misses some versions of a storm takes up several at once.
	changeRoutesDuringPartition = fault{"a storm of route changes that some carriers don't hear at first", func(mesh *Mesh) {
		for range 3 {
			if !mesh.routeWorkload.tryReserve(mesh.World.Now(), 0) {
				break
			}
			victim := pick(mesh, mesh.proxyNames)
			for _, core := range mesh.coreMachines {
				mesh.partitionFor(victim, core, true, 700*monotonic.Millisecond)
			}
		}
		mesh.routeWorkload.tryReserve(mesh.World.Now(), 3*monotonic.Second)
		changeRoutesInBurst.inject(mesh)
	}}
	killMarkedProxy = fault{"kill a carrier, which starts again", func(mesh *Mesh) {
		name := pick(mesh, mesh.proxyNames)
		mesh.History.RecordMarker(invariants.ProxyKilledMarker+name, mesh.World.Now())
		mesh.restartAfter([]*world.Node{mesh.World.Node(name)}, mesh.randomDuration(100*monotonic.Millisecond, 2*monotonic.Second), mesh.World.Kill)
	}}
	killConfigPrimaryDuringBurst = fault{"kill the postmasters' primary in a storm of route changes", func(mesh *Mesh) {
		changeRoutesInBurst.inject(mesh)
		if !mesh.routeWorkload.tryReserve(mesh.World.Now(), 8*monotonic.Second) {
			return
		}
		mesh.after(mesh.randomDuration(0, 400*monotonic.Millisecond), func() {
			if node := mesh.primary("postmaster"); node != nil {
				mesh.restartAfter([]*world.Node{node}, mesh.randomDuration(500*monotonic.Millisecond, 4*monotonic.Second), mesh.World.Kill)
			}
		})
	}}
)

// generatePeakTraffic has callers send forms, corrections, downloads and lookups. Whoever sends a key asks again until it's answered.
func generatePeakTraffic(mesh *Mesh, perSecond int) {
	mix := []workload.RouteFamily{changingFamilies[0], changingFamilies[0], changingFamilies[1], changingFamilies[2], lookupFamilies[0], lookupFamilies[0], lookupFamilies[1], lookupFamilies[1]}
	chance := mesh.World.Rand()
	mesh.External.Go(func() {
		for number := 0; mesh.serving; number++ {
			mesh.External.Sleep(monotonic.Micros(chance.Uint64N(uint64(2 * int(monotonic.Second) / perSecond))))
			mesh.External.Go(func() { mesh.sendPeakRequest(mix[number%len(mix)], number) })
		}
	})
}

// maxKeyedAttempts is how often a caller asks for a key, with a second or two between.
const maxKeyedAttempts = 15

func (m *Mesh) sendPeakRequest(one workload.RouteFamily, number int) {
	key, most := "", 1
	if one.Method != "GET" {
		key, most = fmt.Sprintf("%s-key-%d", one.Kind, number), maxKeyedAttempts
	}
	for again := range most {
		attempt := &invariants.Attempt{ID: fmt.Sprintf("%s-%d-%d", one.Kind, number, again), Key: key, Kind: one.Kind, Caller: pick(m, m.proxyNames), Method: one.Method,
			Path: fmt.Sprintf("%s%d/%d", one.Prefix, number%workload.RegionsPerFamily, number), Sent: m.World.Now()}
		m.History.RecordAttempt(attempt)
		m.send(attempt)
		if attempt.Status == 200 && !attempt.Mesh {
			return
		}
		m.External.Sleep(monotonic.Second + monotonic.Micros(m.World.Rand().Uint64N(uint64(monotonic.Second))))
	}
}

// preparePeakTraffic tells the mesh where to look.
func preparePeakTraffic(mesh *Mesh) {
	mesh.recordCallCounts = true
	mesh.routeWorkload = &routeWorkload{RouteChanges: workload.NewRouteChanges(peakDesiredState(), changingFamilies, mesh.World.Rand())}
	mesh.samples = nil
	for _, one := range slices.Concat(changingFamilies, lookupFamilies) {
		for region := range workload.RegionsPerFamily {
			mesh.samples = append(mesh.samples, routeSample{one.Kind, one.Method, fmt.Sprintf("%s%d/1", one.Prefix, region)})
		}
		mesh.History.AllowRoute(one.Kind, one.Service, 0)
	}
	if mesh.defects.WrongBase {
		mesh.applyToWrongBase()
	}
}

// misapply has carriers get what the newest version changes in the one before it, applied onto whatever they have.
func (m *Mesh) applyToWrongBase() {
	before, contents, last := map[string]string{}, map[string]*wire.DesiredState{}, config.Digest(workload.EncodeState(peakDesiredState()))
	contents[last] = peakDesiredState()
	m.onSubmit = func(content []byte) {
		digest := config.Digest(content)
		contents[digest], _ = config.ParseAccepted(content)
		before[digest], last = last, digest
	}
	m.onDesiredPoll = func(request *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
		difference := &wire.Difference{}
		if len(response.Difference) == 0 || proto.Unmarshal(response.Difference, difference) != nil {
			return
		}
		view, _ := m.proxies[request.Proxy].ConfigClient.Current()
		base, former, newest := contents[view.Digest], contents[before[difference.ContentDigest]], contents[difference.ContentDigest]
		if base == nil || former == nil || newest == nil {
			return
		}
		if content := differenceToWrongBase(base, former, newest, difference); content != nil {
			response.Difference = content
		}
	}
}

// differenceToWrongBase is the difference from a base to what the step between two other states makes of it, or nothing where that is no state.
func differenceToWrongBase(base, former, newest *wire.DesiredState, difference *wire.Difference) []byte {
	sets := make([]*changes.Set, 3)
	for index, state := range []*wire.DesiredState{base, former, newest} {
		var err error
		if sets[index], err = changes.NewSet(state); err != nil {
			return nil
		}
	}
	step := changes.Diff(sets[1], sets[2])
	gone := map[string]bool{}
	mismatched := &wire.DesiredState{Groups: base.Groups}
	for _, one := range slices.Concat(step.Added, step.Changed, step.Removed) {
		gone[one.Key] = true
	}
	for _, one := range slices.Concat(step.Added, step.Changed) {
		mismatched.Routes = append(mismatched.Routes, one.Message.(*wire.Route))
	}
	for _, route := range base.Routes {
		if !gone[changes.KindRoute+"/"+route.Name] {
			mismatched.Routes = append(mismatched.Routes, route)
		}
	}
	set, err := changes.NewSet(mismatched)
	if err != nil {
		return nil
	}
	content, err := changes.Encode(changes.Diff(sets[0], set), difference.Version, difference.ContentDigest)
	if err != nil {
		return nil
	}
	return content
}

func init() {
	routeFaults := []fault{changeRoute, changeRoute, changeRoutesInBurst, changeRoutesConcurrently, changeRoutesDuringPartition}
	register(Scenario{Name: "friday-routes", Summary: "routes of submissions, corrections and downloads change alone, in storms and raced, while carriers restart and a primary dies",
		Sizes:    Topology{Cores: 4, Proxies: 12, Zones: 4, Backends: 4, Services: peakServices(), Bounds: configstore.Timeouts{ServeStale: true}},
		Duration: 40 * monotonic.Second, Rate: 300, FaultInterval: 900 * monotonic.Millisecond, Rules: []int{1, 3, 5, 6, 7}, GenerateTraffic: generatePeakTraffic, Prepare: preparePeakTraffic,
		DesiredState: func(int) []byte { return workload.EncodeState(peakDesiredState()) }, Checks: []invariants.Check{invariants.KeysExecutedOnce, invariants.VersionsAdopted, invariants.BreakerCountersMonotonic},
		InitialFaults: append(slices.Clone(routeFaults[:4]), killConfigPrimaryDuringBurst, killMarkedProxy, drainProxy), Faults: append(slices.Clone(routeFaults), changeRoute, killMarkedProxy, drainProxy, killConfigPrimaryDuringBurst)})
}
