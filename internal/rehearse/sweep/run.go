package sweep

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/discovery"
	"snowflow/internal/host/machine"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/hollow"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Options are how a size is played.
type Options struct {
	Window   time.Duration // of steady state
	Timeout  time.Duration // for everything that is waited for outside it
	Failures bool
	Folder   string
	Binaries string
	Base     int // second part of the fleet's loopback numbers
}

// arrival is how far apart carriers come before the window; their return at once is measured behind it.
const startInterval = 10 * time.Millisecond

const (
	configStoreGroup = "postmaster"
	proxyRole        = "carrier"
)

// play is a run under way.
type measurement struct {
	size             Size
	options          Options
	fleet            *fleet.Fleet
	pool             *hollow.Pool
	host             *machine.Machine // the operator's
	resolver         *discovery.Resolver
	run              *Run
	version          int     // of the changes' contents
	baselineResident float64 // what this process had resident before the carriers came
}

// RunSize plays one run: it starts the core as processes and the carriers as hollow ones in this process, and measures.
func RunSize(size Size, options Options, number int) (Run, error) {
	run := Run{Size: size, Number: number, LoadAverage: loadAverage(), Roles: map[string]Role{}}
	coreFleet, err := fleet.New(layout.Layout{Name: "hollow", Zones: []string{"left", "middle", "right"}, CoreHosts: 3},
		fleet.Options{Dir: options.Folder, BinaryDir: options.Binaries, Subnet: options.Base, LoadBalancing: "near", LogLevel: "warn"})
	if err != nil {
		return run, err
	}
	defer coreFleet.Close()
	m := &measurement{size: size, options: options, fleet: coreFleet, run: &run, host: machine.New(nil, nil, nil)}
	defer m.host.CloseConnections()
	if err := coreFleet.StartAll(); err != nil {
		return run, err
	}
	if err := fleet.AwaitReady(coreFleet.Core(), options.Timeout); err != nil {
		return run, err
	}
	seeds := []string{}
	for _, process := range coreFleet.Core() {
		seeds = append(seeds, process.PeerAddress)
	}
	m.resolver = discovery.New(m.host, nil, seeds)
	// Each service is called by two carriers at least, so that a report of trouble is kept.
	calls := max(4, (2*size.Services+size.Proxies-1)/size.Proxies)
	m.pool = hollow.NewPool(hollow.Options{Proxies: size.Proxies, Services: size.Services, Calls: calls, Zones: coreFleet.Layout.Zones, Seeds: seeds[1:4]})
	defer m.pool.StopAll()
	for _, step := range []func() error{m.joinProxies, m.tripBreakers, m.measure, m.measureFailures} {
		if err := step(); err != nil {
			return run, err
		}
	}
	return run, nil
}

