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
	// Slots is how many requests each backend reports to run at once; zero if it reports none.
	Slots uint32
	// Timeouts are the configuration store's, with the choice whether proxies serve on without a lease.
	Timeouts configstore.Timeouts
	// DiscoverVoters lets core processes know the initial voters at their first start only, as where nobody configures them.
	DiscoverVoters bool
	// Replicas is the number of replicas of a write; zero for the default.
	Replicas int
	// Voters is the wanted number of voters; zero for the default.
	Voters int
	// VoterTimeout is how long a voter may be away before it is replaced; zero for the default.
	VoterTimeout monotonic.Micros
	// Domains are the core machines' failure domains in the order of the machines; empty if unknown.
	Domains []string
	// RetainedVersions is how many configurations the store retains; zero for all of them.
	RetainedVersions int
	// DrainLinger is how long a proxy that stops as planned goes on accepting requests.
	DrainLinger monotonic.Micros
	// KeyLease is how long proxies rely on tenants' keys without contact; zero for good.
	KeyLease monotonic.Micros
}

var (
	smallTopology = Topology{Cores: 3, Proxies: 4, Zones: 2, Backends: 3}
	// discoveredTopology is a small mesh whose core processes know their voters at the first start only.
	discoveredTopology = Topology{Cores: 3, Proxies: 4, Zones: 2, Backends: 3, DiscoverVoters: true}
	fourZoneTopology   = Topology{Cores: 4, Proxies: 4, Zones: 4, Backends: 3}
)

// Defects turn parts of the mesh off, to show that the checkers detect it. The zero value turns off nothing.
type Defects struct {
	NoProbeLease            bool   // proxies forward requests through a half-open breaker without leasing a probe
	TrustClock              bool   // the leader's clock is trusted although it may have been stepped
	SameRetryAfter          bool   // rejections name the same Retry-After to all callers
	NoClaims                bool   // idempotency keys are not claimed
	IgnoreDraining          bool   // backends' announcements that they are draining are ignored
	NoIdentityCheck         bool   // backends are not asked for their identity
	NoServingLease          bool   // proxies serve without a live configuration lease
	NoSync                  bool   // syncs of disks do nothing
	AcceptTruncated         bool   // truncated responses are forwarded as if they were complete
	BreakerFault                string // what is wrong with the shared breaker records: one of package breakerstore's fault names
	NoRetryBudget           bool   // retries are unlimited
	NoDrain                 bool   // a planned stop of a proxy ends it at once
	NoRecovery              bool   // two core machines stay down at the end
	ClockStopsWhileFrozen   bool   // a process's clock stands still while it is frozen
	IgnoreSingletonExpiry        bool   // the owner of a singleton role keeps it beyond its lease
	ResetCounters           bool   // a new configuration version resets the breakers' counters
	WrongBase               bool   // differences between configurations are applied onto whatever a proxy has
	UncheckedDirectoryDelta bool   // differences between directories are applied onto whatever a proxy has
	NoPrimaryLease          bool   // a core primary answers without the lease of a majority
	AnySuccessor            bool   // any voter may become primary, whatever its replica holds
	KeepVoterOnStop         bool   // a core process that stops as planned leaves its replica and its vote behind
	AllowContentConflicts   bool   // a configuration version may stand for several contents
	NoKeyLease              bool   // tenants' keys are relied on without contact to the core
	ClaimPerService         bool   // idempotency keys are claimed for one service only
}
