package shared_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"testing"

	"snowflow/internal/config/shared"
)

// TestVersions compares a sequence of versions with plain maps: each version has the right entries, even after the next one is created.
func TestVersions(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var version *shared.Map[int]
	plain := map[string]int{}
	for round := range 400 {
		set, removed := map[string]int{}, []string{}
		for range random.IntN(40) {
			set[fmt.Sprint("k", random.IntN(3000))] = random.Int()
		}
		for range random.IntN(20) {
			if key := fmt.Sprint("k", random.IntN(3000)); set[key] == 0 {
				removed = append(removed, key)
			}
		}
		previous, previousPlain := version, maps.Clone(plain)
		for _, key := range removed {
			delete(plain, key)
		}
		maps.Copy(plain, set)
		version = version.With(set, removed)
		if !reflect.DeepEqual(maps.Collect(version.All), plain) || version.Len() != len(plain) {
			t.Fatalf("round %d: %d entries, want %d", round, version.Len(), len(plain))
		}
		if len(previousPlain) != previous.Len() || len(previousPlain) > 0 && !reflect.DeepEqual(maps.Collect(previous.All), previousPlain) {
			t.Fatalf("round %d: the previous version has changed", round)
		}
		for key, value := range plain {
			if found, ok := version.Get(key); !ok || found != value {
				t.Fatalf("round %d: key %s has value %d, found: %v", round, key, found, ok)
			}
		}
	}
}
