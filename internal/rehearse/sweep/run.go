package sweep

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/discovery"
	"snowflow/internal/host/machine"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/hollow"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// Options are how a size is played.
type Options struct {
	Window   time.Duration // of steady state
	Patience time.Duration // for everything that is waited for outside it
	Failures bool
	Folder   string
	Binaries string
	Base     int // second part of the fleet's loopback numbers
}

// arrival is how far apart carriers come before the window; their return at once is measured behind it.
const arrival = 10 * time.Millisecond

const (
	postmasters = "postmaster"
	carriers    = "carrier"
)

// play is a run under way.
type play struct {
	size    Size
	options Options
	fleet   *fleet.Fleet
	crowd   *hollow.Crowd
	place   *machine.Machine // the operator's
	book    *discovery.Resolver
	run     *Run
	serial  int     // of the changes' contents
	alone   float64 // what this process had resident before the carriers came
}

// Play plays one run: it starts the core as processes and the carriers as hollow ones in this process, and measures.
func Play(size Size, options Options, number int) (Run, error) {
	run := Run{Size: size, Number: number, Load: load(), Roles: map[string]Role{}}
	made, err := fleet.New(layout.Layout{Name: "hollow", Zones: []string{"left", "middle", "right"}, Cores: 3}, options.Folder, options.Binaries, options.Base, false, "near", "warn")
	if err != nil {
		return run, err
	}
	defer made.End()
	play := &play{size: size, options: options, fleet: made, run: &run, place: machine.New(nil, nil, nil)}
	defer play.place.CloseConnections()
	if err := made.StartAll(); err != nil {
		return run, err
	}
	if err := fleet.Await(made.Core(), options.Patience); err != nil {
		return run, err
	}
	seeds := []string{}
	for _, process := range made.Core() {
		seeds = append(seeds, process.Peer)
	}
	play.book = discovery.New(play.place, nil, seeds)
	// Each service is called by two carriers at least, so that a report of trouble is kept.
	calls := max(4, (2*size.Services+size.Carriers-1)/size.Carriers)
	play.crowd = hollow.NewCrowd(hollow.Settings{Carriers: size.Carriers, Services: size.Services, Calls: calls, Zones: made.Layout.Zones, Seeds: seeds[1:4]})
	defer play.crowd.Leave()
	for _, step := range []func() error{play.settle, play.guard, play.measure, play.fail} {
		if err := step(); err != nil {
			return run, err
		}
	}
	return run, nil
}

