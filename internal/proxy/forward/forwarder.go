package forward

import (
	"strings"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/loadbalancer"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/proxy/tenantstats"
	"snowflow/internal/resourcepath"
	"snowflow/internal/transport/wire"
)

// ConfigClient provides the configuration by which requests are forwarded.
type ConfigClient interface {
	// Current returns the adopted snapshot, nil if there is none yet, and whether its lease is still valid.
	Current() (snapshot *config.Snapshot, leaseValid bool)
	// WaitForVersion waits until a version is adopted, at most for the timeout, and reports whether it was.
	WaitForVersion(version uint64, timeout monotonic.Micros) bool
	// KeyLease returns how much longer the tenant keys of the newest version may be relied on, and whether they need a lease at all.
	KeyLease() (remaining monotonic.Micros, limited bool)
	// InContact reports whether the adopted version was recently confirmed to be the newest.
	InContact() bool
}

// Session provides the registry's directory of backends, and follows the clock of the registry's leader.
type Session interface {
	Directory() *session.Directory
	// ObserveLeaderClock records a lower bound on the registry leader's clock.
	ObserveLeaderClock(observed *wire.LeaderTimestamp)
}

// Breakers admits attempts to a service.
type Breakers interface {
	Admit(service *config.Service) (*breaker.Permit, *apierror.Error)
}

// Admission is the backend's side of this same proxy. It serves requests to the backends on the same host.
type Admission interface {
	Serve(request *wire.ForwardRequest) (*wire.ForwardResponse, error)
	Cancel(from, id string) bool
}

// Config holds what a Forwarder needs. All times are microseconds.
type Config struct {
	Host        host.Host
	Proxy       string // this proxy's name
	Incarnation uint64
	Domain      string // failure domain
	// IgnoreDomains makes the load balancer treat all failure domains alike.
	IgnoreDomains bool
	// CrossDomainPenalty is added to the expected response time of a backend in another domain.
	CrossDomainPenalty monotonic.Micros
	ConfigClient       ConfigClient
	Session            Session
	Breakers           Breakers
	RetryBudget        *retry.Budget
	Admission          Admission
	// SilenceTimeout is how long a proxy with requests in flight may send no response before it is sent a health check. If 0,
	// 700 ms are used.
	SilenceTimeout monotonic.Micros
	// CallLeader calls the registry's leader.
	CallLeader func(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error
	// StoreResponse is called with the response of each RunOnce request, so that a repeated request can be answered after the
	// backend's proxy has stopped. It may be nil.
	StoreResponse func(scope string, digest []byte, response *request.Response)
	// OnFinished is called with the outcome of each request, for metrics. It must not block, and may be nil.
	OnFinished func(exchange *Exchange, response *request.Response, fault *apierror.Error)
}

// Forwarder forwards requests to backends. It is safe for concurrent use.
type Forwarder struct {
	config           Config
	policies         []policy
	draining         atomic.Bool
	inFlight         *shutdown.InFlight
	shutdown         *shutdown.Group
	retryAfterJitter *retry.Jitter
	services         serviceCounters
	balancer         *loadbalancer.Balancer
	tenants          *tenantstats.Counters
}

// New returns a forwarder. It starts no background tasks.
func New(config Config) *Forwarder {
	f := &Forwarder{
		config:           config,
		inFlight:         shutdown.NewInFlight(config.Host),
		shutdown:         shutdown.New(config.Host),
		retryAfterJitter: retry.NewJitter(config.Host),
		services:         serviceCounters{counts: map[string]int64{}},
		tenants:          tenantstats.New(),
		balancer: loadbalancer.New(loadbalancer.Config{
			Host:               config.Host,
			Domain:             config.Domain,
			IgnoreDomains:      config.IgnoreDomains,
			CrossDomainPenalty: config.CrossDomainPenalty,
			SilenceTimeout:     config.SilenceTimeout,
		}),
	}
	f.policies = f.orderedPolicies()
	return f
}

// ProbeSilentProxies sends a health check to each proxy that has requests in flight and has not responded within
// SilenceTimeout. A failed check closes its connection, so that those requests can be retried before their deadlines.
func (f *Forwarder) ProbeSilentProxies() { f.balancer.ProbeSilentProxies() }

// ProbeInterval returns the interval at which ProbeSilentProxies must be called, in microseconds.
func (f *Forwarder) ProbeInterval() monotonic.Micros { return f.balancer.ProbeInterval() }

// DisableRetryAfterJitter leaves Retry-After hints unchanged, so that the effect of the jitter can be measured. No program calls it.
func (f *Forwarder) DisableRetryAfterJitter(disabled bool) { f.retryAfterJitter.SetDisabled(disabled) }

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Count() }

