// Package invariants checks what callers sent, backends ran and operators were told against the rules of what must never
// happen. It knows nothing of the mesh's insides. The simulator and the fleet both write its history.
package invariants

import (
	"sync"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Attempt is one request as its caller saw it. All times are the observer's one clock.
type Attempt struct {
	ID            string
	Key           string // empty for reads
	Kind          string // which kind of traffic, for counting
	Caller        string // where it was sent: the carrier's name
	Method        string
	Path          string
	Sent          monotonic.Micros
	Ended         monotonic.Micros // zero while open
	Status        int              // zero without an answer
	Mesh          bool             // the answer is the mesh's own refusal
	Cause         int
	NotRun        bool // the refusal said not run
	Version       uint64
	Echo          string // the attempt id that the answer names
	Complete      bool   // the answer's own seal matched
	Sum           string // of the answer's content as it arrived
	Instance      string
	Transport     string // the error of an attempt that ended without an answer
	RetryAfterSet bool   // a Retry-After came along
	// ReadBackComplete is true when the carrier had certainly read it, and was not ended but by a planned stop. Where no answer came to
	// such a one, it was dropped.
	Read bool
}

// Run is one request as a backend saw it.
type Run struct {
	Attempt       string // the caller's id
	AttemptNumber int
	Key           string
	Service       string
	Instance      string
	Method        string
	Path          string
	At            monotonic.Micros
	Executed      bool   // false when the backend said it did not execute it
	Sum           string // of the answer's content, empty when it gave none whole
}

// Departure is a backend's word that it is leaving.
type Departure struct {
	Instance string
	At       monotonic.Micros
}

// AppliedConfig is one apply as its operator saw it.
type AppliedConfig struct {
	Version uint64
	Digest  string
	Valid   bool // whether what was sent was valid
	Outcome string
	At      monotonic.Micros
	Sum     string // over what it means, as the observer reads it; empty if nobody did
}

// ReadBack is one accepted state as read back at the end.
type ReadBack struct {
	Version uint64
	Digest  string
}

// ActiveConfigs is the desired state by which a carrier serves, as an observer saw it.
type ActiveConfig struct {
	Proxy   string
	Version uint64
	At      monotonic.Micros
	Sum     string // over what it does there; empty if nobody looked
}

// CallCounts is what a carrier's guard of a service has counted, as an observer saw it.
type CallCounts struct {
	Proxy       string
	Incarnation uint64 // of the carrier
	Service     string
	Verdict     string // whatever may rightly begin a new window
	Calls       uint64
	Window      int // calls in the window
	At          monotonic.Micros
}

// PlannedChange is a span in which some process stops as planned or a configuration changes. Until is zero while it lasts.
type PlannedChange struct {
	What        string
	From, Until monotonic.Micros
}

// Marker is a moment that a scenario marks, for instance the machines' return.
type Marker struct {
	What string
	At   monotonic.Micros
}

// BreakerObservation is a shared guard record as an observer read it.
type BreakerObservation struct {
	Service      string
	State        string
	Version      uint64
	Budget       int
	ProbeLeases  []string // ids of leased probes
	ProbeResults int
	Granted      int // in this round, and how many of them went back
	Returned     int
	Permitted    int
	EnteredAt    monotonic.Micros // holder time
	ExpiresAt    monotonic.Micros // holder time
	Wait         monotonic.Micros
	ProbeLease   monotonic.Micros
	At           monotonic.Micros
	Source       string
	// LocalVerdict is true while some carrier may go by a verdict of its own: out of reach, frozen or just started.
	LocalVerdict bool
}

// ObserveBreaker makes of a record what an observer notes of it.
func ObserveBreaker(record *wire.BreakerRecord, at monotonic.Micros, source string, astray bool) BreakerObservation {
	terms := record.Settings
	seen := BreakerObservation{Service: record.Service, State: record.State, Version: record.Version, Budget: int(record.Budget), ProbeResults: len(record.ProbeResults),
		Permitted: int(max(1, terms.GetPermitted())), EnteredAt: monotonic.Micros(record.EnteredAt), ExpiresAt: monotonic.Micros(record.ExpiresAt), Wait: monotonic.Micros(terms.GetWaitOpen()),
		ProbeLease: monotonic.Micros(terms.GetProbeLease()), At: at, Source: source, LocalVerdict: astray}
	for _, probe := range record.ProbeLeases {
		seen.ProbeLeases = append(seen.ProbeLeases, probe.Id)
	}
	for _, share := range record.Shares {
		seen.Granted, seen.Returned = seen.Granted+int(share.Granted), seen.Returned+int(share.Returned)
	}
	return seen
}

// History is everything that was seen.
type History struct {
	lock             sync.Mutex
	Attempts         []*Attempt
	Runs             []Run
	Departures       []Departure
	AppliedConfigs   []AppliedConfig
	ReadBack         []ReadBack
	ReadBackComplete bool // the history was read back at the end
	Markers          []Marker
	Breakers         []BreakerObservation
	ActiveConfigs    []ActiveConfig
	PlannedChanges   []*PlannedChange
	CallCounts       []CallCounts
	OperatorCalls    []OperatorCall
	// RetainedVersions is how many states the core keeps, all for zero: older ones needn't read back.
	RetainedVersions int
	// AllowedRoutes tells since when a kind of traffic may run on a service: from when a configuration that sends it there was
	// first handed in.
	AllowedRoutes map[string]map[string]monotonic.Micros
	// RetryAllowance is the sum of what a service's further tries may come to beyond the ratio.
	RetryAllowance int
}

// RecordAttempt notes an attempt.
func (h *History) RecordAttempt(attempt *Attempt) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Attempts = append(h.Attempts, attempt)
}

