package scenario

import (
	"errors"
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
)

// TestCallerCancels checks that once a caller has cancelled a request that may run more than once, its backend stops working on it and no
// other backend starts. A request with an idempotency key continues, and its response is stored for retries with the same key.
func TestCallerCancels(t *testing.T) {
	for _, test := range []struct {
		name      string
		request   request.Request
		continues bool
	}{
		{"a read", request.Request{ID: "r-1", Method: "GET", Target: "/forms/1"}, false},
		{"a submission", request.Request{ID: "s-1", Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}, true},
	} {
		for _, seed := range seeds(t, 1, 2, 3, 4) {
			mesh := newServingMeshWithSeed(t, seed, serveStaleTimeouts)
			mesh.workDuration = 3 * monotonic.Second
			req, caller := test.request, mesh.proxyNames[0]
			var disconnect func()
			req.OnCallerDisconnect = func(action func()) (stop func() bool) {
				disconnect = action
				return func() bool { disconnect = nil; return true }
			}
			var err error
			mesh.External.Go(func() {
				_, err = mesh.External.CallFunc(mesh.World.Node(caller).Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
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
			if running() == 0 || disconnect == nil {
				t.Fatalf("%s, seed %d: %d requests are running before the caller disconnects", test.name, seed, running())
			}
			mesh.External.Go(func() {
				_, _ = mesh.External.CallFunc(mesh.World.Node(caller).Address, monotonic.Second, func(*world.Node) ([]byte, error) {
					disconnect()
					return nil, nil
				})
			})
			mesh.runFor(100 * monotonic.Millisecond)
			if stillRunning := running() > 0; stillRunning != test.continues {
				t.Errorf("%s, seed %d: still running 100 ms after the caller disconnected: %v", test.name, seed, stillRunning)
			}
			mesh.runFor(5 * monotonic.Second)
			ran := 0
			for _, run := range mesh.History.BackendRequests {
				if run.AttemptID == req.ID {
					ran++
				}
			}
			if ran != 1 || running() != 0 {
				t.Errorf("%s, seed %d: %d runs, %d of them still in progress", test.name, seed, ran, running())
			}
			rejected := new(apierror.Error)
			if !test.continues && (!errors.As(err, &rejected) || rejected.Cause != apierror.ClientClosed || rejected.NotRun()) {
				t.Errorf("%s, seed %d: wrong error: %v", test.name, seed, err)
			}
		}
	}
}

// TestDeadlineIsEnforced checks that a request whose backend works beyond the path's deadline is answered at most half a second after the
// deadline, and that the response says that the request may have run.
func TestDeadlineIsEnforced(t *testing.T) {
	const deadline = 4 * monotonic.Second // as in Desired
	for _, seed := range seeds(t, 1, 2, 3) {
		mesh := newServingMeshWithSeed(t, seed, serveStaleTimeouts)
		mesh.workDuration = 8 * monotonic.Second
		for _, req := range []request.Request{{ID: "r-1", Method: "GET", Target: "/forms/1"}, {ID: "s-1", Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}} {
			began := mesh.World.Now()
			_, err := mesh.forward(mesh.proxyNames[0], &req)
			rejected := new(apierror.Error)
			if took := mesh.World.Now() - began; took < deadline-monotonic.Second || took > deadline+500*monotonic.Millisecond || errors.As(err, &rejected) && rejected.NotRun() {
				t.Errorf("seed %d: %s ended after %d microseconds: %v", seed, req.ID, took, err)
			}
		}
	}
}
