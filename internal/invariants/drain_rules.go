package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// checkNothingAfterLeaving is rule 4: no request reaches a backend later than the propagation limit after it announced that
// it is draining.
func checkNothingAfterLeaving(history *History) (findings []Finding, seen int) {
	departures := map[string]monotonic.Micros{}
	for _, departure := range history.Departures {
		if at, known := departures[departure.Instance]; !known || departure.At < at {
			departures[departure.Instance] = departure.At
		}
	}
	for _, run := range history.BackendRequests {
		if leftAt, known := departures[run.Instance]; known && run.At > leftAt+propagationLimit {
			findings = append(findings, ruleViolation(ruleDrainedBackends, "%s reached %s at %d, which left at %d", run.Attempt, run.Instance, run.At, leftAt))
		}
	}
	return findings, len(departures)
}

// checkPlannedStops is rule 9: during a planned change anywhere, the stop of a process or a new configuration, every request
// that a proxy has read gets a response.
func checkPlannedStops(history *History) (findings []Finding, seen int) {
	for _, attempt := range history.Attempts {
		index := slices.IndexFunc(history.PlannedChanges, func(change *PlannedChange) bool { return change.overlaps(attempt) })
		if index < 0 {
			continue
		}
		seen++
		if attempt.ReadByProxy && attempt.Status == 0 {
			findings = append(findings, ruleViolation(rulePlannedStops, "%s was read by %s and dropped without a response during: %s",
				attempt.ID, attempt.Proxy, history.PlannedChanges[index].What))
		}
	}
	return findings, seen
}

// overlaps reports whether an attempt was in flight during the change.
func (c *PlannedChange) overlaps(attempt *Attempt) bool {
	endedAfterStart := attempt.Ended == 0 || attempt.Ended >= c.From
	sentBeforeEnd := c.Until == 0 || attempt.Sent <= c.Until
	return endedAfterStart && sentBeforeEnd
}
