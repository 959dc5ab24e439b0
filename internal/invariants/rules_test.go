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

// TestRuleClauses shows each rule's checker short histories, written by hand: for each clause one that breaks it, and beside it
// the nearest one that doesn't. A line is what was seen and its fields as JSON; times are in seconds.
func TestRuleClauses(t *testing.T) {
	datadriven.RunTest(t, "testdata/clauses", func(t *testing.T, data *datadriven.TestData) string {
		rule := 0
		data.ScanArgs(t, "rule", &rule)
		history := &invariants.History{RetryAllowance: 1, ReadBackComplete: true}
		for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
			word, fields, _ := strings.Cut(line, " ")
			if recorders[word] == nil {
				t.Fatalf("nobody sees a %q", word)
			}
			recorders[word](t, history, []byte(fields))
		}
		findings, seen := invariants.Inspect(history, rule)
		text := fmt.Sprintf("looked at %d\n", seen[rule])
		for _, finding := range findings {
			text += finding.String() + "\n"
		}
		return text
	})
}

func recorder[Seen any](add func(history *invariants.History, seen Seen)) func(t *testing.T, history *invariants.History, fields []byte) {
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
type allowedRoute struct {
	Kind, Service string
	At            monotonic.Micros
}

var recorders = map[string]func(t *testing.T, history *invariants.History, fields []byte){
	"attempt": recorder(func(history *invariants.History, seen invariants.Attempt) {
		seen.Sent, seen.Ended = seen.Sent*monotonic.Second, seen.Ended*monotonic.Second
		history.RecordAttempt(&seen)
	}),
	"attempts": recorder(func(history *invariants.History, seen struct {
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
			history.RecordAttempt(&each)
		}
	}),
	"run": recorder(func(history *invariants.History, seen invariants.Run) {
		seen.At *= monotonic.Second
		history.RecordRun(seen)
	}),
	"left": recorder(func(history *invariants.History, seen invariants.Departure) {
		history.RecordDeparture(seen.Instance, seen.At*monotonic.Second)
	}),
	"allow": recorder(func(history *invariants.History, seen allowedRoute) {
		history.AllowRoute(seen.Kind, seen.Service, seen.At*monotonic.Second)
	}),
	"adopted": recorder(func(history *invariants.History, seen invariants.ActiveConfig) {
		history.RecordActiveVersion(seen.Proxy, seen.Version, seen.At*monotonic.Second)
	}),
	"mark": recorder(func(history *invariants.History, seen invariants.Marker) {
		history.RecordMarker(seen.What, seen.At*monotonic.Second)
	}),
	"readback": recorder(func(history *invariants.History, seen invariants.ReadBack) {
		history.ReadBack = append(history.ReadBack, seen)
	}),
	"planned": recorder(func(history *invariants.History, seen invariants.PlannedChange) {
		history.BeginPlannedChange(seen.What, seen.From*monotonic.Second)(seen.Until * monotonic.Second)
	}),
	"applied": recorder(func(history *invariants.History, seen invariants.AppliedConfig) {
		seen.At *= monotonic.Second
		history.RecordApply(seen)
	}),
	// guard is read once at At, or every tenth of a second up to Until.
	"guard": recorder(func(history *invariants.History, seen struct {
		Until monotonic.Micros
		invariants.BreakerObservation
	}) {
		record := seen.BreakerObservation
		for _, span := range []*monotonic.Micros{&record.At, &record.EnteredAt, &record.ExpiresAt, &record.Wait, &record.ProbeLease} {
			*span *= monotonic.Second
		}
		for until := max(record.At, seen.Until*monotonic.Second); record.At <= until; record.At += 100 * monotonic.Millisecond {
			history.RecordBreaker(record)
		}
	}),
}
