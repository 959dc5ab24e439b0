package admission

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/transport/wire"
)

// reportedFaults maps causes to events: a fault with one of these causes is reported to operators, and not only to the caller.
var reportedFaults = map[apierror.Cause]int{
	apierror.ResponseBroken:          eventlog.ResponseBroken,
	apierror.BackendIdentityMismatch: eventlog.IdentityMismatch,
}

// Serve handles one request from another proxy, or from this one. The error is always nil: faults are part of the reply.
func (c *Controller) Serve(req *wire.ForwardRequest) (*wire.ForwardResponse, error) {
	c.inFlight.Begin()
	defer c.inFlight.End()
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
	return c.rejection(req, apierror.New(apierror.StoppedInFlight, verdict, "proxy %s is stopping and can't wait any longer", c.options.Proxy)), nil
}

// serve admits a request, executes it and returns the reply. What the steps reserve is released in reverse order.
func (c *Controller) serve(req *wire.ForwardRequest, task *shutdown.Task) (reply *wire.ForwardResponse) {
	received := c.options.Host.Now()
	deadline := received + monotonic.Micros(req.Remaining)
	if c.claimPerService {
		req = proto.CloneOf(req)
		req.Scope = req.Service + "\n" + req.Scope
	}
	if fault := c.checkPreconditions(req); fault != nil {
		return c.rejection(req, fault)
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
	defer func() { c.releaseUplink(req, size, reply) }()
	cancellation := c.cancellations.begin(req)
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
	response, fault := c.execute(&execution{
		req:          req,
		deadline:     deadline,
		received:     received,
		permit:       permit,
		observation:  observation,
		cancellation: cancellation,
		task:         task,
	})
	if fault != nil {
		return c.rejection(req, fault)
	}
	return success(req.Id, response)
}

// execution is an admitted request that is being executed.
type execution struct {
	req          *wire.ForwardRequest
	deadline     monotonic.Micros
	received     monotonic.Micros // when the request was received
	permit       *permit
	observation  *localbackends.Observation
	cancellation *cancellation // nil for a run-once request
	task         *shutdown.Task
}

// cancellable reports whether the request may be aborted while its backend processes it. This holds for requests that may be
// repeated, and neither for run-once requests nor for those that may run at most once but have no idempotency key.
func (e *execution) cancellable() bool { return !e.req.RunOnce && !e.req.AtMostOnce }

// execute sends a request to its backend, records the outcome for outlier detection and the slot, and returns the response.
func (c *Controller) execute(e *execution) (*request.Response, *apierror.Error) {
	e.observation.Start()
	response, fault := c.options.Upstream.RoundTrip(c.backendRequest(e))
	if fault != nil && !fault.NotRun() && e.cancellable() && e.cancellation.cancelled() {
		fault = apierror.New(apierror.ClientClosed, apierror.MayHaveRun, "the caller disconnected while the backend processed the request")
		fault.HealthNeutral = true // this proxy closed the connection, which says nothing about the backend
	}
	e.observation.Close(backendOutcome(response, fault))
	e.permit.Release(slotOutcome(response, fault))
	backend := e.permit.Backend
	if fault == nil && response.NotRun {
		fault = apierror.New(apierror.NotExecuted, apierror.NotRun, "backend %s answered %d, not executed", backend.Instance, response.Status)
	}
	if fault != nil {
		if e.req.RunOnce && fault.NotRun() {
			c.releaseClaim(e.req)
		}
		if number := reportedFaults[fault.Cause]; number > 0 {
			c.options.Host.Report(number, eventlog.Attributes{"instance": backend.Instance, "detail": fault.Detail})
		}
		return nil, fault
	}
	response.Instance = backend.Instance
	if e.req.RunOnce {
		c.options.Replay.Put(e.req.Scope, e.req.Digest, response)
	}
	return response, nil
}

func (c *Controller) backendRequest(e *execution) BackendRequest {
	backendRequest := BackendRequest{
		ID:              e.req.Id,
		Tenant:          e.req.Tenant,
		Backend:         e.permit.Backend,
		Method:          e.req.Method,
		Target:          e.req.Target,
		Headers:         e.req.Headers,
		Body:            e.req.Body,
		FreshConnection: !e.cancellable(),
		Deadline:        e.deadline,
		ResponseLimit:   e.req.AnswerLimit,
		BeforeSend:      func() *apierror.Error { return c.checkBeforeSend(e) },
	}
	if e.cancellable() {
		backendRequest.OnCancel = e.cancellation.onCancel
	}
	return backendRequest
}

// checkKeyLease rejects a request if the sender's lease on the tenants' keys has expired since the request was received: the key
// may have been revoked.
func (c *Controller) checkKeyLease(e *execution) *apierror.Error {
	lease := monotonic.Micros(e.req.KeyLease)
	if lease > 0 && c.options.Host.Now()-e.received >= lease {
		return apierror.New(apierror.KeyLeaseExpired, apierror.NotRun, "the lease on the tenants' keys has expired, the key may have been revoked")
	}
	return nil
}

// checkBeforeSend is the last check before the request is sent. It covers the conditions that may have changed while the request
// waited.
func (c *Controller) checkBeforeSend(e *execution) *apierror.Error {
	if e.cancellation.cancelled() {
		return apierror.New(apierror.ClientClosed, apierror.NotRun, "the caller disconnected before the request was sent")
	}
	if c.options.Host.Now() >= e.permit.startBy {
		return apierror.New(apierror.ClaimTimeout, apierror.NotRun, "the time by which the request had to start has passed")
	}
	if fault := c.checkKeyLease(e); fault != nil {
		return fault
	}
	if fault := c.checkLease(); fault != nil {
		return fault
	}
	if fault := c.options.LocalBackends.CheckAvailable(e.permit.Backend.Instance, e.permit.Backend.Service); fault != nil {
		return fault
	}
	if !e.task.Start() {
		return apierror.New(apierror.StoppedInFlight, apierror.NotRun, "this proxy is stopping and abandoned the request before it was sent")
	}
	return nil
}
