package scenario

import (
	"bytes"
	"fmt"
	"syscall"
	"time"

	"snowflow/internal/registry"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/standin"
	"snowflow/internal/transport/wire"
)

// breakerTimeout limits how long a breaker may take to reach the state that a scenario waits for.
const breakerTimeout = 40 * time.Second

// servingStatus reads the status of a registry member. serving is false if the member does not respond or is not serving as primary.
func (r *Rehearsal) servingStatus(process *fleet.Process) (status registry.Status, serving bool) {
	if !process.Running() || r.Operator.ReadJSON(process, "/local", &status) != nil {
		return status, false
	}
	return status, status.Replication.Serving
}

// awaitBreaker waits until the registry's record of a service's breaker matches, and returns that record. After breakerTimeout it adds
// a finding, which describes the wanted state, and returns nil.
func (r *Rehearsal) awaitBreaker(service, wanted string, matches func(record *wire.BreakerRecord) bool) *wire.BreakerRecord {
	for deadline := time.Now().Add(breakerTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, process := range r.Fleet.Registries {
			status, serving := r.servingStatus(process)
			if !serving {
				continue
			}
			for _, record := range status.Breakers {
				if record.Service == service && matches(record) {
					return record
				}
			}
		}
	}
	r.AddFinding("rule 10: the breaker of %s was never %s within %v", service, wanted, breakerTimeout)
	return nil
}

func inState(wanted string) func(record *wire.BreakerRecord) bool {
	return func(record *wire.BreakerRecord) bool { return record.State == wanted }
}

// setBehavior sets the behavior and the mean processing time of all backends of a service; zero work selects the layout's time.
func (r *Rehearsal) setBehavior(service, behavior string, work time.Duration) {
	for _, backend := range r.BackendsOf(service) {
		micros := backend.Service.WorkMicros
		if work > 0 {
			micros = int(work.Microseconds())
		}
		backend.SetWorkTime(micros)
		backend.Behavior.Store(behavior)
	}
}

// probingProxy returns the proxy that holds the first probe lease of a record, or the fleet's first proxy if that proxy is unknown.
func (r *Rehearsal) probingProxy(record *wire.BreakerRecord) *fleet.Process {
	for _, process := range r.Fleet.Proxies {
		if process.Name == record.ProbeLeases[0].Proxy {
			return process
		}
	}
	return r.Fleet.Proxies[0]
}

func failService(r *Rehearsal) error {
	service := r.Fleet.Layout.Services[0].Name
	r.Wait(r.fractionOfDuration(0.2))
	for _, backend := range r.BackendsOf(service) {
		backend.Behavior.Store(standin.Failing)
	}
	r.Wait(r.fractionOfDuration(0.4))
	// Kill a proxy that may have a probe in flight, and the registry's primary, which holds the breaker's record.
	victim := randomItem(r.Fleet.Proxies)
	victim.Kill()
	primary := r.AwaitPrimary(r.Fleet.Registries)
	primary.Kill()
	r.Wait(2 * time.Second)
	for _, backend := range r.BackendsOf(service) {
		backend.Behavior.Store(standin.Normal)
	}
	r.restartAfter(victim, 0)
	r.restartAfter(primary, 0)
	r.awaitRecovery()
	return nil
}

// probeFault is a fault to inject while a breaker is half open and its probes are in flight.
type probeFault struct {
	name   string
	inject func(r *Rehearsal, record *wire.BreakerRecord)
}

var probeFaults = []probeFault{
	{"the registry's primary is killed", func(r *Rehearsal, _ *wire.BreakerRecord) {
		victim := r.AwaitPrimary(r.Fleet.Registries)
		victim.Kill()
		r.restartAfter(victim, 2*time.Second)
	}},
	{"a probing proxy is killed", func(r *Rehearsal, record *wire.BreakerRecord) {
		victim := r.probingProxy(record)
		victim.Kill()
		r.restartAfter(victim, 2*time.Second)
	}},
	{"a probing proxy is frozen beyond its probe lease", func(r *Rehearsal, record *wire.BreakerRecord) {
		victim := r.probingProxy(record)
		victim.Signal(syscall.SIGSTOP)
		r.Wait(8 * time.Second)
		victim.Signal(syscall.SIGCONT)
	}},
	{"the whole control plane is killed and started again", func(r *Rehearsal, _ *wire.BreakerRecord) {
		controlPlane := r.Fleet.ControlPlane()
		for _, process := range controlPlane {
			process.Kill()
		}
		for _, process := range controlPlane {
			r.restartAfter(process, 0)
		}
	}},
	{"the primary is killed, and its successor as soon as it serves", func(r *Rehearsal, _ *wire.BreakerRecord) {
		for range 2 {
			victim := r.AwaitPrimary(r.Fleet.Registries)
			victim.Kill()
			r.restartAfter(victim, 0) // the group tolerates the loss of one member at a time
		}
	}},
}

