package scenario

import (
	"fmt"
	"slices"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// Scenario defines a kind of simulated run: its mesh, its traffic and its faults.
type Scenario struct {
	Name    string
	Summary string
	// Topology is the size and configuration of the mesh.
	Topology Topology
	// Duration is how long faults are injected and traffic is measured. The recovery follows.
	Duration monotonic.Micros
	// Rate is the mean number of requests per second.
	Rate int
	// FaultInterval is the mean interval between faults.
	FaultInterval monotonic.Micros
	// InitialFaults are injected first, in this order, so that every rule has something to examine.
	InitialFaults []fault
	// Faults are the faults that all later ones are drawn from. A fault that is listed twice is drawn twice as often.
	Faults []fault
	// Rules are the numbers of the rules that must find something to examine.
	Rules []int
	// Checks are run in addition to the rules.
	Checks []invariants.Check
	// Prepare completes the setup of the mesh before the traffic starts. It may be nil.
	Prepare func(m *Mesh)
	// DesiredState returns the first desired state. The default is Desired.
	DesiredState func(variant int) []byte
	// GenerateTraffic starts callers that send requests at a mean rate while Mesh.serving is true. The default is Mesh.startTraffic.
	GenerateTraffic func(m *Mesh, perSecond int)
	// SyncDuration is how long a sync of a core disk takes, at least defaultSyncDuration.
	SyncDuration monotonic.Micros
}

const (
	defaultSyncDuration = 200 * monotonic.Micros(1)
	// warmUp is the time between the start of the mesh and the start of the traffic.
	warmUp = 8 * monotonic.Second
	// faultFreePeriod is the last part of the duration, in which no more faults are injected.
	faultFreePeriod = 5 * monotonic.Second
	// recoveryPeriod is how long the traffic continues after all faults have ended.
	recoveryPeriod = 18 * monotonic.Second
	// quietPeriod is how long, at the end, requests in flight may take, and after them the reading of the stored configurations.
	quietPeriod = 20 * monotonic.Second
)

// Scenarios holds all scenarios by name.
var Scenarios = map[string]Scenario{}

func register(scenario Scenario) { Scenarios[scenario.Name] = scenario }

// Result is the outcome of a run.
type Result struct {
	Seed     uint64
	Scenario string
	// Findings are the violations, and the rules and checks that had nothing to examine although they should have.
	Findings []invariants.Finding
	// Examined is the number of observations that each rule examined, by the rule's number.
	Examined map[int]int
	// Served is the number of attempts that a backend answered with status 200, and Sent the number of all attempts.
	Served int
	Sent   int
	// Faults are the injected faults with their times.
	Faults []string
	// Digest identifies the run's sequence of events, and Events is their number.
	Digest uint64
	Events uint64
	// Latencies are the latencies of the served attempts by the kind of traffic, in ascending order.
	Latencies map[string][]monotonic.Micros
	// Log holds the events that nodes reported, and the faults, as text.
	Log []string
	// Panicked is the value that a task panicked with, or nil.
	Panicked any
}

// Run executes a scenario with a seed.
func Run(scenario Scenario, seed uint64, defects Defects) Result {
	m := Build(seed, scenario.Topology, defects)
	defer m.World.Close()
	m.start(scenario)
	end := m.World.Now() + scenario.Duration
	injector := faultInjector{mesh: m, scenario: scenario, pending: scenario.InitialFaults, end: end - faultFreePeriod}
	injector.scheduleNext()
	m.World.Run(end)
	m.heal()
	m.World.Run(end + recoveryPeriod)
	m.serving = false
	m.runFor(quietPeriod)
	m.External.Go(m.readBackVersions)
	m.runFor(quietPeriod)

	result := m.result(scenario)
	result.Seed, result.Faults = seed, injector.injected
	return result
}

// start applies the first desired state, lets the mesh warm up, and starts the traffic and the observer.
func (m *Mesh) start(scenario Scenario) {
	m.syncDuration = max(scenario.SyncDuration, defaultSyncDuration)
	for _, node := range m.allCoreNodes() {
		node.Disk.SyncDelay = m.syncDuration
	}
	desired := scenario.DesiredState
	if desired == nil {
		desired = Desired
	}
	m.External.Go(func() { m.applyDesired(desired(0), false, 0, 20*monotonic.Second) })
	m.runFor(warmUp)
	if scenario.Prepare != nil {
		scenario.Prepare(m)
	}
	if scenario.GenerateTraffic != nil {
		m.serving = true
		scenario.GenerateTraffic(m, scenario.Rate)
	} else {
		m.startTraffic(scenario.Rate)
	}
	m.startObserver()
}

// faultInjector injects a scenario's faults one after another.
type faultInjector struct {
	mesh     *Mesh
	scenario Scenario
	pending  []fault          // the initial faults that are not injected yet
	end      monotonic.Micros // no fault is injected from this time on
	injected []string
}

// scheduleNext schedules the next fault after a random interval.
func (i *faultInjector) scheduleNext() {
	interval := i.scenario.FaultInterval
	i.mesh.after(i.mesh.randomDuration(interval/2, interval*3/2), i.injectNext)
}

func (i *faultInjector) injectNext() {
	if i.mesh.World.Now() >= i.end {
		return
	}
	// A fault is drawn even if an initial fault is injected in its place.
	next := pick(i.mesh, i.scenario.Faults)
	if len(i.pending) > 0 {
		next, i.pending = i.pending[0], i.pending[1:]
	}
	i.injected = append(i.injected, fmt.Sprintf("%d %s", i.mesh.World.Now(), next.name))
	i.mesh.logf("FAULT %s", next.name)
	next.inject(i.mesh)
	i.scheduleNext()
}

// heal ends every fault and starts the nodes of all machines in use. The markers tell the checkers that recovery begins now.
func (m *Mesh) heal() {
	m.World.HealNetwork()
	for _, node := range m.World.Nodes() {
		node.Disk.Capacity, node.Disk.FailSyncs, node.Disk.SyncDelay = 0, 0, m.syncDuration
		m.World.Thaw(node)
		if m.retired[node.Machine] {
			continue
		}
		if m.defects.NoRecovery && (node.Machine == m.coreMachines[0] || node.Machine == m.coreMachines[1]) {
			m.World.Kill(node)
			continue
		}
		m.World.Start(node)
	}
	setBehavior(m.backends, healthy)
	m.degraded = nil
	m.History.RecordMarker(invariants.MarkerNetworkRestored, m.World.Now())
	m.History.RecordMarker(invariants.MarkerFaultsEnded, m.World.Now())
}

// result checks the history of a finished run and returns the run's result.
func (m *Mesh) result(scenario Scenario) Result {
	result := Result{
		Scenario:  scenario.Name,
		Latencies: map[string][]monotonic.Micros{},
		Digest:    m.World.Digest(),
		Events:    m.World.Events,
		Log:       m.log,
		Panicked:  m.World.Panicked,
	}
	result.Findings, result.Examined = m.check(scenario)
	for _, attempt := range m.History.Attempts {
		result.Sent++
		if served(attempt) {
			result.Served++
			result.Latencies[attempt.Kind] = append(result.Latencies[attempt.Kind], attempt.Ended-attempt.Sent)
		}
	}
	for _, latencies := range result.Latencies {
		slices.Sort(latencies)
	}
	return result
}

// check returns the findings of all rules and of the scenario's checks, and how many observations each rule examined. A rule or
// check that had nothing to examine although it should have is a finding too.
func (m *Mesh) check(scenario Scenario) (findings []invariants.Finding, examined map[int]int) {
	findings, examined = invariants.CheckRules(m.History)
	for _, rule := range scenario.Rules {
		if examined[rule] == 0 {
			findings = append(findings, invariants.Finding{Rule: rule, Text: "there was nothing to examine", NothingExamined: true})
		}
	}
	for _, check := range scenario.Checks {
		violations, _ := check.Run(m.History)
		findings = append(findings, violations...)
	}
	if !m.History.ReadBackComplete {
		findings = append(findings, invariants.Finding{Rule: 7, Text: "the stored configurations could not be read", NothingExamined: true})
	}
	if m.World.Panicked != nil {
		findings = append(findings, invariants.Finding{Text: fmt.Sprint(m.World.Panicked)})
	}
	return findings, examined
}
