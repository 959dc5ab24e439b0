package scenario

import (
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// applyAttemptTimeout bounds one attempt of an operator to apply a content.
	applyAttemptTimeout = 20 * monotonic.Second
	applyRetryInterval  = 200 * monotonic.Millisecond

	readBackAttempts      = 100
	readBackTimeout       = 2 * monotonic.Second
	readBackRetryInterval = 300 * monotonic.Millisecond
)

// applyDesired has an operator apply a content, on any version or on the expected one, and retry until the outcome is certain or
// the timeout ends. Then it returns nil.
func (m *Mesh) applyDesired(content []byte, anyVersion bool, expected uint64, timeout monotonic.Micros) *wire.ConfigApplyResponse {
	if m.onSubmit != nil {
		m.onSubmit(content)
	}
	sum, faults := m.recordRouting(content)
	request := &wire.ConfigApplyRequest{Content: content, AnyVersion: anyVersion, ExpectedVersion: expected, Request: fmt.Sprintf("apply-%x", m.External.Random())}
	end := m.History.BeginPlannedChange("a change of the desired state", m.World.Now())
	defer func() { end(m.World.Now()) }()
	deadline := m.World.Now() + timeout
	for m.World.Now() < deadline {
		leader := m.resolver.PrimaryName(configstore.Group)
		response := &wire.ConfigApplyResponse{}
		if leader != "" && m.resolver.Call(leader, wire.Kind_config_apply, request, response, applyAttemptTimeout) == nil {
			m.History.RecordApply(invariants.AppliedConfig{
				Version: response.Version,
				Digest:  response.Digest,
				Valid:   len(faults) == 0,
				Outcome: response.Outcome,
				At:      m.World.Now(),
				Sum:     sum,
			})
			m.latestVersion = max(m.latestVersion, response.Version)
			return response
		}
		m.resolver.Refresh()
		m.External.Sleep(applyRetryInterval)
	}
	return nil
}

// startApply has an operator apply a content over whatever is stored.
func (m *Mesh) startApply(content []byte, timeout monotonic.Micros) {
	m.External.Go(func() { m.applyDesired(content, true, 0, timeout) })
}

// accepted reports whether an operator's change was acknowledged. A nil response was not.
func accepted(response *wire.ConfigApplyResponse) bool {
	return response != nil && response.Outcome == versions.Accepted
}

// recordRouting records where a content routes each kind of traffic, and returns the checksum of the compiled content. For an
// invalid one it records nothing and returns what is wrong with it.
func (m *Mesh) recordRouting(content []byte) (sum string, faults []config.FieldError) {
	state, faults := config.Parse(content)
	if state == nil || len(faults) > 0 {
		return "", faults
	}
	snapshot := config.Compile(state, 0, "")
	for _, sample := range m.samples {
		path, _ := snapshot.Resolve("", sample.method, sample.path)
		for _, share := range path.Split {
			if _, found := path.FindService(share.Service.Name); found {
				m.History.AllowRoute(sample.kind, share.Service.Name, m.World.Now())
			}
		}
	}
	return snapshot.Fingerprint(), nil
}

// readBackVersions records all stored configurations at the end of a run.
func (m *Mesh) readBackVersions() {
	for range readBackAttempts {
		response := &wire.ConfigReadResponse{}
		leader := m.resolver.PrimaryName(configstore.Group)
		if leader != "" && m.resolver.Call(leader, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, response, readBackTimeout) == nil {
			for _, stored := range response.Versions {
				m.History.ReadBack = append(m.History.ReadBack, invariants.ReadBack{Version: stored.Version, Digest: stored.Digest})
			}
			m.History.ReadBackComplete = true
			return
		}
		m.resolver.Refresh()
		m.External.Sleep(readBackRetryInterval)
	}
}
