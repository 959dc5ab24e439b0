package configclient_test

import (
	"fmt"
	"testing"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const (
	group        = discovery.ConfigStoreGroup
	storeAddress = "machine:store"
	lease        = 6 * monotonic.Second
	longPoll     = 200 * monotonic.Millisecond
)

// fixture is a simulated configuration store, whose responses are set by the test, and a proxy that polls it.
type fixture struct {
	t      *testing.T
	world  *world.World
	store  *world.Node
	proxy  *world.Host
	client *configclient.Client
	// resolver belongs to the proxy.
	resolver *discovery.Resolver
	// answer returns the store's response to a poll.
	answer func(request *wire.ConfigPollRequest) *wire.ConfigPollResponse
	polls  []*wire.ConfigPollRequest // that the store received
}

// newFixture starts a proxy, and a store that is the primary and has the given version.
func newFixture(t *testing.T, version uint64, serveStale bool) *fixture {
	t.Helper()
	return newLeasedFixture(t, version, serveStale, 0)
}

// newLeasedFixture is like newFixture, with a lease on tenants' keys.
func newLeasedFixture(t *testing.T, version uint64, serveStale bool, keyLease monotonic.Micros) *fixture {
	t.Helper()
	f := &fixture{t: t, world: world.New(1)}
	t.Cleanup(f.world.Close)
	f.answer = func(*wire.ConfigPollRequest) *wire.ConfigPollResponse { return primaryResponse(version) }
	f.store = f.world.Add("store", storeAddress, "machine", f.startStore)
	f.world.Start(f.store)
	f.world.Start(f.world.Add("proxy", "proxy", "proxy", func(h *world.Host) (host.Handlers, error) {
		resolver := discovery.New(h, nil, []string{storeAddress})
		f.proxy, f.resolver = h, resolver
		f.client = configclient.New(configclient.Options{Host: h, Resolver: resolver, Proxy: "proxy", Incarnation: 7, ClockWatch: clockwatch.New(h), ServeStale: serveStale, KeyLease: keyLease})
		h.Go(f.client.Run)
		return host.Handlers{}, nil
	}))
	return f
}

func (f *fixture) startStore(h *world.Host) (host.Handlers, error) {
	resolver := discovery.New(h, &wire.PeerAddress{Name: "store", Address: storeAddress, Group: group}, nil)
	resolver.ObservePrimaries([]*wire.Primary{{Group: group, Epoch: 1, Name: "store"}})
	handlers := host.Handlers{}
	resolver.Register(handlers)
	host.Handle(handlers, wire.Kind_config_poll, func(request *wire.ConfigPollRequest) (*wire.ConfigPollResponse, error) {
		f.polls = append(f.polls, request)
		response := f.answer(request)
		if response.Version == request.CurrentVersion {
			h.Sleep(longPoll)
		}
		return response, nil
	})
	return handlers, nil
}

func (f *fixture) run(duration monotonic.Micros) { f.world.Run(f.world.Now() + duration) }

// check compares the adopted version, and whether the proxy may serve from it, with the expected ones.
func (f *fixture) check(when string, version uint64, live bool) {
	f.t.Helper()
	adopted, _ := f.client.Version()
	if _, mayServe := f.client.Current(); adopted != version || mayServe != live {
		f.t.Fatalf("%s: version %d, live %v; wanted %d, %v", when, adopted, mayServe, version, live)
	}
}

func (f *fixture) lastPoll() *wire.ConfigPollRequest { return f.polls[len(f.polls)-1] }

// contentOf returns a valid configuration with different content for each version.
func contentOf(version uint64) []byte {
	return fmt.Appendf(nil, `{"note":"%d","groups":[{"name":"g","services":[{"name":"a","paths":[{"method":"GET","prefix":"/%d","class":"read"}]}]}]}`, version, version)
}

func primaryResponse(version uint64) *wire.ConfigPollResponse {
	return &wire.ConfigPollResponse{Primary: true, Epoch: 1, Version: version, Content: contentOf(version), Lease: int64(lease), LongPoll: int64(longPoll)}
}

// TestLease checks that a proxy that loses contact serves until its lease expires, or with ServeStale until it receives a newer version.
func TestLease(t *testing.T) {
	for _, test := range []struct {
		name       string
		serveStale bool
	}{{"leased", false}, {"serve stale", true}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 1, test.serveStale)
			f.run(2 * monotonic.Second)
			f.check("in contact", 1, true)
			f.world.Kill(f.store)
			f.run(lease - monotonic.Second)
			f.check("before the lease ends", 1, true)
			f.run(monotonic.Second)
			f.check("after the lease has ended", 1, test.serveStale)
			f.world.Start(f.store)
			f.run(2 * monotonic.Second)
			f.check("in contact again", 1, true)
		})
	}
}

