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

// TestTranscripts compares the registry's replicated state with recorded transcripts. Each line is one command at a second of
// the leader clock. After each command the state is restored from its own snapshot, as after a failover.
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

// applyLine applies one line, "SECOND COMMAND ARGUMENTS...", and returns its result and the breaker records after it.
func applyLine(t *testing.T, state *statemachine.Machine, words []string) (text string) {
	var second float64
	if _, err := fmt.Sscan(words[0], &second); err != nil {
		t.Fatal(err)
	}
	number := func(index int) (value uint64) { _, _ = fmt.Sscan(words[index], &value); return value }
	command := &wire.RegistryCommand{}
	switch words[1] {
	case "claim": // key body attempt proxy epoch read-second
		command.Claim = &wire.ClaimRequest{Scope: words[2], Digest: []byte(words[3]), Attempt: words[4], Proxy: words[5],
			ReadAt: &wire.LeaderTimestamp{Epoch: number(6), Time: int64(number(7)) * int64(monotonic.Second)}}
	case "void": // key attempt
		command.Void = &wire.VoidClaimRequest{Scope: words[2], Attempt: words[3]}
	case "refuse": // key
		command.Void = &wire.VoidClaimRequest{Scope: words[2], Fence: true}
	case "free": // key attempt
		command.Complete = &wire.CompleteClaimRequest{Scope: words[2], Attempt: words[3]}
	case "trip": // proxy version active...
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "trip", Proxy: words[2], ExpectedVersion: number(3), Active: words[4:], Settings: terms}
	case "lease": // proxy id active...
		command.ProbeLease = &wire.ProbeLeaseRequest{Service: "forms", Proxy: words[2], Id: words[3], Active: words[4:]}
		// DeniedProbe must deny exactly what LeaseProbe denies.
		denied := state.Breakers.DeniedProbe(command.ProbeLease, monotonic.Micros(second*1e6))
		defer func() {
			if granted := strings.Contains(text, "granted true"); granted == (denied != nil) {
				t.Errorf("%v: granted %v, denied beforehand %v", words, granted, denied != nil)
			}
		}()
	case "return": // proxy id version
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "return", Proxy: words[2], Id: words[3], ExpectedVersion: number(4), Settings: terms}
	case "probe": // proxy id version good|bad
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "probe", Proxy: words[2], Id: words[3], ExpectedVersion: number(4), Success: words[5] == "good", Settings: terms}
	case "decide": // version state
		command.Breaker = &wire.BreakerWriteRequest{Service: "forms", Verb: "decide", ExpectedVersion: number(2), Decision: words[3], Settings: terms}
	case "ended": // proxy
		command.Tick = &wire.Tick{EndedSessions: []*wire.MemberID{{Name: words[2]}}}
	case "duty": // role proxy instance seconds
		command.Singleton = &wire.SingletonLeaseRequest{Role: words[2], Proxy: words[3], Instance: words[4], Duration: int64(number(5)) * int64(monotonic.Second)}
	case "stop": // role instance
		command.Singleton = &wire.SingletonLeaseRequest{Role: words[2], Instance: words[3], Release: true}
	case "wait":
	default:
		t.Fatalf("unknown command %q", words[1])
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
