package api

import (
	"encoding/json"

	"snowflow/internal/configstore"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// statusTimeout is the timeout of the status request to one process.
	statusTimeout = 1500 * monotonic.Millisecond
	// gatherTimeout is the timeout for the responses of all processes of a group.
	gatherTimeout = 2 * monotonic.Second
)

// Overview is the status of the control plane as seen by one configuration store process.
type Overview struct {
	// ConfigStores and Registries are the status documents of the processes, by process name.
	ConfigStores map[string]json.RawMessage `json:"postmasters"`
	Registries   map[string]json.RawMessage `json:"sorters"`
	// Missing maps each process that didn't respond, named by its group and its name, to the reason.
	Missing   map[string]string   `json:"missing"`
	Addresses []*wire.PeerAddress `json:"addresses"`
}

// overview requests the status of all control-plane processes.
func (h *handler) overview() Overview {
	overview := Overview{
		ConfigStores: map[string]json.RawMessage{},
		Registries:   map[string]json.RawMessage{},
		Missing:      map[string]string{},
		Addresses:    h.resolver.Peers(),
	}
	h.gatherStatus(configstore.Group, wire.Kind_configstore_status, overview.ConfigStores, overview.Missing)
	h.gatherStatus(discovery.RegistryGroup, wire.Kind_registry_status, overview.Registries, overview.Missing)
	return overview
}

// gatherStatus requests the status of all members of a group in parallel. It adds the responses to statuses and the members that
// didn't respond to missing.
func (h *handler) gatherStatus(group string, kind wire.Kind, statuses map[string]json.RawMessage, missing map[string]string) {
	members := h.resolver.Members(group)
	call := func(name string) (*wire.StatusResponse, error) {
		response := &wire.StatusResponse{}
		return response, h.resolver.Call(name, kind, &wire.StatusRequest{}, response, statusTimeout)
	}
	waitForAll := func(map[string]*wire.StatusResponse, int) bool { return false }
	replies := host.Gather(h.host, members, gatherTimeout, call, waitForAll)
	for _, name := range members {
		if reply := replies[name]; reply != nil {
			statuses[name] = reply.Json
		} else {
			missing[group+" "+name] = "no answer"
		}
	}
}
