package configstore

import (
	"snowflow/internal/config"
	"snowflow/internal/configstore/differences"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Group is the name of the configuration stores' replication group.
const Group = discovery.ConfigStoreGroup

// Options are the dependencies and settings of a Server.
type Options struct {
	Host     host.Host
	Resolver *discovery.Resolver
	// Name is this process's own name, unique in the group.
	Name string
	// Voters are the group's members when it is started for the first time. Afterwards membership comes from the disk.
	Voters []string
	// Bootstrap lets this process take part in the group's first start.
	Bootstrap bool
	// AdjustReplication may change the replication options before the member is opened. Nil changes nothing.
	AdjustReplication func(*replication.Config)
	// Timeouts are the durations of leases, polls and waits. Zero fields take their values from DefaultTimeouts.
	Timeouts Timeouts
	// Parse reads configurations when they are applied and when they are compared, config.Parse if nil.
	Parse config.Parser
	// HistoryLimit is the most versions that are stored, without a limit if zero. It must be the same at every member, because
	// the state machine's results depend on it.
	HistoryLimit int
	// DifferenceLimits bound the parsed versions that are cached to compute differences. Zero fields take their values from
	// differences.DefaultLimits.
	DifferenceLimits differences.Limits
	// AllowVersionReuse acknowledges several contents under one version number. It's a deliberate fault with which tests show
	// that their checkers notice it; no program sets it.
	AllowVersionReuse bool
	// OnAdopted is called when a proxy reports for the first time that it has adopted the newest version, with the time since
	// this process learned of that version. It must not block. Nil calls nothing.
	OnAdopted func(proxy string, version uint64, adoptionTime monotonic.Micros)
	// OnAccepted is called with all stored versions, oldest first, whenever this process as primary accepts one and shortly
	// after it becomes primary. It must not block or change them. Nil calls nothing.
	OnAccepted func(configs []*wire.StoredConfig)
}
