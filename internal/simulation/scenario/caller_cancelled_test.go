package scenario

import (
	"errors"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
)

// TestCallerCancels: once a caller has left, a backend is at work no longer on what may run again, and no other one begins to; a run-once
// request goes on, and its answer is kept for whoever asks with its key.
func TestCallerCancels(t *testing.T) {
	for _, one := range []struct {
		name    string
		request request.Request
		goesOn  bool
	}{
		{"a read", request.Request{ID: "r-1", Method: "GET", Target: "/forms/1"}, false},
		{"a submission", request.Request{ID: "s-1", Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}, true},
	} {
		for _, seed := range seeds(t, 1, 2, 3, 4) {
			mesh := newServingMeshWithSeed(t, seed, servingOn)
			mesh.workDuration = 3 * monotonic.Second
			req, caller := one.request, mesh.proxyNames[0]
			var leave func()
			req.OnCallerLeft = func(action func()) (stop func() bool) {
				leave = action
				return func() bool { leave = nil; return true }
			}
			var fault error
			mesh.External.Go(func() {
				_, fault = mesh.External.Transact(mesh.World.Node(caller).Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
					req.ReadAt = mesh.proxies[caller].LeaderClock()
					if _, refused := mesh.proxies[caller].Forwarder.Forward(&req); refused != nil {
						return nil, refused
					}
					return nil, nil
				})
			})
			running := func() (count int) {
				for _, backend := range mesh.backends {
					count += backend.inFlight
				}
				return count
			}
			mesh.World.Run(mesh.World.Now() + 500*monotonic.Millisecond)
			if running() == 0 || leave == nil {
				t.Fatalf("%s, seed %d: %d backends are at work", one.name, seed, running())
			}
			mesh.External.Go(func() {
				_, _ = mesh.External.Transact(mesh.World.Node(caller).Address, monotonic.Second, func(*world.Node) ([]byte, error) {
					leave()
					return nil, nil
				})
			})
			mesh.World.Run(mesh.World.Now() + 100*monotonic.Millisecond)
			if working := running() > 0; working != one.goesOn {
				t.Errorf("%s, seed %d: at work a tenth of a second later: %v", one.name, seed, working)
			}
			mesh.World.Run(mesh.World.Now() + 5*monotonic.Second)
			ran := 0
			for _, run := range mesh.History.Runs {
				if run.Attempt == req.ID {
					ran++
				}
			}
			if ran != 1 || running() != 0 {
				t.Errorf("%s, seed %d: %d runs, %d at work", one.name, seed, ran, running())
			}
			refused := new(apierror.Fault)
			if !one.goesOn && (!errors.As(fault, &refused) || refused.Cause != apierror.ClientClosed || refused.NotRun()) {
				t.Errorf("%s, seed %d: %v", one.name, seed, fault)
			}
		}
	}
}

// TestDeadlineIsEnforced: a request whose backend works on beyond its path's limit has its final answer half a second after it at the latest, and
// that says that it may have run.
func TestDeadlineIsEnforced(t *testing.T) {
	const cutoff = 4 * monotonic.Second // as Desired has it
	for _, seed := range seeds(t, 1, 2, 3) {
		mesh := newServingMeshWithSeed(t, seed, servingOn)
		mesh.workDuration = 8 * monotonic.Second
		for _, req := range []request.Request{{ID: "r-1", Method: "GET", Target: "/forms/1"}, {ID: "s-1", Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}} {
			began := mesh.World.Now()
			_, fault := mesh.forward(mesh.proxyNames[0], &req)
			refused := new(apierror.Fault)
			if took := mesh.World.Now() - began; took < cutoff-monotonic.Second || took > cutoff+500*monotonic.Millisecond || errors.As(fault, &refused) && refused.NotRun() {
				t.Errorf("seed %d: %s ended after %d microseconds: %v", seed, req.ID, took, fault)
			}
		}
	}
}
