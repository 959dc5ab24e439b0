package session

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// within runs a test's body at a place of a simulated world.
func within(t *testing.T, seed uint64, body func(place *world.Place)) {
	t.Helper()
	simulated := world.New(seed)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Handlers, error) {
		place.Go(func() {
			body(place)
			ended = true
		})
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 10*monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// sorterOf is one sorter's directory, that answers carriers' polls as sorters do.
type sorterOf struct {
	*directory.Directory
	versions map[version]*Directory // of all sorters, as whoever has nothing is told them
}

type version struct{ source, serial uint64 }

func (sorter *sorterOf) answer(ask *wire.RegistryPollRequest) *wire.RegistryPollResponse {
	whole := sorter.UpdateSince(directory.Base{})
	if newest := (version{whole.Source, whole.Version}); sorter.versions[newest] == nil {
		sorter.versions[newest] = Of(whole.Sessions)
	}
	view := sorter.UpdateSince(directory.Base{Source: ask.DirectorySource, Version: ask.DirectoryVersion, Checksum: ask.DirectoryChecksum, SkipYoung: ask.DirectoryComplete})
	tell := &wire.RegistryPollResponse{DirectoryAge: int64(sorter.Age()), DirectorySource: view.Source, DirectoryVersion: view.Version, DirectoryUnchanged: view.Unchanged,
		Sessions: view.Sessions, DirectoryIsDelta: view.Incremental, DirectoryRemoved: view.Removed, DirectoryDigest: view.Digest}
	if view.Incremental {
		tell.DirectoryBaseSource, tell.DirectoryBaseVersion = ask.DirectorySource, ask.DirectoryVersion
	}
	return proto.CloneOf(tell)
}

// twins are two carriers that meet the same faults: one is fed by changes, the other whole.
type twins struct {
	changes, wholes *Roll
	late            [2]*wire.RegistryPollResponse // answers on their way
}

func asking(roll *Roll, wholes bool) *wire.RegistryPollRequest {
	ask := &wire.RegistryPollRequest{DirectorySource: roll.held.source, DirectoryVersion: roll.held.serial, DirectoryChecksum: roll.held.check(), DirectoryComplete: roll.grown}
	if wholes {
		ask.DirectoryChecksum = 0
	}
	return ask
}

// fates are what may become of an answer. Only where lateness is played does one come after the one that followed it.
var fates = []string{"come", "come", "come", "come", "lost", "twice", "late"}

// poll has both ask a sorter. Their answers meet the same fate. It tells what is wrong then.
func (pair *twins) poll(chance *rand.Rand, sorter *sorterOf, lateness bool) string {
	fate := fates[chance.IntN(len(fates)-1)]
	if lateness {
		fate = fates[chance.IntN(len(fates))]
	}
	for index, roll := range []*Roll{pair.changes, pair.wholes} {
		tell := sorter.answer(asking(roll, index == 1))
		take := func(tell *wire.RegistryPollResponse) {
			if roll.take(tell, 0) != nil {
				_ = roll.take(sorter.answer(asking(roll, index == 1)), 0)
			}
		}
		switch fate {
		case "come":
			take(tell)
		case "twice":
			take(tell)
			take(proto.CloneOf(tell))
		case "late":
			if earlier := pair.late[index]; earlier != nil {
				take(tell)
				take(earlier)
				pair.late[index] = nil
			} else {
				pair.late[index] = tell
			}
		}
		present := version{roll.held.source, roll.held.serial}
		// One that is doubtful is no version until the whole has come.
		if present.serial != 0 && !reflect.DeepEqual(roll.Directory(), sorter.versions[present]) {
			return "what is held isn't the version that it's said to be"
		}
		newest := sorter.UpdateSince(directory.Base{})
		if fate == "come" && sorter.Age() >= grownUp && present != (version{newest.Source, newest.Version}) {
			return "an answer came, and its version isn't held"
		}
	}
	if !lateness && !reflect.DeepEqual(pair.changes.Directory(), pair.wholes.Directory()) {
		return "the twins differ"
	}
	return ""
}

// fed plays a course of sessions that come, change, leave, end and come back at two sorters that tell one another, restart and are out of
// touch, with carriers that ask now one and now the other. It tells what was wrong first.
func fed(t *testing.T, seed uint64, unchecked bool) (wrong string, taken Taken) {
	t.Helper()
	versions := map[version]*Directory{}
	within(t, seed, func(place *world.Place) {
		chance := rand.New(rand.NewPCG(seed, 5))
		fresh := func() *sorterOf {
			return &sorterOf{Directory: directory.New(place, chance.Uint64()|1), versions: versions}
		}
		sorters := []*sorterOf{fresh(), fresh()}
		sessions := map[string]*wire.Session{}
		pairs := []*twins{}
		start := func() *twins {
			pair := &twins{}
			for _, into := range []**Roll{&pair.changes, &pair.wholes} {
				*into = New(place, discovery.New(place, nil, nil), func() *wire.Session { return &wire.Session{} }, nil)
				(*into).Unchecked(unchecked)
			}
			return pair
		}
		for range 4 {
			pairs = append(pairs, start())
		}
		for step := range 400 {
			place.Sleep(monotonic.Micros(chance.Uint64N(uint64(300 * monotonic.Millisecond))))
			name := fmt.Sprint("carrier-", chance.IntN(12))
			session := sessions[name]
			switch chance.IntN(8) {
			case 0, 1: // comes, or a new life
				sessions[name] = &wire.Session{Proxy: name, Incarnation: chance.Uint64(), Address: name, Domain: "zone", Backends: []*wire.Backend{{Service: "forms", Instance: fmt.Sprint(chance.IntN(5)), Condition: "alive"}}}
			case 2: // leaves
				if session != nil {
					session.Leaving = true
				}
			case 3: // a backend is evicted, or comes
				if session != nil {
					session.Backends = session.Backends[:0:0]
					for number := range chance.IntN(3) {
						session.Backends = append(session.Backends, &wire.Backend{Service: "forms", Instance: fmt.Sprint(name, number), Condition: []string{"alive", "working", "leaving"}[chance.IntN(3)]})
					}
				}
			case 4: // falls silent
				delete(sessions, name)
			case 5:
				if chance.IntN(6) == 0 { // a sorter dies
					sorters[chance.IntN(2)] = fresh()
				}
			case 6:
				if chance.IntN(4) == 0 { // a carrier restarts
					pairs[chance.IntN(len(pairs))] = start()
				}
			}
			for _, session := range sessions {
				session.Heartbeat++
				if at := sorters[0]; chance.IntN(3) > 0 {
					at.Observe(session, true)
				}
			}
			if chance.IntN(3) > 0 { // they are in touch
				for _, told := range sorters[0].DirectSessions() {
					sorters[1].Observe(told, false)
				}
			}
			for _, sorter := range sorters {
				sorter.ExpireSessions()
			}
			for _, pair := range pairs {
				if chance.IntN(2) > 0 {
					continue
				}
				if found := pair.poll(chance, sorters[chance.IntN(4)/3], seed%2 == 0); found != "" && wrong == "" {
					wrong = fmt.Sprintf("step %d: %s", step, found)
				}
			}
		}
		for _, pair := range pairs {
			one := pair.changes.Taken()
			taken.Changes, taken.Wholes, taken.Refused = taken.Changes+one.Changes, taken.Wholes+one.Wholes, taken.Refused+one.Refused
		}
	})
	return wrong, taken
}

// TestChangesEqualWholes: whatever happens, a carrier that is fed by changes has the very version that it says it has, every answer that comes
// leads it to the newest one, and it has the directory of its twin that is fed whole.
func TestChangesEqualWholes(t *testing.T) {
	sum := Taken{}
	for seed := range uint64(24) {
		wrong, taken := fed(t, seed, false)
		if wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
		sum.Changes, sum.Wholes, sum.Refused = sum.Changes+taken.Changes, sum.Wholes+taken.Wholes, sum.Refused+taken.Refused
	}
	t.Logf("%+v", sum)
	if sum.Changes < 5*sum.Wholes || sum.Refused == 0 {
		t.Errorf("%+v", sum)
	}
}

// TestUncheckedChangesAreSeen: carriers that apply changes onto whatever they have don't keep up.
func TestUncheckedChangesAreSeen(t *testing.T) {
	for seed := range uint64(20) {
		if wrong, _ := fed(t, seed, true); wrong != "" {
			t.Logf("seed %d: %s", seed, wrong)
			return
		}
	}
	t.Error("nothing was wrong in 20 seeds")
}

// TestRefusedChanges: changes that are damaged, cut short or from another base change nothing; the whole is asked for and taken, and changes
// again after it.
func TestRefusedChanges(t *testing.T) {
	for name, damage := range map[string]func(tell *wire.RegistryPollResponse){
		"one that went is left out": func(tell *wire.RegistryPollResponse) { tell.DirectoryRemoved = nil },
		"one that came is left out": func(tell *wire.RegistryPollResponse) { tell.Sessions = tell.Sessions[1:] },
		"one that changed is altered": func(tell *wire.RegistryPollResponse) {
			tell.Sessions[0].Address = "elsewhere"
		},
		"one that nobody knows went": func(tell *wire.RegistryPollResponse) { tell.DirectoryRemoved = append(tell.DirectoryRemoved, "nobody") },
		"one went twice": func(tell *wire.RegistryPollResponse) {
			tell.DirectoryRemoved = append(tell.DirectoryRemoved, tell.DirectoryRemoved...)
		},
		"another base":   func(tell *wire.RegistryPollResponse) { tell.DirectoryBaseVersion-- },
		"another sorter": func(tell *wire.RegistryPollResponse) { tell.DirectoryBaseSource++ },
		"another digest": func(tell *wire.RegistryPollResponse) { tell.DirectoryDigest[7] ^= 1 },
		"no digest":      func(tell *wire.RegistryPollResponse) { tell.DirectoryDigest = nil },
	} {
		t.Run(name, func(t *testing.T) {
			within(t, 1, func(place *world.Place) {
				sorter := &sorterOf{Directory: directory.New(place, 7), versions: map[version]*Directory{}}
				for number := range 10 {
					sorter.Observe(&wire.Session{Proxy: fmt.Sprint("carrier-", number), Incarnation: 1, Heartbeat: 1, Address: "here"}, true)
				}
				known := New(place, discovery.New(place, nil, nil), func() *wire.Session { return &wire.Session{} }, nil)
				ask := func(damage func(tell *wire.RegistryPollResponse)) error {
					tell := sorter.answer(asking(known, false))
					if damage != nil {
						if !tell.DirectoryIsDelta {
							t.Fatalf("not told by changes: %v", tell)
						}
						damage(tell)
					}
					return known.take(tell, 0)
				}
				change := func(going, coming, moving string) {
					sorter.Observe(&wire.Session{Proxy: coming, Incarnation: 1, Heartbeat: 1, Address: "here"}, true)
					sorter.Observe(&wire.Session{Proxy: moving, Incarnation: 1, Heartbeat: 2, Address: "there"}, true)
					sorter.Observe(&wire.Session{Proxy: going, Incarnation: 1, Heartbeat: 2, Age: int64(directory.SessionTimeout)}, true)
				}
				if ask(nil) != nil {
					t.Fatal("a whole was refused")
				}
				before := known.Directory()
				change("carrier-3", "carrier-10", "carrier-4")
				if err := ask(damage); err == nil || known.Directory() != before {
					t.Errorf("taken: %v", err)
				}
				if err := ask(nil); err != nil || known.Taken() != (Taken{Wholes: 2, Refused: 1}) {
					t.Errorf("%v, %+v", err, known.Taken())
				}
				change("carrier-5", "carrier-11", "carrier-6")
				if err := ask(nil); err != nil || known.Taken() != (Taken{Changes: 1, Wholes: 2, Refused: 1}) || !reflect.DeepEqual(known.Directory(), Of(sorter.UpdateSince(directory.Base{}).Sessions)) {
					t.Errorf("%v, %+v", err, known.Taken())
				}
			})
		})
	}
}

// TestOlderSorter: a sorter of a build that knows of no changes gives no digest. Its wholes are taken, and asked for again.
func TestOlderSorter(t *testing.T) {
	within(t, 1, func(place *world.Place) {
		known := New(place, discovery.New(place, nil, nil), func() *wire.Session { return &wire.Session{} }, nil)
		tell := &wire.RegistryPollResponse{DirectorySource: 4, DirectoryVersion: 9, Sessions: []*wire.Session{{Proxy: "one", Address: "here"}}}
		if err := known.take(tell, 0); err != nil || known.Directory().Live != 1 {
			t.Error(err, known.Directory())
		}
		if ask := asking(known, false); ask.DirectoryChecksum != 0 || ask.DirectorySource != 4 || ask.DirectoryVersion != 9 {
			t.Error(ask)
		}
	})
}
