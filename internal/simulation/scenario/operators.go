package scenario

import (
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// ---- operators ----
// apply has an operator apply a content, asking again until the outcome is certain or patience ends.
func (m *Mesh) applyDesired(content []byte, any bool, expected uint64, timeout monotonic.Micros) *wire.ConfigApplyResponse {
	if m.onSubmit != nil {
		m.onSubmit(content)
	}
	sum, faults := m.recordRouting(content)
	request := &wire.ConfigApplyRequest{Content: content, AnyVersion: any, ExpectedVersion: expected, Request: fmt.Sprintf("apply-%x", m.External.Random())}
	defer func(over func(monotonic.Micros)) { over(m.World.Now()) }(m.History.BeginPlannedChange("a change of the desired state", m.World.Now()))
	deadline := m.World.Now() + timeout
	for m.World.Now() < deadline {
		leader := m.resolver.Leader(configstore.Group)
		response := &wire.ConfigApplyResponse{}
		if leader != "" && m.resolver.Call(leader, wire.Kind_config_apply, request, response, 20*monotonic.Second) == nil {
			m.History.RecordApply(invariants.AppliedConfig{Version: response.Version, Digest: response.Digest, Valid: len(faults) == 0, Outcome: response.Outcome, At: m.World.Now(), Sum: sum})
			m.latestVersion = max(m.latestVersion, response.Version)
			return response
		}
		m.resolver.Refresh()
		m.External.Sleep(200 * monotonic.Millisecond)
	}
	return nil
}

// permit notes where a content sends each kind of traffic, and tells what it does; or what is wrong with it.
func (m *Mesh) recordRouting(content []byte) (sum string, faults []config.FieldError) {
	state, faults := config.Parse(content)
	if state == nil || len(faults) > 0 {
		return "", faults
	}
	view := config.Compile(state, 0, "")
	for _, sample := range m.samples {
		path, _ := view.Resolve("", sample.method, sample.path)
		for _, share := range path.Split {
			if _, has := path.FindService(share.Service.Name); has {
				m.History.AllowRoute(sample.kind, share.Service.Name, m.World.Now())
			}
		}
	}
	return view.Fingerprint(), nil
}

// readBackVersions reads the history of desired states at the end.
func (m *Mesh) readBackVersions() {
	for range 100 {
		response := &wire.ConfigReadResponse{}
		leader := m.resolver.Leader(configstore.Group)
		if leader != "" && m.resolver.Call(leader, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, response, 2*monotonic.Second) == nil {
			for _, stored := range response.Versions {
				m.History.ReadBack = append(m.History.ReadBack, invariants.ReadBack{Version: stored.Version, Digest: stored.Digest})
			}
			m.History.ReadBackComplete = true
			return
		}
		m.resolver.Refresh()
		m.External.Sleep(300 * monotonic.Millisecond)
	}
}