// Tenants returns the counts of requests by tenant.
func (f *Forwarder) Tenants() tenantstats.Report { return f.tenants.Report() }

// StopAccepting makes the forwarder reject new requests with the cause Draining.
func (f *Forwarder) StopAccepting() { f.draining.Store(true) }

// Drain waits until no request is in flight, at most for the timeout in microseconds, and reports whether none is left.
func (f *Forwarder) Drain(timeout monotonic.Micros) bool { return f.inFlight.Drain(timeout) }

// Abort stops waiting for the requests in flight and ends each with a fault.
func (f *Forwarder) Abort() { f.shutdown.Abort() }

// Forward forwards a request and waits for its outcome: the backend's complete response, or a fault.
func (f *Forwarder) Forward(req *request.Request) (*request.Response, *apierror.Error) {
	f.inFlight.Begin()
	defer f.inFlight.End()
	response, fault := f.forwardUntilAborted(req)
	if fault != nil {
		f.retryAfterJitter.Apply(fault)
		f.reportRejection(req, fault)
	}
	return response, fault
}

func (f *Forwarder) reportRejection(req *request.Request, fault *apierror.Error) {
	f.config.Host.Report(eventlog.RequestRejected, eventlog.Attributes{
		"request": req.ID,
		"cause":   int(fault.Cause),
		"verdict": string(fault.Verdict),
		"detail":  fault.Detail,
	})
}

// forwardUntilAborted forwards a request in its own task, and stops waiting for that task once the forwarder is aborted.
func (f *Forwarder) forwardUntilAborted(req *request.Request) (*request.Response, *apierror.Error) {
	var response *request.Response
	var fault *apierror.Error
	outcome := f.shutdown.Run(func(task *shutdown.Task) { response, fault = f.forward(req, task) })
	if outcome == shutdown.Done {
		return response, fault
	}
	// The task may still write response and fault, so they must not be read.
	stopped := apierror.New(apierror.StoppedInFlight, apierror.MayHaveRun,
		"proxy %s is stopping and can't wait any longer", f.config.Proxy)
	if outcome == shutdown.NotStarted && req.IdempotencyKey == "" {
		stopped.Verdict = apierror.NotRun
	}
	return nil, stopped
}

// forward applies the policies to a request, makes the attempts, and confirms the verdict if it fails.
func (f *Forwarder) forward(req *request.Request, task *shutdown.Task) (response *request.Response, fault *apierror.Error) {
	exchange := f.newExchange(req, task)
	defer func() {
		if exchange.Tenant != nil {
			f.tenants.CountRequest(exchange.Tenant.Name, fault != nil)
		}
		if f.config.OnFinished != nil {
			f.config.OnFinished(exchange, response, fault)
		}
	}()
	if fault := exchange.parseTarget(); fault != nil {
		return nil, fault
	}
	exchange.IdempotencyScope = idempotencyScope(exchange)
	for _, policy := range f.policies {
		if fault := policy.enter(exchange); fault != nil {
			return nil, f.confirmVerdict(exchange, fault)
		}
		if policy.leave != nil {
			defer policy.leave(exchange)
		}
	}
	stop := f.watchCaller(exchange)
	response, fault = f.forwardWithRetries(exchange)
	stop()
	if fault != nil {
		return nil, f.confirmVerdict(exchange, fault)
	}
	return response, nil
}

// newExchange returns the exchange of a request whose route isn't resolved yet. Until the resolve policy sets the deadline, it is
// voidTimeout from now: if the request fails before that, confirmVerdict may need this time.
func (f *Forwarder) newExchange(req *request.Request, task *shutdown.Task) *Exchange {
	now := f.config.Host.Now()
	return &Exchange{
		Request:   req,
		Host:      config.CanonicalHost(req.Host),
		Method:    strings.ToUpper(req.Method),
		StartedAt: now,
		Deadline:  now + voidTimeout,
		task:      task,
	}
}

// parseTarget sets Target to the request's ParsedTarget or, if that is nil, to the canonical form of its Target.
func (e *Exchange) parseTarget() *apierror.Error {
	if e.Request.ParsedTarget != nil {
		e.Target = *e.Request.ParsedTarget
		return nil
	}
	target, err := resourcepath.Parse(e.Request.Target)
	if err != nil {
		return apierror.New(apierror.MalformedRequest, apierror.NotRun, "%v", err)
	}
	e.Target = target
	return nil
}
