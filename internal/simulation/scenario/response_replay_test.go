package scenario

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// TestResponseOutlivesProxy: the proxy beside the backend that executed a submission dies, or the one that forwarded it. A repeat of the
// key through any proxy gets the first response.
func TestResponseOutlivesProxy(t *testing.T) {
	for _, dies := range []string{"the proxy beside the backend", "the proxy that forwarded it"} {
		for _, seed := range seeds(t, 1, 2, 3, 4) {
			mesh := newServingMeshWithSeed(t, seed, serveStaleTimeouts)
			caller := mesh.proxyNames[0]
			submission := func(id string) *request.Request {
				return &request.Request{ID: id, Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}
			}
			first, fault := mesh.forward(caller, submission("first"))
			if fault != nil {
				t.Fatalf("seed %d: %v", seed, fault)
			}
			victim := caller
			for _, backend := range mesh.backends {
				if backend.instance == first.Instance && dies == "the proxy beside the backend" {
					victim = backend.proxy
				}
			}
			if victim == caller && dies == "the proxy beside the backend" {
				continue // it is the same proxy
			}
			mesh.World.Kill(mesh.World.Node(victim))
			mesh.World.Start(mesh.World.Node(victim))
			mesh.runFor(5 * monotonic.Second)
			for _, again := range mesh.proxyNames {
				response, fault := mesh.forward(again, submission("again-"+again))
				if fault != nil || string(response.Body) != string(first.Body) {
					t.Errorf("seed %d, after %s: %s got %v, %v", seed, dies, again, response, fault)
				}
			}
			ran := 0
			for _, run := range mesh.History.BackendRequests {
				if run.Key == "k-1" {
					ran++
				}
			}
			if ran > 1 {
				t.Errorf("seed %d: %d runs", seed, ran)
			}
		}
	}
}
