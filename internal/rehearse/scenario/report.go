package scenario

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/rehearse/fleet"
)

// outcomeServed is the outcome of attempts with a successful response.
const outcomeServed = "served"

// Report is the result of a rehearsal. Its JSON keys must not change, since the compare command reads stored reports.
type Report struct {
	Layout   string  `json:"layout"`
	Scenario string  `json:"scenario"`
	Seconds  float64 `json:"seconds"`
	// Kinds counts attempts by kind of traffic and outcome.
	Kinds map[string]map[string]int `json:"kinds"`
	// Latency is the median, 99th percentile and maximum latency of each kind's finished attempts, in microseconds.
	Latency map[string][3]int64 `json:"latency_micros_p50_p99_max"`
	// Observations is the number of observations that each rule's checker examined.
	Observations map[int]int `json:"seen_by_rule"`
	Findings     []string    `json:"findings"`
	// RetryRatios is each service's highest ratio of retries to first attempts in any 10 s.
	RetryRatios map[string]string `json:"worst_further_per_first_in_10s"`
	// CPUTimes is each program's CPU time since RecordCPUTimes, in microseconds. CPUTimePerRequest is that of all proxies per attempt.
	// CPUTimePerHop splits it into the caller's and the server's side, on layouts that separate them.
	CPUTimes          map[string]int64 `json:"processor_micros_by_program"`
	CPUTimePerRequest int64            `json:"processor_micros_per_request"`
	CPUTimePerHop     map[string]int64 `json:"processor_micros_per_request_by_hop,omitempty"`
	// RelayedBytes is the number of bytes sent within zones and between them. Empty without relays.
	RelayedBytes map[string]uint64 `json:"bytes_between,omitempty"`
	// RejectionsWithoutRetryAfter counts the mesh's own 5xx responses without a Retry-After header.
	RejectionsWithoutRetryAfter int `json:"refusals_without_retry_after"`
	// RecoveryTimes is the time from the end of the last fault to each kind's first success, in microseconds.
	RecoveryTimes map[string]int64 `json:"micros_from_return_to_first_success,omitempty"`
	// OverloadRates is each kind's successes per second before the overload, and in its second half, when queues have grown.
	OverloadRates map[string][2]float64 `json:"served_per_second_before_and_in_rush,omitempty"`
	// ServedShares is the share of each kind's first attempts that were served, until the end of the last fault and after it.
	ServedShares map[string][2]float64 `json:"served_of_first_asks_until_and_after_the_return"`
}

// BuildReport checks the history against all rules and the given checks, and computes the report's metrics. began is when traffic
// started. The load generator must have stopped.
func (r *Rehearsal) BuildReport(began time.Time, checks ...invariants.Check) Report {
	violations, observations := invariants.CheckRules(r.History)
	report := Report{Layout: r.Fleet.Layout.Name, Scenario: r.Options.Scenario, Seconds: time.Since(began).Seconds(),
		Observations: observations, RetryRatios: invariants.HighestRetryRatios(r.History)}
	report.Findings = append([]string{}, r.findings...)
	for _, check := range checks {
		found, _ := check.Run(r.History)
		report.addFindings(found)
	}
	report.addFindings(violations)
	report.countAttempts(r.History.Attempts)
	r.measureCPUTimes(&report, len(r.History.Attempts))
	report.RelayedBytes = r.relayedBytes()
	report.OverloadRates = r.overloadRates()
	report.ServedShares = r.servedShares()
	report.RecoveryTimes = r.recoveryTimes()
	return report
}

func (r *Report) addFindings(findings []invariants.Finding) {
	for _, finding := range findings {
		r.Findings = append(r.Findings, finding.String())
	}
}

// requireObservations adds a finding for each of these rules whose checker examined nothing, and one if no request was served.
func (r *Report) requireObservations(rules []int) {
	for _, rule := range rules {
		if r.Observations[rule] == 0 {
			r.Findings = append(r.Findings, fmt.Sprintf("rule %d: its checker examined nothing", rule))
		}
	}
	if r.Served() == 0 {
		r.Findings = append(r.Findings, "no request was served")
	}
}

