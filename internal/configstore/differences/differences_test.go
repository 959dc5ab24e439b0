package differences_test

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/configstore/differences"
	"snowflow/internal/transport/wire"
)

// fixture is a cache that counts how often contents are parsed.
type fixture struct {
	store  *differences.Cache
	parses int
}

func newFixture(limits differences.Limits) *fixture {
	made := &fixture{}
	made.store = differences.New(func(content []byte) (*wire.DesiredState, []config.FieldError) {
		made.parses++
		return config.ParseAccepted(content)
	}, limits)
	return made
}

// storedState returns an accepted version with many routes, one of which depends on the version.
func storedState(t *testing.T, version uint64) *wire.StoredConfig {
	t.Helper()
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "forms"}, {Name: "batches"}}}}}
	for number := range 100 {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("r-", number), Prefix: fmt.Sprintf("/r/%d/", number), Class: wire.Path_read, Split: []*wire.Share{{Service: "forms", Weight: 1}}})
	}
	state.Routes[version%100].Split[0].Service = "batches"
	content, err := protojson.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.StoredConfig{Version: version, Content: content, Digest: config.Digest(content)}
}

func set(t *testing.T, one *wire.StoredConfig) *changes.Set {
	t.Helper()
	state, _ := config.ParseAccepted(one.Content)
	made, err := changes.NewSet(state)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// TestOneComputation checks that a difference is computed once for all proxies with the same base, and leads to the newest version.
func TestOneComputation(t *testing.T) {
	fixture := newFixture(differences.Limits{})
	one, two := storedState(t, 1), storedState(t, 2)
	for range 73 {
		step, err := changes.Apply(set(t, one), fixture.store.Difference(one, two, set(t, one).Digest()))
		if err != nil || !bytes.Equal(step.Set.Digest(), set(t, two).Digest()) || step.Version != 2 || step.ContentDigest != two.Digest || step.ResourcesChanged != 2 {
			t.Fatal(step, err)
		}
	}
	if fixture.store.Computed() != 1 || fixture.parses != 2 {
		t.Errorf("%d computations, %d contents parsed", fixture.store.Computed(), fixture.parses)
	}
}

// TestAddedStatesAreNotParsedAgain checks that a version that an apply has parsed isn't parsed again for the proxies.
func TestAddedStatesAreNotParsedAgain(t *testing.T) {
	fixture := newFixture(differences.Limits{})
	for version := uint64(1); version <= 4; version++ {
		state, _ := config.ParseAccepted(storedState(t, version).Content)
		fixture.store.Add(storedState(t, version).Content, state)
	}
	for version := uint64(1); version < 4; version++ {
		base := storedState(t, version)
		if fixture.store.Difference(base, storedState(t, 4), set(t, base).Digest()) == nil {
			t.Errorf("no difference from %d", version)
		}
	}
	if fixture.parses != 0 || fixture.store.Computed() != 3 {
		t.Errorf("%d contents parsed, %d computations", fixture.parses, fixture.store.Computed())
	}
}

// TestFullStateFallback checks that there is no difference where the base isn't certain or the full content is shorter.
func TestFullStateFallback(t *testing.T) {
	fixture := newFixture(differences.Limits{})
	one, two := storedState(t, 1), storedState(t, 2)
	corrupt := &wire.StoredConfig{Version: 1, Content: []byte("{"), Digest: "d"}
	tiny := func(version uint64, text string) *wire.StoredConfig {
		return &wire.StoredConfig{Version: version, Content: []byte(text), Digest: config.Digest([]byte(text))}
	}
	small, other := tiny(1, `{"groups":[{"name":"f","services":[{"name":"a"}]}]}`), tiny(2, `{"groups":[{"name":"g","services":[{"name":"b"}]}]}`)
	duplicated := tiny(1, `{"groups":[{"name":"f","services":[{"name":"a"},{"name":"a"}]}]}`)
	for name, test := range map[string]struct {
		base, latest *wire.StoredConfig
		digest       []byte
	}{
		"a base that isn't stored":         {nil, two, set(t, one).Digest()},
		"a base newer than the newest":     {two, one, set(t, two).Digest()},
		"the same version":                 {one, one, set(t, one).Digest()},
		"a proxy without a digest":         {one, two, nil},
		"a proxy that parsed it otherwise": {one, two, set(t, two).Digest()},
		"a base that can't be parsed":      {corrupt, two, set(t, one).Digest()},
		"a base that isn't a set":          {duplicated, two, set(t, one).Digest()},
		"a full content that is shorter":   {small, other, set(t, small).Digest()},
	} {
		t.Run(name, func(t *testing.T) {
			if content := fixture.store.Difference(test.base, test.latest, test.digest); content != nil {
				t.Errorf("a difference of %d bytes", len(content))
			}
		})
	}
}

// TestLimits checks that the cache keeps to its limits, and parses again what it has evicted.
func TestLimits(t *testing.T) {
	for name, limits := range map[string]differences.Limits{"count": {Count: 2}, "bytes": {Bytes: 3 * len(storedState(t, 1).Content)}, "one": {Count: 1}} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(limits)
			for version := uint64(2); version < 40; version++ {
				base, latest := storedState(t, version-1), storedState(t, version)
				for range 3 {
					step, err := changes.Apply(set(t, base), fixture.store.Difference(base, latest, set(t, base).Digest()))
					if err != nil || step.Version != version {
						t.Fatal(err)
					}
				}
				if count, size := fixture.store.Size(); name == "count" && count > 2 || name == "bytes" && size > limits.Bytes || name == "one" && count > 1 {
					t.Fatalf("%d versions of %d bytes are cached", count, size)
				}
			}
			if name != "one" && fixture.store.Computed() != 38 {
				t.Errorf("%d computations", fixture.store.Computed())
			}
		})
	}
}
