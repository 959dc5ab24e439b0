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
	// reportLife is how long a local trip counts towards opening the shared record.
	reportLife = 10 * monotonic.Second
	// decisionLife is how long a complete round waits for its last prober's decision before the holder decides itself.
	decisionLife = 2 * monotonic.Second
	// leftOver is how old a round must be before callers may take what others of their share left.
	leftOver = monotonic.Second
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
	records map[string]*wire.BreakerRecord
	touched uint64
	// Broken names the one thing that is wrong with this table; only rehearsals of the checkers set it.
	Broken string
}

// What may be wrong with a table, to show that a checker sees it.
const (
	Leaky     = "leaky"     // slots that went back are lost
	AnyTrip   = "any_trip"  // one carrier's trip opens for all
	Greedy    = "greedy"    // no shares: one carrier may take a whole round, and reopens alone
	Hasty     = "hasty"     // after the wait it closes without a trial
	Impatient = "impatient" // a quarter of the wait is enough
	Clinging  = "clinging"  // probes never go back
)

// New makes an empty table.
func New() *Table { return &Table{records: map[string]*wire.BreakerRecord{}} }

// Restore replaces the table's content.
func (table *Table) Restore(records []*wire.BreakerRecord) {
	table.touched++
	table.records = map[string]*wire.BreakerRecord{}
	for _, record := range records {
		table.records[record.Service] = record
	}
}

// Touched rises with whatever may have changed a record.
func (table *Table) Touched() uint64 { return table.touched }

// Records lists copies of all records, by service.
func (table *Table) Records() []*wire.BreakerRecord {
	var records []*wire.BreakerRecord
	for _, service := range table.services() {
		records = append(records, proto.Clone(table.records[service]).(*wire.BreakerRecord))
	}
	return records
}

func (table *Table) services() []string { return slices.Sorted(maps.Keys(table.records)) }

// Waiting tells whether time matters to any record.
func (table *Table) Waiting() bool {
	for _, record := range table.records {
		if record.State != Closed || len(record.Reports) > 0 {
			return true
		}
	}
	return false
}

func (table *Table) record(service string, terms *wire.BreakerSettings, now monotonic.Micros) *wire.BreakerRecord {
	record := table.records[service]
	if record == nil {
		record = &wire.BreakerRecord{Service: service, State: Closed, Version: 1, EnteredAt: int64(now)}
		table.records[service] = record
	}
	if terms != nil {
		record.Settings = terms
	}
	return record
}

// touch refreshes the record's life, as every write does.
func touch(record *wire.BreakerRecord, now monotonic.Micros) {
	if record.Settings != nil {
		record.ExpiresAt = int64(now) + record.Settings.StateTtl
	}
}

// enter changes the state. Whose probes failed a round are its suspects until the next one is over.
func enter(record *wire.BreakerRecord, state string, now monotonic.Micros) {
	if record.State != Open {
		record.Suspects = nil
	}
	if record.State == HalfOpen && state == Open {
		record.Suspects = carriersOf(failures(record))
	}
	record.State, record.EnteredAt = state, int64(now)
	record.Version++
	record.Budget, record.ProbeLeases, record.ProbeResults, record.RoundCompletedAt, record.Reports, record.Shares = 0, nil, nil, 0, nil, nil
	if state == HalfOpen {
		record.Budget = max(1, record.Settings.Permitted)
	}
}

// failures are the tallies of a round's failed probes.
func failures(record *wire.BreakerRecord) (failed []*wire.ProbeResult) {
	for _, entry := range record.ProbeResults {
		if !entry.Success {
			failed = append(failed, entry)
		}
	}
	return failed
}

// carriersOf lists the carriers of tallies, each once.
func carriersOf(tallies []*wire.ProbeResult) []string {
	names := map[string]bool{}
	for _, entry := range tallies {
		names[entry.Proxy] = true
	}
	return slices.Sorted(maps.Keys(names))
}

