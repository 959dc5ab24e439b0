package directory_test

import (
	"testing"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/transport/wire"
)

// departureFixture has two registries. The second gets sessions only from the first.
type departureFixture struct {
	time          *clock
	first, second *directory.Directory
	heartbeat     uint64
}

// announce sends the first registry a session of a proxy with one backend.
func (f *departureFixture) announce(incarnation uint64, instance, condition string) {
	f.heartbeat++
	f.time.now += monotonic.Second
	f.first.Observe(&wire.Session{
		Proxy: "one", Incarnation: incarnation, Heartbeat: f.heartbeat,
		Backends: []*wire.Backend{{Service: "forms", Instance: instance, Condition: condition}},
	}, true)
}

// publishedCondition returns the condition that a registry publishes for the proxy's backend.
func publishedCondition(t *testing.T, registry *directory.Directory) string {
	t.Helper()
	sessions := registry.UpdateSince(directory.Base{}).Sessions
	if len(sessions) != 1 || len(sessions[0].Backends) != 1 {
		t.Fatalf("published %v", sessions)
	}
	return sessions[0].Backends[0].Condition
}

// TestDeparturesOutliveIncarnations checks that a departed instance is published as leaving for a minute, even if the next incarnation of
// its proxy reports another condition, and also by a registry that knows only that incarnation. Other instances are not affected.
func TestDeparturesOutliveIncarnations(t *testing.T) {
	const nextIncarnation = 2
	for _, test := range []struct {
		name     string
		instance string
		start    monotonic.Micros
		wait     monotonic.Micros // from the departure to the next incarnation
		expected string
	}{
		{"the departed instance", "first", monotonic.Minute, monotonic.Second, wire.BackendLeaving},
		{"just within the minute", "first", monotonic.Minute, 58 * monotonic.Second, wire.BackendLeaving},
		{"after the minute", "first", monotonic.Minute, 61 * monotonic.Second, "working"},
		{"another instance", "second", monotonic.Minute, monotonic.Second, "working"},
		{"a clock below zero", "second", -monotonic.Minute * 9, monotonic.Second, "working"},
		{"a departure below zero", "first", -monotonic.Minute * 9, monotonic.Second, wire.BackendLeaving},
	} {
		t.Run(test.name, func(t *testing.T) {
			time := &clock{now: test.start}
			fixture := &departureFixture{time: time, first: directory.New(time, 1), second: directory.New(time, 2)}
			fixture.announce(1, "first", "working")
			fixture.announce(1, "first", wire.BackendLeaving)
			time.now += test.wait
			fixture.first.ExpireSessions()
			fixture.announce(nextIncarnation, test.instance, "working")
			for _, session := range fixture.first.DirectSessions() {
				fixture.second.Observe(session, false)
			}
			for name, registry := range map[string]*directory.Directory{"first": fixture.first, "second": fixture.second} {
				if condition := publishedCondition(t, registry); condition != test.expected {
					t.Errorf("the %s registry publishes %s, not %s", name, condition, test.expected)
				}
			}
		})
	}
}
