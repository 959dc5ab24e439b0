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

// TestRuleClauses checks each rule against the short histories in testdata/clauses: for each clause of a rule, one history that
// violates it and then, in the same history or the next one, similar observations that do not. Each line holds the kind of an
// observation and its fields as JSON. Times are in seconds.
func TestRuleClauses(t *testing.T) {
	datadriven.RunTest(t, "testdata/clauses", func(t *testing.T, data *datadriven.TestData) string {
		rule := 0
		data.ScanArgs(t, "rule", &rule)
		history := &invariants.History{RetryAllowance: 1, ReadBackComplete: true}
		for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
			kind, fields, _ := strings.Cut(line, " ")
			if recorders[kind] == nil {
				t.Fatalf("unknown kind of observation: %q", kind)
			}
			recorders[kind](t, history, fields)
		}
		findings, examined := invariants.CheckRules(history, rule)
		text := fmt.Sprintf("examined %d\n", examined[rule])
		for _, finding := range findings {
			text += finding.String() + "\n"
		}
		return text
	})
}

// recordJSON decodes a line's fields, fails the test on unknown ones, and adds the observation to the history.
type recordJSON func(t *testing.T, history *invariants.History, fields string)

func recorder[Observation any](add func(history *invariants.History, observation Observation)) recordJSON {
	return func(t *testing.T, history *invariants.History, fields string) {
		t.Helper()
		var observation Observation
		decoder := json.NewDecoder(strings.NewReader(fields))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&observation); err != nil {
			t.Fatalf("%s: %v", fields, err)
		}
		add(history, observation)
	}
}

// allowedRoute holds the arguments of History.AllowRoute.
type allowedRoute struct {
	Kind, Service string
	At            monotonic.Micros
}

// repeatedAttempts stands for Count attempts at the same time, the first Failed of which are rejected.
type repeatedAttempts struct {
	Count, Failed int
	invariants.Attempt
}

// repeatedReadings stands for equal readings of a breaker record, the first at At, then every 100 ms until Until.
type repeatedReadings struct {
	Until monotonic.Micros
	invariants.BreakerObservation
}

var recorders = map[string]recordJSON{
	"attempt": recorder(func(history *invariants.History, attempt invariants.Attempt) {
		recordAttempt(history, attempt)
	}),
	"attempts": recorder(func(history *invariants.History, attempts repeatedAttempts) {
		for number := range attempts.Count {
			attempt := attempts.Attempt
			attempt.ID = fmt.Sprintf("%s-%d", attempt.ID, number)
			if number < attempts.Failed {
				attempt.Status, attempt.RejectedByMesh = 503, true
			}
			recordAttempt(history, attempt)
		}
	}),
	"run": recorder(func(history *invariants.History, request invariants.BackendRequest) {
		request.At *= monotonic.Second
		history.RecordBackendRequest(request)
	}),
	"departure": recorder(func(history *invariants.History, departure invariants.Departure) {
		history.RecordDeparture(departure.Instance, departure.At*monotonic.Second)
	}),
	"allow": recorder(func(history *invariants.History, route allowedRoute) {
		history.AllowRoute(route.Kind, route.Service, route.At*monotonic.Second)
	}),
	"active": recorder(func(history *invariants.History, active invariants.ActiveConfig) {
		history.RecordActiveVersion(active.Proxy, active.Version, active.At*monotonic.Second)
	}),
	"mark": recorder(func(history *invariants.History, marker invariants.Marker) {
		history.RecordMarker(marker.What, marker.At*monotonic.Second)
	}),
	"readback": recorder(func(history *invariants.History, read invariants.ReadBack) {
		history.ReadBack = append(history.ReadBack, read)
	}),
	"planned": recorder(func(history *invariants.History, change invariants.PlannedChange) {
		end := history.BeginPlannedChange(change.What, change.From*monotonic.Second)
		end(change.Until * monotonic.Second)
	}),
	"applied": recorder(func(history *invariants.History, applied invariants.AppliedConfig) {
		applied.At *= monotonic.Second
		history.RecordApply(applied)
	}),
	"breaker": recorder(func(history *invariants.History, readings repeatedReadings) {
		reading := readings.BreakerObservation
		for _, seconds := range []*monotonic.Micros{&reading.At, &reading.EnteredAt, &reading.ExpiresAt, &reading.Wait, &reading.ProbeLease} {
			*seconds *= monotonic.Second
		}
		until := max(reading.At, readings.Until*monotonic.Second)
		for ; reading.At <= until; reading.At += 100 * monotonic.Millisecond {
			history.RecordBreaker(reading)
		}
	}),
}

// recordAttempt records an attempt with times in seconds.
func recordAttempt(history *invariants.History, attempt invariants.Attempt) {
	attempt.Sent *= monotonic.Second
	attempt.Ended *= monotonic.Second
	history.RecordAttempt(&attempt)
}