// countAttempts fills in Kinds, Latency and RejectionsWithoutRetryAfter.
func (r *Report) countAttempts(attempts []*invariants.Attempt) {
	r.Kinds, r.Latency = map[string]map[string]int{}, map[string][3]int64{}
	latencies := map[string][]int64{}
	for _, attempt := range attempts {
		if r.Kinds[attempt.Kind] == nil {
			r.Kinds[attempt.Kind] = map[string]int{}
		}
		r.Kinds[attempt.Kind][describeOutcome(attempt)]++
		if attempt.RejectedByMesh && attempt.Status >= 500 && !attempt.RetryAfterSet {
			r.RejectionsWithoutRetryAfter++
		}
		if attempt.Ended > 0 {
			latencies[attempt.Kind] = append(latencies[attempt.Kind], int64(attempt.Ended-attempt.Sent))
		}
	}
	for kind, sorted := range latencies {
		sort.Slice(sorted, func(one, other int) bool { return sorted[one] < sorted[other] })
		r.Latency[kind] = [3]int64{sorted[len(sorted)/2], sorted[len(sorted)*99/100], sorted[len(sorted)-1]}
	}
}

// measureCPUTimes fills in the report's CPU times. The times per request are divided by attempts.
func (r *Rehearsal) measureCPUTimes(report *Report, attempts int) {
	attempts = max(1, attempts)
	callerProxies := r.Fleet.Layout.CallerProxies
	report.CPUTimes = map[string]int64{}
	hops := map[string]int64{}
	for _, process := range r.Fleet.All() {
		used := process.CPUTime() - r.cpuTimes[process.Name]
		report.CPUTimes[process.Program] += used
		index := slices.Index(r.Fleet.Proxies, process)
		switch {
		case index >= callerProxies:
			hops["server's side"] += used / int64(attempts)
		case index >= 0:
			hops["caller's side"] += used / int64(attempts)
		}
	}
	report.CPUTimePerRequest = report.CPUTimes[fleet.ProxyProgram] / int64(attempts)
	if callerProxies > 0 {
		report.CPUTimePerHop = hops
	}
}

// relayedBytes sums the relays' byte counts, separately for pairs of hosts in the same zone and in different zones.
func (r *Rehearsal) relayedBytes() map[string]uint64 {
	totals := map[string]uint64{}
	if r.Fleet.Relays == nil {
		return totals
	}
	zones := map[string]string{}
	for _, process := range r.Fleet.All() {
		zones[process.Host] = process.Zone
	}
	for pair, count := range r.Fleet.Relays.Bytes() {
		if zones[pair.From] == zones[pair.To] {
			totals["within zones"] += count
		} else {
			totals["between zones"] += count
		}
	}
	return totals
}

// markerTime returns when a marker was last recorded; zero if it was not.
func (r *Rehearsal) markerTime(name string) (at monotonic.Micros) {
	for _, marker := range r.History.Markers {
		if marker.What == name {
			at = marker.At
		}
	}
	return at
}

// shareCount counts the first attempts that were sent and served, until the end of the last fault and after it.
type shareCount struct {
	sent, served [2]float64
}

// servedShares computes ServedShares. It excludes retries, since they would count a rejection once per retry.
func (r *Rehearsal) servedShares() map[string][2]float64 {
	recovered := r.markerTime(markerFaultsEnded)
	counts, sent := map[string]*shareCount{}, map[string]bool{}
	for _, attempt := range r.History.Attempts {
		if attempt.Key != "" && sent[attempt.Key] {
			continue
		}
		sent[attempt.Key] = true
		if counts[attempt.Kind] == nil {
			counts[attempt.Kind] = &shareCount{}
		}
		period := 0
		if recovered > 0 && attempt.Sent >= recovered {
			period = 1
		}
		counts[attempt.Kind].sent[period]++
		if describeOutcome(attempt) == outcomeServed {
			counts[attempt.Kind].served[period]++
		}
	}
	shares := map[string][2]float64{}
	for kind, count := range counts {
		shares[kind] = [2]float64{count.served[0] / max(count.sent[0], 1), count.served[1] / max(count.sent[1], 1)}
	}
	return shares
}

// overloadRates computes OverloadRates; nil if the scenario had no overload.
func (r *Rehearsal) overloadRates() map[string][2]float64 {
	from, until := r.markerTime(markerOverload), r.markerTime(markerOverloadEnded)
	if from == 0 || until == 0 || len(r.History.Attempts) == 0 {
		return nil
	}
	start, half := r.History.Attempts[0].Sent, from+(until-from)/2
	rates := map[string][2]float64{}
	for _, attempt := range r.History.Attempts {
		if describeOutcome(attempt) != outcomeServed {
			continue
		}
		rate := rates[attempt.Kind]
		if attempt.Ended < from {
			rate[0] += 1 / (float64(from-start) / 1e6)
		} else if attempt.Ended >= half && attempt.Ended < until {
			rate[1] += 1 / (float64(until-half) / 1e6)
		}
		rates[attempt.Kind] = rate
	}
	return rates
}

