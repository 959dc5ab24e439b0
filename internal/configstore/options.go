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
	// Name is this process's name, which is unique in the group.
	Name string
	// Voters are the group's initial members. After the group's first start the membership is read from disk.
	Voters []string
	// Bootstrap lets this process take part in the group's first start.
	Bootstrap bool
	// AdjustReplication may change the replication options before the member is opened. Nil changes nothing.
	AdjustReplication func(*replication.Config)
	// Timeouts are the durations of leases, polls and waits. Zero fields default to those of DefaultTimeouts.
	Timeouts Timeouts
	// Parse parses configurations that are applied or compared. Nil means config.Parse.
	Parse config.Parser
	// HistoryLimit is the maximum number of stored versions; zero means no limit. It must be the same at every member, because
	// the state machine's results depend on it.
	HistoryLimit int
	// DifferenceLimits limit the cache of parsed versions from which differences are computed. Zero fields default to those of
	// differences.DefaultLimits.
	DifferenceLimits differences.Limits
	// AllowVersionReuse acknowledges several contents under one version number. Tests inject this fault to show that their
	// checkers detect it; no program sets it.
	AllowVersionReuse bool
	// OnAdopted, if not nil, is called when a proxy first reports that it has adopted the newest version, with the time since
	// this process learned of that version. It must not block.
	OnAdopted func(proxy string, version uint64, adoptionTime monotonic.Micros)
	// OnAccepted, if not nil, is called with all stored versions, oldest first, whenever this process accepts one as primary, and
	// shortly after it becomes primary. It must not block or modify them.
	OnAccepted func(configs []*wire.StoredConfig)
}
