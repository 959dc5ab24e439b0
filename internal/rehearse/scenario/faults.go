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
func (stage *Stage) part(fraction float64) time.Duration {
	return time.Duration(float64(stage.Options.Length) * fraction)
}

// restart starts a process again after a while.
func (stage *Stage) restart(process *fleet.Process, after time.Duration) {
	time.Sleep(after)
	if err := stage.Fleet.Start(process, ""); err != nil {
		stage.Say("%s does not start: %v", process.Name, err)
	}
}

// cutApart cuts two machines from each other, both ways.
func (stage *Stage) cutApart(one, other string) {
	stage.Fleet.Relays.Cut(one, other)
	stage.Fleet.Relays.Cut(other, one)
}

// returned marks the machines' return and lets traffic go on for the 15 s that service has to come back in.
func (stage *Stage) returned() {
	stage.History.RecordMarker("returned", stage.Clock.Now())
	time.Sleep(17 * time.Second)
}

// logged tells whether a process's log holds an event of a number.
func (stage *Stage) logged(process *fleet.Process, number int) (bool, error) {
	content, err := os.ReadFile(filepath.Join(process.Folder, "log"))
	return bytes.Contains(content, []byte(fmt.Sprintf(`"event":%d,`, number))), err
}

// variant is the layout's desired state with a note of its own.
func (stage *Stage) variant(number int) []byte {
	content, _ := examples.Desired(stage.Fleet.Layout.Desired)
	return bytes.Replace(content, []byte(`"note": "`), []byte(fmt.Sprintf(`"note": "variant %d. `, number)), 1)
}

// replace starts a new instance of a backend's service on another machine, then has the old one leave and end.
func (stage *Stage) replace(old *standin.Backend, stay time.Duration) error {
	if _, err := stage.AddBackend(old.Service, (stage.Beside(old)+1)%len(stage.Fleet.Carriers)); err != nil {
		return err
	}
	old.Leave()
	time.Sleep(stay)
	old.End()
	stage.Remove(old)
	return nil
}

// moveCore gives a core machine's processes a new host while they are down, as when seeds move to other machines.
func (stage *Stage) moveCore(index int) error {
	for _, process := range []*fleet.Process{stage.Fleet.Sorters[index], stage.Fleet.Postmasters[index]} {
		process.Kill()
		if err := stage.Fleet.Move(process, 150+index); err != nil {
			return err
		}
		if err := stage.Fleet.Start(process, ""); err != nil {
			return err
		}
	}
	return nil
}

// awaitSafe waits until a core machine may be taken away, by the doctor's word.
func (stage *Stage) awaitSafe(index int) bool {
	names, desks := []string{stage.Fleet.Sorters[index].Name, stage.Fleet.Postmasters[index].Name}, []string{}
	for _, process := range stage.Fleet.Postmasters {
		desks = append(desks, process.Desk)
	}
	began := time.Now()
	var objections []string
	for ; time.Since(began) < 30*time.Second; time.Sleep(100 * time.Millisecond) {
		mesh, err := doctor.Look(desks, 5*time.Second)
		if _, objections = doctor.Safe(mesh, names); err == nil && len(objections) == 0 {
			stage.Say("%v may go, after %d ms", names, time.Since(began).Milliseconds())
			return true
		}
	}
	stage.Find("rule 12: %v may not go after 30 s: %v", names, objections)
	return false
}

