package invariants

import (
	"slices"

	"snowflow/internal/monotonic"
)

// CallOutcome is what an operator knows about the result of its read or write.
type CallOutcome string

// The outcomes of operators' calls.
const (
	// Confirmed: the write is committed or would have changed nothing, or the read returned content.
	Confirmed CallOutcome = "confirmed"
	// Rejected: the write can never succeed, because its version already has different content.
	Rejected CallOutcome = "rejected"
	// NotAccepted: no primary has received the write or will receive it.
	NotAccepted CallOutcome = "not accepted"
	// Unknown: the write may or may not be committed.
	Unknown CallOutcome = "unknown"
)

// OperatorCall is one call from an operator's point of view: a write of content under a version that the operator chose, or a read
// of the newest content.
type OperatorCall struct {
	Endpoint string // the process that was called
	Read     bool
	Version  uint64 // the version written or read
	Digest   string // the digest of the content
	Sent     monotonic.Micros
	Ended    monotonic.Micros
	Outcome  CallOutcome
}

// sameContent reports whether two calls have the same version and the same content.
func (c OperatorCall) sameContent(other OperatorCall) bool {
	return c.Version == other.Version && c.Digest == other.Digest
}

// checkOperatorCalls checks operators' calls against the results of a single server that never fails. A read returns no version
// older than one that was confirmed before the read was sent. Each version has only one content. No content is both confirmed and
// rejected under the same version. Content that was rejected or not accepted is never read.
func checkOperatorCalls(history *History) (findings []Finding, examined int) {
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
			findings = append(findings, newFinding("version %d was both confirmed and rejected with the same content; %s rejected it at %d",
				call.Version, call.Endpoint, call.Ended))
		}
	}
	return findings
}

// checkReadsNotStale reports each read that returned a lower version than a confirmed write or another read that had ended before it
// was sent.
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

// checkReadsAccepted reports each read of content that was not written, was not accepted, or differs from the version's confirmed content.
func checkReadsAccepted(calls, confirmed, reads []OperatorCall) (findings []Finding) {
	for _, read := range reads {
		possible := slices.ContainsFunc(calls, func(call OperatorCall) bool {
			return !call.Read && call.sameContent(read) && (call.Outcome == Confirmed || call.Outcome == Unknown)
		})
		contradicted := slices.ContainsFunc(confirmed, func(call OperatorCall) bool {
			return call.Version == read.Version && call.Digest != read.Digest
		})
		if !possible || contradicted {
			findings = append(findings, newFinding("%s returned content for version %d at %d that was never accepted", read.Endpoint, read.Version, read.Ended))
		}
	}
	return findings
}
