package hollow

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"snowflow/internal/config"
	"snowflow/internal/discovery"
	"snowflow/internal/host/machine"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/transport/wire"
)

// Options configures a pool.
type Options struct {
	Proxies  int
	Services int
	CalledServices    int      // number of services that each proxy reports as called with each poll
	Zones    []string // failure domains, which proxies are in by turns
	Seeds    []string // addresses of control plane processes, for discovery
}

// ServiceName returns the name of the service with an index.
func ServiceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// Pool holds all proxies of this process.
// Invariant: the proxy of an index has one backend, of the service with that index modulo Services, in each incarnation.
type Pool struct {
	options     Options
	lock        sync.Mutex                         // guards members and endedCounts
	members     []*member                          // replaced, never written to, as currentMembers hands it out
	endedCounts map[wire.Kind]machine.MessageCount // messages of incarnations that have ended
}

// member is one proxy of a pool in its present incarnation.
type member struct {
	incarnation *incarnation
	name        string
	proxy       *proxy.Proxy
	resolver    *discovery.Resolver
}

// NewPool returns a pool whose proxies have not started.
func NewPool(options Options) *Pool {
	return &Pool{options: options, endedCounts: map[wire.Kind]machine.MessageCount{}}
}

// StartAll starts all proxies, interval apart; an interval of 0 starts them all at once. It must not be called while they run.
func (p *Pool) StartAll(interval time.Duration) error {
	for index := range p.options.Proxies {
		current, err := p.start(index)
		if err != nil {
			return err
		}
		p.lock.Lock()
		p.members = append(slices.Clip(p.members), current)
		p.lock.Unlock()
		time.Sleep(interval)
	}
	return nil
}

// StopAll ends all proxies at once without a graceful shutdown.
func (p *Pool) StopAll() {
	for _, current := range p.currentMembers() {
		current.incarnation.end()
	}
	totals := p.MessageCounts()
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members, p.endedCounts = nil, totals
}

// currentMembers returns a snapshot of the members, which the caller must not change.
func (p *Pool) currentMembers() []*member {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.members
}

// start starts a new incarnation of the proxy with an index, and registers its backend.
func (p *Pool) start(index int) (*member, error) {
	incarnationHost := newIncarnation()
	name := fmt.Sprintf("hollow-%05d", index)
	// No requests are forwarded to these proxies, so nothing listens at the address. It only has to be unique.
	address := fmt.Sprintf("10.%d.%d.%d:7300", index>>16, index>>8&255, index&255)
	resolver := discovery.New(incarnationHost, nil, p.options.Seeds)
	hollowProxy := proxy.New(proxy.Options{Host: incarnationHost, Resolver: resolver, Name: name, Domain: p.options.Zones[index%len(p.options.Zones)], Address: address})
	hollowProxy.Session.Activity = func() []*wire.Activity { return p.activity(index) }
	instance := fmt.Sprintf("%016x", incarnationHost.Random())
	err := hollowProxy.LocalBackends.Register(localbackends.Backend{Service: ServiceName(index % p.options.Services), Instance: instance, Address: address}, localbackends.Working)
	if err != nil {
		return nil, err
	}
	incarnationHost.Go(func() { resolver.Run(monotonic.Second) })
	incarnationHost.Go(func() {
		for {
			incarnationHost.Sleep(localbackends.HeartbeatInterval)
			_ = hollowProxy.LocalBackends.Heartbeat(instance, localbackends.Working) // can't fail, as the backend stays registered as long as its proxy runs
		}
	})
	hollowProxy.Start()
	return &member{incarnation: incarnationHost, name: name, proxy: hollowProxy, resolver: resolver}, nil
}

// activity reports one call to each of the services that a proxy calls.
func (p *Pool) activity(index int) (called []*wire.Activity) {
	for _, service := range p.CalledServices(index) {
		called = append(called, &wire.Activity{Service: ServiceName(service), Calls: 1, Attempts: 1})
	}
	return called
}

