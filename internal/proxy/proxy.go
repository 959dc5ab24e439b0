package proxy

import (
	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/forward"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/replay"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
	"snowflow/internal/proxy/session"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/proxy/singleton"
	"snowflow/internal/release"
	"snowflow/internal/transport/wire"
)

// sweepInterval is the time between two checks for overdue heartbeats of backends.
const sweepInterval = 500 * monotonic.Millisecond

// Options are the dependencies and settings of a Proxy. Host, Resolver, Name, Address and Upstream must be set.
type Options struct {
	Host     host.Host           // clock, tasks and network of this process
	Resolver *discovery.Resolver // finds the core processes and their leaders
	Name     string              // of this proxy, unique in the mesh
	Domain   string              // failure domain of this host, such as an availability zone
	Address  string              // address at which other proxies reach this one
	// IgnoreDomains makes the load balancer treat backends of all failure domains equally.
	IgnoreDomains bool
	// CrossDomainPenalty is the latency that the load balancer adds to backends of other failure domains.
	CrossDomainPenalty monotonic.Micros
	// Upstream sends requests to the local backends.
	Upstream admission.Upstream
	// ReadConfig reads an accepted configuration. Nil means config.ParseAccepted.
	ReadConfig config.Parser
	// ServeStale makes this proxy continue to serve with its last known configuration while it can't reach the configuration store.
	// The store must have the same setting.
	ServeStale bool
	// KeyLease is how long tenants' keys remain valid without contact to the configuration store's primary, see
	// configclient.Options.KeyLease.
	KeyLease monotonic.Micros
	// OnFinished, unless nil, is called with the outcome of each caller's request: one of response and fault is nil.
	OnFinished func(exchange *forward.Exchange, response *request.Response, fault *apierror.Error)
	// IdempotencyTTL is how long the responses to requests with idempotency keys are kept. It must equal the time that the registry
	// keeps the keys. Zero means two minutes.
	IdempotencyTTL monotonic.Micros
	// Linger is how long a draining proxy still accepts callers' requests after it reports that it is not ready: the time that callers
	// need to notice that and to stop sending. Zero if they notice immediately.
	Linger monotonic.Micros
	// LinkMegabits is the capacity of this host's network link in megabits per second. Zero means no limit.
	LinkMegabits float64
	// SilenceTimeout is how long another proxy with requests in flight may send no response before it is sent a health check. Zero
	// means 700 ms.
	SilenceTimeout monotonic.Micros
	// WaitForReplies, unless nil, waits until the replies to other processes are written or the timeout has passed.
	WaitForReplies func(timeout monotonic.Micros)
}

// Proxy is a sidecar proxy with all its parts.
type Proxy struct {
	options       Options
	incarnation   uint64 // random, never zero, new at each start of the process
	ConfigClient  *configclient.Client
	Session       *session.Client
	LocalBackends *localbackends.Set
	Breakers      *breaker.Set
	RetryBudget   *retry.Budget
	Singleton     *singleton.Client
	Admission     *admission.Controller
	Forwarder     *forward.Forwarder
	// Callers counts callers' requests from the time they were read until their responses are written. The handlers of callers'
	// requests increment and decrement it.
	Callers    *shutdown.InFlight
	draining   atomic.Bool         // makes Ready report false, so that the platform sends callers elsewhere
	leaving    atomic.Bool         // announced by the session, so that other proxies stop choosing the backends of this host
	clockWatch *clockwatch.Watcher // detects jumps of this process's clock
}

// New returns a proxy that is not started yet, see Start.
func New(options Options) *Proxy {
	p := &Proxy{
		options:     options,
		incarnation: options.Host.Random() | 1,
		clockWatch:  clockwatch.New(options.Host),
		Callers:     shutdown.NewInFlight(options.Host),
	}
	p.ConfigClient = configclient.New(configclient.Options{
		Host:        options.Host,
		Resolver:    options.Resolver,
		Proxy:       options.Name,
		Incarnation: p.incarnation,
		ClockWatch:  p.clockWatch,
		Parse:       options.ReadConfig,
		ServeStale:  options.ServeStale,
		KeyLease:    options.KeyLease,
	})
	p.Session = session.New(options.Host, options.Resolver, p.currentSession, p.clockWatch)
	p.LocalBackends = localbackends.New(options.Host, p.Session.PollNow)
	p.Breakers = breaker.NewSet(breaker.Config{
		Host:        options.Host,
		Proxy:       options.Name,
		Incarnation: p.incarnation,
		Call:        p.Session.CallLeaderOnce,
	})
	p.Session.Activity = p.Breakers.TakeActivity
	p.Session.ApplyBreakers = p.Breakers.ApplyPoll
	p.Singleton = singleton.New(singleton.Options{
		Host:       options.Host,
		Proxy:      options.Name,
		Available:  p.LocalBackends.Available,
		CallLeader: p.Session.CallLeader,
	})
	p.RetryBudget = retry.NewBudget(options.Host, p.Session.QuotaShare)
	replays := replay.New(options.Host)
	if options.IdempotencyTTL > 0 {
		replays.TTL = options.IdempotencyTTL
	}
	p.Admission = p.newAdmission(replays)
	p.Forwarder = p.newForwarder(replays)
	p.handleClockJumps()
	return p
}

