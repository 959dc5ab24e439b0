package invariants

import (
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/monotonic"
)

// attemptCounts are the first attempts and the retries that a service's backends saw in the retry window that ends at a time.
type attemptCounts struct {
	first, retries int
	until          monotonic.Micros
}

func (c *attemptCounts) add(run BackendRequest, change int) {
	if run.AttemptNumber <= 1 {
		c.first += change
	} else {
		c.retries += change
	}
}

// runsByService groups all runs by their service, each group in the order of time.
func (h *History) runsByService() map[string][]BackendRequest {
	services := map[string][]BackendRequest{}
	for _, run := range sortedByTime(h.BackendRequests) {
		services[run.Service] = append(services[run.Service], run)
	}
	return services
}

// slideRetryWindow calls visit for each run, with the counts of the retry window that ends with it. runs are in the order of
// time.
func slideRetryWindow(runs []BackendRequest, visit func(counts attemptCounts)) {
	counts, start := attemptCounts{}, 0
	for _, run := range runs {
		counts.add(run, 1)
		for run.At-runs[start].At > retryWindow {
			counts.add(runs[start], -1)
			start++
		}
		counts.until = run.At
		visit(counts)
	}
}

// checkRetryBudget is rule 8: within any retry window, the retries that reach a service stay within the permitted share of its
// first attempts plus the allowance. Only the worst window of a service is reported.
func checkRetryBudget(history *History) (findings []Finding, seen int) {
	services := history.runsByService()
	for _, name := range slices.Sorted(maps.Keys(services)) {
		highestExcess, highest := 0.0, attemptCounts{}
		slideRetryWindow(services[name], func(counts attemptCounts) {
			excess := float64(counts.retries) - maxRetryRatio*float64(counts.first) - float64(history.RetryAllowance)
			if excess > highestExcess {
				highestExcess, highest = excess, counts
			}
		})
		if highestExcess > 0 {
			findings = append(findings, ruleViolation(ruleRetryBudget, "%s had %d retries and %d first attempts in the 10 s up to %d",
				name, highest.retries, highest.first, highest.until))
		}
	}
	return findings, len(history.BackendRequests)
}

// minFirstAttempts is how many first attempts a window needs for its ratio to be reported.
const minFirstAttempts = 20

// HighestRetryRatios returns for each service the window with the highest ratio of retries to first attempts, written as
// "retries/first attempts", for the reports of rehearsals. Services without a window of enough first attempts are left out.
func HighestRetryRatios(history *History) map[string]string {
	history.lock.Lock()
	defer history.lock.Unlock()
	ratios := map[string]string{}
	for name, runs := range history.runsByService() {
		highest := 0.0
		slideRetryWindow(runs, func(counts attemptCounts) {
			ratio := float64(counts.retries) / float64(max(1, counts.first))
			if counts.first >= minFirstAttempts && ratio >= highest {
				highest, ratios[name] = ratio, fmt.Sprintf("%d/%d", counts.retries, counts.first)
			}
		})
	}
	return ratios
}
