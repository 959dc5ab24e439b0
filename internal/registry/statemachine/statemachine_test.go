package statemachine_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/registry/statemachine"
	"snowflow/internal/transport/wire"
)

// TestTranscripts compares the registry's replicated state with recorded transcripts. Each line is one command at a time of the leader
// clock, in seconds. After each command the state is restored from its own snapshot, as after a failover.
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

var breakerSettings = &wire.BreakerSettings{
	WaitOpen: int64(5 * monotonic.Second), Permitted: 2, FailureRate: 0.5, ProbeLease: int64(3 * monotonic.Second), StateTtl: int64(300 * monotonic.Second),
}

// line is one line of a transcript, "SECONDS COMMAND ARGUMENTS...", split into words.
type line []string

// number parses the word at an index as an integer.
func (l line) number(t *testing.T, index int) (value uint64) {
	t.Helper()
	if _, err := fmt.Sscan(l[index], &value); err != nil {
		t.Fatalf("%v: %v", l, err)
	}
	return value
}

// micros parses the word at an index as seconds and returns microseconds.
func (l line) micros(t *testing.T, index int) monotonic.Micros {
	t.Helper()
	var seconds float64
	if _, err := fmt.Sscan(l[index], &seconds); err != nil {
		t.Fatalf("%v: %v", l, err)
	}
	return monotonic.Micros(seconds * 1e6)
}

// applyLine applies one line. It returns the line with its result and the breaker records that follow.
func applyLine(t *testing.T, state *statemachine.Machine, words line) string {
	t.Helper()
	command := parseCommand(t, words)
	content, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	now := words.micros(t, 0)
	denied := command.ProbeLease != nil && state.Breakers.DeniedProbe(command.ProbeLease, now) != nil
	result := &wire.RegistryResult{}
	if err := proto.Unmarshal(state.Apply(7, now, content), result); err != nil {
		t.Fatal(err)
	}
	if lease := result.ProbeLease; lease != nil && lease.Granted == denied {
		t.Errorf("%v: LeaseProbe granted %v, DeniedProbe denied %v", words, lease.Granted, denied)
	}
	return strings.Join(words, " ") + " ->" + describeResult(result) + describeBreakers(state)
}

// parseCommand returns the command of a line.
func parseCommand(t *testing.T, words line) *wire.RegistryCommand {
	t.Helper()
	write := func(verb string, request *wire.BreakerWriteRequest) *wire.RegistryCommand {
		request.Service, request.Verb, request.Settings = "forms", verb, breakerSettings
		return &wire.RegistryCommand{Breaker: request}
	}
	switch words[1] {
	case "claim": // key body attempt proxy epoch read-second
		return &wire.RegistryCommand{Claim: &wire.ClaimRequest{Scope: words[2], Digest: []byte(words[3]), Attempt: words[4], Proxy: words[5],
			ReadAt: &wire.LeaderTimestamp{Epoch: words.number(t, 6), Time: int64(words.micros(t, 7))}}}
	case "void": // key attempt
		return &wire.RegistryCommand{Void: &wire.VoidClaimRequest{Scope: words[2], Attempt: words[3]}}
	case "fence": // key
		return &wire.RegistryCommand{Void: &wire.VoidClaimRequest{Scope: words[2], Fence: true}}
	case "complete": // key attempt
		return &wire.RegistryCommand{Complete: &wire.CompleteClaimRequest{Scope: words[2], Attempt: words[3]}}
	case "trip": // proxy version active...
		return write(breakerstore.VerbTrip, &wire.BreakerWriteRequest{Proxy: words[2], ExpectedVersion: words.number(t, 3), Active: words[4:]})
	case "lease": // proxy id active...
		return &wire.RegistryCommand{ProbeLease: &wire.ProbeLeaseRequest{Service: "forms", Proxy: words[2], Id: words[3], Active: words[4:]}}
	case "return": // proxy id version
		return write(breakerstore.VerbReturn, &wire.BreakerWriteRequest{Proxy: words[2], Id: words[3], ExpectedVersion: words.number(t, 4)})
	case "probe": // proxy id version good|bad
		return write(breakerstore.VerbProbe, &wire.BreakerWriteRequest{Proxy: words[2], Id: words[3], ExpectedVersion: words.number(t, 4), Success: words[5] == "good"})
	case "decide": // version state
		return write(breakerstore.VerbDecide, &wire.BreakerWriteRequest{ExpectedVersion: words.number(t, 2), Decision: words[3]})
	case "ended": // proxy
		return &wire.RegistryCommand{Tick: &wire.Tick{EndedSessions: []*wire.MemberID{{Name: words[2]}}}}
	case "acquire": // role proxy instance seconds
		return &wire.RegistryCommand{Singleton: &wire.SingletonLeaseRequest{Role: words[2], Proxy: words[3], Instance: words[4], Duration: int64(words.micros(t, 5))}}
	case "release": // role instance
		return &wire.RegistryCommand{Singleton: &wire.SingletonLeaseRequest{Role: words[2], Instance: words[3], Release: true}}
	case "wait":
		return &wire.RegistryCommand{}
	}
	t.Fatalf("unknown command %q", words[1])
	return nil
}

// describeResult returns a description of the parts of a result that are set.
func describeResult(result *wire.RegistryResult) string {
	var text strings.Builder
	if result.Claim != nil {
		text.WriteString(" " + result.Claim.Outcome)
	}
	if result.Void != nil {
		text.WriteString(" " + result.Void.Outcome)
	}
	if result.Complete != nil {
		fmt.Fprintf(&text, " completed %v", result.Complete.Done)
	}
	if lease := result.Singleton; lease != nil {
		fmt.Fprintf(&text, " granted %v for %d s, owner %q at %q", lease.Granted, lease.Duration/1e6, lease.Instance, lease.Owner)
	}
	if result.ProbeLease != nil {
		fmt.Fprintf(&text, " granted %v", result.ProbeLease.Granted)
	}
	if result.Breaker != nil {
		fmt.Fprintf(&text, " applied %v", result.Breaker.Applied)
	}
	return text.String()
}

// describeBreakers returns a summary of each breaker record.
func describeBreakers(state *statemachine.Machine) string {
	var text strings.Builder
	for _, record := range state.Breakers.Records() {
		fmt.Fprintf(&text, "; %s, version %d, budget %d, leased %d, results %d, reports %d", record.State, record.Version, record.Budget,
			len(record.ProbeLeases), len(record.ProbeResults), len(record.Reports))
	}
	return text.String()
}
