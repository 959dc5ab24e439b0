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

// randomState returns a random valid configuration. It uses few names, so that two configurations have much in common.
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
		if random.IntN(4) == 0 { // so that states have the same route under different names
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

// mutate returns a copy of a configuration after a few random changes.
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
			if len(next.Tenants) > 1 { // the keys of the last tenant move to the first
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

func newSet(t testing.TB, state *wire.DesiredState) *changes.Set {
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

func sameSet(one, other *changes.Set) bool {
	all, others := one.All(), other.All()
	return bytes.Equal(one.Digest(), other.Digest()) && slices.EqualFunc(all, others, func(one, other *changes.Resource) bool {
		return one.Key == other.Key && proto.Equal(one.Message, other.Message)
	})
}

// visitRequests visits the requests that routes of random states may match.
func visitRequests(visit func(host, method, path string)) {
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

// TestApply checks with random pairs that applying a difference to its base gives the same resources, digests, services and routes as the
// new state itself. Objects that the difference doesn't affect are shared with the base's snapshot, which doesn't change.
func TestApply(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	if fieldErrors := config.Validate(randomState(random)); len(fieldErrors) > 0 {
		t.Fatal(fieldErrors)
	}
	shared, compiled := 0, 0
	for round := range 400 {
		before, after := randomState(random), randomState(random)
		if round%2 == 0 {
			after = mutate(random, before)
		}
		base, want := newSet(t, before), newSet(t, after)
		result, err := changes.Apply(base, encode(t, base, want))
		if err != nil {
			t.Fatal(err)
		}
		if !sameSet(result.Set, want) || result.Version != 2 || result.ContentDigest != "content" || !sameSet(base, newSet(t, before)) {
			t.Fatal("applying the difference to its base doesn't give the new state")
		}
		snapshot := config.Compile(before, 1, "")
		next, err := snapshot.With(result.Change, 2, "content")
		if err != nil {
			t.Fatal(err)
		}
		full, unchanged := config.Compile(after, 2, "content"), config.Compile(before, 1, "")
		if !reflect.DeepEqual(serviceNames(next), serviceNames(full)) || next.Version != 2 || next.Digest != "content" {
			t.Fatal(serviceNames(next), serviceNames(full))
		}
		if next.Fingerprint() != full.Fingerprint() || snapshot.Fingerprint() != unchanged.Fingerprint() || (snapshot.Fingerprint() == full.Fingerprint()) != sameSet(base, want) {
			t.Fatal("a snapshot's fingerprint doesn't match its state")
		}
		affected := map[string]bool{}
		difference := changes.Diff(base, want)
		for _, r := range slices.Concat(difference.Added, difference.Changed) {
			affected[r.Key] = true
		}
		for name, service := range full.Services {
			if !equalServices(next.Services[name], service) {
				t.Fatalf("service %v, want %v", next.Services[name], service)
			}
			if same := !affected["service/"+name]; same != (next.Services[name] == snapshot.Services[name]) {
				t.Fatalf("service %s: unchanged %v, shared %v", name, same, !same)
			}
		}
		visitRequests(func(host, method, path string) {
			found, want, previous := next.Lookup(host, method, path), full.Lookup(host, method, path), snapshot.Lookup(host, method, path)
			if !equalRoutes(found, want) || !equalRoutes(previous, unchanged.Lookup(host, method, path)) {
				t.Fatalf("%s %s%s: route %v, want %v", method, host, path, found, want)
			}
			if found == nil || found.Name == "" {
				return
			}
			changed := affected["route/"+found.Name]
			for _, share := range found.Split {
				changed = changed || affected["service/"+share.Service.Name]
				if share.Service != next.Services[share.Service.Name] {
					t.Fatalf("route %s refers to a service object that isn't in the snapshot", found.Name)
				}
			}
			if compiled++; found == previous {
				shared++
			}
			if previous != nil && previous.Name == found.Name && changed == (found == previous) {
				t.Fatalf("route %s: changed %v, shared %v", found.Name, changed, !changed)
			}
		})
	}
	if shared < 1000 || compiled-shared < 1000 {
		t.Errorf("%d of %d routes were shared, want at least 1000 shared and 1000 not shared", shared, compiled)
	}
}

func serviceNames(snapshot *config.Snapshot) (names []string) {
	for name := range snapshot.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func equalServices(one, other *config.Service) bool {
	return one != nil && other != nil && one.Name == other.Name && one.Group == other.Group && proto.Equal(one.Breaker, other.Breaker) && proto.Equal(one.Retry, other.Retry) && proto.Equal(one.Limits, other.Limits)
}

func equalRoutes(one, other *config.Route) bool {
	if one == nil || other == nil {
		return one == other
	}
	if !equalServices(one.Service, other.Service) || !slices.EqualFunc(one.Split, other.Split, func(one, other config.WeightedService) bool {
		return one.CumulativeWeight == other.CumulativeWeight && equalServices(one.Service, other.Service)
	}) {
		return false
	}
	oneFields, otherFields := *one, *other
	oneFields.Service, oneFields.Split, otherFields.Service, otherFields.Split = nil, nil, nil, nil
	return reflect.DeepEqual(oneFields, otherFields)
}

// TestApplyRejectsInvalid checks that Apply rejects a difference that has another base, was modified, or was truncated anywhere.
func TestApplyRejectsInvalid(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 20 {
		base, want, other := newSet(t, randomState(random)), newSet(t, randomState(random)), newSet(t, randomState(random))
		content := encode(t, base, want)
		if _, err := changes.Apply(other, content); !errors.Is(err, changes.ErrBaseMismatch) {
			t.Fatal(err)
		}
		if _, err := changes.Apply(want, content); !errors.Is(err, changes.ErrBaseMismatch) {
			t.Fatal("applied a second time: ", err)
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

// TestDifferenceOfEarlierBuild guards against a proxy that adopts a version without its tenants: a build that doesn't know tenants omits
// them from its differences.
func TestDifferenceOfEarlierBuild(t *testing.T) {
	random := rand.New(rand.NewPCG(13, 14))
	base, want := newSet(t, randomState(random)), newSet(t, randomState(random))
	difference := &wire.Difference{}
	if err := proto.Unmarshal(encode(t, base, want), difference); err != nil {
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

// TestSummaryOfTenants checks that operators see the added and removed keys of tenants by their short digests.
func TestSummaryOfTenants(t *testing.T) {
	shown := func(key string) string {
		digest, _ := config.DigestKey(key)
		return config.ShortDigest(digest[:])
	}
	state := func(tenants ...*wire.Tenant) *changes.Set {
		return newSet(t, &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}}}}, Tenants: tenants})
	}
	base := state(&wire.Tenant{Name: "north", Keys: []string{"k1"}}, &wire.Tenant{Name: "south", Keys: []string{"k2"}})
	next := state(&wire.Tenant{Name: "north", Keys: []string{"k2"}}, &wire.Tenant{Name: "west", Keys: []string{"k3"}})
	want := changes.Summary{
		Added:   []changes.ResourceChange{{Kind: "tenant", Name: "west", KeysAdded: []string{shown("k3")}}},
		Changed: []changes.ResourceChange{{Kind: "tenant", Name: "north", Fields: []string{"keyDigests"}, KeysAdded: []string{shown("k2")}, KeysRemoved: []string{shown("k1")}}},
		Removed: []changes.ResourceChange{{Kind: "tenant", Name: "south", KeysRemoved: []string{shown("k2")}}},
	}
	if summary := changes.Summarize(base, changes.Diff(base, next)); !reflect.DeepEqual(summary, want) {
		t.Errorf("%+v", summary)
	}
}

// TestInvalidStates checks that NewSet rejects invalid configurations, which are therefore only sent in full.
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

// TestOrderAndNoteAreIgnored checks that states that differ only in order and note are the same set.
func TestOrderAndNoteAreIgnored(t *testing.T) {
	random := rand.New(rand.NewPCG(9, 10))
	state := randomState(random)
	reordered := proto.CloneOf(state)
	slices.Reverse(reordered.Routes)
	slices.Reverse(reordered.Groups)
	reordered.Note = "reordered"
	if one, other := newSet(t, state), newSet(t, reordered); !sameSet(one, other) || changes.Diff(one, other).Len() > 0 {
		t.Error("the sets differ")
	}
}

// TestWithRejectsMismatch checks that Snapshot.With rejects changes that were computed for another snapshot. A few of the
// random changes may happen to apply.
func TestWithRejectsMismatch(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 12))
	rejected := 0
	for range 50 {
		base, want, other := randomState(random), randomState(random), randomState(random)
		result, err := changes.Apply(newSet(t, base), encode(t, newSet(t, base), newSet(t, want)))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Compile(other, 1, "").With(result.Change, 2, ""); err != nil {
			if !errors.Is(err, config.ErrChangeMismatch) {
				t.Errorf("unexpected error: %v", err)
			}
			rejected++
		}
	}
	if rejected < 45 {
		t.Errorf("%d of 50 changes were rejected, want at least 45", rejected)
	}
}

// TestSummary checks that operators see the added and removed resources, and the changed fields of the others.
func TestSummary(t *testing.T) {
	split := []*wire.Share{{Service: "one", Weight: 1}}
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "one"}, {Name: "two"}}}},
		Routes: []*wire.Route{{Name: "kept", Prefix: "/k/", Split: split}, {Name: "gone", Prefix: "/g/", Split: split}, {Name: "moved", Prefix: "/m/", Split: split}}}
	next := proto.CloneOf(state)
	next.Routes[1].Name, next.Routes[2].Split[0].Service, next.Routes[2].CutoffMicros = "come", "two", proto.Int64(5)
	next.Groups[0].Services[1].Guard = &wire.Breaker{WindowCalls: proto.Uint32(7)}
	base := newSet(t, state)
	summary := changes.Summarize(base, changes.Diff(base, newSet(t, next)))
	want := changes.Summary{Added: []changes.ResourceChange{{Kind: "route", Name: "come"}}, Removed: []changes.ResourceChange{{Kind: "route", Name: "gone"}},
		Changed: []changes.ResourceChange{{Kind: "route", Name: "moved", Fields: []string{"split", "cutoffMicros"}}, {Kind: "service", Name: "two", Fields: []string{"guard.windowCalls"}}}}
	if !reflect.DeepEqual(summary, want) {
		t.Errorf("%+v", summary)
	}
}