// until looks again and again until something is so.
func until(patience time.Duration, so func() bool) (seconds float64, reached bool) {
	started := time.Now()
	for !so() {
		if time.Since(started) > patience {
			return time.Since(started).Seconds(), false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started).Seconds(), true
}

func (play *play) all(count func() int) func() bool {
	return func() bool { return count() == play.size.Carriers }
}

// settle has a first desired state accepted and all carriers join.
func (play *play) settle() error {
	if _, _, err := play.apply(play.options.Patience); err != nil {
		return err
	}
	alone, err := resident("self", "VmRSS")
	if err != nil {
		return err
	}
	play.alone = alone
	began := time.Now()
	if err := play.crowd.Arrive(arrival); err != nil {
		return err
	}
	for _, step := range []struct {
		what  string
		count func() int
	}{{"ready", play.crowd.Ready}, {"aware of all others", play.crowd.Whole}} {
		if _, reached := until(play.options.Patience, play.all(step.count)); !reached {
			return fmt.Errorf("only %d of %d carriers are %s after %v", step.count(), play.size.Carriers, step.what, play.options.Patience)
		}
	}
	play.run.Joined = time.Since(began).Seconds()
	return nil
}

// guard gives each service a shared guard's record, by a report of trouble from one carrier that calls it.
func (play *play) guard() error {
	first := map[int]int{}
	for index := range play.size.Carriers {
		for _, service := range play.crowd.Called(index) {
			if _, known := first[service]; !known {
				first[service] = index
			}
		}
	}
	var reports sync.WaitGroup
	faults := make(chan error, len(first))
	slots := make(chan struct{}, 32)
	for service, index := range first {
		reports.Add(1)
		go func() {
			defer reports.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			faults <- play.crowd.Trip(index, service)
		}()
	}
	reports.Wait()
	close(faults)
	for err := range faults {
		if err != nil {
			return err
		}
	}
	told := func() bool { return play.crowd.Guarded(0) == len(first) }
	if _, reached := until(play.options.Patience, told); !reached {
		return fmt.Errorf("a carrier was told of %d of %d guards after %v", play.crowd.Guarded(0), len(first), play.options.Patience)
	}
	play.run.Guards = len(first)
	return nil
}

// content writes the next desired state. Each differs in one route's cutoff, or in the note where there are no routes.
func (play *play) content() ([]byte, error) {
	play.serial++
	state := &wire.DesiredState{Note: fmt.Sprintf("change %d", play.serial), Groups: []*wire.Group{{Name: "all"}}}
	for index := range play.size.Services {
		state.Groups[0].Services = append(state.Groups[0].Services, &wire.Service{Name: hollow.Service(index),
			Paths: []*wire.Path{{Method: "POST", Prefix: fmt.Sprintf("/s/%04d", index), Class: wire.Path_once}}})
	}
	for index := range play.size.Routes {
		route := &wire.Route{Name: fmt.Sprintf("route-%06d", index), Method: "GET", Prefix: fmt.Sprintf("/r/%06d", index), Class: wire.Path_read,
			Split: []*wire.Share{{Service: hollow.Service(index % play.size.Services), Weight: 1}}}
		if index == play.serial%play.size.Routes {
			cutoff := int64(1000000 + play.serial)
			route.CutoffMicros = &cutoff
		}
		state.Routes = append(state.Routes, route)
	}
	content, err := protojson.Marshal(state)
	play.run.Content = len(content)
	return content, err
}

// call asks a group's primary, again until patience ends.
func (play *play) call(group string, patience time.Duration, ask func(name string, left monotonic.Micros) error) error {
	cutoff, err := time.Now().Add(patience), errors.New("no primary is known")
	for time.Now().Before(cutoff) {
		if name := play.book.Leader(group); name != "" {
			if err = ask(name, monotonic.FromDuration(time.Until(cutoff))); err == nil {
				return nil
			}
		}
		play.book.Refresh()
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// apply has a change accepted. It gives its serial and how long it took to be acknowledged.
func (play *play) apply(patience time.Duration) (serial uint64, took float64, err error) {
	content, err := play.content()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	ask := &wire.ConfigApplyRequest{Content: content, AnyVersion: true, Request: strconv.Itoa(play.serial)}
	tell := &wire.ConfigApplyResponse{}
	err = play.call(postmasters, patience, func(name string, left monotonic.Micros) error {
		return play.book.Call(name, wire.Kind_config_apply, ask, tell, left)
	})
	if err == nil && tell.Outcome != "accepted" {
		err = fmt.Errorf("a change was not accepted: %s %v", tell.Outcome, tell.Errors)
	}
	return tell.Version, time.Since(began).Seconds(), err
}

// reading is what all processes had used and exchanged by a moment.
type reading struct {
	at        time.Time
	processor map[string]float64
	kinds     map[string]map[string]machine.MessageCount
}

func (play *play) read() (reading, error) {
	taken := reading{at: time.Now(), processor: map[string]float64{carriers: processor()}, kinds: map[string]map[string]machine.MessageCount{carriers: named(play.crowd.Kinds())}}
	for _, process := range play.fleet.Core() {
		taken.processor[process.Name] = float64(process.Processor())
		counted, err := kinds(process)
		if err != nil {
			return taken, err
		}
		taken.kinds[process.Name] = counted
	}
	return taken, nil
}

// measure is the window: changes, claims and restarts at their rates, and what everybody needs meanwhile.
func (play *play) measure() error {
	before, err := play.read()
	if err != nil {
		return err
	}
	var work sync.WaitGroup
	faults := make(chan error, 3)
	for _, task := range []func() error{play.change, play.claim, play.restart} {
		work.Add(1)
		go func() {
			defer work.Done()
			if err := task(); err != nil {
				faults <- err
			}
		}()
	}
	time.Sleep(play.options.Window)
	work.Wait()
	after, err := play.read()
	if err != nil {
		return err
	}
	select {
	case err := <-faults:
		return err
	default:
	}
	play.run.Seconds = after.at.Sub(before.at).Seconds()
	return play.weigh(before, after)
}

func (play *play) weigh(before, after reading) error {
	peak, err := resident("self", "VmHWM")
	if err != nil {
		return err
	}
	count, seconds := float64(play.size.Carriers), play.run.Seconds
	play.run.Roles[carriers] = Role{Processes: play.size.Carriers, Processor: (after.processor[carriers] - before.processor[carriers]) / seconds / count,
		Resident: (peak - play.alone) / count, Kinds: rates(before.kinds[carriers], after.kinds[carriers], seconds*count)}
	standing, err := play.standing()
	if err != nil {
		return err
	}
	for _, process := range play.fleet.Core() {
		core := standing[process.Program]
		peak, err := resident(strconv.Itoa(process.Identity()), "VmHWM")
		if err != nil {
			return err
		}
		play.run.Roles[role(process, core)] = Role{Processes: 1, Processor: (after.processor[process.Name] - before.processor[process.Name]) / seconds,
			Resident: peak, Kinds: rates(before.kinds[process.Name], after.kinds[process.Name], seconds)}
	}
	return nil
}

// standing is how both groups stand by their primaries' word, once each has a backup.
func (play *play) standing() (map[string]replication.Status, error) {
	found := map[string]replication.Status{}
	_, reached := until(play.options.Patience, func() bool {
		for _, process := range play.fleet.Core() {
			core, err := status(process)
			if err == nil && core.Serving && core.Primary == process.Name && core.Backup != "" {
				found[process.Program] = core
			}
		}
		return len(found) == 2
	})
	if !reached {
		return nil, fmt.Errorf("after %v only %d of 2 groups have a primary with a backup", play.options.Patience, len(found))
	}
	return found, nil
}

// spread runs a number of things one after another, evenly over the window.
func (play *play) spread(count int, do func(index int) error) error {
	began := time.Now()
	for index := range count {
		due := began.Add(play.options.Window * time.Duration(2*index+1) / time.Duration(2*count))
		time.Sleep(time.Until(due))
		if err := do(index); err != nil {
			return err
		}
	}
	return nil
}

func (play *play) change() error {
	return play.spread(play.size.Changes, func(int) error {
		began := time.Now()
		serial, took, err := play.apply(play.options.Patience)
		if err != nil {
			return err
		}
		// One that a newer state overtook at some carriers never comes to them; nothing else applies meanwhile.
		var last time.Time
		if _, reached := until(play.options.Patience, func() bool {
			adopted, missing := play.crowd.Adopted(serial)
			last = adopted
			return missing == 0
		}); !reached {
			return fmt.Errorf("change %d has not reached all carriers after %v", serial, play.options.Patience)
		}
		play.run.TakeUp = append(play.run.TakeUp, last.Sub(began).Seconds())
		play.run.Answered = append(play.run.Answered, took)
		return nil
	})
}

// claim claims at a steady rate; each claim has a task of its own, so that slow ones don't slow the others.
func (play *play) claim() error {
	var lock sync.Mutex
	var work sync.WaitGroup
	var took []float64
	count := int(float64(play.size.Calls) * play.options.Window.Seconds())
	err := play.spread(count, func(index int) error {
		work.Add(1)
		go func() {
			defer work.Done()
			began := time.Now()
			granted, err := play.crowd.Claim(index%play.size.Carriers, fmt.Sprintf("service/key/%d", index), 5*monotonic.Second)
			lock.Lock()
			defer lock.Unlock()
			if err != nil || !granted {
				play.run.Claims.Other++
				return
			}
			took = append(took, time.Since(began).Seconds())
		}()
		return nil
	})
	work.Wait()
	slices.Sort(took)
	play.run.Claims.Granted = len(took)
	if len(took) > 0 {
		play.run.Claims.P50, play.run.Claims.P99 = took[len(took)/2], took[len(took)*99/100]
	}
	return err
}

func (play *play) restart() error {
	return play.spread(play.size.Restarts, func(index int) error { return play.crowd.Restart(index % play.size.Carriers) })
}

// fail kills both primaries at once and sees how long the groups don't answer; then all carriers go, and return at once.
func (play *play) fail() error {
	if !play.options.Failures {
		return nil
	}
	result := &Failures{CutoffSecs: play.options.Patience.Seconds()}
	play.run.Failures = result
	killed := []*fleet.Process{}
	standing, err := play.standing()
	if err != nil {
		return err
	}
	for _, process := range play.fleet.Core() {
		if standing[process.Program].Primary == process.Name {
			killed = append(killed, process)
		}
	}
	for _, process := range killed {
		process.Kill()
	}
	began := time.Now()
	var work sync.WaitGroup
	for into, ask := range map[**float64]func() error{
		&result.Claims: func() error {
			_, err := play.crowd.Claim(0, "service/after", monotonic.FromDuration(play.options.Patience))
			return err
		},
		&result.Reads: func() error {
			return play.call(postmasters, play.options.Patience, func(name string, left monotonic.Micros) error {
				return play.book.Call(name, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, &wire.ConfigReadResponse{}, min(left, 300*monotonic.Millisecond))
			})
		},
		&result.Applies: func() error { _, _, err := play.apply(play.options.Patience); return err },
	} {
		work.Add(1)
		go func() {
			defer work.Done()
			if ask() == nil {
				took := time.Since(began).Seconds()
				*into = &took
			}
		}()
	}
	work.Wait()
	for _, process := range killed {
		if err := play.fleet.Start(process, ""); err != nil {
			return err
		}
	}
	if err := fleet.Await(killed, play.options.Patience); err != nil {
		return err
	}
	play.crowd.Leave()
	time.Sleep(directory.SessionTimeout.Duration() + time.Second) // all sessions end
	return play.comeBack(result)
}

func (play *play) comeBack(result *Failures) error {
	bytes := func() (total float64) {
		for _, counted := range play.crowd.Kinds() {
			total += float64(counted.SentBytes + counted.ReceivedBytes)
		}
		return total
	}
	before, began := bytes(), time.Now()
	if err := play.crowd.Arrive(0); err != nil {
		return err
	}
	for _, one := range []struct {
		into  **float64
		count func() int
	}{{&result.Ready, play.crowd.Ready}, {&result.Whole, play.crowd.Whole}} {
		if _, reached := until(play.options.Patience-time.Since(began), play.all(one.count)); reached {
			took := time.Since(began).Seconds()
			*one.into = &took
		}
	}
	result.Bytes = (bytes() - before) / float64(play.size.Carriers)
	return nil
}
