package round

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/bulletin"
	"snowflow/internal/franking"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// wide is a desired state with many routes that nobody asks for, beside those of Desired's services. alter may change it.
func wide(t testing.TB, routes int, alter func(state *wire.DesiredState)) []byte {
	t.Helper()
	state, faults := franking.Parse(routed(1))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	for number := range routes {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("batch-", number), Host: fmt.Sprintf("h%d.example", number%10), Prefix: fmt.Sprintf("/batches/%d/", number),
			Class: wire.Path_read, Split: []*wire.Share{{Service: "forms", Weight: 1}}})
	}
	if alter != nil {
		alter(state)
	}
	content, err := protojson.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	if _, faults := franking.Parse(content); len(faults) > 0 {
		t.Fatal(faults)
	}
	return content
}

// turned changes one route of many.
func turned(state *wire.DesiredState) { state.Routes[50].Split[0].Service = "households" }

// taking is a mesh of eight carriers that have taken up wide's first state and are under traffic, as it's changed.
type taking struct {
	t      *testing.T
	mesh   *Mesh
	events map[int]int
	before map[string]*franking.View
	calls  map[string]uint64
}

func take(t *testing.T) *taking {
	scene := &taking{t: t, mesh: Build(1, Sizes{Cores: 3, Carriers: 8, Zones: 2, Backends: 3}, Breakage{}), events: map[int]int{}, before: map[string]*franking.View{}, calls: map[string]uint64{}}
	scene.mesh.World.Trace = func(_ postmark.Micros, _ string, number int, _ map[string]any) { scene.events[number]++ }
	scene.apply(wide(t, 400, nil), 8*postmark.Second)
	scene.mesh.serve(60)
	scene.run(10 * postmark.Second)
	for name, life := range scene.mesh.lives {
		scene.before[name], _ = life.Desk.Current()
		scene.calls[name] = scene.counted(name)
	}
	return scene
}

func (scene *taking) run(span postmark.Micros) {
	scene.mesh.World.Run(scene.mesh.World.Now() + span)
}

func (scene *taking) apply(content []byte, within postmark.Micros) {
	scene.t.Helper()
	acknowledged := false
	scene.mesh.Outside.Go(func() {
		tell := scene.mesh.apply(content, true, 0, 20*postmark.Second)
		acknowledged = tell != nil && tell.Outcome == "accepted"
	})
	scene.run(within)
	if !acknowledged {
		scene.t.Errorf("not acknowledged within %d", within)
	}
}

// counted is the number of calls that a carrier's guards have counted in all.
func (scene *taking) counted(name string) (calls uint64) {
	for _, shown := range scene.mesh.lives[name].Wicket.Show() {
		calls += shown.Calls
	}
	return calls
}

// taken checks that every carrier has the content in force, and kept the objects of what it doesn't change: turned's route is the one
// new entry.
func (scene *taking) taken(content []byte, serial uint64) {
	t := scene.t
	t.Helper()
	for _, name := range scene.mesh.carriers {
		view, live := scene.mesh.lives[name].Desk.Current()
		if !live || view.Serial != serial || view.Digest != franking.Digest(content) {
			t.Errorf("%s: serial %d, live %v", name, view.Serial, live)
			continue
		}
		before := scene.before[name]
		for service := range before.Services {
			if view.Services[service] != before.Services[service] {
				t.Errorf("%s: service %s is another object", name, service)
			}
		}
		for number := range 400 {
			host, path := fmt.Sprintf("h%d.example", number%10), fmt.Sprintf("/batches/%d/1", number)
			if changed := number == 47; changed == (view.Entry(host, "GET", path) == before.Entry(host, "GET", path)) {
				t.Errorf("%s: batch-%d: changed %v, the same object %v", name, number, changed, !changed)
			}
		}
		if found := view.Entry("h7.example", "GET", "/batches/47/1"); found == nil || found.Service != view.Services["households"] {
			t.Errorf("%s: the route leads to %v", name, found)
		}
		if now := scene.counted(name); now < scene.calls[name] {
			t.Errorf("%s: %d calls counted, %d before the change", name, now, scene.calls[name])
		}
	}
}

func (scene *taking) sums() (sum struct{ differences, wholes, refused, computed uint64 }) {
	for _, name := range scene.mesh.carriers {
		taken := scene.mesh.lives[name].Desk.Taken()
		sum.differences, sum.wholes, sum.refused = sum.differences+taken.Differences, sum.wholes+taken.Wholes, sum.refused+taken.Refused
	}
	for _, one := range scene.mesh.masters {
		sum.computed += one.Computed()
	}
	return sum
}