// TestKeyLease guards against keys that are relied on without contact to a primary. The lease on them counts from before the last poll
// to which a primary responded with the adopted version; no other response extends it.
func TestKeyLease(t *testing.T) {
	const keyLease = 4 * monotonic.Second
	for name, test := range map[string]struct {
		answer func(request *wire.ConfigPollRequest) *wire.ConfigPollResponse // nil: the store is killed
	}{
		"no answer": {},
		"not the primary": {func(*wire.ConfigPollRequest) *wire.ConfigPollResponse {
			return &wire.ConfigPollResponse{Version: 9, Content: contentOf(9), Lease: int64(lease), LongPoll: int64(longPoll)}
		}},
		"an older version": {func(*wire.ConfigPollRequest) *wire.ConfigPollResponse { return primaryResponse(4) }},
		"a newer one that can't be read": {func(*wire.ConfigPollRequest) *wire.ConfigPollResponse {
			response := primaryResponse(6)
			response.Content = []byte("{")
			return response
		}},
		"a difference that doesn't apply": {func(*wire.ConfigPollRequest) *wire.ConfigPollResponse {
			response := primaryResponse(6)
			response.Content, response.Difference = nil, []byte("no difference")
			return response
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLeasedFixture(t, 5, true, keyLease)
			f.run(2 * monotonic.Second)
			f.check("in contact", 5, true)
			if remaining, limited := f.client.KeyLease(); !limited || remaining <= keyLease-2*longPoll || remaining > keyLease {
				t.Fatalf("%d us of the key lease remain while in contact", remaining)
			}
			if f.answer = test.answer; test.answer == nil {
				f.world.Kill(f.store)
			}
			f.run(keyLease - 2*longPoll)
			if remaining, _ := f.client.KeyLease(); remaining <= 0 || remaining > 2*longPoll {
				t.Errorf("%d us of the key lease remain shortly before its end", remaining)
			}
			f.run(2 * longPoll)
			if remaining, limited := f.client.KeyLease(); remaining != 0 || !limited {
				t.Errorf("%d us of the key lease remain after its end", remaining)
			}
			f.check("out of contact", 5, true)
		})
	}
}

// TestSupersededPollIsAbandoned guards against a proxy that waits for the response of a primary that is cut off, although it knows the
// next primary. It would then adopt a version seconds after its acknowledgement.
func TestSupersededPollIsAbandoned(t *testing.T) {
	for name, abandon := range map[string]bool{"abandoned": true, "waited for": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, true)
			f.world.Start(f.world.Add("next", "next:store", "next", func(h *world.Host) (host.Handlers, error) {
				resolver := discovery.New(h, &wire.PeerAddress{Name: "next", Address: "next:store", Group: group}, nil)
				handlers := host.Handlers{}
				resolver.Register(handlers)
				host.Handle(handlers, wire.Kind_config_poll, func(*wire.ConfigPollRequest) (*wire.ConfigPollResponse, error) { return primaryResponse(2), nil })
				return handlers, nil
			}))
			f.run(2 * monotonic.Second)
			f.check("at the first primary", 1, true)
			f.world.Freeze(f.store, monotonic.Minute)
			f.run(longPoll)
			f.resolver.AddPeers([]*wire.PeerAddress{{Name: "next", Address: "next:store", Group: group}})
			f.resolver.ObservePrimaries([]*wire.Primary{{Group: group, Epoch: 2, Name: "next"}})
			if abandon {
				f.client.AbandonSuperseded()
			}
			f.run(600 * monotonic.Millisecond)
			expected := uint64(1)
			if abandon {
				expected = 2
			}
			f.check("shortly after the next primary is known", expected, true)
			f.run(3 * monotonic.Second)
			f.check("in the end", 2, true)
		})
	}
}

