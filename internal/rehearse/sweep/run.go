package sweep

import (
	"fmt"
	"sync"
	"time"

	"snowflow/internal/discovery"
	"snowflow/internal/host/machine"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/hollow"
	"snowflow/internal/rehearse/layout"
)

// Options configures how one run is measured.
type Options struct {
	Window   time.Duration // length of the steady state that is measured
	Timeout  time.Duration // for each wait outside the window's schedule, such as until all proxies are ready
	Failures bool          // whether failures of the primaries and a restart of all proxies are measured after the window
	Folder   string        // working directory of the control plane's processes
	Binaries string        // directory of the programs
	Base     int           // second octet of the fleet's loopback addresses
}

// startInterval is the time between the starts of two proxies before the window. After the window they are restarted all at once.
const startInterval = 10 * time.Millisecond

// Names in recorded runs and of replication groups, unchanged since the programs were renamed.
const (
	configStoreGroup = "postmaster"
	proxyRole        = "carrier"
)

// measurement is the state of one run in progress.
type measurement struct {
	size             Size
	options          Options
	fleet            *fleet.Fleet
	pool             *hollow.Pool
	host             *machine.Machine // of the operator, who applies configurations
	resolver         *discovery.Resolver
	run              *Run
	version          int     // counts the configurations written, so that each differs from the one before
	baselineResident float64 // resident bytes of this process before the proxies started
}

// RunSize measures one run of a size. It starts the control plane as processes of their own and the proxies, which carry no
// traffic, within this process. The result bears number, the run's place among those of its size.
func RunSize(size Size, options Options, number int) (Run, error) {
	run := Run{Size: size, Number: number, LoadAverage: loadAverage(), Roles: map[string]RoleUsage{}}
	coreFleet, err := fleet.New(layout.Layout{Name: "hollow", Zones: []string{"left", "middle", "right"}, ControlPlaneHosts: 3},
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
	if err := fleet.AwaitReady(coreFleet.ControlPlane(), options.Timeout); err != nil {
		return run, err
	}
	seeds := []string{}
	for _, process := range coreFleet.ControlPlane() {
		seeds = append(seeds, process.PeerAddress)
	}
	m.resolver = discovery.New(m.host, nil, seeds)
	// Each service gets at least two callers, as the registry defers a fault report of the only one.
	calls := max(4, (2*size.Services+size.Proxies-1)/size.Proxies)
	m.pool = hollow.NewPool(hollow.Options{Proxies: size.Proxies, Services: size.Services, CalledServices: calls, Zones: coreFleet.Layout.Zones, Seeds: seeds[1:4]})
	defer m.pool.StopAll()
	for _, step := range []func() error{m.joinProxies, m.tripBreakers, m.measure, m.measureFailures} {
		if err := step(); err != nil {
			return run, err
		}
	}
	return run, nil
}

// pollUntil checks condition every 5 ms until it holds, and reports whether it did within timeout.
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

// countsAllProxies gives the condition that count has reached the number of proxies.
func (m *measurement) countsAllProxies(count func() int) func() bool {
	return func() bool { return count() == m.size.Proxies }
}

// joinProxies applies a first configuration, starts all proxies and waits until each is ready and knows all others.
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
	}{{"ready", m.pool.ReadyCount}, {"aware of all others", m.pool.CompleteDirectoryCount}} {
		if reached := pollUntil(m.options.Timeout, m.countsAllProxies(step.count)); !reached {
			return fmt.Errorf("only %d of %d proxies are %s after %v", step.count(), m.size.Proxies, step.what, m.options.Timeout)
		}
	}
	m.run.JoinSeconds = time.Since(began).Seconds()
	return nil
}

// tripBreakers creates a shared breaker record for each service, by a fault report from one proxy that calls it, and waits until
// the first proxy has received all of them.
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
		return fmt.Errorf("a proxy has received %d of %d breaker records after %v", m.pool.BreakerCount(0), len(first), m.options.Timeout)
	}
	m.run.Breakers = len(first)
	return nil
}
