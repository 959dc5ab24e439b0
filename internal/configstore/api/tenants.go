package api

import (
	"errors"
	"net/http"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// TenantState is a tenant of the newest version as it's shown to operators.
type TenantState struct {
	Name     string `json:"name"`
	Priority uint32 `json:"priority"`
	// Keys are the beginnings of the digests of the tenant's keys.
	Keys []string `json:"keys"`
}

// TenantList is the body of a response that lists tenants. Version is zero if there is no version.
type TenantList struct {
	Version uint64        `json:"serial"`
	Tenants []TenantState `json:"tenants"`
}

// listTenants serves GET /tenants.
func (h *handler) listTenants(w http.ResponseWriter, _ *http.Request) {
	list := TenantList{Tenants: []TenantState{}}
	stored, set, err := h.readSet(0)
	if errors.Is(err, errVersionNotFound) {
		writeJSON(w, http.StatusOK, list)
		return
	}
	if err != nil {
		writeReadError(w, err)
		return
	}
	list.Version = stored.Version
	for _, resource := range set.All() {
		if tenant, isTenant := resource.Message.(*wire.TenantInForce); isTenant {
			list.Tenants = append(list.Tenants, describeTenant(tenant))
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func describeTenant(tenant *wire.TenantInForce) TenantState {
	described := TenantState{Name: tenant.Name, Priority: tenant.Priority, Keys: []string{}}
	for _, digest := range tenant.KeyDigests {
		described.Keys = append(described.Keys, config.ShortDigest(digest))
	}
	return described
}
