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

// guardPatience is how long a guard may take to come to what a scenario waits for.
const guardPatience = 40 * time.Second

// awaitGuard waits until a service's shared record is as wanted, by its holder's word.
func (stage *Stage) awaitGuard(service, what string, fits func(record *wire.BreakerRecord) bool) *wire.BreakerRecord {
	for cutoff := time.Now().Add(guardPatience); time.Now().Before(cutoff); time.Sleep(50 * time.Millisecond) {
		for _, process := range stage.Fleet.Sorters {
			var status registry.Status
			if !process.Running() || stage.Operator.Get(process, "/local", &status) != nil || !status.Replication.Serving {
				continue
			}
			for _, record := range status.Breakers {
				if record.Service == service && fits(record) {
					return record
				}
			}
		}
	}
	stage.Find("rule 10: the guard of %s was never %s within %v", service, what, guardPatience)
	return nil
}

func state(wanted string) func(record *wire.BreakerRecord) bool {
	return func(record *wire.BreakerRecord) bool { return record.State == wanted }
}

// manner has all backends of a service behave in a way, with work of a length; zero for their own.
func (stage *Stage) manner(service, manner string, work time.Duration) {
	for _, backend := range stage.Of(service) {
		length := backend.Service.Work
		if work > 0 {
			length = int(work.Microseconds())
		}
		backend.Work(length)
		backend.Manner.Store(manner)
	}
}

// prober finds the carrier that holds the first probe of a record.
func (stage *Stage) prober(record *wire.BreakerRecord) *fleet.Process {
	for _, carrier := range stage.Fleet.Carriers {
		if carrier.Name == record.ProbeLeases[0].Proxy {
			return carrier
		}
	}
	return stage.Fleet.Carriers[0]
}

// trialFaults are what happens while probes are out.
var trialFaults = []struct {
	what  string
	bring func(stage *Stage, record *wire.BreakerRecord)
}{
	{"the record's holder is killed", func(stage *Stage, _ *wire.BreakerRecord) {
		victim := stage.Primary(stage.Fleet.Sorters)
		victim.Kill()
		stage.restart(victim, 2*time.Second)
	}},
	{"a prober is killed", func(stage *Stage, record *wire.BreakerRecord) {
		victim := stage.prober(record)
		victim.Kill()
		stage.restart(victim, 2*time.Second)
	}},
	{"a prober is frozen past its tenure", func(stage *Stage, record *wire.BreakerRecord) {
		victim := stage.prober(record)
		victim.Signal(syscall.SIGSTOP)
		stage.Wait(8 * time.Second)
		victim.Signal(syscall.SIGCONT)
	}},
	{"the whole core is killed and started again", func(stage *Stage, _ *wire.BreakerRecord) {
		core := stage.Fleet.Core()
		for _, process := range core {
			process.Kill()
		}
		for _, process := range core {
			stage.restart(process, 0)
		}
	}},
	{"the holder is killed, and the next one as soon as it answers", func(stage *Stage, _ *wire.BreakerRecord) {
		for range 2 {
			victim := stage.Primary(stage.Fleet.Sorters)
			victim.Kill()
			stage.restart(victim, 0) // one machine may be lost at a time
		}
	}},
}

// slowRule makes slow calls count in every guard of a desired state.
func slowRule(content []byte) []byte {
	return bytes.ReplaceAll(content, []byte(`"guard": {`), []byte(`"guard": {"slowRate": 0.5, "slowMicros": 700000, `))
}

func init() {
	add(Scenario{Name: "trial", Short: "a service fails and recovers; while its probes are out, their holders and the record's are killed and frozen", Rules: []int{1, 2, 8, 10, 12}, Run: func(stage *Stage) error {
		service := stage.Fleet.Layout.Services[0].Name
		for _, fault := range trialFaults {
			stage.manner(service, standin.Failing, 0)
			if stage.awaitGuard(service, breakerstore.Open, state(breakerstore.Open)) == nil {
				break
			}
			stage.manner(service, standin.Normal, 3*time.Second) // probes stay out for a while
			record := stage.awaitGuard(service, "on trial with probes out", func(record *wire.BreakerRecord) bool {
				return record.State == breakerstore.HalfOpen && len(record.ProbeLeases) > 0
			})
			if record == nil {
				break
			}
			stage.Say("on trial under serial %d with %d probes out: %s", record.Version, len(record.ProbeLeases), fault.what)
			began := time.Now()
			fault.bring(stage, record)
			stage.manner(service, standin.Normal, 0)
			stage.awaitGuard(service, breakerstore.Closed, func(now *wire.BreakerRecord) bool {
				return now.State == breakerstore.Closed && now.Version > record.Version
			})
			stage.Say("closed again %d ms after that began", time.Since(began).Milliseconds())
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "trials", Short: "two callers' networks are slow and they ask more than all others, while a service fails and recovers", Rules: []int{1, 3, 10, 11}, Run: func(stage *Stage) error {
		if stage.Fleet.Relays == nil {
			return errNoRelays
		}
		if _, err := stage.Operator.Apply(slowRule(stage.variant(1)), "any", 40*time.Second); err != nil {
			return err
		}
		service := stage.Fleet.Layout.Services[0].Name
		victims := stage.without(2)
		if len(victims) < 2 {
			return fmt.Errorf("trials needs two carriers without backends, which %s hasn't got", stage.Fleet.Layout.Name)
		}
		for _, victim := range victims {
			stage.History.RecordMarker("troubled "+victim.Name, stage.Clock.Now())
			for _, other := range stage.Fleet.Carriers {
				if other != victim {
					stage.Fleet.Relays.Delay(victim.Host, other.Host, 500*time.Millisecond)
					stage.Fleet.Relays.Delay(other.Host, victim.Host, 500*time.Millisecond)
				}
			}
		}
		stage.Callers.Prefer(victims)
		for range 2 {
			stage.Wait(stage.part(0.2))
			stage.History.RecordMarker("failing", stage.Clock.Now())
			stage.manner(service, standin.Failing, 0)
			stage.awaitGuard(service, breakerstore.Open, state(breakerstore.Open))
			stage.Wait(3 * time.Second)
			stage.manner(service, standin.Normal, 0)
			stage.History.RecordMarker("recovered", stage.Clock.Now())
			stage.Wait(18 * time.Second)
		}
		stage.Fleet.Relays.Mend()
		stage.History.RecordMarker("untroubled", stage.Clock.Now())
		return nil
	}})
}

// without lists carriers that have no backend beside them: only their callers notice their network.
func (stage *Stage) without(number int) (carriers []*fleet.Process) {
	homes := map[int]bool{}
	for _, backend := range stage.Backends {
		homes[stage.Beside(backend)] = true
	}
	for index := len(stage.Fleet.Carriers) - 1; index >= 0 && len(carriers) < number; index-- {
		if !homes[index] {
			carriers = append(carriers, stage.Fleet.Carriers[index])
		}
	}
	return carriers
}

var errNoRelays = fmt.Errorf("cuts and delays need --relays")
