// Package admission is the server side of a carrier: the last check before a backend, and the one that claims run-once keys.
package admission

import (
	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/admission/uplink"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/replay"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

const (
	// claimTTL is how long a claim permits starting, counted from before the ask.
	claimTTL = monotonic.Second
	// previousVersionGrace is how long after an adoption passes that were resolved by the serial before are still let in. The
	// sender's own tenure is what keeps the 2 s rule; this bounds a sender that froze with a request in hand.
	previousVersionGrace = monotonic.Second
	// versionCatchUpTimeout is how long a pass of a newer serial waits for this carrier to adopt it.
	versionCatchUpTimeout = 500 * monotonic.Millisecond
)

// BackendRequest is one request for a backend.
type BackendRequest struct {
	ID              string
	Backend         localbackends.Backend
	Method          string
	Target          string
	Headers         []*wire.Header
	Body            []byte
	FreshConnection bool // take a connection that nothing was sent on before
	Deadline        monotonic.Micros
	ResponseLimit   uint64
	// CheckAvailable is asked right before the first byte of the request is written; a fault stops it.
	BeforeSend func() *apierror.Fault
	// OnCancel has something happen once when the caller has left, at once if it has already; stop ends that. Nil where the request is to be
	// ended by nobody.
	OnCancel func(happen func()) (stop func())
}

// Upstream hands a request to a backend and reads its whole answer. Its faults say whether the request may have run.
type Upstream interface {
	RoundTrip(backendRequest BackendRequest) (*request.Response, *apierror.Fault)
}

// Options is what a gate is made of.
type Options struct {
	Host          host.Host
	Proxy         string
	Incarnation   uint64
	ConfigClient  *configclient.Client
	LocalBackends *localbackends.Set
	Replay        *replay.Store
	Upstream      Upstream
	// LinkMegabits is what this machine's link carries, in megabits a second; zero for one that isn't counted.
	LinkMegabits float64
	// ServeOn: passes are taken whatever desired state they were resolved by, and whether or not this carrier has a tenure.
	ServeOn bool
	// CallPrimary asks the primary sorter until patience ends.
	CallPrimary func(kind wire.Kind, req, reply proto.Message, timeout monotonic.Micros) error
	// CallProxy asks another carrier by name.
	CallProxy func(name string, kind wire.Kind, req, reply proto.Message, timeout monotonic.Micros) error
}

// Controller answers passes. Invariant: running counts the passes between being read and being answered.
type Controller struct {
	options       Options
	running       atomic.Int64
	closed        atomic.Bool
	idle          host.Signal
	shutdown      *shutdown.Group
	executions    *executions
	cancellations *cancellations
	uplink        *uplink.Uplink
	// unclaimed leaves the claim out; only rehearsals of the checkers set it.
	skipClaims bool
	// claimPerService claims a key for its service alone; only rehearsals of the checkers set it.
	claimPerService bool
}

// New makes a gate.
func New(options Options) *Controller {
	return &Controller{options: options, idle: options.Host.NewSignal(), shutdown: shutdown.New(options.Host), executions: newExecutions(options.Host), cancellations: newCancellations(), uplink: uplink.New(options.LinkMegabits)}
}

// Register adds the handlers.
func (c *Controller) Register(table host.Handlers) {
	host.Handle(table, wire.Kind_forward, c.Serve)
	host.Handle(table, wire.Kind_forward_bulk, c.Serve)
	host.Handle(table, wire.Kind_forward_cancel, func(req *wire.ForwardCancelRequest) (*wire.ForwardCancelResponse, error) {
		return &wire.ForwardCancelResponse{Found: c.Cancel(req.From, req.Id)}, nil
	})
	host.Handle(table, wire.Kind_replay, func(req *wire.ReplayRequest) (*wire.ForwardResponse, error) {
		response, busy := c.recordedResponse(req.Scope, req.Digest, recallTimeout*4/5)
		if response != nil {
			return success("", response), nil
		}
		cause := apierror.ResponseExpired
		if busy {
			cause = apierror.KeyPending
		}
		return &wire.ForwardResponse{Rejected: true, Cause: uint32(cause), Verdict: string(apierror.MayHaveRun)}, nil
	})
}

// SkipClaims leaves the claim out, to show that a checker sees what comes of it. No program sets it.
func (c *Controller) SkipClaims(enabled bool) { c.skipClaims = enabled }

// ClaimPerService claims keys for one service alone, to show that a checker sees what comes of it. No program sets it.
func (c *Controller) ClaimPerService(enabled bool) { c.claimPerService = enabled }

// Running is the number of passes under way.
func (c *Controller) Running() int64 { return c.running.Load() }

// StopAccepting makes the gate turn new passes, and those that wait for a slot, down as not run.
func (c *Controller) StopAccepting() {
	c.closed.Store(true)
	c.options.LocalBackends.Close()
}

// checks are made in order before anything is claimed. Each refusal here is certain: nothing ran.
var preconditions = []func(c *Controller, req *wire.ForwardRequest) *apierror.Fault{
	func(c *Controller, req *wire.ForwardRequest) *apierror.Fault {
		if c.closed.Load() {
			return apierror.New(apierror.Draining, apierror.NotRun, "carrier %s is stopping", c.options.Proxy)
		}
		return nil
	},
	func(c *Controller, req *wire.ForwardRequest) *apierror.Fault {
		if req.ToIncarnation != c.options.Incarnation {
			return apierror.New(apierror.BackendUnknown, apierror.NotRun, "addressed to another life of this carrier")
		}
		return nil
	},
	func(c *Controller, _ *wire.ForwardRequest) *apierror.Fault { return c.checkLease() },
	func(c *Controller, req *wire.ForwardRequest) *apierror.Fault {
		if c.options.ServeOn {
			return nil
		}
		version, age := c.options.ConfigClient.Version()
		if req.ConfigVersion < version && (req.ConfigVersion+1 < version || age > previousVersionGrace) {
			return apierror.New(apierror.VersionOlder, apierror.NotRun, "resolved by serial %d, %d is in force", req.ConfigVersion, version)
		}
		if req.ConfigVersion > version && !c.options.ConfigClient.WaitForVersion(req.ConfigVersion, min(versionCatchUpTimeout, monotonic.Micros(req.Remaining))) {
			return apierror.New(apierror.VersionBehind, apierror.NotRun, "resolved by serial %d, this carrier has %d", req.ConfigVersion, version)
		}
		return nil
	},
}

// leased refuses without a tenure, where one is needed.
func (c *Controller) checkLease() *apierror.Fault {
	if _, live := c.options.ConfigClient.Current(); !live && !c.options.ServeOn {
		return apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun, "carrier %s has no tenure to serve", c.options.Proxy)
	}
	return nil
}

