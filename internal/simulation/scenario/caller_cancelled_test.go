package scenario

import (
	"errors"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
)

// TestCallerCancels: once a caller has cancelled a request that may run again, its backend stops working on it and no other begins. A
// request with an idempotency key goes on, and its response is stored for repeats of the key.
func TestCallerCancels(t *testing.T) {
	for _, test := range []struct {
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
			req, caller := test.request, mesh.proxyNames[0]
			var leave func()
			req.OnCallerDisconnect = func(action func()) (stop func() bool) {
				leave = action
				return func() bool { leave = nil; return true }
			}
			var fault error
			mesh.External.Go(func() {
				_, fault = mesh.External.CallFunc(mesh.World.Node(caller).Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
					req.ReadAt = mesh.proxies[caller].LeaderClock()
					if _, rejected := mesh.proxies[caller].Forwarder.Forward(&req); rejected != nil {
						return nil, rejected
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
			mesh.runFor(500 * monotonic.Millisecond)
			if running() == 0 || leave == nil {
				t.Fatalf("%s, seed %d: %d backends are at work", test.name, seed, running())
			}
			mesh.External.Go(func() {
				_, _ = mesh.External.CallFunc(mesh.World.Node(caller).Address, monotonic.Second, func(*world.Node) ([]byte, error) {
					leave()
					return nil, nil
				})
			})
			mesh.runFor(100 * monotonic.Millisecond)
			if working := running() > 0; working != test.goesOn {
				t.Errorf("%s, seed %d: at work a tenth of a second later: %v", test.name, seed, working)
			}
			mesh.runFor(5 * monotonic.Second)
			ran := 0
			for _, run := range mesh.History.BackendRequests {
				if run.AttemptID == req.ID {
					ran++
				}
			}
			if ran != 1 || running() != 0 {
				t.Errorf("%s, seed %d: %d runs, %d at work", test.name, seed, ran, running())
			}
			rejected := new(apierror.Error)
			if !test.goesOn && (!errors.As(fault, &rejected) || rejected.Cause != apierror.ClientClosed || rejected.NotRun()) {
				t.Errorf("%s, seed %d: %v", test.name, seed, fault)
			}
		}
	}
}

// TestDeadlineIsEnforced: a request whose backend works beyond the path's deadline gets its final response at most half a second after
// it, which states that the request may have run.
func TestDeadlineIsEnforced(t *testing.T) {
	const cutoff = 4 * monotonic.Second // of Desired
	for _, seed := range seeds(t, 1, 2, 3) {
		mesh := newServingMeshWithSeed(t, seed, servingOn)
		mesh.workDuration = 8 * monotonic.Second
		for _, req := range []request.Request{{ID: "r-1", Method: "GET", Target: "/forms/1"}, {ID: "s-1", Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}} {
			began := mesh.World.Now()
			_, fault := mesh.forward(mesh.proxyNames[0], &req)
			rejected := new(apierror.Error)
			if took := mesh.World.Now() - began; took < cutoff-monotonic.Second || took > cutoff+500*monotonic.Millisecond || errors.As(fault, &rejected) && rejected.NotRun() {
				t.Errorf("seed %d: %s ended after %d microseconds: %v", seed, req.ID, took, fault)
			}
		}
	}
}
