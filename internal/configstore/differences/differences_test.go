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

// fixture is a cache whose parser counts its calls.
type fixture struct {
	cache  *differences.Cache
	parses int
}

func newFixture(limits differences.Limits) *fixture {
	f := &fixture{}
	f.cache = differences.New(func(content []byte) (*wire.DesiredState, []config.FieldError) {
		f.parses++
		return config.ParseAccepted(content)
	}, limits)
	return f
}

// storedVersion returns a stored version with many routes. The version number determines which one of them has another service.
func storedVersion(t *testing.T, version uint64) *wire.StoredConfig {
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

// resourceSet returns the resources of a stored version.
func resourceSet(t *testing.T, stored *wire.StoredConfig) *changes.Set {
	t.Helper()
	state, _ := config.ParseAccepted(stored.Content)
	set, err := changes.NewSet(state)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// TestOneComputation checks that a difference is computed once for all proxies with the same base, and that it leads to the newest
// version.
func TestOneComputation(t *testing.T) {
	fixture := newFixture(differences.Limits{})
	one, two := storedVersion(t, 1), storedVersion(t, 2)
	for range 73 {
		step, err := changes.Apply(resourceSet(t, one), fixture.cache.Difference(one, two, resourceSet(t, one).Digest()))
		if err != nil || !bytes.Equal(step.Set.Digest(), resourceSet(t, two).Digest()) || step.Version != 2 || step.ContentDigest != two.Digest || step.ResourcesChanged != 2 {
			t.Fatal(step, err)
		}
	}
	if fixture.cache.Computed() != 1 || fixture.parses != 2 {
		t.Errorf("%d computations, %d contents parsed", fixture.cache.Computed(), fixture.parses)
	}
}

// TestAddedStatesAreNotParsedAgain checks that a version that an apply has already parsed isn't parsed again for the proxies.
func TestAddedStatesAreNotParsedAgain(t *testing.T) {
	fixture := newFixture(differences.Limits{})
	for version := uint64(1); version <= 4; version++ {
		state, _ := config.ParseAccepted(storedVersion(t, version).Content)
		fixture.cache.Add(storedVersion(t, version).Content, state)
	}
	for version := uint64(1); version < 4; version++ {
		base := storedVersion(t, version)
		if fixture.cache.Difference(base, storedVersion(t, 4), resourceSet(t, base).Digest()) == nil {
			t.Errorf("no difference from %d", version)
		}
	}
	if fixture.parses != 0 || fixture.cache.Computed() != 3 {
		t.Errorf("%d contents parsed, %d computations", fixture.parses, fixture.cache.Computed())
	}
}

// TestFullStateFallback checks that there is no difference if the proxy's base isn't known for certain or the full content is shorter.
func TestFullStateFallback(t *testing.T) {
	fixture := newFixture(differences.Limits{})
	one, two := storedVersion(t, 1), storedVersion(t, 2)
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
		"a base that isn't stored":         {nil, two, resourceSet(t, one).Digest()},
		"a base newer than the newest":     {two, one, resourceSet(t, two).Digest()},
		"the same version":                 {one, one, resourceSet(t, one).Digest()},
		"a proxy without a digest":         {one, two, nil},
		"a proxy that parsed it otherwise": {one, two, resourceSet(t, two).Digest()},
		"a base that can't be parsed":      {corrupt, two, resourceSet(t, one).Digest()},
		"a base that isn't a set":          {duplicated, two, resourceSet(t, one).Digest()},
		"a full content that is shorter":   {small, other, resourceSet(t, small).Digest()},
	} {
		t.Run(name, func(t *testing.T) {
			if content := fixture.cache.Difference(test.base, test.latest, test.digest); content != nil {
				t.Errorf("got a difference of %d bytes, want none", len(content))
			}
		})
	}
}

// TestLimits checks that the cache stays within its limits, and that differences are still right when the limits cause evictions.
func TestLimits(t *testing.T) {
	for name, limits := range map[string]differences.Limits{"count": {Count: 2}, "bytes": {Bytes: 3 * len(storedVersion(t, 1).Content)}, "one": {Count: 1}} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(limits)
			for version := uint64(2); version < 40; version++ {
				base, latest := storedVersion(t, version-1), storedVersion(t, version)
				for range 3 {
					step, err := changes.Apply(resourceSet(t, base), fixture.cache.Difference(base, latest, resourceSet(t, base).Digest()))
					if err != nil || step.Version != version {
						t.Fatal(err)
					}
				}
				if count, size := fixture.cache.Size(); name == "count" && count > 2 || name == "bytes" && size > limits.Bytes || name == "one" && count > 1 {
					t.Fatalf("%d versions of %d bytes are cached", count, size)
				}
			}
			if name != "one" && fixture.cache.Computed() != 38 {
				t.Errorf("%d computations", fixture.cache.Computed())
			}
		})
	}
}
