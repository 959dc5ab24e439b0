package inspector_test

import (
	"testing"

	"snowflow/internal/inspector"
	"snowflow/internal/postmark"
)

// TestChecksOfChanges: each check finds what it's for, and nothing where all is as it should be.
func TestChecksOfChanges(t *testing.T) {
	second := postmark.Second
	sent := &inspector.Attempt{ID: "a", Key: "k", Sent: 10 * second, Ended: 11 * second, Mesh: true, Status: 502}
	run := inspector.Run{Attempt: "a", Key: "k", Service: "forms", At: 10 * second, Executed: true}
	other := inspector.Run{Attempt: "a", Key: "k", Service: "forms-next", At: 90 * second, Executed: true}
	applied := func(serial uint64, at postmark.Micros) inspector.Applied {
		return inspector.Applied{Serial: serial, Outcome: "accepted", At: at * second, Sum: map[uint64]string{1: "one", 2: "two"}[serial]}
	}
	serves := func(serial uint64, sum string, at postmark.Micros) inspector.Adopted {
		return inspector.Adopted{Carrier: "c", Serial: serial, Sum: sum, At: at * second}
	}
	counted := func(life uint64, verdict string, calls uint64, window int) inspector.Counted {
		return inspector.Counted{Carrier: "c", Life: life, Service: "s", Verdict: verdict, Calls: calls, Window: window}
	}
	for name, one := range map[string]struct {
		check   inspector.Check
		history *inspector.History
		found   int
	}{
		"a key that ran once":                  {inspector.KeysKept, &inspector.History{Attempts: []*inspector.Attempt{sent}, Runs: []inspector.Run{run}}, 0},
		"a key that ran nowhere":               {inspector.KeysKept, &inspector.History{Attempts: []*inspector.Attempt{sent}}, 1},
		"a key that ran on two services":       {inspector.KeysKept, &inspector.History{Attempts: []*inspector.Attempt{sent}, Runs: []inspector.Run{run, other}}, 1},
		"in a killed carrier's hand":           {inspector.KeysKept, &inspector.History{Attempts: []*inspector.Attempt{sent}, Notes: []inspector.Note{{What: inspector.Killed + "c", At: 10500000}}}, 0},
		"a carrier killed at another time":     {inspector.KeysKept, &inspector.History{Attempts: []*inspector.Attempt{sent}, Notes: []inspector.Note{{What: inspector.Killed + "c", At: 12 * second}}}, 1},
		"no key":                               {inspector.KeysKept, &inspector.History{}, 1},
		"taken up in time":                     {inspector.TakenUp, &inspector.History{Applies: []inspector.Applied{applied(1, 1), applied(2, 5)}, Adopted: []inspector.Adopted{serves(1, "one", 2), serves(1, "one", 7), serves(2, "two", 8)}}, 0},
		"taken up late":                        {inspector.TakenUp, &inspector.History{Applies: []inspector.Applied{applied(1, 1), applied(2, 5)}, Adopted: []inspector.Adopted{serves(1, "one", 8)}}, 1},
		"something else under the same serial": {inspector.TakenUp, &inspector.History{Applies: []inspector.Applied{applied(1, 1)}, Adopted: []inspector.Adopted{serves(1, "two", 2), serves(1, "two", 3)}}, 1},
		"counters that grow":                   {inspector.CountersKept, &inspector.History{Counts: []inspector.Counted{counted(1, "closed", 5, 5), counted(1, "closed", 9, 9), counted(1, "open", 9, 0), counted(2, "open", 0, 0)}}, 0},
		"a window that is forgotten":           {inspector.CountersKept, &inspector.History{Counts: []inspector.Counted{counted(1, "closed", 5, 5), counted(1, "closed", 6, 1)}}, 1},
		"calls that are forgotten":             {inspector.CountersKept, &inspector.History{Counts: []inspector.Counted{counted(1, "closed", 5, 5), counted(1, "open", 0, 0)}}, 1},
	} {
		if findings, _ := one.check.Run(one.history); len(findings) != one.found {
			t.Errorf("%s: %v", name, findings)
		}
	}
}
