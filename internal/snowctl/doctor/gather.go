package doctor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// errNoResponse is returned by Gather if no address responded.
var errNoResponse = errors.New("no configuration store responded")

// MeshStatus is the status of a mesh as reported by one configuration store.
type MeshStatus struct {
	Overview     api.Overview
	ConfigStores map[string]configstore.Status // by name
	Registries   map[string]registry.Status    // by name
	Unreachable  []string                      // addresses that did not respond, with the reason
	QueriedAt    int64                         // this machine's wall clock before the last request, in microseconds since 1970
}

// Gather requests the mesh's status from all addresses and returns that of the first one that responds. It returns an error if none
// responds within the timeout.
func Gather(addresses []string, timeout time.Duration) (MeshStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	mesh := MeshStatus{ConfigStores: map[string]configstore.Status{}, Registries: map[string]registry.Status{}}
	reached := false
	for _, address := range addresses {
		var overview api.Overview
		mesh.QueriedAt = time.Now().UnixMicro()
		if err := fetchStatus(ctx, address, &overview); err != nil {
			mesh.Unreachable = append(mesh.Unreachable, fmt.Sprintf("%s (%v)", address, err))
			continue
		}
		if !reached {
			mesh.Overview, reached = overview, true
		}
	}
	if !reached {
		return mesh, fmt.Errorf("%w: %v", errNoResponse, mesh.Unreachable)
	}
	mesh.decode()
	return mesh, nil
}

func fetchStatus(ctx context.Context, address string, into *api.Overview) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return err
	}
	return json.Unmarshal(content, into)
}

// decode decodes the processes' status documents. It omits those that it can't decode, such as those of another release.
func (m *MeshStatus) decode() {
	for name, content := range m.Overview.ConfigStores {
		var status configstore.Status
		if json.Unmarshal(content, &status) == nil {
			m.ConfigStores[name] = status
		}
	}
	for name, content := range m.Overview.Registries {
		var status registry.Status
		if json.Unmarshal(content, &status) == nil {
			m.Registries[name] = status
		}
	}
}

// members returns the status of the members of both groups, sorted by name, configuration stores first.
func (m MeshStatus) members() (all []replication.Status) {
	for _, name := range slices.Sorted(maps.Keys(m.ConfigStores)) {
		all = append(all, m.ConfigStores[name].Core)
	}
	for _, name := range slices.Sorted(maps.Keys(m.Registries)) {
		all = append(all, m.Registries[name].Replication)
	}
	return all
}

// servingConfigStore returns the status of the configuration stores' primary, the only one that grants leases.
func (m MeshStatus) servingConfigStore() (status configstore.Status, known bool) {
	for _, name := range slices.Sorted(maps.Keys(m.ConfigStores)) {
		if status := m.ConfigStores[name]; status.Core.Serving {
			return status, true
		}
	}
	return configstore.Status{}, false
}

// servingRegistry returns the status of the registry's primary, the only one whose status contains the breakers.
func (m MeshStatus) servingRegistry() (status registry.Status, known bool) {
	for _, name := range slices.Sorted(maps.Keys(m.Registries)) {
		if status := m.Registries[name]; status.Replication.Serving {
			return status, true
		}
	}
	return registry.Status{}, false
}

// sessions returns the proxies' sessions as known to the registry's primary or, if there is none, to the first member by name.
func (m MeshStatus) sessions() []*wire.Session {
	if status, known := m.servingRegistry(); known {
		return status.Proxies
	}
	for _, name := range slices.Sorted(maps.Keys(m.Registries)) {
		return m.Registries[name].Proxies
	}
	return nil
}
