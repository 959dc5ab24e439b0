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

var adminClient = &http.Client{Timeout: 10 * time.Second}

// status asks a process of the core how its group stands.
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

// role names what a process is in its group.
func roleName(process *fleet.Process, core replication.Status) string {
	switch process.Name {
	case core.Primary:
		return recordedPrograms[process.Program] + " primary"
	case core.Backup:
		return recordedPrograms[process.Program] + " backup"
	}
	return recordedPrograms[process.Program] + " witness"
}

// kinds reads a process's counts by kind from its metrics.
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
			return nil, fmt.Errorf("%s shows no %s", process.Name, name)
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

func labelCounts(counted map[wire.Kind]machine.MessageCount) map[string]machine.MessageCount {
	totals := map[string]machine.MessageCount{}
	for kind, count := range counted {
		totals[machine.KindLabel(kind)] = count
	}
	return totals
}

// rates divides what came between two readings by time and processes.
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

// resident reads a field such as VmHWM, the most a process had resident, in bytes.
func residentBytes(pid, field string) (float64, error) {
	content, err := os.ReadFile("/proc/" + pid + "/status")
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(content), "\n") {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes * 1024, err
		}
	}
	return 0, fmt.Errorf("process %s has no %s", pid, field)
}

// processor is what this process used so far, in microseconds.
func ownCPUMicros() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1000
}

// load is the machine's load average over the last minute.
func loadAverage() (average float64) {
	content, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, _ = fmt.Sscan(string(content), &average)
	}
	return average
}
