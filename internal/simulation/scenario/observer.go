package scenario

import (
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/config"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

const (
	observationInterval = 100 * monotonic.Millisecond
	// startupPeriod is how long a proxy that has started may take to read the shared breaker records.
	startupPeriod = 5 * monotonic.Second
)

// startObserver records the shared breaker records and the proxies' configurations at intervals until the end of the run.
func (m *Mesh) startObserver() {
	m.External.Go(func() {
		for {
			m.External.Sleep(observationInterval)
			m.observeBreakers()
			m.observeProxies()
		}
	})
}

// observeBreakers records the shared breaker records of each registry process that serves as primary.
func (m *Mesh) observeBreakers() {
	for _, name := range slices.Sorted(maps.Keys(m.registries)) {
		if !m.World.Node(name).Up() || !m.registries[name].Member.Serving() {
			continue
		}
		for _, record := range m.registries[name].Breakers() {
			m.History.RecordBreaker(invariants.ObserveBreaker(record, m.World.Now(), name, m.localVerdictPossible()))
		}
	}
}

// observeProxies records the configuration that each proxy serves with, and the counters of its breakers.
func (m *Mesh) observeProxies() {
	for _, name := range m.proxyNames {
		snapshot, live := m.proxies[name].ConfigClient.Current()
		if !live || !m.World.Node(name).Up() {
			continue
		}
		m.observeSnapshot(name, snapshot)
		if m.recordCallCounts {
			m.observeCallCounts(name)
		}
	}
}

func (m *Mesh) observeSnapshot(name string, snapshot *config.Snapshot) {
	if m.contentSums[snapshot] == "" {
		m.contentSums[snapshot] = snapshot.Fingerprint()
		if m.defects.ResetCounters {
			breakers := m.proxies[name].Breakers
			for _, status := range breakers.Statuses() {
				_ = breakers.SetControl(status.Service, "reset")
			}
		}
	}
	m.History.RecordActiveConfig(invariants.ActiveConfig{Proxy: name, Version: snapshot.Version, At: m.World.Now(), Sum: m.contentSums[snapshot]})
}

func (m *Mesh) observeCallCounts(name string) {
	instance := m.proxies[name]
	for _, status := range instance.Breakers.Statuses() {
		m.History.RecordCallCounts(invariants.CallCounts{
			Proxy:        name,
			Incarnation:  instance.Incarnation(),
			Service:      status.Service,
			BreakerState: fmt.Sprint(status.Shared, status.Version, status.Local, status.Control),
			Calls:        status.Calls,
			Window:       status.Window,
			At:           m.World.Now(),
		})
	}
}

// localVerdictPossible reports whether a breaker of some proxy may decide by the proxy's own window instead of the shared record.
func (m *Mesh) localVerdictPossible() bool {
	return slices.ContainsFunc(m.proxyNames, func(name string) bool {
		node, instance := m.World.Node(name), m.proxies[name]
		return !node.Up() || m.World.Frozen(node) || instance.Breakers.Degraded() || instance.Now()-m.startedAt[name] < startupPeriod
	})
}