// Update changes an attempt under the lock.
func (h *History) Update(change func()) {
	h.lock.Lock()
	defer h.lock.Unlock()
	change()
}

// RecordRun notes a run.
func (h *History) RecordRun(run Run) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Runs = append(h.Runs, run)
}

// RecordDeparture notes a leaving.
func (h *History) RecordDeparture(instance string, at monotonic.Micros) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Departures = append(h.Departures, Departure{instance, at})
}

// RecordApply notes an apply.
func (h *History) RecordApply(applied AppliedConfig) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.AppliedConfigs = append(h.AppliedConfigs, applied)
}

// RecordMarker notes a moment.
func (h *History) RecordMarker(what string, at monotonic.Micros) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Markers = append(h.Markers, Marker{what, at})
}

// RecordBreaker notes a guard record.
func (h *History) RecordBreaker(seen BreakerObservation) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.Breakers = append(h.Breakers, seen)
}

// RecordActiveVersion notes the desired state that a carrier serves by.
func (h *History) RecordActiveVersion(proxyName string, version uint64, at monotonic.Micros) {
	h.RecordActiveConfig(ActiveConfig{Proxy: proxyName, Version: version, At: at})
}

// RecordActiveConfig notes by what a carrier serves, and what that does there.
func (h *History) RecordActiveConfig(adopted ActiveConfig) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.ActiveConfigs = append(h.ActiveConfigs, adopted)
}

// RecordCallCounts notes what a guard has counted.
func (h *History) RecordCallCounts(counted CallCounts) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.CallCounts = append(h.CallCounts, counted)
}

// BeginPlannedChange notes that something planned begins; what it gives ends it.
func (h *History) BeginPlannedChange(what string, from monotonic.Micros) func(until monotonic.Micros) {
	h.lock.Lock()
	defer h.lock.Unlock()
	fresh := &PlannedChange{What: what, From: from}
	h.PlannedChanges = append(h.PlannedChanges, fresh)
	return func(until monotonic.Micros) {
		h.lock.Lock()
		defer h.lock.Unlock()
		fresh.Until = until
	}
}

// AllowRoute notes that a configuration handed in at a moment sends a kind of traffic to a service.
func (h *History) AllowRoute(kind, service string, at monotonic.Micros) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.AllowedRoutes == nil {
		h.AllowedRoutes = map[string]map[string]monotonic.Micros{}
	}
	if h.AllowedRoutes[kind] == nil {
		h.AllowedRoutes[kind] = map[string]monotonic.Micros{}
	}
	if since, known := h.AllowedRoutes[kind][service]; !known || at < since {
		h.AllowedRoutes[kind][service] = at
	}
}
