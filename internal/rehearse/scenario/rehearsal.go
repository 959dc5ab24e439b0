// Package scenario runs rehearsals: it starts a fleet of real processes, simulates everything outside the mesh, injects faults under
// traffic, and checks the invariants on the recorded history of requests, executions and responses.
package scenario

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"snowflow/examples"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/rehearse/standin"
	"snowflow/internal/workload"
)

// ErrFindings is returned for a rehearsal that ran to its end and whose checkers found violations or examined nothing.
var ErrFindings = errors.New("the rehearsal failed")

// Options are the settings of one rehearsal.
type Options struct {
	Layout            string        // name of a layout
	Scenario          string        // name of a scenario, current or deprecated
	Duration          time.Duration // about how long traffic goes on
	LoadFactor        float64       // multiplies the layout's request rates
	OverloadFactor    float64       // multiplies the rates of the extra load in the rush scenario
	BackendLimit      int           // overrides the limit of requests in flight per backend, for comparisons; zero for the layout's limit
	Dir               string        // folder for the processes' settings, data and logs
	BinaryDir         string        // folder of the programs
	PreviousBinaryDir string        // folder of an earlier build's programs, for the versions scenario
	Subnet            int           // second octet of the fleet's loopback addresses, from 1 to 254
	UseRelays         bool          // connect the processes through relays, which partitions, delays and byte counts need
	LogLevel          string        // minimum level that the processes log; empty for info
	LoadBalancing     string        // how proxies choose backends: near or uniform
	SyncDelay         time.Duration // added to each sync of the control plane's disks
}

// Rehearsal is one run of a scenario: a running fleet, its simulated callers, backends and operators, and the recorded history.
type Rehearsal struct {
	Fleet    *fleet.Fleet
	Clock    *monotonic.SystemClock
	History  *invariants.History
	Load     *standin.LoadGenerator
	Operator *standin.Operator
	Logf     func(format string, arguments ...any)
	Options  Options

	mu       sync.Mutex // guards Backends and ports
	Backends []*standin.Backend
	ports    map[string]int // number of backend ports allocated so far, by host

	cpuTimes     map[string]int64       // CPU time in microseconds by process name, as of RecordCPUTimes
	cleanups     []func()               // run by Close in reverse order
	findings     []string               // violations that the scenario itself detected
	routeChanges *workload.RouteChanges // generates the changes of the peak traffic scenarios; nil in others
	tenants      *tenants               // nil in scenarios without tenants
	watcher      watcher
}

// Run runs one scenario on a new fleet. The report is valid if the error is nil or ErrFindings. Any other error means that the fleet
// could not be started or the scenario could not be carried out, so that there is no result.
func Run(options Options, logf func(format string, arguments ...any)) (Report, error) {
	chosen, err := Find(options.Scenario)
	if err != nil {
		return Report{}, err
	}
	options.Scenario = chosen.Name
	logf("starting %s", options.Layout)
	r, err := Open(options, logf)
	if r != nil {
		defer r.Close()
	}
	if err != nil {
		return Report{}, err
	}
	if chosen.Prepare != nil {
		if err := chosen.Prepare(r); err != nil {
			return Report{}, err
		}
	}
	logf("fleet is ready, running %s", chosen.Name)
	r.Watch()
	r.RecordCPUTimes()
	began := time.Now()
	r.Load.Start(options.LoadFactor)
	if err := chosen.Run(r); err != nil {
		return Report{}, err
	}
	r.Load.Stop()
	if err := r.Operator.ReadBack(); err != nil {
		return Report{}, fmt.Errorf("reading back the desired states: %w", err)
	}
	report := r.BuildReport(began, chosen.Checks...)
	report.requireObservations(chosen.Rules)
	if len(report.Findings) > 0 {
		return report, ErrFindings
	}
	return report, nil
}

// Open starts the fleet and its backends, and applies the layout's desired state. The caller must call Close on the rehearsal if it is
// not nil, even after an error.
func Open(options Options, logf func(format string, arguments ...any)) (*Rehearsal, error) {
	chosen, err := layout.Find(options.Layout)
	if err != nil {
		return nil, err
	}
	r := &Rehearsal{Clock: monotonic.NewSystemClock(), History: &invariants.History{}, Logf: logf, Options: options, ports: map[string]int{},
		cpuTimes: map[string]int64{}, watcher: watcher{stop: make(chan struct{})}}
	r.Fleet, err = fleet.New(chosen, fleet.Options{Dir: options.Dir, BinaryDir: options.BinaryDir, Subnet: options.Subnet, UseRelays: options.UseRelays,
		LoadBalancing: options.LoadBalancing, LogLevel: cmp.Or(options.LogLevel, "info")})
	if err != nil {
		return nil, err
	}
	r.cleanups = append(r.cleanups, r.Fleet.Close)
	if err := r.startFleet(); err != nil {
		return r, err
	}
	if err := r.startBackends(); err != nil {
		return r, err
	}
	if err := r.applyFirstState(); err != nil {
		return r, err
	}
	r.History.RetryAllowance = 20 // the allowance that the example desired states grant each service
	if err := fleet.AwaitReady(r.Fleet.Proxies, readyTimeout); err != nil {
		return r, err
	}
	time.Sleep(2 * time.Second) // until every proxy has learned of the registered backends by polling
	return r, nil
}

