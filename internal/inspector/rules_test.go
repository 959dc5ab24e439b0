package inspector_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/inspector"
	"snowflow/internal/postmark"
)

// TestClauses shows each rule's checker short histories, written by hand: for each clause one that breaks it, and beside it
// the nearest one that doesn't. A line is what was seen and its fields as JSON; times are in seconds.
func TestClauses(t *testing.T) {
	datadriven.RunTest(t, "testdata/clauses", func(t *testing.T, data *datadriven.TestData) string {
		rule := 0
		data.ScanArgs(t, "rule", &rule)
		history := &inspector.History{Allowance: 1, Read: true}
		for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
			word, fields, _ := strings.Cut(line, " ")
			if note[word] == nil {
				t.Fatalf("nobody sees a %q", word)
			}
			note[word](t, history, []byte(fields))
		}
		findings, seen := inspector.Inspect(history, rule)
		text := fmt.Sprintf("looked at %d\n", seen[rule])
		for _, finding := range findings {
			text += finding.String() + "\n"
		}
		return text
	})
}

func take[Seen any](add func(history *inspector.History, seen Seen)) func(t *testing.T, history *inspector.History, fields []byte) {
	return func(t *testing.T, history *inspector.History, fields []byte) {
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
	At            postmark.Micros
}

var note = map[string]func(t *testing.T, history *inspector.History, fields []byte){
	"attempt": take(func(history *inspector.History, seen inspector.Attempt) {
		seen.Sent, seen.Ended = seen.Sent*postmark.Second, seen.Ended*postmark.Second
		history.Send(&seen)
	}),
	"attempts": take(func(history *inspector.History, seen struct {
		Count, Failed int
		inspector.Attempt
	}) {
		for number := range seen.Count {
			each := seen.Attempt
			each.ID = fmt.Sprintf("%s-%d", each.ID, number)
			each.Sent, each.Ended = each.Sent*postmark.Second, each.Ended*postmark.Second
			if number < seen.Failed {
				each.Status, each.Mesh = 503, true
			}
			history.Send(&each)
		}
	}),
	"run": take(func(history *inspector.History, seen inspector.Run) {
		seen.At *= postmark.Second
		history.Ran(seen)
	}),
	"left": take(func(history *inspector.History, seen inspector.Left) {
		history.Leave(seen.Instance, seen.At*postmark.Second)
	}),
	"allow": take(func(history *inspector.History, seen allowed) {
		history.Allow(seen.Kind, seen.Service, seen.At*postmark.Second)
	}),
	"adopted": take(func(history *inspector.History, seen inspector.Adopted) {
		history.Adopt(seen.Carrier, seen.Serial, seen.At*postmark.Second)
	}),
	"mark": take(func(history *inspector.History, seen inspector.Note) {
		history.Mark(seen.What, seen.At*postmark.Second)
	}),
	"readback": take(func(history *inspector.History, seen inspector.ReadBack) {
		history.ReadBack = append(history.ReadBack, seen)
	}),
	"planned": take(func(history *inspector.History, seen inspector.Planned) {
		history.Plan(seen.What, seen.From*postmark.Second)(seen.Until * postmark.Second)
	}),
	"applied": take(func(history *inspector.History, seen inspector.Applied) {
		seen.At *= postmark.Second
		history.Apply(seen)
	}),
	// guard is read once at At, or every tenth of a second up to Until.
	"guard": take(func(history *inspector.History, seen struct {
		Until postmark.Micros
		inspector.GuardSeen
	}) {
		record := seen.GuardSeen
		for _, span := range []*postmark.Micros{&record.At, &record.Entered, &record.Expires, &record.Wait, &record.Tenure} {
			*span *= postmark.Second
		}
		for until := max(record.At, seen.Until*postmark.Second); record.At <= until; record.At += 100 * postmark.Millisecond {
			history.See(record)
		}
	}),
}
