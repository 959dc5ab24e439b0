package scenario

import (
	"strings"
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// TestControlMessages counts the control messages that an idle proxy sends, in meshes of 4 to 32 proxies. A proxy must not send more of
// them in a larger mesh.
func TestControlMessages(t *testing.T) {
	const seconds = 30
	perProxy := func(proxyCount int) (calls, bytes, core float64) {
		mesh := Build(1, Topology{Cores: 3, Proxies: proxyCount, Zones: 3, Backends: proxyCount / 2}, Defects{})
		defer mesh.World.Close()
		mesh.External.Go(func() { mesh.applyDesired(Desired(0), false, 0, 20*monotonic.Second) })
		mesh.runFor(15 * monotonic.Second)
		mesh.World.Calls, mesh.World.Bytes = map[string]map[wire.Kind]int{}, map[string]int{}
		mesh.runFor(seconds * monotonic.Second)
		for node, kinds := range mesh.World.Calls {
			for _, count := range kinds {
				if strings.HasPrefix(node, proxyNodePrefix) {
					calls += float64(count) / seconds / float64(proxyCount)
				} else if node != "outside" {
					core += float64(count) / seconds
				}
			}
		}
		for node, count := range mesh.World.Bytes {
			if strings.HasPrefix(node, proxyNodePrefix) {
				bytes += float64(count) / seconds / float64(proxyCount)
			}
		}
		return calls, bytes, core
	}
	baseline, _, _ := perProxy(4)
	for _, proxyCount := range []int{4, 8, 16, 32} {
		calls, bytes, core := perProxy(proxyCount)
		t.Logf("%d proxies: %.2f calls and %.0f bytes per second for each; %.0f calls per second by the core", proxyCount, calls, bytes, core)
		if calls == 0 || calls > 1.2*baseline {
			t.Errorf("%d proxies: %.2f calls per second for each, %.2f in a mesh of four proxies", proxyCount, calls, baseline)
		}
	}
}
