package resource_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"snowflow/internal/resource"
)

func newResource(t *testing.T, key, value string) *resource.Resource {
	t.Helper()
	r, err := resource.New(key, wrapperspb.String(value))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func newSet(t *testing.T, values map[string]string) *resource.Set {
	t.Helper()
	var all []*resource.Resource
	for key, value := range values {
		all = append(all, newResource(t, key, value))
	}
	set, err := resource.Empty.With(all, nil, len(all))
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// TestDigestsAreStable compares digests with those of earlier builds, because processes of different builds exchange them.
func TestDigestsAreStable(t *testing.T) {
	many := map[string]string{}
	for number := range 1000 {
		many[fmt.Sprintf("route/r-%d", number)] = fmt.Sprint(number)
	}
	for name, test := range map[string]struct {
		values map[string]string
		digest string
	}{
		"empty": {nil, "9f1dcbc35c350d6027f98be0f5c8b43b42ca52b7604459c0c42be3aa88913d47"},
		"one":   {map[string]string{"route/a": "x"}, "e1f44cc4507427e4a55eafa2421348f948c145019a76f1b9e63c57742f6128b7"},
		"many":  {many, "4628d6aaf2992eaf6264c9946ab5410675265f0c0aef73333c6d591cab7360d6"},
	} {
		t.Run(name, func(t *testing.T) {
			if digest := hex.EncodeToString(newSet(t, test.values).Digest()); digest != test.digest {
				t.Errorf("digest %s, want %s", digest, test.digest)
			}
		})
	}
}

// TestVersions compares a sequence of random versions with plain maps: each version has the right resources and the same digest as a set
// created in one step, Diff lists the changes, and the previous version stays unchanged.
func TestVersions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	version, plain := resource.Empty, map[string]string{}
	for round := range 200 {
		next := maps.Clone(plain)
		var updated []*resource.Resource
		var removed []string
		for _, number := range random.Perm(400)[:random.IntN(30)] {
			key := fmt.Sprintf("route/r-%d", number)
			if _, found := next[key]; found && random.IntN(3) == 0 {
				delete(next, key)
				removed = append(removed, key)
				continue
			}
			next[key] = fmt.Sprint(random.IntN(3))
			updated = append(updated, newResource(t, key, next[key]))
		}
		before := version
		var err error
		if version, err = before.With(updated, removed, len(next)); err != nil {
			t.Fatal(err)
		}
		if version.Sum() != newSet(t, next).Sum() || before.Sum() != newSet(t, plain).Sum() || version.Len() != len(next) {
			t.Fatalf("round %d: %d resources, want %d", round, version.Len(), len(next))
		}
		checkDiff(t, before, version, plain, next)
		plain = next
	}
}

func checkDiff(t *testing.T, before, after *resource.Set, oldValues, newValues map[string]string) {
	t.Helper()
	var wantAdded, wantChanged, wantRemoved []string
	for _, key := range slices.Sorted(maps.Keys(newValues)) {
		if value, found := oldValues[key]; !found {
			wantAdded = append(wantAdded, key)
		} else if value != newValues[key] {
			wantChanged = append(wantChanged, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(oldValues)) {
		if _, found := newValues[key]; !found {
			wantRemoved = append(wantRemoved, key)
		}
	}
	added, changed, removed := resource.Diff(before, after)
	for name, lists := range map[string][2][]string{"added": {keys(added), wantAdded}, "changed": {keys(changed), wantChanged}, "removed": {keys(removed), wantRemoved}} {
		if !slices.Equal(lists[0], lists[1]) {
			t.Fatalf("%s %v, want %v", name, lists[0], lists[1])
		}
	}
	if !slices.Equal(keys(after.All()), slices.Sorted(maps.Keys(newValues))) {
		t.Fatalf("keys %v", keys(after.All()))
	}
}

func keys(resources []*resource.Resource) (all []string) {
	for _, r := range resources {
		all = append(all, r.Key)
	}
	return all
}

// TestDuplicateKeys checks that resources with the same key are rejected.
func TestDuplicateKeys(t *testing.T) {
	duplicates := []*resource.Resource{newResource(t, "route/a", "x"), newResource(t, "route/a", "y")}
	if _, err := resource.Empty.With(duplicates, nil, len(duplicates)); !errors.Is(err, resource.ErrInvalidSet) {
		t.Errorf("error %v, want %v", err, resource.ErrInvalidSet)
	}
}
