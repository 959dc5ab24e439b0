package scenario

import (
	"fmt"
	"os"
	"time"

	"snowflow/internal/eventlog"
	"snowflow/internal/rehearse/fleet"
)

func loseDisks(r *Rehearsal) error {
	r.Wait(r.fractionOfDuration(0.3))
	for _, group := range [][]*fleet.Process{r.Fleet.Registries, r.Fleet.ConfigStores} {
		victim := r.AwaitPrimary(group)
		r.Logf("killing %s and deleting its data", victim.Name)
		victim.Kill()
		if err := os.RemoveAll(victim.DataDir()); err != nil {
			return err
		}
		r.restartAfter(victim, 3*time.Second)
		r.Wait(r.fractionOfDuration(0.3))
	}
	r.awaitRecovery()
	return nil
}

func corruptDisks(r *Rehearsal) error {
	for turn, group := range [][]*fleet.Process{r.Fleet.Registries, r.Fleet.ConfigStores} {
		r.Wait(r.fractionOfDuration(0.2))
		if err := r.applyVariant(turn); err != nil {
			return err
		}
		victim := r.AwaitPrimary(group)
		victim.Kill()
		if err := victim.CorruptRecords(); err != nil {
			return err
		}
		r.Logf("corrupted a byte of the record file of %s", victim.Name)
		r.restartAfter(victim, 2*time.Second)
		r.Wait(r.fractionOfDuration(0.2))
		logged, err := r.hasLogged(victim, eventlog.DiskCorrupted)
		if err != nil {
			return fmt.Errorf("reading the log of %s: %w", victim.Name, err)
		}
		if !logged {
			return fmt.Errorf("%s did not log that it discarded its corrupted replica", victim.Name)
		}
	}
	r.awaitRecovery()
	return nil
}

func fillDisks(r *Rehearsal) error {
	if err := r.fillDisk(r.AwaitPrimary(r.Fleet.Registries)); err != nil {
		return err
	}
	if err := r.fillDisk(r.AwaitPrimary(r.Fleet.ConfigStores)); err != nil {
		return err
	}
	host := randomItem([]int{0, 1, 2})
	if err := r.fillDisk(r.Fleet.Registries[host], r.Fleet.ConfigStores[host]); err != nil {
		return err
	}
	r.awaitRecovery()
	return nil
}

// fillDisk simulates full disks for processes, checks that another member is primary of each group meanwhile, and ends the fault.
func (r *Rehearsal) fillDisk(processes ...*fleet.Process) error {
	for _, process := range processes {
		r.Logf("simulating a full disk for %s", process.Name)
		if err := process.LimitFileSize(256); err != nil {
			return err
		}
	}
	if err := r.applyVariant(time.Now().Nanosecond()); err != nil {
		return err
	}
	r.Wait(r.fractionOfDuration(0.25))
	for _, process := range processes {
		if r.AwaitPrimary(r.Fleet.GroupOf(process)) == process {
			return fmt.Errorf("%s is primary although its disk is full", process.Name)
		}
		if !process.Running() {
			r.restartAfter(process, 0)
			continue
		}
		if err := process.LiftFileSizeLimit(); err != nil {
			return err
		}
	}
	r.Wait(r.fractionOfDuration(0.1))
	return nil
}

func slowDisks(r *Rehearsal) error {
	host := randomItem([]int{0, 1, 2})
	slow := []*fleet.Process{r.Fleet.Registries[host], r.Fleet.ConfigStores[host]}
	if err := r.restartWithSyncDelay(slow, 400*time.Millisecond); err != nil {
		return err
	}
	r.Logf("%s and %s have slow disks", slow[0].Name, slow[1].Name)
	groups := [][]*fleet.Process{r.Fleet.Registries, r.Fleet.ConfigStores}
	for turn := range 4 {
		r.killPrimaryUnless(slow[turn%2], groups[turn%2])
		began := time.Now()
		if err := r.applyVariant(turn); err != nil {
			return err
		}
		r.Logf("acknowledged after %d ms", time.Since(began).Milliseconds())
		r.Wait(r.fractionOfDuration(0.2))
	}
	if err := r.restartWithSyncDelay(slow, 0); err != nil {
		return err
	}
	r.awaitRecovery()
	return nil
}

// killPrimaryUnless kills the primary of a group, so that another member takes over, unless it is the wanted primary.
func (r *Rehearsal) killPrimaryUnless(wanted *fleet.Process, group []*fleet.Process) {
	victim := r.AwaitPrimary(group)
	if victim == wanted {
		r.Logf("%s is primary", victim.Name)
		return
	}
	victim.Kill()
	r.Logf("%s was killed, %s is primary", victim.Name, r.AwaitPrimary(group).Name)
	r.restartAfter(victim, 0)
}

// restartWithSyncDelay restarts processes with a delay added to each sync of their disks.
func (r *Rehearsal) restartWithSyncDelay(processes []*fleet.Process, delay time.Duration) error {
	for _, process := range processes {
		process.Stop(plannedStopTimeout)
		if err := r.Fleet.SetSyncDelay(process, delay); err != nil {
			return err
		}
		r.restartAfter(process, 0)
	}
	return fleet.AwaitReady(processes, readyTimeout)
}
