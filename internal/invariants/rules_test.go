package invariants_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// TestClauses shows each rule's checker short histories, written by hand: for each clause one that breaks it, and beside it
// the nearest one that doesn't. A line is what was seen and its fields as JSON; times are in seconds.
func TestClauses(t *testing.T) {
	datadriven.RunTest(t, "testdata/clauses", func(t *testing.T, data *datadriven.TestData) string {
		rule := 0
		data.ScanArgs(t, "rule", &rule)
		history := &invariants.History{Allowance: 1, Read: true}
		for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
			word, fields, _ := strings.Cut(line, " ")
			if note[word] == nil {
				t.Fatalf("nobody sees a %q", word)
			}
			note[word](t, history, []byte(fields))
		}
		findings, seen := invariants.Inspect(history, rule)
		text := fmt.Sprintf("looked at %d\n", seen[rule])
		for _, finding := range findings {
			text += finding.String() + "\n"
		}
		return text
	})
}

func take[Seen any](add func(history *invariants.History, seen Seen)) func(t *testing.T, history *invariants.History, fields []byte) {
	return func(t *testing.T, history *invariants.History, fields []byte) {
		var seen Seen
		decoder := json.NewDecoder(strings.NewReader(string(fields)))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&seen); err != nil {
			t.Fatalf("%s: %v", fields, err)
		}
		add(history, seen)
	}
}

// allowed is a kind of traffic that a configuration sends to a service.
type allowed struct {
	Kind, Service string
	At            monotonic.Micros
}

var note = map[string]func(t *testing.T, history *invariants.History, fields []byte){
	"attempt": take(func(history *invariants.History, seen invariants.Attempt) {
		seen.Sent, seen.Ended = seen.Sent*monotonic.Second, seen.Ended*monotonic.Second
		history.Send(&seen)
	}),
	"attempts": take(func(history *invariants.History, seen struct {
		Count, Failed int
		invariants.Attempt
	}) {
		for number := range seen.Count {
			each := seen.Attempt
			each.ID = fmt.Sprintf("%s-%d", each.ID, number)
			each.Sent, each.Ended = each.Sent*monotonic.Second, each.Ended*monotonic.Second
			if number < seen.Failed {
				each.Status, each.Mesh = 503, true
			}
			history.Send(&each)
		}
	}),
	"run": take(func(history *invariants.History, seen invariants.Run) {
		seen.At *= monotonic.Second
		history.Ran(seen)
	}),
	"left": take(func(history *invariants.History, seen invariants.Left) {
		history.Leave(seen.Instance, seen.At*monotonic.Second)
	}),
	"allow": take(func(history *invariants.History, seen allowed) {
		history.Allow(seen.Kind, seen.Service, seen.At*monotonic.Second)
	}),
	"adopted": take(func(history *invariants.History, seen invariants.Adopted) {
		history.Adopt(seen.Carrier, seen.Serial, seen.At*monotonic.Second)
	}),
	"mark": take(func(history *invariants.History, seen invariants.Note) {
		history.Mark(seen.What, seen.At*monotonic.Second)
	}),
	"readback": take(func(history *invariants.History, seen invariants.ReadBack) {
		history.ReadBack = append(history.ReadBack, seen)
	}),
	"planned": take(func(history *invariants.History, seen invariants.Planned) {
		history.Plan(seen.What, seen.From*monotonic.Second)(seen.Until * monotonic.Second)
	}),
	"applied": take(func(history *invariants.History, seen invariants.Applied) {
		seen.At *= monotonic.Second
		history.Apply(seen)
	}),
	// guard is read once at At, or every tenth of a second up to Until.
	"guard": take(func(history *invariants.History, seen struct {
		Until monotonic.Micros
		invariants.GuardSeen
	}) {
		record := seen.GuardSeen
		for _, span := range []*monotonic.Micros{&record.At, &record.Entered, &record.Expires, &record.Wait, &record.Tenure} {
			*span *= monotonic.Second
		}
		for until := max(record.At, seen.Until*monotonic.Second); record.At <= until; record.At += 100 * monotonic.Millisecond {
			history.See(record)
		}
	}),
}
