// Package forward is the caller's side of a carrier: it resolves a request, grants it entry, carries it to a backend's
// carrier, tries again within its budget, and gives one final outcome.
package forward

import (
	"strconv"
	"strings"
	"sync"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// voidTimeout is how long a lost pass may take to be voided, beyond which the outcome stays open.
const voidTimeout = 1500 * monotonic.Millisecond

// Config is what a passage is made of.
type Config struct {
	Host               host.Host
	Proxy              string
	Incarnation        uint64
	Address            string
	Domain             string
	IgnoreDomains      bool
	CrossDomainPenalty monotonic.Micros // what the way to another zone counts for
	ConfigClient       *configclient.Client
	Session            *session.Client
	Breakers           *breaker.Set
	RetryBudget        *retry.Budget
	Admission          *admission.Controller
	// SilenceTimeout is how long a carrier may owe answers before it's asked for a sign of life, 700 ms if left out.
	SilenceTimeout monotonic.Micros
	CallPrimary    func(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error
	// StoreResponse is given the answer of each run-once request, so that it outlives the carrier beside the backend. It may be left out.
	StoreResponse func(scope string, digest []byte, response *request.Response)
	// OnFinished is told every outcome, for counting; it must not block.
	OnFinished func(exchange *Exchange, response *request.Response, fault *apierror.Fault)
}

// Forwarder carries requests.
type Forwarder struct {
	config            Config
	policies          []Policy
	draining          atomic.Bool
	inFlight          atomic.Int64
	idle              host.Signal
	shutdown          *shutdown.Group
	retryAfterJitter  *retryAfterJitter
	inFlightByService sync.Map // service name to *atomic.Int64
	balancer          *loadBalancer
}

// Exchange is one request's way.
// Invariants: Host, Method and Address are the request's in their one spelling; View, Path, Service and Cutoff are set by the
// resolve policy, and only a repin changes them; Once and Single never change once resolved, and are never both set; Service
// is of the Path's split.
type Exchange struct {
	Request   *request.Request
	Host      string
	Method    string
	Target    resourcepath.RequestTarget
	StartedAt monotonic.Micros
	Deadline  monotonic.Micros
	Snapshot  *config.Snapshot
	Route     config.Route
	Service   *config.Service
	RunOnce   bool
	// AtMostOnce: it may run at most once and nothing is claimed for it, so it's only tried again when certain that it has not run.
	AtMostOnce       bool
	IdempotencyScope string
	Digest           []byte
	Attempts         int
	// MayHaveRun is set once some try may have run; from then on no refusal says not run.
	MayHaveRun   bool
	task         *shutdown.Task
	retries      retryState
	lastBackend  bool // the backend of this try is the last one it may be brought to
	cancellation cancellation
	// VerdictConfirmed is set once the verdict was checked against the claims.
	VerdictConfirmed bool
}

// New makes a passage.
func New(config Config) *Forwarder {
	f := &Forwarder{config: config, idle: config.Host.NewSignal(), shutdown: shutdown.New(config.Host), retryAfterJitter: newRetryAfterJitter(config.Host), balancer: newLoadBalancer(config.Host, config.Domain, config.IgnoreDomains, config.CrossDomainPenalty)}
	if config.SilenceTimeout > 0 {
		f.balancer.silenceTimeout = config.SilenceTimeout
	}
	f.policies = f.Policies()
	return f
}

// minProbeTimeout is the least that a quiet carrier is given for a sign of life.
const minProbeTimeout = 150 * monotonic.Millisecond

// ProbeSilentPeers asks carriers that owe answers and give none for a sign of life. An ask that hears nothing ends its connection, and with
// it the passes that wait there, so they are settled and tried elsewhere long before their cutoff.
func (f *Forwarder) ProbeSilentPeers() {
	node := f.config.Host
	for _, pending := range f.balancer.beginProbes() {
		node.Go(func() {
			err := node.Call(pending.address, wire.Kind_discover, &wire.DiscoverRequest{HealthCheck: true}, &wire.DiscoverResponse{}, max(minProbeTimeout, f.balancer.silenceTimeout*5/7))
			if err != nil {
				node.Report(eventlog.PeerProxySilent, map[string]any{"address": pending.address, "error": err.Error()})
			}
			f.balancer.endProbe(pending, err == nil)
		})
	}
}

// ProbeInterval is how often Look is to be called.
func (f *Forwarder) ProbeInterval() monotonic.Micros { return f.balancer.probeInterval() }

func (f *Forwarder) inFlightCounter(service string) *atomic.Int64 {
	if counter, found := f.inFlightByService.Load(service); found {
		return counter.(*atomic.Int64)
	}
	counter, _ := f.inFlightByService.LoadOrStore(service, atomic.NewInt64(0))
	return counter.(*atomic.Int64)
}

// InFlight is the number of requests under way.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// StopAccepting makes the passage turn new requests down.
func (f *Forwarder) StopAccepting() { f.draining.Store(true) }

// Drain waits until every request under way has its outcome, at most for patience.
func (f *Forwarder) Drain(timeout monotonic.Micros) bool {
	deadline := f.config.Host.Now() + timeout
	for f.inFlight.Load() > 0 {
		remaining := deadline - f.config.Host.Now()
		if remaining <= 0 {
			return false
		}
		f.idle.Wait(min(remaining, 100*monotonic.Millisecond))
	}
	return true
}

// DisableRetryAfterJitter leaves the spreading of callers' return out, to measure what it's worth. No program sets it.
func (f *Forwarder) DisableRetryAfterJitter(disabled bool) { f.retryAfterJitter.disabled = disabled }

// Abort gives every request still under way its final outcome now.
func (f *Forwarder) Abort() { f.shutdown.Abort() }

// Forward gives a request its one outcome: the backend's own complete answer, or a fault.
func (f *Forwarder) Forward(req *request.Request) (response *request.Response, fault *apierror.Fault) {
	f.inFlight.Inc()
	defer func() {
		if fault != nil {
			f.retryAfterJitter.apply(fault)
			f.config.Host.Report(eventlog.RequestRejected, map[string]any{"request": req.ID, "cause": int(fault.Cause), "verdict": string(fault.Verdict), "detail": fault.Detail})
		}
		if f.inFlight.Dec() == 0 {
			f.idle.Fire()
		}
	}()
	var result *request.Response
	var failure *apierror.Fault
	outcome := f.shutdown.Run(func(task *shutdown.Task) { result, failure = f.forward(req, task) })
	if outcome == shutdown.Done {
		return result, failure
	}
	fault = apierror.New(apierror.StoppedInFlight, apierror.MayHaveRun, "carrier %s stops, and can't wait any longer", f.config.Proxy)
	if outcome == shutdown.NotStarted && req.IdempotencyKey == "" {
		fault.Verdict = apierror.NotRun
	}
	return nil, fault
}

func (f *Forwarder) forward(req *request.Request, task *shutdown.Task) (response *request.Response, fault *apierror.Fault) {
	exchange := &Exchange{Request: req, task: task, StartedAt: f.config.Host.Now(), Host: config.CanonicalHost(req.Host), Method: strings.ToUpper(req.Method)}
	exchange.Deadline = exchange.StartedAt + voidTimeout // until the path's own limit is known
	defer func() {
		if f.config.OnFinished != nil {
			f.config.OnFinished(exchange, response, fault)
		}
	}()
	if req.ParsedTarget != nil {
		exchange.Target = *req.ParsedTarget
	} else {
		var err error
		if exchange.Target, err = resourcepath.Parse(req.Target); err != nil {
			return nil, apierror.New(apierror.MalformedRequest, apierror.NotRun, "%v", err)
		}
	}
	exchange.IdempotencyScope = idempotencyScope(exchange)
	for _, policy := range f.policies {
		if fault := policy.Enter(exchange); fault != nil {
			return nil, f.confirmVerdict(exchange, fault)
		}
		defer policy.Leave(exchange)
	}
	stop := f.watchCaller(exchange)
	response, fault = f.forwardWithRetries(exchange)
	stop()
	if fault != nil {
		return nil, f.confirmVerdict(exchange, fault)
	}
	return response, nil
}

// maxAttempts is the path's own where it has one, else the service's.
func (e *Exchange) maxAttempts() int {
	if e.Route.MaxAttempts > 0 {
		return int(e.Route.MaxAttempts)
	}
	return int(e.Service.Retry.GetMostTries())
}

// attempts makes the first try and, while it's safe, allowed and in time, further ones.
func (f *Forwarder) forwardWithRetries(exchange *Exchange) (*request.Response, *apierror.Fault) {
	node := f.config.Host
	avoid := map[string]bool{}
	for {
		response, fault, retriable := f.attempt(exchange, avoid)
		redispatched := exchange.retries.endAttempt(f.config.RetryBudget, exchange, fault, retriable, exchange.lastBackend)
		if fault == nil {
			return response, nil
		}
		exchange.MayHaveRun = exchange.MayHaveRun || !fault.NotRun()
		if redispatched {
			continue
		}
		if fault.Cause == apierror.Overloaded {
			// Each backend that could be asked is full: its caller hears so at once, and the least of the waits.
			fault.RetryAfter = exchange.retries.minRetryAfter
			return nil, fault
		}
		retryPolicy := exchange.Service.Retry
		if !retriable || exchange.Attempts >= exchange.maxAttempts() {
			return nil, fault
		}
		backoff := monotonic.Micros(retryPolicy.GetBackoffMicros())
		backoff += monotonic.Micros(node.Random() % uint64(backoff+1))
		if node.Now()+backoff+50*monotonic.Millisecond >= exchange.Deadline {
			return nil, fault
		}
		if !f.config.RetryBudget.TryWithdraw(exchange.Service.Name, retryPolicy.GetAllowance()) {
			exhausted := apierror.New(apierror.RetryBudgetExhausted, fault.Verdict, "no further try is left; the last said: %s", fault.Detail)
			return nil, exhausted
		}
		exchange.retries.charged = true
		if fault.Cause == apierror.VersionOlder || fault.Cause == apierror.VersionBehind {
			f.resolveAgain(exchange)
		}
		node.Sleep(backoff)
	}
}

// repin resolves a trip anew after a refusal for its serial; only the newest view may be used from then on.
func (f *Forwarder) resolveAgain(exchange *Exchange) {
	f.config.ConfigClient.WaitForVersion(exchange.Snapshot.Version+1, 300*monotonic.Millisecond)
	snapshot, live := f.config.ConfigClient.Current()
	if !live {
		return
	}
	route, found := snapshot.Resolve(exchange.Host, exchange.Method, exchange.Target.Path)
	if !found || route.Name != exchange.Route.Name || runsOnce(route, exchange) != exchange.RunOnce || (route.Single && !exchange.RunOnce) != exchange.AtMostOnce {
		return
	}
	if service, there := route.FindService(exchange.Service.Name); there {
		exchange.Snapshot, exchange.Route, exchange.Service = snapshot, route, service
	}
}

// try makes one try. retriable tells that another one can't make the request run twice.
func (f *Forwarder) attempt(exchange *Exchange, avoid map[string]bool) (response *request.Response, fault *apierror.Fault, retriable bool) {
	node := f.config.Host
	exchange.lastBackend = true
	snapshot, live := f.config.ConfigClient.Current()
	if !live {
		return nil, apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun, "the tenure to serve by serial %d has ended", snapshot.Version), false
	}
	if snapshot.Version != exchange.Snapshot.Version {
		f.resolveAgain(exchange)
	}
	permit, fault := f.config.Breakers.Admit(exchange.Service)
	if fault != nil {
		return nil, fault, false
	}
	candidate, lastBackend, release, fault := f.balancer.pick(f.config.Session.Directory(),
		pickCriteria{service: exchange.Service.Name, route: exchange.Route.Name, latencyTarget: exchange.Route.LatencyTarget, avoid: avoid})
	if fault != nil {
		permit.Done(breaker.Neutral)
		return nil, fault, false
	}
	defer release()
	avoid[candidate.Instance] = true
	if !exchange.retries.redispatching {
		exchange.Attempts++
	}
	exchange.lastBackend = lastBackend || exchange.retries.redispatches == maxRedispatches
	remaining := exchange.Deadline - node.Now()
	if remaining <= 0 {
		permit.Done(breaker.Neutral)
		return nil, apierror.New(apierror.DeadlineExceeded, apierror.NotRun, "the cutoff was reached before the pass"), false
	}
	forwardRequest := &wire.ForwardRequest{Id: exchange.Request.ID + "." + strconv.Itoa(exchange.Attempts), ConfigVersion: exchange.Snapshot.Version, Service: exchange.Service.Name,
		Instance: candidate.Instance, Method: exchange.Method, Target: exchange.Target.Encoded, Headers: exchange.Request.Headers,
		Body: exchange.Request.Body, RunOnce: exchange.RunOnce, Scope: exchange.IdempotencyScope, Digest: exchange.Digest, Remaining: int64(remaining),
		ReadAt: exchange.Request.ReadAt, AttemptNumber: uint32(exchange.Attempts), From: f.config.Proxy, ToIncarnation: candidate.Incarnation,
		AnswerLimit: exchange.Service.Limits.GetAnswerBytes(), Priority: exchange.Route.Priority, LatencyTarget: exchange.remainingLatencyTarget(node.Now()), AtMostOnce: exchange.AtMostOnce, MayQueue: exchange.lastBackend, Route: exchange.Route.Name,
		Domain: f.config.Domain, Peers: f.balancer.peersOf(f.config.Session.Directory(), exchange.Service.Name, candidate.Instance)}
	if exchange.RunOnce {
		forwardRequest.Attempt = admission.NewAttemptID(f.config.Proxy, node.Random())
	}
	if !exchange.task.Start() {
		permit.Done(breaker.Neutral)
		return nil, apierror.New(apierror.StoppedInFlight, apierror.NotRun, "given up before the pass"), false
	}
	if fault := exchange.beginSend(candidate, forwardRequest.Id); fault != nil {
		permit.Done(breaker.Neutral)
		return nil, fault, false
	}
	forwardResponse, err := f.send(candidate, forwardRequest, remaining)
	if exchange.endSend() {
		// How it ended says nothing of the backend, and nobody wants to know.
		permit.Done(breaker.Neutral)
		return nil, apierror.New(apierror.ClientClosed, apierror.MayHaveRun, "its caller left"), false
	}
	if err != nil {
		return f.handleLostResponse(exchange, permit, candidate, forwardRequest, err)
	}
	f.balancer.observeLoad(candidate.Instance, exchange.Route.Name, forwardResponse.Load)
	backendOnly := f.balancer.observeHealth(f.config.Session.Directory(), exchange.Service.Name, candidate.Instance, forwardResponse.Load)
	if forwardResponse.Id != forwardRequest.Id || !forwardResponse.Rejected && !admission.Complete(forwardResponse) {
		permit.Done(breaker.Neutral)
		return nil, apierror.New(apierror.ResponseMismatch, apierror.MayHaveRun, "the answer to pass %s is not whole or not its own", forwardRequest.Id), !exchange.RunOnce && !exchange.AtMostOnce
	}
	if forwardResponse.Rejected {
		return f.handleRejection(exchange, permit, candidate, forwardResponse, backendOnly)
	}
	f.balancer.observeSize(exchange.Route.Name, len(forwardRequest.Body)+len(forwardResponse.Body))
	outcome := breaker.Success
	if forwardResponse.Status >= 500 && !backendOnly {
		outcome = breaker.Failure
	}
	permit.Done(outcome)
	f.balancer.observeOutcome(candidate.Instance, outcome == breaker.Failure)
	response = &request.Response{Status: forwardResponse.Status, Headers: forwardResponse.Headers, Body: forwardResponse.Body, Instance: forwardResponse.Instance, ConfigVersion: exchange.Snapshot.Version}
	if exchange.RunOnce && f.config.StoreResponse != nil {
		f.config.StoreResponse(exchange.IdempotencyScope, exchange.Digest, response)
	}
	return response, nil, false
}

// send passes a request on; to this carrier's own gate without a connection.
func (f *Forwarder) send(candidate session.Candidate, forwardRequest *wire.ForwardRequest, timeout monotonic.Micros) (*wire.ForwardResponse, error) {
	if candidate.Proxy == f.config.Proxy && candidate.Incarnation == f.config.Incarnation {
		return f.config.Admission.Serve(forwardRequest)
	}
	forwardResponse := &wire.ForwardResponse{}
	kind := wire.Kind_forward
	if f.balancer.isBulk(forwardRequest.Route) {
		kind = wire.Kind_forward_bulk
	}
	return forwardResponse, f.config.Host.Call(candidate.Address, kind, forwardRequest, forwardResponse, timeout)
}

// aim is what is left of the time that the route wants its answers in; at least a microsecond, for zero says that it has none.
func (e *Exchange) remainingLatencyTarget(now monotonic.Micros) int64 {
	if e.Route.LatencyTarget == 0 {
		return 0
	}
	return int64(max(1, e.Route.LatencyTarget-(now-e.StartedAt)))
}
