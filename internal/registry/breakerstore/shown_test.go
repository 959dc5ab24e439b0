package breakerstore_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// asker is a carrier as far as guards' records go.
type asker struct {
	source, version uint64
	records         map[string]*wire.BreakerRecord
}

func (asker *asker) take(change breakerstore.Change) {
	if !change.Changes {
		asker.records = map[string]*wire.BreakerRecord{}
	}
	for _, record := range change.Records {
		asker.records[record.Service] = record
	}
	asker.source, asker.version = change.Source, change.Version
}

func (asker *asker) same(table *breakerstore.Table) bool {
	return maps.EqualFunc(asker.records, byService(table), func(one, other *wire.BreakerRecord) bool { return proto.Equal(one, other) })
}

func byService(table *breakerstore.Table) map[string]*wire.BreakerRecord {
	records := map[string]*wire.BreakerRecord{}
	for _, record := range table.Records() {
		records[record.Service] = record
	}
	return records
}

// TestShownByChanges: a carrier that is told only what changed has the same records as one that is told all, whatever trips, probes,
// waits and ends go over the table, whichever answers are lost, whoever leads, and also after a copy was replaced by another.
func TestShownByChanges(t *testing.T) {
	terms := &wire.BreakerSettings{WaitOpen: 50, Permitted: 2, FailureRate: 0.5, ProbeLease: 30, StateTtl: 400}
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		tables := []*breakerstore.Table{breakerstore.New(), breakerstore.New()}
		shown := []*breakerstore.Shown{breakerstore.NewShown(1), breakerstore.NewShown(2)}
		askers := []*asker{{}, {}, {}}
		leader, now, saved, quiet := 0, monotonic.Micros(0), 0, 0
		for step := range 600 {
			now += monotonic.Micros(random.IntN(8))
			table := tables[leader]
			service, carrier := fmt.Sprintf("service-%d", random.IntN(12)), fmt.Sprintf("carrier-%d", random.IntN(3))
			switch random.IntN(8) {
			case 0, 1:
				serial := uint64(1)
				if record := byService(table)[service]; record != nil {
					serial = record.Version
				}
				table.Write(&wire.BreakerWriteRequest{Service: service, Verb: "trip", Proxy: carrier, ExpectedVersion: serial, Active: []string{carrier}, Settings: terms}, now)
			case 2:
				table.Lease(&wire.ProbeLeaseRequest{Service: service, Proxy: carrier, Id: fmt.Sprint(step), Active: []string{carrier}}, now)
			case 3:
				table.Sweep([]*wire.MemberID{{Name: carrier, Incarnation: 1}}, now)
			case 4:
				if random.IntN(20) > 0 {
					break
				}
				// The other copy leads now, from what this one had, or from nothing, as after a loss of all.
				leader = 1 - leader
				records := table.Records()
				if random.IntN(4) == 0 {
					records = records[:len(records)/2]
				}
				tables[leader].Restore(records)
			default:
				one := askers[random.IntN(len(askers))]
				shown[leader].Look(table)
				change := shown[leader].Since(one.source, one.version)
				if random.IntN(4) == 0 {
					break // the answer is lost
				}
				one.take(change)
				if !one.same(table) {
					t.Fatalf("seed %d, step %d: a carrier told by changes has other records", seed, step)
				}
				if change.Changes {
					saved++
					if again := shown[leader].Since(one.source, one.version); len(again.Records) > 0 || !again.Changes {
						t.Fatalf("seed %d, step %d: what was just taken is told again", seed, step)
					}
					if len(change.Records) < len(table.Records()) {
						quiet++
					}
				}
			}
		}
		if saved == 0 || quiet == 0 {
			t.Errorf("seed %d: %d answers were changes, %d of them with less than all", seed, saved, quiet)
		}
	}
}

// TestShownLess: with many records of which one changes, a carrier is told that one.
func TestShownLess(t *testing.T) {
	table, shown, one := breakerstore.New(), breakerstore.NewShown(7), &asker{}
	terms := &wire.BreakerSettings{WaitOpen: 50, Permitted: 2, FailureRate: 0.5, ProbeLease: 30, StateTtl: 400}
	trip := func(service, carrier string) {
		table.Write(&wire.BreakerWriteRequest{Service: service, Verb: "trip", Proxy: carrier, ExpectedVersion: 1, Active: []string{carrier, "other"}, Settings: terms}, 1)
	}
	for index := range 580 {
		trip(fmt.Sprintf("service-%d", index), "first")
	}
	for step, wanted := range []int{580, 0, 1} {
		if step == 2 {
			trip("service-17", "second")
		}
		shown.Look(table)
		change := shown.Since(one.source, one.version)
		if len(change.Records) != wanted || change.Changes != (step > 0) {
			t.Errorf("step %d: %d records, changes: %v", step, len(change.Records), change.Changes)
		}
		one.take(change)
	}
	if stranger := shown.Since(8, one.version); stranger.Changes || len(stranger.Records) != 580 {
		t.Errorf("of another life's version %d records are told", len(stranger.Records))
	}
}
