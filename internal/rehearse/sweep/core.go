package sweep

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/common/expfmt"

	"snowflow/internal/host/machine"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// adminClient requests the admin endpoints of control plane processes.
var adminClient = &http.Client{Timeout: 10 * time.Second}

// fetchStatus reads the replication status that a control plane process reports at its admin address.
func fetchStatus(process *fleet.Process) (replication.Status, error) {
	report := struct {
		Core replication.Status `json:"core"`
	}{}
	response, err := adminClient.Get("http://" + process.AdminAddress + "/local")
	if err != nil {
		return report.Core, err
	}
	defer func() { _ = response.Body.Close() }()
	return report.Core, json.NewDecoder(response.Body).Decode(&report)
}

// roleName returns the name under which a process's usage is recorded: its program and its role in the replication group.
func roleName(process *fleet.Process, status replication.Status) string {
	switch process.Name {
	case status.Primary:
		return recordedPrograms[process.Program] + " primary"
	case status.Backup:
		return recordedPrograms[process.Program] + " backup"
	}
	return recordedPrograms[process.Program] + " witness"
}

// fetchMessageCounts reads a control plane process's message counters from its metrics endpoint, by the message kind's label.
func fetchMessageCounts(process *fleet.Process) (map[string]machine.MessageCount, error) {
	response, err := adminClient.Get("http://" + process.AdminAddress + "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.TextParser{}
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, err
	}
	totals := map[string]machine.MessageCount{}
	for name, counterOf := range map[string]func(count *machine.MessageCount, direction string) *uint64{
		"snowflow_kind_messages_total": func(count *machine.MessageCount, direction string) *uint64 {
			return map[string]*uint64{"sent": &count.Sent, "received": &count.Received}[direction]
		},
		"snowflow_kind_bytes_total": func(count *machine.MessageCount, direction string) *uint64 {
			return map[string]*uint64{"sent": &count.SentBytes, "received": &count.ReceivedBytes}[direction]
		},
	} {
		family := families[name]
		if family == nil {
			return nil, fmt.Errorf("%s does not export the metric %s", process.Name, name)
		}
		for _, metric := range family.Metric {
			labels := map[string]string{}
			for _, label := range metric.Label {
				labels[label.GetName()] = label.GetValue()
			}
			kind := labels["kind"]
			count := totals[kind]
			*counterOf(&count, labels["direction"]) = uint64(metric.Counter.GetValue())
			totals[kind] = count
		}
	}
	return totals, nil
}

// labelCounts returns counts with message kinds replaced by their metric labels, as in the counts that fetchMessageCounts returns.
func labelCounts(counts map[wire.Kind]machine.MessageCount) map[string]machine.MessageCount {
	totals := map[string]machine.MessageCount{}
	for kind, count := range counts {
		totals[machine.KindLabel(kind)] = count
	}
	return totals
}

// perSecond divides the increase between two readings by divisor, the product of the seconds and the number of processes. It leaves out
// message kinds without traffic between the readings.
func perSecond(before, after map[string]machine.MessageCount, divisor float64) map[string]Traffic {
	traffic := map[string]Traffic{}
	for kind, later := range after {
		earlier := before[kind]
		rate := Traffic{Sent: float64(later.Sent-earlier.Sent) / divisor, SentBytes: float64(later.SentBytes-earlier.SentBytes) / divisor,
			Received: float64(later.Received-earlier.Received) / divisor, ReceivedBytes: float64(later.ReceivedBytes-earlier.ReceivedBytes) / divisor}
		if rate != (Traffic{}) {
			traffic[kind] = rate
		}
	}
	return traffic
}

// residentBytes reads a memory field of /proc/PID/status in bytes, such as VmHWM, the peak resident set size.
func residentBytes(pid, field string) (float64, error) {
	content, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(content), "\n") {
		if value, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes * 1024, err
		}
	}
	return 0, fmt.Errorf("the status of process %s has no field %s", pid, field)
}

// ownCPUMicros returns the CPU time that this process has used since its start, in microseconds, or 0 if it cannot be read.
func ownCPUMicros() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1000
}

// loadAverage returns the machine's load average over the last minute, or 0 if it cannot be read.
func loadAverage() (average float64) {
	content, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, _ = fmt.Sscan(string(content), &average)
	}
	return average
}
