package sweep

import (
	"fmt"
	"strconv"
	"time"

	"snowflow/internal/host/machine"
	"snowflow/internal/replication"
)

// usageReading is the CPU time that each process has used and the messages that it has exchanged up to one time.
type usageReading struct {
	at            time.Time
	cpuMicros     map[string]float64                         // by process name; the sum of the proxies under proxyRole
	messageCounts map[string]map[string]machine.MessageCount // by process name as above, then by the message kind's label
}

// readUsage reads the counters of this process and of all control plane processes.
func (m *measurement) readUsage() (usageReading, error) {
	reading := usageReading{at: time.Now(), cpuMicros: map[string]float64{proxyRole: ownCPUMicros()}, messageCounts: map[string]map[string]machine.MessageCount{proxyRole: labelCounts(m.pool.MessageCounts())}}
	for _, process := range m.fleet.ControlPlane() {
		reading.cpuMicros[process.Name] = float64(process.CPUTime())
		counts, err := fetchMessageCounts(process)
		if err != nil {
			return reading, err
		}
		reading.messageCounts[process.Name] = counts
	}
	return reading, nil
}

// recordUsage records each role's peak memory, and its CPU time and traffic between two readings. A control plane process is recorded
// under the role that it has at the end of the window.
func (m *measurement) recordUsage(before, after usageReading) error {
	peak, err := residentBytes("self", "VmHWM")
	if err != nil {
		return err
	}
	proxies, seconds := float64(m.size.Proxies), m.run.Seconds
	m.run.Roles[proxyRole] = RoleUsage{Processes: m.size.Proxies, CPUMicros: (after.cpuMicros[proxyRole] - before.cpuMicros[proxyRole]) / seconds / proxies,
		ResidentBytes: (peak - m.baselineResident) / proxies, Kinds: perSecond(before.messageCounts[proxyRole], after.messageCounts[proxyRole], seconds*proxies)}
	statuses, err := m.awaitPrimaries()
	if err != nil {
		return err
	}
	for _, process := range m.fleet.ControlPlane() {
		status := statuses[process.Program]
		peak, err := residentBytes(strconv.Itoa(process.PID()), "VmHWM")
		if err != nil {
			return err
		}
		m.run.Roles[roleName(process, status)] = RoleUsage{Processes: 1, CPUMicros: (after.cpuMicros[process.Name] - before.cpuMicros[process.Name]) / seconds,
			ResidentBytes: peak, Kinds: perSecond(before.messageCounts[process.Name], after.messageCounts[process.Name], seconds)}
	}
	return nil
}

// awaitPrimaries waits until both replication groups have a serving primary with a backup. It returns the primaries' statuses by
// program.
func (m *measurement) awaitPrimaries() (map[string]replication.Status, error) {
	statuses := map[string]replication.Status{}
	reached := pollUntil(m.options.Timeout, func() bool {
		for _, process := range m.fleet.ControlPlane() {
			status, err := fetchStatus(process)
			if err == nil && status.Serving && status.Primary == process.Name && status.Backup != "" {
				statuses[process.Program] = status
			}
		}
		return len(statuses) == 2
	})
	if !reached {
		return nil, fmt.Errorf("after %v only %d of 2 groups have a primary with a backup", m.options.Timeout, len(statuses))
	}
	return statuses, nil
}
