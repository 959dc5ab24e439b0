package invariants

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Attempt is one request as its caller saw it.
type Attempt struct {
	ID             string
	Key            string // the idempotency key; empty for reads
	Kind           string // the kind of traffic, to group attempts by
	Proxy          string // the name of the proxy that the request was sent to
	Method         string
	Path           string
	Sent           monotonic.Micros
	Ended          monotonic.Micros // zero while the attempt is in flight
	Status         int              // zero without a response
	RejectedByMesh bool             // the mesh itself rejected the request
	Cause          int              // the mesh's cause of the rejection
	NotRun         bool             // the rejection states that the request has not run
	Version        uint64           // the configuration version that the request was handled by; zero if unknown
	Echo           string           // the attempt ID that the response names
	Complete       bool             // the response's body matches the checksum that the backend sent with it
	Sum            string           // the checksum of the body as it arrived
	Instance       string           // the backend instance that responded
	TransportError string           // the error of an attempt that ended without a response
	RetryAfterSet  bool             // the response had a Retry-After header
	// ReadByProxy is true if the proxy has certainly read the request and was ended by nothing but a planned stop. Such a request
	// must be answered.
	ReadByProxy bool
	// TenantKey is the tenant's key that the request bears, empty for none. Anonymous is set if its route needs none.
	TenantKey string
	Anonymous bool
}

// succeeded reports whether a backend's response with a status of 2xx reached the caller.
func (a *Attempt) succeeded() bool { return !a.RejectedByMesh && a.Status >= 200 && a.Status < 300 }

// BackendRequest is one request as a backend saw it.
type BackendRequest struct {
	Attempt       string // the caller's attempt ID
	AttemptNumber int    // 1 for the first forwarding of the request, more for its retries
	Key           string // the idempotency key; empty for reads
	Service       string
	Instance      string
	Method        string
	Path          string
	At            monotonic.Micros
	Tenant        string // whose the request is, as the backend is told; empty for nobody's
	TenantKey     string // a tenant's key that the backend was shown, which it never may be
	Executed      bool   // false if the backend stated that it did not execute the request
	Sum           string // the checksum of the response's body; empty if no complete response was sent
}

// Departure is a backend's announcement that it is draining.
type Departure struct {
	Instance string
	At       monotonic.Micros
}

// AppliedConfig is one configuration change as its operator saw it.
type AppliedConfig struct {
	Version uint64
	Digest  string
	Valid   bool // whether the content that was sent is a valid configuration
	Outcome string
	At      monotonic.Micros
	Sum     string // the checksum of the compiled configuration, as the observer compiles it; empty if unknown
}

// accepted reports whether the configuration store acknowledged the change.
func (a AppliedConfig) accepted() bool { return a.Outcome == outcomeAccepted }

// outcomeAccepted is the configuration store's outcome of a change that it has committed.
const outcomeAccepted = "accepted"

// ReadBack is one stored configuration as it was read when the run had ended.
type ReadBack struct {
	Version uint64
	Digest  string
}

// ActiveConfig is the configuration that a proxy served by at some time.
type ActiveConfig struct {
	Proxy   string
	Version uint64
	At      monotonic.Micros
	Sum     string // the checksum of the proxy's compiled configuration; empty if unknown
}

// CallCounts is what a proxy's circuit breaker of one service had counted at some time.
type CallCounts struct {
	Proxy        string
	Incarnation  uint64 // of the proxy's process
	Service      string
	BreakerState string // everything whose change may start a new window
	Calls        uint64 // since the process started
	Window       int    // calls in the current window
	At           monotonic.Micros
}

// PlannedChange is a period in which a process stops as planned or a configuration changes. Until is zero while it lasts.
type PlannedChange struct {
	What        string
	From, Until monotonic.Micros
}

// Marker is a moment that a scenario marks, one of the Marker constants or a constant with a proxy's name appended.
type Marker struct {
	What string
	At   monotonic.Micros
}

// The markers that rules and checks know.
const (
	MarkerFaultsEnded      = "returned"       // every fault has ended and all machines run again
	MarkerServiceFailing   = "failing"        // a service begins to fail
	MarkerServiceRecovered = "recovered"      // the failing service is healthy again
	MarkerNetworkDegraded  = "troubled "      // prefix: the network of the named proxy is degraded from now on
	MarkerNetworkRestored  = "untroubled"     // no proxy's network is degraded any more
	MarkerProxyKilled      = "proxy killed: " // prefix: the named proxy was killed
)

// BreakerObservation is a shared breaker record as an observer read it.
type BreakerObservation struct {
	Service      string
	State        string
	Version      uint64
	Budget       int              // probe slots that are still free
	ProbeLeases  []string         // IDs of the leased probes
	ProbeResults int              // probes whose result has come in
	Granted      int              // probe leases granted in this half-open round
	Returned     int              // those of them that were given back unused
	Permitted    int              // probe slots in all
	EnteredAt    monotonic.Micros // by the leader's clock
	ExpiresAt    monotonic.Micros // by the leader's clock
	Wait         monotonic.Micros // how long the breaker stays open
	ProbeLease   monotonic.Micros // the duration of a probe lease
	At           monotonic.Micros // by the observer's clock
	Source       string           // the process that the record was read from
	// LocalDecisions is true while some proxy may go by its own window in place of the shared record, because it is cut off,
	// frozen or has only just started.
	LocalDecisions bool
}

// ObserveBreaker returns the observation of a record that was read at a time from a process.
func ObserveBreaker(record *wire.BreakerRecord, at monotonic.Micros, source string, localVerdict bool) BreakerObservation {
	settings := record.Settings
	observed := BreakerObservation{
		Service:        record.Service,
		State:          record.State,
		Version:        record.Version,
		Budget:         int(record.Budget),
		ProbeResults:   len(record.ProbeResults),
		Permitted:      int(max(1, settings.GetPermitted())),
		EnteredAt:      monotonic.Micros(record.EnteredAt),
		ExpiresAt:      monotonic.Micros(record.ExpiresAt),
		Wait:           monotonic.Micros(settings.GetWaitOpen()),
		ProbeLease:     monotonic.Micros(settings.GetProbeLease()),
		At:             at,
		Source:         source,
		LocalDecisions: localVerdict,
	}
	for _, probe := range record.ProbeLeases {
		observed.ProbeLeases = append(observed.ProbeLeases, probe.Id)
	}
	for _, share := range record.Shares {
		observed.Granted += int(share.Granted)
		observed.Returned += int(share.Returned)
	}
	return observed
}
