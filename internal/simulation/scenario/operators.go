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
	// applyAttemptTimeout is the timeout of an operator's single attempt to apply a desired state.
	applyAttemptTimeout = 20 * monotonic.Second
	applyRetryInterval  = 200 * monotonic.Millisecond

	readBackAttempts      = 100
	readBackTimeout       = 2 * monotonic.Second
	readBackRetryInterval = 300 * monotonic.Millisecond
)

// applyDesired applies a desired state as an operator does, over any stored version or only over the expected one. It retries until
// the outcome is known, and returns nil if that is not the case within the timeout.
func (m *Mesh) applyDesired(content []byte, anyVersion bool, expected uint64, timeout monotonic.Micros) *wire.ConfigApplyResponse {
	if m.onSubmit != nil {
		m.onSubmit(content)
	}
	sum, fieldErrors := m.recordRouting(content)
	request := &wire.ConfigApplyRequest{Content: content, AnyVersion: anyVersion, ExpectedVersion: expected, Request: fmt.Sprintf("apply-%x", m.External.Random())}
	end := m.History.BeginPlannedChange("a change of the desired state", m.World.Now())
	defer func() { end(m.World.Now()) }()
	deadline := m.World.Now() + timeout
	for m.World.Now() < deadline {
		primary := m.resolver.PrimaryName(configstore.Group)
		response := &wire.ConfigApplyResponse{}
		if primary != "" && m.resolver.Call(primary, wire.Kind_config_apply, request, response, applyAttemptTimeout) == nil {
			m.History.RecordApply(invariants.AppliedConfig{
				Version: response.Version,
				Digest:  response.Digest,
				Valid:   len(fieldErrors) == 0,
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

// startApply starts an operator that applies a desired state over any stored version.
func (m *Mesh) startApply(content []byte, timeout monotonic.Micros) {
	m.External.Go(func() { m.applyDesired(content, true, 0, timeout) })
}

// accepted reports whether an operator's change was acknowledged. A nil response means that it was not.
func accepted(response *wire.ConfigApplyResponse) bool {
	return response != nil && response.Outcome == versions.Accepted
}

// recordRouting records where a desired state routes each kind of traffic, and returns the fingerprint of the compiled state. If the
// desired state is invalid, it records nothing and returns the errors.
func (m *Mesh) recordRouting(content []byte) (sum string, fieldErrors []config.FieldError) {
	state, fieldErrors := config.Parse(content)
	if state == nil || len(fieldErrors) > 0 {
		return "", fieldErrors
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
		primary := m.resolver.PrimaryName(configstore.Group)
		if primary != "" && m.resolver.Call(primary, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, response, readBackTimeout) == nil {
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
