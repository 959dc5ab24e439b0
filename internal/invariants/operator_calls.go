package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// CallOutcome is what an operator was told of an order.
type CallOutcome string

// The outcomes of orders.
const (
	Confirmed   CallOutcome = "confirmed" // taken, or nothing to be changed
	Rejected    CallOutcome = "declined"  // refused for good: the version stands for another content
	NotAccepted CallOutcome = "not taken" // no primary has it, and none will
	Unknown     CallOutcome = "uncertain"
)

// OperatorCall is one call of an operator as it saw it: a content sent under a version of its own, or a read of the newest one.
type OperatorCall struct {
	Endpoint string // the process that was asked
	Read     bool
	Version  uint64 // sent, or read
	Digest   string
	Sent     monotonic.Micros
	Ended    monotonic.Micros
	Outcome  CallOutcome // of a read: Confirmed if it gave a content
}

// OperatorCall notes an operator's call.
func (h *History) RecordOperatorCall(call OperatorCall) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.OperatorCalls = append(h.OperatorCalls, call)
}

// OperatorCallsLinearizable holds operators' calls to what one copy that never fails would tell: whoever reads gets everything that was confirmed before it asked,
// a number stands for one content, what was confirmed is confirmed again, and what was declined or not taken never shows.
var OperatorCallsLinearizable = Check{"orders kept", checkOperatorCalls}

func checkOperatorCalls(history *History) (findings []Finding, seen int) {
	var confirmed, reads []OperatorCall
	for _, call := range history.OperatorCalls {
		switch {
		case call.Outcome != Confirmed:
		case call.Read:
			reads = append(reads, call)
		default:
			confirmed = append(confirmed, call)
		}
	}
	findings = append(findings, checkOneContentPerVersion(confirmed)...)
	findings = append(findings, checkRejectionsFinal(history.OperatorCalls, confirmed)...)
	findings = append(findings, checkReadsNotStale(confirmed, reads)...)
	findings = append(findings, checkReadsAccepted(history.OperatorCalls, confirmed, reads)...)
	return findings, min(len(confirmed), len(reads))
}

func checkOneContentPerVersion(confirmed []OperatorCall) (findings []Finding) {
	contents := map[uint64]string{}
	for _, call := range confirmed {
		if digest, known := contents[call.Version]; known && digest != call.Digest {
			findings = append(findings, newFinding("version %d was confirmed with two contents, the second by %s at %d", call.Version, call.Endpoint, call.Ended))
		}
		contents[call.Version] = call.Digest
	}
	return findings
}

// same tells whether two orders sent the same content under the same version.
func sameWrite(one, other OperatorCall) bool {
	return one.Version == other.Version && one.Digest == other.Digest
}

func checkRejectionsFinal(calls, confirmed []OperatorCall) (findings []Finding) {
	for _, call := range calls {
		if call.Read || call.Outcome != Rejected {
			continue
		}
		if slices.ContainsFunc(confirmed, func(other OperatorCall) bool { return sameWrite(call, other) }) {
			findings = append(findings, newFinding("version %d was both confirmed and declined, with one content, declined by %s at %d", call.Version, call.Endpoint, call.Ended))
		}
	}
	return findings
}

func checkReadsNotStale(confirmed, reads []OperatorCall) (findings []Finding) {
	for _, read := range reads {
		for _, call := range confirmed {
			if call.Ended <= read.Sent && call.Version > read.Version {
				findings = append(findings, newFinding("%s gave version %d at %d, asked at %d; %d was confirmed at %d", read.Endpoint, read.Version, read.Ended, read.Sent, call.Version, call.Ended))
				break
			}
		}
		for _, earlier := range reads {
			if earlier.Ended <= read.Sent && earlier.Version > read.Version {
				findings = append(findings, newFinding("%s gave version %d at %d, asked at %d; %s had given %d at %d", read.Endpoint, read.Version, read.Ended, read.Sent, earlier.Endpoint, earlier.Version, earlier.Ended))
				break
			}
		}
	}
	return findings
}

func checkReadsAccepted(calls, confirmed, reads []OperatorCall) (findings []Finding) {
	for _, read := range reads {
		possible := slices.ContainsFunc(calls, func(call OperatorCall) bool {
			return !call.Read && sameWrite(call, read) && (call.Outcome == Confirmed || call.Outcome == Unknown)
		})
		other := slices.ContainsFunc(confirmed, func(call OperatorCall) bool { return call.Version == read.Version && call.Digest != read.Digest })
		if !possible || other {
			findings = append(findings, newFinding("%s gave a content for version %d at %d that was never taken", read.Endpoint, read.Version, read.Ended))
		}
	}
	return findings
}