type verb func(record *wire.BreakerRecord, ask *wire.BreakerWriteRequest, now monotonic.Micros) bool

var verbs = map[string]verb{"trip": trip, "probe": tally, "return": giveBack, "decide": decide}

// Write carries out a fenced write. A serial that doesn't match changes nothing; either way the present record comes back.
func (table *Table) Write(ask *wire.BreakerWriteRequest, now monotonic.Micros) *wire.BreakerWriteResponse {
	table.touched++
	record := table.record(ask.Service, ask.Settings, now)
	tell := &wire.BreakerWriteResponse{}
	if carryOut := verbs[ask.Verb]; carryOut != nil && ask.ExpectedVersion == record.Version {
		if table.Broken == AnyTrip {
			ask.Active = nil
		}
		if table.Broken == Clinging && ask.Verb == "return" {
			carryOut = verbs["trip"] // which a half-open record turns down
		}
		if table.Broken == Greedy && ask.Verb == "decide" && overRate(record) {
			ask.Decision = Open
		}
		if tell.Applied = carryOut(record, ask, now); tell.Applied {
			touch(record, now)
		}
	}
	tell.RoundComplete = record.State == HalfOpen && record.RoundCompletedAt != 0
	tell.Record = proto.Clone(record).(*wire.BreakerRecord)
	return tell
}

// trip notes a carrier's report, and opens the record once enough of the active carriers report.
func trip(record *wire.BreakerRecord, ask *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if record.State != Closed || record.Settings == nil {
		return false
	}
	kept := []*wire.TripReport{}
	for _, report := range record.Reports {
		if report.Proxy != ask.Proxy && now-monotonic.Micros(report.At) < reportLife {
			kept = append(kept, report)
		}
	}
	record.Reports = append(kept, &wire.TripReport{Proxy: ask.Proxy, Incarnation: ask.Incarnation, At: int64(now)})
	active := map[string]bool{ask.Proxy: true}
	for _, carrier := range ask.Active {
		active[carrier] = true
	}
	reporting := 0
	for _, report := range record.Reports {
		if active[report.Proxy] {
			reporting++
		}
	}
	if reporting >= max((len(active)+1)/2, min(2, len(active))) {
		enter(record, Open, now)
	}
	return true
}

// tally counts a leased probe's outcome, once.
func tally(record *wire.BreakerRecord, ask *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if !takeBack(record, ask) {
		return false
	}
	record.ProbeResults = append(record.ProbeResults, &wire.ProbeResult{Id: ask.Id, Success: ask.Success, Proxy: ask.Proxy})
	if len(record.ProbeResults) >= int(max(1, record.Settings.Permitted)) {
		record.RoundCompletedAt = int64(now)
	}
	return true
}

// giveBack returns a leased probe that told nothing of the service.
func giveBack(record *wire.BreakerRecord, ask *wire.BreakerWriteRequest, _ monotonic.Micros) bool {
	if !takeBack(record, ask) {
		return false
	}
	returned(record, ask.Proxy)
	return true
}

// takeBack ends the tenure of a probe, if its holder asks.
func takeBack(record *wire.BreakerRecord, ask *wire.BreakerWriteRequest) bool {
	if record.State != HalfOpen {
		return false
	}
	for index, probe := range record.ProbeLeases {
		if probe.Id == ask.Id && probe.Proxy == ask.Proxy && probe.Incarnation == ask.Incarnation {
			record.ProbeLeases = append(record.ProbeLeases[:index:index], record.ProbeLeases[index+1:]...)
			return true
		}
	}
	return false
}

// returned puts a carrier's slot back into the budget.
func returned(record *wire.BreakerRecord, carrier string) {
	record.Budget++
	share(record, carrier).Returned++
}

// share finds what a carrier had of the round under way.
func share(record *wire.BreakerRecord, carrier string) *wire.ProbeShare {
	for _, present := range record.Shares {
		if present.Proxy == carrier {
			return present
		}
	}
	fresh := &wire.ProbeShare{Proxy: carrier}
	record.Shares = append(record.Shares, fresh)
	return fresh
}

