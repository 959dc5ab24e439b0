package hollow

import (
	"sync"
	"testing"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// TestIncarnationEnds: tasks that sleep, wait or call when their life ends don't go on, and their deferred work is done.
func TestIncarnationEnds(t *testing.T) {
	incarnationHost := newIncarnation()
	signal := incarnationHost.NewSignal()
	incarnationHost.end()
	incarnationHost.end() // an end is final, and may come twice
	for name, wait := range map[string]func(){
		"sleep":  func() { incarnationHost.Sleep(monotonic.Micros(1)) },
		"signal": func() { signal.Fire(); signal.Wait(monotonic.Minute) },
		"call": func() {
			_ = incarnationHost.Call("127.0.0.1:1", wire.Kind_discover, &wire.DiscoverRequest{}, &wire.DiscoverResponse{}, monotonic.Minute)
		},
	} {
		var done sync.WaitGroup
		done.Add(1)
		incarnationHost.Go(func() {
			defer done.Done()
			wait()
			t.Errorf("a task goes on behind its %s", name)
		})
		done.Wait()
	}
}

// TestAdoptionsAreNoted: when a serial was adopted is known, and of nothing else.
func TestAdoptionsAreNoted(t *testing.T) {
	incarnationHost := newIncarnation()
	incarnationHost.Report(eventlog.ConfigAdopted, map[string]any{"serial": uint64(3)})
	incarnationHost.Report(eventlog.ClockSteppedBack, map[string]any{"serial": uint64(4)})
	if _, known := incarnationHost.adoptedAt(3); !known {
		t.Error("an adoption isn't known")
	}
	if _, known := incarnationHost.adoptedAt(4); known {
		t.Error("another event is taken for an adoption")
	}
}

// TestEveryServiceIsCalledByTwo: with calls enough for two callers of each service, each has two different ones at least.
func TestEveryServiceIsCalledByTwo(t *testing.T) {
	for _, size := range []Options{{Proxies: 5, Services: 7, Calls: 4}, {Proxies: 50, Services: 10, Calls: 4}, {Proxies: 50, Services: 580, Calls: 24}, {Proxies: 800, Services: 10, Calls: 4}} {
		callers := map[int]int{}
		for index := range size.Proxies {
			for _, service := range NewPool(size).CalledServices(index) {
				callers[service]++
			}
		}
		for service := range size.Services {
			if callers[service] < 2 {
				t.Errorf("%+v: service %d is called by %d", size, service, callers[service])
			}
		}
	}
}
