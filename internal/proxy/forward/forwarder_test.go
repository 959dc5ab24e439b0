package forward

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

const ms = monotonic.Millisecond

// callHost is a simulated host that passes its calls to a function.
type callHost struct {
	*world.Host
	call func(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error
}

// Call passes a call to the function.
func (h callHost) Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error {
	return h.call(address, kind, request, reply, timeout)
}

// staticConfig is a configuration that changes only when a test sets its fields.
type staticConfig struct {
	snapshot *config.Snapshot
	expired  bool // its lease has expired
	// keyLease is the remaining lease on the tenant keys; limited is set if they need one.
	keyLease monotonic.Micros
	limited  bool
	// outOfContact is set while the proxy serves without contact to the configuration store.
	outOfContact bool
}

func (c *staticConfig) Current() (*config.Snapshot, bool)            { return c.snapshot, !c.expired }
func (c *staticConfig) KeyLease() (monotonic.Micros, bool)           { return c.keyLease, c.limited }
func (c *staticConfig) InContact() bool                              { return !c.expired && !c.outOfContact }
func (c *staticConfig) WaitForVersion(uint64, monotonic.Micros) bool { return false }

// staticSession has a fixed directory and records the last observation of the leader's clock.
type staticSession struct {
	directory *session.Directory
	observed  *wire.LeaderTimestamp
}

func (s *staticSession) Directory() *session.Directory                     { return s.directory }
func (s *staticSession) ObserveLeaderClock(observed *wire.LeaderTimestamp) { s.observed = observed }

// localAdmission is the admission of the proxy itself. It must not be called, since no test has a local backend.
type localAdmission struct{ t *testing.T }

func (a localAdmission) Serve(*wire.ForwardRequest) (*wire.ForwardResponse, error) {
	a.t.Error("a request was forwarded to the proxy itself")
	return nil, apierror.Lost.New("no local backend")
}

func (a localAdmission) Cancel(string, string) bool { return false }

// reply is how the proxy of a backend responds to an attempt.
type reply func(message *wire.ForwardRequest, response *wire.ForwardResponse) error

func succeed(_ *wire.ForwardRequest, response *wire.ForwardResponse) error {
	response.Status, response.Body, response.Length, response.Checksum = 200, []byte("done"), 4, frame.Checksum([]byte("done"))
	return nil
}

// reject returns a reply that rejects an attempt with the verdict NotRun.
func reject(cause apierror.Cause) reply {
	return func(_ *wire.ForwardRequest, response *wire.ForwardResponse) error {
		response.Rejected, response.Cause, response.Verdict = true, uint32(cause), string(apierror.NotRun)
		return nil
	}
}

func lose(*wire.ForwardRequest, *wire.ForwardResponse) error {
	return apierror.Lost.New("connection reset")
}

// forwardTest is a forwarder with two backends behind two other proxies. These respond to each attempt with the next of the replies.
type forwardTest struct {
	t         *testing.T
	node      *world.Host
	config    *staticConfig
	session   *staticSession
	forwarder *Forwarder
	replies   []reply
	attempts  []*wire.ForwardRequest
	voids     []*wire.VoidClaimRequest
	cancelled []string
	// voidOutcome is the registry's response to a request to void a claim; empty if the registry can't be reached.
	voidOutcome string
	exchange    *Exchange // of the last request
}

// runForwardTest runs a scenario on a simulated host.
func runForwardTest(t *testing.T, scenario func(ft *forwardTest)) {
	t.Helper()
	state, faults := config.Parse([]byte(`{"groups":[{"name":"field","limits":{"cutoffMicros":1000000},"retry":{"mostTries":3,"budgetRatio":0.2,"allowance":2,"backoffMicros":10000},
"services":[{"name":"forms","paths":[{"method":"GET","prefix":"/forms","class":"read"},{"method":"POST","prefix":"/forms","class":"once"},{"method":"PUT","prefix":"/forms","class":"single"}]}]}]}`))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	simulated := world.New(1)
	defer simulated.Close()
	finished := false
	simulated.Start(simulated.Add("one", "one", "one", func(node *world.Host) (host.Handlers, error) {
		ft := &forwardTest{t: t, node: node, config: &staticConfig{snapshot: config.Compile(state, 7, "")}, session: &staticSession{directory: &session.Directory{Live: 1, Candidates: map[string][]session.Candidate{"forms": {
			{Proxy: "proxy-a", Address: "a", Service: "forms", Instance: "a", Slots: 4},
			{Proxy: "proxy-b", Address: "b", Service: "forms", Instance: "b", Slots: 4},
		}}}}}
		ft.start()
		scenario(ft)
		finished = true
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if !finished {
		t.Fatalf("the scenario did not end: %v", simulated.Panicked)
	}
}

func (ft *forwardTest) start() {
	callHost := callHost{Host: ft.node, call: ft.call}
	ft.forwarder = New(Config{
		Host:         callHost,
		Proxy:        "proxy-0",
		Incarnation:  1,
		ConfigClient: ft.config,
		Session:      ft.session,
		Breakers:     breaker.NewSet(breaker.Config{Host: callHost, Proxy: "proxy-0", Call: ft.callLeader}),
		RetryBudget:  retry.NewBudget(callHost, func(allowance uint32) float64 { return float64(allowance) }),
		Admission:    localAdmission{ft.t},
		CallLeader:   ft.callLeader,
		OnFinished:   func(exchange *Exchange, _ *request.Response, _ *apierror.Error) { ft.exchange = exchange },
	})
}

func (ft *forwardTest) call(_ string, kind wire.Kind, message, response proto.Message, _ monotonic.Micros) error {
	ft.node.Sleep(ms)
	switch message := message.(type) {
	case *wire.ForwardRequest:
		ft.attempts = append(ft.attempts, message)
		if len(ft.attempts) > len(ft.replies) {
			ft.t.Errorf("attempt %d, but at most %d are expected", len(ft.attempts), len(ft.replies))
			return apierror.Unreachable.New("no reply is left")
		}
		forwarded, is := response.(*wire.ForwardResponse)
		if !is {
			ft.t.Errorf("a call to forward expects a response of type %T", response)
			return nil
		}
		forwarded.Id = message.Id
		return ft.replies[len(ft.attempts)-1](message, forwarded)
	case *wire.ForwardCancelRequest:
		ft.cancelled = append(ft.cancelled, message.Id)
		return nil
	}
	ft.t.Errorf("unexpected call of kind %v", kind)
	return nil
}

func (ft *forwardTest) callLeader(kind wire.Kind, message, response proto.Message, _ monotonic.Micros) error {
	void, isVoid := message.(*wire.VoidClaimRequest)
	voided, isVoided := response.(*wire.VoidClaimResponse)
	if !isVoid || !isVoided {
		ft.t.Errorf("unexpected call of kind %v to the registry", kind)
		return nil
	}
	ft.voids = append(ft.voids, void)
	if ft.voidOutcome == "" {
		return apierror.Unreachable.New("registry")
	}
	voided.Outcome = ft.voidOutcome
	if void.Fence {
		voided.Fence = &wire.LeaderTimestamp{Epoch: 2, Time: 5}
	}
	return nil
}

// expectFault checks a request's outcome. A cause of 0 stands for a response.
func (ft *forwardTest) expectFault(response *request.Response, fault *apierror.Error, cause apierror.Cause, verdict apierror.Verdict) {
	ft.t.Helper()
	switch {
	case cause == 0 && fault != nil:
		ft.t.Errorf("failed: %v", fault)
	case cause == 0 && (response == nil || string(response.Body) != "done" || response.ConfigVersion != 7):
		ft.t.Errorf("unexpected response %+v", response)
	case cause != 0 && (fault == nil || response != nil || fault.Cause != cause || fault.Verdict != verdict):
		ft.t.Errorf("response %+v and fault %v, expected cause %d and verdict %s", response, fault, cause, verdict)
	}
}

func read() *request.Request { return &request.Request{ID: "r", Method: "GET", Target: "/forms/1"} }

// submission returns a request that runs once per idempotency key.
func submission() *request.Request {
	return &request.Request{ID: "r", Method: "POST", Target: "/forms/1", IdempotencyKey: "key"}
}

func atMostOnce() *request.Request {
	return &request.Request{ID: "r", Method: "PUT", Target: "/forms/1"}
}

// TestForwardOutcomes checks after which failures a request is redispatched or retried, and with what verdict it ends.
func TestForwardOutcomes(t *testing.T) {
	incomplete := func(message *wire.ForwardRequest, response *wire.ForwardResponse) error {
		err := succeed(message, response)
		response.Length++
		return err
	}
	for name, test := range map[string]struct {
		request     *request.Request
		replies     []reply
		voidOutcome string
		cause       apierror.Cause // 0 for a response
		verdict     apierror.Verdict
		attempts    int // without redispatches
		voids       int
	}{
		"success":                                   {request: read(), replies: []reply{succeed}, attempts: 1},
		"redispatched from a full backend":          {request: read(), replies: []reply{reject(apierror.Overloaded), succeed}, attempts: 1},
		"every backend is full":                     {request: read(), replies: []reply{reject(apierror.Overloaded), reject(apierror.Overloaded)}, cause: apierror.Overloaded, verdict: apierror.NotRun, attempts: 1},
		"a lost read is retried":                    {request: read(), replies: []reply{lose, succeed}, attempts: 2},
		"a lost read ends as one that may have run": {request: read(), replies: []reply{lose, lose, lose}, cause: apierror.ForwardLost, verdict: apierror.MayHaveRun, attempts: 3},
		"a lost at-most-once request isn't retried": {request: atMostOnce(), replies: []reply{lose}, cause: apierror.ForwardLost, verdict: apierror.MayHaveRun, attempts: 1},
		"one that certainly didn't run is retried":  {request: atMostOnce(), replies: []reply{reject(apierror.NotExecuted), succeed}, attempts: 2},
		"an incomplete read is retried":             {request: read(), replies: []reply{incomplete, succeed}, attempts: 2},
		"a lost submission is voided and retried":   {request: submission(), replies: []reply{lose, succeed}, voidOutcome: idempotency.Voided, attempts: 2, voids: 1},
		"a lost submission that can't be voided":    {request: submission(), replies: []reply{lose}, cause: apierror.ForwardLost, verdict: apierror.MayHaveRun, attempts: 1, voids: 1},
		"not run is confirmed for the key":          {request: submission(), replies: []reply{reject(apierror.KeyFenced)}, voidOutcome: idempotency.Voided, cause: apierror.KeyFenced, verdict: apierror.NotRun, attempts: 1, voids: 1},
		"not run isn't answered while unconfirmed":  {request: submission(), replies: []reply{reject(apierror.KeyFenced)}, cause: apierror.KeyFenced, verdict: apierror.MayHaveRun, attempts: 1, voids: 1},
		"a submission without a key":                {request: &request.Request{ID: "r", Method: "POST", Target: "/forms/1"}, cause: apierror.MissingKey, verdict: apierror.NotRun},
		"an unknown path":                           {request: &request.Request{ID: "r", Method: "GET", Target: "/other"}, cause: apierror.UnknownPath, verdict: apierror.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(ft *forwardTest) {
				ft.replies, ft.voidOutcome = test.replies, test.voidOutcome
				response, fault := ft.forwarder.Forward(test.request)
				ft.expectFault(response, fault, test.cause, test.verdict)
				if len(ft.attempts) != len(test.replies) || ft.exchange.Attempts != test.attempts || len(ft.voids) != test.voids {
					t.Errorf("%d messages, %d attempts and %d requests to void a claim", len(ft.attempts), ft.exchange.Attempts, len(ft.voids))
				}
				if ft.forwarder.InFlight() != 0 {
					t.Errorf("%d requests in flight", ft.forwarder.InFlight())
				}
			})
		})
	}
}

// TestBackendErrorIsResponse checks that a response with an error status is the request's outcome and isn't retried.
func TestBackendErrorIsResponse(t *testing.T) {
	runForwardTest(t, func(ft *forwardTest) {
		ft.replies = []reply{func(message *wire.ForwardRequest, response *wire.ForwardResponse) error {
			err := succeed(message, response)
			response.Status = 500
			return err
		}}
		if response, fault := ft.forwarder.Forward(read()); fault != nil || response.Status != 500 {
			t.Errorf("response %+v and fault %v, expected a response with status 500", response, fault)
		}
	})
}

// TestForwardRequestMessage checks the messages of two attempts of one request.
func TestForwardRequestMessage(t *testing.T) {
	runForwardTest(t, func(ft *forwardTest) {
		ft.replies = []reply{reject(apierror.NotExecuted), succeed}
		ft.voidOutcome = idempotency.Voided
		ft.forwarder.Forward(submission())
		if len(ft.attempts) != 2 {
			t.Errorf("%d attempts, expected 2", len(ft.attempts))
			return
		}
		first, second := ft.attempts[0], ft.attempts[1]
		if first.Id != "r.1" || second.Id != "r.2" || first.AttemptNumber != 1 || second.AttemptNumber != 2 {
			t.Errorf("attempts %s (%d) and %s (%d)", first.Id, first.AttemptNumber, second.Id, second.AttemptNumber)
		}
		if first.Instance == second.Instance || first.Attempt == second.Attempt || first.Scope != second.Scope || second.Remaining >= first.Remaining {
			t.Errorf("unexpected instance, attempt, scope or remaining time: %v, then %v", first, second)
		}
		if !first.RunOnce || first.AtMostOnce || first.MayQueue || !second.MayQueue || first.ConfigVersion != 7 || len(first.Digest) == 0 {
			t.Errorf("unexpected flags, configuration version or digest: %v, then %v", first, second)
		}
	})
}

// TestFenceMovesLeaderClock checks that a request which is repeated immediately after a fence counts as read after the fence.
func TestFenceMovesLeaderClock(t *testing.T) {
	runForwardTest(t, func(ft *forwardTest) {
		ft.replies, ft.voidOutcome = []reply{reject(apierror.KeyFenced)}, idempotency.Voided
		ft.forwarder.Forward(submission())
		if ft.session.observed.GetEpoch() != 2 || ft.session.observed.GetTime() != 6 {
			t.Errorf("observed %v, expected epoch 2 and time 6", ft.session.observed)
		}
	})
}

// TestCallerDisconnects checks that the attempt in flight is cancelled when the caller disconnects, unless the request has a key.
func TestCallerDisconnects(t *testing.T) {
	for name, test := range map[string]struct {
		request   *request.Request
		cancelled int
		cause     apierror.Cause
	}{
		"read":       {read(), 1, apierror.ClientClosed},
		"submission": {submission(), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(ft *forwardTest) {
				ft.replies = []reply{func(message *wire.ForwardRequest, response *wire.ForwardResponse) error {
					ft.node.Sleep(100 * ms)
					return succeed(message, response)
				}}
				test.request.OnCallerDisconnect = func(callback func()) func() bool {
					ft.node.Go(func() {
						ft.node.Sleep(50 * ms)
						callback()
					})
					return func() bool { return true }
				}
				response, fault := ft.forwarder.Forward(test.request)
				ft.expectFault(response, fault, test.cause, apierror.MayHaveRun)
				if len(ft.cancelled) != test.cancelled {
					t.Errorf("cancelled attempts %v", ft.cancelled)
				}
			})
		})
	}
}

