package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/forward"
	"snowflow/internal/proxy/request"
	"snowflow/internal/replication"
)

// StatusPage shows a status as JSON.
func StatusPage(status func() any) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(status())
	})
}

// AddReplicationGauges shows how a member of the core stands.
func (d *Daemon) AddReplicationGauges(member *replication.Member) {
	d.AddGauges([]Gauge{
		{Name: "snowflow_core_epoch", Help: "The newest epoch heard of.", Read: func() float64 { return float64(member.Status().Epoch) }},
		{Name: "snowflow_core_answering", Help: "1 while this process answers as primary.", Read: func() float64 {
			if member.Serving() {
				return 1
			}
			return 0
		}},
		{Name: "snowflow_core_sequence", Help: "Entries in this copy.", Read: func() float64 { return float64(member.Status().Sequence) }},
		{Name: "snowflow_core_sync_micros", Help: "How long the last write with its sync took.", Read: func() float64 { return float64(member.Status().SyncTime) }},
	})
}

// AdoptionObserver shows how long after its commit each carrier gave its word that it has adopted a version.
func (d *Daemon) AdoptionObserver() func(proxy string, version uint64, duration monotonic.Micros) {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{Name: "snowflow_desired_take_up_micros",
		Help: "Microseconds from the commit of a version to each carrier's word that it has adopted it.", Buckets: prometheus.ExponentialBuckets(500, 2, 17)})
	d.Registry.MustRegister(histogram)
	return func(_ string, _ uint64, duration monotonic.Micros) { histogram.Observe(float64(duration)) }
}

// RequestCounters counts requests by service and outcome.
type RequestCounters struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
}

// NewRequestCounters registers the counters.
func NewRequestCounters(registry *prometheus.Registry) *RequestCounters {
	counters := &RequestCounters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "snowflow_requests_total", Help: "Callers' requests by service, cause (0 for a backend's answer) and verdict."}, []string{"service", "cause", "verdict"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "snowflow_tries_total", Help: "Tries by service, first and further."}, []string{"service", "which"}),
	}
	registry.MustRegister(counters.requests, counters.attempts)
	return counters
}

// CountRequest counts one outcome.
func (c *RequestCounters) CountRequest(exchange *forward.Exchange, _ *request.Response, fault *apierror.Fault) {
	service, cause, verdict := "", "0", ""
	if exchange.Service != nil {
		service = exchange.Service.Name
	}
	if fault != nil {
		cause, verdict = strconv.Itoa(int(fault.Cause)), string(fault.Verdict)
	}
	c.requests.WithLabelValues(service, cause, verdict).Inc()
	if exchange.Attempts > 0 {
		c.attempts.WithLabelValues(service, "first").Inc()
		c.attempts.WithLabelValues(service, "further").Add(float64(exchange.Attempts - 1))
	}
}
