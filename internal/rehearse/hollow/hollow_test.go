package hollow

import (
	"sync"
	"testing"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// TestIncarnationEnds checks that goroutines of an ended incarnation exit at their next sleep, wait or call and run their deferred
// functions.
func TestIncarnationEnds(t *testing.T) {
	incarnationHost := newIncarnation()
	signal := incarnationHost.NewSignal()
	incarnationHost.end()
	incarnationHost.end() // idempotent
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
			t.Errorf("the goroutine continued after its %s", name)
		})
		done.Wait()
	}
}

// TestAdoptionsAreRecorded checks that a version's adoption time is recorded from configuration adoption events and from no others.
func TestAdoptionsAreRecorded(t *testing.T) {
	incarnationHost := newIncarnation()
	incarnationHost.Report(eventlog.ConfigAdopted, eventlog.Attributes{"serial": uint64(3)})
	incarnationHost.Report(eventlog.ClockSteppedBack, eventlog.Attributes{"serial": uint64(4)})
	if _, known := incarnationHost.adoptedAt(3); !known {
		t.Error("the adoption was not recorded")
	}
	if _, known := incarnationHost.adoptedAt(4); known {
		t.Error("an event of another kind was recorded as an adoption")
	}
}

// TestEveryServiceIsCalledByTwo checks that each service is called by at least two proxies if there are enough calls.
func TestEveryServiceIsCalledByTwo(t *testing.T) {
	for _, size := range []Options{{Proxies: 5, Services: 7, CalledServices: 4}, {Proxies: 50, Services: 10, CalledServices: 4}, {Proxies: 50, Services: 580, CalledServices: 24}, {Proxies: 800, Services: 10, CalledServices: 4}} {
		callers := map[int]int{}
		for index := range size.Proxies {
			for _, service := range NewPool(size).CalledServices(index) {
				callers[service]++
			}
		}
		for service := range size.Services {
			if callers[service] < 2 {
				t.Errorf("%+v: service %d is called by only %d proxies", size, service, callers[service])
			}
		}
	}
}
