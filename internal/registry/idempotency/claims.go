// Package idempotency keeps the claims of run-once requests: which try holds a key, which tries are void, and from
// which moment on a key was refused. It's a pure state machine on holder time.
package idempotency

import (
	"bytes"

	"google.golang.org/protobuf/encoding/protowire"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Life is how long a claim, a void or a fence lasts after it was last written unless the table has another: twice the minute
// that is promised.
const Life = 120 * monotonic.Second

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
	Life monotonic.Micros
	kept kept
}

// New makes an empty table.
func New() *Table { return &Table{Life: Life, kept: nothing()} }

// Restore replaces the table's content by encoded records, as AppendView gave them. They are kept, not copied. An error leaves the
// table as it was.
func (table *Table) Restore(contents [][]byte) error {
	next, err := of(contents)
	if err != nil {
		return err
	}
	table.kept = next
	return nil
}

// AppendView appends all claims as a repeated field of a message, the first to end first. It's a copy of bytes: a view is made while
// everybody who claims waits.
func (table *Table) AppendView(to []byte, field protowire.Number) []byte {
	for present := table.kept.first; present != nil; present = present.after {
		to = protowire.AppendTag(to, field, protowire.BytesType)
		to = protowire.AppendBytes(to, present.content)
	}
	return to
}

// Length is the number of records.
func (table *Table) Length() int { return len(table.kept.byScope) }

// Size is the length of all records as they are encoded, in bytes.
func (table *Table) Size() int { return table.kept.size }

func (table *Table) find(scope string) *wire.ClaimRecord {
	if present := table.kept.byScope[scope]; present != nil {
		return present.decoded()
	}
	return nil
}

// record is the scope's, or a new one, its life begun anew.
func (table *Table) record(scope string, now monotonic.Micros) *wire.ClaimRecord {
	record := table.find(scope)
	if record == nil {
		record = &wire.ClaimRecord{Scope: scope, State: free}
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
func behind(fence, read *wire.LeaderTimestamp) bool {
	if fence == nil {
		return false
	}
	if read == nil || read.Epoch < fence.Epoch {
		return true
	}
	return read.Epoch == fence.Epoch && read.Time <= fence.Time
}

// Granted is what a carrier that asks again was told before, if it was granted; its first answer was lost or late.
func (table *Table) Granted(ask *wire.ClaimRequest) *wire.ClaimResponse {
	present := table.find(ask.Scope)
	if present == nil || present.State != held || present.Attempt != ask.Attempt || present.Proxy != ask.Proxy ||
		present.Incarnation != ask.Incarnation || voided(present, ask.Attempt) || !bytes.Equal(present.Digest, ask.Digest) {
		return nil
	}
	return &wire.ClaimResponse{Outcome: Granted, Owner: ask.Proxy, OwnerIncarnation: ask.Incarnation, Attempt: ask.Attempt}
}

// Claim asks for the right to run.
func (table *Table) Claim(ask *wire.ClaimRequest, now monotonic.Micros) *wire.ClaimResponse {
	present := table.find(ask.Scope)
	if present != nil {
		switch {
		case voided(present, ask.Attempt):
			return &wire.ClaimResponse{Outcome: Voided}
		case present.State == held && !bytes.Equal(present.Digest, ask.Digest):
			return &wire.ClaimResponse{Outcome: OtherBody}
		case present.State == held:
			if again := table.Granted(ask); again != nil {
				return again
			}
			return &wire.ClaimResponse{Outcome: Held, Owner: present.Proxy, OwnerIncarnation: present.Incarnation, Attempt: present.Attempt}
		case behind(present.Fence, ask.ReadAt):
			return &wire.ClaimResponse{Outcome: Fenced}
		}
	}
	record := table.record(ask.Scope, now)
	record.State, record.Digest, record.Attempt = held, ask.Digest, ask.Attempt
	record.Proxy, record.Incarnation = ask.Proxy, ask.Incarnation
	table.kept.put(record)
	return &wire.ClaimResponse{Outcome: Granted, Owner: ask.Proxy, OwnerIncarnation: ask.Incarnation, Attempt: ask.Attempt}
}

// Void makes sure that a try never runs, or tells that the key is claimed. With a fence, no request read before now
// will run under the key either.
func (table *Table) Void(ask *wire.VoidClaimRequest, epoch uint64, now monotonic.Micros) *wire.VoidClaimResponse {
	if present := table.find(ask.Scope); present != nil && present.State == held {
		if ask.Attempt != "" && present.Attempt != ask.Attempt && !voided(present, ask.Attempt) {
			present.Voided = append(present.Voided, ask.Attempt)
			table.kept.put(present)
		}
		return &wire.VoidClaimResponse{Outcome: Claimed}
	}
	record := table.record(ask.Scope, now)
	if ask.Attempt != "" && !voided(record, ask.Attempt) {
		record.Voided = append(record.Voided, ask.Attempt)
	}
	defer table.kept.put(record)
	if ask.Fence {
		record.Fence = &wire.LeaderTimestamp{Epoch: epoch, Time: int64(now)}
		return &wire.VoidClaimResponse{Outcome: Voided, Fence: &wire.LeaderTimestamp{Epoch: epoch, Time: int64(now)}}
	}
	return &wire.VoidClaimResponse{Outcome: Voided}
}

// Settle frees a key whose holder is certain that nothing ran. The try stays void.
func (table *Table) Settle(ask *wire.CompleteClaimRequest, now monotonic.Micros) *wire.CompleteClaimResponse {
	present := table.find(ask.Scope)
	if present == nil || present.State != held || present.Attempt != ask.Attempt || ask.Ran {
		return &wire.CompleteClaimResponse{}
	}
	record := table.record(ask.Scope, now)
	record.State, record.Digest = free, nil
	record.Voided = append(record.Voided, ask.Attempt)
	record.Attempt, record.Proxy, record.Incarnation = "", "", 0
	table.kept.put(record)
	return &wire.CompleteClaimResponse{Done: true}
}

// Sweep forgets what has outlived its promise.
func (table *Table) Sweep(now monotonic.Micros) {
	for first := table.kept.first; first != nil && now >= first.expires; first = table.kept.first {
		table.kept.drop(first)
	}
}
