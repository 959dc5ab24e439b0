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

// Settings are a crowd's.
type Settings struct {
	Proxies  int
	Services int
	Calls    int // services that each carrier tells to have called since its last poll
	Zones    []string
	Seeds    []string
}

// Service is a service's name by its index.
func Service(index int) string { return fmt.Sprintf("service-%04d", index) }

// Pool is all carriers of the process.
// Invariant: the carrier of an index has one backend, of the service index modulo Services, in every life.
type Pool struct {
	settings Settings
	lock     sync.Mutex
	members  []*member
	past     map[wire.Kind]machine.MessageCount // of lives that ended
}

type member struct {
	incarnation *incarnation
	name        string
	proxy       *proxy.Proxy
	resolver    *discovery.Resolver
}

// NewPool makes a crowd that isn't there yet.
func NewPool(settings Settings) *Pool {
	return &Pool{settings: settings, past: map[wire.Kind]machine.MessageCount{}}
}

// Arrive starts every carrier anew, each so long after the one before; all at once for zero.
func (p *Pool) Arrive(apart time.Duration) error {
	for index := range p.settings.Proxies {
		present, err := p.start(index)
		if err != nil {
			return err
		}
		p.lock.Lock()
		p.members = append(slices.Clip(p.members), present)
		p.lock.Unlock()
		time.Sleep(apart)
	}
	return nil
}

// Leave ends every carrier at once without a word.
func (p *Pool) Leave() {
	for _, present := range p.present() {
		present.incarnation.end()
	}
	totals := p.Kinds()
	p.lock.Lock()
	defer p.lock.Unlock()
	p.members, p.past = nil, totals
}

func (p *Pool) present() []*member {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.members
}

func (p *Pool) start(index int) (*member, error) {
	host := newIncarnation()
	name := fmt.Sprintf("hollow-%05d", index)
	// Nobody passes a request to a hollow carrier, so nothing listens at its address; it only has to be its own.
	address := fmt.Sprintf("10.%d.%d.%d:7300", index>>16, index>>8&255, index&255)
	resolver := discovery.New(host, nil, p.settings.Seeds)
	made := proxy.New(proxy.Options{Host: host, Resolver: resolver, Name: name, Domain: p.settings.Zones[index%len(p.settings.Zones)], Address: address})
	made.Session.Activity = func() []*wire.Activity { return p.activity(index) }
	instance := fmt.Sprintf("%016x", host.Random())
	err := made.LocalBackends.Register(localbackends.Backend{Service: Service(index % p.settings.Services), Instance: instance, Address: address}, localbackends.Working)
	if err != nil {
		return nil, err
	}
	host.Go(func() { resolver.Run(monotonic.Second) })
	host.Go(func() {
		for {
			host.Sleep(localbackends.HeartbeatInterval)
			_ = made.LocalBackends.Heartbeat(instance, localbackends.Working) // it's registered for as long as its carrier lives
		}
	})
	made.Start()
	return &member{incarnation: host, name: name, proxy: made, resolver: resolver}, nil
}

// activity tells of one call to each service of this carrier's part; neighbours' parts overlap, so each service has several callers.
func (p *Pool) activity(index int) (called []*wire.Activity) {
	for _, service := range p.Called(index) {
		called = append(called, &wire.Activity{Service: Service(service), Calls: 1, Attempts: 1})
	}
	return called
}

// Called lists the services that a carrier calls.
func (p *Pool) Called(index int) (services []int) {
	for turn := range min(p.settings.Calls, p.settings.Services) {
		services = append(services, (index*p.settings.Calls+turn)%p.settings.Services)
	}
	return services
}

// Ready counts the carriers that could be sent callers.
func (p *Pool) Ready() (count int) {
	for _, present := range p.present() {
		if ready, _ := present.proxy.Ready(); ready {
			count++
		}
	}
	return count
}

// Complete counts the carriers that see every other one.
func (p *Pool) Complete() (count int) {
	for _, present := range p.present() {
		if present.proxy.Session.Directory().Live == p.settings.Proxies {
			count++
		}
	}
	return count
}

// Adopted tells when the last carrier adopted a serial, or how many haven't.
func (p *Pool) Adopted(version uint64) (last time.Time, missing int) {
	for _, present := range p.present() {
		at, known := present.incarnation.adoptedAt(version)
		if !known {
			missing++
		} else if at.After(last) {
			last = at
		}
	}
	return last, missing
}

// Kinds gives what all carriers have exchanged by kind, in all their incarnations.
func (p *Pool) Kinds() map[wire.Kind]machine.MessageCount {
	p.lock.Lock()
	defer p.lock.Unlock()
	totals := maps.Clone(p.past)
	for _, present := range p.members {
		add(totals, present.incarnation.MessageCounts())
	}
	return totals
}

// Claim has a carrier claim a key, as for a request that it's about to hand to its backend.
func (p *Pool) Claim(index int, scope string, timeout monotonic.Micros) (granted bool, err error) {
	present := p.present()[index]
	response := &wire.ClaimResponse{}
	request := &wire.ClaimRequest{Scope: scope, Digest: make([]byte, 32), Attempt: scope + "/1", Proxy: present.name, Incarnation: present.proxy.Incarnation(), ReadAt: present.proxy.LeaderClock()}
	err = present.proxy.Session.CallLeader(wire.Kind_claim, request, response, timeout)
	return response.Outcome == "granted", err
}

// Trip has a carrier report trouble with a service, after which the service's guard has a shared record.
func (p *Pool) Trip(index, service int) error {
	present := p.present()[index]
	request := &wire.BreakerWriteRequest{Service: Service(service), Verb: "trip", Proxy: present.name, Incarnation: present.proxy.Incarnation(), Settings: config.DefaultService(Service(service)).BreakerTerms()}
	return present.proxy.Session.CallLeader(wire.Kind_breaker_write, request, &wire.BreakerWriteResponse{}, 5*monotonic.Second)
}

// Guarded counts the guards' records that a carrier was told of.
func (p *Pool) Guarded(index int) int {
	return len(p.present()[index].proxy.Breakers.Statuses())
}

// Restart ends one carrier without a word and starts it anew at once.
func (p *Pool) Restart(index int) error {
	old := p.present()[index]
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
	add(p.past, totals)
	return nil
}

func add(totals, more map[wire.Kind]machine.MessageCount) {
	for kind, counted := range more {
		total := totals[kind]
		total.Sent, total.SentBytes = total.Sent+counted.Sent, total.SentBytes+counted.SentBytes
		total.Received, total.ReceivedBytes = total.Received+counted.Received, total.ReceivedBytes+counted.ReceivedBytes
		totals[kind] = total
	}
}
