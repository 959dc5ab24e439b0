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

// errNoResponse is the error of Gather if no address responded.
var errNoResponse = errors.New("no configuration store responded")

// MeshStatus is the status of a mesh as one configuration store gave it.
type MeshStatus struct {
	Overview     api.Overview
	ConfigStores map[string]configstore.Status // by name
	Registries   map[string]registry.Status    // by name
	Unreachable  []string                      // addresses that did not respond, with the reason
	QueriedAt    int64                         // this machine's wall clock at the last request, in microseconds since 1970
}

// Gather requests the mesh's status from all addresses and takes that of the first one that responds. It fails if none does within
// the timeout.
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

// decode reads the processes' own descriptions. One that cannot be read, as of another release, is left out.
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

// members lists the members of both groups, configuration stores first, by name.
func (m MeshStatus) members() (all []replication.Status) {
	for _, name := range slices.Sorted(maps.Keys(m.ConfigStores)) {
		all = append(all, m.ConfigStores[name].Core)
	}
	for _, name := range slices.Sorted(maps.Keys(m.Registries)) {
		all = append(all, m.Registries[name].Replication)
	}
	return all
}

// servingConfigStore is the configuration store's primary, which alone grants leases.
func (m MeshStatus) servingConfigStore() (status configstore.Status, known bool) {
	for _, name := range slices.Sorted(maps.Keys(m.ConfigStores)) {
		if status := m.ConfigStores[name]; status.Core.Serving {
			return status, true
		}
	}
	return configstore.Status{}, false
}

// servingRegistry is the registry's primary. Only the primary's status contains the breakers.
func (m MeshStatus) servingRegistry() (status registry.Status, known bool) {
	for _, name := range slices.Sorted(maps.Keys(m.Registries)) {
		if status := m.Registries[name]; status.Replication.Serving {
			return status, true
		}
	}
	return registry.Status{}, false
}

// sessions are the proxies' sessions as the registry's primary knows them; without a primary, as another member does.
func (m MeshStatus) sessions() []*wire.Session {
	if status, known := m.servingRegistry(); known {
		return status.Proxies
	}
	for _, name := range slices.Sorted(maps.Keys(m.Registries)) {
		return m.Registries[name].Proxies
	}
	return nil
}
