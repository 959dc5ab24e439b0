package invariants

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Attempt is one request from its caller's point of view.
type Attempt struct {
	ID             string
	Key            string // the idempotency key; empty for reads
	Kind           string // the kind of traffic, by which attempts are grouped
	Proxy          string // the name of the proxy that the request was sent to
	Method         string
	Path           string
	Sent           monotonic.Micros
	Ended          monotonic.Micros // zero while the attempt is in flight
	Status         int              // zero without a response
	RejectedByMesh bool             // the mesh rejected the request; the response is not a backend's
	Cause          int              // the mesh's numeric cause of the rejection
	NotRun         bool             // the rejection states that the request was not executed
	Version        uint64           // the configuration version that the request was handled with; zero if unknown
	Echo           string           // the ID of the attempt that the response belongs to, according to the response
	Complete       bool             // the response's body matches the checksum that the backend sent
	Sum            string           // the checksum of the received body
	Instance       string           // the backend instance that responded
	TransportError string           // the error of an attempt that ended without a response
	RetryAfterSet  bool             // the response had a Retry-After header
	// ReadByProxy is set if the proxy has certainly read the request and, if it stopped, was stopped as planned. Such a request must
	// get a response.
	ReadByProxy bool
	// TenantKey is the tenant key sent with the request, if any. Anonymous is set if the request's route requires none.
	TenantKey string
	Anonymous bool
}

// succeeded reports whether the caller received a backend's response with a 2xx status.
func (a *Attempt) succeeded() bool { return !a.RejectedByMesh && a.Status >= 200 && a.Status < 300 }

// BackendRequest is one request that reached a backend, from the backend's point of view.
type BackendRequest struct {
	AttemptID     string // the ID of the caller's attempt
	AttemptNumber int    // 1 if the proxy forwards the request for the first time, higher for its retries
	Key           string // the idempotency key; empty for reads
	Service       string
	Instance      string
	Method        string
	Path          string
	At            monotonic.Micros
	Tenant        string // the tenant that the proxy reported to the backend; empty for none
	TenantKey     string // a tenant key that the backend received, which must never happen
	Executed      bool   // false if the backend stated that it did not execute the request
	Sum           string // the checksum of the response's body; empty unless a complete response was sent
}

// Departure is a backend's announcement that it is draining.
type Departure struct {
	Instance string
	At       monotonic.Micros
}

// AppliedConfig is one configuration change from its operator's point of view.
type AppliedConfig struct {
	Version uint64
	Digest  string
	Valid   bool // the submitted content is a valid configuration
	Outcome string
	At      monotonic.Micros
	Sum     string // the checksum of the configuration as compiled by the observer; empty if unknown
}

// accepted reports whether the configuration store acknowledged the change.
func (a AppliedConfig) accepted() bool { return a.Outcome == outcomeAccepted }

// outcomeAccepted is the outcome that the configuration store returns for a committed change.
const outcomeAccepted = "accepted"

// ReadBack is one stored configuration, read at the end of a run.
type ReadBack struct {
	Version uint64
	Digest  string
}

// ActiveConfig is the configuration that a proxy used at some time.
type ActiveConfig struct {
	Proxy   string
	Version uint64
	At      monotonic.Micros
	Sum     string // the checksum of the proxy's compiled configuration; empty if unknown
}

// CallCounts is a reading of the call counters of a proxy's circuit breaker for one service.
type CallCounts struct {
	Proxy        string
	Incarnation  uint64 // of the proxy's process
	Service      string
	BreakerState string // all values whose change may start a new window, as one string
	Calls        uint64 // all calls since the process started
	Window       int    // the calls in the current window
	At           monotonic.Micros
}

// PlannedChange is a period in which a process is stopped as planned or a configuration is changed. Until is zero before its end.
type PlannedChange struct {
	What        string
	From, Until monotonic.Micros
}

// Marker is an event of the scenario. What is one of the Marker constants, some of which are followed by a proxy's name.
type Marker struct {
	What string
	At   monotonic.Micros
}

// The markers that rules and checks evaluate.
const (
	MarkerFaultsEnded      = "returned"       // all faults have ended and all machines run again
	MarkerServiceFailing   = "failing"        // a service starts to fail
	MarkerServiceRecovered = "recovered"      // the failing service is healthy again
	MarkerNetworkDegraded  = "troubled "      // followed by the name of a proxy whose network is degraded from now on
	MarkerNetworkRestored  = "untroubled"     // the networks of all proxies work normally again
	MarkerProxyKilled      = "proxy killed: " // followed by the name of a proxy that was killed
)

// BreakerObservation is one reading of a shared breaker record.
type BreakerObservation struct {
	Service      string
	State        string
	Version      uint64
	Budget       int              // the free probe slots
	ProbeLeases  []string         // the IDs of the leased probes
	ProbeResults int              // the number of reported probe results
	Granted      int              // the probe leases granted in this half-open round
	Returned     int              // those of them that were returned unused
	Permitted    int              // the total number of probe slots
	EnteredAt    monotonic.Micros // by the leader clock
	ExpiresAt    monotonic.Micros // by the leader clock
	Wait         monotonic.Micros // how long the breaker must stay open
	ProbeLease   monotonic.Micros // the duration of a probe lease
	At           monotonic.Micros // by the observer's clock
	Source       string           // the process that the record was read from
	// LocalDecisions is set while some proxy may decide by its own window instead of the shared record, because it is disconnected,
	// frozen or only just started.
	LocalDecisions bool
}

// ObserveBreaker returns the observation of a record that was read from the process source at a time.
func ObserveBreaker(record *wire.BreakerRecord, at monotonic.Micros, source string, localDecisions bool) BreakerObservation {
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
		LocalDecisions: localDecisions,
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
