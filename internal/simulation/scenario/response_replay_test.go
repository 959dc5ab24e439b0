package scenario

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// TestResponseOutlivesProxy checks that a retry with the same idempotency key gets the first response through any proxy, after the local
// proxy of the backend that executed the submission, or the proxy that forwarded it, was killed and restarted.
func TestResponseOutlivesProxy(t *testing.T) {
	for _, restarted := range []string{"the backend's local proxy", "the forwarding proxy"} {
		for _, seed := range seeds(t, 1, 2, 3, 4) {
			mesh := newServingMeshWithSeed(t, seed, serveStaleTimeouts)
			caller := mesh.proxyNames[0]
			submission := func(id string) *request.Request {
				return &request.Request{ID: id, Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}
			}
			first, err := mesh.forward(caller, submission("first"))
			if err != nil {
				t.Fatalf("seed %d: the first submission failed: %v", seed, err)
			}
			victim := caller
			for _, backend := range mesh.backends {
				if backend.instance == first.Instance && restarted == "the backend's local proxy" {
					victim = backend.proxy
				}
			}
			if victim == caller && restarted == "the backend's local proxy" {
				continue // one proxy has both roles, so the other case covers it
			}
			mesh.World.Kill(mesh.World.Node(victim))
			mesh.World.Start(mesh.World.Node(victim))
			mesh.runFor(5 * monotonic.Second)
			for _, proxyName := range mesh.proxyNames {
				response, err := mesh.forward(proxyName, submission("again-"+proxyName))
				if err != nil || string(response.Body) != string(first.Body) {
					t.Errorf("seed %d, after a restart of %s: a retry through %s got %v, %v", seed, restarted, proxyName, response, err)
				}
			}
			ran := 0
			for _, run := range mesh.History.BackendRequests {
				if run.Key == "k-1" {
					ran++
				}
			}
			if ran > 1 {
				t.Errorf("seed %d: the submission ran %d times", seed, ran)
			}
		}
	}
}
