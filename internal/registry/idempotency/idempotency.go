// Package idempotency keeps the claims of run-once requests: which try holds a key, which tries are void, and from
// which moment on a key was refused. It's a pure state machine on holder time.
package idempotency

import (
	"bytes"

	"google.golang.org/protobuf/encoding/protowire"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Lifetime is how long a claim, a void or a fence lasts after it was last written unless the table has another: twice the minute
// that is promised.
const DefaultLifetime = 120 * monotonic.Second

// The outcomes of an ask.
const (
	Granted      = "granted"
	Pending      = "held"
	BodyMismatch = "other_body"
	Voided       = "voided"
	Fenced       = "fenced"
	Claimed      = "claimed"
)

const (
	stateFree    = "free"
	statePending = "held"
)

// Table holds the claims.
//
// Invariants, per scope:
//   - at most one try holds it, and a try that is void never does;
//   - a fence is older than every grant made after it: a request is only granted past a fence if it was read after it;
//   - a held record leaves only by its holder's word that nothing ran, or by the end of its life.
type Table struct {
	// Lifetime is how long records last. It's set before the first command, the same at every copy.
	Lifetime monotonic.Micros
	records  recordStore
}

// New makes an empty table.
func New() *Table { return &Table{Lifetime: DefaultLifetime, records: newRecordStore()} }

// Restore replaces the table's content by encoded records, as AppendSnapshot gave them. They are kept, not copied. An error leaves the
// table as it was.
func (t *Table) Restore(contents [][]byte) error {
	next, err := loadRecordStore(contents)
	if err != nil {
		return err
	}
	t.records = next
	return nil
}

// AppendSnapshot appends all claims as a repeated field of a message, the first to end first. It's a copy of bytes: a view is made while
// everybody who claims waits.
func (t *Table) AppendSnapshot(to []byte, field protowire.Number) []byte {
	for present := t.records.first; present != nil; present = present.next {
		to = protowire.AppendTag(to, field, protowire.BytesType)
		to = protowire.AppendBytes(to, present.content)
	}
	return to
}

// Len is the number of records.
func (t *Table) Len() int { return len(t.records.byScope) }

// EncodedSize is the length of all records as they are encoded, in bytes.
func (t *Table) EncodedSize() int { return t.records.size }

func (t *Table) find(scope string) *wire.ClaimRecord {
	if present := t.records.byScope[scope]; present != nil {
		return present.decode()
	}
	return nil
}

// record is the scope's, or a new one, its life begun anew.
func (t *Table) recordFor(scope string, now monotonic.Micros) *wire.ClaimRecord {
	record := t.find(scope)
	if record == nil {
		record = &wire.ClaimRecord{Scope: scope, State: stateFree}
	}
	record.Expires = int64(now + t.Lifetime)
	return record
}

func isVoided(record *wire.ClaimRecord, attempt string) bool {
	for _, present := range record.Voided {
		if present == attempt {
			return true
		}
	}
	return false
}

// behind tells whether a request that was read at a moment may have been read before the fence.
// Moments of one epoch compare; a moment of an older epoch than the fence's is behind it.
func readBeforeFence(fence, read *wire.LeaderTimestamp) bool {
	if fence == nil {
		return false
	}
	if read == nil || read.Epoch < fence.Epoch {
		return true
	}
	return read.Epoch == fence.Epoch && read.Time <= fence.Time
}

// RepeatedGrant is what a carrier that asks again was told before, if it was granted; its first answer was lost or late.
func (t *Table) RepeatedGrant(request *wire.ClaimRequest) *wire.ClaimResponse {
	present := t.find(request.Scope)
	if present == nil || present.State != statePending || present.Attempt != request.Attempt || present.Proxy != request.Proxy ||
		present.Incarnation != request.Incarnation || isVoided(present, request.Attempt) || !bytes.Equal(present.Digest, request.Digest) {
		return nil
	}
	return &wire.ClaimResponse{Outcome: Granted, Owner: request.Proxy, OwnerIncarnation: request.Incarnation, Attempt: request.Attempt}
}

// Claim asks for the right to run.
func (t *Table) Claim(request *wire.ClaimRequest, now monotonic.Micros) *wire.ClaimResponse {
	present := t.find(request.Scope)
	if present != nil {
		switch {
		case isVoided(present, request.Attempt):
			return &wire.ClaimResponse{Outcome: Voided}
		case present.State == statePending && !bytes.Equal(present.Digest, request.Digest):
			return &wire.ClaimResponse{Outcome: BodyMismatch}
		case present.State == statePending:
			if again := t.RepeatedGrant(request); again != nil {
				return again
			}
			return &wire.ClaimResponse{Outcome: Pending, Owner: present.Proxy, OwnerIncarnation: present.Incarnation, Attempt: present.Attempt}
		case readBeforeFence(present.Fence, request.ReadAt):
			return &wire.ClaimResponse{Outcome: Fenced}
		}
	}
	record := t.recordFor(request.Scope, now)
	record.State, record.Digest, record.Attempt = statePending, request.Digest, request.Attempt
	record.Proxy, record.Incarnation = request.Proxy, request.Incarnation
	t.records.put(record)
	return &wire.ClaimResponse{Outcome: Granted, Owner: request.Proxy, OwnerIncarnation: request.Incarnation, Attempt: request.Attempt}
}

// Void makes sure that a try never runs, or tells that the key is claimed. With a fence, no request read before now
// will run under the key either.
func (t *Table) Void(request *wire.VoidClaimRequest, epoch uint64, now monotonic.Micros) *wire.VoidClaimResponse {
	if present := t.find(request.Scope); present != nil && present.State == statePending {
		if request.Attempt != "" && present.Attempt != request.Attempt && !isVoided(present, request.Attempt) {
			present.Voided = append(present.Voided, request.Attempt)
			t.records.put(present)
		}
		return &wire.VoidClaimResponse{Outcome: Claimed}
	}
	record := t.recordFor(request.Scope, now)
	if request.Attempt != "" && !isVoided(record, request.Attempt) {
		record.Voided = append(record.Voided, request.Attempt)
	}
	defer t.records.put(record)
	if request.Fence {
		record.Fence = &wire.LeaderTimestamp{Epoch: epoch, Time: int64(now)}
		return &wire.VoidClaimResponse{Outcome: Voided, Fence: &wire.LeaderTimestamp{Epoch: epoch, Time: int64(now)}}
	}
	return &wire.VoidClaimResponse{Outcome: Voided}
}

// Complete frees a key whose holder is certain that nothing ran. The try stays void.
func (t *Table) Complete(request *wire.CompleteClaimRequest, now monotonic.Micros) *wire.CompleteClaimResponse {
	present := t.find(request.Scope)
	if present == nil || present.State != statePending || present.Attempt != request.Attempt || request.Ran {
		return &wire.CompleteClaimResponse{}
	}
	record := t.recordFor(request.Scope, now)
	record.State, record.Digest = stateFree, nil
	record.Voided = append(record.Voided, request.Attempt)
	record.Attempt, record.Proxy, record.Incarnation = "", "", 0
	t.records.put(record)
	return &wire.CompleteClaimResponse{Done: true}
}

// Sweep forgets what has outlived its promise.
func (t *Table) Sweep(now monotonic.Micros) {
	for first := t.records.first; first != nil && now >= first.expires; first = t.records.first {
		t.records.remove(first)
	}
}
