package daemon

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"snowflow/internal/eventlog"
	"snowflow/internal/host/machine"
)

var processOptions = collectors.ProcessCollectorOpts{}

// eventCounter shows how often each numbered event happened.
type eventCounter struct{ events *eventlog.EventLog }

var eventsDescription = prometheus.NewDesc("snowflow_events_total", "Events by their number in the catalogue.", []string{"event"}, nil)

func (c *eventCounter) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- eventsDescription
}

func (c *eventCounter) Collect(metrics chan<- prometheus.Metric) {
	for number, count := range c.events.Counts() {
		metrics <- prometheus.MustNewConstMetric(eventsDescription, prometheus.CounterValue, float64(count), strconv.Itoa(number))
	}
}

// peerCounter shows the bytes exchanged with each process called.
type peerCounter struct{ host *machine.Machine }

var (
	sentDescription         = prometheus.NewDesc("snowflow_peer_sent_bytes_total", "Bytes of calls sent, by address.", []string{"address"}, nil)
	receivedDescription     = prometheus.NewDesc("snowflow_peer_received_bytes_total", "Bytes of replies received, by address.", []string{"address"}, nil)
	kindMessagesDescription = prometheus.NewDesc("snowflow_kind_messages_total", "Messages exchanged with other processes, by kind and direction.", []string{"kind", "direction"}, nil)
	kindBytesDescription    = prometheus.NewDesc("snowflow_kind_bytes_total", "Bytes exchanged with other processes, by kind and direction.", []string{"kind", "direction"}, nil)
)

func (c *peerCounter) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- sentDescription
	descriptions <- receivedDescription
	descriptions <- kindMessagesDescription
	descriptions <- kindBytesDescription
}

func (c *peerCounter) Collect(metrics chan<- prometheus.Metric) {
	for address, totals := range c.host.Traffic() {
		metrics <- prometheus.MustNewConstMetric(sentDescription, prometheus.CounterValue, float64(totals[0]), address)
		metrics <- prometheus.MustNewConstMetric(receivedDescription, prometheus.CounterValue, float64(totals[1]), address)
	}
	for kind, total := range c.host.MessageCounts() {
		for direction, counts := range map[string][2]uint64{"sent": {total.Sent, total.SentBytes}, "received": {total.Received, total.ReceivedBytes}} {
			metrics <- prometheus.MustNewConstMetric(kindMessagesDescription, prometheus.CounterValue, float64(counts[0]), kind.String(), direction)
			metrics <- prometheus.MustNewConstMetric(kindBytesDescription, prometheus.CounterValue, float64(counts[1]), kind.String(), direction)
		}
	}
}

// Gauge is one figure read when it's asked for.
type Gauge struct {
	Name, Help string
	Read       func() float64
}

// AddGauges registers figures.
func (d *Daemon) AddGauges(gauges []Gauge) {
	for _, gauge := range gauges {
		d.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.Name, Help: gauge.Help}, gauge.Read))
	}
}