// TestVersionsNeverFall checks that a version of the primary that is older than the adopted one isn't adopted.
func TestVersionsNeverFall(t *testing.T) {
	f := newFixture(t, 5, false)
	f.run(2 * monotonic.Second)
	f.check("at first", 5, true)
	f.answer = func(*wire.ConfigPollRequest) *wire.ConfigPollResponse { return primaryResponse(4) }
	f.run(2 * monotonic.Second)
	f.check("after an older one", 5, true)
	f.run(lease)
	f.check("when the lease has ended", 5, false)
}

// TestRefusedDifference checks that a difference that doesn't apply changes nothing, and that the full content is requested until the
// next adoption.
func TestRefusedDifference(t *testing.T) {
	f := newFixture(t, 1, false)
	f.run(2 * monotonic.Second)
	f.answer = func(request *wire.ConfigPollRequest) *wire.ConfigPollResponse {
		response := primaryResponse(2)
		if !request.Full {
			response.Content, response.Difference = nil, []byte("no difference")
		}
		return response
	}
	f.run(2 * monotonic.Second)
	f.check("after the full content", 2, true)
	if stats := f.client.Stats(); stats.Rejected != 1 || stats.FullStates != 2 || stats.Differences != 0 {
		t.Errorf("%+v", stats)
	}
	if poll := f.lastPoll(); poll.Full || poll.CurrentVersion != 2 || len(poll.Digest) == 0 {
		t.Errorf("the poll after the adoption: %v", poll)
	}
}

// TestUnconfirmedVersion checks that a proxy without a version adopts that of a store that isn't the primary, but serves from it only
// after it has looked for a primary until unconfirmedTimeout, and that any version of a primary replaces it.
func TestUnconfirmedVersion(t *testing.T) {
	f := newFixture(t, 0, true)
	f.answer = func(*wire.ConfigPollRequest) *wire.ConfigPollResponse {
		return &wire.ConfigPollResponse{Version: 5, Content: contentOf(5)}
	}
	f.run(monotonic.Second)
	f.check("at first", 5, false)
	f.run(3 * monotonic.Second)
	f.check("when no primary was found", 5, true)
	if poll := f.lastPoll(); poll.CurrentVersion != 0 {
		t.Errorf("a poll reports the unconfirmed version: %v", poll)
	}
	f.answer = func(*wire.ConfigPollRequest) *wire.ConfigPollResponse { return primaryResponse(3) }
	f.run(2 * monotonic.Second)
	f.check("after the primary's", 3, true)
}

// TestRelease checks that the proxy notifies the primary of the released lease, and that later responses don't renew it.
func TestRelease(t *testing.T) {
	f := newFixture(t, 1, false)
	f.run(2 * monotonic.Second)
	f.proxy.Go(func() { f.client.Release(monotonic.Second) })
	f.run(50 * monotonic.Millisecond)
	released := 0
	for _, poll := range f.polls {
		if poll.Release && poll.Proxy == "proxy" && poll.Incarnation == 7 {
			released++
		}
	}
	if released != 1 {
		t.Errorf("%d polls release the lease", released)
	}
	f.run(2 * monotonic.Second)
	f.check("after the release", 1, false)
}

// TestWaitForVersion checks that WaitForVersion returns when its version is adopted or at its timeout, and not before.
func TestWaitForVersion(t *testing.T) {
	f := newFixture(t, 1, false)
	f.run(2 * monotonic.Second)
	var reached, missed, done bool
	f.proxy.Go(func() { reached = f.client.WaitForVersion(2, 5*monotonic.Second) })
	f.proxy.Go(func() { missed, done = !f.client.WaitForVersion(3, 2*monotonic.Second), true })
	f.run(monotonic.Second)
	if reached || done {
		t.Fatal("a wait ended too early")
	}
	f.answer = func(*wire.ConfigPollRequest) *wire.ConfigPollResponse { return primaryResponse(2) }
	f.run(monotonic.Second / 2)
	if !reached {
		t.Error("the wait for an adopted version didn't end")
	}
	f.run(monotonic.Second)
	if !missed {
		t.Error("the wait for another version didn't end at its timeout")
	}
}
