package sweep

import (
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/monotonic"
	"snowflow/internal/rehearse/hollow"
	"snowflow/internal/transport/wire"
)

// nextConfig returns the next configuration as JSON. It differs from the previous one in its note and, if there are routes, in which
// route has a timeout and in the timeout's value.
func (m *measurement) nextConfig() ([]byte, error) {
	m.version++
	state := &wire.DesiredState{Note: fmt.Sprintf("change %d", m.version), Groups: []*wire.Group{{Name: "all"}}}
	for index := range m.size.Services {
		state.Groups[0].Services = append(state.Groups[0].Services, &wire.Service{Name: hollow.ServiceName(index),
			Paths: []*wire.Path{{Method: "POST", Prefix: fmt.Sprintf("/s/%04d", index), Class: wire.Path_once}}})
	}
	for index := range m.size.Routes {
		route := &wire.Route{Name: fmt.Sprintf("route-%06d", index), Method: "GET", Prefix: fmt.Sprintf("/r/%06d", index), Class: wire.Path_read,
			Split: []*wire.Share{{Service: hollow.ServiceName(index % m.size.Services), Weight: 1}}}
		if index == m.version%m.size.Routes {
			timeoutMicros := int64(1000000 + m.version)
			route.CutoffMicros = &timeoutMicros
		}
		state.Routes = append(state.Routes, route)
	}
	content, err := protojson.Marshal(state)
	m.run.ConfigBytes = len(content)
	return content, err
}

// callPrimary sends a request to the primary of a replication group and retries every 10 ms until it succeeds or timeout has passed. It
// returns the last error.
func (m *measurement) callPrimary(group string, timeout time.Duration, request func(name string, timeLeft monotonic.Micros) error) error {
	deadline, err := time.Now().Add(timeout), fmt.Errorf("no primary of the group %q is known", group)
	for time.Now().Before(deadline) {
		if name := m.resolver.PrimaryName(group); name != "" {
			if err = request(name, monotonic.FromDuration(time.Until(deadline))); err == nil {
				return nil
			}
		}
		m.resolver.Refresh()
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// apply applies the next configuration. It returns the accepted version and the seconds until the change was acknowledged.
func (m *measurement) apply(timeout time.Duration) (version uint64, seconds float64, err error) {
	content, err := m.nextConfig()
	if err != nil {
		return 0, 0, err
	}
	started := time.Now()
	request := &wire.ConfigApplyRequest{Content: content, AnyVersion: true, Request: strconv.Itoa(m.version)}
	response := &wire.ConfigApplyResponse{}
	err = m.callPrimary(configStoreGroup, timeout, func(name string, timeLeft monotonic.Micros) error {
		return m.resolver.Call(name, wire.Kind_config_apply, request, response, timeLeft)
	})
	if err == nil && response.Outcome != "accepted" {
		err = fmt.Errorf("the configuration was not accepted: %s %v", response.Outcome, response.Errors)
	}
	return response.Version, time.Since(started).Seconds(), err
}
