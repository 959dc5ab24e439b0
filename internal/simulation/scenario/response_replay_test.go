package scenario

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// TestResponseOutlivesProxy: the carrier beside the backend that ran a submission dies, or the one that passed it on; whoever repeats the key, anywhere,
// gets the first answer.
func TestResponseOutlivesProxy(t *testing.T) {
	for _, dies := range []string{"the carrier beside the backend", "the carrier that passed it on"} {
		for _, seed := range seeds(t, 1, 2, 3, 4) {
			mesh := newServingMeshWithSeed(t, seed, servingOn)
			caller := mesh.proxyNames[0]
			submission := func(id string) *request.Request {
				return &request.Request{ID: id, Method: "POST", Target: "/households/1", IdempotencyKey: "k-1"}
			}
			first, fault := mesh.forward(caller, submission("first"))
			if fault != nil {
				t.Fatalf("seed %d: %v", seed, fault)
			}
			victim := caller
			for _, one := range mesh.backends {
				if one.instance == first.Instance && dies == "the carrier beside the backend" {
					victim = one.proxy
				}
			}
			if victim == caller && dies == "the carrier beside the backend" {
				continue // both are one
			}
			mesh.World.Kill(mesh.World.Node(victim))
			mesh.World.Start(mesh.World.Node(victim))
			mesh.World.Run(mesh.World.Now() + 5*monotonic.Second)
			for _, again := range mesh.proxyNames {
				answer, fault := mesh.forward(again, submission("again-"+again))
				if fault != nil || string(answer.Body) != string(first.Body) {
					t.Errorf("seed %d, after %s: %s got %v, %v", seed, dies, again, answer, fault)
				}
			}
			ran := 0
			for _, run := range mesh.History.Runs {
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
