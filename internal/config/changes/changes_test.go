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

// randomState returns a random valid configuration of few names, so that two of them have much in common.
func randomState(random *rand.Rand) *wire.DesiredState {
	pick := func(words ...string) string { return words[random.IntN(len(words))] }
	state := &wire.DesiredState{Note: fmt.Sprint(random.Int())}
	var services []string
	for _, name := range []string{"north", "south"} {
		group := &wire.Group{Name: name, Guard: &wire.Breaker{WindowCalls: proto.Uint32(50 + uint32(random.IntN(2)))}}
		for index := range 2 + random.IntN(4) {
			service := &wire.Service{Name: fmt.Sprint(name, "-", index)}
			if random.IntN(3) == 0 {
				service.Retry = &wire.Retry{MostTries: proto.Uint32(1 + uint32(random.IntN(3)))}
			}
			if random.IntN(2) == 0 {
				service.Paths = []*wire.Path{{Method: pick("GET", "POST"), Prefix: "/" + service.Name, Class: wire.Path_Class(1 + random.IntN(2))}}
			}
			services = append(services, service.Name)
			group.Services = append(group.Services, service)
		}
		state.Groups = append(state.Groups, group)
	}
	for number := range 30 {
		if random.IntN(4) == 0 {
			continue
		}
		route := &wire.Route{Name: fmt.Sprint("r-", number), Host: pick("", "x", "y"), Method: pick("", "GET"), Prefix: fmt.Sprintf("/r/%d/", number), Class: wire.Path_Class(1 + random.IntN(3)),
			Split: []*wire.Share{{Service: pick(services...), Weight: 1 + uint32(random.IntN(3))}}}
		if random.IntN(3) == 0 {
			route.Split = append(route.Split, &wire.Share{Service: pick(services...), Weight: uint32(random.IntN(3))})
			route.CutoffMicros = proto.Int64(1 + int64(random.IntN(3)))
		}
		if random.IntN(4) == 0 { // the same match under another name in another state: a renamed route
			route.Name = fmt.Sprint("s-", random.IntN(4)*100+number)
		}
		if random.IntN(5) == 0 {
			route.Anonymous = proto.Bool(true)
		}
		state.Routes = append(state.Routes, route)
	}
	for number := range random.IntN(5) {
		state.Tenants = append(state.Tenants, &wire.Tenant{Name: fmt.Sprint("t-", number), Priority: proto.Uint32(uint32(random.IntN(2)))})
	}
	for number := range 12 {
		if owner := random.IntN(6); owner < len(state.Tenants) {
			state.Tenants[owner].Keys = append(state.Tenants[owner].Keys, fmt.Sprint("key-", number))
		}
	}
	return state
}

// mutate returns a configuration that differs from another in a few random steps.
func mutate(random *rand.Rand, state *wire.DesiredState) *wire.DesiredState {
	next := proto.CloneOf(state)
	steps := []func(at int){
		func(at int) { next.Routes[at].Priority = proto.Uint32(uint32(random.IntN(9))) },
		func(at int) { next.Routes[at].Name += "-renamed" },
		func(at int) { next.Routes[at].Split[0].Weight++ },
		func(at int) { next.Routes[at].Split[0].Service = next.Groups[0].Services[0].Name },
		func(at int) { next.Routes = slices.Delete(next.Routes, at, at+1) },
		func(at int) { next.Routes[at].Host = "y" },
		func(int) { next.Groups[0].Services[0].Retry = &wire.Retry{MostTries: proto.Uint32(2)} },
		func(at int) {
			next.Tenants = append(next.Tenants, &wire.Tenant{Name: fmt.Sprint("new-", at, len(next.Tenants)), Keys: []string{fmt.Sprint("new-", at, len(next.Tenants))}})
		},
		func(int) {
			if len(next.Tenants) > 1 { // its keys pass to another tenant
				last := len(next.Tenants) - 1
				next.Tenants[0].Keys = append(next.Tenants[0].Keys, next.Tenants[last].Keys...)
				next.Tenants = next.Tenants[:last]
			}
		},
	}
	for range 1 + random.IntN(4) {
		steps[random.IntN(len(steps))](random.IntN(len(next.Routes)))
	}
	return next
}

