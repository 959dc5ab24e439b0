package sweep

import (
	"fmt"
	"strconv"
	"time"

	"snowflow/internal/host/machine"
	"snowflow/internal/replication"
)

// usageReading is what all processes have used and exchanged up to one time.
type usageReading struct {
	at            time.Time
	cpuMicros     map[string]float64                         // by process name; the proxies together under proxyRole
	messageCounts map[string]map[string]machine.MessageCount // by process name as above, then by kind
}

// readUsage reads the counters of this process and of all control plane processes.
func (m *measurement) readUsage() (usageReading, error) {
	taken := usageReading{at: time.Now(), cpuMicros: map[string]float64{proxyRole: ownCPUMicros()}, messageCounts: map[string]map[string]machine.MessageCount{proxyRole: labelCounts(m.pool.MessageCounts())}}
	for _, process := range m.fleet.ControlPlane() {
		taken.cpuMicros[process.Name] = float64(process.CPUTime())
		counted, err := fetchMessageCounts(process)
		if err != nil {
			return taken, err
		}
		taken.messageCounts[process.Name] = counted
	}
	return taken, nil
}

// recordUsage records each role's CPU time, memory and traffic between two readings. A control plane process is recorded under the
// role that it has at the window's end.
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
		core := statuses[process.Program]
		peak, err := residentBytes(strconv.Itoa(process.PID()), "VmHWM")
		if err != nil {
			return err
		}
		m.run.Roles[roleName(process, core)] = RoleUsage{Processes: 1, CPUMicros: (after.cpuMicros[process.Name] - before.cpuMicros[process.Name]) / seconds,
			ResidentBytes: peak, Kinds: perSecond(before.messageCounts[process.Name], after.messageCounts[process.Name], seconds)}
	}
	return nil
}

// awaitPrimaries waits until both groups have a serving primary with a backup, and returns the primaries' statuses by program.
func (m *measurement) awaitPrimaries() (map[string]replication.Status, error) {
	statuses := map[string]replication.Status{}
	reached := pollUntil(m.options.Timeout, func() bool {
		for _, process := range m.fleet.ControlPlane() {
			core, err := fetchStatus(process)
			if err == nil && core.Serving && core.Primary == process.Name && core.Backup != "" {
				statuses[process.Program] = core
			}
		}
		return len(statuses) == 2
	})
	if !reached {
		return nil, fmt.Errorf("after %v only %d of 2 groups have a primary with a backup", m.options.Timeout, len(statuses))
	}
	return statuses, nil
}
