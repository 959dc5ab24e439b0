package scenario

import (
	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
)

// Topology is the size and configuration of a simulated mesh.
type Topology struct {
	// Cores is the number of core machines, each with a registry and a configuration store process.
	Cores int
	// Proxies is the number of proxies, each on a machine of its own.
	Proxies int
	// Zones is the number of zones that the proxies are spread over.
	Zones int
	// Backends is the number of backends for each service.
	Backends int
	// Services are the names of the services; forms and households if empty.
	Services []string
	// Slots is the number of concurrent requests that each backend reports as its capacity; zero if backends don't report it.
	Slots uint32
	// Timeouts are the configuration store's timeouts. They include whether proxies continue to serve without a lease.
	Timeouts configstore.Timeouts
	// DiscoverVoters gives core processes the initial voters at their first start only, as in a deployment that doesn't configure them.
	DiscoverVoters bool
	// Replicas is the number of replicas of a write; zero for the default.
	Replicas int
	// Voters is the number of voters wanted; zero for the default.
	Voters int
	// VoterTimeout is how long a voter may be unresponsive before it is replaced; zero for the default.
	VoterTimeout monotonic.Micros
	// Domains are the core machines' failure domains in the order of the machines; empty if unknown.
	Domains []string
	// RetainedVersions is how many configurations the store retains; zero for all of them.
	RetainedVersions int
	// DrainLinger is how long a proxy in a planned stop continues to accept requests.
	DrainLinger monotonic.Micros
	// KeyLease is how long proxies accept tenants' keys without contact to the core; zero for no limit.
	KeyLease monotonic.Micros
}

var (
	smallTopology = Topology{Cores: 3, Proxies: 4, Zones: 2, Backends: 3}
	// discoveredTopology is smallTopology with core processes that know the initial voters at their first start only.
	discoveredTopology = Topology{Cores: 3, Proxies: 4, Zones: 2, Backends: 3, DiscoverVoters: true}
	fourZoneTopology   = Topology{Cores: 4, Proxies: 4, Zones: 4, Backends: 3}
)

// Defects disable parts of the mesh, to show that the checkers detect it. The zero value disables nothing.
type Defects struct {
	NoProbeLease            bool   // proxies forward requests through a half-open breaker without leasing a probe
	TrustClock              bool   // the leader's clock is trusted although it may have been stepped
	SameRetryAfter          bool   // rejections have the same Retry-After for all callers
	NoClaims                bool   // idempotency keys are not claimed
	IgnoreDraining          bool   // a backend's announcement that it is draining is ignored
	NoIdentityCheck         bool   // backends are not asked for their identity
	NoServingLease          bool   // proxies serve without a live configuration lease
	NoSync                  bool   // syncs of disks do nothing
	AcceptTruncated         bool   // truncated responses are forwarded as if they were complete
	BreakerFault            string // the fault of the shared breaker records: one of package breakerstore's Fault constants
	NoRetryBudget           bool   // retries are unlimited
	NoDrain                 bool   // a planned stop of a proxy ends it at once
	NoRecovery              bool   // two core machines stay down at the end
	ClockStopsWhileFrozen   bool   // a process's clock stands still while it is frozen
	IgnoreSingletonExpiry   bool   // the owner of a singleton role keeps it beyond its lease
	ResetCounters           bool   // a new configuration version resets the breakers' counters
	WrongBase               bool   // differences between configurations are applied to whichever version a proxy has
	UncheckedDirectoryDelta bool   // differences between directories are applied to whichever version a proxy has
	NoPrimaryLease          bool   // a core primary answers without a lease from a majority
	AnySuccessor            bool   // any voter may become primary, whatever the state of its replica
	KeepVoterOnStop         bool   // a core process that stops as planned leaves its replica and its vote behind
	AllowContentConflicts   bool   // a configuration version may have several contents
	NoKeyLease              bool   // tenants' keys are accepted indefinitely without contact to the core
	ClaimPerService         bool   // an idempotency key is claimed for each service separately
}
