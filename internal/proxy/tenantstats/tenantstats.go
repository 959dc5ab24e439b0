// Package tenantstats counts a proxy's requests by tenant, and by reason those that were rejected because they have no valid tenant.
// The size of its report is bounded: it lists the tenants with the most requests by name, and the sum of all others.
package tenantstats

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// maxReported is the number of tenants that are reported by name.
	maxReported = 20
	// maxCounted bounds the tenants that are counted by name; the requests of any further tenants are counted together.
	maxCounted = 10_000
)

// Reason is why a request has no valid tenant. Its values are labels of metrics.
type Reason string

// The reasons: the request has no tenant's key, several keys, or an unknown key, or the proxy's lease on the keys has expired.
const (
	NoKey        Reason = "no_key"
	SeveralKeys  Reason = "several_keys"
	UnknownKey   Reason = "unknown_key"
	LeaseExpired Reason = "lease_expired"
)

// Reasons returns all reasons.
func Reasons() []Reason { return []Reason{NoKey, SeveralKeys, UnknownKey, LeaseExpired} }

// Counts holds the number of requests of one tenant since the process started. The JSON keys are part of the operators' API.
type Counts struct {
	Tenant   string `json:"tenant,omitempty"` // empty in Report.Rest
	Requests uint64 `json:"requests"`
	Rejected uint64 `json:"rejected"` // by the mesh, for any reason
}

// Report contains the counts as shown to operators.
type Report struct {
	// Largest lists the tenants with the most requests, in descending order.
	Largest []Counts `json:"largest,omitempty"`
	// Rest is the sum of all other tenants.
	Rest Counts `json:"rest"`
	// Refused counts the requests without a valid tenant by reason.
	Refused map[Reason]uint64 `json:"refused,omitempty"`
}

// Counters counts requests. It is safe for concurrent use.
type Counters struct {
	mu      sync.Mutex // guards the fields below
	tenants map[string]*Counts
	rest    Counts
	refused map[Reason]uint64
}

// New returns counters at zero.
func New() *Counters {
	return &Counters{tenants: map[string]*Counts{}, refused: map[Reason]uint64{}}
}

// CountRequest counts a finished request of a tenant.
func (c *Counters) CountRequest(tenant string, rejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.countsOf(tenant)
	counts.Requests++
	if rejected {
		counts.Rejected++
	}
}

// countsOf returns the counts to which a tenant's requests are added. The caller holds mu.
func (c *Counters) countsOf(tenant string) *Counts {
	if counts := c.tenants[tenant]; counts != nil {
		return counts
	}
	if len(c.tenants) >= maxCounted {
		return &c.rest
	}
	counts := &Counts{Tenant: tenant}
	c.tenants[tenant] = counts
	return counts
}

// CountRefusal counts a request without a valid tenant.
func (c *Counters) CountRefusal(reason Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[reason]++
}

// Report returns the current counts.
func (c *Counters) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := Report{Rest: c.rest, Refused: map[Reason]uint64{}}
	for reason, count := range c.refused {
		report.Refused[reason] = count
	}
	for _, counts := range c.tenants {
		report.Largest = append(report.Largest, *counts)
	}
	slices.SortFunc(report.Largest, func(one, other Counts) int {
		return cmp.Or(cmp.Compare(other.Requests, one.Requests), cmp.Compare(one.Tenant, other.Tenant))
	})
	if len(report.Largest) > maxReported {
		for _, counts := range report.Largest[maxReported:] {
			report.Rest.Requests += counts.Requests
			report.Rest.Rejected += counts.Rejected
		}
		report.Largest = report.Largest[:maxReported]
	}
	return report
}
