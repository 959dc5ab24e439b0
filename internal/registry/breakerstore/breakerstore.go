// Package breakerstore keeps the shared breaker records: one per service, each holding the shared verdict, the trial
// allowance and who holds a part of it. It's a pure state machine: time comes in as holder time.
package breakerstore

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// The states of a record.
const (
	Closed   = "closed"
	Open     = "open"
	HalfOpen = "half_open"
)

const (
	// reportLifetime is how long a local trip counts towards opening the shared record.
	reportLifetime = 10 * monotonic.Second
	// decisionTimeout is how long a complete round waits for its last prober's decision before the holder decides itself.
	decisionTimeout = 2 * monotonic.Second
	// unusedShareDelay is how old a round must be before callers may take what others of their share left.
	unusedShareDelay = monotonic.Second
)

// Table holds the records.
//
// Invariants, per record:
//   - the serial rises with every change of state and never falls, even when the record expires;
//   - while half open: budget + probes + tallies == permitted, so no slot is lost or made;
//   - an id is in probes or in tallies, never in both; only ids that were leased are ever tallied;
//   - the shares' granted less returned are probes + tallies; shares are only kept while half open;
//   - reports are only kept while closed.
//
// And of the whole: touched rises with every call that may change a record.
type Table struct {
	records  map[string]*wire.BreakerRecord
	revision uint64
	// InjectedFault names the one thing that is wrong with this table; only rehearsals of the checkers set it.
	InjectedFault string
}

// What may be wrong with a table, to show that a checker sees it.
const (
	FaultLosesReturnedProbes = "leaky"     // slots that went back are lost
	FaultOpensOnAnyTrip      = "any_trip"  // one carrier's trip opens for all
	FaultNoProbeShares       = "greedy"    // no shares: one carrier may take a whole round, and reopens alone
	FaultSkipsTrial          = "hasty"     // after the wait it closes without a trial
	FaultShortWait           = "impatient" // a quarter of the wait is enough
	FaultKeepsProbes         = "clinging"  // probes never go back
)

// New makes an empty table.
func New() *Table { return &Table{records: map[string]*wire.BreakerRecord{}} }

// Restore replaces the table's content.
func (t *Table) Restore(records []*wire.BreakerRecord) {
	t.revision++
	t.records = map[string]*wire.BreakerRecord{}
	for _, record := range records {
		t.records[record.Service] = record
	}
}

// Revision rises with whatever may have changed a record.
func (t *Table) Revision() uint64 { return t.revision }

// Records lists copies of all records, by service.
func (t *Table) Records() []*wire.BreakerRecord {
	var records []*wire.BreakerRecord
	for _, service := range t.services() {
		records = append(records, proto.Clone(t.records[service]).(*wire.BreakerRecord))
	}
	return records
}

func (t *Table) services() []string { return slices.Sorted(maps.Keys(t.records)) }

// Waiting tells whether time matters to any record.
func (t *Table) Waiting() bool {
	for _, record := range t.records {
		if record.State != Closed || len(record.Reports) > 0 {
			return true
		}
	}
	return false
}

func (t *Table) recordFor(service string, terms *wire.BreakerSettings, now monotonic.Micros) *wire.BreakerRecord {
	record := t.records[service]
	if record == nil {
		record = &wire.BreakerRecord{Service: service, State: Closed, Version: 1, EnteredAt: int64(now)}
		t.records[service] = record
	}
	if terms != nil {
		record.Settings = terms
	}
	return record
}

// touch refreshes the record's life, as every write does.
func extendExpiry(record *wire.BreakerRecord, now monotonic.Micros) {
	if record.Settings != nil {
		record.ExpiresAt = int64(now) + record.Settings.StateTtl
	}
}

// enter changes the state. Whose probes failed a round are its suspects until the next one is over.
func setState(record *wire.BreakerRecord, state string, now monotonic.Micros) {
	if record.State != Open {
		record.Suspects = nil
	}
	if record.State == HalfOpen && state == Open {
		record.Suspects = proxiesOf(failedProbes(record))
	}
	record.State, record.EnteredAt = state, int64(now)
	record.Version++
	record.Budget, record.ProbeLeases, record.ProbeResults, record.RoundCompletedAt, record.Reports, record.Shares = 0, nil, nil, 0, nil, nil
	if state == HalfOpen {
		record.Budget = max(1, record.Settings.Permitted)
	}
}

