package registry

import (
	"encoding/json"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Status is a registry's status page. The JSON keys are read by operators' tools and keep their earlier names.
type Status struct {
	Replication replication.Status `json:"core"`
	Proxies     []*wire.Session    `json:"carriers"`
	// The following are set at the serving primary only.
	Breakers   []*wire.BreakerRecord        `json:"guards,omitempty"`
	Claims     int                          `json:"claims"`
	Leases     []*wire.SingletonLeaseRecord `json:"duties,omitempty"`
	LeaderTime int64                        `json:"holder_time"` // of the leader clock, in microseconds
}

// Status returns the present status.
func (r *Registry) Status() Status {
	status := Status{Replication: r.Member.Status(), Proxies: r.directory.Sessions()}
	r.Member.Read(func(_ uint64, now monotonic.Micros) {
		status.Breakers = r.machine.Breakers.Records()
		status.Claims = r.machine.Claims.Len()
		status.Leases = r.machine.Leases.Records()
		status.LeaderTime = int64(now)
	})
	return status
}

// handleStatus returns the status page, for the overview of a configuration store.
func (r *Registry) handleStatus(*wire.StatusRequest) (*wire.StatusResponse, error) {
	content, err := json.Marshal(r.Status())
	return &wire.StatusResponse{Json: content}, err
}
