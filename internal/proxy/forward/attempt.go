package forward

import (
	"net/http"
	"strconv"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/cancellation"
	"snowflow/internal/proxy/loadbalancer"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

// attempt is one attempt of a request at one backend.
type attempt struct {
	exchange    *Exchange
	permit      *breaker.Permit
	candidate   session.Candidate
	lastBackend bool // no other backend may be tried after this one
}

// attemptResult is the outcome of an attempt: a response or a fault.
type attemptResult struct {
	response *request.Response
	fault    *apierror.Error
	// retriable is true if another attempt is safe: the request hasn't run, or may run more than once.
	retriable bool
	// lastBackend is true if no other backend may be tried.
	lastBackend bool
}

// fail returns the result of an attempt that ended with a fault.
func (a *attempt) fail(fault *apierror.Error, retriable bool) attemptResult {
	return attemptResult{fault: fault, retriable: retriable, lastBackend: a.lastBackend}
}

// failNeutral ends an attempt that must not be retried, and whose outcome counts neither for nor against its backend.
func (a *attempt) failNeutral(fault *apierror.Error) attemptResult {
	a.permit.Done(breaker.Neutral)
	return a.fail(fault, false)
}

// notAttempted returns the result if no backend was tried.
func notAttempted(fault *apierror.Error) attemptResult {
	return attemptResult{fault: fault, lastBackend: true}
}

// attemptBackend makes one attempt, at a backend that isn't in tried if there is one, and adds that backend to tried.
func (f *Forwarder) attemptBackend(exchange *Exchange, tried map[string]bool) attemptResult {
	snapshot, leaseValid := f.config.ConfigClient.Current()
	if !leaseValid {
		return notAttempted(configLeaseExpired(snapshot))
	}
	if snapshot.Version != exchange.Snapshot.Version {
		f.resolveAgain(exchange)
	}
	if fault := f.authenticateAgain(exchange, snapshot); fault != nil {
		return notAttempted(fault)
	}
	permit, fault := f.config.Breakers.Admit(exchange.Service)
	if fault != nil {
		return notAttempted(fault)
	}
	pick, fault := f.balancer.Pick(f.config.Session.Directory(), loadbalancer.Criteria{
		Service:       exchange.Service.Name,
		Route:         exchange.Route.Name,
		LatencyTarget: exchange.Route.LatencyTarget,
		Avoid:         tried,
	})
	if fault != nil {
		permit.Done(breaker.Neutral)
		return notAttempted(fault)
	}
	defer pick.Release()
	tried[pick.Candidate.Instance] = true
	if !exchange.retries.Redispatching() {
		exchange.Attempts++
	}
	lastBackend := pick.LastBackend || exchange.retries.RedispatchesExhausted()
	return f.run(&attempt{exchange: exchange, permit: permit, candidate: pick.Candidate, lastBackend: lastBackend})
}

// run sends an attempt to its backend's proxy and waits for the response.
func (f *Forwarder) run(a *attempt) attemptResult {
	remaining := a.exchange.Deadline - f.config.Host.Now()
	if remaining <= 0 {
		return a.failNeutral(apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the deadline passed before the request was forwarded"))
	}
	message := f.newForwardRequest(a, remaining)
	if !a.exchange.task.Start() {
		return a.failNeutral(apierror.New(apierror.StoppedInFlight, apierror.NotRun, "the proxy stopped before the request was forwarded"))
	}
	if !a.exchange.cancellation.Begin(a.cancellable(message.Id)) {
		return a.failNeutral(apierror.New(apierror.ClientClosed, apierror.NotRun, "the caller disconnected"))
	}
	response, err := f.send(a.candidate, message, remaining)
	if a.exchange.cancellation.End() {
		// The outcome of a cancelled attempt says nothing about the backend, and nobody waits for its response.
		return a.failNeutral(apierror.New(apierror.ClientClosed, apierror.MayHaveRun, "the caller disconnected"))
	}
	if err != nil {
		return f.handleLostResponse(a, message, err)
	}
	return f.handleResponse(a, message, response)
}

func (a *attempt) cancellable(id string) cancellation.Attempt {
	return cancellation.Attempt{ID: id, Proxy: a.candidate.Proxy, Incarnation: a.candidate.Incarnation, Address: a.candidate.Address}
}

// newForwardRequest returns the message for an attempt. The attempt may take the remaining time, in microseconds.
func (f *Forwarder) newForwardRequest(a *attempt, remaining monotonic.Micros) *wire.ForwardRequest {
	exchange := a.exchange
	message := &wire.ForwardRequest{
		Id:              exchange.Request.ID + "." + strconv.Itoa(exchange.Attempts),
		ConfigVersion:   exchange.Snapshot.Version,
		Service:         exchange.Service.Name,
		Instance:        a.candidate.Instance,
		Method:          exchange.Method,
		Target:          exchange.Target.Encoded,
		Headers:         exchange.Request.Headers,
		Body:            exchange.Request.Body,
		RunOnce:         exchange.RunOnce,
		Scope:           exchange.IdempotencyScope,
		Digest:          exchange.Digest,
		Remaining:       int64(remaining),
		ReadAt:          exchange.Request.ReadAt,
		AttemptNumber:   uint32(exchange.Attempts),
		From:            f.config.Proxy,
		ToIncarnation:   a.candidate.Incarnation,
		AnswerLimit:     exchange.Service.Limits.GetAnswerBytes(),
		Priority:        exchange.admissionPriority(),
		Tenant:          tenantName(exchange.Tenant),
		KeyLease:        int64(f.keyLease(exchange)),
		FormerScope:     exchange.FormerScope,
		LocallyAdmitted: a.permit.LocallyAdmitted(),
		LatencyTarget:   exchange.remainingLatencyTarget(f.config.Host.Now()),
		AtMostOnce:      exchange.AtMostOnce,
		MayQueue:        a.lastBackend,
		Route:           exchange.Route.Name,
		Domain:          f.config.Domain,
		Peers:           f.balancer.PeerStatistics(f.config.Session.Directory(), exchange.Service.Name, a.candidate.Instance),
	}
	if exchange.RunOnce {
		message.Attempt = admission.NewAttemptID(f.config.Proxy, f.config.Host.Random())
	}
	return message
}

// send sends a message to a candidate's proxy. If that is this proxy, it calls the admission directly.
func (f *Forwarder) send(
	candidate session.Candidate, message *wire.ForwardRequest, timeout monotonic.Micros,
) (*wire.ForwardResponse, error) {
	if f.isSelf(candidate.Proxy, candidate.Incarnation) {
		return f.config.Admission.Serve(message)
	}
	response := &wire.ForwardResponse{}
	kind := wire.Kind_forward
	if f.balancer.IsBulk(message.Route) {
		kind = wire.Kind_forward_bulk
	}
	return response, f.config.Host.Call(candidate.Address, kind, message, response, timeout)
}

// isSelf reports whether a proxy is this process.
func (f *Forwarder) isSelf(proxy string, incarnation uint64) bool {
	return proxy == f.config.Proxy && incarnation == f.config.Incarnation
}

// handleResponse records the backend's load, health and outcome from a response, and returns the attempt's result.
func (f *Forwarder) handleResponse(a *attempt, message *wire.ForwardRequest, response *wire.ForwardResponse) attemptResult {
	exchange, instance := a.exchange, a.candidate.Instance
	f.balancer.ObserveLoad(instance, exchange.Route.Name, response.Load)
	backendOnly := f.balancer.ObserveHealth(f.config.Session.Directory(), exchange.Service.Name, instance, response.Load)
	if response.Id != message.Id || !response.Rejected && !admission.Complete(response) {
		a.permit.Done(breaker.Neutral)
		fault := apierror.New(apierror.ResponseMismatch, apierror.MayHaveRun,
			"the response to attempt %s is incomplete or belongs to another attempt", message.Id)
		return a.fail(fault, exchange.mayRepeat())
	}
	if response.Rejected {
		return f.handleRejection(a, response, backendOnly)
	}
	f.balancer.ObserveSize(exchange.Route.Name, len(message.Body)+len(response.Body))
	outcome := breaker.Success
	if response.Status >= http.StatusInternalServerError && !backendOnly {
		outcome = breaker.Failure
	}
	a.permit.Done(outcome)
	f.balancer.ObserveOutcome(instance, outcome == breaker.Failure)
	backendResponse := &request.Response{
		Status:        response.Status,
		Headers:       response.Headers,
		Body:          response.Body,
		Instance:      response.Instance,
		ConfigVersion: exchange.Snapshot.Version,
	}
	if exchange.RunOnce && f.config.StoreResponse != nil {
		f.config.StoreResponse(exchange.IdempotencyScope, exchange.Digest, backendResponse)
	}
	return attemptResult{response: backendResponse, lastBackend: a.lastBackend}
}
