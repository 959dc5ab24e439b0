package idempotency

import (
	"bytes"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// DefaultLifetime is the default of Table.Lifetime: twice the minute that callers are promised.
const DefaultLifetime = 120 * monotonic.Second

// The outcomes of requests. They are stored and sent.
const (
	Granted      = "granted"      // of a claim: the attempt may run
	Pending      = "held"         // of a claim: another attempt was granted the key
	BodyMismatch = "other_body"   // of a claim: the key was granted to a request with a different body
	Fenced       = "fenced"       // of a claim: the request may have been read before the key's fence
	NotAdmitted  = "not_admitted" // of a claim: the service's shared breaker does not admit the attempt
	Voided       = "voided"       // of a claim: the attempt was voided; of a void: the attempt will never run
	Claimed      = "claimed"      // of a void: an attempt was granted the key and may have run
)

// The values of ClaimRecord.State. They are stored.
const (
	stateFree    = "free"
	statePending = "held"
)

// Table holds the claim records by scope. It is not safe for concurrent use; the state machine that owns it serializes the
// calls.
//
// Invariants of each record:
//   - At most one attempt is pending, and it is not voided.
//   - If the record has a fence, a claim is granted only to a request that was read after the fence.
//   - A pending record becomes free only when Complete reports for its attempt that nothing ran. It is removed only when its lifetime
//     ends.
type Table struct {
	// Lifetime is how long a record is kept after its last write. It must be set before the first call, and be the same on every
	// replica.
	Lifetime monotonic.Micros
	records  recordStore
}

// New returns an empty table with DefaultLifetime.
func New() *Table { return &Table{Lifetime: DefaultLifetime, records: newRecordStore()} }

// Restore replaces all records by encoded records that AppendSnapshot wrote. The table uses the slices without copying them. On an error
// it is unchanged.
func (t *Table) Restore(contents [][]byte) error {
	next, err := loadRecordStore(contents)
	if err != nil {
		return err
	}
	t.records = next
	return nil
}

// AppendSnapshot appends all records to a buffer as a repeated field of a message, in the order of their expiry. It only copies
// bytes, since claims wait while a snapshot is taken.
func (t *Table) AppendSnapshot(buffer []byte, field protowire.Number) []byte {
	for record := t.records.first; record != nil; record = record.next {
		buffer = protowire.AppendTag(buffer, field, protowire.BytesType)
		buffer = protowire.AppendBytes(buffer, record.content)
	}
	return buffer
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records.byScope) }

// EncodedSize returns the total length of the encoded records in bytes, without tags and length prefixes.
func (t *Table) EncodedSize() int { return t.records.size }

// RepeatedGrant returns the response to a claim that was already granted to the same attempt of the same proxy incarnation, whose first
// response was lost or late. It returns nil for any other claim.
func (t *Table) RepeatedGrant(request *wire.ClaimRequest) *wire.ClaimResponse {
	record := t.find(request.Scope)
	if record == nil || record.State != statePending || isVoided(record, request.Attempt) {
		return nil
	}
	sameOwner := record.Attempt == request.Attempt && record.Proxy == request.Proxy && record.Incarnation == request.Incarnation
	if !sameOwner || !bytes.Equal(record.Digest, request.Digest) {
		return nil
	}
	return grant(request)
}

// Claim grants a key to an attempt, which may then run. Otherwise the outcome tells why the claim is denied.
func (t *Table) Claim(request *wire.ClaimRequest, now monotonic.Micros) *wire.ClaimResponse {
	if existing := t.find(request.Scope); existing != nil {
		switch {
		case isVoided(existing, request.Attempt):
			return &wire.ClaimResponse{Outcome: Voided}
		case existing.State == statePending:
			return t.claimPending(existing, request)
		case readBeforeFence(existing.Fence, request.ReadAt):
			return &wire.ClaimResponse{Outcome: Fenced}
		}
	}
	if former := t.findFormer(request.FormerScope); former != nil {
		response := t.claimPending(former, request)
		response.Scope = former.Scope
		return response
	}
	record := t.recordFor(request.Scope, now)
	record.State, record.Digest, record.Attempt = statePending, request.Digest, request.Attempt
	record.Proxy, record.Incarnation = request.Proxy, request.Incarnation
	t.records.put(record)
	return grant(request)
}

// claimPending answers a claim on a key that was already granted.
func (t *Table) claimPending(record *wire.ClaimRecord, request *wire.ClaimRequest) *wire.ClaimResponse {
	if !bytes.Equal(record.Digest, request.Digest) {
		return &wire.ClaimResponse{Outcome: BodyMismatch}
	}
	if repeated := t.RepeatedGrant(request); repeated != nil {
		return repeated
	}
	return &wire.ClaimResponse{Outcome: Pending, Owner: record.Proxy, OwnerIncarnation: record.Incarnation, Attempt: record.Attempt}
}

