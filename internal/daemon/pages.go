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

// Page shows a status as JSON.
func Page(status func() any) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(status())
	})
}

// CoreGauges shows how a member of the core stands.
func (house *House) CoreGauges(member *replication.Member) {
	house.Gauges([]Gauge{
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

// TakeUp shows how long after its commit each carrier gave its word that it has adopted a version.
func (house *House) TakeUp() func(carrier string, serial uint64, took monotonic.Micros) {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{Name: "snowflow_desired_take_up_micros",
		Help: "Microseconds from the commit of a version to each carrier's word that it has adopted it.", Buckets: prometheus.ExponentialBuckets(500, 2, 17)})
	house.Registry.MustRegister(histogram)
	return func(_ string, _ uint64, took monotonic.Micros) { histogram.Observe(float64(took)) }
}

// Tally counts requests by service and outcome.
type Tally struct {
	requests *prometheus.CounterVec
	tries    *prometheus.CounterVec
}

// NewTally registers the counters.
func NewTally(registry *prometheus.Registry) *Tally {
	tally := &Tally{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "snowflow_requests_total", Help: "Callers' requests by service, cause (0 for a backend's answer) and verdict."}, []string{"service", "cause", "verdict"}),
		tries:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "snowflow_tries_total", Help: "Tries by service, first and further."}, []string{"service", "which"}),
	}
	registry.MustRegister(tally.requests, tally.tries)
	return tally
}

// Finished counts one outcome.
func (tally *Tally) Finished(trip *forward.Trip, _ *request.Answer, fault *apierror.Fault) {
	service, cause, verdict := "", "0", ""
	if trip.Service != nil {
		service = trip.Service.Name
	}
	if fault != nil {
		cause, verdict = strconv.Itoa(int(fault.Cause)), string(fault.Verdict)
	}
	tally.requests.WithLabelValues(service, cause, verdict).Inc()
	if trip.Tries > 0 {
		tally.tries.WithLabelValues(service, "first").Inc()
		tally.tries.WithLabelValues(service, "further").Add(float64(trip.Tries - 1))
	}
}
