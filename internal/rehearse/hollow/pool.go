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
	Proxies        int
	Services       int
	CalledServices int      // number of services that each proxy calls, according to its polls
	Zones          []string // failure domains, to which proxies are assigned in turn
	Seeds          []string // addresses of control plane processes, for discovery
}

// ServiceName returns the name of the service with the given index.
func ServiceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// Pool holds the proxies of this process, numbered from 0. Each proxy has one backend, of the service whose index is the proxy's modulo
// Options.Services. It is the same service in all incarnations of the proxy.
type Pool struct {
	options     Options
	lock        sync.Mutex                         // guards members and endedCounts
	members     []*member                          // replaced, never modified in place, as currentMembers returns it
	endedCounts map[wire.Kind]machine.MessageCount // messages of ended incarnations
}

// member is one proxy of a pool, in its current incarnation.
type member struct {
	incarnation *incarnation
	name        string
	proxy       *proxy.Proxy
	resolver    *discovery.Resolver
}

// NewPool returns a pool whose proxies have not been started.
func NewPool(options Options) *Pool {
	return &Pool{options: options, endedCounts: map[wire.Kind]machine.MessageCount{}}
}

// StartAll starts all proxies and waits for interval after each start; 0 starts them all at once. It must not be called while proxies
// are running.
func (p *Pool) StartAll(interval time.Duration) error {
	for index := range p.options.Proxies {
		proxyMember, err := p.start(index)
		if err != nil {
			return err
		}
		p.lock.Lock()
		p.members = append(slices.Clip(p.members), proxyMember)
		p.lock.Unlock()
		time.Sleep(interval)
	}
	return nil
}

// StopAll ends all proxies at once without a graceful shutdown.
func (p *Pool) StopAll() {
	for _, proxyMember := range p.currentMembers() {
		proxyMember.incarnation.end()
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

// start starts a new incarnation of the proxy with the given index, and registers its backend.
func (p *Pool) start(index int) (*member, error) {
	incarnationHost := newIncarnation()
	name := fmt.Sprintf("hollow-%05d", index)
	// No requests are forwarded to these proxies, so nothing listens on the address. It only has to be unique.
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
			// This does not fail, as the backend stays registered while its proxy runs.
			_ = hollowProxy.LocalBackends.Heartbeat(instance, localbackends.Working)
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

// CalledServices lists the indexes of the services that a proxy calls. Each proxy's services follow those of the proxy before it, so
// that calls are spread evenly over all services.
func (p *Pool) CalledServices(index int) (services []int) {
	for offset := range min(p.options.CalledServices, p.options.Services) {
		services = append(services, (index*p.options.CalledServices+offset)%p.options.Services)
	}
	return services
}

// ReadyCount returns the number of proxies that are ready to accept callers' requests.
func (p *Pool) ReadyCount() (count int) {
	for _, proxyMember := range p.currentMembers() {
		if ready, _ := proxyMember.proxy.Ready(); ready {
			count++
		}
	}
	return count
}

// CompleteDirectoryCount returns the number of proxies whose directory contains all proxies.
func (p *Pool) CompleteDirectoryCount() (count int) {
	for _, proxyMember := range p.currentMembers() {
		if proxyMember.proxy.Session.Directory().Live == p.options.Proxies {
			count++
		}
	}
	return count
}

// LastAdoption returns the latest time at which a proxy adopted a version, and the number of proxies that have not adopted it.
func (p *Pool) LastAdoption(version uint64) (last time.Time, missing int) {
	for _, proxyMember := range p.currentMembers() {
		at, known := proxyMember.incarnation.adoptedAt(version)
		if !known {
			missing++
		} else if at.After(last) {
			last = at
		}
	}
	return last, missing
}

// MessageCounts returns the messages that all incarnations of all proxies have sent and received, by message kind.
func (p *Pool) MessageCounts() map[wire.Kind]machine.MessageCount {
	p.lock.Lock()
	defer p.lock.Unlock()
	totals := maps.Clone(p.endedCounts)
	for _, proxyMember := range p.members {
		addCounts(totals, proxyMember.incarnation.MessageCounts())
	}
	return totals
}

// Claim claims an idempotency key at the registry's primary on behalf of a proxy, as each proxy does before it forwards a request to its
// backend.
func (p *Pool) Claim(index int, scope string, timeout monotonic.Micros) (granted bool, err error) {
	proxyMember := p.currentMembers()[index]
	response := &wire.ClaimResponse{}
	request := &wire.ClaimRequest{Scope: scope, Digest: make([]byte, 32), Attempt: scope + "/1", Proxy: proxyMember.name, Incarnation: proxyMember.proxy.Incarnation(), ReadAt: proxyMember.proxy.LeaderClock()}
	err = proxyMember.proxy.Session.CallLeader(wire.Kind_claim, request, response, timeout)
	return response.Outcome == "granted", err
}

// TripBreaker sends a trip report for a service on behalf of a proxy, so that the registry creates a shared record of its breaker.
func (p *Pool) TripBreaker(index, service int) error {
	proxyMember := p.currentMembers()[index]
	request := &wire.BreakerWriteRequest{Service: ServiceName(service), Verb: "trip", Proxy: proxyMember.name, Incarnation: proxyMember.proxy.Incarnation(), Settings: config.DefaultService(ServiceName(service)).BreakerSettings()}
	return proxyMember.proxy.Session.CallLeader(wire.Kind_breaker_write, request, &wire.BreakerWriteResponse{}, 5*monotonic.Second)
}

// BreakerCount returns the number of breaker records that a proxy has received.
func (p *Pool) BreakerCount(index int) int {
	return len(p.currentMembers()[index].proxy.Breakers.Statuses())
}

// Restart ends a proxy without a graceful shutdown and immediately starts its next incarnation.
func (p *Pool) Restart(index int) error {
	previous := p.currentMembers()[index]
	previous.incarnation.end()
	counts := previous.incarnation.MessageCounts()
	next, err := p.start(index)
	if err != nil {
		return err
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members = slices.Clone(p.members)
	p.members[index] = next
	addCounts(p.endedCounts, counts)
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