// service finds a pass's service in the view that counts from here on: it may have changed since the checks.
func (c *Controller) findService(req *wire.ForwardRequest) (*config.Service, *apierror.Fault) {
	snapshot, _ := c.options.ConfigClient.Current()
	if snapshot != nil && snapshot.Services[req.Service] != nil {
		return snapshot.Services[req.Service], nil
	}
	if c.options.ServeOn {
		return config.DefaultService(req.Service), nil // whoever resolved it has another view
	}
	return nil, apierror.New(apierror.VersionOlder, apierror.NotRun, "service %s is not in serial %d", req.Service, snapshot.Version)
}

// telling are the events of faults that operators should hear of, beyond the caller's refusal.
var reportedFaults = map[apierror.Cause]int{apierror.ResponseBroken: eventlog.ResponseBroken, apierror.BackendIdentityMismatch: eventlog.IdentityMismatch}

// Serve handles one request from another carrier, or from this one.
func (c *Controller) Serve(req *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	c.running.Inc()
	defer func() {
		if c.running.Dec() == 0 {
			c.idle.Fire()
		}
	}()
	var reply *wire.ForwardResponse
	outcome := c.shutdown.Run(func(task *shutdown.Task) { reply = c.serve(req, task) })
	if outcome == shutdown.Done {
		reply.Load = c.load(req)
		return reply, nil
	}
	verdict := apierror.MayHaveRun
	if outcome == shutdown.NotStarted && !req.RunOnce {
		verdict = apierror.NotRun
	}
	return c.rejection(req, apierror.New(apierror.StoppedInFlight, verdict, "carrier %s stops, and can't wait any longer", c.options.Proxy)), nil
}

// Abort answers every pass still under way now.
func (c *Controller) Abort() { c.shutdown.Abort() }

