package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// checkDrainedBackends is rule 4: no request reaches a backend once the propagation limit has passed since the backend announced that
// it is draining.
func checkDrainedBackends(history *History) (findings []Finding, examined int) {
	departures := map[string]monotonic.Micros{}
	for _, departure := range history.Departures {
		if at, known := departures[departure.Instance]; !known || departure.At < at {
			departures[departure.Instance] = departure.At
		}
	}
	for _, request := range history.BackendRequests {
		if leftAt, known := departures[request.Instance]; known && request.At > leftAt+propagationLimit {
			findings = append(findings, ruleViolation(ruleDrainedBackends, "%s reached %s at %d, which had announced its departure at %d", request.AttemptID, request.Instance, request.At, leftAt))
		}
	}
	return findings, len(departures)
}

// checkPlannedStops is rule 9: during a planned change, which is the planned stop of any process or a new configuration, every request
// that a proxy has read gets a response.
func checkPlannedStops(history *History) (findings []Finding, examined int) {
	for _, attempt := range history.Attempts {
		index := slices.IndexFunc(history.PlannedChanges, func(change *PlannedChange) bool { return change.overlaps(attempt) })
		if index < 0 {
			continue
		}
		examined++
		if attempt.ReadByProxy && attempt.Status == 0 {
			findings = append(findings, ruleViolation(rulePlannedStops, "%s was read by %s and dropped without a response during: %s",
				attempt.ID, attempt.Proxy, history.PlannedChanges[index].What))
		}
	}
	return findings, examined
}

// overlaps reports whether an attempt was in flight during the change.
func (c *PlannedChange) overlaps(attempt *Attempt) bool {
	endedAfterStart := attempt.Ended == 0 || attempt.Ended >= c.From
	sentBeforeEnd := c.Until == 0 || attempt.Sent <= c.Until
	return endedAfterStart && sentBeforeEnd
}
