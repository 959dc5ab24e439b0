package breakerstore

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// The values of BreakerWriteRequest.Verb. They are stored and sent.
const (
	VerbTrip   = "trip"   // reports that a proxy's local window tripped
	VerbProbe  = "probe"  // gives the result of a leased probe
	VerbReturn = "return" // returns a leased probe whose outcome says nothing about the service
	VerbDecide = "decide" // ends a completed round and sets the state in Decision
)

// reportLifetime is how long a trip report counts towards opening the record.
const reportLifetime = 10 * monotonic.Second

// writeFunc applies a write whose expected version matched, and reports whether it changed the record.
type writeFunc func(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool

var writeFuncs = map[string]writeFunc{
	VerbTrip:   reportTrip,
	VerbProbe:  recordProbe,
	VerbReturn: returnProbe,
	VerbDecide: decideRound,
}

// Write applies a write if ExpectedVersion is the record's version. The response has the current record in either case.
func (t *Table) Write(request *wire.BreakerWriteRequest, now monotonic.Micros) *wire.BreakerWriteResponse {
	t.revision++
	record := t.recordFor(request.Service, request.Settings, now)
	response := &wire.BreakerWriteResponse{}
	if apply := writeFuncs[request.Verb]; apply != nil && request.ExpectedVersion == record.Version {
		apply = t.injectWriteFault(apply, record, request)
		response.Applied = apply(record, request, now)
	}
	if response.Applied {
		extendExpiry(record, now)
	}
	response.RoundComplete = record.State == HalfOpen && record.RoundCompletedAt != 0
	response.Record = proto.CloneOf(record)
	return response
}

// reportTrip stores a proxy's report and opens the record once enough of the active proxies have reported: half of them, but at least
// two if two are active.
func reportTrip(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if record.State != Closed || record.Settings == nil {
		return false
	}
	reports := []*wire.TripReport{}
	for _, report := range recentReports(record, now) {
		if report.Proxy != request.Proxy {
			reports = append(reports, report)
		}
	}
	reports = append(reports, &wire.TripReport{Proxy: request.Proxy, Incarnation: request.Incarnation, At: int64(now)})
	record.Reports = reports
	active := proxySet(request.Proxy, request.Active)
	reporting := 0
	for _, report := range reports {
		if active[report.Proxy] {
			reporting++
		}
	}
	if reporting >= max((len(active)+1)/2, min(2, len(active))) {
		setState(record, Open, now)
	}
	return true
}

// recentReports returns the reports that are younger than reportLifetime.
func recentReports(record *wire.BreakerRecord, now monotonic.Micros) []*wire.TripReport {
	recent := []*wire.TripReport{}
	for _, report := range record.Reports {
		if now-monotonic.Micros(report.At) < reportLifetime {
			recent = append(recent, report)
		}
	}
	return recent
}

// recordProbe replaces a probe's lease by its result. A repeated result has no effect.
func recordProbe(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if !endProbeLease(record, request) {
		return false
	}
	result := &wire.ProbeResult{Id: request.Id, Success: request.Success, Proxy: request.Proxy}
	record.ProbeResults = append(record.ProbeResults, result)
	if len(record.ProbeResults) >= int(permittedProbes(record)) {
		record.RoundCompletedAt = int64(now)
	}
	return true
}

// returnProbe returns a leased probe to the budget.
func returnProbe(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, _ monotonic.Micros) bool {
	if !endProbeLease(record, request) {
		return false
	}
	refundProbe(record, request.Proxy)
	return true
}

// endProbeLease removes a probe's lease. It returns false if the requesting incarnation of the proxy has no such lease.
func endProbeLease(record *wire.BreakerRecord, request *wire.BreakerWriteRequest) bool {
	if record.State != HalfOpen {
		return false
	}
	for index, probe := range record.ProbeLeases {
		if probe.Id == request.Id && probe.Proxy == request.Proxy && probe.Incarnation == request.Incarnation {
			record.ProbeLeases = append(record.ProbeLeases[:index:index], record.ProbeLeases[index+1:]...)
			return true
		}
	}
	return false
}

// decideRound ends a completed round and sets the state that the proxy with the last result computed.
func decideRound(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if record.State != HalfOpen || record.RoundCompletedAt == 0 {
		return false
	}
	if request.Decision != Closed && request.Decision != Open {
		return false
	}
	setState(record, request.Decision, now)
	return true
}