func read(t testing.TB, state *wire.DesiredState) *changes.Set {
	t.Helper()
	set, err := changes.NewSet(state)
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

// requests visits the requests that routes of random states may match.
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

// TestApplyGivesTheNewState checks over random pairs that a base and a difference give the same as the new state itself: the same
// resources, digests, services and routes. What the difference doesn't name is the same object in the next snapshot, and the base's
// snapshot stays as it was.
func TestApplyGivesTheNewState(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	if faults := config.Validate(randomState(random)); len(faults) > 0 {
		t.Fatal(faults)
	}
	shared, compiled := 0, 0
	for round := range 400 {
		before, after := randomState(random), randomState(random)
		if round%2 == 0 {
			after = mutate(random, before)
		}
		base, wanted := read(t, before), read(t, after)
		step, err := changes.Apply(base, encode(t, base, wanted))
		if err != nil {
			t.Fatal(err)
		}
		if !same(step.Set, wanted) || step.Version != 2 || step.ContentDigest != "content" || !same(base, read(t, before)) {
			t.Fatal("the base and the difference don't give the new state")
		}
		snapshot := config.Compile(before, 1, "")
		next, err := snapshot.With(step.Change, 2, "content")
		if err != nil {
			t.Fatal(err)
		}
		full, former := config.Compile(after, 2, "content"), config.Compile(before, 1, "")
		if !reflect.DeepEqual(names(next), names(full)) || next.Version != 2 || next.Digest != "content" {
			t.Fatal(names(next), names(full))
		}
		if next.Fingerprint() != full.Fingerprint() || snapshot.Fingerprint() != former.Fingerprint() || (snapshot.Fingerprint() == full.Fingerprint()) != same(base, wanted) {
			t.Fatal("the snapshots serve otherwise than the states say")
		}
		touched := map[string]bool{}
		difference := changes.Diff(base, wanted)
		for _, one := range slices.Concat(difference.Added, difference.Changed) {
			touched[one.Key] = true
		}
		for name, service := range full.Services {
			if !alike(next.Services[name], service) {
				t.Fatalf("%v in place of %v", next.Services[name], service)
			}
			if unchanged := !touched["service/"+name]; unchanged != (next.Services[name] == snapshot.Services[name]) {
				t.Fatalf("service %s: unchanged %v, the same object %v", name, unchanged, !unchanged)
			}
		}
		requests(func(host, method, path string) {
			found, wanted, earlier := next.Lookup(host, method, path), full.Lookup(host, method, path), snapshot.Lookup(host, method, path)
			if !entryAlike(found, wanted) || !entryAlike(earlier, former.Lookup(host, method, path)) {
				t.Fatalf("%s %s%s: %v, wanted %v", method, host, path, found, wanted)
			}
			if found == nil || found.Name == "" {
				return
			}
			changed := touched["route/"+found.Name]
			for _, share := range found.Split {
				changed = changed || touched["service/"+share.Service.Name]
				if share.Service != next.Services[share.Service.Name] {
					t.Fatalf("%s leads to a service that isn't the snapshot's", found.Name)
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

func names(snapshot *config.Snapshot) (names []string) {
	for name := range snapshot.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func alike(one, other *config.Service) bool {
	return one != nil && other != nil && one.Name == other.Name && one.Group == other.Group && proto.Equal(one.Breaker, other.Breaker) && proto.Equal(one.Retry, other.Retry) && proto.Equal(one.Limits, other.Limits)
}

func entryAlike(one, other *config.Route) bool {
	if one == nil || other == nil {
		return one == other
	}
	if !alike(one.Service, other.Service) || !slices.EqualFunc(one.Split, other.Split, func(one, other config.WeightedService) bool {
		return one.CumulativeWeight == other.CumulativeWeight && alike(one.Service, other.Service)
	}) {
		return false
	}
	bare, otherBare := *one, *other
	bare.Service, bare.Split, otherBare.Service, otherBare.Split = nil, nil, nil, nil
	return reflect.DeepEqual(bare, otherBare)
}

// TestRefusals checks that a difference from another base, one that was changed, and one that is truncated anywhere is refused.
func TestRefusals(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 20 {
		base, wanted, other := read(t, randomState(random)), read(t, randomState(random)), read(t, randomState(random))
		content := encode(t, base, wanted)
		if _, err := changes.Apply(other, content); !errors.Is(err, changes.ErrBaseMismatch) {
			t.Fatal(err)
		}
		if _, err := changes.Apply(wanted, content); !errors.Is(err, changes.ErrBaseMismatch) {
			t.Fatal("applied twice: ", err)
		}
		for length := range content {
			if _, err := changes.Apply(base, content[:length]); err == nil {
				t.Fatalf("%d of %d bytes were applied", length, len(content))
			}
		}
		for name, change := range map[string]func(difference *wire.Difference){
			"another digest":     func(difference *wire.Difference) { difference.Digest[3] ^= 1 },
			"no digest":          func(difference *wire.Difference) { difference.Digest = nil },
			"a missing route":    func(difference *wire.Difference) { difference.Routes = difference.Routes[1:] },
			"a duplicate route":  func(difference *wire.Difference) { difference.Routes = append(difference.Routes, difference.Routes[0]) },
			"a changed route":    func(difference *wire.Difference) { difference.Routes[0].Priority = proto.Uint32(9) },
			"an unknown removal": func(difference *wire.Difference) { difference.Removed = append(difference.Removed, "route/none") },
			"a removal of an added": func(difference *wire.Difference) {
				difference.Removed = append(difference.Removed, "route/"+difference.Routes[0].Name)
			},
		} {
			t.Run(name, func(t *testing.T) {
				difference := &wire.Difference{}
				if err := proto.Unmarshal(content, difference); err != nil {
					t.Fatal(err)
				}
				change(difference)
				changed, err := proto.Marshal(difference)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := changes.Apply(base, changed); !errors.Is(err, changes.ErrDigestMismatch) {
					t.Fatal(err)
				}
			})
		}
	}
}

// TestInvalidStates checks that a configuration that validation refuses isn't a set, so that it's only sent in full.
// TestDifferenceOfEarlierBuild guards against a proxy that takes up a version without its tenants: a build that doesn't know them leaves
// them out of its differences.
func TestDifferenceOfEarlierBuild(t *testing.T) {
	random := rand.New(rand.NewPCG(13, 14))
	base, wanted := read(t, randomState(random)), read(t, randomState(random))
	difference := &wire.Difference{}
	if err := proto.Unmarshal(encode(t, base, wanted), difference); err != nil {
		t.Fatal(err)
	}
	difference.CoversTenants = false
	content, err := proto.Marshal(difference)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := changes.Apply(base, content); !errors.Is(err, changes.ErrTenantsOmitted) {
		t.Error(err)
	}
}

// TestSummaryOfTenants: operators see which keys came and went by the beginnings of their digests.
func TestSummaryOfTenants(t *testing.T) {
	shown := func(key string) string {
		digest, _ := config.DigestKey(key)
		return config.ShortDigest(digest[:])
	}
	state := func(tenants ...*wire.Tenant) *changes.Set {
		return read(t, &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}, Tenants: tenants})
	}
	base := state(&wire.Tenant{Name: "north", Keys: []string{"k1"}}, &wire.Tenant{Name: "south", Keys: []string{"k2"}})
	next := state(&wire.Tenant{Name: "north", Keys: []string{"k2"}}, &wire.Tenant{Name: "west", Keys: []string{"k3"}})
	wanted := changes.Summary{
		Added:   []changes.ResourceChange{{Kind: "tenant", Name: "west", KeysAdded: []string{shown("k3")}}},
		Changed: []changes.ResourceChange{{Kind: "tenant", Name: "north", Fields: []string{"keyDigests"}, KeysAdded: []string{shown("k2")}, KeysRemoved: []string{shown("k1")}}},
		Removed: []changes.ResourceChange{{Kind: "tenant", Name: "south", KeysRemoved: []string{shown("k2")}}},
	}
	if summary := changes.Summarize(base, changes.Diff(base, next)); !reflect.DeepEqual(summary, wanted) {
		t.Errorf("%+v", summary)
	}
}

func TestInvalidStates(t *testing.T) {
	split := []*wire.Share{{Service: "one", Weight: 1}}
	for name, routes := range map[string][]*wire.Route{
		"a name twice":       {{Name: "r", Prefix: "/a", Split: split}, {Name: "r", Prefix: "/b", Split: split}},
		"a match twice":      {{Name: "r", Prefix: "/a", Split: split}, {Name: "s", Prefix: "/a", Method: "*", Split: split}},
		"an unknown service": {{Name: "r", Prefix: "/a", Split: []*wire.Share{{Service: "none", Weight: 1}}}},
		"no weight":          {{Name: "r", Prefix: "/a", Split: []*wire.Share{{Service: "one"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}, Routes: routes}
			if _, err := changes.NewSet(state); !errors.Is(err, changes.ErrInvalidSet) {
				t.Error(err)
			}
		})
	}
}

// TestOrderAndNoteDontCount checks that states that differ in order and note alone are the same set.
func TestOrderAndNoteDontCount(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 10))
	state := randomState(random)
	turned := proto.CloneOf(state)
	slices.Reverse(turned.Routes)
	slices.Reverse(turned.Groups)
	turned.Note = "turned"
	if one, other := read(t, state), read(t, turned); !same(one, other) || changes.Diff(one, other).Len() > 0 {
		t.Error("the order counts")
	}
}

// TestForeignChangesAreRefused checks that a snapshot refuses a change that doesn't fit it.
func TestForeignChangesAreRefused(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 12))
	refused := 0
	for range 50 {
		base, wanted, other := randomState(random), randomState(random), randomState(random)
		step, err := changes.Apply(read(t, base), encode(t, read(t, base), read(t, wanted)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Compile(other, 1, "").With(step.Change, 2, ""); err != nil {
			if !errors.Is(err, config.ErrChangeMismatch) {
				t.Errorf("another error: %v", err)
			}
			refused++
		}
	}
	if refused < 45 {
		t.Errorf("only %d of 50 were refused", refused)
	}
}

// TestSummary checks that operators are shown what was added and removed, and the fields of what changed.
func TestSummary(t *testing.T) {
	split := []*wire.Share{{Service: "one", Weight: 1}}
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}, {Name: "two"}}}},
		Routes: []*wire.Route{{Name: "kept", Prefix: "/k/", Split: split}, {Name: "gone", Prefix: "/g/", Split: split}, {Name: "moved", Prefix: "/m/", Split: split}}}
	next := proto.CloneOf(state)
	next.Routes[1].Name, next.Routes[2].Split[0].Service, next.Routes[2].CutoffMicros = "come", "two", proto.Int64(5)
	next.Groups[0].Services[1].Guard = &wire.Breaker{WindowCalls: proto.Uint32(7)}
	base := read(t, state)
	summary := changes.Summarize(base, changes.Diff(base, read(t, next)))
	wanted := changes.Summary{Added: []changes.ResourceChange{{Kind: "route", Name: "come"}}, Removed: []changes.ResourceChange{{Kind: "route", Name: "gone"}},
		Changed: []changes.ResourceChange{{Kind: "route", Name: "moved", Fields: []string{"split", "cutoffMicros"}}, {Kind: "service", Name: "two", Fields: []string{"guard.windowCalls"}}}}
	if !reflect.DeepEqual(summary, wanted) {
		t.Errorf("%+v", summary)
	}
}
