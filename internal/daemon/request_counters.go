package daemon

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"snowflow/internal/apierror"
	"snowflow/internal/proxy/forward"
	"snowflow/internal/proxy/request"
)

// RequestCounters counts a proxy's requests and attempts.
type RequestCounters struct {
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
}

// NewRequestCounters registers the counters.
func NewRequestCounters(registry *prometheus.Registry) *RequestCounters {
	counters := &RequestCounters{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snowflow_requests_total",
			Help: "Callers' requests by service, cause (0 for a backend's response) and verdict.",
		}, []string{"service", "cause", "verdict"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snowflow_tries_total",
			Help: "Attempts by service, first and further.",
		}, []string{"service", "which"}),
	}
	registry.MustRegister(counters.requests, counters.attempts)
	return counters
}

// CountRequest counts a request that has ended, and its attempts. fault is nil if a backend responded.
func (c *RequestCounters) CountRequest(exchange *forward.Exchange, _ *request.Response, fault *apierror.Error) {
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