func interruptProbes(r *Rehearsal) error {
	service := r.Fleet.Layout.Services[0].Name
	for _, fault := range probeFaults {
		if !r.runProbeFault(service, fault) {
			break
		}
	}
	r.awaitRecovery()
	return nil
}

// runProbeFault makes a service fail until its breaker opens, injects a fault while probes are in flight, and waits until the breaker
// is closed. It returns false if the breaker did not open or no probe was sent in time.
func (r *Rehearsal) runProbeFault(service string, fault probeFault) bool {
	r.setBehavior(service, standin.Failing, 0)
	if r.awaitBreaker(service, breakerstore.Open, inState(breakerstore.Open)) == nil {
		return false
	}
	r.setBehavior(service, standin.Normal, 3*time.Second) // keeps probes in flight for a while
	record := r.awaitBreaker(service, "half open with probes in flight", func(record *wire.BreakerRecord) bool {
		return record.State == breakerstore.HalfOpen && len(record.ProbeLeases) > 0
	})
	if record == nil {
		return false
	}
	r.Logf("half open at version %d with %d probes in flight: %s", record.Version, len(record.ProbeLeases), fault.name)
	began := time.Now()
	fault.inject(r, record)
	r.setBehavior(service, standin.Normal, 0)
	r.awaitBreaker(service, breakerstore.Closed, func(now *wire.BreakerRecord) bool {
		return now.State == breakerstore.Closed && now.Version > record.Version
	})
	r.Logf("closed again %d ms after the fault began", time.Since(began).Milliseconds())
	return true
}

// addSlowCallRule makes every breaker of a desired state also count slow calls.
func addSlowCallRule(content []byte) []byte {
	return bytes.ReplaceAll(content, []byte(`"guard": {`), []byte(`"guard": {"slowRate": 0.5, "slowMicros": 700000, `))
}

func impairCallersOfFailingService(r *Rehearsal) error {
	if r.Fleet.Relays == nil {
		return errRelaysRequired
	}
	if _, err := r.Operator.Apply(addSlowCallRule(r.stateVariant(1)), "any", applyTimeout); err != nil {
		return err
	}
	service := r.Fleet.Layout.Services[0].Name
	victims := r.proxiesWithoutBackends(2)
	if len(victims) < 2 {
		return fmt.Errorf("the scenario requires two proxies without backends, which layout %s does not have", r.Fleet.Layout.Name)
	}
	for _, victim := range victims {
		r.History.RecordMarker(markerNetworkDegraded+victim.Name, r.Clock.Now())
		for _, other := range r.Fleet.Proxies {
			if other != victim {
				r.delay(victim.Host, other.Host, 500*time.Millisecond)
			}
		}
	}
	r.Load.PreferProxies(victims)
	for range 2 {
		r.Wait(r.fractionOfDuration(0.2))
		r.History.RecordMarker(markerServiceFailing, r.Clock.Now())
		r.setBehavior(service, standin.Failing, 0)
		r.awaitBreaker(service, breakerstore.Open, inState(breakerstore.Open))
		r.Wait(3 * time.Second)
		r.setBehavior(service, standin.Normal, 0)
		r.History.RecordMarker(markerServiceRecovered, r.Clock.Now())
		r.Wait(18 * time.Second)
	}
	r.Fleet.Relays.Heal()
	r.History.RecordMarker(markerNetworkRestored, r.Clock.Now())
	return nil
}

// proxiesWithoutBackends returns up to number proxies without backends on their hosts, so that a slow network affects only their own
// callers.
func (r *Rehearsal) proxiesWithoutBackends(number int) (proxies []*fleet.Process) {
	hosting := map[int]bool{}
	for _, backend := range r.Backends {
		hosting[r.ProxyIndexOf(backend)] = true
	}
	for index := len(r.Fleet.Proxies) - 1; index >= 0 && len(proxies) < number; index-- {
		if !hosting[index] {
			proxies = append(proxies, r.Fleet.Proxies[index])
		}
	}
	return proxies
}
