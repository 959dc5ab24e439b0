package statemachine_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/statemachine"
	"snowflow/internal/transport/wire"
)

// TestRack keeps transcripts of commands to the sorters' replicated state. Each line is one command at a second of holder
// time; after every one the state is taken through a view and back, as a failover would.
func TestRack(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		state := statemachine.New()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var text strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
				fmt.Fprintf(&text, "%s\n", play(t, state, strings.Fields(line)))
				again := statemachine.New()
				if err := again.Restore(state.View()); err != nil {
					t.Fatal(err)
				}
				state = again
			}
			return text.String()
		})
	})
}

var terms = &wire.GuardTerms{WaitOpen: int64(5 * monotonic.Second), Permitted: 2, FailureRate: 0.5, ProbeTenure: int64(3 * monotonic.Second), StateTtl: int64(300 * monotonic.Second)}

// play carries out "SECOND VERB ARGUMENTS...".
func play(t *testing.T, state *statemachine.Machine, words []string) (text string) {
	var second float64
	if _, err := fmt.Sscan(words[0], &second); err != nil {
		t.Fatal(err)
	}
	number := func(index int) (value uint64) { _, _ = fmt.Sscan(words[index], &value); return value }
	command := &wire.SorterCommand{}
	switch words[1] {
	case "claim": // key body try carrier epoch read-second
		command.Claim = &wire.ClaimAsk{Scope: words[2], Digest: []byte(words[3]), Try: words[4], Carrier: words[5],
			ReadAt: &wire.HolderMoment{Epoch: number(6), Time: int64(number(7)) * int64(monotonic.Second)}}
	case "void": // key try
		command.Void = &wire.VoidAsk{Scope: words[2], Try: words[3]}
	case "refuse": // key
		command.Void = &wire.VoidAsk{Scope: words[2], Fence: true}
	case "free": // key try
		command.Settle = &wire.SettleAsk{Scope: words[2], Try: words[3]}
	case "trip": // carrier serial active...
		command.Guard = &wire.GuardWriteAsk{Service: "forms", Verb: "trip", Carrier: words[2], ExpectedSerial: number(3), Active: words[4:], Terms: terms}
	case "lease": // carrier id active...
		command.Lease = &wire.ProbeLeaseAsk{Service: "forms", Carrier: words[2], Id: words[3], Active: words[4:]}
		// A primary that turns an ask down without a write must not turn down what the write would grant, nor the reverse.
		denied := state.Guards.Denied(command.Lease, monotonic.Micros(second*1e6))
		defer func() {
			if granted := strings.Contains(text, "granted true"); granted == (denied != nil) {
				t.Errorf("%v: granted %v, denied beforehand %v", words, granted, denied != nil)
			}
		}()
	case "return": // carrier id serial
		command.Guard = &wire.GuardWriteAsk{Service: "forms", Verb: "return", Carrier: words[2], Id: words[3], ExpectedSerial: number(4), Terms: terms}
	case "probe": // carrier id serial good|bad
		command.Guard = &wire.GuardWriteAsk{Service: "forms", Verb: "probe", Carrier: words[2], Id: words[3], ExpectedSerial: number(4), Success: words[5] == "good", Terms: terms}
	case "decide": // serial state
		command.Guard = &wire.GuardWriteAsk{Service: "forms", Verb: "decide", ExpectedSerial: number(2), Decision: words[3], Terms: terms}
	case "ended": // carrier
		command.Tick = &wire.Tick{Ended: []*wire.Holder{{Name: words[2]}}}
	case "duty": // duty carrier instance seconds
		command.Duty = &wire.DutyAsk{Duty: words[2], Carrier: words[3], Instance: words[4], Length: int64(number(5)) * int64(monotonic.Second)}
	case "stop": // duty instance
		command.Duty = &wire.DutyAsk{Duty: words[2], Instance: words[3], Release: true}
	case "wait":
	default:
		t.Fatalf("no verb %q", words[1])
	}
	content, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	result := &wire.SorterResult{}
	if err := proto.Unmarshal(state.Apply(7, monotonic.Micros(second*1e6), content), result); err != nil {
		t.Fatal(err)
	}
	text = strings.Join(words, " ") + " ->"
	if result.Claim != nil {
		text += " " + result.Claim.Outcome
	}
	if result.Void != nil {
		text += " " + result.Void.Outcome
	}
	if result.Settle != nil {
		text += fmt.Sprintf(" freed %v", result.Settle.Done)
	}
	if result.Duty != nil {
		text += fmt.Sprintf(" granted %v for %d s, %q at %q has it", result.Duty.Granted, result.Duty.Length/1e6, result.Duty.Instance, result.Duty.Holder)
	}
	if result.Lease != nil {
		text += fmt.Sprintf(" granted %v", result.Lease.Granted)
	}
	if result.Guard != nil {
		text += fmt.Sprintf(" applied %v", result.Guard.Applied)
	}
	for _, record := range state.Guards.Records() {
		text += fmt.Sprintf("; %s, serial %d, budget %d, out %d, tallied %d, reports %d", record.State, record.Serial, record.Budget, len(record.Probes), len(record.Tallies), len(record.Reports))
	}
	return text
}