// until looks again and again until something is so.
func pollUntil(timeout time.Duration, condition func() bool) (reached bool) {
	started := time.Now()
	for !condition() {
		if time.Since(started) > timeout {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

func (m *measurement) countsAllProxies(count func() int) func() bool {
	return func() bool { return count() == m.size.Proxies }
}

// settle has a first desired state accepted and all carriers join.
func (m *measurement) joinProxies() error {
	if _, _, err := m.apply(m.options.Timeout); err != nil {
		return err
	}
	baseline, err := residentBytes("self", "VmRSS")
	if err != nil {
		return err
	}
	m.baselineResident = baseline
	began := time.Now()
	if err := m.pool.StartAll(startInterval); err != nil {
		return err
	}
	for _, step := range []struct {
		what  string
		count func() int
	}{{"ready", m.pool.ReadyCount}, {"aware of all others", m.pool.CompleteCount}} {
		if reached := pollUntil(m.options.Timeout, m.countsAllProxies(step.count)); !reached {
			return fmt.Errorf("only %d of %d carriers are %s after %v", step.count(), m.size.Proxies, step.what, m.options.Timeout)
		}
	}
	m.run.JoinSeconds = time.Since(began).Seconds()
	return nil
}

// guard gives each service a shared guard's record, by a report of trouble from one carrier that calls it.
func (m *measurement) tripBreakers() error {
	first := map[int]int{}
	for index := range m.size.Proxies {
		for _, service := range m.pool.CalledServices(index) {
			if _, known := first[service]; !known {
				first[service] = index
			}
		}
	}
	var reports sync.WaitGroup
	faults := make(chan error, len(first))
	slots := make(chan struct{}, 32)
	for service, index := range first {
		reports.Add(1)
		go func() {
			defer reports.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			faults <- m.pool.TripBreaker(index, service)
		}()
	}
	reports.Wait()
	close(faults)
	for err := range faults {
		if err != nil {
			return err
		}
	}
	complete := func() bool { return m.pool.BreakerCount(0) == len(first) }
	if reached := pollUntil(m.options.Timeout, complete); !reached {
		return fmt.Errorf("a carrier was told of %d of %d guards after %v", m.pool.BreakerCount(0), len(first), m.options.Timeout)
	}
	m.run.Breakers = len(first)
	return nil
}

// content writes the next desired state. Each differs in one route's cutoff, or in the note where there are no routes.
func (m *measurement) nextConfig() ([]byte, error) {
	m.version++
	state := &wire.DesiredState{Note: fmt.Sprintf("change %d", m.version), Groups: []*wire.Group{{Name: "all"}}}
	for index := range m.size.Services {
		state.Groups[0].Services = append(state.Groups[0].Services, &wire.Service{Name: hollow.ServiceName(index),
			Paths: []*wire.Path{{Method: "POST", Prefix: fmt.Sprintf("/s/%04d", index), Class: wire.Path_once}}})
	}
	for index := range m.size.Routes {
		route := &wire.Route{Name: fmt.Sprintf("route-%06d", index), Method: "GET", Prefix: fmt.Sprintf("/r/%06d", index), Class: wire.Path_read,
			Split: []*wire.Share{{Service: hollow.ServiceName(index % m.size.Services), Weight: 1}}}
		if index == m.version%m.size.Routes {
			deadlineMicros := int64(1000000 + m.version)
			route.CutoffMicros = &deadlineMicros
		}
		state.Routes = append(state.Routes, route)
	}
	content, err := protojson.Marshal(state)
	m.run.ConfigBytes = len(content)
	return content, err
}

// call asks a group's primary, again until patience ends.
func (m *measurement) callPrimary(group string, timeout time.Duration, request func(name string, left monotonic.Micros) error) error {
	deadline, err := time.Now().Add(timeout), errors.New("no primary is known")
	for time.Now().Before(deadline) {
		if name := m.resolver.Leader(group); name != "" {
			if err = request(name, monotonic.FromDuration(time.Until(deadline))); err == nil {
				return nil
			}
		}
		m.resolver.Refresh()
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// apply has a change accepted. It gives its serial and how long it took to be acknowledged.
func (m *measurement) apply(timeout time.Duration) (version uint64, took float64, err error) {
	content, err := m.nextConfig()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	request := &wire.ConfigApplyRequest{Content: content, AnyVersion: true, Request: strconv.Itoa(m.version)}
	response := &wire.ConfigApplyResponse{}
	err = m.callPrimary(configStoreGroup, timeout, func(name string, left monotonic.Micros) error {
		return m.resolver.Call(name, wire.Kind_config_apply, request, response, left)
	})
	if err == nil && response.Outcome != "accepted" {
		err = fmt.Errorf("a change was not accepted: %s %v", response.Outcome, response.Errors)
	}
	return response.Version, time.Since(began).Seconds(), err
}

// reading is what all processes had used and exchanged by a moment.
type usageReading struct {
	at            time.Time
	cpuMicros     map[string]float64
	messageCounts map[string]map[string]machine.MessageCount
}

func (m *measurement) readUsage() (usageReading, error) {
	taken := usageReading{at: time.Now(), cpuMicros: map[string]float64{proxyRole: ownCPUMicros()}, messageCounts: map[string]map[string]machine.MessageCount{proxyRole: labelCounts(m.pool.MessageCounts())}}
	for _, process := range m.fleet.Core() {
		taken.cpuMicros[process.Name] = float64(process.CPUTime())
		counted, err := fetchMessageCounts(process)
		if err != nil {
			return taken, err
		}
		taken.messageCounts[process.Name] = counted
	}
	return taken, nil
}

// measure is the window: changes, claims and restarts at their rates, and what everybody needs meanwhile.
func (m *measurement) measure() error {
	before, err := m.readUsage()
	if err != nil {
		return err
	}
	var work sync.WaitGroup
	faults := make(chan error, 3)
	for _, task := range []func() error{m.applyChanges, m.claimKeys, m.restartProxies} {
		work.Add(1)
		go func() {
			defer work.Done()
			if err := task(); err != nil {
				faults <- err
			}
		}()
	}
	time.Sleep(m.options.Window)
	work.Wait()
	after, err := m.readUsage()
	if err != nil {
		return err
	}
	select {
	case err := <-faults:
		return err
	default:
	}
	m.run.Seconds = after.at.Sub(before.at).Seconds()
	return m.recordUsage(before, after)
}

func (m *measurement) recordUsage(before, after usageReading) error {
	peak, err := residentBytes("self", "VmHWM")
	if err != nil {
		return err
	}
	proxies, seconds := float64(m.size.Proxies), m.run.Seconds
	m.run.Roles[proxyRole] = Role{Processes: m.size.Proxies, CPUMicros: (after.cpuMicros[proxyRole] - before.cpuMicros[proxyRole]) / seconds / proxies,
		ResidentBytes: (peak - m.baselineResident) / proxies, Kinds: perSecond(before.messageCounts[proxyRole], after.messageCounts[proxyRole], seconds*proxies)}
	statuses, err := m.awaitPrimaries()
	if err != nil {
		return err
	}
	for _, process := range m.fleet.Core() {
		core := statuses[process.Program]
		peak, err := residentBytes(strconv.Itoa(process.PID()), "VmHWM")
		if err != nil {
			return err
		}
		m.run.Roles[roleName(process, core)] = Role{Processes: 1, CPUMicros: (after.cpuMicros[process.Name] - before.cpuMicros[process.Name]) / seconds,
			ResidentBytes: peak, Kinds: perSecond(before.messageCounts[process.Name], after.messageCounts[process.Name], seconds)}
	}
	return nil
}

// standing is how both groups stand by their primaries' word, once each has a backup.
func (m *measurement) awaitPrimaries() (map[string]replication.Status, error) {
	statuses := map[string]replication.Status{}
	reached := pollUntil(m.options.Timeout, func() bool {
		for _, process := range m.fleet.Core() {
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

// spread runs a number of things one after another, evenly over the window.
func (m *measurement) spreadOverWindow(count int, do func(index int) error) error {
	began := time.Now()
	for index := range count {
		due := began.Add(m.options.Window * time.Duration(2*index+1) / time.Duration(2*count))
		time.Sleep(time.Until(due))
		if err := do(index); err != nil {
			return err
		}
	}
	return nil
}

func (m *measurement) applyChanges() error {
	return m.spreadOverWindow(m.size.Changes, func(int) error {
		began := time.Now()
		version, took, err := m.apply(m.options.Timeout)
		if err != nil {
			return err
		}
		// One that a newer state overtook at some carriers never comes to them; nothing else applies meanwhile.
		var last time.Time
		if reached := pollUntil(m.options.Timeout, func() bool {
			adopted, missing := m.pool.LastAdoption(version)
			last = adopted
			return missing == 0
		}); !reached {
			return fmt.Errorf("change %d has not reached all carriers after %v", version, m.options.Timeout)
		}
		m.run.TakeUp = append(m.run.TakeUp, last.Sub(began).Seconds())
		m.run.Acknowledged = append(m.run.Acknowledged, took)
		return nil
	})
}

// claim claims at a steady rate; each claim has a task of its own, so that slow ones don't slow the others.
func (m *measurement) claimKeys() error {
	var lock sync.Mutex
	var work sync.WaitGroup
	var took []float64
	count := int(float64(m.size.Calls) * m.options.Window.Seconds())
	err := m.spreadOverWindow(count, func(index int) error {
		work.Add(1)
		go func() {
			defer work.Done()
			began := time.Now()
			granted, err := m.pool.Claim(index%m.size.Proxies, fmt.Sprintf("service/key/%d", index), 5*monotonic.Second)
			lock.Lock()
			defer lock.Unlock()
			if err != nil || !granted {
				m.run.Claims.Other++
				return
			}
			took = append(took, time.Since(began).Seconds())
		}()
		return nil
	})
	work.Wait()
	slices.Sort(took)
	m.run.Claims.Granted = len(took)
	if len(took) > 0 {
		m.run.Claims.P50, m.run.Claims.P99 = took[len(took)/2], took[len(took)*99/100]
	}
	return err
}

func (m *measurement) restartProxies() error {
	return m.spreadOverWindow(m.size.Restarts, func(index int) error { return m.pool.Restart(index % m.size.Proxies) })
}

// fail kills both primaries at once and sees how long the groups don't answer; then all carriers go, and return at once.
func (m *measurement) measureFailures() error {
	if !m.options.Failures {
		return nil
	}
	result := &Failures{CutoffSecs: m.options.Timeout.Seconds()}
	m.run.Failures = result
	killed := []*fleet.Process{}
	statuses, err := m.awaitPrimaries()
	if err != nil {
		return err
	}
	for _, process := range m.fleet.Core() {
		if statuses[process.Program].Primary == process.Name {
			killed = append(killed, process)
		}
	}
	for _, process := range killed {
		process.Kill()
	}
	began := time.Now()
	var work sync.WaitGroup
	for into, request := range map[**float64]func() error{
		&result.Claims: func() error {
			_, err := m.pool.Claim(0, "service/after", monotonic.FromDuration(m.options.Timeout))
			return err
		},
		&result.Reads: func() error {
			return m.callPrimary(configStoreGroup, m.options.Timeout, func(name string, left monotonic.Micros) error {
				return m.resolver.Call(name, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, &wire.ConfigReadResponse{}, min(left, 300*monotonic.Millisecond))
			})
		},
		&result.Applies: func() error { _, _, err := m.apply(m.options.Timeout); return err },
	} {
		work.Add(1)
		go func() {
			defer work.Done()
			if request() == nil {
				took := time.Since(began).Seconds()
				*into = &took
			}
		}()
	}
	work.Wait()
	for _, process := range killed {
		if err := m.fleet.Start(process, ""); err != nil {
			return err
		}
	}
	if err := fleet.AwaitReady(killed, m.options.Timeout); err != nil {
		return err
	}
	m.pool.StopAll()
	time.Sleep(directory.SessionTimeout.Duration() + time.Second) // all sessions end
	return m.measureMassRestart(result)
}

func (m *measurement) measureMassRestart(result *Failures) error {
	bytes := func() (total float64) {
		for _, counted := range m.pool.MessageCounts() {
			total += float64(counted.SentBytes + counted.ReceivedBytes)
		}
		return total
	}
	before, began := bytes(), time.Now()
	if err := m.pool.StartAll(0); err != nil {
		return err
	}
	for _, target := range []struct {
		into  **float64
		count func() int
	}{{&result.Ready, m.pool.ReadyCount}, {&result.Complete, m.pool.CompleteCount}} {
		if reached := pollUntil(m.options.Timeout-time.Since(began), m.countsAllProxies(target.count)); reached {
			took := time.Since(began).Seconds()
			*target.into = &took
		}
	}
	result.Bytes = (bytes() - before) / float64(m.size.Proxies)
	return nil
}
