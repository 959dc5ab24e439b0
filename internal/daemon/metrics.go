package daemon

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"snowflow/internal/eventlog"
	"snowflow/internal/host/machine"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
)

// Gauge is a gauge whose value is read when metrics are collected. Read must be safe for concurrent use.
type Gauge struct {
	Name, Help string
	Read       func() float64
}

// AddGauges registers gauges.
func (d *Daemon) AddGauges(gauges []Gauge) {
	for _, gauge := range gauges {
		d.MetricsRegistry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.Name, Help: gauge.Help}, gauge.Read))
	}
}

// AddReplicationGauges registers the gauges of a replication member. Metrics keep the names under which they were first published,
// because operators' queries depend on them.
func (d *Daemon) AddReplicationGauges(member *replication.Member) {
	serving := func() float64 {
		if member.Serving() {
			return 1
		}
		return 0
	}
	d.AddGauges([]Gauge{
		{Name: "snowflow_core_epoch", Help: "The highest epoch known.", Read: func() float64 { return float64(member.Status().Epoch) }},
		{Name: "snowflow_core_answering", Help: "1 while this process serves as primary.", Read: serving},
		{Name: "snowflow_core_sequence", Help: "Entries in this replica's log.", Read: func() float64 { return float64(member.Status().Sequence) }},
		{Name: "snowflow_core_sync_micros", Help: "Microseconds that the last write took, with its sync.", Read: func() float64 { return float64(member.Status().SyncTime) }},
	})
}

// The histogram of adoption times has buckets from 0.5 ms to 33 s, each with twice the limit of the one before.
const (
	smallestBucket = 500 // microseconds
	bucketFactor   = 2
	bucketCount    = 17
)

// AdoptionObserver registers a histogram of the time from the commit of a configuration version to its adoption by a proxy. It
// returns a function that records one such time; of its arguments, only the duration is used.
func (d *Daemon) AdoptionObserver() func(proxy string, version uint64, duration monotonic.Micros) {
	histogram := prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "snowflow_desired_take_up_micros",
		Help:    "Microseconds from the commit of a configuration version to each proxy's acknowledgment that it has adopted it.",
		Buckets: prometheus.ExponentialBuckets(smallestBucket, bucketFactor, bucketCount),
	})
	d.MetricsRegistry.MustRegister(histogram)
	return func(_ string, _ uint64, duration monotonic.Micros) { histogram.Observe(float64(duration)) }
}

// Metrics returns a handler that responds with all metrics in the Prometheus text format.
func (d *Daemon) Metrics() http.Handler {
	return promhttp.HandlerFor(d.MetricsRegistry, promhttp.HandlerOpts{})
}

// registerMetrics registers the metrics that every daemon has.
func (d *Daemon) registerMetrics() {
	d.MetricsRegistry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.MetricsRegistry.MustRegister(&eventCollector{events: d.Events}, &messageCollector{host: d.Host})
}

func newDescription(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

var (
	eventsDescription       = newDescription("snowflow_events_total", "Events by their number in the catalogue.", "event")
	sentDescription         = newDescription("snowflow_peer_sent_bytes_total", "Bytes of calls sent, by address.", "address")
	receivedDescription     = newDescription("snowflow_peer_received_bytes_total", "Bytes of replies received, by address.", "address")
	messagesDescription     = newDescription("snowflow_kind_messages_total", "Messages exchanged with other processes, by kind and direction.", "kind", "direction")
	messageBytesDescription = newDescription("snowflow_kind_bytes_total", "Bytes exchanged with other processes, by kind and direction.", "kind", "direction")
	messageDescriptions     = []*prometheus.Desc{sentDescription, receivedDescription, messagesDescription, messageBytesDescription}
)

// eventCollector collects how often each event of the event log was published.
type eventCollector struct{ events *eventlog.EventLog }

// Describe implements prometheus.Collector.
func (c *eventCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- eventsDescription
}

// Collect implements prometheus.Collector.
func (c *eventCollector) Collect(metrics chan<- prometheus.Metric) {
	for number, count := range c.events.Counts() {
		metrics <- prometheus.MustNewConstMetric(eventsDescription, prometheus.CounterValue, float64(count), strconv.Itoa(number))
	}
}

// messageCollector collects the counts of the messages and bytes that were exchanged with other processes.
type messageCollector struct{ host *machine.Machine }

// Describe implements prometheus.Collector.
func (c *messageCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range messageDescriptions {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c *messageCollector) Collect(metrics chan<- prometheus.Metric) {
	count := func(description *prometheus.Desc, value uint64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value), labels...)
	}
	for address, totals := range c.host.Traffic() {
		count(sentDescription, totals.Sent, address)
		count(receivedDescription, totals.Received, address)
	}
	for kind, total := range c.host.MessageCounts() {
		count(messagesDescription, total.Sent, machine.KindLabel(kind), "sent")
		count(messageBytesDescription, total.SentBytes, machine.KindLabel(kind), "sent")
		count(messagesDescription, total.Received, machine.KindLabel(kind), "received")
		count(messageBytesDescription, total.ReceivedBytes, machine.KindLabel(kind), "received")
	}
}
