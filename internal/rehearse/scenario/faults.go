package scenario

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"snowflow/examples"
	"snowflow/internal/eventlog"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/standin"
	"snowflow/internal/snowctl/doctor"
)

// part is a piece of a scenario's length.
func (r *Rehearsal) partOfLength(fraction float64) time.Duration {
	return time.Duration(float64(r.Options.Duration) * fraction)
}

// restart starts a process again after a while.
func (r *Rehearsal) restartAfter(process *fleet.Process, after time.Duration) {
	time.Sleep(after)
	if err := r.Fleet.Start(process, ""); err != nil {
		r.Logf("%s does not start: %v", process.Name, err)
	}
}

// partition cuts two machines from each other, both ways.
func (r *Rehearsal) partition(one, other string) {
	r.Fleet.Relays.Block(one, other)
	r.Fleet.Relays.Block(other, one)
}

// returned marks the machines' return and lets traffic go on for the 15 s that service has to come back in.
func (r *Rehearsal) markRecovered() {
	r.History.RecordMarker("returned", r.Clock.Now())
	time.Sleep(17 * time.Second)
}

// logged tells whether a process's log holds an event of a number.
func (r *Rehearsal) hasLogged(process *fleet.Process, number int) (bool, error) {
	content, err := os.ReadFile(filepath.Join(process.Dir, "log"))
	return bytes.Contains(content, []byte(fmt.Sprintf(`"event":%d,`, number))), err
}

// variant is the layout's desired state with a note of its own.
func (r *Rehearsal) stateVariant(number int) []byte {
	content, _ := examples.Desired(r.Fleet.Layout.DesiredState)
	return bytes.Replace(content, []byte(`"note": "`), []byte(fmt.Sprintf(`"note": "variant %d. `, number)), 1)
}

// replace starts a new instance of a backend's service on another machine, then has the old one leave and end.
func (r *Rehearsal) replaceBackend(old *standin.Backend, drainTime time.Duration) error {
	if _, err := r.AddBackend(old.Service, (r.ProxyIndexOf(old)+1)%len(r.Fleet.Proxies)); err != nil {
		return err
	}
	old.Drain()
	time.Sleep(drainTime)
	old.Close()
	r.RemoveBackend(old)
	return nil
}

// moveCoreHost gives a core machine's processes a new host while they are down, as when seeds move to other machines.
func (r *Rehearsal) moveCoreHost(index int) error {
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

// awaitSafeToStop waits until a core machine may be taken away, by the doctor's word.
func (r *Rehearsal) awaitSafeToStop(index int) bool {
	names, addresses := []string{r.Fleet.Registries[index].Name, r.Fleet.ConfigStores[index].Name}, []string{}
	for _, process := range r.Fleet.ConfigStores {
		addresses = append(addresses, process.AdminAddress)
	}
	began := time.Now()
	var objections []string
	for ; time.Since(began) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		mesh, err := doctor.Gather(addresses, 5*time.Second)
		if _, objections = doctor.Safe(mesh, names); err == nil && len(objections) == 0 {
			r.Logf("%v may go, after %d ms", names, time.Since(began).Milliseconds())
			return true
		}
	}
	r.AddFinding("rule 12: %v may not go after 30 s: %v", names, objections)
	return false
}

