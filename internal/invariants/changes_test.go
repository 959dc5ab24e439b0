package invariants_test

import (
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// TestChecksOfChanges: each check finds what it's for, and nothing where all is as it should be.
func TestChecksOfChanges(t *testing.T) {
	second := monotonic.Second
	sent := &invariants.Attempt{ID: "a", Key: "k", Sent: 10 * second, Ended: 11 * second, Mesh: true, Status: 502}
	run := invariants.Run{Attempt: "a", Key: "k", Service: "forms", At: 10 * second, Executed: true}
	other := invariants.Run{Attempt: "a", Key: "k", Service: "forms-next", At: 90 * second, Executed: true}
	applied := func(serial uint64, at monotonic.Micros) invariants.Applied {
		return invariants.Applied{Serial: serial, Outcome: "accepted", At: at * second, Sum: map[uint64]string{1: "one", 2: "two"}[serial]}
	}
	serves := func(serial uint64, sum string, at monotonic.Micros) invariants.Adopted {
		return invariants.Adopted{Carrier: "c", Serial: serial, Sum: sum, At: at * second}
	}
	counted := func(life uint64, verdict string, calls uint64, window int) invariants.Counted {
		return invariants.Counted{Carrier: "c", Life: life, Service: "s", Verdict: verdict, Calls: calls, Window: window}
	}
	for name, one := range map[string]struct {
		check   invariants.Check
		history *invariants.History
		found   int
	}{
		"a key that ran once":                  {invariants.KeysKept, &invariants.History{Attempts: []*invariants.Attempt{sent}, Runs: []invariants.Run{run}}, 0},
		"a key that ran nowhere":               {invariants.KeysKept, &invariants.History{Attempts: []*invariants.Attempt{sent}}, 1},
		"a key that ran on two services":       {invariants.KeysKept, &invariants.History{Attempts: []*invariants.Attempt{sent}, Runs: []invariants.Run{run, other}}, 1},
		"in a killed carrier's hand":           {invariants.KeysKept, &invariants.History{Attempts: []*invariants.Attempt{sent}, Notes: []invariants.Note{{What: invariants.Killed + "c", At: 10500000}}}, 0},
		"a carrier killed at another time":     {invariants.KeysKept, &invariants.History{Attempts: []*invariants.Attempt{sent}, Notes: []invariants.Note{{What: invariants.Killed + "c", At: 12 * second}}}, 1},
		"no key":                               {invariants.KeysKept, &invariants.History{}, 1},
		"taken up in time":                     {invariants.TakenUp, &invariants.History{Applies: []invariants.Applied{applied(1, 1), applied(2, 5)}, Adopted: []invariants.Adopted{serves(1, "one", 2), serves(1, "one", 7), serves(2, "two", 8)}}, 0},
		"taken up late":                        {invariants.TakenUp, &invariants.History{Applies: []invariants.Applied{applied(1, 1), applied(2, 5)}, Adopted: []invariants.Adopted{serves(1, "one", 8)}}, 1},
		"something else under the same serial": {invariants.TakenUp, &invariants.History{Applies: []invariants.Applied{applied(1, 1)}, Adopted: []invariants.Adopted{serves(1, "two", 2), serves(1, "two", 3)}}, 1},
		"counters that grow":                   {invariants.CountersKept, &invariants.History{Counts: []invariants.Counted{counted(1, "closed", 5, 5), counted(1, "closed", 9, 9), counted(1, "open", 9, 0), counted(2, "open", 0, 0)}}, 0},
		"a window that is forgotten":           {invariants.CountersKept, &invariants.History{Counts: []invariants.Counted{counted(1, "closed", 5, 5), counted(1, "closed", 6, 1)}}, 1},
		"calls that are forgotten":             {invariants.CountersKept, &invariants.History{Counts: []invariants.Counted{counted(1, "closed", 5, 5), counted(1, "open", 0, 0)}}, 1},
	} {
		if findings, _ := one.check.Run(one.history); len(findings) != one.found {
			t.Errorf("%s: %v", name, findings)
		}
	}
}