// TestExpiredConfigLease checks that no request is forwarded by a configuration whose lease has expired.
func TestExpiredConfigLease(t *testing.T) {
	runForwardTest(t, func(ft *forwardTest) {
		ft.config.expired = true
		response, fault := ft.forwarder.Forward(read())
		ft.expectFault(response, fault, apierror.ConfigLeaseExpired, apierror.NotRun)
	})
}

// TestShutdown checks that new requests are rejected while draining, that Drain waits for those in flight, and that Abort ends them.
func TestShutdown(t *testing.T) {
	runForwardTest(t, func(ft *forwardTest) {
		hang := func(*wire.ForwardRequest, *wire.ForwardResponse) error {
			ft.node.Sleep(10 * monotonic.Second)
			return apierror.Lost.New("no response")
		}
		ft.replies = []reply{hang}
		ended := ft.node.NewSignal()
		ft.node.Go(func() {
			response, fault := ft.forwarder.Forward(read())
			ft.expectFault(response, fault, apierror.StoppedInFlight, apierror.MayHaveRun)
			ended.Fire()
		})
		ft.node.Sleep(10 * ms)
		ft.forwarder.StopAccepting()
		response, fault := ft.forwarder.Forward(read())
		ft.expectFault(response, fault, apierror.Draining, apierror.NotRun)
		if ft.forwarder.Drain(100 * ms) {
			t.Error("drained with a request in flight")
		}
		ft.forwarder.Abort()
		if !ended.Wait(monotonic.Second) || !ft.forwarder.Drain(monotonic.Second) {
			t.Error("a request is in flight after the abort")
		}
	})
}

// TestLimitInFlight checks that, if the backends don't report slots, no more requests are in flight than all backends may have at once.
func TestLimitInFlight(t *testing.T) {
	runForwardTest(t, func(ft *forwardTest) {
		for index := range ft.session.directory.Candidates["forms"] {
			ft.session.directory.Candidates["forms"][index].Slots = 0
		}
		service := ft.config.snapshot.Services["forms"]
		limit := 2 * int64(service.Limits.GetInFlightPerBackend())
		for range limit {
			ft.forwarder.services.increment("forms")
		}
		response, fault := ft.forwarder.Forward(read())
		ft.expectFault(response, fault, apierror.Overloaded, apierror.NotRun)
		ft.forwarder.services.decrement("forms")
		ft.replies = []reply{succeed}
		response, fault = ft.forwarder.Forward(read())
		ft.expectFault(response, fault, 0, "")
	})
}
