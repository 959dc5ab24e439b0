package scenario

import (
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// Faults and replacements of backends.
var (
	misbehaveBackend = fault{"make a backend misbehave", func(m *Mesh) {
		if live := m.liveBackends(""); len(live) > 0 {
			backend := pick(m, live)
			misbehavior := pick(m, []behavior{failing, losing, truncating, notExecuting, slow, mixed})
			m.misbehaveFor(backend, misbehavior, m.randomDuration(monotonic.Second, 8*monotonic.Second))
		}
	}}
	failService = fault{"make a whole service fail", func(m *Mesh) {
		service := pick(m, []string{formsService, householdsService})
		misbehavior := pick(m, []behavior{failing, notExecuting, losing})
		backends := m.liveBackends(service)
		setBehavior(backends, misbehavior)
		m.after(m.randomDuration(7*monotonic.Second, 10*monotonic.Second), func() { setBehavior(backends, healthy) })
	}}
	// failServiceWithMarkers marks the start and the end of the failure for the rule that a caller's degraded network must not affect
	// other callers.
	failServiceWithMarkers = fault{"make a whole service fail, with markers", func(m *Mesh) {
		backends := m.liveBackends(pick(m, []string{formsService, householdsService}))
		setBehavior(backends, failing)
		m.History.RecordMarker(invariants.MarkerServiceFailing, m.World.Now())
		m.after(8*monotonic.Second, func() {
			setBehavior(backends, healthy)
			m.History.RecordMarker(invariants.MarkerServiceRecovered, m.World.Now())
		})
	}}
	slowBackends = fault{"make half of all backends slow", func(m *Mesh) {
		for index, backend := range m.liveBackends("") {
			if index%2 == 0 {
				m.misbehaveFor(backend, slow, 10*monotonic.Second)
			}
		}
	}}
	replaceBackend = fault{"replace a backend", func(m *Mesh) {
		if live := m.liveBackends(""); len(live) > 0 {
			replaced := pick(m, live)
			m.startReplacement(replaced)
			m.drainBackend(replaced)
		}
	}}
	reuseAddress = fault{"end a backend and reuse its address for another service", func(m *Mesh) {
		live := m.liveBackends("")
		if len(live) < 4 {
			return
		}
		ended := pick(m, live)
		ended.up = false
		otherService := map[string]string{formsService: householdsService, householdsService: formsService}[ended.service]
		m.after(2*monotonic.Second, func() {
			m.startBackend(otherService, ended.proxy, ended.address, m.randomDuration(0, 4*monotonic.Second))
		})
		m.startReplacement(ended)
	}}
)

func setBehavior(backends []*simulatedBackend, newBehavior behavior) {
	for _, backend := range backends {
		backend.behavior = newBehavior
	}
}

// trafficSurge adds ten times the usual traffic for a while, with the usual mix of reads and submissions.
var trafficSurge = fault{"a surge of traffic", func(m *Mesh) {
	m.surgeCount++
	until := m.World.Now() + 4*monotonic.Second
	m.sendAtRate(m.surgeCount*1_000_000, 300, func() bool { return m.serving && m.World.Now() < until })
}}
