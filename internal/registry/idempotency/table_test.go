package idempotency_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/transport/wire"
)

// TestConfiguredLifetime checks that a claim stays pending for the configured lifetime, even if the table is restored meanwhile.
func TestConfiguredLifetime(t *testing.T) {
	for _, lifetime := range []monotonic.Micros{idempotency.DefaultLifetime, 270 * monotonic.Second} {
		table := idempotency.New()
		table.Lifetime = lifetime
		claim := func(attempt string, now monotonic.Micros) string {
			return table.Claim(&wire.ClaimRequest{Scope: "one", Attempt: attempt, Proxy: "c", Incarnation: 1, Digest: []byte("d")}, now).Outcome
		}
		start := monotonic.Minute
		if got := claim("first", start); got != idempotency.Granted {
			t.Fatal(got)
		}
		restoreFromSnapshot(t, table)
		table.Sweep(start + lifetime - 1)
		if got := claim("second", start+lifetime-1); got != idempotency.Pending {
			t.Errorf("lifetime %d: %s before its end", lifetime, got)
		}
		table.Sweep(start + lifetime)
		if got := claim("third", start+lifetime); got != idempotency.Granted {
			t.Errorf("lifetime %d: %s after its end", lifetime, got)
		}
	}
}

// restoreFromSnapshot takes a snapshot of a table and restores the table from it.
func restoreFromSnapshot(t *testing.T, table *idempotency.Table) {
	t.Helper()
	if err := table.Restore(decodeContents(t, table.AppendSnapshot(nil, 2))); err != nil {
		t.Fatal(err)
	}
}

// decodeContents returns the encoded records of a snapshot, in the snapshot's order.
func decodeContents(t *testing.T, snapshot []byte) (contents [][]byte) {
	t.Helper()
	for len(snapshot) > 0 {
		_, _, tag := protowire.ConsumeTag(snapshot)
		content, length := protowire.ConsumeBytes(snapshot[tag:])
		if length < 0 {
			t.Fatal(protowire.ParseError(length))
		}
		contents, snapshot = append(contents, content), snapshot[tag+length:]
	}
	return contents
}

// model is a simple reference implementation of the table: a map by scope, swept record by record.
type model struct {
	lifetime monotonic.Micros
	records  map[string]*wire.ClaimRecord
}

func (m *model) record(scope string, now monotonic.Micros) *wire.ClaimRecord {
	if m.records[scope] == nil {
		m.records[scope] = &wire.ClaimRecord{Scope: scope, State: "free"}
	}
	m.records[scope].Expires = int64(now + m.lifetime)
	return m.records[scope]
}