func init() {
	add(Scenario{Name: "kill-carriers", Summary: "kill carriers one after another; each comes back after two seconds", Rules: []int{1, 3, 5, 8}, Run: func(rehearsal *Rehearsal) error {
		for deadline := time.Now().Add(rehearsal.Options.Duration); time.Now().Before(deadline); {
			victim := randomItem(rehearsal.Fleet.Proxies)
			rehearsal.Logf("killing %s", victim.Name)
			victim.Kill()
			rehearsal.restartAfter(victim, 2*time.Second)
			rehearsal.Wait(3 * time.Second)
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "kill-primaries", Summary: "kill the sorters' and the postmasters' primary in turn", Rules: []int{1, 3, 5, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		for turn, deadline := 0, time.Now().Add(rehearsal.Options.Duration); time.Now().Before(deadline); turn++ {
			group := rehearsal.Fleet.Registries
			if turn%2 == 1 {
				group = rehearsal.Fleet.ConfigStores
			}
			victim := rehearsal.AwaitPrimary(group)
			rehearsal.Logf("killing the primary %s", victim.Name)
			victim.Kill()
			began := time.Now()
			next := rehearsal.AwaitPrimary(group)
			rehearsal.Logf("%s answers %d ms later", next.Name, time.Since(began).Milliseconds())
			rehearsal.restartAfter(victim, time.Second)
			if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(turn), "any", 40*time.Second); err != nil {
				return err
			}
			rehearsal.Wait(4 * time.Second)
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "lose-disk", Summary: "a core machine ends with its disk lost, and comes back blank", Rules: []int{1, 3, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		rehearsal.Wait(rehearsal.partOfLength(0.3))
		for _, group := range [][]*fleet.Process{rehearsal.Fleet.Registries, rehearsal.Fleet.ConfigStores} {
			victim := rehearsal.AwaitPrimary(group)
			rehearsal.Logf("%s loses its disk", victim.Name)
			victim.Kill()
			if err := os.RemoveAll(victim.DataDir()); err != nil {
				return err
			}
			rehearsal.restartAfter(victim, 3*time.Second)
			rehearsal.Wait(rehearsal.partOfLength(0.3))
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "damage-disk", Summary: "a byte of each primary's record file goes bad while it's down; it takes a fresh copy", Rules: []int{1, 3, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		for turn, group := range [][]*fleet.Process{rehearsal.Fleet.Registries, rehearsal.Fleet.ConfigStores} {
			rehearsal.Wait(rehearsal.partOfLength(0.2))
			if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(turn), "any", 40*time.Second); err != nil {
				return err
			}
			victim := rehearsal.AwaitPrimary(group)
			victim.Kill()
			if err := victim.CorruptRecords(); err != nil {
				return err
			}
			rehearsal.Logf("%s finds a byte of its records damaged", victim.Name)
			rehearsal.restartAfter(victim, 2*time.Second)
			rehearsal.Wait(rehearsal.partOfLength(0.2))
			logged, err := rehearsal.hasLogged(victim, eventlog.DiskCorrupted)
			if err != nil || !logged {
				return fmt.Errorf("%s didn't tell that it discarded its damaged copy: %v", victim.Name, err)
			}
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "full-disk", Summary: "the disk of each primary, then of a whole core machine, is full for a while", Rules: []int{1, 3, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		fill := func(processes ...*fleet.Process) error {
			for _, process := range processes {
				rehearsal.Logf("%s finds its disk full", process.Name)
				if err := process.LimitFileSize(256); err != nil {
					return err
				}
			}
			if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(time.Now().Nanosecond()), "any", 40*time.Second); err != nil {
				return err
			}
			rehearsal.Wait(rehearsal.partOfLength(0.25))
			for _, process := range processes {
				group := map[string][]*fleet.Process{"registry": rehearsal.Fleet.Registries, "configstore": rehearsal.Fleet.ConfigStores}[process.Program]
				if rehearsal.AwaitPrimary(group) == process {
					return fmt.Errorf("%s leads with a full disk", process.Name)
				}
				if process.Running() {
					if err := process.LiftFileSizeLimit(); err != nil {
						return err
					}
				} else {
					rehearsal.restartAfter(process, 0)
				}
			}
			rehearsal.Wait(rehearsal.partOfLength(0.1))
			return nil
		}
		if err := fill(rehearsal.AwaitPrimary(rehearsal.Fleet.Registries)); err != nil {
			return err
		}
		if err := fill(rehearsal.AwaitPrimary(rehearsal.Fleet.ConfigStores)); err != nil {
			return err
		}
		machine := randomItem([]int{0, 1, 2})
		if err := fill(rehearsal.Fleet.Registries[machine], rehearsal.Fleet.ConfigStores[machine]); err != nil {
			return err
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "slow-disk", Summary: "a core machine's disk takes 400 ms longer for a sync, as backup and as primary; then it's well again", Rules: []int{1, 3, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		machine := randomItem([]int{0, 1, 2})
		slow := []*fleet.Process{rehearsal.Fleet.Registries[machine], rehearsal.Fleet.ConfigStores[machine]}
		again := func(linger time.Duration) error {
			for _, process := range slow {
				process.Stop(12 * time.Second)
				if err := rehearsal.Fleet.SetSyncDelay(process, linger); err != nil {
					return err
				}
				rehearsal.restartAfter(process, 0)
			}
			return fleet.AwaitReady(slow, 20*time.Second)
		}
		if err := again(400 * time.Millisecond); err != nil {
			return err
		}
		rehearsal.Logf("%s and %s have slow disks", slow[0].Name, slow[1].Name)
		for turn := range 4 {
			// Whoever leads ends, so that the slow machine's turn comes.
			group := [][]*fleet.Process{rehearsal.Fleet.Registries, rehearsal.Fleet.ConfigStores}[turn%2]
			victim := rehearsal.AwaitPrimary(group)
			if victim == slow[turn%2] {
				rehearsal.Logf("%s leads", victim.Name)
			} else {
				victim.Kill()
				rehearsal.Logf("%s was killed, %s leads", victim.Name, rehearsal.AwaitPrimary(group).Name)
				rehearsal.restartAfter(victim, 0)
			}
			began := time.Now()
			if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(turn), "any", 40*time.Second); err != nil {
				return err
			}
			rehearsal.Logf("acknowledged after %d ms", time.Since(began).Milliseconds())
			rehearsal.Wait(rehearsal.partOfLength(0.2))
		}
		if err := again(0); err != nil {
			return err
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "kill-core", Summary: "kill the whole core at once, some seconds later start it again", Rules: []int{1, 3, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		rehearsal.Wait(rehearsal.partOfLength(0.4))
		core := rehearsal.Fleet.Core()
		for _, process := range core {
			process.Kill()
		}
		rehearsal.Wait(3 * time.Second)
		for _, process := range core {
			rehearsal.restartAfter(process, 0)
		}
		rehearsal.markRecovered()
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		return nil
	}})
	add(Scenario{Name: "closing", Summary: "a closing fault: kill everything, start it again, and be back within 15 s", Rules: []int{1, 3, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		rehearsal.Wait(rehearsal.partOfLength(0.5))
		for _, process := range rehearsal.Fleet.All() {
			process.Signal(syscall.SIGKILL)
		}
		rehearsal.Wait(2 * time.Second)
		for _, process := range rehearsal.Fleet.All() {
			process.Wait(5 * time.Second)
			rehearsal.restartAfter(process, 0)
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "rolling", Summary: "restart every machine in turn by a planned stop", Rules: []int{1, 3, 7, 9, 12}, Run: func(rehearsal *Rehearsal) error {
		for _, process := range rehearsal.Fleet.All() {
			rehearsal.Logf("stopping %s", process.Name)
			if !process.Stop(12 * time.Second) {
				return fmt.Errorf("%s did not stop by itself", process.Name)
			}
			rehearsal.restartAfter(process, 0)
			if err := fleet.AwaitReady([]*fleet.Process{process}, 20*time.Second); err != nil {
				return err
			}
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "hurried", Summary: "warn carriers under full traffic with slow backends, and kill them 3, 4 and 5 s later", Rules: []int{1, 3, 9, 12}, Run: func(rehearsal *Rehearsal) error {
		for _, backend := range rehearsal.Backends {
			backend.SetWork(2_500_000)
		}
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		for turn, warning := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
			victim := rehearsal.Fleet.Proxies[turn%len(rehearsal.Fleet.Proxies)]
			began := time.Now()
			go func() {
				time.Sleep(500 * time.Millisecond)
				victim.Signal(syscall.SIGTERM) // a second signal changes nothing
			}()
			ended := victim.Stop(warning)
			rehearsal.Logf("%s was warned, and ended by itself: %v, after %d ms", victim.Name, ended, time.Since(began).Milliseconds())
			rehearsal.restartAfter(victim, 0)
			if err := fleet.AwaitReady([]*fleet.Process{victim}, 20*time.Second); err != nil {
				return err
			}
		}
		for _, backend := range rehearsal.Backends {
			backend.SetWork(backend.Service.WorkMicros)
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "versions", Summary: "roll every machine from an earlier build to this one, serving all the while", Rules: []int{1, 3, 7, 9, 12}, Run: func(rehearsal *Rehearsal) error {
		if rehearsal.Options.PreviousBinaryDir == "" {
			return fmt.Errorf("the versions scenario needs --older, a folder of an earlier build's daemons")
		}
		for _, binaries := range []string{rehearsal.Options.PreviousBinaryDir, rehearsal.Fleet.BinaryDir} {
			for _, process := range rehearsal.Fleet.All() {
				if !process.Stop(12 * time.Second) {
					return fmt.Errorf("%s did not stop by itself", process.Name)
				}
				if err := rehearsal.Fleet.Start(process, binaries); err != nil {
					return err
				}
				if err := fleet.AwaitReady([]*fleet.Process{process}, 20*time.Second); err != nil {
					return err
				}
			}
			rehearsal.Logf("all machines run %s", binaries)
			if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(time.Now().Nanosecond()), "any", 40*time.Second); err != nil {
				return err
			}
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "backends", Summary: "replace backends one by one, empty one machine, and remove an instance", Rules: []int{1, 3, 4, 5, 8}, Run: func(rehearsal *Rehearsal) error {
		for _, service := range rehearsal.Fleet.Layout.Services {
			for _, old := range rehearsal.BackendsOf(service.Name) {
				if err := rehearsal.replaceBackend(old, 3*time.Second); err != nil {
					return err
				}
			}
		}
		rehearsal.Wait(3 * time.Second)
		return nil
	}})
	add(Scenario{Name: "address-reuse", Summary: "end backends without a word and give their addresses to other services two seconds later", Rules: []int{1, 3, 5, 8}, Run: func(rehearsal *Rehearsal) error {
		services := rehearsal.Fleet.Layout.Services
		for turn, deadline := 0, time.Now().Add(rehearsal.Options.Duration); time.Now().Before(deadline); turn++ {
			old := randomItem(rehearsal.BackendsOf(services[turn%len(services)].Name))
			if _, err := rehearsal.AddBackend(old.Service, (rehearsal.ProxyIndexOf(old)+1)%len(rehearsal.Fleet.Proxies)); err != nil {
				return err
			}
			old.Close()
			rehearsal.RemoveBackend(old)
			rehearsal.Wait(2 * time.Second)
			if _, err := rehearsal.AddBackendAt(services[(turn+1)%len(services)], rehearsal.Fleet.Proxies[rehearsal.ProxyIndexOf(old)], old.Address); err != nil {
				return err
			}
			rehearsal.Wait(2 * time.Second)
		}
		return nil
	}})
	add(Scenario{Name: "wrong-bytes", Summary: "backends run and lose answers, send short, long, garbled and endless ones, and say not executed", Rules: []int{1, 2, 3, 8}, Run: func(rehearsal *Rehearsal) error {
		for deadline := time.Now().Add(rehearsal.Options.Duration); time.Now().Before(deadline); {
			var spoiled []*standin.Backend
			for _, service := range rehearsal.Fleet.Layout.Services {
				chosen := randomItem(rehearsal.BackendsOf(service.Name))
				chosen.Behavior.Store(standin.Mixed)
				spoiled = append(spoiled, chosen)
			}
			rehearsal.Wait(5 * time.Second)
			for _, chosen := range spoiled {
				chosen.Behavior.Store(standin.Normal)
			}
		}
		return nil
	}})
	add(Scenario{Name: "guard", Summary: "a whole service fails for a while; its guard opens, probes and closes again", Rules: []int{1, 2, 8, 10}, Run: func(rehearsal *Rehearsal) error {
		service := rehearsal.Fleet.Layout.Services[0].Name
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		for _, backend := range rehearsal.BackendsOf(service) {
			backend.Behavior.Store(standin.Failing)
		}
		rehearsal.Wait(rehearsal.partOfLength(0.4))
		// A prober's carrier dies with its probe in hand, and so does the holder of the record.
		victim := randomItem(rehearsal.Fleet.Proxies)
		victim.Kill()
		leader := rehearsal.AwaitPrimary(rehearsal.Fleet.Registries)
		leader.Kill()
		rehearsal.Wait(2 * time.Second)
		for _, backend := range rehearsal.BackendsOf(service) {
			backend.Behavior.Store(standin.Normal)
		}
		rehearsal.restartAfter(victim, 0)
		rehearsal.restartAfter(leader, 0)
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "configurations", Summary: "storms of configurations, races between two operators, and invalid ones, with a carrier frozen", Rules: []int{1, 3, 5, 6, 7}, Run: func(rehearsal *Rehearsal) error {
		number := 100
		for deadline := time.Now().Add(rehearsal.Options.Duration); time.Now().Before(deadline); {
			victim := randomItem(rehearsal.Fleet.Proxies)
			victim.Signal(syscall.SIGSTOP)
			done := make(chan error, 8)
			for storm := range 6 {
				number++
				content := rehearsal.stateVariant(number)
				if storm%3 == 2 {
					content = bytes.Replace(content, []byte(`"class": "once"`), []byte(`"class": "twice"`), 1)
				}
				go func() {
					_, err := rehearsal.Operator.Apply(content, "any", 40*time.Second)
					done <- err
				}()
				rehearsal.Wait(100 * time.Millisecond)
			}
			for range 2 {
				number++
				content := rehearsal.stateVariant(number)
				go func() {
					_, err := rehearsal.Operator.Apply(content, fmt.Sprint(number/2), 40*time.Second)
					done <- err
				}()
			}
			rehearsal.Wait(3 * time.Second)
			victim.Signal(syscall.SIGCONT)
			for range 8 {
				if err := <-done; err != nil {
					return err
				}
			}
		}
		return nil
	}})
	add(Scenario{Name: "freeze", Summary: "freeze carriers and primaries for four or eight seconds; they wake and must not act on what they knew", Rules: []int{1, 3, 5, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		for turn, deadline := 0, time.Now().Add(rehearsal.Options.Duration); time.Now().Before(deadline); turn++ {
			victim := rehearsal.Fleet.Proxies[turn%len(rehearsal.Fleet.Proxies)]
			if turn%3 == 1 {
				victim = rehearsal.AwaitPrimary(rehearsal.Fleet.Registries)
			} else if turn%3 == 2 {
				victim = rehearsal.AwaitPrimary(rehearsal.Fleet.ConfigStores)
			}
			rehearsal.Logf("freezing %s", victim.Name)
			victim.Signal(syscall.SIGSTOP)
			rehearsal.Wait([]time.Duration{4 * time.Second, 8 * time.Second}[turn%2]) // below and beyond the cutoff
			victim.Signal(syscall.SIGCONT)
			rehearsal.Wait(3 * time.Second)
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "isolate", Summary: "cut single machines off, one way and both, carriers and core", Rules: []int{1, 3, 5, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		if rehearsal.Fleet.Relays == nil {
			return errRelaysRequired
		}
		all := rehearsal.Fleet.All()
		for turn, deadline := 0, time.Now().Add(rehearsal.Options.Duration); time.Now().Before(deadline); turn++ {
			victim := randomItem(rehearsal.Fleet.Proxies)
			if turn%2 == 1 {
				victim = rehearsal.AwaitPrimary(rehearsal.Fleet.Registries)
			}
			rehearsal.Logf("cutting %s off", victim.Name)
			for _, other := range all {
				if other.Host != victim.Host {
					rehearsal.Fleet.Relays.Block(victim.Host, other.Host)
					if turn%3 != 2 {
						rehearsal.Fleet.Relays.Block(other.Host, victim.Host)
					}
				}
			}
			rehearsal.Wait(5 * time.Second)
			rehearsal.Fleet.Relays.Heal()
			rehearsal.Wait(4 * time.Second)
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "clocks", Summary: "the clocks of primaries and carriers step forward and back by seconds to an hour, while configurations are applied and a service fails", Rules: []int{1, 3, 6, 7, 10, 12}, Run: func(rehearsal *Rehearsal) error {
		service := rehearsal.Fleet.Layout.Services[0].Name
		rehearsal.setBehavior(service, standin.Failing, 0)
		rehearsal.awaitBreaker(service, "open", inState(breakerstore.Open))
		for turn, span := range []time.Duration{time.Hour, -3 * time.Second, 5 * time.Second, -time.Hour, 2 * time.Second, time.Hour} {
			for _, victim := range []*fleet.Process{rehearsal.AwaitPrimary(rehearsal.Fleet.Registries), rehearsal.AwaitPrimary(rehearsal.Fleet.ConfigStores), rehearsal.Fleet.Proxies[turn%len(rehearsal.Fleet.Proxies)]} {
				rehearsal.Logf("%s steps by %v", victim.Name, span)
				if err := victim.StepClock(span); err != nil {
					return err
				}
				if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(turn), "any", 40*time.Second); err != nil {
					return err
				}
				if span < 0 { // it ends by itself, and its platform starts it again
					if !victim.Wait(5 * time.Second) {
						rehearsal.AddFinding("%s goes on though its clock stepped back", victim.Name)
					} else {
						rehearsal.restartAfter(victim, 0)
					}
				}
			}
			if turn == 1 {
				rehearsal.setBehavior(service, standin.Normal, 0)
			}
			rehearsal.Wait(rehearsal.partOfLength(0.05))
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "split", Summary: "split the core from itself and from the carriers", Rules: []int{1, 3, 5, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		if rehearsal.Fleet.Relays == nil {
			return errRelaysRequired
		}
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		one := rehearsal.Fleet.Registries[0].Host
		for _, other := range rehearsal.Fleet.Registries[1:] {
			rehearsal.partition(one, other.Host)
		}
		rehearsal.Wait(rehearsal.partOfLength(0.3))
		rehearsal.Fleet.Relays.Heal()
		for _, carrier := range rehearsal.Fleet.Proxies {
			for _, core := range rehearsal.Fleet.Registries {
				rehearsal.partition(carrier.Host, core.Host)
			}
		}
		rehearsal.Wait(rehearsal.partOfLength(0.3))
		rehearsal.Fleet.Relays.Heal()
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "halves", Summary: "split a core of four in two halves, whose carriers reach both, under configurations", Rules: []int{1, 3, 6, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		if rehearsal.Fleet.Relays == nil {
			return errRelaysRequired
		}
		if len(rehearsal.Fleet.Registries) != 4 {
			return fmt.Errorf("halves needs a core of four, which %s hasn't got", rehearsal.Fleet.Layout.Name)
		}
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		for _, one := range rehearsal.Fleet.Registries[:2] {
			for _, other := range rehearsal.Fleet.Registries[2:] {
				rehearsal.partition(one.Host, other.Host)
			}
		}
		began := time.Now()
		if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(1), "any", 40*time.Second); err != nil {
			rehearsal.AddFinding("rule 12: no configuration was accepted in the half that should go on: %v", err)
		}
		rehearsal.Logf("a configuration was acknowledged %d ms after the split began", time.Since(began).Milliseconds())
		rehearsal.Wait(rehearsal.partOfLength(0.8))
		rehearsal.Fleet.Relays.Heal()
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "troubled", Summary: "one carrier's network to the others is slow, then garbles what it carries, then is cut; nobody else may notice", Rules: []int{1, 3, 11}, Run: func(rehearsal *Rehearsal) error {
		if rehearsal.Fleet.Relays == nil {
			return errRelaysRequired
		}
		victim := rehearsal.Fleet.Proxies[1]
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		rehearsal.History.RecordMarker("troubled "+victim.Name, rehearsal.Clock.Now())
		trouble := func(bring func(other *fleet.Process)) {
			for _, other := range rehearsal.Fleet.Proxies {
				if other != victim {
					bring(other)
				}
			}
			rehearsal.Wait(rehearsal.partOfLength(0.2))
		}
		trouble(func(other *fleet.Process) {
			rehearsal.Fleet.Relays.Delay(victim.Host, other.Host, 700*time.Millisecond)
		})
		rehearsal.Fleet.Relays.Heal()
		trouble(func(other *fleet.Process) {
			rehearsal.Fleet.Relays.Corrupt(victim.Host, other.Host)
			rehearsal.Fleet.Relays.Corrupt(other.Host, victim.Host)
		})
		rehearsal.Fleet.Relays.Heal()
		trouble(func(other *fleet.Process) { rehearsal.Fleet.Relays.Block(victim.Host, other.Host) })
		rehearsal.Fleet.Relays.Heal()
		rehearsal.History.RecordMarker("untroubled", rehearsal.Clock.Now())
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		return nil
	}})
	add(Scenario{Name: "move-seeds", Summary: "two core machines move to other addresses, one after the other, and a carrier restarts on stale seeds", Rules: []int{1, 3, 7, 12}, Run: func(rehearsal *Rehearsal) error {
		for index := range 2 {
			rehearsal.Wait(rehearsal.partOfLength(0.2))
			if !rehearsal.awaitSafeToStop(index) {
				break
			}
			rehearsal.Logf("moving core machine %d", index+1)
			if err := rehearsal.moveCoreHost(index); err != nil {
				return err
			}
			rehearsal.Wait(rehearsal.partOfLength(0.2))
		}
		victim := randomItem(rehearsal.Fleet.Proxies)
		victim.Kill()
		rehearsal.restartAfter(victim, 0)
		if err := fleet.AwaitReady([]*fleet.Process{victim}, 20*time.Second); err != nil {
			return err
		}
		rehearsal.markRecovered()
		return nil
	}})
	add(Scenario{Name: "rush", Summary: "many times the traffic for a while, at backends with few workers", Rules: []int{1, 3, 8}, Run: func(rehearsal *Rehearsal) error {
		for _, backend := range rehearsal.Backends {
			backend.LimitWorkers(4, 40000)
		}
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		rush := standin.NewLoadGenerator(rehearsal.Fleet, rehearsal.Clock, rehearsal.History)
		rush.MaxRetries = 0
		rehearsal.History.RecordMarker("rush", rehearsal.Clock.Now())
		rush.Start(rehearsal.Options.OverloadFactor)
		rehearsal.Wait(rehearsal.partOfLength(0.6))
		rehearsal.History.RecordMarker("rushed", rehearsal.Clock.Now())
		rush.Stop()
		rehearsal.Wait(rehearsal.partOfLength(0.2))
		return nil
	}})
	add(Scenario{Name: "acknowledge", Summary: "apply configurations with all carriers there, then right after one was killed", Rules: []int{1, 3, 6, 7}, Run: func(rehearsal *Rehearsal) error {
		waits := func(what string, times int, before func()) error {
			for number := range times {
				before()
				began := time.Now()
				if _, err := rehearsal.Operator.Apply(rehearsal.stateVariant(number), "any", 40*time.Second); err != nil {
					return err
				}
				rehearsal.Logf("%s: acknowledged after %d ms", what, time.Since(began).Milliseconds())
			}
			return nil
		}
		if err := waits("all there", 10, func() { rehearsal.Wait(300 * time.Millisecond) }); err != nil {
			return err
		}
		return waits("one just lost", 4, func() {
			rehearsal.Wait(2 * time.Second)
			victim := randomItem(rehearsal.Fleet.Proxies)
			victim.Kill()
			go rehearsal.restartAfter(victim, 8*time.Second)
		})
	}})
}
