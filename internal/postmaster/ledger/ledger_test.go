package ledger_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmaster/ledger"
)

// TestLedger keeps transcripts of applies. Each line goes to two copies: one lives on, the other is given the whole state anew
// before each command; what they answer and hold must be the same. Lines are
//
//	version NUMBER CONTENT [REQUEST] | expected SERIAL CONTENT [REQUEST] | any CONTENT [REQUEST] | find SERIAL | restore
func TestLedger(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		var one *ledger.Ledger
		history := 0
		datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "new" {
				history = 0
				data.MaybeScanArgs(t, "history", &history)
				one = ledger.New(history)
			}
			var text strings.Builder
			for _, line := range strings.Split(data.Input, "\n") {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				other := ledger.New(history)
				if err := other.Restore(one.View()); err != nil {
					t.Fatal(err)
				}
				if told, again := carryOut(t, one, words), carryOut(t, other, words); told != again {
					t.Errorf("%s: %q, and %q of a copy that was given the state anew", line, told, again)
				} else {
					fmt.Fprintln(&text, told)
				}
				if string(one.View()) != string(other.View()) {
					t.Errorf("%s: the copies differ", line)
				}
			}
			for _, kept := range one.All() {
				fmt.Fprintf(&text, " %d=%s", kept.Serial, kept.Content)
			}
			return text.String() + "\n"
		})
	})
}

func carryOut(t *testing.T, one *ledger.Ledger, words []string) string {
	t.Helper()
	ask, rest := &wire.DesiredApplyAsk{}, words[2:]
	number := uint64(0)
	_, _ = fmt.Sscan(words[1], &number)
	switch words[0] {
	case "find":
		if kept := one.Find(number); kept != nil {
			return fmt.Sprintf("%s is %s", words[1], kept.Content)
		}
		return words[1] + " isn't there"
	case "version":
		ask.Version = number
	case "expected":
		ask.ExpectedSerial = number
	case "any":
		ask.AnySerial, rest = true, words[1:]
	default:
		t.Fatal(words)
	}
	ask.Content = []byte(rest[0])
	if len(rest) > 1 {
		ask.Request = rest[1]
	}
	content, err := proto.Marshal(&wire.DesiredCommand{Apply: ask})
	if err != nil {
		t.Fatal(err)
	}
	tell := &wire.DesiredApplyTell{}
	if err := proto.Unmarshal(one.Apply(1, 0, content), tell); err != nil {
		t.Fatal(err)
	}
	newest := one.Newest()
	if newest == nil || newest.Serial != one.Serial() || tell.Outcome == ledger.Accepted && one.Find(tell.Serial) != nil && one.Find(tell.Serial).Digest != tell.Digest {
		t.Errorf("%v: newest %v, serial %d, told %v", words, newest, one.Serial(), tell)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", tell.Outcome, tell.Serial, strings.Join(tell.Faults, "; ")))
}
