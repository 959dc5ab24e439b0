// Package pigeonhole keeps the shared breaker records: one per service, each holding the shared verdict, the trial
// allowance and who holds a part of it. It's a pure state machine: time comes in as holder time.
package pigeonhole

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// The states of a record.
const (
	Closed   = "closed"
	Open     = "open"
	HalfOpen = "half_open"
)

const (
	// reportLife is how long a local trip counts towards opening the shared record.
	reportLife = 10 * postmark.Second
	// decisionLife is how long a complete round waits for its last prober's decision before the holder decides itself.
	decisionLife = 2 * postmark.Second
)

// Table holds the records.
//
// Invariants, per record:
//   - the serial rises with every change of state and never falls, even when the record expires;
//   - while half open: budget + probes + tallies == permitted, so no slot is lost or made;
//   - an id is in probes or in tallies, never in both; only ids that were leased are ever tallied;
//   - reports are only kept while closed.
type Table struct {
	records map[string]*wire.GuardRecord
	// Leaky loses the slots of ended carriers, and AnyTrip opens on a single report; only rehearsals of the checkers
	// set them.
	Leaky, AnyTrip bool
}

// New makes an empty table.
func New() *Table { return &Table{records: map[string]*wire.GuardRecord{}} }

// Restore replaces the table's content.
func (table *Table) Restore(records []*wire.GuardRecord) {
	table.records = map[string]*wire.GuardRecord{}
	for _, record := range records {
		table.records[record.Service] = record
	}
}

