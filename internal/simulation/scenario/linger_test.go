package scenario

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// TestLingeringBackendStays: while a carrier that stops as planned lingers, for its callers to be led elsewhere, the backend
// beside it is as good as before, and others go on choosing it. Here it's the only one of its service.
func TestLingeringBackendStays(t *testing.T) {
	t.Parallel()
	const linger = 2200 * monotonic.Millisecond
	var mesh *Mesh
	var stopped, ended monotonic.Micros
	stop := fault{"stop a carrier that lingers", func(mesh *Mesh) {
		name := mesh.live("forms")[0].carrier
		node, life := mesh.World.Node(name), mesh.lives[name]
		over := mesh.History.Plan("planned stop of "+name, mesh.World.Now())
		stopped = mesh.World.Now()
		mesh.Outside.Go(func() {
			_, _ = mesh.Outside.Transact(node.Address, 20*monotonic.Second, func(*world.Node) ([]byte, error) {
				life.Drain(5300*monotonic.Millisecond, func() { mesh.shut[name] = true })
				ended = mesh.World.Now()
				return nil, nil
			})
			mesh.World.Kill(node)
			over(mesh.World.Now())
			mesh.shut[name] = false
			mesh.World.Start(node)
		})
	}}
	sizes := small
	sizes.Backends, sizes.Slots, sizes.Linger = 1, 6, linger
	result := Run(Course{Name: "linger", Sizes: sizes, Length: 24 * monotonic.Second, Rate: 60, Every: 8 * monotonic.Second,
		First: []fault{stop}, Faults: []fault{nothing}, Prepare: func(built *Mesh) { mesh = built }}, 1, Breakage{})
	for _, finding := range result.Findings {
		t.Error(finding)
	}
	served, missing := 0, 0
	for _, attempt := range mesh.History.Attempts {
		if attempt.Kind != "form" || attempt.Sent < stopped || attempt.Sent >= stopped+linger {
			continue
		}
		served++
		if attempt.Mesh && apierror.Cause(attempt.Cause) == apierror.NoBackend {
			missing++
		}
	}
	t.Logf("stopped at %d, ended %d later; %d forms meanwhile, %d without a backend", stopped, ended-stopped, served, missing)
	if served < 20 || missing > 0 {
		t.Errorf("%d of %d forms found no backend while its carrier lingered", missing, served)
	}
	if ended-stopped > linger+monotonic.Second {
		t.Errorf("it ended %d microseconds after it was asked to", ended-stopped)
	}
}
