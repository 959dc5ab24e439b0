package counterfoil_test

import (
	"testing"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/sorter/counterfoil"
)

// TestSetLife: a claim is held for as long as its table's life, a restored one too.
func TestSetLife(t *testing.T) {
	for _, life := range []postmark.Micros{counterfoil.Life, 270 * postmark.Second} {
		table := counterfoil.New()
		table.Life = life
		ask := func(try string, now postmark.Micros) string {
			return table.Claim(&wire.ClaimAsk{Scope: "one", Try: try, Carrier: "c", Incarnation: 1, Digest: []byte("d")}, now).Outcome
		}
		start := postmark.Minute
		if told := ask("first", start); told != counterfoil.Granted {
			t.Fatal(told)
		}
		table.Restore(table.Records())
		table.Sweep(start + life - 1)
		if told := ask("second", start+life-1); told != counterfoil.Held {
			t.Errorf("life %d: %s before its end", life, told)
		}
		table.Sweep(start + life)
		if told := ask("third", start+life); told != counterfoil.Granted {
			t.Errorf("life %d: %s after its end", life, told)
		}
	}
}
