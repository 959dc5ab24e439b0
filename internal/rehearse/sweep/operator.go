package sweep

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/monotonic"
	"snowflow/internal/rehearse/hollow"
	"snowflow/internal/transport/wire"
)

// nextConfig writes the next configuration as JSON. Each differs from the one before in its note and, if there are routes, in the
// timeout of one of them.
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

// callPrimary sends a request to a group's primary and retries every 10 ms until it succeeds or timeout has passed. It returns the
// last error.
func (m *measurement) callPrimary(group string, timeout time.Duration, request func(name string, left monotonic.Micros) error) error {
	deadline, err := time.Now().Add(timeout), errors.New("no primary is known")
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

// apply applies the next configuration. It returns the accepted version and the seconds until it was acknowledged.
func (m *measurement) apply(timeout time.Duration) (version uint64, took float64, err error) {
	content, err := m.nextConfig()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	request := &wire.ConfigApplyRequest{Content: content, AnyVersion: true, Request: strconv.Itoa(m.version)}
	response := &wire.ConfigApplyResponse{}
	err = m.callPrimary(configStoreGroup, timeout, func(name string, left monotonic.Micros) error {
		return m.resolver.Call(name, wire.Kind_config_apply, request, response, left)
	})
	if err == nil && response.Outcome != "accepted" {
		err = fmt.Errorf("a change was not accepted: %s %v", response.Outcome, response.Errors)
	}
	return response.Version, time.Since(began).Seconds(), err
}
