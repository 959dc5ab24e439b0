// Package proxy is the proxy that stands beside each caller and each server.
package proxy

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
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

// Options is what a carrier is made of.
type Options struct {
	Host        host.Host
	Resolver    *discovery.Resolver
	Name        string
	Domain      string
	Address     string
	IgnoreZones bool // choose backends without looking at zones
	// CrossDomainPenalty is what the way to another zone counts for, in the choice among backends that tell their slots.
	CrossZonePenalty monotonic.Micros
	Upstream         admission.Upstream
	// Parse reads accepted desired states, franking.Accepted if left out.
	ReadConfig config.Parser
	// ServeStale: this carrier serves on while out of touch, by the newest desired state it has heard of. The postmasters must know.
	ServeOn  bool
	Finished func(exchange *forward.Exchange, answer *request.Response, fault *apierror.Fault)
	// IdempotencyTTL is how long answers to run-once requests are kept, two minutes if left out. It's as long as the sorters keep claims.
	IdempotencyTTL monotonic.Micros
	// Linger is how long a stopping carrier still takes callers' requests, where whoever sends them needs that time to stay away.
	Linger monotonic.Micros
	// LinkMegabits is what this machine's link carries, in megabits a second; zero for one that isn't counted.
	LinkMegabits float64
	// SilenceTimeout is how long a carrier may owe answers before it's asked for a sign of life, 700 ms if left out.
	SilenceTimeout monotonic.Micros
}

// Proxy puts the parts together. Invariant: incarnation is new in every life of the process.
type Proxy struct {
	options       Options
	incarnation   uint64
	ConfigClient  *configclient.Client
	Session       *session.Client
	LocalBackends *localbackends.Set
	Breaker       *breaker.Set
	RetryBudget   *retry.Budget
	Singleton     *singleton.Client
	Admission     *admission.Controller
	Forwarder     *forward.Forwarder
	draining      atomic.Bool // it's to be sent no more callers
	leaving       atomic.Bool // and its backends are to be chosen no more
	clockWatch    *clockwatch.Watcher
}

// NewBudget makes a carrier.
func New(options Options) *Proxy {
	p := &Proxy{options: options, incarnation: options.Host.Random() | 1, clockWatch: clockwatch.New(options.Host)}
	p.ConfigClient = configclient.New(configclient.Options{Host: options.Host, Resolver: options.Resolver, Proxy: options.Name, Incarnation: p.incarnation, ClockWatch: p.clockWatch, Parse: options.ReadConfig, ServeStale: options.ServeOn})
	p.Session = session.New(options.Host, options.Resolver, p.currentSession, p.clockWatch)
	p.LocalBackends = localbackends.New(options.Host, p.Session.PollNow)
	p.Breaker = breaker.NewSet(breaker.Config{Host: options.Host, Proxy: options.Name, Incarnation: p.incarnation, Call: p.callLeaderOnce})
	p.Session.Activity = p.Breaker.TakeActivity
	p.Session.ApplyBreakers = func(records []*wire.BreakerRecord, reached bool) { p.Breaker.ApplyPoll(records, reached) }
	p.Singleton = singleton.New(singleton.Options{Host: options.Host, Proxy: options.Name, Available: p.LocalBackends.Available, CallPrimary: p.Session.CallPrimary})
	p.RetryBudget = retry.NewBudget(options.Host, p.Session.QuotaShare)
	replays := replay.New(options.Host)
	if options.IdempotencyTTL > 0 {
		replays.TTL = options.IdempotencyTTL
	}
	p.Admission = admission.New(admission.Options{Host: options.Host, Proxy: options.Name, Incarnation: p.incarnation, ConfigClient: p.ConfigClient, ServeOn: options.ServeOn,
		LocalBackends: p.LocalBackends, Replay: replays, Upstream: options.Upstream, LinkMegabits: options.LinkMegabits, CallPrimary: p.Session.CallPrimary, CallProxy: p.callProxy})
	p.Forwarder = forward.New(forward.Config{Host: options.Host, Proxy: options.Name, Incarnation: p.incarnation, Address: options.Address,
		Domain: options.Domain, IgnoreDomains: options.IgnoreZones, CrossDomainPenalty: options.CrossZonePenalty, ConfigClient: p.ConfigClient, Session: p.Session, Breakers: p.Breaker, RetryBudget: p.RetryBudget, Admission: p.Admission,
		CallPrimary: p.Session.CallPrimary, StoreResponse: replays.Put, OnFinished: options.Finished, SilenceTimeout: options.SilenceTimeout})
	p.clockWatch.OnJump(p.LocalBackends.ExtendHeartbeats)
	p.clockWatch.OnJump(func(monotonic.Micros) { p.RetryBudget.Clear() })
	p.clockWatch.OnJump(func(monotonic.Micros) { p.Session.ForgetLeaderClock() })
	return p
}

