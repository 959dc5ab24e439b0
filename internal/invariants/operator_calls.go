package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// CallOutcome is what an operator learned of its read or write.
type CallOutcome string

// The outcomes of operators' calls.
const (
	// Confirmed: the write is committed, or there was nothing to change; or the read returned a content.
	Confirmed CallOutcome = "confirmed"
	// Rejected: the write is refused for good, since its version stands for another content.
	Rejected CallOutcome = "rejected"
	// NotAccepted: no primary has received the write, and none will.
	NotAccepted CallOutcome = "not accepted"
	// Unknown: the write may or may not be committed.
	Unknown CallOutcome = "unknown"
)

// OperatorCall is one call of an operator as it saw it: a write of a content under a version that the operator chose, or a
// read of the newest content.
type OperatorCall struct {
	Endpoint string // the process that was called
	Read     bool
	Version  uint64 // written, or read
	Digest   string // of the content
	Sent     monotonic.Micros
	Ended    monotonic.Micros
	Outcome  CallOutcome
}

// sameContent reports whether two calls concern the same content under the same version.
func (c OperatorCall) sameContent(other OperatorCall) bool {
	return c.Version == other.Version && c.Digest == other.Digest
}

// checkOperatorCalls compares operators' calls with what a single server that never fails would answer. A read returns nothing
// older than what was confirmed before it was sent. A version stands for one content. What was confirmed is never rejected
// afterwards. What was rejected or not accepted is never read.
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

func checkRejectionsFinal(calls, confirmed []OperatorCall) (findings []Finding) {
	for _, call := range calls {
		if call.Read || call.Outcome != Rejected {
			continue
		}
		if slices.ContainsFunc(confirmed, call.sameContent) {
			findings = append(findings, newFinding("version %d was both confirmed and rejected, with one content, rejected by %s at %d",
				call.Version, call.Endpoint, call.Ended))
		}
	}
	return findings
}

// checkReadsNotStale reports each read that returned an older version than one that had been confirmed, or read, before it was
// sent.
func checkReadsNotStale(confirmed, reads []OperatorCall) (findings []Finding) {
	for _, read := range reads {
		newer := func(call OperatorCall) bool { return call.Ended <= read.Sent && call.Version > read.Version }
		if index := slices.IndexFunc(confirmed, newer); index >= 0 {
			findings = append(findings, newFinding("%s returned version %d at %d, requested at %d; %d was confirmed at %d",
				read.Endpoint, read.Version, read.Ended, read.Sent, confirmed[index].Version, confirmed[index].Ended))
		}
		if index := slices.IndexFunc(reads, newer); index >= 0 {
			earlier := reads[index]
			findings = append(findings, newFinding("%s returned version %d at %d, requested at %d; %s had returned %d at %d",
				read.Endpoint, read.Version, read.Ended, read.Sent, earlier.Endpoint, earlier.Version, earlier.Ended))
		}
	}
	return findings
}

// checkReadsAccepted reports each read of a content that was not written, was refused, or differs from the confirmed one.
func checkReadsAccepted(calls, confirmed, reads []OperatorCall) (findings []Finding) {
	for _, read := range reads {
		possible := slices.ContainsFunc(calls, func(call OperatorCall) bool {
			return !call.Read && call.sameContent(read) && (call.Outcome == Confirmed || call.Outcome == Unknown)
		})
		contradicted := slices.ContainsFunc(confirmed, func(call OperatorCall) bool {
			return call.Version == read.Version && call.Digest != read.Digest
		})
		if !possible || contradicted {
			findings = append(findings, newFinding("%s returned a content for version %d at %d that was never accepted", read.Endpoint, read.Version, read.Ended))
		}
	}
	return findings
}
