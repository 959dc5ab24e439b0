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

var families = []workload.Family{{Kind: "submission", Method: "POST", Prefix: "/submissions/", Service: "submission", Other: "submission-next"},
	{Kind: "correction", Method: "PUT", Prefix: "/corrections/", Service: "correction", Other: "correction-next"},
	{Kind: "batch", Method: "GET", Prefix: "/batches/", Service: "batches", Other: "batches-next"}}

// lookups are the services whose routes nobody changes.
var lookups = []workload.Family{{Kind: "assignment", Method: "GET", Prefix: "/assignments/", Service: "assignment"}, {Kind: "eligibility", Method: "GET", Prefix: "/eligibility/", Service: "eligibility"}}

// fridays is a day of route changes in a mesh.
type fridays struct {
	*workload.Day
	// apart is the moment before which no carrier is cut off and no primary dies: a carrier that misses a version because it's cut off,
	// and then finds the primary dead, isn't in touch, and only who is in touch has a version within 2 s.
	apart monotonic.Micros
}

// alone tells whether a fault may take carriers out of touch now, and keeps others away for a span.
func (day *fridays) alone(now, span monotonic.Micros) bool {
	if now < day.apart {
		return false
	}
	day.apart = now + span
	return true
}

// fridayState is the state in the morning: a route for each family and lookup, and hundreds that nobody asks for.
func fridayState() *wire.DesiredState {
	group := &wire.Group{Name: "field", Guard: &wire.Breaker{WindowCalls: proto.Uint32(100), MinimumCalls: proto.Uint32(20)}, Limits: &wire.Limits{CutoffMicros: proto.Int64(int64(5 * monotonic.Second))}}
	state := &wire.DesiredState{Groups: []*wire.Group{group}}
	for _, one := range slices.Concat(families, lookups) {
		for _, name := range []string{one.Service, one.Other} {
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

func fridayServices() (names []string) {
	for _, service := range fridayState().Groups[0].Services {
		names = append(names, service.Name)
	}
	return names
}

var (
	routeAlone = fault{"change a route", func(mesh *Mesh) {
		mesh.friday.State = mesh.friday.Alter()
		content := workload.Content(mesh.friday.State)
		mesh.Outside.Go(func() { mesh.apply(content, true, 0, 20*monotonic.Second) })
	}}
	// Each of a storm follows the one before, as an operator's script would have it.
	routeStorm = fault{"a storm of route changes", func(mesh *Mesh) {
		mesh.Outside.Go(func() {
			for range 8 {
				mesh.friday.State = mesh.friday.Alter()
				content := workload.Content(mesh.friday.State)
				mesh.Outside.Go(func() { mesh.apply(content, true, 0, 20*monotonic.Second) })
				mesh.Outside.Sleep(60 * monotonic.Millisecond)
			}
		})
	}}
	routeRace = fault{"two operators race with route changes", func(mesh *Mesh) {
		expected, states := mesh.latest, []*wire.DesiredState{mesh.friday.Alter(), mesh.friday.Alter()}
		for _, state := range states {
			mesh.Outside.Go(func() {
				if tell := mesh.apply(workload.Content(state), false, expected, 20*monotonic.Second); tell != nil && tell.Outcome == "accepted" {
					mesh.friday.State = state
				}
			})
		}
	}}
	// A carrier that misses some versions of a storm takes up several at once.
	routeStormUnheard = fault{"a storm of route changes that some carriers don't hear at first", func(mesh *Mesh) {
		for range 3 {
			if !mesh.friday.alone(mesh.World.Now(), 0) {
				break
			}
			victim := pick(mesh, mesh.carriers)
			for _, core := range mesh.cores {
				mesh.cutFor(victim, core, true, 700*monotonic.Millisecond)
			}
		}
		mesh.friday.alone(mesh.World.Now(), 3*monotonic.Second)
		routeStorm.bring(mesh)
	}}
	dieCarrier = fault{"kill a carrier, which starts again", func(mesh *Mesh) {
		name := pick(mesh, mesh.carriers)
		mesh.History.Mark(invariants.Killed+name, mesh.World.Now())
		mesh.down([]*world.Node{mesh.World.Node(name)}, mesh.span(100*monotonic.Millisecond, 2*monotonic.Second), mesh.World.Kill)
	}}
	killMaster = fault{"kill the postmasters' primary in a storm of route changes", func(mesh *Mesh) {
		routeStorm.bring(mesh)
		if !mesh.friday.alone(mesh.World.Now(), 8*monotonic.Second) {
			return
		}
		mesh.later(mesh.span(0, 400*monotonic.Millisecond), func() {
			if node := mesh.leader("postmaster"); node != nil {
				mesh.down([]*world.Node{node}, mesh.span(500*monotonic.Millisecond, 4*monotonic.Second), mesh.World.Kill)
			}
		})
	}}
)

// fridayTraffic has callers send forms, corrections, downloads and lookups. Whoever sends a key asks again until it's answered.
func fridayTraffic(mesh *Mesh, perSecond int) {
	mix := []workload.Family{families[0], families[0], families[1], families[2], lookups[0], lookups[0], lookups[1], lookups[1]}
	chance := mesh.World.Chance()
	mesh.Outside.Go(func() {
		for number := 0; mesh.serving; number++ {
			mesh.Outside.Sleep(monotonic.Micros(chance.Uint64N(uint64(2 * int(monotonic.Second) / perSecond))))
			mesh.Outside.Go(func() { mesh.fridayCall(mix[number%len(mix)], number) })
		}
	})
}

// fridayPatience is how often a caller asks for a key, with a second or two between.
const fridayPatience = 15

func (mesh *Mesh) fridayCall(one workload.Family, number int) {
	key, most := "", 1
	if one.Method != "GET" {
		key, most = fmt.Sprintf("%s-key-%d", one.Kind, number), fridayPatience
	}
	for again := range most {
		attempt := &invariants.Attempt{ID: fmt.Sprintf("%s-%d-%d", one.Kind, number, again), Key: key, Kind: one.Kind, Caller: pick(mesh, mesh.carriers), Method: one.Method,
			Path: fmt.Sprintf("%s%d/%d", one.Prefix, number%workload.Regions, number), Sent: mesh.World.Now()}
		mesh.History.Send(attempt)
		mesh.send(attempt)
		if attempt.Status == 200 && !attempt.Mesh {
			return
		}
		mesh.Outside.Sleep(monotonic.Second + monotonic.Micros(mesh.World.Chance().Uint64N(uint64(monotonic.Second))))
	}
}

// fridayPrepare tells the mesh where to look.
func fridayPrepare(mesh *Mesh) {
	mesh.counting = true
	mesh.friday = &fridays{Day: workload.New(fridayState(), families, mesh.World.Chance())}
	mesh.samples = nil
	for _, one := range slices.Concat(families, lookups) {
		for region := range workload.Regions {
			mesh.samples = append(mesh.samples, sample{one.Kind, one.Method, fmt.Sprintf("%s%d/1", one.Prefix, region)})
		}
		mesh.History.Allow(one.Kind, one.Service, 0)
	}
	if mesh.breakage.WrongBase {
		mesh.misapply()
	}
}

// misapply has carriers get what the newest version changes in the one before it, applied onto whatever they have.
func (mesh *Mesh) misapply() {
	before, contents, last := map[string]string{}, map[string]*wire.DesiredState{}, config.Digest(workload.Content(fridayState()))
	contents[last] = fridayState()
	mesh.handed = func(content []byte) {
		digest := config.Digest(content)
		contents[digest], _ = config.ParseAccepted(content)
		before[digest], last = last, digest
	}
	mesh.polled = func(ask *wire.ConfigPollRequest, tell *wire.ConfigPollResponse) {
		told := &wire.Difference{}
		if len(tell.Difference) == 0 || proto.Unmarshal(tell.Difference, told) != nil {
			return
		}
		view, _ := mesh.lives[ask.Proxy].ConfigClient.Current()
		base, former, newest := contents[view.Digest], contents[before[told.ContentDigest]], contents[told.ContentDigest]
		if base == nil || former == nil || newest == nil {
			return
		}
		if content := misapplied(base, former, newest, told); content != nil {
			tell.Difference = content
		}
	}
}

// misapplied is the difference from a base to what the step between two other states makes of it, or nothing where that is no state.
func misapplied(base, former, newest *wire.DesiredState, told *wire.Difference) []byte {
	sets := make([]*changes.Set, 3)
	for index, state := range []*wire.DesiredState{base, former, newest} {
		var err error
		if sets[index], err = changes.NewSet(state); err != nil {
			return nil
		}
	}
	step := changes.Diff(sets[1], sets[2])
	gone := map[string]bool{}
	wrong := &wire.DesiredState{Groups: base.Groups}
	for _, one := range slices.Concat(step.Added, step.Changed, step.Removed) {
		gone[one.Key] = true
	}
	for _, one := range slices.Concat(step.Added, step.Changed) {
		wrong.Routes = append(wrong.Routes, one.Message.(*wire.Route))
	}
	for _, route := range base.Routes {
		if !gone[changes.KindRoute+"/"+route.Name] {
			wrong.Routes = append(wrong.Routes, route)
		}
	}
	set, err := changes.NewSet(wrong)
	if err != nil {
		return nil
	}
	content, err := changes.Encode(changes.Diff(sets[0], set), told.Version, told.ContentDigest)
	if err != nil {
		return nil
	}
	return content
}

func init() {
	altered := []fault{routeAlone, routeAlone, routeStorm, routeRace, routeStormUnheard}
	add(Course{Name: "friday-routes", Short: "routes of submissions, corrections and downloads change alone, in storms and raced, while carriers restart and a primary dies",
		Sizes:  Sizes{Cores: 4, Carriers: 12, Zones: 4, Backends: 4, Services: fridayServices(), Bounds: configstore.Timeouts{ServeStale: true}},
		Length: 40 * monotonic.Second, Rate: 300, Every: 900 * monotonic.Millisecond, Rules: []int{1, 3, 5, 6, 7}, Traffic: fridayTraffic, Prepare: fridayPrepare,
		Content: func(int) []byte { return workload.Content(fridayState()) }, Checks: []invariants.Check{invariants.KeysKept, invariants.TakenUp, invariants.CountersKept},
		First: append(slices.Clone(altered[:4]), killMaster, dieCarrier, drainCarrier), Faults: append(slices.Clone(altered), routeAlone, dieCarrier, drainCarrier, killMaster)})
}
