package roll

import (
	"errors"
	"testing"

	"snowflow/internal/gazetteer"
	"snowflow/internal/mailround/world"
	"snowflow/internal/office"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

// TestOneAsksForAll: while the primary turns asks down, as between its take-over and its copies being in step, few of a carrier's
// waiting requests ask it; once it answers all of them have their answer soon, and one that leads in its place is found at once.
func TestOneAsksForAll(t *testing.T) {
	const waiters = 200
	for name, moves := range map[string]bool{"the same answers again": false, "another one does": true} {
		t.Run(name, func(t *testing.T) {
			simulated := world.New(1)
			defer simulated.Close()
			began := simulated.Now()
			asks, answered, late := 0, 0, postmark.Micros(0)
			well := func() bool { return simulated.Now()-began >= 3*postmark.Second }
			primary := func(name string, answers func() bool) func(place *world.Place) (office.Table, error) {
				return func(place *world.Place) (office.Table, error) {
					table := office.Table{}
					office.Handle(table, wire.Kind_claim, func(*wire.ClaimAsk) (*wire.ClaimTell, error) {
						if asks++; !answers() {
							return nil, errors.New("not the primary")
						}
						return &wire.ClaimTell{Outcome: "granted"}, nil
					})
					return table, nil
				}
			}
			simulated.Start(simulated.Add("first", "first", "first", primary("first", func() bool { return well() && !moves })))
			simulated.Start(simulated.Add("second", "second", "second", primary("second", well)))
			simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (office.Table, error) {
				book := gazetteer.New(place, nil, nil)
				book.Learn([]*wire.PeerAddress{{Name: "first", Address: "first", Group: sorters}, {Name: "second", Address: "second", Group: sorters}})
				book.Hint([]*wire.Primary{{Group: sorters, Epoch: 1, Name: "first"}})
				known := New(place, book, func() *wire.Session { return &wire.Session{} }, steady(place))
				for range waiters {
					place.Go(func() {
						if known.CallPrimary(wire.Kind_claim, &wire.ClaimAsk{}, &wire.ClaimTell{}, 5*postmark.Second) == nil {
							answered++
							late = max(late, simulated.Now()-began-3*postmark.Second)
						}
					})
				}
				if moves {
					place.Go(func() {
						place.Sleep(3 * postmark.Second)
						book.Hint([]*wire.Primary{{Group: sorters, Epoch: 2, Name: "second"}})
					})
				}
				return office.Table{}, nil
			}))
			simulated.Run(began + 6*postmark.Second)
			if simulated.Panicked != nil {
				t.Fatal(simulated.Panicked)
			}
			if most := 2*waiters + 3*20; asks > most {
				t.Errorf("%d asks by %d requests in 3 s", asks, waiters)
			}
			if answered != waiters || late > 400*postmark.Millisecond {
				t.Errorf("%d of %d are answered, the last one %d ms after the primary answers", answered, waiters, late/postmark.Millisecond)
			}
		})
	}
}

// TestHastyScout: an ask with little patience says nothing of a primary that gives no answer in it, so it doesn't let all go; one that
// waited for long does, as at a slow disk, where all asks are best in one batch.
func TestHastyScout(t *testing.T) {
	for _, row := range []struct {
		waited postmark.Micros
		goes   bool
	}{{50 * postmark.Millisecond, false}, {600 * postmark.Millisecond, true}} {
		known, now := &scout{}, postmark.Minute
		known.back(now, "first", seal.Refused.New("not the primary"), false, postmark.Millisecond)
		if goes, _, wait := known.turn(now, "first", nil); goes || wait != firstPause {
			t.Fatalf("the next ask goes: %v, waits %d", goes, wait)
		}
		now += firstPause
		if goes, alone, _ := known.turn(now, "first", nil); !goes || !alone {
			t.Fatal("nobody finds out")
		}
		if goes, _, _ := known.turn(now, "first", nil); goes {
			t.Fatal("a second one goes along")
		}
		now += row.waited
		known.back(now, "first", seal.Lost.New("no answer"), true, row.waited)
		if goes, _, _ := known.turn(now, "first", nil); goes != row.goes {
			t.Errorf("after a wait of %d ms in vain all go: %v", row.waited/postmark.Millisecond, goes)
		}
	}
}