// grant returns the response that grants a claim.
func grant(request *wire.ClaimRequest) *wire.ClaimResponse {
	return &wire.ClaimResponse{Outcome: Granted, Owner: request.Proxy, OwnerIncarnation: request.Incarnation, Attempt: request.Attempt}
}

// Void ensures that an attempt will never be granted the key, and responds Voided. If the key is pending it responds Claimed, and voids the
// attempt unless it is the pending one. If the key is free and request.Fence is set, it also stores the epoch and now as the fence, so
// that no request that was read until now is granted the key.
func (t *Table) Void(request *wire.VoidClaimRequest, epoch uint64, now monotonic.Micros) *wire.VoidClaimResponse {
	if existing := t.find(request.Scope); existing != nil && existing.State == statePending {
		if existing.Attempt != request.Attempt && addVoided(existing, request.Attempt) {
			t.records.put(existing)
		}
		return &wire.VoidClaimResponse{Outcome: Claimed}
	}
	if t.findFormer(request.FormerScope) != nil {
		return &wire.VoidClaimResponse{Outcome: Claimed}
	}
	record := t.recordFor(request.Scope, now)
	addVoided(record, request.Attempt)
	response := &wire.VoidClaimResponse{Outcome: Voided}
	if request.Fence {
		record.Fence = &wire.LeaderTimestamp{Epoch: epoch, Time: int64(now)}
		response.Fence = &wire.LeaderTimestamp{Epoch: epoch, Time: int64(now)}
	}
	t.records.put(record)
	return response
}

// Complete frees a pending key if request.Ran is false, which means that the owner of the attempt is certain that nothing ran. It voids the
// attempt, so that it is never granted again. If request.Ran is true, the record stays pending until its lifetime ends.
func (t *Table) Complete(request *wire.CompleteClaimRequest, now monotonic.Micros) *wire.CompleteClaimResponse {
	existing := t.find(request.Scope)
	if existing == nil || existing.State != statePending || existing.Attempt != request.Attempt || request.Ran {
		return &wire.CompleteClaimResponse{}
	}
	record := t.recordFor(request.Scope, now)
	record.State, record.Digest = stateFree, nil
	record.Voided = append(record.Voided, request.Attempt)
	record.Attempt, record.Proxy, record.Incarnation = "", "", 0
	t.records.put(record)
	return &wire.CompleteClaimResponse{Done: true}
}

// Sweep removes the records whose lifetime has ended.
func (t *Table) Sweep(now monotonic.Micros) {
	for first := t.records.first; first != nil && now >= first.expires; first = t.records.first {
		t.records.remove(first)
	}
}

// findFormer returns the pending record of a claim that a release without tenants made under a scope, or nil if there is none.
func (t *Table) findFormer(scope string) *wire.ClaimRecord {
	if scope == "" {
		return nil
	}
	if record := t.find(scope); record != nil && record.State == statePending {
		return record
	}
	return nil
}

// find decodes the record of a scope. It returns nil if there is none.
func (t *Table) find(scope string) *wire.ClaimRecord {
	if existing := t.records.byScope[scope]; existing != nil {
		return existing.decode()
	}
	return nil
}

// recordFor decodes the record of a scope, or creates a free one, and restarts its lifetime.
func (t *Table) recordFor(scope string, now monotonic.Micros) *wire.ClaimRecord {
	record := t.find(scope)
	if record == nil {
		record = &wire.ClaimRecord{Scope: scope, State: stateFree}
	}
	record.Expires = int64(now + t.Lifetime)
	return record
}

func isVoided(record *wire.ClaimRecord, attempt string) bool {
	return slices.Contains(record.Voided, attempt)
}

// addVoided adds an attempt to a record's voided attempts. It returns false if the attempt is empty or was already voided.
func addVoided(record *wire.ClaimRecord, attempt string) bool {
	if attempt == "" || isVoided(record, attempt) {
		return false
	}
	record.Voided = append(record.Voided, attempt)
	return true
}

// readBeforeFence reports whether a request with the leader timestamp readAt may have been read before the fence. Timestamps of the same
// epoch are compared by time; a timestamp of an older epoch is before the fence. So is a request without a timestamp.
func readBeforeFence(fence, readAt *wire.LeaderTimestamp) bool {
	if fence == nil {
		return false
	}
	if readAt == nil || readAt.Epoch < fence.Epoch {
		return true
	}
	return readAt.Epoch == fence.Epoch && readAt.Time <= fence.Time
}
