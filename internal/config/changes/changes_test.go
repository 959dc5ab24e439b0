package changes_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/transport/wire"
)

// made is a random valid state of few names, so that two of them have much in common.
func made(chance *rand.Rand) *wire.DesiredState {
	pick := func(words ...string) string { return words[chance.IntN(len(words))] }
	state := &wire.DesiredState{Note: fmt.Sprint(chance.Int())}
	var services []string
	for _, name := range []string{"north", "south"} {
		group := &wire.Group{Name: name, Guard: &wire.Breaker{WindowCalls: proto.Uint32(50 + uint32(chance.IntN(2)))}}
		for index := range 2 + chance.IntN(4) {
			service := &wire.Service{Name: fmt.Sprint(name, "-", index)}
			if chance.IntN(3) == 0 {
				service.Retry = &wire.Retry{MostTries: proto.Uint32(1 + uint32(chance.IntN(3)))}
			}
			if chance.IntN(2) == 0 {
				service.Paths = []*wire.Path{{Method: pick("GET", "POST"), Prefix: "/" + service.Name, Class: wire.Path_Class(1 + chance.IntN(2))}}
			}
			services = append(services, service.Name)
			group.Services = append(group.Services, service)
		}
		state.Groups = append(state.Groups, group)
	}
	for number := range 30 {
		if chance.IntN(4) == 0 {
			continue
		}
		route := &wire.Route{Name: fmt.Sprint("r-", number), Host: pick("", "x", "y"), Method: pick("", "GET"), Prefix: fmt.Sprintf("/r/%d/", number), Class: wire.Path_Class(1 + chance.IntN(3)),
			Split: []*wire.Share{{Service: pick(services...), Weight: 1 + uint32(chance.IntN(3))}}}
		if chance.IntN(3) == 0 {
			route.Split = append(route.Split, &wire.Share{Service: pick(services...), Weight: uint32(chance.IntN(3))})
			route.CutoffMicros = proto.Int64(1 + int64(chance.IntN(3)))
		}
		if chance.IntN(4) == 0 { // the same place under another name in another state: a route renamed
			route.Name = fmt.Sprint("s-", chance.IntN(4)*100+number)
		}
		state.Routes = append(state.Routes, route)
	}
	return state
}

// altered is a state a few steps on from another.
func altered(chance *rand.Rand, state *wire.DesiredState) *wire.DesiredState {
	next := proto.CloneOf(state)
	steps := []func(at int){
		func(at int) { next.Routes[at].Priority = proto.Uint32(uint32(chance.IntN(9))) },
		func(at int) { next.Routes[at].Name += "-renamed" },
		func(at int) { next.Routes[at].Split[0].Weight++ },
		func(at int) { next.Routes[at].Split[0].Service = next.Groups[0].Services[0].Name },
		func(at int) { next.Routes = slices.Delete(next.Routes, at, at+1) },
		func(at int) { next.Routes[at].Host = "y" },
		func(int) { next.Groups[0].Services[0].Retry = &wire.Retry{MostTries: proto.Uint32(2)} },
	}
	for range 1 + chance.IntN(4) {
		steps[chance.IntN(len(steps))](chance.IntN(len(next.Routes)))
	}
	return next
}

