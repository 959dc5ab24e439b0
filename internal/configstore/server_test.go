package configstore_test

import (
	"fmt"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const stores = 3

// cluster is a simulated group of configuration stores, and a process outside it that applies and polls.
type cluster struct {
	t        *testing.T
	world    *world.World
	outside  *world.Host
	resolver *discovery.Resolver
}

// newCluster starts a group, and waits until it has a primary that knows no proxy may hold a lease.
func newCluster(t *testing.T, timeouts configstore.Timeouts) *cluster {
	t.Helper()
	c := &cluster{t: t, world: world.New(1)}
	t.Cleanup(c.world.Close)
	var voters, addresses []string
	for index := range stores {
		voters = append(voters, fmt.Sprintf("store-%d", index+1))
		addresses = append(addresses, fmt.Sprintf("machine-%d:store", index+1))
	}
	for index, name := range voters {
		c.world.Start(c.world.Add(name, addresses[index], fmt.Sprintf("machine-%d", index+1), func(h *world.Host) (host.Handlers, error) {
			resolver := discovery.New(h, &wire.PeerAddress{Name: name, Address: h.Node().Address, Group: configstore.Group}, addresses)
			handlers := host.Handlers{}
			resolver.Register(handlers)
			h.Go(func() { resolver.Run(monotonic.Second) })
			server, err := configstore.Open(configstore.Options{Host: h, Resolver: resolver, Name: name, Voters: voters, Bootstrap: true, Timeouts: timeouts})
			if err != nil {
				return nil, err
			}
			server.Register(handlers)
			server.Start()
			return handlers, nil
		}))
	}
	c.world.Start(c.world.Add("outside", "outside", "outside", func(h *world.Host) (host.Handlers, error) {
		c.outside, c.resolver = h, discovery.New(h, nil, addresses)
		h.Go(func() { c.resolver.Run(300 * monotonic.Millisecond) })
		return host.Handlers{}, nil
	}))
	c.run(20 * monotonic.Second)
	return c
}

func (c *cluster) run(duration monotonic.Micros) { c.world.Run(c.world.Now() + duration) }

// application is an apply that may still run.
type application struct {
	response *wire.ConfigApplyResponse
	err      error
	done     bool
	took     monotonic.Micros
}

// apply starts to apply the next version.
func (c *cluster) apply() *application {
	a := &application{response: &wire.ConfigApplyResponse{}}
	c.outside.Go(func() {
		started := c.outside.Now()
		request := &wire.ConfigApplyRequest{AnyVersion: true, Content: fmt.Appendf(nil, `{"groups":[{"name":"g","services":[{"name":"a","paths":[{"method":"GET","prefix":"/%d","class":"read"}]}]}]}`, started)}
		a.err = c.resolver.Call(c.resolver.Leader(configstore.Group), wire.Kind_config_apply, request, a.response, 30*monotonic.Second)
		a.took, a.done = c.outside.Now()-started, true
	})
	return a
}

// poll sends a proxy's poll, and waits for the answer unless it's held open.
func (c *cluster) poll(request *wire.ConfigPollRequest) *wire.ConfigPollResponse {
	response := &wire.ConfigPollResponse{}
	c.outside.Go(func() {
		if err := c.resolver.Call(c.resolver.Leader(configstore.Group), wire.Kind_config_poll, request, response, 5*monotonic.Second); err != nil {
			c.t.Errorf("poll: %v", err)
		}
	})
	c.run(100 * monotonic.Millisecond)
	return response
}

// accepted fails the test unless an apply was accepted within the given times.
func (a *application) accepted(t *testing.T, least, most monotonic.Micros) {
	t.Helper()
	if !a.done || a.err != nil || a.response.Outcome != versions.Accepted || a.took < least || a.took > most {
		t.Fatalf("done %v after %d µs with %v, error %v; wanted acceptance after %d to %d µs", a.done, a.took, a.response, a.err, least, most)
	}
}

// TestAcknowledgement checks how long an apply waits for a proxy that has polled, depending on what the proxy does meanwhile.
func TestAcknowledgement(t *testing.T) {
	first := &wire.ConfigPollRequest{Proxy: "p", Incarnation: 1, First: true}
	leased, stale := configstore.Timeouts{}, configstore.Timeouts{ServeStale: true}
	defaults := configstore.DefaultTimeouts
	soon := monotonic.Second
	for _, test := range []struct {
		name     string
		timeouts configstore.Timeouts
		// meanwhile is what the proxy sends during the apply, nil for nothing.
		meanwhile   *wire.ConfigPollRequest
		least, most monotonic.Micros
		everywhere  bool
	}{
		{"adopted", leased, &wire.ConfigPollRequest{Proxy: "p", Incarnation: 1, CurrentVersion: 1, First: true}, 0, soon, true},
		{"released", leased, &wire.ConfigPollRequest{Proxy: "p", Incarnation: 1, Release: true}, 0, soon, true},
		{"silent", leased, nil, defaults.Lease - defaults.LeaseSlack - soon, defaults.Lease - defaults.LeaseSlack, true},
		{"behind", leased, first, defaults.Lease - defaults.LeaseSlack - soon, defaults.Lease - defaults.LeaseSlack + soon/2, true},
		{"another incarnation adopted", leased, &wire.ConfigPollRequest{Proxy: "p", Incarnation: 2, CurrentVersion: 1, First: true}, defaults.Lease - defaults.LeaseSlack - soon, defaults.Lease - defaults.LeaseSlack, true},
		{"serve stale, adopted", stale, &wire.ConfigPollRequest{Proxy: "p", Incarnation: 1, CurrentVersion: 1, First: true}, 0, soon, true},
		{"serve stale, silent", stale, nil, defaults.AdoptionTimeout, defaults.AdoptionTimeout + soon/2, false},
		{"serve stale, another incarnation adopted", stale, &wire.ConfigPollRequest{Proxy: "p", Incarnation: 2, CurrentVersion: 1, First: true}, 0, soon, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, test.timeouts)
			if response := c.poll(first); !response.Primary || response.Lease != int64(defaults.Lease) {
				t.Fatalf("no lease: %v", response)
			}
			application := c.apply()
			c.run(200 * monotonic.Millisecond)
			if application.done {
				t.Fatal("acknowledged at once")
			}
			if test.meanwhile != nil {
				c.poll(test.meanwhile)
			}
			c.run(10 * monotonic.Second)
			application.accepted(t, test.least, test.most)
			if application.response.AdoptedEverywhere != test.everywhere {
				t.Errorf("adopted everywhere: %v", application.response.AdoptedEverywhere)
			}
		})
	}
}