func (c *Controller) serve(req *wire.ForwardRequest, task *shutdown.Task) (reply *wire.ForwardResponse) {
	deadline := c.options.Host.Now() + monotonic.Micros(req.Remaining)
	if c.claimPerService {
		req = proto.CloneOf(req)
		req.Scope = req.Service + "\n" + req.Scope
	}
	for _, check := range preconditions {
		if fault := check(c, req); fault != nil {
			return c.rejection(req, fault)
		}
	}
	service, fault := c.findService(req)
	if fault != nil {
		return c.rejection(req, fault)
	}
	observation, fault := c.checkHealth(req)
	if fault != nil {
		return c.rejection(req, fault)
	}
	defer observation.Close(outlier.Unknown)
	size, fault := c.reserveUplink(req)
	if fault != nil {
		return c.rejection(req, fault)
	}
	defer func() {
		if req.From != c.options.Proxy {
			c.uplink.Done(c.options.Host.Now(), req.Route, size, len(reply.GetBody()))
		}
	}()
	cancel := c.cancellations.begin(req)
	defer c.cancellations.end(req)
	permit, recorded, fault := c.acquirePermit(req, service, deadline)
	if fault != nil {
		return c.rejection(req, fault)
	}
	if recorded != nil {
		return success(req.Id, recorded)
	}
	if req.RunOnce {
		c.executions.begin(req.Scope)
		defer c.executions.end(req.Scope)
	}
	backend, startBy := permit.Backend, permit.startBy
	backendRequest := BackendRequest{ID: req.Id, Backend: backend, Method: req.Method, Target: req.Target, Headers: req.Headers, Body: req.Body,
		FreshConnection: req.RunOnce || req.AtMostOnce, Deadline: deadline, ResponseLimit: req.AnswerLimit}
	if !req.RunOnce && !req.AtMostOnce {
		backendRequest.OnCancel = cancel.onCancel
	}
	backendRequest.BeforeSend = func() *apierror.Fault {
		if cancel.cancelled() {
			return apierror.New(apierror.ClientClosed, apierror.NotRun, "its caller left before it was handed over")
		}
		if c.options.Host.Now() >= startBy {
			return apierror.New(apierror.ClaimTimeout, apierror.NotRun, "too late to start")
		}
		if fault := c.checkLease(); fault != nil {
			return fault
		}
		if fault := c.options.LocalBackends.CheckAvailable(backend.Instance, backend.Service); fault != nil {
			return fault
		}
		if !task.Start() {
			return apierror.New(apierror.StoppedInFlight, apierror.NotRun, "given up before the hand-over")
		}
		return nil
	}
	observation.Start()
	response, fault := c.options.Upstream.RoundTrip(backendRequest)
	if fault != nil && !fault.NotRun() && backendRequest.OnCancel != nil && cancel.cancelled() {
		fault = apierror.New(apierror.ClientClosed, apierror.MayHaveRun, "its caller left while the backend was at work")
		fault.Local = true // that it was broken off says nothing of the backend
	}
	observation.Close(backendOutcome(response, fault))
	permit.Release(slotOutcome(response, fault))
	if fault == nil && response.NotRun {
		fault = apierror.New(apierror.NotExecuted, apierror.NotRun, "backend %s answered %d, not executed", backend.Instance, response.Status)
	}
	if fault != nil {
		if req.RunOnce && fault.NotRun() {
			c.releaseClaim(req)
		}
		if number := reportedFaults[fault.Cause]; number > 0 {
			c.options.Host.Report(number, map[string]any{"instance": backend.Instance, "detail": fault.Detail})
		}
		return c.rejection(req, fault)
	}
	response.Instance = backend.Instance
	if req.RunOnce {
		c.options.Replay.Put(req.Scope, req.Digest, response)
	}
	return success(req.Id, response)
}

// finishedCauses are the causes of faults after which the backend has answered, though not as it should.
var finishedCauses = map[apierror.Cause]bool{apierror.ResponseTooLarge: true, apierror.ResponseMismatch: true}

// ended tells what a delivery's end says of its slot. Errors are no measure: what fails at once would look quick.
func slotOutcome(response *request.Response, fault *apierror.Fault) slots.Outcome {
	switch {
	case fault == nil && response.Status < 500:
		return slots.Completed
	case fault == nil || fault.NotRun() || finishedCauses[fault.Cause]:
		return slots.Released
	}
	return slots.Uncertain
}

// uplinkTimeShare is the part of the time that's left in which a large answer must be on its way.
const uplinkTimeShare = 0.6

// sendable tells whether this machine's link can carry the answer in time, as far as the route's answers usually go. Nothing ran
// where it can't.
func (c *Controller) reserveUplink(req *wire.ForwardRequest) (size float64, fault *apierror.Fault) {
	if req.From == c.options.Proxy {
		return 0, nil
	}
	limit := req.Remaining
	if req.LatencyTarget > 0 && !req.MayQueue {
		limit = req.LatencyTarget
	}
	size, wait, admitted := c.uplink.Admit(c.options.Host.Now(), req.Route, monotonic.Micros(uplinkTimeShare*float64(limit)))
	if admitted {
		return size, nil
	}
	fault = apierror.New(apierror.Overloaded, apierror.NotRun, "the link of %s is taken for %d ms", c.options.Proxy, wait/monotonic.Millisecond)
	fault.RetryAfter = max(wait, monotonic.Millisecond)
	return 0, fault
}

func (c *Controller) rejection(req *wire.ForwardRequest, fault *apierror.Fault) *wire.ForwardResponse {
	version, _ := c.options.ConfigClient.Version()
	return &wire.ForwardResponse{Id: req.Id, Rejected: true, Cause: uint32(fault.Cause), Verdict: string(fault.Verdict), RetryAfter: int64(fault.RetryAfter),
		BackendFault: fault.Backend, ConfigVersion: version, Detail: fault.Detail}
}

func success(id string, response *request.Response) *wire.ForwardResponse {
	return &wire.ForwardResponse{Id: id, Status: response.Status, Headers: response.Headers, Body: response.Body, Length: uint64(len(response.Body)),
		Checksum: frame.Checksum(response.Body), Instance: response.Instance}
}

// Complete tells whether a passed answer is what the other side meant to send.
func Complete(reply *wire.ForwardResponse) bool {
	return uint64(len(reply.Body)) == reply.Length && frame.Checksum(reply.Body) == reply.Checksum
}

// Drain waits until every pass under way is answered, at most for patience.
func (c *Controller) Drain(timeout monotonic.Micros) bool {
	deadline := c.options.Host.Now() + timeout
	for c.running.Load() > 0 {
		remaining := deadline - c.options.Host.Now()
		if remaining <= 0 {
			return false
		}
		c.idle.Wait(min(remaining, 100*monotonic.Millisecond))
	}
	return true
}
