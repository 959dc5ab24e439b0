package invariants

import "fmt"

// Check is a guarantee beyond the numbered rules. It applies to the scenarios that list it. Inspect returns the violations and the
// number of observations that it examined. It requires the history's lock; callers use Run instead.
type Check struct {
	Name    string
	Inspect func(history *History) (findings []Finding, examined int)
}

// The checks.
var (
	// KeysExecutedOnce finds idempotency keys that were executed more than once or never.
	KeysExecutedOnce = Check{"keys executed once", checkKeysExecutedOnce}
	// VersionsAdopted finds proxies that adopt a version late or use a configuration that differs from the version's content.
	VersionsAdopted = Check{"versions adopted", checkVersionsAdopted}
	// ContentMatchesVersion is the part of VersionsAdopted that does not depend on timing, for machines under load.
	ContentMatchesVersion = Check{"content matches version", checkContentMatchesVersion}
	// BreakerCountersMonotonic finds circuit breakers that lose counted calls.
	BreakerCountersMonotonic = Check{"breaker counters monotonic", checkBreakerCounters}
	// OperatorCallsLinearizable finds operators' reads and writes with results that a single server without faults could not give.
	OperatorCallsLinearizable = Check{"operator calls linearizable", checkOperatorCalls}
)

// Run returns the check's violations and the number of observations that it examined. If it examined none, that is a finding, too.
func (c Check) Run(history *History) (findings []Finding, examined int) {
	history.lock.Lock()
	defer history.lock.Unlock()
	findings, examined = c.Inspect(history)
	if examined == 0 {
		findings = append(findings, Finding{Text: "there was nothing to examine", NothingExamined: true})
	}
	for index := range findings {
		findings[index].Check = c.Name
	}
	return findings, examined
}

func newFinding(format string, arguments ...any) Finding {
	return Finding{Text: fmt.Sprintf(format, arguments...)}
}
