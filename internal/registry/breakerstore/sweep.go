package breakerstore

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// decisionTimeout is how long a completed round waits for the decision of the proxy that sent its last result, before Sweep decides.
const decisionTimeout = 2 * monotonic.Second

// endedSessions maps each proxy whose session ended to the incarnation of that session.
type endedSessions map[string]uint64

// sweepFunc applies the transitions that are due at a time to a record in one state.
type sweepFunc func(record *wire.BreakerRecord, ended endedSessions, now monotonic.Micros)

// sweepsByState maps each state to its sweep.
type sweepsByState map[string]sweepFunc

var defaultSweeps = sweepsByState{Closed: sweepNoop, Open: sweepOpen, HalfOpen: sweepHalfOpen}

// Sweep applies the transitions that are due to all records: open records become half open, probes whose lease or whose proxy's
// session ended return to the budget, completed rounds without a decision are decided, and unused records expire.
func (t *Table) Sweep(ended []*wire.MemberID, now monotonic.Micros) {
	t.revision++
	sessions := endedSessions{}
	for _, member := range ended {
		sessions[member.Name] = member.Incarnation
	}
	sweeps := t.sweeps()
	for _, service := range t.services() {
		record := t.records[service]
		sweepRecord(record, sweeps, sessions, now)
		t.injectSweepFault(record)
	}
}

// sweepRecord drops old trip reports, closes a record that has expired, and otherwise applies the sweep of the record's state.
func sweepRecord(record *wire.BreakerRecord, sweeps sweepsByState, ended endedSessions, now monotonic.Micros) {
	if record.Settings == nil {
		return
	}
	record.Reports = recentReports(record, now)
	if record.State != Closed && int64(now) >= record.ExpiresAt {
		setState(record, Closed, now)
		return
	}
	sweeps[record.State](record, ended, now)
}

// sweepNoop is the sweep of a closed record, which does not change by time alone.
func sweepNoop(*wire.BreakerRecord, endedSessions, monotonic.Micros) {}

// sweepOpen starts a half-open round once the record has been open for WaitOpen.
func sweepOpen(record *wire.BreakerRecord, _ endedSessions, now monotonic.Micros) {
	if int64(now)-record.EnteredAt >= record.Settings.WaitOpen {
		setState(record, HalfOpen, now)
		extendExpiry(record, now)
	}
}

// sweepHalfOpen refunds the probes whose lease or session ended, and decides a completed round after decisionTimeout.
func sweepHalfOpen(record *wire.BreakerRecord, ended endedSessions, now monotonic.Micros) {
	remaining := []*wire.ProbeLease{}
	for _, probe := range record.ProbeLeases {
		incarnation, sessionEnded := ended[probe.Proxy]
		if int64(now) >= probe.Until || (sessionEnded && incarnation == probe.Incarnation) {
			refundProbe(record, probe.Proxy)
			continue
		}
		remaining = append(remaining, probe)
	}
	record.ProbeLeases = remaining
	if record.RoundCompletedAt != 0 && int64(now)-record.RoundCompletedAt >= int64(decisionTimeout) {
		setState(record, EvaluateRound(record), now)
		extendExpiry(record, now)
	}
}
