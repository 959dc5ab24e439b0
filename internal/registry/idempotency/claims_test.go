package idempotency_test

import (
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

// TestSetLife: a claim is held for as long as its table's life, a restored one too.
func TestSetLife(t *testing.T) {
	for _, life := range []monotonic.Micros{idempotency.Life, 270 * monotonic.Second} {
		table := idempotency.New()
		table.Life = life
		ask := func(try string, now monotonic.Micros) string {
			return table.Claim(&wire.ClaimRequest{Scope: "one", Attempt: try, Proxy: "c", Incarnation: 1, Digest: []byte("d")}, now).Outcome
		}
		start := monotonic.Minute
		if told := ask("first", start); told != idempotency.Granted {
			t.Fatal(told)
		}
		restored(t, table)
		table.Sweep(start + life - 1)
		if told := ask("second", start+life-1); told != idempotency.Held {
			t.Errorf("life %d: %s before its end", life, told)
		}
		table.Sweep(start + life)
		if told := ask("third", start+life); told != idempotency.Granted {
			t.Errorf("life %d: %s after its end", life, told)
		}
	}
}

// restored takes a table through a view and back.
func restored(t *testing.T, table *idempotency.Table) {
	t.Helper()
	if err := table.Restore(contents(t, table.AppendView(nil, 2))); err != nil {
		t.Fatal(err)
	}
}

// contents are the encoded claims of a view, in its order.
func contents(t *testing.T, view []byte) (contents [][]byte) {
	t.Helper()
	for len(view) > 0 {
		_, _, tag := protowire.ConsumeTag(view)
		content, length := protowire.ConsumeBytes(view[tag:])
		if length < 0 {
			t.Fatal(protowire.ParseError(length))
		}
		contents, view = append(contents, content), view[tag+length:]
	}
	return contents
}

// model is the table as plain as can be: records by scope, and a sweep that looks at each.
type model struct {
	life    monotonic.Micros
	records map[string]*wire.ClaimRecord
}

func (model *model) record(scope string, now monotonic.Micros) *wire.ClaimRecord {
	if model.records[scope] == nil {
		model.records[scope] = &wire.ClaimRecord{Scope: scope, State: "free"}
	}
	model.records[scope].Expires = int64(now + model.life)
	return model.records[scope]
}

// TestKeptAgainstModel plays random commands to a table and to a model of it, with views taken and restored between, also ones whose
// records stand in another order, as an earlier build gave them.
func TestKeptAgainstModel(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		table, plain := idempotency.New(), &model{life: 50, records: map[string]*wire.ClaimRecord{}}
		table.Life = plain.life
		now := monotonic.Micros(0)
		for step := range 400 {
			now += monotonic.Micros(random.IntN(4))
			scope, try := fmt.Sprintf("key-%d", random.IntN(30)), fmt.Sprintf("try-%d", random.IntN(4))
			present := plain.records[scope]
			held := present != nil && present.State == "held"
			void := present != nil && slices.Contains(present.Voided, try)
			switch random.IntN(5) {
			case 0, 1:
				outcome := idempotency.Granted
				switch {
				case void:
					outcome = idempotency.Voided
				case held && present.Attempt != try:
					outcome = idempotency.Held
				case !held:
					record := plain.record(scope, now)
					record.State, record.Attempt, record.Proxy, record.Incarnation, record.Digest = "held", try, "c", 1, []byte("d")
				}
				if told := table.Claim(&wire.ClaimRequest{Scope: scope, Attempt: try, Proxy: "c", Incarnation: 1, Digest: []byte("d")}, now).Outcome; told != outcome {
					t.Fatalf("seed %d, step %d: claim %s, not %s", seed, step, told, outcome)
				}
			case 2:
				outcome := idempotency.Voided
				if held {
					outcome = idempotency.Claimed
					if present.Attempt != try && !void {
						present.Voided = append(present.Voided, try)
					}
				} else if record := plain.record(scope, now); !void {
					record.Voided = append(record.Voided, try)
				}
				if told := table.Void(&wire.VoidClaimRequest{Scope: scope, Attempt: try}, 1, now).Outcome; told != outcome {
					t.Fatalf("seed %d, step %d: void %s, not %s", seed, step, told, outcome)
				}
			case 3:
				done := held && present.Attempt == try
				if done {
					record := plain.record(scope, now)
					record.State, record.Attempt, record.Proxy, record.Incarnation, record.Digest = "free", "", "", 0, nil
					record.Voided = append(record.Voided, try)
				}
				if told := table.Settle(&wire.CompleteClaimRequest{Scope: scope, Attempt: try}, now).Done; told != done {
					t.Fatalf("seed %d, step %d: settled %v, not %v", seed, step, told, done)
				}
			case 4:
				table.Sweep(now)
				for scope, record := range plain.records {
					if int64(now) >= record.Expires {
						delete(plain.records, scope)
					}
				}
			}
			kept := contents(t, table.AppendView(nil, 2))
			size, ends := 0, int64(0)
			for _, content := range kept {
				record := &wire.ClaimRecord{}
				if err := proto.Unmarshal(content, record); err != nil {
					t.Fatal(err)
				}
				if !proto.Equal(record, plain.records[record.Scope]) || record.Expires < ends {
					t.Fatalf("seed %d, step %d: kept %v after %d, not %v", seed, step, record, ends, plain.records[record.Scope])
				}
				size, ends = size+len(content), record.Expires
			}
			if len(kept) != len(plain.records) || table.Length() != len(kept) || table.Size() != size {
				t.Fatalf("seed %d, step %d: %d records of %d bytes, told as %d of %d, not %d", seed, step, len(kept), size, table.Length(), table.Size(), len(plain.records))
			}
			if random.IntN(10) == 0 {
				if random.IntN(2) == 0 {
					random.Shuffle(len(kept), func(one, other int) { kept[one], kept[other] = kept[other], kept[one] })
				}
				if err := table.Restore(kept); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// TestRestoreRefuses: what couldn't be decoded later, or names a scope twice, is refused, and the table stays as it was.
func TestRestoreRefuses(t *testing.T) {
	encoded := func(record *wire.ClaimRecord) []byte {
		content, err := proto.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		return content
	}
	good := encoded(&wire.ClaimRecord{Scope: "one", State: "held", Attempt: "t", Fence: &wire.LeaderTimestamp{Epoch: 1, Time: 2}, Expires: 9})
	fence := protowire.AppendBytes(protowire.AppendTag(nil, 9, protowire.BytesType), []byte{0xff})
	text := protowire.AppendBytes(protowire.AppendTag(nil, 4, protowire.BytesType), []byte{0xff})
	table := idempotency.New()
	if err := table.Restore([][]byte{good}); err != nil {
		t.Fatal(err)
	}
	for name, contents := range map[string][][]byte{"cut short": {good[:len(good)-1]}, "a scope twice": {good, good}, "a spoilt fence": {fence}, "a text that is none": {text}, "no message": {{0xff}}} {
		if table.Restore(contents) == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if told := table.Claim(&wire.ClaimRequest{Scope: "one", Attempt: "other"}, 1).Outcome; table.Length() != 1 || told != idempotency.Held {
		t.Errorf("%d claims, and a second try is %s", table.Length(), told)
	}
}
