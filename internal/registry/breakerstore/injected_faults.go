package breakerstore

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// The values of Table.InjectedFault. Each breaks one rule of the table; a simulation that runs with it must be found faulty.
const (
	FaultLosesReturnedProbes = "leaky"     // probes that return to the budget are lost
	FaultOpensOnAnyTrip      = "any_trip"  // the report of one proxy opens the record
	FaultNoProbeShares       = "greedy"    // one proxy may lease a whole round, and reopen the record alone
	FaultSkipsHalfOpen       = "hasty"     // an open record closes without a half-open round
	FaultShortWait           = "impatient" // an open record waits a quarter of its time
	FaultKeepsProbes         = "clinging"  // leased probes never return to the budget
)

// faultySweeps replace defaultSweeps under some of the faults.
var faultySweeps = map[string]sweepsByState{
	FaultSkipsHalfOpen: {Closed: sweepNoop, Open: closeWithoutProbes, HalfOpen: sweepHalfOpen},
	FaultShortWait:     {Closed: sweepNoop, Open: sweepOpenEarly, HalfOpen: sweepHalfOpen},
	FaultKeepsProbes:   {Closed: sweepNoop, Open: sweepOpen, HalfOpen: sweepNoop},
}

// closeWithoutProbes is the sweep of an open record under FaultSkipsTrial.
func closeWithoutProbes(record *wire.BreakerRecord, _ endedSessions, now monotonic.Micros) {
	if int64(now)-record.EnteredAt >= record.Settings.WaitOpen {
		setState(record, Closed, now)
	}
}

// sweepOpenEarly is the sweep of an open record under FaultShortWait.
func sweepOpenEarly(record *wire.BreakerRecord, ended endedSessions, now monotonic.Micros) {
	sweepOpen(record, ended, now+monotonic.Micros(record.Settings.WaitOpen*3/4))
}

// sweeps returns the sweeps to use, by the injected fault if there is one.
func (t *Table) sweeps() sweepsByState {
	if faulty := faultySweeps[t.InjectedFault]; faulty != nil {
		return faulty
	}
	return defaultSweeps
}

// injectSweepFault applies FaultLosesReturnedProbes to a record that was just swept.
func (t *Table) injectSweepFault(record *wire.BreakerRecord) {
	if t.InjectedFault == FaultLosesReturnedProbes && record.State == HalfOpen && len(record.ProbeResults) > 0 && record.Budget > 0 {
		record.Budget--
	}
}

// injectWriteFault returns the function to apply in place of apply, and changes the request as the injected fault demands.
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