// TestChangesTravelAsDifferences: eight carriers under traffic take a change of one route as one difference that was worked out once.
func TestChangesTravelAsDifferences(t *testing.T) {
	scene := take(t)
	defer scene.mesh.World.Close()
	longest, whole := 0, len(wide(t, 400, nil))
	scene.mesh.polled = func(_ *wire.DesiredPollAsk, tell *wire.DesiredPollTell) {
		longest = max(longest, len(tell.Difference), len(tell.Content))
	}
	content := wide(t, 400, turned)
	scene.apply(content, 300*postmark.Millisecond)
	scene.taken(content, 2)
	if sum := scene.sums(); sum.differences != 8 || sum.wholes != 8 || sum.refused != 0 || sum.computed != 1 {
		t.Errorf("%+v", sum)
	}
	if longest == 0 || longest > 300 || whole < 30000 {
		t.Errorf("%d bytes were told, of %d", longest, whole)
	}
}

// TestRefusedDifferences: one that is damaged, cut short or from another base changes nothing; its carrier says so and has the whole
// a poll later.
func TestRefusedDifferences(t *testing.T) {
	for name, damage := range map[string]func(tell *wire.DesiredPollTell){
		"a bit":          func(tell *wire.DesiredPollTell) { tell.Difference[len(tell.Difference)-2] ^= 1 },
		"cut short":      func(tell *wire.DesiredPollTell) { tell.Difference = tell.Difference[:len(tell.Difference)/2] },
		"another base":   func(tell *wire.DesiredPollTell) { tell.Difference[5] ^= 1 },
		"another serial": func(tell *wire.DesiredPollTell) { tell.Serial++ },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scene := take(t)
			defer scene.mesh.World.Close()
			scene.mesh.polled = func(_ *wire.DesiredPollAsk, tell *wire.DesiredPollTell) {
				if len(tell.Difference) > 0 {
					tell.Difference = bytes.Clone(tell.Difference) // the postmaster tells others the same one
					damage(tell)
				}
			}
			content := wide(t, 400, turned)
			scene.apply(content, 300*postmark.Millisecond)
			scene.taken(content, 2)
			if sum := scene.sums(); sum.differences != 0 || sum.wholes != 16 || sum.refused != 8 || scene.events[bulletin.DifferenceRefused] != 8 {
				t.Errorf("%+v, %d events", sum, scene.events[bulletin.DifferenceRefused])
			}
			// The next change goes as a difference again.
			scene.mesh.polled = nil
			scene.apply(wide(t, 400, nil), 300*postmark.Millisecond)
			if sum := scene.sums(); sum.differences != 8 || sum.wholes != 16 {
				t.Errorf("%+v", sum)
			}
		})
	}
}

// TestOlderNeighbours: where postmasters know of no differences, the whole is taken, and what it doesn't change keeps its objects all the same.
func TestOlderNeighbours(t *testing.T) {
	scene := take(t)
	defer scene.mesh.World.Close()
	content := wide(t, 400, turned)
	scene.mesh.polled = func(_ *wire.DesiredPollAsk, tell *wire.DesiredPollTell) {
		if len(tell.Difference) > 0 {
			tell.Difference, tell.Content = nil, content
		}
	}
	scene.apply(content, 300*postmark.Millisecond)
	scene.taken(content, 2)
	if sum := scene.sums(); sum.differences != 0 || sum.wholes != 16 || sum.refused != 0 {
		t.Errorf("%+v", sum)
	}
}

// TestWholeAfterRestarts: a carrier that comes back takes the whole, and differences from then on; a primary that took over tells differences
// from the versions that its copy has.
func TestWholeAfterRestarts(t *testing.T) {
	scene := take(t)
	defer scene.mesh.World.Close()
	mesh := scene.mesh
	mesh.World.Kill(mesh.World.Node("carrier-3"))
	mesh.World.Start(mesh.World.Node("carrier-3"))
	primary := mesh.leader("postmaster")
	mesh.World.Kill(primary)
	scene.run(10 * postmark.Second)
	delete(scene.before, "carrier-3")
	view, _ := mesh.lives["carrier-3"].Desk.Current()
	if view == nil || view.Serial != 1 {
		t.Fatal("the carrier hasn't taken up the version in force")
	}
	scene.before["carrier-3"], scene.calls["carrier-3"] = view, 0
	content := wide(t, 400, turned)
	scene.apply(content, 8*postmark.Second)
	scene.taken(content, 2)
	if sum := scene.sums(); sum.differences != 8 || sum.wholes != 8 || sum.refused != 0 {
		t.Errorf("%+v, %s", sum, strings.Join(mesh.log, "\n"))
	}
}