// CalledServices lists the indexes of the services that a proxy calls. Consecutive proxies call consecutive services, so that calls
// spread evenly.
func (p *Pool) CalledServices(index int) (services []int) {
	for offset := range min(p.options.CalledServices, p.options.Services) {
		services = append(services, (index*p.options.CalledServices+offset)%p.options.Services)
	}
	return services
}

// ReadyCount returns the number of proxies that are ready for callers' requests.
func (p *Pool) ReadyCount() (count int) {
	for _, current := range p.currentMembers() {
		if ready, _ := current.proxy.Ready(); ready {
			count++
		}
	}
	return count
}

// CompleteDirectoryCount returns the number of proxies whose directory has every other proxy.
func (p *Pool) CompleteDirectoryCount() (count int) {
	for _, current := range p.currentMembers() {
		if current.proxy.Session.Directory().Live == p.options.Proxies {
			count++
		}
	}
	return count
}

// LastAdoption returns when the last proxy adopted a version, and how many have not adopted it.
func (p *Pool) LastAdoption(version uint64) (last time.Time, missing int) {
	for _, current := range p.currentMembers() {
		at, known := current.incarnation.adoptedAt(version)
		if !known {
			missing++
		} else if at.After(last) {
			last = at
		}
	}
	return last, missing
}

// MessageCounts returns what all proxies have sent and received by message kind, over all their incarnations.
func (p *Pool) MessageCounts() map[wire.Kind]machine.MessageCount {
	p.lock.Lock()
	defer p.lock.Unlock()
	totals := maps.Clone(p.endedCounts)
	for _, current := range p.members {
		addCounts(totals, current.incarnation.MessageCounts())
	}
	return totals
}

// Claim claims an idempotency key at the registry's leader, as a proxy does before it forwards a request to its backend.
func (p *Pool) Claim(index int, scope string, timeout monotonic.Micros) (granted bool, err error) {
	current := p.currentMembers()[index]
	response := &wire.ClaimResponse{}
	request := &wire.ClaimRequest{Scope: scope, Digest: make([]byte, 32), Attempt: scope + "/1", Proxy: current.name, Incarnation: current.proxy.Incarnation(), ReadAt: current.proxy.LeaderClock()}
	err = current.proxy.Session.CallLeader(wire.Kind_claim, request, response, timeout)
	return response.Outcome == "granted", err
}

// TripBreaker reports a fault of a service on behalf of a proxy, after which the service's breaker has a shared record.
func (p *Pool) TripBreaker(index, service int) error {
	current := p.currentMembers()[index]
	request := &wire.BreakerWriteRequest{Service: ServiceName(service), Verb: "trip", Proxy: current.name, Incarnation: current.proxy.Incarnation(), Settings: config.DefaultService(ServiceName(service)).BreakerSettings()}
	return current.proxy.Session.CallLeader(wire.Kind_breaker_write, request, &wire.BreakerWriteResponse{}, 5*monotonic.Second)
}

// BreakerCount returns the number of breaker records that a proxy has received.
func (p *Pool) BreakerCount(index int) int {
	return len(p.currentMembers()[index].proxy.Breakers.Statuses())
}

// Restart ends one proxy without a graceful shutdown and starts its next incarnation at once.
func (p *Pool) Restart(index int) error {
	old := p.currentMembers()[index]
	old.incarnation.end()
	totals := old.incarnation.MessageCounts()
	fresh, err := p.start(index)
	if err != nil {
		return err
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members = slices.Clone(p.members)
	p.members[index] = fresh
	addCounts(p.endedCounts, totals)
	return nil
}

// addCounts adds the counts of more to totals.
func addCounts(totals, more map[wire.Kind]machine.MessageCount) {
	for kind, count := range more {
		total := totals[kind]
		total.Sent, total.SentBytes = total.Sent+count.Sent, total.SentBytes+count.SentBytes
		total.Received, total.ReceivedBytes = total.Received+count.Received, total.ReceivedBytes+count.ReceivedBytes
		totals[kind] = total
	}
}
