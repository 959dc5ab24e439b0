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

// Options are a crowd's.
type Options struct {
	Proxies  int
	Services int
	Calls    int // services that each carrier tells to have called since its last poll
	Zones    []string
	Seeds    []string
}

// ServiceName is a service's name by its index.
func ServiceName(index int) string { return fmt.Sprintf("service-%04d", index) }

// Pool is all carriers of the process.
// Invariant: the carrier of an index has one backend, of the service index modulo Services, in every life.
type Pool struct {
	options     Options
	lock        sync.Mutex
	members     []*member
	endedCounts map[wire.Kind]machine.MessageCount // of lives that ended
}

type member struct {
	incarnation *incarnation
	name        string
	proxy       *proxy.Proxy
	resolver    *discovery.Resolver
}

// NewPool makes a crowd that isn't there yet.
func NewPool(options Options) *Pool {
	return &Pool{options: options, endedCounts: map[wire.Kind]machine.MessageCount{}}
}

// StartAll starts every carrier anew, each so long after the one before; all at once for zero.
func (p *Pool) StartAll(apart time.Duration) error {
	for index := range p.options.Proxies {
		current, err := p.start(index)
		if err != nil {
			return err
		}
		p.lock.Lock()
		p.members = append(slices.Clip(p.members), current)
		p.lock.Unlock()
		time.Sleep(apart)
	}
	return nil
}

// StopAll ends every carrier at once without a word.
func (p *Pool) StopAll() {
	for _, current := range p.currentMembers() {
		current.incarnation.end()
	}
	totals := p.MessageCounts()
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members, p.endedCounts = nil, totals
}

func (p *Pool) currentMembers() []*member {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.members
}

func (p *Pool) start(index int) (*member, error) {
	incarnationHost := newIncarnation()
	name := fmt.Sprintf("hollow-%05d", index)
	// Nobody passes a request to a hollow carrier, so nothing listens at its address; it only has to be its own.
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
			_ = hollowProxy.LocalBackends.Heartbeat(instance, localbackends.Working) // it's registered for as long as its carrier lives
		}
	})
	hollowProxy.Start()
	return &member{incarnation: incarnationHost, name: name, proxy: hollowProxy, resolver: resolver}, nil
}

// activity tells of one call to each service of this carrier's part; neighbours' parts overlap, so each service has several callers.
func (p *Pool) activity(index int) (called []*wire.Activity) {
	for _, service := range p.CalledServices(index) {
		called = append(called, &wire.Activity{Service: ServiceName(service), Calls: 1, Attempts: 1})
	}
	return called
}

// CalledServices lists the services that a carrier calls.
func (p *Pool) CalledServices(index int) (services []int) {
	for offset := range min(p.options.Calls, p.options.Services) {
		services = append(services, (index*p.options.Calls+offset)%p.options.Services)
	}
	return services
}

// ReadyCount counts the carriers that could be sent callers.
func (p *Pool) ReadyCount() (count int) {
	for _, current := range p.currentMembers() {
		if ready, _ := current.proxy.Ready(); ready {
			count++
		}
	}
	return count
}

// CompleteCount counts the carriers that see every other one.
func (p *Pool) CompleteCount() (count int) {
	for _, current := range p.currentMembers() {
		if current.proxy.Session.Directory().Live == p.options.Proxies {
			count++
		}
	}
	return count
}

// LastAdoption tells when the last carrier adopted a serial, or how many haven't.
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

// MessageCounts tells what all carriers have exchanged by kind, in all their lives.
func (p *Pool) MessageCounts() map[wire.Kind]machine.MessageCount {
	p.lock.Lock()
	defer p.lock.Unlock()
	totals := maps.Clone(p.endedCounts)
	for _, current := range p.members {
		addCounts(totals, current.incarnation.MessageCounts())
	}
	return totals
}

// Claim has a carrier claim a key, as for a request that it's about to hand to its backend.
func (p *Pool) Claim(index int, scope string, timeout monotonic.Micros) (granted bool, err error) {
	current := p.currentMembers()[index]
	response := &wire.ClaimResponse{}
	request := &wire.ClaimRequest{Scope: scope, Digest: make([]byte, 32), Attempt: scope + "/1", Proxy: current.name, Incarnation: current.proxy.Incarnation(), ReadAt: current.proxy.LeaderClock()}
	err = current.proxy.Session.CallLeader(wire.Kind_claim, request, response, timeout)
	return response.Outcome == "granted", err
}

// TripBreaker has a carrier report trouble with a service, after which the service's guard has a shared record.
func (p *Pool) TripBreaker(index, service int) error {
	current := p.currentMembers()[index]
	request := &wire.BreakerWriteRequest{Service: ServiceName(service), Verb: "trip", Proxy: current.name, Incarnation: current.proxy.Incarnation(), Settings: config.DefaultService(ServiceName(service)).BreakerTerms()}
	return current.proxy.Session.CallLeader(wire.Kind_breaker_write, request, &wire.BreakerWriteResponse{}, 5*monotonic.Second)
}

// BreakerCount counts the guards' records that a carrier was told of.
func (p *Pool) BreakerCount(index int) int {
	return len(p.currentMembers()[index].proxy.Breakers.Statuses())
}

// Restart ends one carrier without a word and starts it anew at once.
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

func addCounts(totals, more map[wire.Kind]machine.MessageCount) {
	for kind, count := range more {
		total := totals[kind]
		total.Sent, total.SentBytes = total.Sent+count.Sent, total.SentBytes+count.SentBytes
		total.Received, total.ReceivedBytes = total.Received+count.Received, total.ReceivedBytes+count.ReceivedBytes
		totals[kind] = total
	}
}