// TestAcknowledgementAfterTakeover checks that a primary that takes over acknowledges nothing while leases that it doesn't know of may
// stand.
func TestAcknowledgementAfterTakeover(t *testing.T) {
	c := newCluster(t, configstore.Timeouts{})
	before := c.resolver.Leader(configstore.Group)
	c.world.Kill(c.world.Node(before))
	for range 1000 {
		c.run(10 * monotonic.Millisecond)
		if c.resolver.Leader(configstore.Group) != before {
			break
		}
	}
	application := c.apply()
	c.run(20 * monotonic.Second)
	period := configstore.DefaultTimeouts.Lease - configstore.DefaultTimeouts.LeaseSlack
	application.accepted(t, period-monotonic.Second, period+monotonic.Second)
}

// TestLongPoll checks that a poll is answered when a version is accepted, or at the end of the long poll.
func TestLongPoll(t *testing.T) {
	c := newCluster(t, configstore.Timeouts{ServeStale: true})
	request := &wire.ConfigPollRequest{Proxy: "p", Incarnation: 1}
	waiting := c.poll(request)
	if waiting.Primary {
		t.Fatalf("answered at once: %v", waiting)
	}
	c.run(configstore.DefaultTimeouts.LongPoll)
	if !waiting.Primary || waiting.Version != 0 {
		t.Fatalf("not answered at the end of the long poll: %v", waiting)
	}
	woken := c.poll(request)
	c.apply()
	c.run(200 * monotonic.Millisecond)
	if woken.Version != 1 || len(woken.Content) == 0 {
		t.Fatalf("not answered with the new version: %v", woken)
	}
}
