package invariants

import (
	"fmt"
	"slices"
	"strings"

	"snowflow/internal/monotonic"
)

// Check looks at something beyond the rules that a change of routes must keep. Seen counts what it had to look at.
type Check struct {
	Name    string
	Inspect func(history *History) (findings []Finding, seen int)
}

// The checks of changes.
var (
	KeysExecutedOnce         = Check{"keys kept", checkKeysExecutedOnce}
	VersionsAdopted          = Check{"taken up", checkVersionsAdopted}
	BreakerCountersMonotonic = Check{"counters kept", checkBreakerCounters}
	// ContentMatchesVersion is the part of VersionsAdopted that doesn't go by the clock, for machines on which nothing does.
	ContentMatchesVersion = Check{"as told", checkContentMatchesVersion}
)

// Run makes a check, and finds fault with one that had nothing to look at.
func (c Check) Run(history *History) (findings []Finding, seen int) {
	history.lock.Lock()
	defer history.lock.Unlock()
	findings, seen = c.Inspect(history)
	if seen == 0 {
		findings = append(findings, Finding{Text: "it saw nothing", NothingExamined: true})
	}
	for index := range findings {
		findings[index].Check = c.Name
	}
	return findings, seen
}

func newFinding(format string, arguments ...any) Finding {
	return Finding{Text: fmt.Sprintf(format, arguments...)}
}

// ProxyKilledMarker is how a history marks that a carrier was killed, followed by its name.
const ProxyKilledMarker = "carrier killed: "

// checkKeysExecutedOnce: each key that was sent was executed once, on one service, by the end; callers keep asking. What a carrier had in hand when it
// was killed is all that may be left without a run: whether it had run is known to nobody, its caller was told that it may have, and
// the key is held until its claim ends.
func checkKeysExecutedOnce(history *History) (findings []Finding, seen int) {
	executed, attempts := map[string][]Run{}, map[string][]*Attempt{}
	var keys []string
	for _, run := range history.Runs {
		if run.Executed && run.Key != "" {
			executed[run.Key] = append(executed[run.Key], run)
		}
	}
	for _, attempt := range history.Attempts {
		if attempt.Key == "" {
			continue
		}
		if attempts[attempt.Key] == nil {
			keys = append(keys, attempt.Key)
		}
		attempts[attempt.Key] = append(attempts[attempt.Key], attempt)
	}
	for _, key := range keys {
		seen++
		switch runs := executed[key]; {
		case len(runs) == 0 && !slices.ContainsFunc(attempts[key], history.interruptedByKill):
			findings = append(findings, newFinding("key %s, first sent at %d, was lost", key, attempts[key][0].Sent))
		case len(runs) > 1:
			findings = append(findings, newFinding("key %s ran %d times, on %s at %d and on %s at %d", key, len(runs), runs[0].Service, runs[0].At, runs[1].Service, runs[1].At))
		}
	}
	return findings, seen
}

// interruptedByKill tells whether a carrier was killed while an attempt was under way that ended in doubt.
func (h *History) interruptedByKill(attempt *Attempt) bool {
	ambiguous := attempt.Transport != "" || attempt.Mesh && !attempt.NotRun
	return ambiguous && slices.ContainsFunc(h.Markers, func(note Marker) bool {
		return strings.HasPrefix(note.What, ProxyKilledMarker) && note.At >= attempt.Sent && note.At <= attempt.Ended
	})
}

// checkVersionsAdopted: from 2 s after an acknowledgement on, whoever serves does so by that version or a newer one, and each version does
// everywhere what its content says.
func checkVersionsAdopted(history *History) (findings []Finding, seen int) {
	findings, seen = checkContentMatchesVersion(history)
	for _, adopted := range history.ActiveConfigs {
		wanted := uint64(0)
		for _, applied := range history.AppliedConfigs {
			if applied.Outcome == "accepted" && applied.At+propagationLimit < adopted.At {
				wanted = max(wanted, applied.Version)
			}
		}
		if adopted.Version < wanted {
			findings = append(findings, newFinding("%s at %d serves by version %d; %d was acknowledged more than 2 s before", adopted.Proxy, adopted.At, adopted.Version, wanted))
		}
	}
	return findings, seen
}

// checkContentMatchesVersion: each version does everywhere what its content says.
func checkContentMatchesVersion(history *History) (findings []Finding, seen int) {
	sums := map[uint64]string{}
	for _, applied := range history.AppliedConfigs {
		if applied.Outcome == "accepted" && applied.Sum != "" {
			sums[applied.Version] = applied.Sum
		}
	}
	reported := map[string]bool{}
	for _, adopted := range history.ActiveConfigs {
		seen++
		if sum, known := sums[adopted.Version]; known && adopted.Sum != "" && sum != adopted.Sum {
			if what := fmt.Sprint(adopted.Proxy, adopted.Version); !reported[what] {
				reported[what] = true
				findings = append(findings, newFinding("%s at %d serves otherwise than version %d says", adopted.Proxy, adopted.At, adopted.Version))
			}
		}
	}
	return findings, seen
}

// checkBreakerCounters: within one life of a carrier a guard's calls never fall, and its window only where the verdict changed.
func checkBreakerCounters(history *History) (findings []Finding, seen int) {
	last := map[string]CallCounts{}
	for _, counted := range history.CallCounts {
		which := counted.Proxy + "/" + counted.Service
		before, known := last[which]
		last[which] = counted
		if !known || before.Incarnation != counted.Incarnation || before.Calls == 0 {
			continue
		}
		seen++
		if counted.Calls < before.Calls || counted.Verdict == before.Verdict && counted.Window < before.Window {
			findings = append(findings, newFinding("%s forgot calls of %s between %d and %d: %d in all and %d in its window, then %d and %d", counted.Proxy, counted.Service,
				before.At, counted.At, before.Calls, before.Window, counted.Calls, counted.Window))
		}
	}
	return findings, seen
}

// ServedShare is how many of a kind's first attempts were served within a span, of how many.
func ServedShare(history *History, kind string, from, until monotonic.Micros) (served, sent int) {
	history.lock.Lock()
	defer history.lock.Unlock()
	for _, attempt := range history.Attempts {
		if attempt.Kind != kind || attempt.Sent < from || attempt.Sent >= until {
			continue
		}
		if sent++; !attempt.Mesh && attempt.Status == 200 {
			served++
		}
	}
	return served, sent
}
