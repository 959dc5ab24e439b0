package proxy

import (
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
	"snowflow/internal/proxy/singleton"
	"snowflow/internal/release"
	"snowflow/internal/transport/wire"

	"go.uber.org/atomic"
)

// registryGroup is the name of the registry's servers in discovery. It is sent on the wire.
const registryGroup = "sorter"

// sweepInterval is the time between two looks for backends whose heartbeats are overdue.
const sweepInterval = 500 * monotonic.Millisecond

// Options are the parts and settings of a Proxy.
type Options struct {
	Host     host.Host
	Resolver *discovery.Resolver
	Name     string // of this proxy, unique in the mesh
	Domain   string // failure domain of this host, such as a zone
	Address  string // at which other proxies reach this one
	// IgnoreDomains makes the load balancer treat backends of all failure domains alike.
	IgnoreDomains bool
	// CrossDomainPenalty is the latency that the load balancer adds to backends of other failure domains.
	CrossDomainPenalty monotonic.Micros
	Upstream           admission.Upstream
	// ReadConfig reads an accepted configuration. Nil means config.Accepted.
	ReadConfig config.Parser
	// ServeStale makes this proxy serve on by its last known configuration while it has no contact to the configuration store. The
	// store must have the same setting.
	ServeStale bool
	// OnFinished is called with the outcome of each request of a caller.
	OnFinished func(exchange *forward.Exchange, answer *request.Response, fault *apierror.Fault)
	// IdempotencyTTL is how long the responses to idempotency keys are recorded. It must be as long as the registry keeps the
	// keys. Zero means two minutes.
	IdempotencyTTL monotonic.Micros
	// Linger is how long a draining proxy still takes callers' requests, where those who send them need that time to stop.
	Linger monotonic.Micros
	// LinkMegabits is the capacity of this host's network link in megabits a second; zero for no limit.
	LinkMegabits float64
	// SilenceTimeout is the time without a response from a proxy with requests in flight after which it is sent a health check.
	// Zero means 700 ms.
	SilenceTimeout monotonic.Micros
}

// Proxy is one sidecar proxy.
type Proxy struct {
	options       Options
	incarnation   uint64 // random, new with each start of the process
	ConfigClient  *configclient.Client
	Session       *session.Client
	LocalBackends *localbackends.Set
	Breakers      *breaker.Set
	RetryBudget   *retry.Budget
	Singleton     *singleton.Client
	Admission     *admission.Controller
	Forwarder     *forward.Forwarder
	draining      atomic.Bool // the platform is to send no more callers here
	leaving       atomic.Bool // other proxies are to choose the backends of this host no more
	clockWatch    *clockwatch.Watcher
}

// New returns a proxy that is not started.
func New(options Options) *Proxy {
	p := &Proxy{options: options, incarnation: options.Host.Random() | 1, clockWatch: clockwatch.New(options.Host)}
	p.ConfigClient = configclient.New(configclient.Options{
		Host:        options.Host,
		Resolver:    options.Resolver,
		Proxy:       options.Name,
		Incarnation: p.incarnation,
		ClockWatch:  p.clockWatch,
		Parse:       options.ReadConfig,
		ServeStale:  options.ServeStale,
	})
	p.Session = session.New(options.Host, options.Resolver, p.currentSession, p.clockWatch)
	p.LocalBackends = localbackends.New(options.Host, p.Session.PollNow)
	p.Breakers = breaker.NewSet(breaker.Config{
		Host:        options.Host,
		Proxy:       options.Name,
		Incarnation: p.incarnation,
		Call:        p.callLeaderOnce,
	})
	p.Session.Activity = p.Breakers.TakeActivity
	p.Session.ApplyBreakers = func(records []*wire.BreakerRecord, reached bool) { p.Breakers.ApplyPoll(records, reached) }
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
	p.clockWatch.OnJump(p.LocalBackends.ExtendHeartbeats)
	p.clockWatch.OnJump(func(monotonic.Micros) { p.RetryBudget.Clear() })
	p.clockWatch.OnJump(func(monotonic.Micros) { p.Session.ForgetLeaderClock() })
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

// TrustClock makes the proxy take whatever its clock shows for right. It exists so that tests can show that the simulation's
// invariants detect it; no program calls it.
func (p *Proxy) TrustClock(enabled bool) { p.clockWatch.TrustClock(enabled) }

// Start starts the proxy's background work, which goes on until the process ends.
func (p *Proxy) Start() {
	p.clockWatch.Every(p.Forwarder.ProbeInterval(), p.Forwarder.ProbeSilentPeers)
	p.clockWatch.Every(sweepInterval, p.LocalBackends.Sweep)
	for _, task := range []func(){p.clockWatch.Run, p.ConfigClient.Run, p.Session.Run, p.Breakers.SendWrites} {
		p.options.Host.Go(task)
	}
}

// Register adds the handlers of the messages that other processes send to this one.
func (p *Proxy) Register(table host.Handlers) { p.Admission.Register(table) }

// currentSession returns the session that the next poll of the registry announces.
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

// callLeaderOnce sends one message to the registry's leader, without a retry.
func (p *Proxy) callLeaderOnce(kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error {
	name := p.options.Resolver.Leader(registryGroup)
	if name == "" {
		return apierror.Unreachable.New("no registry leader is known")
	}
	return p.options.Resolver.Call(name, kind, message, reply, timeout)
}

func (p *Proxy) callProxy(name string, kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error {
	return p.options.Host.Call(p.Session.Directory().Addresses[name], kind, message, reply, timeout)
}

// LeaderClock returns a time of the registry leader's clock that has certainly passed, see session.Client.LeaderClock.
func (p *Proxy) LeaderClock() *wire.LeaderTimestamp { return p.Session.LeaderClock() }

// Now returns the time on this process's clock.
func (p *Proxy) Now() monotonic.Micros { return p.options.Host.Now() }

// Incarnation identifies this run of the process.
func (p *Proxy) Incarnation() uint64 { return p.incarnation }
