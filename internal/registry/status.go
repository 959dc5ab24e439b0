package registry

import (
	"encoding/json"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Status is a registry's status page. Operators' tools read the JSON keys, so these keep names that the code no longer uses.
type Status struct {
	Replication replication.Status `json:"core"`
	Proxies     []*wire.Session    `json:"carriers"`
	// The following fields are set only on the serving primary.
	Breakers   []*wire.BreakerRecord        `json:"guards,omitempty"`
	Claims     int                          `json:"claims"`
	Leases     []*wire.SingletonLeaseRecord `json:"duties,omitempty"`
	LeaderTime int64                        `json:"holder_time"` // the leader clock, in microseconds
}

// Status returns the current status.
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

// handleStatus returns the status page. The configuration store requests it for its overview.
func (r *Registry) handleStatus(*wire.StatusRequest) (*wire.StatusResponse, error) {
	content, err := json.Marshal(r.Status())
	return &wire.StatusResponse{Json: content}, err
}
