package admission

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/replay"
	"snowflow/internal/proxy/request"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// runProcess runs a test's body as a process in a simulated world.
func runProcess(t *testing.T, body func(process *world.Host)) {
	t.Helper()
	simulated := world.New(1)
	t.Cleanup(simulated.Close)
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		process.Go(func() {
			body(process)
			ended = true
		})
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// fakeRegistry answers claims with a fixed outcome or error, and counts released claims.
type fakeRegistry struct {
	process  *world.Host
	outcome  *wire.ClaimResponse
	err      error
	released int
}

func (r *fakeRegistry) call(kind wire.Kind, _, reply proto.Message, timeout monotonic.Micros) error {
	if kind == wire.Kind_complete_claim {
		r.released++
		return nil
	}
	if r.err != nil {
		r.process.Sleep(timeout)
		return r.err
	}
	proto.Merge(reply, r.outcome)
	return nil
}

func newClaimController(process *world.Host, registry *fakeRegistry) *Controller {
	return New(Options{Host: process, Proxy: "here", Replay: replay.New(process), CallLeader: registry.call,
		CallProxy: func(string, wire.Kind, proto.Message, proto.Message, monotonic.Micros) error {
			return errors.New("no other proxy")
		}})
}

// TestClaimOutcomes checks the result of a claim for each outcome, and that the request's slot is released unless the claim is
// granted.
func TestClaimOutcomes(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome *wire.ClaimResponse
		cause   apierror.Cause // zero: granted
		verdict apierror.Verdict
	}{
		{"granted", &wire.ClaimResponse{Outcome: idempotency.Granted}, 0, ""},
		{"another body", &wire.ClaimResponse{Outcome: idempotency.BodyMismatch}, apierror.BodyMismatch, apierror.MayHaveRun},
		{"voided attempt", &wire.ClaimResponse{Outcome: idempotency.Voided}, apierror.KeyFenced, apierror.NotRun},
		{"breaker not closed", &wire.ClaimResponse{Outcome: idempotency.NotAdmitted}, apierror.BreakerOpen, apierror.NotRun},
		{"fenced key", &wire.ClaimResponse{Outcome: idempotency.Fenced}, apierror.KeyFenced, apierror.NotRun},
		{"unknown outcome", &wire.ClaimResponse{Outcome: "new"}, apierror.ClaimUnreachable, apierror.MayHaveRun},
		{
			"response expired",
			&wire.ClaimResponse{Outcome: idempotency.Pending, Owner: "there", Attempt: "there-1"},
			apierror.ResponseExpired, apierror.MayHaveRun,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			runProcess(t, func(process *world.Host) {
				c := newClaimController(process, &fakeRegistry{process: process, outcome: test.outcome})
				started, slotReleased := process.Now(), false
				deadline := started + 10*monotonic.Second
				result := c.claim(&wire.ForwardRequest{Scope: "key", Attempt: "caller-1"}, deadline, deadline, func() { slotReleased = true })
				if test.cause == 0 {
					if !result.granted() || slotReleased || result.startBy != started+claimTTL {
						t.Errorf("granted %v, slot released %v, must start within %d", result.granted(), slotReleased, result.startBy-started)
					}
					return
				}
				if result.fault == nil || result.fault.Cause != test.cause || result.fault.Verdict != test.verdict || !slotReleased {
					t.Errorf("%v, slot released %v", result.fault, slotReleased)
				}
			})
		})
	}
}

// TestClaimReturnsRecordedResponse checks that a claim for a key that an earlier attempt holds returns that attempt's response, and
// waits for it while the attempt is still running on this host.
func TestClaimReturnsRecordedResponse(t *testing.T) {
	runProcess(t, func(process *world.Host) {
		pending := &wire.ClaimResponse{Outcome: idempotency.Pending, Owner: "here", Attempt: "caller-1"}
		c := newClaimController(process, &fakeRegistry{process: process, outcome: pending})
		req := &wire.ForwardRequest{Scope: "key", Digest: []byte("digest"), Attempt: "caller-2"}
		c.executions.begin(req.Scope)
		process.Go(func() {
			process.Sleep(replayTimeout / 2)
			c.options.Replay.Put(req.Scope, req.Digest, &request.Response{Status: 201})
			c.executions.end(req.Scope)
		})
		deadline := process.Now() + 10*monotonic.Second
		result := c.claim(req, deadline, deadline, func() {})
		if result.recorded == nil || result.recorded.Status != 201 {
			t.Errorf("%v, %v", result.recorded, result.fault)
		}
	})
}

// TestUnansweredClaim checks that a claim without an answer by the deadline is released if and only if a registry server may have
// granted it. In both cases the request has certainly not run.
func TestUnansweredClaim(t *testing.T) {
	for _, test := range []struct {
		name     string
		err      error
		released int
	}{
		{"lost", apierror.Lost.New("no answer"), 1},
		{"never delivered", apierror.Unreachable.New("no leader"), 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			runProcess(t, func(process *world.Host) {
				registry := &fakeRegistry{process: process, err: test.err}
				c := newClaimController(process, registry)
				result := c.claimUntilDeadline(&wire.ForwardRequest{Scope: "key"}, process.Now()+2*monotonic.Second, false)
				process.Sleep(monotonic.Millisecond)
				if result.fault == nil || result.fault.Cause != apierror.ClaimUnreachable || !result.fault.NotRun() {
					t.Errorf("%v", result.fault)
				}
				if registry.released != test.released {
					t.Errorf("%d claims released", registry.released)
				}
			})
		})
	}
}
