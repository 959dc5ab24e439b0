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

// breakerTimeout is how long a guard may take to come to what a scenario waits for.
const breakerTimeout = 40 * time.Second

// awaitBreaker waits until a service's shared record is as wanted, by its holder's word.
func (r *Rehearsal) awaitBreaker(service, what string, fits func(record *wire.BreakerRecord) bool) *wire.BreakerRecord {
	for deadline := time.Now().Add(breakerTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, process := range r.Fleet.Registries {
			var status registry.Status
			if !process.Running() || r.Operator.ReadJSON(process, "/local", &status) != nil || !status.Replication.Serving {
				continue
			}
			for _, record := range status.Breakers {
				if record.Service == service && fits(record) {
					return record
				}
			}
		}
	}
	r.AddFinding("rule 10: the guard of %s was never %s within %v", service, what, breakerTimeout)
	return nil
}

func inState(wanted string) func(record *wire.BreakerRecord) bool {
	return func(record *wire.BreakerRecord) bool { return record.State == wanted }
}

// manner has all backends of a service behave in a way, with work of a length; zero for their own.
func (r *Rehearsal) setBehavior(service, behavior string, work time.Duration) {
	for _, backend := range r.BackendsOf(service) {
		length := backend.Service.WorkMicros
		if work > 0 {
			length = int(work.Microseconds())
		}
		backend.SetWork(length)
		backend.Behavior.Store(behavior)
	}
}

// prober finds the carrier that holds the first probe of a record.
func (r *Rehearsal) proberOf(record *wire.BreakerRecord) *fleet.Process {
	for _, process := range r.Fleet.Proxies {
		if process.Name == record.ProbeLeases[0].Proxy {
			return process
		}
	}
	return r.Fleet.Proxies[0]
}

// probeFaults are what happens while probes are out.
var probeFaults = []struct {
	what   string
	inject func(rehearsal *Rehearsal, record *wire.BreakerRecord)
}{
	{"the record's holder is killed", func(rehearsal *Rehearsal, _ *wire.BreakerRecord) {
		victim := rehearsal.AwaitPrimary(rehearsal.Fleet.Registries)
		victim.Kill()
		rehearsal.restartAfter(victim, 2*time.Second)
	}},
	{"a prober is killed", func(rehearsal *Rehearsal, record *wire.BreakerRecord) {
		victim := rehearsal.proberOf(record)
		victim.Kill()
		rehearsal.restartAfter(victim, 2*time.Second)
	}},
	{"a prober is frozen past its tenure", func(rehearsal *Rehearsal, record *wire.BreakerRecord) {
		victim := rehearsal.proberOf(record)
		victim.Signal(syscall.SIGSTOP)
		rehearsal.Wait(8 * time.Second)
		victim.Signal(syscall.SIGCONT)
	}},
	{"the whole core is killed and started again", func(rehearsal *Rehearsal, _ *wire.BreakerRecord) {
		core := rehearsal.Fleet.Core()
		for _, process := range core {
			process.Kill()
		}
		for _, process := range core {
			rehearsal.restartAfter(process, 0)
		}
	}},
	{"the holder is killed, and the next one as soon as it answers", func(rehearsal *Rehearsal, _ *wire.BreakerRecord) {
		for range 2 {
			victim := rehearsal.AwaitPrimary(rehearsal.Fleet.Registries)
			victim.Kill()
			rehearsal.restartAfter(victim, 0) // one machine may be lost at a time
		}
	}},
}

// addSlowCallRule makes slow calls count in every guard of a desired state.
func addSlowCallRule(content []byte) []byte {
	return bytes.ReplaceAll(content, []byte(`"guard": {`), []byte(`"guard": {"slowRate": 0.5, "slowMicros": 700000, `))
}

func init() {
	add(Scenario{Name: "trial", Summary: "a service fails and recovers; while its probes are out, their holders and the record's are killed and frozen", Rules: []int{1, 2, 8, 10, 12}, Run: func(rehearsal *Rehearsal) error {
		service := rehearsal.Fleet.Layout.Services[0].Name
		for _, fault := range probeFaults {
			rehearsal.setBehavior(service, standin.Failing, 0)
			if rehearsal.awaitBreaker(service, breakerstore.Open, inState(breakerstore.Open)) == nil {
				break
			}
			rehearsal.setBehavior(service, standin.Normal, 3*time.Second) // probes stay out for a while
			record := rehearsal.awaitBreaker(service, "on trial with probes out", func(record *wire.BreakerRecord) bool {
				return record.State == breakerstore.HalfOpen && len(record.ProbeLeases) > 0
			})
			if record == nil {
				break
			}
			rehearsal.Logf("on trial under serial %d with %d probes out: %s", record.Version, len(record.ProbeLeases), fault.what)
			began := time.Now()
			fault.inject(rehearsal, record)
			rehearsal.setBehavior(service, standin.Normal, 0)
			rehearsal.awaitBreaker(service, breakerstore.Closed, func(now *wire.BreakerRecord) bool {
				return now.State == breakerstore.Closed && now.Version > record.Version
			})
			rehearsal.Logf("closed again %d ms after that began", time.Since(began).Milliseconds())
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "trials", Summary: "two callers' networks are slow and they ask more than all others, while a service fails and recovers", Rules: []int{1, 3, 10, 11}, Run: func(rehearsal *Rehearsal) error {
		if rehearsal.Fleet.Relays == nil {
			return errRelaysRequired
		}
		if _, err := rehearsal.Operator.Apply(addSlowCallRule(rehearsal.stateVariant(1)), "any", 40*time.Second); err != nil {
			return err
		}
		service := rehearsal.Fleet.Layout.Services[0].Name
		victims := rehearsal.proxiesWithoutBackends(2)
		if len(victims) < 2 {
			return fmt.Errorf("trials needs two carriers without backends, which %s hasn't got", rehearsal.Fleet.Layout.Name)
		}
		for _, victim := range victims {
			rehearsal.History.RecordMarker("troubled "+victim.Name, rehearsal.Clock.Now())
			for _, other := range rehearsal.Fleet.Proxies {
				if other != victim {
					rehearsal.Fleet.Relays.Delay(victim.Host, other.Host, 500*time.Millisecond)
					rehearsal.Fleet.Relays.Delay(other.Host, victim.Host, 500*time.Millisecond)
				}
			}
		}
		rehearsal.Load.PreferProxies(victims)
		for range 2 {
			rehearsal.Wait(rehearsal.partOfLength(0.2))
			rehearsal.History.RecordMarker("failing", rehearsal.Clock.Now())
			rehearsal.setBehavior(service, standin.Failing, 0)
			rehearsal.awaitBreaker(service, breakerstore.Open, inState(breakerstore.Open))
			rehearsal.Wait(3 * time.Second)
			rehearsal.setBehavior(service, standin.Normal, 0)
			rehearsal.History.RecordMarker("recovered", rehearsal.Clock.Now())
			rehearsal.Wait(18 * time.Second)
		}
		rehearsal.Fleet.Relays.Heal()
		rehearsal.History.RecordMarker("untroubled", rehearsal.Clock.Now())
		return nil
	}})
}

// without lists carriers that have no backend beside them: only their callers notice their network.
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

var errRelaysRequired = fmt.Errorf("cuts and delays need --relays")
