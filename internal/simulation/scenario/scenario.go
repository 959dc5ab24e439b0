package scenario

import (
	"fmt"
	"slices"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// Scenario is one kind of simulated run.
type Scenario struct {
	Name    string
	Summary string
	// Topology is the mesh's.
	Topology Topology
	// Duration is how long faults are injected and traffic is measured, before the recovery.
	Duration monotonic.Micros
	// Rate is the mean number of requests in a second.
	Rate int
	// FaultInterval is the mean time between two faults.
	FaultInterval monotonic.Micros
	// InitialFaults are injected in their order, before any others are drawn, so that every rule has something to examine.
	InitialFaults []fault
	// Faults are those that the later ones are drawn from. One that stands twice is drawn twice as often.
	Faults []fault
	// Rules are the numbers of the rules that must examine something.
	Rules []int
	// Checks are made besides the rules.
	Checks []invariants.Check
	// Prepare sets the mesh up further before the traffic starts; nil if nothing is needed.
	Prepare func(m *Mesh)
	// DesiredState makes the first desired state; Desired if nil.
	DesiredState func(variant int) []byte
	// GenerateTraffic starts callers that send requests at a rate while the mesh is serving; Mesh.startTraffic if nil.
	GenerateTraffic func(m *Mesh, perSecond int)
	// SyncDuration is how long a sync of a core disk takes; defaultSyncDuration if zero.
	SyncDuration monotonic.Micros
}

const (
	defaultSyncDuration = 200 * monotonic.Micros(1)
	// warmUp is the time from the start of the mesh to that of the traffic.
	warmUp = 8 * monotonic.Second
	// faultFreePeriod is how long before the end of the duration the last fault is injected.
	faultFreePeriod = 5 * monotonic.Second
	// recoveryPeriod is how long the traffic goes on after all faults have ended.
	recoveryPeriod = 18 * monotonic.Second
	// quietPeriod is how long requests in flight, and then the reading of the stored configurations, may take at the end.
	quietPeriod = 20 * monotonic.Second
)

// Scenarios are all scenarios by their names.
var Scenarios = map[string]Scenario{}

func register(scenario Scenario) { Scenarios[scenario.Name] = scenario }

// Result is how a run ended.
type Result struct {
	Seed     uint64
	Scenario string
	// Findings are the violations, and the rules and checks that examined nothing though they should.
	Findings []invariants.Finding
	// Examined is how many observations each rule examined, by its number.
	Examined map[int]int
	// Sent is the number of attempts, Served of those that a backend responded to with status 200.
	Served int
	Sent   int
	// Faults are the faults that were injected, with their times.
	Faults []string
	// Digest identifies the run, and Events counts its events.
	Digest uint64
	Events uint64
	// Latencies are those of the served attempts, by the kind of traffic, in ascending order.
	Latencies map[string][]monotonic.Micros
	// Log holds the nodes' events and the faults.
	Log []string
	// Panicked is what a task panicked with, nil if none did.
	Panicked any
}

// Run plays a scenario with a seed.
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

// faultInjector injects a scenario's faults, one after another.
type faultInjector struct {
	mesh     *Mesh
	scenario Scenario
	pending  []fault          // the initial faults that are left
	end      monotonic.Micros // no fault is injected from then on
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
	// A fault is drawn even if an initial one takes its place.
	next := pick(i.mesh, i.scenario.Faults)
	if len(i.pending) > 0 {
		next, i.pending = i.pending[0], i.pending[1:]
	}
	i.injected = append(i.injected, fmt.Sprintf("%d %s", i.mesh.World.Now(), next.name))
	i.mesh.logf("FAULT %s", next.name)
	next.inject(i.mesh)
	i.scheduleNext()
}

// heal ends every fault and starts all nodes. From this moment on the machines count as returned.
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
	m.History.RecordMarker(invariants.MarkerUntroubled, m.World.Now())
	m.History.RecordMarker(invariants.MarkerReturned, m.World.Now())
}

// result checks the history of a run that has ended.
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

// check returns the findings of all rules and of the scenario's checks, among them what examined nothing, and how many
// observations each rule examined.
func (m *Mesh) check(scenario Scenario) (findings []invariants.Finding, seen map[int]int) {
	findings, seen = invariants.Inspect(m.History)
	for _, rule := range scenario.Rules {
		if seen[rule] == 0 {
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
	return findings, seen
}
