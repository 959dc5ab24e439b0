package breakerstore

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// The values of Table.InjectedFault. Each breaks one rule of the table; the checkers must report a simulation that runs with it.
const (
	FaultLosesReturnedProbes = "leaky"     // probes that return to the budget are lost
	FaultOpensOnAnyTrip      = "any_trip"  // the report of a single proxy opens the record
	FaultNoProbeShares       = "greedy"    // a single proxy may lease a whole round and reopen the record
	FaultSkipsHalfOpen       = "hasty"     // an open record closes without a half-open round
	FaultShortWait           = "impatient" // an open record becomes half open after a quarter of WaitOpen
	FaultKeepsProbes         = "clinging"  // leased probes never return to the budget
)

// faultySweeps holds the sweeps that replace defaultSweeps, for the faults that need it.
var faultySweeps = map[string]sweepsByState{
	FaultSkipsHalfOpen: {Closed: sweepNoop, Open: closeWithoutProbes, HalfOpen: sweepHalfOpen},
	FaultShortWait:     {Closed: sweepNoop, Open: sweepOpenEarly, HalfOpen: sweepHalfOpen},
	FaultKeepsProbes:   {Closed: sweepNoop, Open: sweepOpen, HalfOpen: sweepNoop},
}

// closeWithoutProbes is the sweep of an open record under FaultSkipsHalfOpen.
func closeWithoutProbes(record *wire.BreakerRecord, _ endedSessions, now monotonic.Micros) {
	if int64(now)-record.EnteredAt >= record.Settings.WaitOpen {
		setState(record, Closed, now)
	}
}

// sweepOpenEarly is the sweep of an open record under FaultShortWait.
func sweepOpenEarly(record *wire.BreakerRecord, ended endedSessions, now monotonic.Micros) {
	sweepOpen(record, ended, now+monotonic.Micros(record.Settings.WaitOpen*3/4))
}

// sweeps returns the sweeps of the injected fault, or defaultSweeps.
func (t *Table) sweeps() sweepsByState {
	if faulty := faultySweeps[t.InjectedFault]; faulty != nil {
		return faulty
	}
	return defaultSweeps
}

// injectSweepFault applies FaultLosesReturnedProbes to a record after its sweep.
func (t *Table) injectSweepFault(record *wire.BreakerRecord) {
	if t.InjectedFault == FaultLosesReturnedProbes && record.State == HalfOpen && len(record.ProbeResults) > 0 && record.Budget > 0 {
		record.Budget--
	}
}

// injectWriteFault changes a request according to the injected fault, and returns the function to call instead of apply.
func (t *Table) injectWriteFault(apply writeFunc, record *wire.BreakerRecord, request *wire.BreakerWriteRequest) writeFunc {
	switch {
	case t.InjectedFault == FaultOpensOnAnyTrip:
		request.Active = nil
	case t.InjectedFault == FaultKeepsProbes && request.Verb == VerbReturn:
		return reportTrip // which does nothing unless the record is closed
	case t.InjectedFault == FaultNoProbeShares && request.Verb == VerbDecide && exceedsFailureRate(record):
		request.Decision = Open
	}
	return apply
}

// grantsBeyondShare reports whether FaultNoProbeShares grants a probe that canLeaseProbe denies.
func (t *Table) grantsBeyondShare(record *wire.BreakerRecord) bool {
	return t.InjectedFault == FaultNoProbeShares && record.State == HalfOpen && record.Budget > 0
}