// failures are the tallies of a round's failed probes.
func failedProbes(record *wire.BreakerRecord) (failed []*wire.ProbeResult) {
	for _, entry := range record.ProbeResults {
		if !entry.Success {
			failed = append(failed, entry)
		}
	}
	return failed
}

// proxiesOf lists the carriers of tallies, each once.
func proxiesOf(tallies []*wire.ProbeResult) []string {
	names := map[string]bool{}
	for _, entry := range tallies {
		names[entry.Proxy] = true
	}
	return slices.Sorted(maps.Keys(names))
}

type writeFunc func(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool

var writeFuncs = map[string]writeFunc{"trip": reportTrip, "probe": recordProbe, "return": returnProbe, "decide": decideRound}

// Write carries out a fenced write. A serial that doesn't match changes nothing; either way the present record comes back.
func (t *Table) Write(request *wire.BreakerWriteRequest, now monotonic.Micros) *wire.BreakerWriteResponse {
	t.revision++
	record := t.recordFor(request.Service, request.Settings, now)
	response := &wire.BreakerWriteResponse{}
	if apply := writeFuncs[request.Verb]; apply != nil && request.ExpectedVersion == record.Version {
		if t.InjectedFault == FaultOpensOnAnyTrip {
			request.Active = nil
		}
		if t.InjectedFault == FaultKeepsProbes && request.Verb == "return" {
			apply = writeFuncs["trip"] // which a half-open record turns down
		}
		if t.InjectedFault == FaultNoProbeShares && request.Verb == "decide" && exceedsFailureRate(record) {
			request.Decision = Open
		}
		if response.Applied = apply(record, request, now); response.Applied {
			extendExpiry(record, now)
		}
	}
	response.RoundComplete = record.State == HalfOpen && record.RoundCompletedAt != 0
	response.Record = proto.Clone(record).(*wire.BreakerRecord)
	return response
}

// trip notes a carrier's report, and opens the record once enough of the active carriers report.
func reportTrip(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if record.State != Closed || record.Settings == nil {
		return false
	}
	recent := []*wire.TripReport{}
	for _, report := range record.Reports {
		if report.Proxy != request.Proxy && now-monotonic.Micros(report.At) < reportLifetime {
			recent = append(recent, report)
		}
	}
	record.Reports = append(recent, &wire.TripReport{Proxy: request.Proxy, Incarnation: request.Incarnation, At: int64(now)})
	active := map[string]bool{request.Proxy: true}
	for _, proxy := range request.Active {
		active[proxy] = true
	}
	reporting := 0
	for _, report := range record.Reports {
		if active[report.Proxy] {
			reporting++
		}
	}
	if reporting >= max((len(active)+1)/2, min(2, len(active))) {
		setState(record, Open, now)
	}
	return true
}

// tally counts a leased probe's outcome, once.
func recordProbe(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if !removeProbe(record, request) {
		return false
	}
	record.ProbeResults = append(record.ProbeResults, &wire.ProbeResult{Id: request.Id, Success: request.Success, Proxy: request.Proxy})
	if len(record.ProbeResults) >= int(max(1, record.Settings.Permitted)) {
		record.RoundCompletedAt = int64(now)
	}
	return true
}

// returnProbe returns a leased probe that told nothing of the service.
func returnProbe(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, _ monotonic.Micros) bool {
	if !removeProbe(record, request) {
		return false
	}
	refundProbe(record, request.Proxy)
	return true
}

// removeProbe ends the tenure of a probe, if its holder asks.
func removeProbe(record *wire.BreakerRecord, request *wire.BreakerWriteRequest) bool {
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

// returned puts a carrier's slot back into the budget.
func refundProbe(record *wire.BreakerRecord, proxy string) {
	record.Budget++
	shareOf(record, proxy).Returned++
}

// share finds what a carrier had of the round under way.
func shareOf(record *wire.BreakerRecord, proxy string) *wire.ProbeShare {
	for _, present := range record.Shares {
		if present.Proxy == proxy {
			return present
		}
	}
	created := &wire.ProbeShare{Proxy: proxy}
	record.Shares = append(record.Shares, created)
	return created
}

func decideRound(record *wire.BreakerRecord, request *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if record.State != HalfOpen || record.RoundCompletedAt == 0 || (request.Decision != Closed && request.Decision != Open) {
		return false
	}
	setState(record, request.Decision, now)
	return true
}

// JudgeRound applies the thresholds to a complete round. The last prober and the holder both use it. As with a trip, one carrier
// alone doesn't open the record for others who took part and fared well.
func JudgeRound(record *wire.BreakerRecord) string {
	failed := failedProbes(record)
	if len(record.ProbeResults) == 0 {
		return Open
	}
	if exceedsFailureRate(record) && len(proxiesOf(failed)) >= min(2, len(proxiesOf(record.ProbeResults))) {
		return Open
	}
	return Closed
}

// exceedsFailureRate tells whether a round's failures reach the threshold, whoever saw them.
func exceedsFailureRate(record *wire.BreakerRecord) bool {
	return float64(len(failedProbes(record))) >= record.Settings.FailureRate*float64(len(record.ProbeResults))
}

// LeaseProbe takes one probe out of the budget. Asking again with the same id gives the same probe, not another.
func (t *Table) LeaseProbe(request *wire.ProbeLeaseRequest, now monotonic.Micros) *wire.ProbeLeaseResponse {
	t.revision++
	record := t.records[request.Service]
	response := &wire.ProbeLeaseResponse{}
	if record == nil {
		return response
	}
	for _, probe := range record.ProbeLeases {
		response.Granted = response.Granted || probe.Id == request.Id
	}
	if !response.Granted && (canLeaseProbe(record, request, now) || t.InjectedFault == FaultNoProbeShares && record.State == HalfOpen && record.Budget > 0) {
		record.Budget--
		shareOf(record, request.Proxy).Granted++
		record.ProbeLeases = append(record.ProbeLeases, &wire.ProbeLease{Id: request.Id, Proxy: request.Proxy, Incarnation: request.Incarnation,
			Until: int64(now) + record.Settings.ProbeLease})
		extendExpiry(record, now)
		response.Granted = true
	}
	response.Record = proto.Clone(record).(*wire.BreakerRecord)
	return response
}

// DeniedProbe answers an ask for a probe that the present record can't grant, so that nothing has to be written for it. It gives
// nothing where one might be granted.
func (t *Table) DeniedProbe(request *wire.ProbeLeaseRequest, now monotonic.Micros) *wire.ProbeLeaseResponse {
	record := t.records[request.Service]
	if record == nil {
		return &wire.ProbeLeaseResponse{}
	}
	if canLeaseProbe(record, request, now) || t.InjectedFault == FaultNoProbeShares || slices.ContainsFunc(record.ProbeLeases, func(probe *wire.ProbeLease) bool { return probe.Id == request.Id }) {
		return nil
	}
	return &wire.ProbeLeaseResponse{Record: proto.Clone(record).(*wire.BreakerRecord)}
}

// canLeaseProbe tells whether a carrier may have a probe. While others want entry too, it has a share of the round. What is left
// of others' shares goes, after a while, to those whose own probes told something; and if nobody ends the round, to all. Those
// whose probes failed the round before let the others go first: what is true of the service the others will see too.
func canLeaseProbe(record *wire.BreakerRecord, request *wire.ProbeLeaseRequest, now monotonic.Micros) bool {
	if record.State != HalfOpen || record.Budget == 0 {
		return false
	}
	active := map[string]bool{request.Proxy: true}
	for _, proxy := range request.Active {
		active[proxy] = true
	}
	age, contenders := int64(now)-record.EnteredAt, len(active)
	if contenders == 1 || age >= 2*record.Settings.ProbeLease {
		return true
	}
	for _, proxy := range record.Suspects {
		delete(active, proxy)
	}
	if slices.Contains(record.Suspects, request.Proxy) && len(active) > 0 && age < record.Settings.ProbeLease {
		return false
	}
	own := &wire.ProbeShare{}
	for _, present := range record.Shares {
		if present.Proxy == request.Proxy {
			own = present
		}
	}
	quota := (max(1, record.Settings.Permitted) + uint32(contenders) - 1) / uint32(contenders)
	return own.Granted < quota || own.Returned == 0 && age >= int64(unusedShareDelay)
}

// Sweep lets time do its part: waits end, probes whose tenure ran out or whose holder is gone go back, complete rounds
// that nobody decided are decided, and untouched records expire.
func (t *Table) Sweep(ended []*wire.MemberID, now monotonic.Micros) {
	t.revision++
	endedProxies := map[string]uint64{}
	for _, holder := range ended {
		endedProxies[holder.Name] = holder.Incarnation
	}
	for _, service := range t.services() {
		record := t.records[service]
		sweeps := defaultSweeps
		if faulty := faultySweeps[t.InjectedFault]; faulty != nil {
			sweeps = faulty
		}
		sweepRecord(record, sweeps, endedProxies, now)
		if t.InjectedFault == FaultLosesReturnedProbes && record.State == HalfOpen && len(record.ProbeResults) > 0 && record.Budget > 0 {
			record.Budget--
		}
	}
}

type sweepsByState map[string]func(record *wire.BreakerRecord, endedProxies map[string]uint64, now monotonic.Micros)

// faultySweeps are what rehearsals of the checkers put in place of sweeps.
var faultySweeps = map[string]sweepsByState{
	FaultSkipsTrial: {Closed: sweepClosed, HalfOpen: sweepHalfOpen, Open: func(record *wire.BreakerRecord, _ map[string]uint64, now monotonic.Micros) {
		if int64(now)-record.EnteredAt >= record.Settings.WaitOpen {
			setState(record, Closed, now)
		}
	}},
	FaultShortWait: {Closed: sweepClosed, HalfOpen: sweepHalfOpen, Open: func(record *wire.BreakerRecord, endedProxies map[string]uint64, now monotonic.Micros) {
		sweepOpen(record, endedProxies, now+monotonic.Micros(record.Settings.WaitOpen*3/4))
	}},
	FaultKeepsProbes: {Closed: sweepClosed, Open: sweepOpen, HalfOpen: sweepClosed},
}

func sweepRecord(record *wire.BreakerRecord, sweeps sweepsByState, endedProxies map[string]uint64, now monotonic.Micros) {
	if record.Settings == nil {
		return
	}
	reports := []*wire.TripReport{}
	for _, report := range record.Reports {
		if now-monotonic.Micros(report.At) < reportLifetime {
			reports = append(reports, report)
		}
	}
	record.Reports = reports
	if record.State != Closed && int64(now) >= record.ExpiresAt {
		setState(record, Closed, now)
		return
	}
	sweeps[record.State](record, endedProxies, now)
}

var defaultSweeps = sweepsByState{Closed: sweepClosed, Open: sweepOpen, HalfOpen: sweepHalfOpen}

func sweepClosed(*wire.BreakerRecord, map[string]uint64, monotonic.Micros) {}

func sweepOpen(record *wire.BreakerRecord, _ map[string]uint64, now monotonic.Micros) {
	if int64(now)-record.EnteredAt >= record.Settings.WaitOpen {
		setState(record, HalfOpen, now)
		extendExpiry(record, now)
	}
}

func sweepHalfOpen(record *wire.BreakerRecord, endedProxies map[string]uint64, now monotonic.Micros) {
	remaining := []*wire.ProbeLease{}
	for _, probe := range record.ProbeLeases {
		if incarnation, ended := endedProxies[probe.Proxy]; int64(now) >= probe.Until || (ended && incarnation == probe.Incarnation) {
			refundProbe(record, probe.Proxy)
			continue
		}
		remaining = append(remaining, probe)
	}
	record.ProbeLeases = remaining
	if record.RoundCompletedAt != 0 && int64(now)-record.RoundCompletedAt >= int64(decisionTimeout) {
		setState(record, JudgeRound(record), now)
		extendExpiry(record, now)
	}
}