func init() {
	add(Scenario{Name: "kill-carriers", Short: "kill carriers one after another; each comes back after two seconds", Rules: []int{1, 3, 5, 8}, Run: func(stage *Stage) error {
		for cutoff := time.Now().Add(stage.Options.Length); time.Now().Before(cutoff); {
			victim := random(stage.Fleet.Carriers)
			stage.Say("killing %s", victim.Name)
			victim.Kill()
			stage.restart(victim, 2*time.Second)
			stage.Wait(3 * time.Second)
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "kill-primaries", Short: "kill the sorters' and the postmasters' primary in turn", Rules: []int{1, 3, 5, 7, 12}, Run: func(stage *Stage) error {
		for turn, cutoff := 0, time.Now().Add(stage.Options.Length); time.Now().Before(cutoff); turn++ {
			group := stage.Fleet.Sorters
			if turn%2 == 1 {
				group = stage.Fleet.Postmasters
			}
			victim := stage.Primary(group)
			stage.Say("killing the primary %s", victim.Name)
			victim.Kill()
			began := time.Now()
			next := stage.Primary(group)
			stage.Say("%s answers %d ms later", next.Name, time.Since(began).Milliseconds())
			stage.restart(victim, time.Second)
			if _, err := stage.Operator.Apply(stage.variant(turn), "any", 40*time.Second); err != nil {
				return err
			}
			stage.Wait(4 * time.Second)
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "lose-disk", Short: "a core machine ends with its disk lost, and comes back blank", Rules: []int{1, 3, 7, 12}, Run: func(stage *Stage) error {
		stage.Wait(stage.part(0.3))
		for _, group := range [][]*fleet.Process{stage.Fleet.Sorters, stage.Fleet.Postmasters} {
			victim := stage.Primary(group)
			stage.Say("%s loses its disk", victim.Name)
			victim.Kill()
			if err := os.RemoveAll(victim.Data()); err != nil {
				return err
			}
			stage.restart(victim, 3*time.Second)
			stage.Wait(stage.part(0.3))
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "damage-disk", Short: "a byte of each primary's record file goes bad while it's down; it takes a fresh copy", Rules: []int{1, 3, 7, 12}, Run: func(stage *Stage) error {
		for turn, group := range [][]*fleet.Process{stage.Fleet.Sorters, stage.Fleet.Postmasters} {
			stage.Wait(stage.part(0.2))
			if _, err := stage.Operator.Apply(stage.variant(turn), "any", 40*time.Second); err != nil {
				return err
			}
			victim := stage.Primary(group)
			victim.Kill()
			if err := victim.Damage(); err != nil {
				return err
			}
			stage.Say("%s finds a byte of its records damaged", victim.Name)
			stage.restart(victim, 2*time.Second)
			stage.Wait(stage.part(0.2))
			told, err := stage.logged(victim, eventlog.DiskCorrupted)
			if err != nil || !told {
				return fmt.Errorf("%s didn't tell that it discarded its damaged copy: %v", victim.Name, err)
			}
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "full-disk", Short: "the disk of each primary, then of a whole core machine, is full for a while", Rules: []int{1, 3, 7, 12}, Run: func(stage *Stage) error {
		fill := func(processes ...*fleet.Process) error {
			for _, process := range processes {
				stage.Say("%s finds its disk full", process.Name)
				if err := process.Fill(256); err != nil {
					return err
				}
			}
			if _, err := stage.Operator.Apply(stage.variant(time.Now().Nanosecond()), "any", 40*time.Second); err != nil {
				return err
			}
			stage.Wait(stage.part(0.25))
			for _, process := range processes {
				group := map[string][]*fleet.Process{"registry": stage.Fleet.Sorters, "configstore": stage.Fleet.Postmasters}[process.Program]
				if stage.Primary(group) == process {
					return fmt.Errorf("%s leads with a full disk", process.Name)
				}
				if process.Running() {
					if err := process.Empty(); err != nil {
						return err
					}
				} else {
					stage.restart(process, 0)
				}
			}
			stage.Wait(stage.part(0.1))
			return nil
		}
		if err := fill(stage.Primary(stage.Fleet.Sorters)); err != nil {
			return err
		}
		if err := fill(stage.Primary(stage.Fleet.Postmasters)); err != nil {
			return err
		}
		machine := random([]int{0, 1, 2})
		if err := fill(stage.Fleet.Sorters[machine], stage.Fleet.Postmasters[machine]); err != nil {
			return err
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "slow-disk", Short: "a core machine's disk takes 400 ms longer for a sync, as backup and as primary; then it's well again", Rules: []int{1, 3, 7, 12}, Run: func(stage *Stage) error {
		machine := random([]int{0, 1, 2})
		slow := []*fleet.Process{stage.Fleet.Sorters[machine], stage.Fleet.Postmasters[machine]}
		again := func(linger time.Duration) error {
			for _, process := range slow {
				process.Stop(12 * time.Second)
				if err := stage.Fleet.Slow(process, linger); err != nil {
					return err
				}
				stage.restart(process, 0)
			}
			return fleet.Await(slow, 20*time.Second)
		}
		if err := again(400 * time.Millisecond); err != nil {
			return err
		}
		stage.Say("%s and %s have slow disks", slow[0].Name, slow[1].Name)
		for turn := range 4 {
			// Whoever leads ends, so that the slow machine's turn comes.
			group := [][]*fleet.Process{stage.Fleet.Sorters, stage.Fleet.Postmasters}[turn%2]
			victim := stage.Primary(group)
			if victim == slow[turn%2] {
				stage.Say("%s leads", victim.Name)
			} else {
				victim.Kill()
				stage.Say("%s was killed, %s leads", victim.Name, stage.Primary(group).Name)
				stage.restart(victim, 0)
			}
			began := time.Now()
			if _, err := stage.Operator.Apply(stage.variant(turn), "any", 40*time.Second); err != nil {
				return err
			}
			stage.Say("acknowledged after %d ms", time.Since(began).Milliseconds())
			stage.Wait(stage.part(0.2))
		}
		if err := again(0); err != nil {
			return err
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "kill-core", Short: "kill the whole core at once, some seconds later start it again", Rules: []int{1, 3, 7, 12}, Run: func(stage *Stage) error {
		stage.Wait(stage.part(0.4))
		core := stage.Fleet.Core()
		for _, process := range core {
			process.Kill()
		}
		stage.Wait(3 * time.Second)
		for _, process := range core {
			stage.restart(process, 0)
		}
		stage.returned()
		stage.Wait(stage.part(0.2))
		return nil
	}})
	add(Scenario{Name: "closing", Short: "a closing fault: kill everything, start it again, and be back within 15 s", Rules: []int{1, 3, 7, 12}, Run: func(stage *Stage) error {
		stage.Wait(stage.part(0.5))
		for _, process := range stage.Fleet.All() {
			process.Signal(syscall.SIGKILL)
		}
		stage.Wait(2 * time.Second)
		for _, process := range stage.Fleet.All() {
			process.Wait(5 * time.Second)
			stage.restart(process, 0)
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "rolling", Short: "restart every machine in turn by a planned stop", Rules: []int{1, 3, 7, 9, 12}, Run: func(stage *Stage) error {
		for _, process := range stage.Fleet.All() {
			stage.Say("stopping %s", process.Name)
			if !process.Stop(12 * time.Second) {
				return fmt.Errorf("%s did not stop by itself", process.Name)
			}
			stage.restart(process, 0)
			if err := fleet.Await([]*fleet.Process{process}, 20*time.Second); err != nil {
				return err
			}
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "hurried", Short: "warn carriers under full traffic with slow backends, and kill them 3, 4 and 5 s later", Rules: []int{1, 3, 9, 12}, Run: func(stage *Stage) error {
		for _, backend := range stage.Backends {
			backend.Work(2_500_000)
		}
		stage.Wait(stage.part(0.2))
		for turn, warning := range []time.Duration{3 * time.Second, 4 * time.Second, 5 * time.Second} {
			victim := stage.Fleet.Carriers[turn%len(stage.Fleet.Carriers)]
			began := time.Now()
			go func() {
				time.Sleep(500 * time.Millisecond)
				victim.Signal(syscall.SIGTERM) // a second signal changes nothing
			}()
			ended := victim.Stop(warning)
			stage.Say("%s was warned, and ended by itself: %v, after %d ms", victim.Name, ended, time.Since(began).Milliseconds())
			stage.restart(victim, 0)
			if err := fleet.Await([]*fleet.Process{victim}, 20*time.Second); err != nil {
				return err
			}
		}
		for _, backend := range stage.Backends {
			backend.Work(backend.Service.Work)
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "versions", Short: "roll every machine from an earlier build to this one, serving all the while", Rules: []int{1, 3, 7, 9, 12}, Run: func(stage *Stage) error {
		if stage.Options.Older == "" {
			return fmt.Errorf("the versions scenario needs --older, a folder of an earlier build's daemons")
		}
		for _, binaries := range []string{stage.Options.Older, stage.Fleet.Binaries} {
			for _, process := range stage.Fleet.All() {
				if !process.Stop(12 * time.Second) {
					return fmt.Errorf("%s did not stop by itself", process.Name)
				}
				if err := stage.Fleet.Start(process, binaries); err != nil {
					return err
				}
				if err := fleet.Await([]*fleet.Process{process}, 20*time.Second); err != nil {
					return err
				}
			}
			stage.Say("all machines run %s", binaries)
			if _, err := stage.Operator.Apply(stage.variant(time.Now().Nanosecond()), "any", 40*time.Second); err != nil {
				return err
			}
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "backends", Short: "replace backends one by one, empty one machine, and remove an instance", Rules: []int{1, 3, 4, 5, 8}, Run: func(stage *Stage) error {
		for _, service := range stage.Fleet.Layout.Services {
			for _, old := range stage.Of(service.Name) {
				if err := stage.replace(old, 3*time.Second); err != nil {
					return err
				}
			}
		}
		stage.Wait(3 * time.Second)
		return nil
	}})
	add(Scenario{Name: "address-reuse", Short: "end backends without a word and give their addresses to other services two seconds later", Rules: []int{1, 3, 5, 8}, Run: func(stage *Stage) error {
		services := stage.Fleet.Layout.Services
		for turn, cutoff := 0, time.Now().Add(stage.Options.Length); time.Now().Before(cutoff); turn++ {
			old := random(stage.Of(services[turn%len(services)].Name))
			if _, err := stage.AddBackend(old.Service, (stage.Beside(old)+1)%len(stage.Fleet.Carriers)); err != nil {
				return err
			}
			old.End()
			stage.Remove(old)
			stage.Wait(2 * time.Second)
			if _, err := stage.AddBackendAt(services[(turn+1)%len(services)], stage.Fleet.Carriers[stage.Beside(old)], old.Address); err != nil {
				return err
			}
			stage.Wait(2 * time.Second)
		}
		return nil
	}})
	add(Scenario{Name: "wrong-bytes", Short: "backends run and lose answers, send short, long, garbled and endless ones, and say not executed", Rules: []int{1, 2, 3, 8}, Run: func(stage *Stage) error {
		for cutoff := time.Now().Add(stage.Options.Length); time.Now().Before(cutoff); {
			var spoiled []*standin.Backend
			for _, service := range stage.Fleet.Layout.Services {
				chosen := random(stage.Of(service.Name))
				chosen.Manner.Store(standin.Mixed)
				spoiled = append(spoiled, chosen)
			}
			stage.Wait(5 * time.Second)
			for _, chosen := range spoiled {
				chosen.Manner.Store(standin.Normal)
			}
		}
		return nil
	}})
	add(Scenario{Name: "guard", Short: "a whole service fails for a while; its guard opens, probes and closes again", Rules: []int{1, 2, 8, 10}, Run: func(stage *Stage) error {
		service := stage.Fleet.Layout.Services[0].Name
		stage.Wait(stage.part(0.2))
		for _, backend := range stage.Of(service) {
			backend.Manner.Store(standin.Failing)
		}
		stage.Wait(stage.part(0.4))
		// A prober's carrier dies with its probe in hand, and so does the holder of the record.
		victim := random(stage.Fleet.Carriers)
		victim.Kill()
		holder := stage.Primary(stage.Fleet.Sorters)
		holder.Kill()
		stage.Wait(2 * time.Second)
		for _, backend := range stage.Of(service) {
			backend.Manner.Store(standin.Normal)
		}
		stage.restart(victim, 0)
		stage.restart(holder, 0)
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "configurations", Short: "storms of configurations, races between two operators, and invalid ones, with a carrier frozen", Rules: []int{1, 3, 5, 6, 7}, Run: func(stage *Stage) error {
		number := 100
		for cutoff := time.Now().Add(stage.Options.Length); time.Now().Before(cutoff); {
			victim := random(stage.Fleet.Carriers)
			victim.Signal(syscall.SIGSTOP)
			done := make(chan error, 8)
			for storm := range 6 {
				number++
				content := stage.variant(number)
				if storm%3 == 2 {
					content = bytes.Replace(content, []byte(`"class": "once"`), []byte(`"class": "twice"`), 1)
				}
				go func() {
					_, err := stage.Operator.Apply(content, "any", 40*time.Second)
					done <- err
				}()
				stage.Wait(100 * time.Millisecond)
			}
			for range 2 {
				number++
				content := stage.variant(number)
				go func() {
					_, err := stage.Operator.Apply(content, fmt.Sprint(number/2), 40*time.Second)
					done <- err
				}()
			}
			stage.Wait(3 * time.Second)
			victim.Signal(syscall.SIGCONT)
			for range 8 {
				if err := <-done; err != nil {
					return err
				}
			}
		}
		return nil
	}})
	add(Scenario{Name: "freeze", Short: "freeze carriers and primaries for four or eight seconds; they wake and must not act on what they knew", Rules: []int{1, 3, 5, 7, 12}, Run: func(stage *Stage) error {
		for turn, cutoff := 0, time.Now().Add(stage.Options.Length); time.Now().Before(cutoff); turn++ {
			victim := stage.Fleet.Carriers[turn%len(stage.Fleet.Carriers)]
			if turn%3 == 1 {
				victim = stage.Primary(stage.Fleet.Sorters)
			} else if turn%3 == 2 {
				victim = stage.Primary(stage.Fleet.Postmasters)
			}
			stage.Say("freezing %s", victim.Name)
			victim.Signal(syscall.SIGSTOP)
			stage.Wait([]time.Duration{4 * time.Second, 8 * time.Second}[turn%2]) // below and beyond the cutoff
			victim.Signal(syscall.SIGCONT)
			stage.Wait(3 * time.Second)
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "isolate", Short: "cut single machines off, one way and both, carriers and core", Rules: []int{1, 3, 5, 7, 12}, Run: func(stage *Stage) error {
		if stage.Fleet.Relays == nil {
			return errNoRelays
		}
		all := stage.Fleet.All()
		for turn, cutoff := 0, time.Now().Add(stage.Options.Length); time.Now().Before(cutoff); turn++ {
			victim := random(stage.Fleet.Carriers)
			if turn%2 == 1 {
				victim = stage.Primary(stage.Fleet.Sorters)
			}
			stage.Say("cutting %s off", victim.Name)
			for _, other := range all {
				if other.Host != victim.Host {
					stage.Fleet.Relays.Cut(victim.Host, other.Host)
					if turn%3 != 2 {
						stage.Fleet.Relays.Cut(other.Host, victim.Host)
					}
				}
			}
			stage.Wait(5 * time.Second)
			stage.Fleet.Relays.Mend()
			stage.Wait(4 * time.Second)
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "clocks", Short: "the clocks of primaries and carriers step forward and back by seconds to an hour, while configurations are applied and a service fails", Rules: []int{1, 3, 6, 7, 10, 12}, Run: func(stage *Stage) error {
		service := stage.Fleet.Layout.Services[0].Name
		stage.manner(service, standin.Failing, 0)
		stage.awaitGuard(service, "open", state(breakerstore.Open))
		for turn, span := range []time.Duration{time.Hour, -3 * time.Second, 5 * time.Second, -time.Hour, 2 * time.Second, time.Hour} {
			for _, victim := range []*fleet.Process{stage.Primary(stage.Fleet.Sorters), stage.Primary(stage.Fleet.Postmasters), stage.Fleet.Carriers[turn%len(stage.Fleet.Carriers)]} {
				stage.Say("%s steps by %v", victim.Name, span)
				if err := victim.Leap(span); err != nil {
					return err
				}
				if _, err := stage.Operator.Apply(stage.variant(turn), "any", 40*time.Second); err != nil {
					return err
				}
				if span < 0 { // it ends by itself, and its platform starts it again
					if !victim.Wait(5 * time.Second) {
						stage.Find("%s goes on though its clock stepped back", victim.Name)
					} else {
						stage.restart(victim, 0)
					}
				}
			}
			if turn == 1 {
				stage.manner(service, standin.Normal, 0)
			}
			stage.Wait(stage.part(0.05))
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "split", Short: "split the core from itself and from the carriers", Rules: []int{1, 3, 5, 7, 12}, Run: func(stage *Stage) error {
		if stage.Fleet.Relays == nil {
			return errNoRelays
		}
		stage.Wait(stage.part(0.2))
		one := stage.Fleet.Sorters[0].Host
		for _, other := range stage.Fleet.Sorters[1:] {
			stage.cutApart(one, other.Host)
		}
		stage.Wait(stage.part(0.3))
		stage.Fleet.Relays.Mend()
		for _, carrier := range stage.Fleet.Carriers {
			for _, core := range stage.Fleet.Sorters {
				stage.cutApart(carrier.Host, core.Host)
			}
		}
		stage.Wait(stage.part(0.3))
		stage.Fleet.Relays.Mend()
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "halves", Short: "split a core of four in two halves, whose carriers reach both, under configurations", Rules: []int{1, 3, 6, 7, 12}, Run: func(stage *Stage) error {
		if stage.Fleet.Relays == nil {
			return errNoRelays
		}
		if len(stage.Fleet.Sorters) != 4 {
			return fmt.Errorf("halves needs a core of four, which %s hasn't got", stage.Fleet.Layout.Name)
		}
		stage.Wait(stage.part(0.2))
		for _, one := range stage.Fleet.Sorters[:2] {
			for _, other := range stage.Fleet.Sorters[2:] {
				stage.cutApart(one.Host, other.Host)
			}
		}
		began := time.Now()
		if _, err := stage.Operator.Apply(stage.variant(1), "any", 40*time.Second); err != nil {
			stage.Find("rule 12: no configuration was accepted in the half that should go on: %v", err)
		}
		stage.Say("a configuration was acknowledged %d ms after the split began", time.Since(began).Milliseconds())
		stage.Wait(stage.part(0.8))
		stage.Fleet.Relays.Mend()
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "troubled", Short: "one carrier's network to the others is slow, then garbles what it carries, then is cut; nobody else may notice", Rules: []int{1, 3, 11}, Run: func(stage *Stage) error {
		if stage.Fleet.Relays == nil {
			return errNoRelays
		}
		victim := stage.Fleet.Carriers[1]
		stage.Wait(stage.part(0.2))
		stage.History.RecordMarker("troubled "+victim.Name, stage.Clock.Now())
		trouble := func(bring func(other *fleet.Process)) {
			for _, other := range stage.Fleet.Carriers {
				if other != victim {
					bring(other)
				}
			}
			stage.Wait(stage.part(0.2))
		}
		trouble(func(other *fleet.Process) { stage.Fleet.Relays.Delay(victim.Host, other.Host, 700*time.Millisecond) })
		stage.Fleet.Relays.Mend()
		trouble(func(other *fleet.Process) {
			stage.Fleet.Relays.Garble(victim.Host, other.Host)
			stage.Fleet.Relays.Garble(other.Host, victim.Host)
		})
		stage.Fleet.Relays.Mend()
		trouble(func(other *fleet.Process) { stage.Fleet.Relays.Cut(victim.Host, other.Host) })
		stage.Fleet.Relays.Mend()
		stage.History.RecordMarker("untroubled", stage.Clock.Now())
		stage.Wait(stage.part(0.2))
		return nil
	}})
	add(Scenario{Name: "move-seeds", Short: "two core machines move to other addresses, one after the other, and a carrier restarts on stale seeds", Rules: []int{1, 3, 7, 12}, Run: func(stage *Stage) error {
		for index := range 2 {
			stage.Wait(stage.part(0.2))
			if !stage.awaitSafe(index) {
				break
			}
			stage.Say("moving core machine %d", index+1)
			if err := stage.moveCore(index); err != nil {
				return err
			}
			stage.Wait(stage.part(0.2))
		}
		victim := random(stage.Fleet.Carriers)
		victim.Kill()
		stage.restart(victim, 0)
		if err := fleet.Await([]*fleet.Process{victim}, 20*time.Second); err != nil {
			return err
		}
		stage.returned()
		return nil
	}})
	add(Scenario{Name: "rush", Short: "many times the traffic for a while, at backends with few workers", Rules: []int{1, 3, 8}, Run: func(stage *Stage) error {
		for _, backend := range stage.Backends {
			backend.Bound(4, 40000)
		}
		stage.Wait(stage.part(0.2))
		rush := standin.NewCallers(stage.Fleet, stage.Clock, stage.History)
		rush.Again = 0
		stage.History.RecordMarker("rush", stage.Clock.Now())
		rush.Start(stage.Options.Rush)
		stage.Wait(stage.part(0.6))
		stage.History.RecordMarker("rushed", stage.Clock.Now())
		rush.Stop()
		stage.Wait(stage.part(0.2))
		return nil
	}})
	add(Scenario{Name: "acknowledge", Short: "apply configurations with all carriers there, then right after one was killed", Rules: []int{1, 3, 6, 7}, Run: func(stage *Stage) error {
		waits := func(what string, times int, before func()) error {
			for number := range times {
				before()
				began := time.Now()
				if _, err := stage.Operator.Apply(stage.variant(number), "any", 40*time.Second); err != nil {
					return err
				}
				stage.Say("%s: acknowledged after %d ms", what, time.Since(began).Milliseconds())
			}
			return nil
		}
		if err := waits("all there", 10, func() { stage.Wait(300 * time.Millisecond) }); err != nil {
			return err
		}
		return waits("one just lost", 4, func() {
			stage.Wait(2 * time.Second)
			victim := random(stage.Fleet.Carriers)
			victim.Kill()
			go stage.restart(victim, 8*time.Second)
		})
	}})
}