// TestTableMatchesModel applies random commands to a table and to a model of it. In between it restores the table from snapshots, including
// snapshots in another order, as earlier releases wrote them.
func TestTableMatchesModel(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, reference := idempotency.New(), &model{lifetime: 50, records: map[string]*wire.ClaimRecord{}}
		table.Lifetime = reference.lifetime
		now := monotonic.Micros(0)
		for step := range 400 {
			now += monotonic.Micros(random.IntN(4))
			scope, attempt := fmt.Sprintf("key-%d", random.IntN(30)), fmt.Sprintf("try-%d", random.IntN(4))
			existing := reference.records[scope]
			pending := existing != nil && existing.State == "held"
			voided := existing != nil && slices.Contains(existing.Voided, attempt)
			switch random.IntN(5) {
			case 0, 1:
				outcome := idempotency.Granted
				switch {
				case voided:
					outcome = idempotency.Voided
				case pending && existing.Attempt != attempt:
					outcome = idempotency.Pending
				case !pending:
					record := reference.record(scope, now)
					record.State, record.Attempt, record.Proxy, record.Incarnation, record.Digest = "held", attempt, "c", 1, []byte("d")
				}
				if got := table.Claim(&wire.ClaimRequest{Scope: scope, Attempt: attempt, Proxy: "c", Incarnation: 1, Digest: []byte("d")}, now).Outcome; got != outcome {
					t.Fatalf("seed %d, step %d: claim %s, want %s", seed, step, got, outcome)
				}
			case 2:
				outcome := idempotency.Voided
				if pending {
					outcome = idempotency.Claimed
					if existing.Attempt != attempt && !voided {
						existing.Voided = append(existing.Voided, attempt)
					}
				} else if record := reference.record(scope, now); !voided {
					record.Voided = append(record.Voided, attempt)
				}
				if got := table.Void(&wire.VoidClaimRequest{Scope: scope, Attempt: attempt}, 1, now).Outcome; got != outcome {
					t.Fatalf("seed %d, step %d: void %s, want %s", seed, step, got, outcome)
				}
			case 3:
				done := pending && existing.Attempt == attempt
				if done {
					record := reference.record(scope, now)
					record.State, record.Attempt, record.Proxy, record.Incarnation, record.Digest = "free", "", "", 0, nil
					record.Voided = append(record.Voided, attempt)
				}
				if got := table.Complete(&wire.CompleteClaimRequest{Scope: scope, Attempt: attempt}, now).Done; got != done {
					t.Fatalf("seed %d, step %d: completed %v, want %v", seed, step, got, done)
				}
			case 4:
				table.Sweep(now)
				for scope, record := range reference.records {
					if int64(now) >= record.Expires {
						delete(reference.records, scope)
					}
				}
			}
			stored := decodeContents(t, table.AppendSnapshot(nil, 2))
			size, lastExpiry := 0, int64(0)
			for _, content := range stored {
				record := &wire.ClaimRecord{}
				if err := proto.Unmarshal(content, record); err != nil {
					t.Fatal(err)
				}
				if !proto.Equal(record, reference.records[record.Scope]) || record.Expires < lastExpiry {
					t.Fatalf("seed %d, step %d: stored %v after %d, want %v", seed, step, record, lastExpiry, reference.records[record.Scope])
				}
				size, lastExpiry = size+len(content), record.Expires
			}
			if len(stored) != len(reference.records) || table.Len() != len(stored) || table.EncodedSize() != size {
				t.Fatalf("seed %d, step %d: %d records of %d bytes, reported as %d of %d, want %d records", seed, step, len(stored), size, table.Len(), table.EncodedSize(), len(reference.records))
			}
			if random.IntN(10) == 0 {
				if random.IntN(2) == 0 {
					random.Shuffle(len(stored), func(one, other int) { stored[one], stored[other] = stored[other], stored[one] })
				}
				if err := table.Restore(stored); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// TestRestoreRejectsInvalidRecords checks that Restore rejects records that could not be decoded later, or that have the same scope, and
// that the table is then unchanged.
func TestRestoreRejectsInvalidRecords(t *testing.T) {
	encoded := func(record *wire.ClaimRecord) []byte {
		content, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	valid := encoded(&wire.ClaimRecord{Scope: "one", State: "held", Attempt: "t", Fence: &wire.LeaderTimestamp{Epoch: 1, Time: 2}, Expires: 9})
	fence := protowire.AppendBytes(protowire.AppendTag(nil, 9, protowire.BytesType), []byte{0xff})
	text := protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), []byte{0xff})
	table := idempotency.New()
	if err := table.Restore([][]byte{valid}); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name     string
		contents [][]byte
		want     error // nil accepts any error
	}{
		{"cut short", [][]byte{valid[:len(valid)-1]}, nil},
		{"a scope twice", [][]byte{valid, valid}, idempotency.ErrDuplicateScope},
		{"an undecodable fence", [][]byte{fence}, nil},
		{"invalid UTF-8", [][]byte{text}, idempotency.ErrInvalidText},
		{"not a message", [][]byte{{0xff}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := table.Restore(test.contents); err == nil || test.want != nil && !errors.Is(err, test.want) {
				t.Errorf("rejected with %v, want %v", err, test.want)
			}
		})
	}
	if got := table.Claim(&wire.ClaimRequest{Scope: "one", Attempt: "other"}, 1).Outcome; table.Len() != 1 || got != idempotency.Pending {
		t.Errorf("%d claims, and a second attempt is %s", table.Len(), got)
	}
}

// TestFormerScope guards against a request that runs twice when tenants are introduced. A claim of a release without tenants also applies
// to the tenants' requests with the same key until its lifetime ends, and no new claim is made under its scope.
func TestFormerScope(t *testing.T) {
	table, start := idempotency.New(), 10*monotonic.Second
	claim := func(scope, former, attempt, digest string, now monotonic.Micros) *wire.ClaimResponse {
		table.Sweep(now)
		return table.Claim(&wire.ClaimRequest{Scope: scope, FormerScope: former, Attempt: attempt, Digest: []byte(digest), Proxy: "proxy"}, now)
	}
	if got := claim("k", "", "old-1", "a", start); got.Outcome != idempotency.Granted {
		t.Fatal(got)
	}
	if got := claim("north k", "k", "new-1", "a", start+1); got.Outcome != idempotency.Pending || got.Scope != "k" || got.Attempt != "old-1" {
		t.Errorf("the repeat is %v", got)
	}
	if got := claim("north k", "k", "new-2", "b", start+1); got.Outcome != idempotency.BodyMismatch {
		t.Errorf("another body is %v", got)
	}
	void := &wire.VoidClaimRequest{Scope: "north k", FormerScope: "k", Attempt: "new-6", Fence: true}
	if got := table.Void(void, 1, start+1); got.Outcome != idempotency.Claimed || got.Fence != nil {
		t.Errorf("a void of the key is %v", got)
	}
	if got := claim("north j", "j", "new-3", "a", start+2); got.Outcome != idempotency.Granted {
		t.Errorf("another key is %v", got)
	}
	if got := claim("south j", "j", "new-4", "a", start+2); got.Outcome != idempotency.Granted {
		t.Errorf("the key of another tenant is %v", got)
	}
	if got := claim("north k", "k", "new-5", "a", start+idempotency.DefaultLifetime); got.Outcome != idempotency.Granted {
		t.Errorf("after the lifetime of the former claim: %v", got)
	}
}
