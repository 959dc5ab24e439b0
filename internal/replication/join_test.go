package replication

import (
	"slices"
	"testing"

	"snowflow/internal/transport/wire"
)

// TestNewestPrimaryFirst: a new machine must ask the newest primary that it knows to become a voter. When it kept asking a primary
// that was gone, although it had read a register with a later one, the loss of the next machine cost the group its quorum.
func TestNewestPrimaryFirst(t *testing.T) {
	primary := func(epoch uint64, name string) *wire.Primary { return &wire.Primary{Epoch: epoch, Name: name} }
	register := func(epoch uint64, name string) *wire.RegisterValue {
		return &wire.RegisterValue{Epoch: epoch, Primary: &wire.MemberID{Name: name}}
	}
	for _, test := range []struct {
		name     string
		known    *wire.Primary
		value    *wire.RegisterValue
		expected []string
	}{
		{"nothing is known", nil, nil, nil},
		{"only the resolver knows", primary(3, "one"), nil, []string{"one"}},
		{"only the register names one", nil, register(3, "two"), []string{"two"}},
		{"both agree", primary(3, "one"), register(4, "one"), []string{"one"}},
		{"the resolver is out of date", primary(3, "gone"), register(5, "two"), []string{"two", "gone"}},
		{"the register is out of date", primary(5, "one"), register(3, "gone"), []string{"one", "gone"}},
		{"the same epoch", primary(5, "one"), register(5, "two"), []string{"one", "two"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if names := newestPrimaryFirst(test.known, test.value); !slices.Equal(names, test.expected) {
				t.Errorf("got %v, want %v", names, test.expected)
			}
		})
	}
}
