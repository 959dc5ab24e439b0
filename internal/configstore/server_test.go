package configstore_test

import (
	"fmt"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/configstore/storetest"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// cluster is a simulated group of configuration stores, with helpers that send it requests from outside the group.
type cluster struct {
	*storetest.Cluster
	t *testing.T
}

// newCluster starts a group, which is closed at the end of the test.
func newCluster(t *testing.T, timeouts configstore.Timeouts) *cluster {
	t.Helper()
	c := &cluster{Cluster: storetest.Start(configstore.Options{Timeouts: timeouts}), t: t}
	t.Cleanup(c.World.Close)
	return c
}

// pendingApply is an apply request that may not have been answered yet. The other fields are valid once done is set.
type pendingApply struct {
	response *wire.ConfigApplyResponse
	err      error
	done     bool
	took     monotonic.Micros
}

// apply starts an apply of a new configuration as the next version.
func (c *cluster) apply() *pendingApply {
	a := &pendingApply{response: &wire.ConfigApplyResponse{}}
	c.Outside.Go(func() {
		started := c.Outside.Now()
		request := &wire.ConfigApplyRequest{AnyVersion: true, Content: fmt.Appendf(nil, `{"groups":[{"name":"g","services":[{"name":"a","paths":[{"method":"GET","prefix":"/%d","class":"read"}]}]}]}`, started)}
		a.err = c.Resolver.Call(c.PrimaryName(), wire.Kind_config_apply, request, a.response, 30*monotonic.Second)
		a.took, a.done = c.Outside.Now()-started, true
	})
	return a
}

// poll sends a proxy's poll and runs the simulation for 100 ms. A poll that waits for a newer version fills the response later.
func (c *cluster) poll(request *wire.ConfigPollRequest) *wire.ConfigPollResponse {
	response := &wire.ConfigPollResponse{}
	c.Outside.Go(func() {
		if err := c.Resolver.Call(c.PrimaryName(), wire.Kind_config_poll, request, response, 5*monotonic.Second); err != nil {
			c.t.Errorf("poll: %v", err)
		}
	})
	c.Run(100 * monotonic.Millisecond)
	return response
}

// requireAccepted fails the test unless the apply was accepted after a time between least and most.
func (a *pendingApply) requireAccepted(t *testing.T, least, most monotonic.Micros) {
	t.Helper()
	if !a.done || a.err != nil || a.response.Outcome != versions.Accepted || a.took < least || a.took > most {
		t.Fatalf("done %v after %d µs with %v, error %v; wanted acceptance after %d to %d µs", a.done, a.took, a.response, a.err, least, most)
	}
}

// TestAcknowledgement checks how long an apply waits for a proxy that has polled, depending on what the proxy sends in the meantime.
func TestAcknowledgement(t *testing.T) {
	first := &wire.ConfigPollRequest{Proxy: "p", Incarnation: 1, First: true}
	leased, stale := configstore.Timeouts{}, configstore.Timeouts{ServeStale: true}
	defaults := configstore.DefaultTimeouts
	soon := monotonic.Second
	for _, test := range []struct {
		name     string
		timeouts configstore.Timeouts
		// meanwhile is the request that the proxy sends during the apply, nil for none.
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
			pending := c.apply()
			c.Run(200 * monotonic.Millisecond)
			if pending.done {
				t.Fatal("acknowledged at once")
			}
			if test.meanwhile != nil {
				c.poll(test.meanwhile)
			}
			c.Run(10 * monotonic.Second)
			pending.requireAccepted(t, test.least, test.most)
			if pending.response.AdoptedEverywhere != test.everywhere {
				t.Errorf("adopted everywhere: %v", pending.response.AdoptedEverywhere)
			}
		})
	}
}

// TestAcknowledgementAfterTakeover checks that a primary that takes over acknowledges nothing while leases that it doesn't know of may
// be active.
func TestAcknowledgementAfterTakeover(t *testing.T) {
	c := newCluster(t, configstore.Timeouts{})
	before := c.PrimaryName()
	c.World.Kill(c.World.Node(before))
	for range 1000 {
		c.Run(10 * monotonic.Millisecond)
		if c.PrimaryName() != before {
			break
		}
	}
	pending := c.apply()
	c.Run(20 * monotonic.Second)
	period := configstore.DefaultTimeouts.Lease - configstore.DefaultTimeouts.LeaseSlack
	pending.requireAccepted(t, period-monotonic.Second, period+monotonic.Second)
}

// TestLongPoll checks that a poll is answered when a version is accepted, or else when the long poll times out.
func TestLongPoll(t *testing.T) {
	c := newCluster(t, configstore.Timeouts{ServeStale: true})
	request := &wire.ConfigPollRequest{Proxy: "p", Incarnation: 1}
	waiting := c.poll(request)
	if waiting.Primary {
		t.Fatalf("answered at once: %v", waiting)
	}
	c.Run(configstore.DefaultTimeouts.LongPoll)
	if !waiting.Primary || waiting.Version != 0 {
		t.Fatalf("not answered at the end of the long poll: %v", waiting)
	}
	woken := c.poll(request)
	c.apply()
	c.Run(200 * monotonic.Millisecond)
	if woken.Version != 1 || len(woken.Content) == 0 {
		t.Fatalf("not answered with the new version: %v", woken)
	}
}