// TrustClock takes whatever the clock shows, to show that a checker sees what comes of it. No program sets it.
func (p *Proxy) TrustClock(enabled bool) { p.clockWatch.TrustClock(enabled) }

// sweepInterval is how often silent backends are looked for.
const sweepInterval = 500 * monotonic.Millisecond

// Start begins work.
func (p *Proxy) Start() {
	p.clockWatch.Every(p.Forwarder.ProbeInterval(), p.Forwarder.ProbeSilentPeers)
	p.clockWatch.Every(sweepInterval, p.LocalBackends.Sweep)
	for _, task := range []func(){p.clockWatch.Run, p.ConfigClient.Run, p.Session.Run, p.Breaker.SendWrites} {
		p.options.Host.Go(task)
	}
}

// Register adds the carrier's handlers.
func (p *Proxy) Register(table host.Handlers) { p.Admission.Register(table) }

func (p *Proxy) currentSession() *wire.Session {
	version, _ := p.ConfigClient.Version()
	return &wire.Session{Proxy: p.options.Name, Incarnation: p.incarnation, Address: p.options.Address, Domain: p.options.Domain,
		Backends: p.LocalBackends.Backends(), Leaving: p.leaving.Load(), ConfigVersion: version, Release: release.Version}
}

func (p *Proxy) callLeaderOnce(kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error {
	name := p.options.Resolver.Leader("sorter")
	if name == "" {
		return apierror.Unreachable.New("no primary sorter is known")
	}
	return p.options.Resolver.Call(name, kind, message, reply, timeout)
}

func (p *Proxy) callProxy(name string, kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error {
	return p.options.Host.Call(p.Session.Directory().Addresses[name], kind, message, reply, timeout)
}

// Ready tells whether this carrier may be sent callers, and if not why.
func (p *Proxy) Ready() (ready bool, reason string) {
	if p.draining.Load() {
		return false, "draining"
	}
	snapshot, live := p.ConfigClient.Current()
	if snapshot == nil {
		return false, "no desired state adopted from a live primary yet"
	}
	if !live {
		return false, "the tenure to serve by the desired state has ended"
	}
	if !p.Session.Registered() && !(p.options.ServeOn && p.Session.HasDirectory()) {
		return false, "no sorter has heard this carrier lately"
	}
	return true, ""
}

// LeaderClock is a moment of holder time that has certainly passed.
func (p *Proxy) LeaderClock() *wire.LeaderTimestamp { return p.Session.LeaderClock() }

// Now reads this carrier's clock.
func (p *Proxy) Now() monotonic.Micros { return p.options.Host.Now() }

// Incarnation names this life.
func (p *Proxy) Incarnation() uint64 { return p.incarnation }

// DrainGrace is how long a planned stop may take unless it's set otherwise: half a second less than the least that platforms
// wait between their warning and the kill.
const DrainGrace = 2500 * monotonic.Millisecond

// The parts of a drain: others are told at once, and are given propagationTime to stop choosing this carrier.
const propagationTime = 1500 * monotonic.Millisecond

// lingerPropagationTime is that of a carrier that lingered: its callers are gone, and who hasn't heard yet is only moved on.
const lingerPropagationTime = 300 * monotonic.Millisecond

// finalReplyTime is the end of the grace, in which whatever is still under way is given up and told so.
const finalReplyTime = 300 * monotonic.Millisecond

// Drain stops taking callers' requests, answers everything that was read, and drains the lane. It ends within grace. While it
// lingers only the platform hears of it; others go on choosing the backends beside it, which are as good as before.
// shut closes the callers' door, once they have had time to go elsewhere; what was read before, refusals too, is
// answered after it.
func (p *Proxy) Drain(grace monotonic.Micros, closeListener func()) bool {
	h := p.options.Host
	deadline := h.Now() + grace
	replyDeadline := deadline - min(grace/5, finalReplyTime)
	h.Report(eventlog.ProcessDraining, map[string]any{"running": p.Forwarder.InFlight() + p.Admission.Running()})
	p.draining.Store(true)
	propagation := propagationTime
	if linger := min(p.options.Linger, replyDeadline-h.Now()); linger > 0 {
		h.Sleep(linger)
		propagation = lingerPropagationTime
	}
	p.leaving.Store(true)
	p.Session.PollNow()
	announcedAt := h.Now()
	p.Forwarder.StopAccepting()
	p.Forwarder.Drain(replyDeadline - h.Now())
	h.Sleep(min(propagation-(h.Now()-announcedAt), replyDeadline-h.Now()-finalReplyTime))
	p.Admission.StopAccepting()
	closeListener()
	complete := p.Admission.Drain(replyDeadline - h.Now())
	complete = p.Forwarder.Drain(replyDeadline-h.Now()) && complete
	// Whoever still waits is told now what is known, while this process can still tell it.
	p.Forwarder.Abort()
	p.Admission.Abort()
	answered := p.Forwarder.Drain(deadline - h.Now())
	answered = p.Admission.Drain(deadline-h.Now()) && answered
	p.ConfigClient.Release(min(max(deadline-h.Now(), 50*monotonic.Millisecond), 300*monotonic.Millisecond))
	p.Breaker.Close(min(max(deadline-h.Now(), 0), monotonic.Second))
	h.Report(eventlog.ProcessDrained, map[string]any{"answered": answered, "whole": complete})
	return answered
}

// Status is what operators are shown of a carrier.
type Status struct {
	Name             string                        `json:"name"`
	Domain           string                        `json:"domain"`
	Incarnation      uint64                        `json:"incarnation"`
	Ready            bool                          `json:"ready"`
	Reason           string                        `json:"why,omitempty"`
	ConfigVersion    uint64                        `json:"desired_serial"`
	ConfigDigest     string                        `json:"desired_check,omitempty"` // digest of the resources in force
	ConfigAgeMicros  int64                         `json:"desired_age_micros"`      // since it was taken up
	ConfigUpdates    configclient.Stats            `json:"desired_taken"`
	Running          int64                         `json:"requests_running"`
	AdmittedRunning  int64                         `json:"passes_running"`
	Backends         []*wire.Backend               `json:"backends"`
	BackendHealth    []localbackends.BackendHealth `json:"standings"` // how they do, as their gate sees it
	Breakers         []breaker.Status              `json:"guards"`
	BreakersDegraded bool                          `json:"guards_degraded"` // it goes by its own windows
	Members          int                           `json:"members_seen"`
	DirectoryUpdates session.UpdateCounts          `json:"directory_taken"`
}

// Status tells how this carrier stands.
func (p *Proxy) Status() Status {
	status := Status{Name: p.options.Name, Domain: p.options.Domain, Incarnation: p.incarnation, Running: p.Forwarder.InFlight(),
		AdmittedRunning: p.Admission.Running(), Backends: p.LocalBackends.Backends(), BackendHealth: p.LocalBackends.Health(), Breakers: p.Breaker.Statuses(), BreakersDegraded: p.Breaker.Degraded(), Members: p.Session.Directory().Live}
	status.Ready, status.Reason = p.Ready()
	version, age, digest := p.ConfigClient.Adopted()
	status.ConfigVersion, status.ConfigAgeMicros, status.ConfigDigest, status.ConfigUpdates, status.DirectoryUpdates = version, int64(age), digest, p.ConfigClient.Stats(), p.Session.UpdateCounts()
	return status
}
