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

// scene is a store and the contents that were accepted, with how often contents were read.
type scene struct {
	t     *testing.T
	store *differences.Versions
	reads int
}

func begin(t *testing.T, bounds differences.Bounds) *scene {
	made := &scene{t: t}
	made.store = differences.New(func(content []byte) (*wire.DesiredState, []config.Fault) {
		made.reads++
		return config.Accepted(content)
	}, bounds)
	return made
}

// kept is an accepted state with many routes, one of which goes by the serial.
func kept(t *testing.T, serial uint64) *wire.StoredConfig {
	t.Helper()
	state := &wire.DesiredState{Groups: []*wire.Group{{Name: "field", Services: []*wire.Service{{Name: "forms"}, {Name: "batches"}}}}}
	for number := range 100 {
		state.Routes = append(state.Routes, &wire.Route{Name: fmt.Sprint("r-", number), Prefix: fmt.Sprintf("/r/%d/", number), Class: wire.Path_read, Split: []*wire.Share{{Service: "forms", Weight: 1}}})
	}
	state.Routes[serial%100].Split[0].Service = "batches"
	content, err := protojson.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.StoredConfig{Version: serial, Content: content, Digest: config.Digest(content)}
}

func set(t *testing.T, one *wire.StoredConfig) *changes.Set {
	t.Helper()
	state, _ := config.Accepted(one.Content)
	made, err := changes.Read(state)
	if err != nil {
		t.Fatal(err)
	}
	return made
}

// TestOneComputation: however many carriers ask from one base, the difference is worked out once, and leads to the newest.
func TestOneComputation(t *testing.T) {
	scene := begin(t, differences.Bounds{})
	one, two := kept(t, 1), kept(t, 2)
	for range 73 {
		step, err := changes.Apply(set(t, one), scene.store.Difference(one, two, set(t, one).Digest()))
		if err != nil || !bytes.Equal(step.Set.Digest(), set(t, two).Digest()) || step.Version != 2 || step.ContentDigest != two.Digest || step.Resources != 2 {
			t.Fatal(step, err)
		}
	}
	if scene.store.Computed() != 1 || scene.reads != 2 {
		t.Errorf("%d computations, %d contents read", scene.store.Computed(), scene.reads)
	}
}

// TestKnownStatesArentReadAgain: what an apply has read isn't read again for the carriers.
func TestKnownStatesArentReadAgain(t *testing.T) {
	scene := begin(t, differences.Bounds{})
	for serial := uint64(1); serial <= 4; serial++ {
		state, _ := config.Accepted(kept(t, serial).Content)
		scene.store.Know(kept(t, serial).Content, state)
	}
	for serial := uint64(1); serial < 4; serial++ {
		base := kept(t, serial)
		if scene.store.Difference(base, kept(t, 4), set(t, base).Digest()) == nil {
			t.Errorf("no difference from %d", serial)
		}
	}
	if scene.reads != 0 || scene.store.Computed() != 3 {
		t.Errorf("%d contents read, %d computations", scene.reads, scene.store.Computed())
	}
}

// TestWhole: what isn't certain, or isn't shorter, is sent whole.
func TestWhole(t *testing.T) {
	scene := begin(t, differences.Bounds{})
	one, two := kept(t, 1), kept(t, 2)
	damaged := &wire.StoredConfig{Version: 1, Content: []byte("{"), Digest: "d"}
	tiny := func(serial uint64, text string) *wire.StoredConfig {
		return &wire.StoredConfig{Version: serial, Content: []byte(text), Digest: config.Digest([]byte(text))}
	}
	small, other := tiny(1, `{"groups":[{"name":"f","services":[{"name":"a"}]}]}`), tiny(2, `{"groups":[{"name":"g","services":[{"name":"b"}]}]}`)
	doubtful := tiny(1, `{"groups":[{"name":"f","services":[{"name":"a"},{"name":"a"}]}]}`)
	for name, asked := range map[string]struct {
		base, newest *wire.StoredConfig
		digest       []byte
	}{
		"a base that isn't kept":           {nil, two, set(t, one).Digest()},
		"a base newer than the newest":     {two, one, set(t, two).Digest()},
		"the same version":                 {one, one, set(t, one).Digest()},
		"a carrier that told no digest":    {one, two, nil},
		"a carrier that read it otherwise": {one, two, set(t, two).Digest()},
		"a base that can't be read":        {damaged, two, set(t, one).Digest()},
		"a base that is no set":            {doubtful, two, set(t, one).Digest()},
		"a whole that is shorter":          {small, other, set(t, small).Digest()},
	} {
		if content := scene.store.Difference(asked.base, asked.newest, asked.digest); content != nil {
			t.Errorf("%s: a difference of %d bytes", name, len(content))
		}
	}
}

// TestBounds: no more is kept than the bounds allow; what has gone is read again.
func TestBounds(t *testing.T) {
	for name, bounds := range map[string]differences.Bounds{"count": {Count: 2}, "bytes": {Bytes: 3 * len(kept(t, 1).Content)}, "one": {Count: 1}} {
		scene := begin(t, bounds)
		for serial := uint64(2); serial < 40; serial++ {
			base, newest := kept(t, serial-1), kept(t, serial)
			for range 3 {
				step, err := changes.Apply(set(t, base), scene.store.Difference(base, newest, set(t, base).Digest()))
				if err != nil || step.Version != serial {
					t.Fatal(name, err)
				}
			}
			if count, size := scene.store.Held(); name == "count" && count > 2 || name == "bytes" && size > bounds.Bytes || name == "one" && count > 1 {
				t.Fatalf("%s: %d versions of %d bytes are held", name, count, size)
			}
		}
		if name != "one" && scene.store.Computed() != 38 {
			t.Errorf("%s: %d computations", name, scene.store.Computed())
		}
	}
}
