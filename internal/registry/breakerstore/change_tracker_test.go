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

// proxyClient maintains its breaker records from updates, as a polling proxy does.
type proxyClient struct {
	source, version uint64
	records         map[string]*wire.BreakerRecord
}

func (c *proxyClient) apply(change breakerstore.Change) {
	if !change.Incremental {
		c.records = map[string]*wire.BreakerRecord{}
	}
	for _, record := range change.Records {
		c.records[record.Service] = record
	}
	c.source, c.version = change.Source, change.Version
}

func (c *proxyClient) matches(table *breakerstore.Table) bool {
	return maps.EqualFunc(c.records, byService(table), func(first, second *wire.BreakerRecord) bool { return proto.Equal(first, second) })
}

func byService(table *breakerstore.Table) map[string]*wire.BreakerRecord {
	records := map[string]*wire.BreakerRecord{}
	for _, record := range table.Records() {
		records[record.Service] = record
	}
	return records
}

// TestIncrementalUpdatesMatchFullUpdates checks that a proxy that gets incremental updates holds the same records as the table, under
// random trips, probes, waits, ended sessions, lost responses, leader changes and replicas restored from a snapshot.
func TestIncrementalUpdatesMatchFullUpdates(t *testing.T) {
	settings := &wire.BreakerSettings{WaitOpen: 50, Permitted: 2, FailureRate: 0.5, ProbeLease: 30, StateTtl: 400}
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		tables := []*breakerstore.Table{breakerstore.New(), breakerstore.New()}
		trackers := []*breakerstore.ChangeTracker{breakerstore.NewChangeTracker(1), breakerstore.NewChangeTracker(2)}
		clients := []*proxyClient{{}, {}, {}}
		leader, now, incrementalUpdates, partialUpdates := 0, monotonic.Micros(0), 0, 0
		for step := range 600 {
			now += monotonic.Micros(random.IntN(8))
			table := tables[leader]
			service, proxy := fmt.Sprintf("service-%d", random.IntN(12)), fmt.Sprintf("proxy-%d", random.IntN(3))
			switch random.IntN(8) {
			case 0, 1:
				version := uint64(1)
				if record := byService(table)[service]; record != nil {
					version = record.Version
				}
				table.Write(&wire.BreakerWriteRequest{Service: service, Verb: breakerstore.VerbTrip, Proxy: proxy, ExpectedVersion: version, Active: []string{proxy}, Settings: settings}, now)
			case 2:
				table.LeaseProbe(&wire.ProbeLeaseRequest{Service: service, Proxy: proxy, Id: fmt.Sprint(step), Active: []string{proxy}}, now)
			case 3:
				table.Sweep([]*wire.MemberID{{Name: proxy, Incarnation: 1}}, now)
			case 4:
				if random.IntN(20) > 0 {
					break
				}
				// The other replica becomes the leader. It has this one's records, or half of them, as after data loss.
				leader = 1 - leader
				records := table.Records()
				if random.IntN(4) == 0 {
					records = records[:len(records)/2]
				}
				tables[leader].Restore(records)
			default:
				client := clients[random.IntN(len(clients))]
				trackers[leader].Observe(table)
				change := trackers[leader].Since(client.source, client.version)
				if random.IntN(4) == 0 {
					break // the response is lost
				}
				client.apply(change)
				if !client.matches(table) {
					t.Fatalf("seed %d, step %d: the records of a proxy with incremental updates differ", seed, step)
				}
				if change.Incremental {
					incrementalUpdates++
					if again := trackers[leader].Since(client.source, client.version); len(again.Records) > 0 || !again.Incremental {
						t.Fatalf("seed %d, step %d: a change that was just applied is sent again", seed, step)
					}
					if len(change.Records) < len(table.Records()) {
						partialUpdates++
					}
				}
			}
		}
		if incrementalUpdates == 0 || partialUpdates == 0 {
			t.Errorf("seed %d: %d incremental updates, %d of them with fewer than all records", seed, incrementalUpdates, partialUpdates)
		}
	}
}

// TestOnlyChangedRecordsAreSent checks that only the changed one of many records is sent.
func TestOnlyChangedRecordsAreSent(t *testing.T) {
	table, tracker, client := breakerstore.New(), breakerstore.NewChangeTracker(7), &proxyClient{}
	settings := &wire.BreakerSettings{WaitOpen: 50, Permitted: 2, FailureRate: 0.5, ProbeLease: 30, StateTtl: 400}
	reportTrip := func(service, proxy string) {
		table.Write(&wire.BreakerWriteRequest{Service: service, Verb: breakerstore.VerbTrip, Proxy: proxy, ExpectedVersion: 1, Active: []string{proxy, "other"}, Settings: settings}, 1)
	}
	for index := range 580 {
		reportTrip(fmt.Sprintf("service-%d", index), "first")
	}
	for step, want := range []int{580, 0, 1} {
		if step == 2 {
			reportTrip("service-17", "second")
		}
		tracker.Observe(table)
		change := tracker.Since(client.source, client.version)
		if len(change.Records) != want || change.Incremental != (step > 0) {
			t.Errorf("step %d: %d records, incremental: %v", step, len(change.Records), change.Incremental)
		}
		client.apply(change)
	}
	if unknown := tracker.Since(8, client.version); unknown.Incremental || len(unknown.Records) != 580 {
		t.Errorf("for a version of another incarnation, %d records are sent", len(unknown.Records))
	}
}
