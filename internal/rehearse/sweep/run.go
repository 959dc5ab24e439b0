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
	Window   time.Duration // duration of the measured steady state
	Timeout  time.Duration // limits each wait for a state, such as until all proxies are ready
	Failures bool          // whether to measure the recovery from failures of the primaries and a restart of all proxies after the window
	Folder   string        // folder for the settings, data and logs of the control plane processes
	Binaries string        // folder of the programs
	Base     int           // second octet of the fleet's loopback addresses
}

// startInterval is the time between the starts of two proxies before the window. After the window, all proxies are restarted at once.
const startInterval = 10 * time.Millisecond

// configStoreGroup is the name of the configuration store's replication group, and proxyRole is the role of proxies in records. Both
// values date from before the programs were renamed.
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
	host             *machine.Machine // host of the operator that applies configurations
	resolver         *discovery.Resolver
	run              *Run
	version          int     // number of configurations generated, so that each differs from the one before
	baselineResident float64 // resident bytes of this process before the proxies were started
}

// RunSize measures one run of a size. It starts the control plane as separate processes. The proxies run within this process and forward no
// requests. number is the position of the run among those of its size.
func RunSize(size Size, options Options, number int) (Run, error) {
	run := Run{Size: size, Number: number, LoadAverage: loadAverage(), Roles: map[string]RoleUsage{}}
	controlPlane, err := fleet.New(layout.Layout{Name: "hollow", Zones: []string{"left", "middle", "right"}, ControlPlaneHosts: 3},
		fleet.Options{Dir: options.Folder, BinaryDir: options.Binaries, Subnet: options.Base, LoadBalancing: "near", LogLevel: "warn"})
	if err != nil {
		return run, err
	}
	defer controlPlane.Close()
	m := &measurement{size: size, options: options, fleet: controlPlane, run: &run, host: machine.New(nil, nil, nil)}
	defer m.host.CloseConnections()
	if err := controlPlane.StartAll(); err != nil {
		return run, err
	}
	if err := fleet.AwaitReady(controlPlane.ControlPlane(), options.Timeout); err != nil {
		return run, err
	}
	seeds := []string{}
	for _, process := range controlPlane.ControlPlane() {
		seeds = append(seeds, process.PeerAddress)
	}
	m.resolver = discovery.New(m.host, nil, seeds)
	// Enough calls that at least two proxies call each service: the registry delays the trip report of a service's only caller.
	calls := max(4, (2*size.Services+size.Proxies-1)/size.Proxies)
	m.pool = hollow.NewPool(hollow.Options{Proxies: size.Proxies, Services: size.Services, CalledServices: calls, Zones: controlPlane.Layout.Zones, Seeds: seeds[1:4]})
	defer m.pool.StopAll()
	for _, step := range []func() error{m.joinProxies, m.tripBreakers, m.measureSteadyState, m.measureRecovery} {
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

// countsAllProxies returns a condition that holds when count returns the number of all proxies.
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
	started := time.Now()
	if err := m.pool.StartAll(startInterval); err != nil {
		return err
	}
	for _, step := range []struct {
		state string
		count func() int
	}{{"ready", m.pool.ReadyCount}, {"aware of all others", m.pool.CompleteDirectoryCount}} {
		if reached := pollUntil(m.options.Timeout, m.countsAllProxies(step.count)); !reached {
			return fmt.Errorf("only %d of %d proxies are %s after %v", step.count(), m.size.Proxies, step.state, m.options.Timeout)
		}
	}
	m.run.JoinSeconds = time.Since(started).Seconds()
	return nil
}

// tripBreakers sends a trip report for each service on behalf of one proxy that calls it, so that the registry creates shared breaker
// records for all services. It then waits until the proxy with index 0 has received all records.
func (m *measurement) tripBreakers() error {
	callers := map[int]int{}
	for index := range m.size.Proxies {
		for _, service := range m.pool.CalledServices(index) {
			if _, known := callers[service]; !known {
				callers[service] = index
			}
		}
	}
	var reports sync.WaitGroup
	errs := make(chan error, len(callers))
	slots := make(chan struct{}, 32)
	for service, index := range callers {
		reports.Add(1)
		go func() {
			defer reports.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			errs <- m.pool.TripBreaker(index, service)
		}()
	}
	reports.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	complete := func() bool { return m.pool.BreakerCount(0) == len(callers) }
	if reached := pollUntil(m.options.Timeout, complete); !reached {
		return fmt.Errorf("proxy 0 has received only %d of %d breaker records after %v", m.pool.BreakerCount(0), len(callers), m.options.Timeout)
	}
	m.run.Breakers = len(callers)
	return nil
}
