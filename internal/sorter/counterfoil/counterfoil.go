// Package counterfoil keeps the claims of run-once requests: which try holds a key, which tries are void, and from
// which moment on a key was refused. It's a pure state machine on holder time.
package counterfoil

import (
	"bytes"
	"sort"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// Life is how long a claim, a void or a fence lasts after it was last written unless the table has another: twice the minute
// that is promised.
const Life = 120 * postmark.Second

// The outcomes of an ask.
const (
	Granted   = "granted"
	Held      = "held"
	OtherBody = "other_body"
	Voided    = "voided"
	Fenced    = "fenced"
	Claimed   = "claimed"
)

const (
	free = "free"
	held = "held"
)

// Table holds the claims.
//
// Invariants, per scope:
//   - at most one try holds it, and a try that is void never does;
//   - a fence is older than every grant made after it: a request is only granted past a fence if it was read after it;
//   - a held record leaves only by its holder's word that nothing ran, or by the end of its life.
type Table struct {
	// Life is how long records last. It's set before the first command, the same at every copy.
	Life    postmark.Micros
	records map[string]*wire.ClaimRecord
}

// New makes an empty table.
func New() *Table { return &Table{Life: Life, records: map[string]*wire.ClaimRecord{}} }

// Restore replaces the table's content.
func (table *Table) Restore(records []*wire.ClaimRecord) {
	table.records = make(map[string]*wire.ClaimRecord, len(records))
	for _, record := range records {
		table.records[record.Scope] = record
	}
}

// Records lists all claims by scope. They are shared, not copied: encode them before the table changes again.
func (table *Table) Records() []*wire.ClaimRecord {
	records := make([]*wire.ClaimRecord, 0, len(table.records))
	for _, record := range table.records {
		records = append(records, record)
	}
	sort.Slice(records, func(one, other int) bool { return records[one].Scope < records[other].Scope })
	return records
}

// Length is the number of records.
func (table *Table) Length() int { return len(table.records) }

func (table *Table) record(scope string, now postmark.Micros) *wire.ClaimRecord {
	record := table.records[scope]
	if record == nil {
		record = &wire.ClaimRecord{Scope: scope, State: free}
		table.records[scope] = record
	}
	record.Expires = int64(now + table.Life)
	return record
}

func voided(record *wire.ClaimRecord, try string) bool {
	for _, present := range record.Voided {
		if present == try {
			return true
		}
	}
	return false
}

// behind tells whether a request that was read at a moment may have been read before the fence.
// Moments of one epoch compare; a moment of an older epoch than the fence's is behind it.
func behind(fence, read *wire.HolderMoment) bool {
	if fence == nil {
		return false
	}
	if read == nil || read.Epoch < fence.Epoch {
		return true
	}
	return read.Epoch == fence.Epoch && read.Time <= fence.Time
}

// Granted is what a carrier that asks again was told before, if it was granted; its first answer was lost or late.
func (table *Table) Granted(ask *wire.ClaimAsk) *wire.ClaimTell {
	present := table.records[ask.Scope]
	if present == nil || present.State != held || present.Try != ask.Try || present.Carrier != ask.Carrier ||
		present.Incarnation != ask.Incarnation || voided(present, ask.Try) || !bytes.Equal(present.Digest, ask.Digest) {
		return nil
	}
	return &wire.ClaimTell{Outcome: Granted, Holder: ask.Carrier, HolderIncarnation: ask.Incarnation, Try: ask.Try}
}

// Claim asks for the right to run.
func (table *Table) Claim(ask *wire.ClaimAsk, now postmark.Micros) *wire.ClaimTell {
	present := table.records[ask.Scope]
	if present != nil {
		switch {
		case voided(present, ask.Try):
			return &wire.ClaimTell{Outcome: Voided}
		case present.State == held && !bytes.Equal(present.Digest, ask.Digest):
			return &wire.ClaimTell{Outcome: OtherBody}
		case present.State == held:
			if again := table.Granted(ask); again != nil {
				return again
			}
			return &wire.ClaimTell{Outcome: Held, Holder: present.Carrier, HolderIncarnation: present.Incarnation, Try: present.Try}
		case behind(present.Fence, ask.ReadAt):
			return &wire.ClaimTell{Outcome: Fenced}
		}
	}
	record := table.record(ask.Scope, now)
	record.State, record.Digest, record.Try = held, ask.Digest, ask.Try
	record.Carrier, record.Incarnation = ask.Carrier, ask.Incarnation
	return &wire.ClaimTell{Outcome: Granted, Holder: ask.Carrier, HolderIncarnation: ask.Incarnation, Try: ask.Try}
}

// Void makes sure that a try never runs, or tells that the key is claimed. With a fence, no request read before now
// will run under the key either.
func (table *Table) Void(ask *wire.VoidAsk, epoch uint64, now postmark.Micros) *wire.VoidTell {
	if present := table.records[ask.Scope]; present != nil && present.State == held {
		if ask.Try != "" && present.Try != ask.Try && !voided(present, ask.Try) {
			present.Voided = append(present.Voided, ask.Try)
		}
		return &wire.VoidTell{Outcome: Claimed}
	}
	record := table.record(ask.Scope, now)
	if ask.Try != "" && !voided(record, ask.Try) {
		record.Voided = append(record.Voided, ask.Try)
	}
	if ask.Fence {
		record.Fence = &wire.HolderMoment{Epoch: epoch, Time: int64(now)}
		return &wire.VoidTell{Outcome: Voided, Fence: &wire.HolderMoment{Epoch: epoch, Time: int64(now)}}
	}
	return &wire.VoidTell{Outcome: Voided}
}

// Settle frees a key whose holder is certain that nothing ran. The try stays void.
func (table *Table) Settle(ask *wire.SettleAsk, now postmark.Micros) *wire.SettleTell {
	present := table.records[ask.Scope]
	if present == nil || present.State != held || present.Try != ask.Try || ask.Ran {
		return &wire.SettleTell{}
	}
	record := table.record(ask.Scope, now)
	record.State, record.Digest = free, nil
	record.Voided = append(record.Voided, ask.Try)
	record.Try, record.Carrier, record.Incarnation = "", "", 0
	return &wire.SettleTell{Done: true}
}

// Sweep forgets what has outlived its promise.
func (table *Table) Sweep(now postmark.Micros) {
	for scope, record := range table.records {
		if int64(now) >= record.Expires {
			delete(table.records, scope)
		}
	}
}
