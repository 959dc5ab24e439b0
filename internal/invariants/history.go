package invariants

import (
	"sync"

	"snowflow/internal/monotonic"
)

// History is everything that observers recorded in one run of a scenario. The zero value is empty and ready to use.
//
// The Record methods are safe for concurrent use. The fields may be accessed directly once recording has ended.
type History struct {
	// lock guards the fields below.
	lock             sync.Mutex
	Attempts         []*Attempt
	BackendRequests  []BackendRequest
	Departures       []Departure
	AppliedConfigs   []AppliedConfig
	ReadBack         []ReadBack
	ReadBackComplete bool // ReadBack holds all stored configurations; false if they could not be read
	Markers          []Marker
	Breakers         []BreakerObservation
	ActiveConfigs    []ActiveConfig
	PlannedChanges   []*PlannedChange
	CallCounts       []CallCounts
	OperatorCalls    []OperatorCall
	KeyPeriods       []*KeyPeriod
	// RetainedVersions is how many configurations the store retains; older ones need not be readable. Zero means all.
	RetainedVersions int
	// AllowedRoutes maps a kind of traffic and a service to the time at which the first configuration that routes this kind to this
	// service was submitted.
	AllowedRoutes map[string]map[string]monotonic.Micros
	// RetryAllowance is how many retries a service may receive in a retry window in addition to maxRetryRatio of its first attempts.
	RetryAllowance int
}

// record appends an entry to one of the history's lists.
func record[Entry any](h *History, list *[]Entry, entry Entry) {
	h.lock.Lock()
	defer h.lock.Unlock()
	*list = append(*list, entry)
}

// RecordAttempt adds an attempt. If the history may be read concurrently, later changes to the attempt must be made in Update.
func (h *History) RecordAttempt(attempt *Attempt) { record(h, &h.Attempts, attempt) }

// Update calls a function that changes recorded entries, while it holds the history's lock.
func (h *History) Update(change func()) {
	h.lock.Lock()
	defer h.lock.Unlock()
	change()
}

// RecordBackendRequest adds a request that reached a backend.
func (h *History) RecordBackendRequest(request BackendRequest) {
	record(h, &h.BackendRequests, request)
}

// RecordDeparture adds a backend's announcement that it is draining.
func (h *History) RecordDeparture(instance string, at monotonic.Micros) {
	record(h, &h.Departures, Departure{Instance: instance, At: at})
}

// RecordApply adds a configuration change.
func (h *History) RecordApply(applied AppliedConfig) { record(h, &h.AppliedConfigs, applied) }

// RecordMarker adds a marker.
func (h *History) RecordMarker(what string, at monotonic.Micros) {
	record(h, &h.Markers, Marker{What: what, At: at})
}

// RecordBreaker adds a reading of a shared breaker record.
func (h *History) RecordBreaker(observed BreakerObservation) { record(h, &h.Breakers, observed) }

// RecordActiveVersion adds the version that a proxy uses, for an observer that cannot see the compiled configuration.
func (h *History) RecordActiveVersion(proxy string, version uint64, at monotonic.Micros) {
	h.RecordActiveConfig(ActiveConfig{Proxy: proxy, Version: version, At: at})
}

// RecordActiveConfig adds the configuration that a proxy uses.
func (h *History) RecordActiveConfig(active ActiveConfig) { record(h, &h.ActiveConfigs, active) }

// RecordCallCounts adds a reading of the call counts of a proxy's circuit breaker.
func (h *History) RecordCallCounts(counts CallCounts) { record(h, &h.CallCounts, counts) }

// RecordOperatorCall adds an operator's read or write.
func (h *History) RecordOperatorCall(call OperatorCall) { record(h, &h.OperatorCalls, call) }

// BeginPlannedChange adds a planned change that begins at a time. The returned function records its end.
func (h *History) BeginPlannedChange(what string, from monotonic.Micros) (end func(until monotonic.Micros)) {
	change := &PlannedChange{What: what, From: from}
	record(h, &h.PlannedChanges, change)
	return func(until monotonic.Micros) {
		h.Update(func() { change.Until = until })
	}
}

// AllowRoute records that a configuration that was submitted at a time routes a kind of traffic to a service.
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