func (p *Proxy) newAdmission(replays *replay.Store) *admission.Controller {
	return admission.New(admission.Options{
		Host:          p.options.Host,
		Proxy:         p.options.Name,
		Incarnation:   p.incarnation,
		ConfigClient:  p.ConfigClient,
		LocalBackends: p.LocalBackends,
		Replay:        replays,
		Upstream:      p.options.Upstream,
		LinkMegabits:  p.options.LinkMegabits,
		ServeStale:    p.options.ServeStale,
		CallLeader:    p.Session.CallLeader,
		CallProxy:     p.callProxy,
	})
}

func (p *Proxy) newForwarder(replays *replay.Store) *forward.Forwarder {
	return forward.New(forward.Config{
		Host:               p.options.Host,
		Proxy:              p.options.Name,
		Incarnation:        p.incarnation,
		Domain:             p.options.Domain,
		IgnoreDomains:      p.options.IgnoreDomains,
		CrossDomainPenalty: p.options.CrossDomainPenalty,
		ConfigClient:       p.ConfigClient,
		Session:            p.Session,
		Breakers:           p.Breakers,
		RetryBudget:        p.RetryBudget,
		Admission:          p.Admission,
		CallLeader:         p.Session.CallLeader,
		StoreResponse:      replays.Put,
		OnFinished:         p.options.OnFinished,
		SilenceTimeout:     p.options.SilenceTimeout,
	})
}

// handleClockJumps registers handlers that discard or correct what was measured across a jump of this process's clock.
func (p *Proxy) handleClockJumps() {
	p.clockWatch.OnJump(p.LocalBackends.ExtendHeartbeats)
	p.clockWatch.OnJump(func(monotonic.Micros) { p.RetryBudget.Clear() })
	p.clockWatch.OnJump(func(monotonic.Micros) { p.Session.ForgetLeaderClock() })
}

// TrustClock turns off the detection of clock jumps. It exists only for tests that verify that the simulation's invariants detect the
// consequences.
func (p *Proxy) TrustClock(enabled bool) { p.clockWatch.TrustClock(enabled) }

// Start starts the proxy's background tasks, which run until the process ends.
func (p *Proxy) Start() {
	p.clockWatch.Every(p.Forwarder.ProbeInterval(), p.Forwarder.ProbeSilentProxies)
	p.clockWatch.Every(sweepInterval, p.LocalBackends.Sweep)
	p.clockWatch.Every(configclient.SupersededCheckInterval, p.ConfigClient.AbandonSuperseded)
	for _, task := range []func(){p.clockWatch.Run, p.ConfigClient.Run, p.Session.Run, p.Breakers.SendWrites} {
		p.options.Host.Go(task)
	}
}

// Register adds the handlers for messages from other processes.
func (p *Proxy) Register(handlers host.Handlers) { p.Admission.Register(handlers) }

// currentSession returns the current session, which each poll of the registry announces.
func (p *Proxy) currentSession() *wire.Session {
	version, _ := p.ConfigClient.Version()
	return &wire.Session{
		Proxy:         p.options.Name,
		Incarnation:   p.incarnation,
		Address:       p.options.Address,
		Domain:        p.options.Domain,
		Backends:      p.LocalBackends.Backends(),
		Leaving:       p.leaving.Load(),
		ConfigVersion: version,
		Release:       release.Version,
	}
}

// callProxy sends one message to the named proxy, whose address it takes from the directory.
func (p *Proxy) callProxy(name string, kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error {
	return p.options.Host.Call(p.Session.Directory().Addresses[name], kind, message, reply, timeout)
}

// LeaderClock returns a lower bound for the clock of the registry's leader, see session.Client.LeaderClock.
func (p *Proxy) LeaderClock() *wire.LeaderTimestamp { return p.Session.LeaderClock() }

// Now returns the current time of this process's clock.
func (p *Proxy) Now() monotonic.Micros { return p.options.Host.Now() }

// Incarnation identifies this run of the process.
func (p *Proxy) Incarnation() uint64 { return p.incarnation }