func read(t testing.TB, state *wire.DesiredState) *changes.Set {
	t.Helper()
	set, err := changes.Read(state)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

func encode(t testing.TB, old, new *changes.Set) []byte {
	t.Helper()
	content, err := changes.Encode(changes.Diff(old, new), 2, "content")
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func same(one, other *changes.Set) bool {
	all, others := one.All(), other.All()
	return bytes.Equal(one.Digest(), other.Digest()) && slices.EqualFunc(all, others, func(one, other *changes.Resource) bool {
		return one.Key == other.Key && proto.Equal(one.Message, other.Message)
	})
}

// requests are those that the made states may lead somewhere.
func requests(visit func(host, method, path string)) {
	for _, host := range []string{"", "x", "y", "z"} {
		for _, method := range []string{"GET", "POST"} {
			for number := range 30 {
				visit(host, method, fmt.Sprintf("/r/%d/1", number))
			}
			for index := range 6 {
				visit(host, method, fmt.Sprint("/north-", index))
				visit(host, method, fmt.Sprint("/south-", index, "/1"))
			}
		}
	}
}

// TestApplyGivesTheNewState: over random pairs, the base and its difference come to what the new state says when it's read whole:
// the same resources, digests, services and ways of requests. What the difference doesn't name is the same object in the next view,
// and the view before answers as it did.
func TestApplyGivesTheNewState(t *testing.T) {
	chance := rand.New(rand.NewPCG(5, 6))
	if faults := config.Check(made(chance)); len(faults) > 0 {
		t.Fatal(faults)
	}
	shared, compiled := 0, 0
	for round := range 400 {
		before, after := made(chance), made(chance)
		if round%2 == 0 {
			after = altered(chance, before)
		}
		base, wanted := read(t, before), read(t, after)
		step, err := changes.Apply(base, encode(t, base, wanted))
		if err != nil {
			t.Fatal(err)
		}
		if !same(step.Set, wanted) || step.Version != 2 || step.ContentDigest != "content" || !same(base, read(t, before)) {
			t.Fatal("the base and the difference don't come to the new state")
		}
		view := config.Compile(before, 1, "")
		next, err := view.With(step.Change, 2, "content")
		if err != nil {
			t.Fatal(err)
		}
		whole, former := config.Compile(after, 2, "content"), config.Compile(before, 1, "")
		if !reflect.DeepEqual(names(next), names(whole)) || next.Serial != 2 || next.Digest != "content" {
			t.Fatal(names(next), names(whole))
		}
		if next.Sum() != whole.Sum() || view.Sum() != former.Sum() || (view.Sum() == whole.Sum()) != same(base, wanted) {
			t.Fatal("the views serve otherwise than the states say")
		}
		touched := map[string]bool{}
		difference := changes.Diff(base, wanted)
		for _, one := range slices.Concat(difference.Added, difference.Changed) {
			touched[one.Key] = true
		}
		for name, service := range whole.Services {
			if !alike(next.Services[name], service) {
				t.Fatalf("%v in place of %v", next.Services[name], service)
			}
			if unchanged := !touched["service/"+name]; unchanged != (next.Services[name] == view.Services[name]) {
				t.Fatalf("service %s: unchanged %v, the same object %v", name, unchanged, !unchanged)
			}
		}
		requests(func(host, method, path string) {
			found, wanted, earlier := next.Entry(host, method, path), whole.Entry(host, method, path), view.Entry(host, method, path)
			if !entryAlike(found, wanted) || !entryAlike(earlier, former.Entry(host, method, path)) {
				t.Fatalf("%s %s%s: %v, wanted %v", method, host, path, found, wanted)
			}
			if found == nil || found.Name == "" {
				return
			}
			changed := touched["route/"+found.Name]
			for _, share := range found.Split {
				changed = changed || touched["service/"+share.Service.Name]
				if share.Service != next.Services[share.Service.Name] {
					t.Fatalf("%s leads to a service that isn't the view's", found.Name)
				}
			}
			if compiled++; found == earlier {
				shared++
			}
			if earlier != nil && earlier.Name == found.Name && changed == (found == earlier) {
				t.Fatalf("route %s: changed %v, the same object %v", found.Name, changed, !changed)
			}
		})
	}
	if shared < 1000 || compiled-shared < 1000 {
		t.Errorf("%d of %d entries were the same objects", shared, compiled)
	}
}

func names(view *config.View) (names []string) {
	for name := range view.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func alike(one, other *config.Service) bool {
	return one != nil && other != nil && one.Name == other.Name && one.Group == other.Group && proto.Equal(one.Guard, other.Guard) && proto.Equal(one.Retry, other.Retry) && proto.Equal(one.Limits, other.Limits)
}

func entryAlike(one, other *config.Path) bool {
	if one == nil || other == nil {
		return one == other
	}
	if !alike(one.Service, other.Service) || !slices.EqualFunc(one.Split, other.Split, func(one, other config.Share) bool {
		return one.UpTo == other.UpTo && alike(one.Service, other.Service)
	}) {
		return false
	}
	bare, otherBare := *one, *other
	bare.Service, bare.Split, otherBare.Service, otherBare.Split = nil, nil, nil, nil
	return reflect.DeepEqual(bare, otherBare)
}

// TestRefusals: a difference for another base, with another digest, or cut short anywhere, is refused.
func TestRefusals(t *testing.T) {
	chance := rand.New(rand.NewPCG(7, 8))
	for range 20 {
		base, wanted, other := read(t, made(chance)), read(t, made(chance)), read(t, made(chance))
		content := encode(t, base, wanted)
		if _, err := changes.Apply(other, content); !errors.Is(err, changes.ErrBase) {
			t.Fatal(err)
		}
		if _, err := changes.Apply(wanted, content); !errors.Is(err, changes.ErrBase) {
			t.Fatal("applied twice: ", err)
		}
		for length := range content {
			if _, err := changes.Apply(base, content[:length]); err == nil {
				t.Fatalf("%d of %d bytes were applied", length, len(content))
			}
		}
		twisted := &wire.Difference{}
		twist := func(how func()) {
			t.Helper()
			proto.Reset(twisted)
			if err := proto.Unmarshal(content, twisted); err != nil {
				t.Fatal(err)
			}
			how()
			changed, err := proto.Marshal(twisted)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := changes.Apply(base, changed); !errors.Is(err, changes.ErrDigest) {
				t.Fatal(err)
			}
		}
		twist(func() { twisted.Digest[3] ^= 1 })
		twist(func() { twisted.Digest = nil })
		twist(func() { twisted.Routes = twisted.Routes[1:] })
		twist(func() { twisted.Routes = append(twisted.Routes, twisted.Routes[0]) })
		twist(func() { twisted.Routes[0].Priority = proto.Uint32(9) })
		twist(func() { twisted.Removed = append(twisted.Removed, "route/none") })
		twist(func() { twisted.Removed = append(twisted.Removed, "route/"+twisted.Routes[0].Name) })
	}
}

// TestDoubtfulStates: what a checking build refuses is no set, so that it's only ever sent whole.
func TestDoubtfulStates(t *testing.T) {
	split := []*wire.Share{{Service: "one", Weight: 1}}
	for name, routes := range map[string][]*wire.Route{
		"a name twice":       {{Name: "r", Prefix: "/a", Split: split}, {Name: "r", Prefix: "/b", Split: split}},
		"a place twice":      {{Name: "r", Prefix: "/a", Split: split}, {Name: "s", Prefix: "/a", Method: "*", Split: split}},
		"an unknown service": {{Name: "r", Prefix: "/a", Split: []*wire.Share{{Service: "none", Weight: 1}}}},
		"no weight":          {{Name: "r", Prefix: "/a", Split: []*wire.Share{{Service: "one"}}}},
	} {
		state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}, Routes: routes}
		if _, err := changes.Read(state); !errors.Is(err, changes.ErrDoubtful) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestOrderAndNoteDontCount: states that say the same are the same set.
func TestOrderAndNoteDontCount(t *testing.T) {
	chance := rand.New(rand.NewPCG(9, 10))
	state := made(chance)
	turned := proto.CloneOf(state)
	slices.Reverse(turned.Routes)
	slices.Reverse(turned.Groups)
	turned.Note = "turned"
	if one, other := read(t, state), read(t, turned); !same(one, other) || !changes.Diff(one, other).Empty() {
		t.Error("the order counts")
	}
}

// TestForeignChangesAreRefused: a view takes no change that doesn't fit it.
func TestForeignChangesAreRefused(t *testing.T) {
	chance := rand.New(rand.NewPCG(11, 12))
	refused := 0
	for range 50 {
		base, wanted, other := made(chance), made(chance), made(chance)
		step, err := changes.Apply(read(t, base), encode(t, read(t, base), read(t, wanted)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Compile(other, 1, "").With(step.Change, 2, ""); err != nil {
			refused++
		}
	}
	if refused < 45 {
		t.Errorf("only %d of 50 were refused", refused)
	}
}

// TestSummary: operators are shown what was added and removed, and of what changed the fields.
func TestSummary(t *testing.T) {
	split := []*wire.Share{{Service: "one", Weight: 1}}
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}, {Name: "two"}}}},
		Routes: []*wire.Route{{Name: "kept", Prefix: "/k/", Split: split}, {Name: "gone", Prefix: "/g/", Split: split}, {Name: "moved", Prefix: "/m/", Split: split}}}
	next := proto.CloneOf(state)
	next.Routes[1].Name, next.Routes[2].Split[0].Service, next.Routes[2].CutoffMicros = "come", "two", proto.Int64(5)
	next.Groups[0].Services[1].Guard = &wire.Breaker{WindowCalls: proto.Uint32(7)}
	base := read(t, state)
	summary := changes.Summarize(base, changes.Diff(base, read(t, next)))
	wanted := changes.Summary{Added: []changes.Altered{{Kind: "route", Name: "come"}}, Removed: []changes.Altered{{Kind: "route", Name: "gone"}},
		Changed: []changes.Altered{{Kind: "route", Name: "moved", Fields: []string{"split", "cutoffMicros"}}, {Kind: "service", Name: "two", Fields: []string{"guard.windowCalls"}}}}
	if !reflect.DeepEqual(summary, wanted) {
		t.Errorf("%+v", summary)
	}
}