// startFleet starts all processes and waits until the control plane is ready.
func (r *Rehearsal) startFleet() error {
	for _, process := range r.Fleet.All() {
		process.OnPlannedStop = func(what string) func() {
			end := r.History.BeginPlannedChange(what, r.Clock.Now())
			return func() { end(r.Clock.Now()) }
		}
	}
	for _, process := range r.Fleet.ControlPlane() {
		if err := r.Fleet.SetSyncDelay(process, r.Options.SyncDelay); err != nil {
			return err
		}
	}
	if r.Options.Scenario == "clocks" { // not in others, since the earlier builds in the versions scenario do not know the setting
		for _, process := range r.Fleet.All() {
			if err := r.Fleet.AllowClockSteps(process); err != nil {
				return err
			}
		}
	}
	if err := r.Fleet.StartAll(); err != nil {
		return err
	}
	r.Operator = standin.NewOperator(r.Fleet, r.Clock, r.History)
	r.Load = standin.NewLoadGenerator(r.Fleet, r.Clock, r.History)
	return fleet.AwaitReady(r.Fleet.ControlPlane(), readyTimeout)
}

func (r *Rehearsal) startBackends() error {
	for _, service := range r.Fleet.Layout.Services {
		for index := range service.Backends {
			if _, err := r.AddBackend(service, r.Fleet.Layout.ProxyIndex(service, index)); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyFirstState applies the layout's desired state, with Options.BackendLimit if it is set.
func (r *Rehearsal) applyFirstState() error {
	content, err := examples.Desired(r.Fleet.Layout.DesiredState)
	if err != nil {
		return err
	}
	if r.Options.BackendLimit > 0 {
		content = bytes.ReplaceAll(content, []byte(`"services": [`), []byte(fmt.Sprintf(`"limits": {"inFlightPerBackend": %d}, "services": [`, r.Options.BackendLimit)))
	}
	applied, err := r.Operator.Apply(content, "any", 30*time.Second)
	if err != nil || applied.Outcome != "accepted" {
		return fmt.Errorf("the first desired state was not accepted: %v %w", applied, err)
	}
	return nil
}

// AddFinding records a violation that the scenario itself detected.
func (r *Rehearsal) AddFinding(format string, arguments ...any) {
	r.findings = append(r.findings, fmt.Sprintf(format, arguments...))
}

// AddBackend starts an instance of a service on the host of the proxy with this index, on a port that no backend has used before.
func (r *Rehearsal) AddBackend(service layout.Service, proxyIndex int) (*standin.Backend, error) {
	process := r.Fleet.Proxies[proxyIndex]
	r.mu.Lock()
	r.ports[process.Host]++
	address := fmt.Sprintf("%s:%d", process.Host, 8000+r.ports[process.Host])
	r.mu.Unlock()
	return r.AddBackendAt(service, process, address)
}

// AddBackendAt starts an instance of a service at an address and registers it with the given proxy.
func (r *Rehearsal) AddBackendAt(service layout.Service, process *fleet.Process, address string) (*standin.Backend, error) {
	backend, err := standin.NewBackend(service, address, process, r.Clock, r.History)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Backends = append(r.Backends, backend)
	return backend, nil
}

// ProxyIndexOf returns the index of the proxy on a backend's host; zero if there is none.
func (r *Rehearsal) ProxyIndexOf(backend *standin.Backend) int {
	for index, process := range r.Fleet.Proxies {
		if strings.HasPrefix(backend.Address, process.Host+":") {
			return index
		}
	}
	return 0
}

// RemoveBackend removes a closed backend from Backends.
func (r *Rehearsal) RemoveBackend(backend *standin.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for index, present := range r.Backends {
		if present == backend {
			r.Backends = append(r.Backends[:index], r.Backends[index+1:]...)
			return
		}
	}
}

// BackendsOf returns a service's backends.
func (r *Rehearsal) BackendsOf(service string) (backends []*standin.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, backend := range r.Backends {
		if backend.Service.Name == service {
			backends = append(backends, backend)
		}
	}
	return backends
}

// AwaitPrimary waits until a member of a group reports that it serves as primary, and returns that member. If none does in 100 polls,
// 100 ms apart, it returns the group's first member.
func (r *Rehearsal) AwaitPrimary(group []*fleet.Process) *fleet.Process {
	for range 100 {
		for _, process := range group {
			var status struct {
				Core struct {
					Serving bool `json:"answering"`
				} `json:"core"`
			}
			if process.Running() && r.Operator.ReadJSON(process, "/local", &status) == nil && status.Core.Serving {
				return process
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return group[0]
}

// Wait lets the traffic continue for a duration.
func (r *Rehearsal) Wait(duration time.Duration) { time.Sleep(duration) }

// RecordCPUTimes records the CPU time that each process has used so far. The report contains the CPU time used after that.
func (r *Rehearsal) RecordCPUTimes() {
	for _, process := range r.Fleet.All() {
		r.cpuTimes[process.Name] = process.CPUTime()
	}
}

// Close stops the watcher, the backends and the fleet.
func (r *Rehearsal) Close() {
	r.mu.Lock()
	backends := append([]*standin.Backend(nil), r.Backends...)
	r.mu.Unlock()
	r.watcher.requestStop()
	for _, backend := range backends {
		backend.Close()
	}
	for index := len(r.cleanups) - 1; index >= 0; index-- {
		r.cleanups[index]()
	}
	r.watcher.done.Wait() // last, because its requests to frozen processes return only once the processes have ended
}

func randomItem[Item any](items []Item) Item { return items[rand.IntN(len(items))] }