// recoveryTimes computes RecoveryTimes. If the history has several recoveries, it returns each kind's shortest time.
func (r *Rehearsal) recoveryTimes() map[string]int64 {
	first := map[string]int64{}
	for _, marker := range r.History.Markers {
		if marker.What != markerFaultsEnded {
			continue
		}
		for _, attempt := range r.History.Attempts {
			if describeOutcome(attempt) != outcomeServed || attempt.Sent < marker.At {
				continue
			}
			if took, known := first[attempt.Kind]; !known || int64(attempt.Ended-marker.At) < took {
				first[attempt.Kind] = int64(attempt.Ended - marker.At)
			}
		}
	}
	return first
}

// describeOutcome returns an attempt's outcome, the key by which Kinds counts attempts.
func describeOutcome(attempt *invariants.Attempt) string {
	switch {
	case attempt.TransportError != "":
		return "transport " + attempt.TransportError
	case attempt.Ended == 0:
		return "open"
	case attempt.RejectedByMesh && attempt.NotRun:
		return "refused " + strconv.Itoa(attempt.Cause) + " not_run"
	case attempt.RejectedByMesh:
		return "refused " + strconv.Itoa(attempt.Cause) + " may_have_run"
	case attempt.Status >= 200 && attempt.Status < 300:
		return outcomeServed
	}
	return "status " + strconv.Itoa(attempt.Status)
}

// Served returns the number of served attempts of all kinds.
func (r Report) Served() (served int) {
	for _, outcomes := range r.Kinds {
		served += outcomes[outcomeServed]
	}
	return served
}

// maxListedFindings limits the number of findings that Text lists.
const maxListedFindings = 20

// Text formats the report as human-readable text.
func (r Report) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, scenario %s, %.0f s\n", r.Layout, r.Scenario, r.Seconds)
	r.writeKinds(&text)
	fmt.Fprintf(&text, "  CPU time per request at the proxies: %d microseconds; by program: %v\n", r.CPUTimePerRequest, r.CPUTimes)
	if len(r.CPUTimePerHop) > 0 {
		fmt.Fprintf(&text, "  of that, by hop: %v\n", r.CPUTimePerHop)
	}
	if len(r.RelayedBytes) > 0 {
		fmt.Fprintf(&text, "  bytes: %v\n", r.RelayedBytes)
	}
	if len(r.RecoveryTimes) > 0 {
		fmt.Fprintf(&text, "  microseconds from the end of the last fault to the first success: %v\n", r.RecoveryTimes)
	}
	for _, kind := range slices.Sorted(maps.Keys(r.ServedShares)) {
		fmt.Fprintf(&text, "  %s share of first attempts served: %.3f until the end of the last fault, %.3f after\n", kind, r.ServedShares[kind][0], r.ServedShares[kind][1])
	}
	for _, kind := range slices.Sorted(maps.Keys(r.OverloadRates)) {
		fmt.Fprintf(&text, "  %s served per second: %.0f before the overload, %.0f during its second half\n", kind, r.OverloadRates[kind][0], r.OverloadRates[kind][1])
	}
	fmt.Fprintf(&text, "  highest ratio of retries to first attempts in any 10 s: %v\n", r.RetryRatios)
	fmt.Fprintf(&text, "  observations by rule: %v\n", r.Observations)
	r.writeFindings(&text)
	return text.String()
}

func (r Report) writeKinds(text *strings.Builder) {
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Fprintf(text, "  %-24s", kind)
		for _, name := range slices.Sorted(maps.Keys(r.Kinds[kind])) {
			fmt.Fprintf(text, "  %s: %d", name, r.Kinds[kind][name])
		}
		latency := r.Latency[kind]
		fmt.Fprintf(text, "  (p50 %.1f ms, p99 %.1f ms, max %.1f ms)\n", float64(latency[0])/1000, float64(latency[1])/1000, float64(latency[2])/1000)
	}
}

func (r Report) writeFindings(text *strings.Builder) {
	fmt.Fprintf(text, "  findings: %d\n", len(r.Findings))
	for index, finding := range r.Findings {
		if index == maxListedFindings {
			fmt.Fprintf(text, "    and %d more\n", len(r.Findings)-index)
			return
		}
		fmt.Fprintf(text, "    %s\n", finding)
	}
}

// JSON formats the report as JSON.
func (r Report) JSON() string {
	content, _ := json.MarshalIndent(r, "", "  ")
	return string(content)
}
