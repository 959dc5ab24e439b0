package scenario

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/snowctl/doctor"
)

// errPreviousBuildRequired is returned by the versions scenario if no folder of an earlier build is set.
var errPreviousBuildRequired = errors.New("the versions scenario requires --older, a folder of an earlier build's programs")

func restartEachProcess(r *Rehearsal) error {
	for _, process := range r.Fleet.All() {
		r.Logf("stopping %s", process.Name)
		if err := stopProcess(process); err != nil {
			return err
		}
		if err := r.restartAndAwait(process); err != nil {
			return err
		}
	}
	r.awaitRecovery()
	return nil
}

// stopProcess begins a planned stop, and returns an error if the process does not exit by itself within plannedStopTimeout.
func stopProcess(process *fleet.Process) error {
	if !process.Stop(plannedStopTimeout) {
		return fmt.Errorf("%s did not exit by itself within %v", process.Name, plannedStopTimeout)
	}
	return nil
}

func killDrainingProxies(r *Rehearsal) error {
	for _, backend := range r.Backends {
		backend.SetWorkTime(2_500_000)
	}
	r.Wait(r.fractionOfDuration(0.2))
	for turn, limit := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
		victim := r.Fleet.Proxies[turn%len(r.Fleet.Proxies)]
		began := time.Now()
		go func() {
			time.Sleep(500 * time.Millisecond)
			victim.Signal(syscall.SIGTERM) // a second signal must have no effect
		}()
		ended := victim.Stop(limit)
		r.Logf("%s was signaled to stop; exited by itself: %v, after %d ms", victim.Name, ended, time.Since(began).Milliseconds())
		if err := r.restartAndAwait(victim); err != nil {
			return err
		}
	}
	for _, backend := range r.Backends {
		backend.SetWorkTime(backend.Service.WorkMicros)
	}
	r.awaitRecovery()
	return nil
}

func rollVersions(r *Rehearsal) error {
	if r.Options.PreviousBinaryDir == "" {
		return errPreviousBuildRequired
	}
	for _, binaryDir := range []string{r.Options.PreviousBinaryDir, r.Fleet.BinaryDir} {
		for _, process := range r.Fleet.All() {
			if err := stopProcess(process); err != nil {
				return err
			}
			if err := r.Fleet.Start(process, binaryDir); err != nil {
				return err
			}
			if err := fleet.AwaitReady([]*fleet.Process{process}, readyTimeout); err != nil {
				return err
			}
		}
		r.Logf("all processes run %s", binaryDir)
		if err := r.applyVariant(time.Now().Nanosecond()); err != nil {
			return err
		}
	}
	r.awaitRecovery()
	return nil
}

func moveSeeds(r *Rehearsal) error {
	for index := range 2 {
		r.Wait(r.fractionOfDuration(0.2))
		if !r.awaitSafeToStop(index) {
			break
		}
		r.Logf("moving control plane host %d", index+1)
		if err := r.moveControlPlaneHost(index); err != nil {
			return err
		}
		r.Wait(r.fractionOfDuration(0.2))
	}
	victim := randomItem(r.Fleet.Proxies)
	victim.Kill()
	if err := r.restartAndAwait(victim); err != nil {
		return err
	}
	r.awaitRecovery()
	return nil
}

// moveControlPlaneHost kills a control plane host's processes and starts them at another address. It does not update the seeds of the
// other processes.
func (r *Rehearsal) moveControlPlaneHost(index int) error {
	for _, process := range []*fleet.Process{r.Fleet.Registries[index], r.Fleet.ConfigStores[index]} {
		process.Kill()
		if err := r.Fleet.Move(process, 150+index); err != nil {
			return err
		}
		if err := r.Fleet.Start(process, ""); err != nil {
			return err
		}
	}
	return nil
}

// awaitSafeToStop waits until snowctl's doctor reports that a control plane host can be stopped safely. If that takes more than 30 s, it
// adds a finding and returns false.
func (r *Rehearsal) awaitSafeToStop(index int) bool {
	names := []string{r.Fleet.Registries[index].Name, r.Fleet.ConfigStores[index].Name}
	var addresses []string
	for _, process := range r.Fleet.ConfigStores {
		addresses = append(addresses, process.AdminAddress)
	}
	began := time.Now()
	var objections []string
	for ; time.Since(began) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		mesh, err := doctor.Gather(addresses, 5*time.Second)
		if _, objections = doctor.StopObjections(mesh, names); err == nil && len(objections) == 0 {
			r.Logf("%v can be stopped safely after %d ms", names, time.Since(began).Milliseconds())
			return true
		}
	}
	r.AddFinding("rule 12: %v cannot be stopped safely after 30 s: %v", names, objections)
	return false
}
