package invariants

import "fmt"

// Check is a guarantee beyond the numbered rules, which holds for the scenarios that name it. Inspect returns its violations,
// and as seen how many observations it examined. It is called with the history's lock held; use Run.
type Check struct {
	Name    string
	Inspect func(history *History) (findings []Finding, seen int)
}

// The checks.
var (
	// KeysExecutedOnce finds idempotency keys that were executed twice, or never.
	KeysExecutedOnce = Check{"keys executed once", checkKeysExecutedOnce}
	// VersionsAdopted finds proxies that adopt a version late, or serve otherwise than the version's content says.
	VersionsAdopted = Check{"versions adopted", checkVersionsAdopted}
	// ContentMatchesVersion is the part of VersionsAdopted that depends on no clock, for machines under load.
	ContentMatchesVersion = Check{"content matches version", checkContentMatchesVersion}
	// BreakerCountersMonotonic finds circuit breakers that lose what they have counted.
	BreakerCountersMonotonic = Check{"breaker counters monotonic", checkBreakerCounters}
	// OperatorCallsLinearizable finds operators' reads and writes that a single server without faults would not have answered so.
	OperatorCallsLinearizable = Check{"operator calls linearizable", checkOperatorCalls}
)

// Run returns the check's violations and how many observations it examined. If it examined none, that is a finding too.
func (c Check) Run(history *History) (findings []Finding, seen int) {
	history.lock.Lock()
	defer history.lock.Unlock()
	findings, seen = c.Inspect(history)
	if seen == 0 {
		findings = append(findings, Finding{Text: "there was nothing to examine", NothingExamined: true})
	}
	for index := range findings {
		findings[index].Check = c.Name
	}
	return findings, seen
}

func newFinding(format string, arguments ...any) Finding {
	return Finding{Text: fmt.Sprintf(format, arguments...)}
}
