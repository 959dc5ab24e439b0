package invariants

import (
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/monotonic"
)

// attemptCounts counts the first attempts and the retries that reached a service's backends in the retry window that ends at until.
type attemptCounts struct {
	first, retries int
	until          monotonic.Micros
}

func (c *attemptCounts) add(request BackendRequest, change int) {
	if request.AttemptNumber <= 1 {
		c.first += change
	} else {
		c.retries += change
	}
}

// requestsByService groups all requests by service, each group sorted by time.
func (h *History) requestsByService() map[string][]BackendRequest {
	services := map[string][]BackendRequest{}
	for _, request := range sortedByTime(h.BackendRequests) {
		services[request.Service] = append(services[request.Service], request)
	}
	return services
}

// slideRetryWindow calls visit for each request, with the counts of the retry window that ends with it. requests must be sorted by
// time.
func slideRetryWindow(requests []BackendRequest, visit func(counts attemptCounts)) {
	counts, start := attemptCounts{}, 0
	for _, request := range requests {
		counts.add(request, 1)
		for request.At-requests[start].At > retryWindow {
			counts.add(requests[start], -1)
			start++
		}
		counts.until = request.At
		visit(counts)
	}
}

// checkRetryBudget is rule 8: in any retry window, the retries that reach a service do not exceed the permitted share of its first
// attempts plus the allowance. Only a service's worst window is reported.
func checkRetryBudget(history *History) (findings []Finding, examined int) {
	services := history.requestsByService()
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

// minFirstAttempts is the number of first attempts below which a window's ratio is not reported.
const minFirstAttempts = 20

// HighestRetryRatios returns for each service the retry window with the highest ratio of retries to first attempts, formatted as
// "retries/first attempts" for the reports of rehearsals. It omits services without a window of enough first attempts.
func HighestRetryRatios(history *History) map[string]string {
	history.lock.Lock()
	defer history.lock.Unlock()
	ratios := map[string]string{}
	for name, requests := range history.requestsByService() {
		highest := 0.0
		slideRetryWindow(requests, func(counts attemptCounts) {
			ratio := float64(counts.retries) / float64(max(1, counts.first))
			if counts.first >= minFirstAttempts && ratio >= highest {
				highest, ratios[name] = ratio, fmt.Sprintf("%d/%d", counts.retries, counts.first)
			}
		})
	}
	return ratios
}
