package world_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// pair is a world with two nodes: a server, which grants every claim, and a client.
type pair struct {
	*world.World
	server, client *world.Node
	clientHost     *world.Host
	served         int // claims that the server has handled
}

func newPair(t *testing.T, seed uint64) *pair {
	t.Helper()
	p := &pair{World: world.New(seed)}
	t.Cleanup(p.Close)
	p.server = p.Add("server", "server:1", "server", func(*world.Host) (host.Handlers, error) {
		handlers := host.Handlers{}
		host.Handle(handlers, wire.Kind_claim, func(*wire.ClaimRequest) (proto.Message, error) {
			p.served++
			return &wire.ClaimResponse{Outcome: "granted"}, nil
		})
		return handlers, nil
	})
	p.client = p.Add("client", "client:1", "client", func(h *world.Host) (host.Handlers, error) {
		p.clientHost = h
		return host.Handlers{}, nil
	})
	p.Start(p.server)
	p.Start(p.client)
	p.Run(p.Now())
	return p
}

// call has the client call the server and returns how long the call took.
func (p *pair) call(t *testing.T, timeout monotonic.Micros) (took monotonic.Micros, err error) {
	t.Helper()
	began, done := p.Now(), false
	p.clientHost.Go(func() {
		err = p.clientHost.Call("server:1", wire.Kind_claim, &wire.ClaimRequest{}, &wire.ClaimResponse{}, timeout)
		took, done = p.Now()-began, true
	})
	p.Run(began + 10*monotonic.Second)
	if !done {
		t.Fatal("the call did not end")
	}
	return took, err
}

func TestSameSeedGivesSameRun(t *testing.T) {
	run := func(seed uint64) uint64 {
		p := newPair(t, seed)
		for range 20 {
			if _, err := p.call(t, monotonic.Second); err != nil {
				t.Fatal(err)
			}
		}
		return p.Digest()
	}
	if first, second, other := run(1), run(1), run(2); first != second || first == other {
		t.Errorf("digests %x and %x for the same seed, %x for another", first, second, other)
	}
}

func TestPartitionIsOneWay(t *testing.T) {
	for _, test := range []struct {
		name     string
		from, to string
		served   bool // the server handles the request, even if the response does not arrive
	}{
		{"requests", "client", "server", false},
		{"responses", "server", "client", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPair(t, 3)
			p.Partition(test.from, test.to)
			if took, err := p.call(t, monotonic.Second); err == nil || took > 2*monotonic.Second {
				t.Errorf("error %v after %d us, expected an error within 2 s", err, took)
			}
			if served := p.served > 0; served != test.served {
				t.Errorf("the server handled the request: %v", served)
			}
			p.HealPartition(test.from, test.to)
			if _, err := p.call(t, monotonic.Second); err != nil {
				t.Errorf("after the partition was healed: %v", err)
			}
		})
	}
}

func TestFrozenNodeRespondsOnceThawed(t *testing.T) {
	p := newPair(t, 4)
	p.Freeze(p.server, 2*monotonic.Second)
	if took, err := p.call(t, 5*monotonic.Second); err != nil || took < 2*monotonic.Second || took > 3*monotonic.Second {
		t.Errorf("error %v after %d us, expected a response after 2 to 3 s", err, took)
	}
}

func TestKilledNode(t *testing.T) {
	p := newPair(t, 5)
	p.Kill(p.server)
	if _, err := p.call(t, monotonic.Second); !apierror.IsUnreachable(err) {
		t.Errorf("call to a killed node: %v, expected apierror.Unreachable", err)
	}
	p.Start(p.server)
	if _, err := p.call(t, monotonic.Second); err != nil {
		t.Errorf("call to a restarted node: %v", err)
	}
}

func TestTasksEndWithTheirIncarnation(t *testing.T) {
	p := newPair(t, 6)
	ticks, killedHost := 0, p.clientHost
	killedHost.Go(func() {
		for {
			killedHost.Sleep(100 * monotonic.Millisecond)
			ticks++
		}
	})
	p.Run(p.Now() + monotonic.Second)
	p.Kill(p.client)
	p.Start(p.client)
	before := ticks
	killedHost.Go(func() { ticks++ })
	p.Run(p.Now() + monotonic.Second)
	if before < 5 || ticks != before {
		t.Errorf("%d ticks before the kill, %d after it", before, ticks-before)
	}
}

func TestSignal(t *testing.T) {
	p := newPair(t, 7)
	signal := p.clientHost.NewSignal()
	var fired []bool
	p.clientHost.Go(func() {
		fired = append(fired, signal.Wait(monotonic.Second)) // not fired
		signal.Fire()
		fired = append(fired, signal.Wait(monotonic.Second)) // fired before the wait
		p.clientHost.Go(func() {
			p.clientHost.Sleep(100 * monotonic.Millisecond)
			signal.Fire()
		})
		fired = append(fired, signal.Wait(monotonic.Forever)) // fired during the wait
	})
	p.Run(p.Now() + 5*monotonic.Second)
	if len(fired) != 3 || fired[0] || !fired[1] || !fired[2] {
		t.Errorf("Wait returned %v, expected [false true true]", fired)
	}
}

func TestClocks(t *testing.T) {
	p := newPair(t, 8)
	before := p.clientHost.Now()
	p.StepClock(p.client, -30*monotonic.Second)
	if stepped := p.clientHost.Now() - before; stepped != -30*monotonic.Second {
		t.Errorf("the clock was stepped by %d us, expected -30 s", stepped)
	}
	before = p.clientHost.Now()
	p.Suspend(p.client, 2*monotonic.Second)
	p.Run(p.Now() + 2*monotonic.Second)
	if passed := p.clientHost.Now() - before; passed < -monotonic.Millisecond || passed > monotonic.Millisecond {
		t.Errorf("the clock advanced by %d us while the node was suspended", passed)
	}
}
