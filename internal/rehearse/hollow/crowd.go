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
	Carriers int
	Services int
	Calls    int // services that each carrier tells to have called since its last poll
	Zones    []string
	Seeds    []string
}

// Service is a service's name by its index.
func Service(index int) string { return fmt.Sprintf("service-%04d", index) }

// Crowd is all carriers of the process.
// Invariant: the carrier of an index has one backend, of the service index modulo Services, in every life.
type Crowd struct {
	settings Settings
	lock     sync.Mutex
	members  []*member
	past     map[wire.Kind]machine.MessageCount // of lives that ended
}

type member struct {
	life    *life
	name    string
	carrier *proxy.Proxy
	book    *discovery.Resolver
}

// NewCrowd makes a crowd that isn't there yet.
func NewCrowd(settings Settings) *Crowd {
	return &Crowd{settings: settings, past: map[wire.Kind]machine.MessageCount{}}
}

// Arrive starts every carrier anew, each so long after the one before; all at once for zero.
func (crowd *Crowd) Arrive(apart time.Duration) error {
	for index := range crowd.settings.Carriers {
		present, err := crowd.start(index)
		if err != nil {
			return err
		}
		crowd.lock.Lock()
		crowd.members = append(slices.Clip(crowd.members), present)
		crowd.lock.Unlock()
		time.Sleep(apart)
	}
	return nil
}

// Leave ends every carrier at once without a word.
func (crowd *Crowd) Leave() {
	for _, present := range crowd.present() {
		present.life.end()
	}
	totals := crowd.Kinds()
	crowd.lock.Lock()
	defer crowd.lock.Unlock()
	crowd.members, crowd.past = nil, totals
}

func (crowd *Crowd) present() []*member {
	crowd.lock.Lock()
	defer crowd.lock.Unlock()
	return crowd.members
}

func (crowd *Crowd) start(index int) (*member, error) {
	place := newLife()
	name := fmt.Sprintf("hollow-%05d", index)
	// Nobody passes a request to a hollow carrier, so nothing listens at its address; it only has to be its own.
	address := fmt.Sprintf("10.%d.%d.%d:7300", index>>16, index>>8&255, index&255)
	book := discovery.New(place, nil, crowd.settings.Seeds)
	made := proxy.New(proxy.Options{Host: place, Resolver: book, Name: name, Domain: crowd.settings.Zones[index%len(crowd.settings.Zones)], Address: address})
	made.Session.Activity = func() []*wire.Activity { return crowd.activity(index) }
	instance := fmt.Sprintf("%016x", place.Random())
	err := made.LocalBackends.Register(localbackends.Backend{Service: Service(index % crowd.settings.Services), Instance: instance, Address: address}, localbackends.Working)
	if err != nil {
		return nil, err
	}
	place.Go(func() { book.Run(monotonic.Second) })
	place.Go(func() {
		for {
			place.Sleep(localbackends.HeartbeatInterval)
			_ = made.LocalBackends.Heartbeat(instance, localbackends.Working) // it's registered for as long as its carrier lives
		}
	})
	made.Start()
	return &member{life: place, name: name, carrier: made, book: book}, nil
}

// activity tells of one call to each service of this carrier's part; neighbours' parts overlap, so each service has several callers.
func (crowd *Crowd) activity(index int) (told []*wire.Activity) {
	for _, service := range crowd.Called(index) {
		told = append(told, &wire.Activity{Service: Service(service), Calls: 1, Attempts: 1})
	}
	return told
}

// Called lists the services that a carrier calls.
func (crowd *Crowd) Called(index int) (services []int) {
	for turn := range min(crowd.settings.Calls, crowd.settings.Services) {
		services = append(services, (index*crowd.settings.Calls+turn)%crowd.settings.Services)
	}
	return services
}

// Ready counts the carriers that could be sent callers.
func (crowd *Crowd) Ready() (count int) {
	for _, present := range crowd.present() {
		if ready, _ := present.carrier.Ready(); ready {
			count++
		}
	}
	return count
}

// Whole counts the carriers that see every other one.
func (crowd *Crowd) Whole() (count int) {
	for _, present := range crowd.present() {
		if present.carrier.Session.Directory().Live == crowd.settings.Carriers {
			count++
		}
	}
	return count
}

// Adopted tells when the last carrier adopted a serial, or how many haven't.
func (crowd *Crowd) Adopted(serial uint64) (last time.Time, missing int) {
	for _, present := range crowd.present() {
		at, known := present.life.when(serial)
		if !known {
			missing++
		} else if at.After(last) {
			last = at
		}
	}
	return last, missing
}

// MessageCounts tells what all carriers have exchanged by kind, in all their lives.
func (crowd *Crowd) Kinds() map[wire.Kind]machine.MessageCount {
	crowd.lock.Lock()
	defer crowd.lock.Unlock()
	totals := maps.Clone(crowd.past)
	for _, present := range crowd.members {
		add(totals, present.life.MessageCounts())
	}
	return totals
}

// Claim has a carrier claim a key, as for a request that it's about to hand to its backend.
func (crowd *Crowd) Claim(index int, scope string, patience monotonic.Micros) (granted bool, err error) {
	present := crowd.present()[index]
	tell := &wire.ClaimResponse{}
	ask := &wire.ClaimRequest{Scope: scope, Digest: make([]byte, 32), Attempt: scope + "/1", Proxy: present.name, Incarnation: present.carrier.Incarnation(), ReadAt: present.carrier.LeaderClock()}
	err = present.carrier.Session.CallPrimary(wire.Kind_claim, ask, tell, patience)
	return tell.Outcome == "granted", err
}

// Trip has a carrier report trouble with a service, after which the service's guard has a shared record.
func (crowd *Crowd) Trip(index, service int) error {
	present := crowd.present()[index]
	ask := &wire.BreakerWriteRequest{Service: Service(service), Verb: "trip", Proxy: present.name, Incarnation: present.carrier.Incarnation(), Settings: config.DefaultService(Service(service)).BreakerTerms()}
	return present.carrier.Session.CallPrimary(wire.Kind_breaker_write, ask, &wire.BreakerWriteResponse{}, 5*monotonic.Second)
}

// Guarded counts the guards' records that a carrier was told of.
func (crowd *Crowd) Guarded(index int) int {
	return len(crowd.present()[index].carrier.Breaker.Statuses())
}

// Restart ends one carrier without a word and starts it anew at once.
func (crowd *Crowd) Restart(index int) error {
	old := crowd.present()[index]
	old.life.end()
	totals := old.life.MessageCounts()
	fresh, err := crowd.start(index)
	if err != nil {
		return err
	}
	crowd.lock.Lock()
	defer crowd.lock.Unlock()
	crowd.members = slices.Clone(crowd.members)
	crowd.members[index] = fresh
	add(crowd.past, totals)
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
