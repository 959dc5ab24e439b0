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

// TestTranscripts keeps transcripts of commands to the sorters' replicated state. Each line is one command at a second of holder
// time; after every one the state is taken through a view and back, as a failover would.
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		state := statemachine.New()
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			var text strings.Builder
			for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
				fmt.Fprintf(&text, "%s\n", applyLine(t, state, strings.Fields(line)))
				restored := statemachine.New()
				if err := restored.Restore(state.Snapshot()); err != nil {
					t.Fatal(err)
				}
				state = restored
			}
			return text.String()
		})
	})
}

var terms = &wire.BreakerSettings{WaitOpen: int64(5 * monotonic.Second), Permitted: 2, FailureRate: 0.5, ProbeLease: int64(3 * monotonic.Second), StateTtl: int64(300 * monotonic.Second)}

// play carries out "SECOND VERB ARGUMENTS...".
func applyLine(t *testing.T, state *statemachine.Machine, words []string) (text string) {
	var second float64
	if _, err := fmt.Sscan(words[0], &second); err != nil {
		t.Fatal(err)
	}
	number := func(index int) (value uint64) { _, _ = fmt.Sscan(words[index], &value); return value }
	command := &wire.RegistryCommand{}
	switch words[1] {
	case "claim": // key body try carrier epoch read-second
		command.Claim = &wire.ClaimRequest{Scope: words[2], Digest: []byte(words[3]), Attempt: words[4], Proxy: words[5],
			ReadAt: &wire.LeaderTimestamp{Epoch: number(6), Time: int64(number(7)) * int64(monotonic.Second)}}
	case "void": // key try
		command.Void = &wire.VoidClaimRequest{Scope: words[2], Attempt: words[3]}
	case "refuse": // key
		command.Void = &wire.VoidClaimRequest{Scope: words[2], Fence: true}
	case "free": // key try
		command.Complete = &wire.CompleteClaimRequest{Scope: words[2], Attempt: words[3]}
	case "trip": // carrier serial active...
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "trip", Proxy: words[2], ExpectedVersion: number(3), Active: words[4:], Settings: terms}
	case "lease": // carrier id active...
		command.ProbeLease = &wire.ProbeLeaseRequest{Service: "forms", Proxy: words[2], Id: words[3], Active: words[4:]}
		// A primary that turns an ask down without a write must not turn down what the write would grant, nor the reverse.
		denied := state.Breakers.DeniedProbe(command.ProbeLease, monotonic.Micros(second*1e6))
		defer func() {
			if granted := strings.Contains(text, "granted true"); granted == (denied != nil) {
				t.Errorf("%v: granted %v, denied beforehand %v", words, granted, denied != nil)
			}
		}()
	case "return": // carrier id serial
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "return", Proxy: words[2], Id: words[3], ExpectedVersion: number(4), Settings: terms}
	case "probe": // carrier id serial good|bad
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "probe", Proxy: words[2], Id: words[3], ExpectedVersion: number(4), Success: words[5] == "good", Settings: terms}
	case "decide": // serial state
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "decide", ExpectedVersion: number(2), Decision: words[3], Settings: terms}
	case "ended": // carrier
		command.Tick = &wire.Tick{EndedSessions: []*wire.MemberID{{Name: words[2]}}}
	case "duty": // duty carrier instance seconds
		command.Singleton = &wire.SingletonLeaseRequest{Role: words[2], Proxy: words[3], Instance: words[4], Duration: int64(number(5)) * int64(monotonic.Second)}
	case "stop": // duty instance
		command.Singleton = &wire.SingletonLeaseRequest{Role: words[2], Instance: words[3], Release: true}
	case "wait":
	default:
		t.Fatalf("no verb %q", words[1])
	}
	content, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	result := &wire.RegistryResult{}
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
	if result.Complete != nil {
		text += fmt.Sprintf(" freed %v", result.Complete.Done)
	}
	if result.Singleton != nil {
		text += fmt.Sprintf(" granted %v for %d s, %q at %q has it", result.Singleton.Granted, result.Singleton.Duration/1e6, result.Singleton.Instance, result.Singleton.Owner)
	}
	if result.ProbeLease != nil {
		text += fmt.Sprintf(" granted %v", result.ProbeLease.Granted)
	}
	if result.Breaker != nil {
		text += fmt.Sprintf(" applied %v", result.Breaker.Applied)
	}
	for _, record := range state.Breakers.Records() {
		text += fmt.Sprintf("; %s, serial %d, budget %d, out %d, tallied %d, reports %d", record.State, record.Version, record.Budget, len(record.ProbeLeases), len(record.ProbeResults), len(record.Reports))
	}
	return text
}
