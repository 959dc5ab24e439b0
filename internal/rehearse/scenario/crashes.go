package scenario

import (
	"syscall"
	"time"

	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/standin"
)

func killProxies(r *Rehearsal) error {
	for began := time.Now(); r.withinDuration(began); {
		victim := randomItem(r.Fleet.Proxies)
		r.Logf("killing %s", victim.Name)
		victim.Kill()
		r.restartAfter(victim, 2*time.Second)
		r.Wait(3 * time.Second)
	}
	r.awaitRecovery()
	return nil
}

func killPrimaries(r *Rehearsal) error {
	groups := [][]*fleet.Process{r.Fleet.Registries, r.Fleet.ConfigStores}
	for turn, began := 0, time.Now(); r.withinDuration(began); turn++ {
		if err := r.killPrimary(groups[turn%len(groups)], turn); err != nil {
			return err
		}
		r.Wait(4 * time.Second)
	}
	r.awaitRecovery()
	return nil
}

// killPrimary kills the primary of a group, waits for its successor, restarts the killed process, and applies a configuration.
func (r *Rehearsal) killPrimary(group []*fleet.Process, variant int) error {
	victim := r.AwaitPrimary(group)
	r.Logf("killing the primary %s", victim.Name)
	victim.Kill()
	killed := time.Now()
	next := r.AwaitPrimary(group)
	r.Logf("%s is primary %d ms later", next.Name, time.Since(killed).Milliseconds())
	r.restartAfter(victim, time.Second)
	return r.applyVariant(variant)
}

func killControlPlane(r *Rehearsal) error {
	r.Wait(r.fractionOfDuration(0.4))
	controlPlane := r.Fleet.ControlPlane()
	for _, process := range controlPlane {
		process.Kill()
	}
	r.Wait(3 * time.Second)
	for _, process := range controlPlane {
		r.restartAfter(process, 0)
	}
	r.awaitRecovery()
	r.Wait(r.fractionOfDuration(0.2))
	return nil
}

func killAllProcesses(r *Rehearsal) error {
	r.Wait(r.fractionOfDuration(0.5))
	for _, process := range r.Fleet.All() {
		process.Signal(syscall.SIGKILL)
	}
	r.Wait(2 * time.Second)
	for _, process := range r.Fleet.All() {
		process.Wait(5 * time.Second)
		r.restartAfter(process, 0)
	}
	r.awaitRecovery()
	return nil
}

func freezeProcesses(r *Rehearsal) error {
	// Shorter and longer than the deadlines that other processes set for a frozen one.
	pauses := []time.Duration{4 * time.Second, 8 * time.Second}
	for turn, began := 0, time.Now(); r.withinDuration(began); turn++ {
		victim := r.Fleet.Proxies[turn%len(r.Fleet.Proxies)]
		switch turn % 3 {
		case 1:
			victim = r.AwaitPrimary(r.Fleet.Registries)
		case 2:
			victim = r.AwaitPrimary(r.Fleet.ConfigStores)
		}
		r.Logf("freezing %s", victim.Name)
		victim.Signal(syscall.SIGSTOP)
		r.Wait(pauses[turn%len(pauses)])
		victim.Signal(syscall.SIGCONT)
		r.Wait(3 * time.Second)
	}
	r.awaitRecovery()
	return nil
}

func stepClocks(r *Rehearsal) error {
	service := r.Fleet.Layout.Services[0].Name
	r.setBehavior(service, standin.Failing, 0)
	r.awaitBreaker(service, "open", inState(breakerstore.Open))
	for turn, step := range []time.Duration{time.Hour, -3 * time.Second, 5 * time.Second, -time.Hour, 2 * time.Second, time.Hour} {
		victims := []*fleet.Process{r.AwaitPrimary(r.Fleet.Registries), r.AwaitPrimary(r.Fleet.ConfigStores), r.Fleet.Proxies[turn%len(r.Fleet.Proxies)]}
		for _, victim := range victims {
			if err := r.stepClock(victim, step, turn); err != nil {
				return err
			}
		}
		if turn == 1 {
			r.setBehavior(service, standin.Normal, 0)
		}
		r.Wait(r.fractionOfDuration(0.05))
	}
	r.awaitRecovery()
	return nil
}

// stepClock steps a process's clock and applies a configuration. A process whose clock stepped back must exit by itself; it is then
// restarted, as the platform would do.
func (r *Rehearsal) stepClock(victim *fleet.Process, step time.Duration, variant int) error {
	r.Logf("stepping the clock of %s by %v", victim.Name, step)
	if err := victim.StepClock(step); err != nil {
		return err
	}
	if err := r.applyVariant(variant); err != nil {
		return err
	}
	if step >= 0 {
		return nil
	}
	if !victim.Wait(5 * time.Second) {
		r.AddFinding("%s still runs although its clock stepped back", victim.Name)
		return nil
	}
	r.restartAfter(victim, 0)
	return nil
}
