package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/transport/wire"
)

// Call is a request that its backend's standing lets in. Its owner closes it once, whatever becomes of the request.
type Visit struct {
	hutch   *Hutch
	present *entry
	visit   *outlier.Call
}

// Call asks a backend's standing for a request. A refusal is certain: nothing ran.
func (hutch *Hutch) Visit(instance string, ask outlier.RequestInfo) (*Visit, *apierror.Fault) {
	hutch.lock.Lock()
	present := hutch.entries[instance]
	if present == nil {
		hutch.lock.Unlock()
		return nil, apierror.New(apierror.BackendUnknown, apierror.NotRun, "no instance %s here", instance)
	}
	visit, wait := present.standing.Admit(hutch.place.Now(), ask)
	defer hutch.settle(present)
	if visit == nil {
		fault := apierror.New(apierror.BackendUnhealthy, apierror.NotRun, "instance %s does worse than its like, only probes are let in", instance)
		fault.RetryAfter = max(wait, monotonic.Millisecond)
		return nil, fault
	}
	return &Visit{hutch: hutch, present: present, visit: visit}, nil
}

// Start notes that the request is being handed over.
func (visit *Visit) Start() {
	visit.hutch.lock.Lock()
	visit.visit.Start(visit.hutch.place.Now())
	visit.hutch.lock.Unlock()
}

// Close tells what the request's end says of the backend; only the first call counts.
func (visit *Visit) Close(outcome outlier.Outcome) {
	visit.hutch.lock.Lock()
	visit.visit.Close(visit.hutch.place.Now(), outcome)
	visit.hutch.settle(visit.present)
}

// settle has whoever waits for an ejected backend go elsewhere, and reports. The lock is held, and let go.
func (hutch *Hutch) settle(present *entry) {
	changes := present.standing.TakeChanges()
	if present.standing.TakeRecovered() {
		present.slots.Relearn()
	}
	for _, change := range changes {
		if change.Ejected && change.Domain == "" {
			present.slots.Flush(hutch.place.Now())
		}
	}
	hutch.lock.Unlock()
	for _, change := range changes {
		number := eventlog.BackendReinstated
		if change.Ejected {
			number = eventlog.BackendEjected
		}
		hutch.place.Report(number, map[string]any{"service": present.Service, "instance": present.Instance, "callers": change.Domain, "faults": change.FaultRate, "times": change.RecentEjections})
	}
}

// Stand adds a backend's standing with the callers of a domain to its load as told to a route.
func (hutch *Hutch) Stand(load *wire.Load, instance, domain, route string) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	if present := hutch.entries[instance]; present != nil && load != nil {
		load.FaultRate, load.LatencyRatio = thousandths(present.standing.FaultRate(domain)), thousandths(present.standing.LatencyRatio())
		load.Ejected = present.standing.Ejected(domain)
		if usual := present.standing.BaselineLatency(); load.Ejected && usual > 0 {
			load.ServiceMicros, load.RouteMicros = int64(usual), int64(present.standing.BaselineLatencyOf(route)) // its gate keeps requests away, but some must come to find out when it's well
		}
	}
}

func thousandths(share float64) uint32 { return uint32(min(share, 1000) * 1000) }

// Standing is what operators are shown of how a backend does.
type Standing struct {
	Service  string  `json:"service"`
	Instance string  `json:"instance"`
	Faults   float64 `json:"faults"` // share of its last answers
	Pace     float64 `json:"pace"`   // time of its requests over their usual one
	Ejected  bool    `json:"ejected"`
	// Callers are the domains whose callers alone are kept away.
	Callers []string `json:"ejected_for,omitempty"`
}

// Standings tells how each backend here does.
func (hutch *Hutch) Standings() (standings []Standing) {
	hutch.lock.Lock()
	defer hutch.lock.Unlock()
	for _, instance := range hutch.instances() {
		present := hutch.entries[instance]
		standings = append(standings, Standing{Service: present.Service, Instance: instance, Faults: present.standing.FaultRate(""), Pace: present.standing.LatencyRatio(),
			Ejected: present.standing.Ejected(""), Callers: present.standing.EjectedDomains()})
	}
	return standings
}

// Ejected counts the backends here that are, for all callers or for some.
func (hutch *Hutch) Ejected() (count float64) {
	for _, standing := range hutch.Standings() {
		if standing.Ejected || len(standing.Callers) > 0 {
			count++
		}
	}
	return count
}