// Records lists copies of all records, by service.
func (table *Table) Records() []*wire.GuardRecord {
	var records []*wire.GuardRecord
	for _, service := range table.services() {
		records = append(records, proto.Clone(table.records[service]).(*wire.GuardRecord))
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

func (table *Table) record(service string, terms *wire.GuardTerms, now postmark.Micros) *wire.GuardRecord {
	record := table.records[service]
	if record == nil {
		record = &wire.GuardRecord{Service: service, State: Closed, Serial: 1, Entered: int64(now)}
		table.records[service] = record
	}
	if terms != nil {
		record.Terms = terms
	}
	return record
}

// touch refreshes the record's life, as every write does.
func touch(record *wire.GuardRecord, now postmark.Micros) {
	if record.Terms != nil {
		record.Expires = int64(now) + record.Terms.StateTtl
	}
}

func enter(record *wire.GuardRecord, state string, now postmark.Micros) {
	record.State, record.Entered = state, int64(now)
	record.Serial++
	record.Budget, record.Probes, record.Tallies, record.RoundComplete, record.Reports = 0, nil, nil, 0, nil
	if state == HalfOpen {
		record.Budget = max(1, record.Terms.Permitted)
	}
}

type verb func(record *wire.GuardRecord, ask *wire.GuardWriteAsk, now postmark.Micros) bool

var verbs = map[string]verb{"trip": trip, "probe": tally, "decide": decide}

// Write carries out a fenced write. A serial that doesn't match changes nothing; either way the present record comes back.
func (table *Table) Write(ask *wire.GuardWriteAsk, now postmark.Micros) *wire.GuardWriteTell {
	record := table.record(ask.Service, ask.Terms, now)
	tell := &wire.GuardWriteTell{}
	if carryOut := verbs[ask.Verb]; carryOut != nil && ask.ExpectedSerial == record.Serial {
		if table.AnyTrip {
			ask.Active = nil
		}
		if tell.Applied = carryOut(record, ask, now); tell.Applied {
			touch(record, now)
		}
	}
	tell.RoundComplete = record.State == HalfOpen && record.RoundComplete != 0
	tell.Record = proto.Clone(record).(*wire.GuardRecord)
	return tell
}

// trip notes a carrier's report, and opens the record once enough of the active carriers report.
func trip(record *wire.GuardRecord, ask *wire.GuardWriteAsk, now postmark.Micros) bool {
	if record.State != Closed || record.Terms == nil {
		return false
	}
	kept := []*wire.TripReport{}
	for _, report := range record.Reports {
		if report.Carrier != ask.Carrier && now-postmark.Micros(report.At) < reportLife {
			kept = append(kept, report)
		}
	}
	record.Reports = append(kept, &wire.TripReport{Carrier: ask.Carrier, Incarnation: ask.Incarnation, At: int64(now)})
	active := map[string]bool{ask.Carrier: true}
	for _, carrier := range ask.Active {
		active[carrier] = true
	}
	reporting := 0
	for _, report := range record.Reports {
		if active[report.Carrier] {
			reporting++
		}
	}
	if reporting >= max((len(active)+1)/2, min(2, len(active))) {
		enter(record, Open, now)
	}
	return true
}

// tally counts a leased probe's outcome, once.
func tally(record *wire.GuardRecord, ask *wire.GuardWriteAsk, now postmark.Micros) bool {
	if record.State != HalfOpen {
		return false
	}
	for index, probe := range record.Probes {
		if probe.Id != ask.Id || probe.Carrier != ask.Carrier || probe.Incarnation != ask.Incarnation {
			continue
		}
		record.Probes = append(record.Probes[:index:index], record.Probes[index+1:]...)
		record.Tallies = append(record.Tallies, &wire.ProbeTally{Id: ask.Id, Success: ask.Success})
		if len(record.Tallies) >= int(max(1, record.Terms.Permitted)) {
			record.RoundComplete = int64(now)
		}
		return true
	}
	return false
}

func decide(record *wire.GuardRecord, ask *wire.GuardWriteAsk, now postmark.Micros) bool {
	if record.State != HalfOpen || record.RoundComplete == 0 || (ask.Decision != Closed && ask.Decision != Open) {
		return false
	}
	enter(record, ask.Decision, now)
	return true
}

// Judge applies the thresholds to a complete round. The last prober and the holder both use it.
func Judge(record *wire.GuardRecord) string {
	failures := 0
	for _, entry := range record.Tallies {
		if !entry.Success {
			failures++
		}
	}
	if len(record.Tallies) == 0 || float64(failures) >= record.Terms.FailureRate*float64(len(record.Tallies)) {
		return Open
	}
	return Closed
}

// Lease takes one probe out of the budget. Asking again with the same id gives the same probe, not another.
func (table *Table) Lease(ask *wire.ProbeLeaseAsk, now postmark.Micros) *wire.ProbeLeaseTell {
	record := table.records[ask.Service]
	if record == nil {
		return &wire.ProbeLeaseTell{}
	}
	tell := &wire.ProbeLeaseTell{}
	for _, probe := range record.Probes {
		tell.Granted = tell.Granted || probe.Id == ask.Id
	}
	if !tell.Granted && record.State == HalfOpen && record.Budget > 0 {
		record.Budget--
		record.Probes = append(record.Probes, &wire.ProbeTenure{Id: ask.Id, Carrier: ask.Carrier, Incarnation: ask.Incarnation,
			Until: int64(now) + record.Terms.ProbeTenure})
		touch(record, now)
		tell.Granted = true
	}
	tell.Record = proto.Clone(record).(*wire.GuardRecord)
	return tell
}

// Sweep lets time do its part: waits end, probes whose tenure ran out or whose holder is gone go back, complete rounds
// that nobody decided are decided, and untouched records expire.
func (table *Table) Sweep(ended []*wire.Holder, now postmark.Micros) {
	gone := map[string]uint64{}
	for _, holder := range ended {
		gone[holder.Name] = holder.Incarnation
	}
	for _, service := range table.services() {
		sweep(table.records[service], gone, now)
		if table.Leaky {
			leak(table.records[service])
		}
	}
}

func sweep(record *wire.GuardRecord, gone map[string]uint64, now postmark.Micros) {
	if record.Terms == nil {
		return
	}
	reports := []*wire.TripReport{}
	for _, report := range record.Reports {
		if now-postmark.Micros(report.At) < reportLife {
			reports = append(reports, report)
		}
	}
	record.Reports = reports
	if record.State != Closed && int64(now) >= record.Expires {
		enter(record, Closed, now)
		return
	}
	sweeps[record.State](record, gone, now)
}

// leak drops what a probe that went back had given back.
func leak(record *wire.GuardRecord) {
	if record.State == HalfOpen && len(record.Tallies) > 0 && record.Budget > 0 {
		record.Budget--
	}
}

var sweeps = map[string]func(record *wire.GuardRecord, gone map[string]uint64, now postmark.Micros){
	Closed: func(*wire.GuardRecord, map[string]uint64, postmark.Micros) {},
	Open: func(record *wire.GuardRecord, _ map[string]uint64, now postmark.Micros) {
		if int64(now)-record.Entered >= record.Terms.WaitOpen {
			enter(record, HalfOpen, now)
			touch(record, now)
		}
	},
	HalfOpen: func(record *wire.GuardRecord, gone map[string]uint64, now postmark.Micros) {
		held := []*wire.ProbeTenure{}
		for _, probe := range record.Probes {
			if incarnation, ended := gone[probe.Carrier]; int64(now) >= probe.Until || (ended && incarnation == probe.Incarnation) {
				record.Budget++
				continue
			}
			held = append(held, probe)
		}
		record.Probes = held
		if record.RoundComplete != 0 && int64(now)-record.RoundComplete >= int64(decisionLife) {
			enter(record, Judge(record), now)
			touch(record, now)
		}
	},
}