func decide(record *wire.BreakerRecord, ask *wire.BreakerWriteRequest, now monotonic.Micros) bool {
	if record.State != HalfOpen || record.RoundCompletedAt == 0 || (ask.Decision != Closed && ask.Decision != Open) {
		return false
	}
	enter(record, ask.Decision, now)
	return true
}

// Judge applies the thresholds to a complete round. The last prober and the holder both use it. As with a trip, one carrier
// alone doesn't open the record for others who took part and fared well.
func Judge(record *wire.BreakerRecord) string {
	failed := failures(record)
	if len(record.ProbeResults) == 0 {
		return Open
	}
	if overRate(record) && len(carriersOf(failed)) >= min(2, len(carriersOf(record.ProbeResults))) {
		return Open
	}
	return Closed
}

// overRate tells whether a round's failures reach the threshold, whoever saw them.
func overRate(record *wire.BreakerRecord) bool {
	return float64(len(failures(record))) >= record.Settings.FailureRate*float64(len(record.ProbeResults))
}

// Lease takes one probe out of the budget. Asking again with the same id gives the same probe, not another.
func (table *Table) Lease(ask *wire.ProbeLeaseRequest, now monotonic.Micros) *wire.ProbeLeaseResponse {
	table.touched++
	record := table.records[ask.Service]
	tell := &wire.ProbeLeaseResponse{}
	if record == nil {
		return tell
	}
	for _, probe := range record.ProbeLeases {
		tell.Granted = tell.Granted || probe.Id == ask.Id
	}
	if !tell.Granted && (mayLease(record, ask, now) || table.Broken == Greedy && record.State == HalfOpen && record.Budget > 0) {
		record.Budget--
		share(record, ask.Proxy).Granted++
		record.ProbeLeases = append(record.ProbeLeases, &wire.ProbeLease{Id: ask.Id, Proxy: ask.Proxy, Incarnation: ask.Incarnation,
			Until: int64(now) + record.Settings.ProbeLease})
		touch(record, now)
		tell.Granted = true
	}
	tell.Record = proto.Clone(record).(*wire.BreakerRecord)
	return tell
}

// Denied answers an ask for a probe that the present record can't grant, so that nothing has to be written for it. It gives
// nothing where one might be granted.
func (table *Table) Denied(ask *wire.ProbeLeaseRequest, now monotonic.Micros) *wire.ProbeLeaseResponse {
	record := table.records[ask.Service]
	if record == nil {
		return &wire.ProbeLeaseResponse{}
	}
	if mayLease(record, ask, now) || table.Broken == Greedy || slices.ContainsFunc(record.ProbeLeases, func(probe *wire.ProbeLease) bool { return probe.Id == ask.Id }) {
		return nil
	}
	return &wire.ProbeLeaseResponse{Record: proto.Clone(record).(*wire.BreakerRecord)}
}

// mayLease tells whether a carrier may have a probe. While others want entry too, it has a share of the round. What is left
// of others' shares goes, after a while, to those whose own probes told something; and if nobody ends the round, to all. Those
// whose probes failed the round before let the others go first: what is true of the service the others will see too.
func mayLease(record *wire.BreakerRecord, ask *wire.ProbeLeaseRequest, now monotonic.Micros) bool {
	if record.State != HalfOpen || record.Budget == 0 {
		return false
	}
	active := map[string]bool{ask.Proxy: true}
	for _, carrier := range ask.Active {
		active[carrier] = true
	}
	age, wanting := int64(now)-record.EnteredAt, len(active)
	if wanting == 1 || age >= 2*record.Settings.ProbeLease {
		return true
	}
	for _, carrier := range record.Suspects {
		delete(active, carrier)
	}
	if slices.Contains(record.Suspects, ask.Proxy) && len(active) > 0 && age < record.Settings.ProbeLease {
		return false
	}
	own := &wire.ProbeShare{}
	for _, present := range record.Shares {
		if present.Proxy == ask.Proxy {
			own = present
		}
	}
	part := (max(1, record.Settings.Permitted) + uint32(wanting) - 1) / uint32(wanting)
	return own.Granted < part || own.Returned == 0 && age >= int64(leftOver)
}

