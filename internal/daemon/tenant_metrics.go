package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/tenantstats"
)

// restLabel is the label of all tenants that aren't reported by name. No tenant can have this name, since names contain no spaces.
const restLabel = "all others"

// TenantCollector collects a proxy's requests by tenant. When a tenant becomes one of the largest, its requests are no longer counted
// under restLabel, whose counters then fall as if the process had restarted.
type TenantCollector struct {
	report   func() tenantstats.Report
	keyLease func() (remaining monotonic.Micros, limited bool) // limited is whether the tenants' keys need a lease

	requests, rejected, refused, lease *prometheus.Desc
}

// NewTenantCollector returns a collector of the requests that report returns and the remaining time of the lease on the tenants' keys
// that keyLease returns.
func NewTenantCollector(report func() tenantstats.Report, keyLease func() (remaining monotonic.Micros, limited bool)) *TenantCollector {
	return &TenantCollector{
		report:   report,
		keyLease: keyLease,
		requests: prometheus.NewDesc("snowflow_tenant_requests_total", "Requests of the largest tenants, and of all others.", []string{"tenant"}, nil),
		rejected: prometheus.NewDesc("snowflow_tenant_rejections_total", "Requests of the largest tenants, and of all others, that the mesh rejected.", []string{"tenant"}, nil),
		refused:  prometheus.NewDesc("snowflow_tenant_refusals_total", "Requests that are of no tenant, by reason.", []string{"reason"}, nil),
		lease:    prometheus.NewDesc("snowflow_key_lease_micros", "Microseconds for which tenants' keys may still be relied on without contact to the core; left out if they need no lease.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *TenantCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{c.requests, c.rejected, c.refused, c.lease} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *TenantCollector) Collect(metrics chan<- prometheus.Metric) {
	report := c.report()
	for _, counts := range report.Largest {
		c.collectCounts(metrics, counts, counts.Tenant)
	}
	c.collectCounts(metrics, report.Rest, restLabel)
	for _, reason := range tenantstats.Reasons() {
		metrics <- prometheus.MustNewConstMetric(c.refused, prometheus.CounterValue, float64(report.Refused[reason]), string(reason))
	}
	if remaining, limited := c.keyLease(); limited {
		metrics <- prometheus.MustNewConstMetric(c.lease, prometheus.GaugeValue, float64(remaining))
	}
}

func (c *TenantCollector) collectCounts(metrics chan<- prometheus.Metric, counts tenantstats.Counts, label string) {
	metrics <- prometheus.MustNewConstMetric(c.requests, prometheus.CounterValue, float64(counts.Requests), label)
	metrics <- prometheus.MustNewConstMetric(c.rejected, prometheus.CounterValue, float64(counts.Rejected), label)
}
