package scenario

import (
	"fmt"
	"testing"

	"snowflow/internal/monotonic"
)

const (
	// slowReaderGrace is the grace period of a planned stop.
	slowReaderGrace = 5 * monotonic.Second
	// slowReaderMargin is how much longer than its waits a stop may take.
	slowReaderMargin = 500 * monotonic.Millisecond
)

// TestDrainWaitsForSlowReaders guards against a planned stop that ends while responses are still being written to callers. It must wait for
// them until the grace period ends, and no longer.
func TestDrainWaitsForSlowReaders(t *testing.T) {
	for _, seed := range seeds(t, 1, 2, 3, 4, 5, 6, 7, 8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			mesh := Build(seed, smallTopology, Defects{})
			t.Cleanup(mesh.World.Close)
			mesh.runFor(5 * monotonic.Second)
			for round := range mesh.proxyNames {
				writing := mesh.randomDuration(0, 2*slowReaderGrace)
				took, answered := mesh.drainWithSlowReader(mesh.proxyNames[round], writing)
				expected := min(writing, slowReaderGrace)
				if took < expected || took > max(expected, slowReaderGrace)+slowReaderMargin {
					t.Errorf("seed %d: the stop took %d ms, writing the response %d ms", seed, took/monotonic.Millisecond, writing/monotonic.Millisecond)
				}
				if complete := writing < slowReaderGrace; answered != complete {
					t.Errorf("seed %d: Drain returned %v, although writing the response took %d ms", seed, answered, writing/monotonic.Millisecond)
				}
			}
		})
	}
}

// TestDrainWaitsForReplies guards against the same fault with responses to other proxies, whose callers read them: a planned stop waits for
// these replies for the rest of its grace period.
func TestDrainWaitsForReplies(t *testing.T) {
	mesh := Build(1, smallTopology, Defects{})
	t.Cleanup(mesh.World.Close)
	mesh.runFor(5 * monotonic.Second)
	began, excess := mesh.World.Now(), monotonic.Micros(-1)
	mesh.waitForReplies = func(timeout monotonic.Micros) { excess = timeout - (slowReaderGrace - (mesh.World.Now() - began)) }
	mesh.drainWithSlowReader(mesh.proxyNames[0], monotonic.Second)
	if excess < -slowReaderMargin || excess > mesh.World.MaxLatency { // the proxy counts its grace period from the arrival of the call
		t.Errorf("the stop waits for replies %d microseconds longer than its grace period leaves", excess)
	}
}

// drainWithSlowReader stops a proxy as planned while it writes one response for the duration writing. It returns how long the stop took and
// whether the proxy reported that every response was written.
func (m *Mesh) drainWithSlowReader(name string, writing monotonic.Micros) (took monotonic.Micros, answered bool) {
	instance := m.proxies[name]
	instance.Callers.Begin()
	m.after(writing, instance.Callers.End)
	began, ended := m.World.Now(), false
	m.External.Go(func() {
		_ = m.transactAt(m.World.Node(name).Address, 2*slowReaderGrace+monotonic.Minute, func() {
			answered = instance.Drain(slowReaderGrace, func() {})
		})
		took, ended = m.World.Now()-began, true
	})
	for !ended {
		m.runFor(monotonic.Millisecond)
	}
	return took, answered
}