// Sweep lets time do its part: waits end, probes whose tenure ran out or whose holder is gone go back, complete rounds
// that nobody decided are decided, and untouched records expire.
func (table *Table) Sweep(ended []*wire.MemberID, now monotonic.Micros) {
	table.touched++
	gone := map[string]uint64{}
	for _, holder := range ended {
		gone[holder.Name] = holder.Incarnation
	}
	for _, service := range table.services() {
		record := table.records[service]
		sweeps := sweeps
		if broken := brokenSweeps[table.Broken]; broken != nil {
			sweeps = broken
		}
		sweep(record, sweeps, gone, now)
		if table.Broken == Leaky && record.State == HalfOpen && len(record.ProbeResults) > 0 && record.Budget > 0 {
			record.Budget--
		}
	}
}

type sweepTable map[string]func(record *wire.BreakerRecord, gone map[string]uint64, now monotonic.Micros)

// brokenSweeps are what rehearsals of the checkers put in place of sweeps.
var brokenSweeps = map[string]sweepTable{
	Hasty: {Closed: sweepClosed, HalfOpen: sweepHalfOpen, Open: func(record *wire.BreakerRecord, _ map[string]uint64, now monotonic.Micros) {
		if int64(now)-record.EnteredAt >= record.Settings.WaitOpen {
			enter(record, Closed, now)
		}
	}},
	Impatient: {Closed: sweepClosed, HalfOpen: sweepHalfOpen, Open: func(record *wire.BreakerRecord, gone map[string]uint64, now monotonic.Micros) {
		sweepOpen(record, gone, now+monotonic.Micros(record.Settings.WaitOpen*3/4))
	}},
	Clinging: {Closed: sweepClosed, Open: sweepOpen, HalfOpen: sweepClosed},
}

func sweep(record *wire.BreakerRecord, sweeps sweepTable, gone map[string]uint64, now monotonic.Micros) {
	if record.Settings == nil {
		return
	}
	reports := []*wire.TripReport{}
	for _, report := range record.Reports {
		if now-monotonic.Micros(report.At) < reportLife {
			reports = append(reports, report)
		}
	}
	record.Reports = reports
	if record.State != Closed && int64(now) >= record.ExpiresAt {
		enter(record, Closed, now)
		return
	}
	sweeps[record.State](record, gone, now)
}

var sweeps = sweepTable{Closed: sweepClosed, Open: sweepOpen, HalfOpen: sweepHalfOpen}

func sweepClosed(*wire.BreakerRecord, map[string]uint64, monotonic.Micros) {}

func sweepOpen(record *wire.BreakerRecord, _ map[string]uint64, now monotonic.Micros) {
	if int64(now)-record.EnteredAt >= record.Settings.WaitOpen {
		enter(record, HalfOpen, now)
		touch(record, now)
	}
}

func sweepHalfOpen(record *wire.BreakerRecord, gone map[string]uint64, now monotonic.Micros) {
	held := []*wire.ProbeLease{}
	for _, probe := range record.ProbeLeases {
		if incarnation, ended := gone[probe.Proxy]; int64(now) >= probe.Until || (ended && incarnation == probe.Incarnation) {
			returned(record, probe.Proxy)
			continue
		}
		held = append(held, probe)
	}
	record.ProbeLeases = held
	if record.RoundCompletedAt != 0 && int64(now)-record.RoundCompletedAt >= int64(decisionLife) {
		enter(record, Judge(record), now)
		touch(record, now)
	}
}
