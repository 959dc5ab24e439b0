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
func within(t *testing.T, seed uint64, body func(process *world.Host)) {
	t.Helper()
	simulated := world.New(seed)
	defer simulated.Close()
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		process.Go(func() {
			body(process)
			ended = true
		})
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 10*monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// registryStub is one sorter's directory, that answers carriers' polls as sorters do.
type registryStub struct {
	*directory.Directory
	versions map[directoryVersion]*Directory // of all sorters, as whoever has nothing is told them
}

type directoryVersion struct{ source, number uint64 }

func (registry *registryStub) answer(request *wire.RegistryPollRequest) *wire.RegistryPollResponse {
	full := registry.UpdateSince(directory.Base{})
	if newest := (directoryVersion{full.Source, full.Version}); registry.versions[newest] == nil {
		registry.versions[newest] = NewDirectory(full.Sessions)
	}
	snapshot := registry.UpdateSince(directory.Base{Source: request.DirectorySource, Version: request.DirectoryVersion, Checksum: request.DirectoryChecksum, SkipYoung: request.DirectoryComplete})
	response := &wire.RegistryPollResponse{DirectoryAge: int64(registry.Age()), DirectorySource: snapshot.Source, DirectoryVersion: snapshot.Version, DirectoryUnchanged: snapshot.Unchanged,
		Sessions: snapshot.Sessions, DirectoryIsDelta: snapshot.Incremental, DirectoryRemoved: snapshot.Removed, DirectoryDigest: snapshot.Digest}
	if snapshot.Incremental {
		response.DirectoryBaseSource, response.DirectoryBaseVersion = request.DirectorySource, request.DirectoryVersion
	}
	return proto.CloneOf(response)
}

// twins are two carriers that meet the same faults: one is fed by changes, the other whole.
type clientPair struct {
	deltas, snapshots *Client
	late              [2]*wire.RegistryPollResponse // answers on their way
}

func pollRequest(c *Client, wholes bool) *wire.RegistryPollRequest {
	request := &wire.RegistryPollRequest{DirectorySource: c.snapshot.source, DirectoryVersion: c.snapshot.version, DirectoryChecksum: c.snapshot.checksum(), DirectoryComplete: c.complete}
	if wholes {
		request.DirectoryChecksum = 0
	}
	return request
}

// fates are what may become of an answer. Only where lateness is played does one come after the one that followed it.
var fates = []string{"come", "come", "come", "come", "lost", "twice", "late"}

// poll has both ask a sorter. Their answers meet the same fate. It tells what is wrong then.
func (pair *clientPair) poll(random *rand.Rand, registry *registryStub, lateness bool) string {
	outcome := fates[random.IntN(len(fates)-1)]
	if lateness {
		outcome = fates[random.IntN(len(fates))]
	}
	for index, c := range []*Client{pair.deltas, pair.snapshots} {
		response := registry.answer(pollRequest(c, index == 1))
		take := func(response *wire.RegistryPollResponse) {
			if c.apply(response, 0) != nil {
				_ = c.apply(registry.answer(pollRequest(c, index == 1)), 0)
			}
		}
		switch outcome {
		case "come":
			take(response)
		case "twice":
			take(response)
			take(proto.CloneOf(response))
		case "late":
			if earlier := pair.late[index]; earlier != nil {
				take(response)
				take(earlier)
				pair.late[index] = nil
			} else {
				pair.late[index] = response
			}
		}
		present := directoryVersion{c.snapshot.source, c.snapshot.version}
		// One that is doubtful is no version until the whole has come.
		if present.number != 0 && !reflect.DeepEqual(c.Directory(), registry.versions[present]) {
			return "what is held isn't the version that it's said to be"
		}
		newest := registry.UpdateSince(directory.Base{})
		if outcome == "come" && registry.Age() >= completeDirectoryAge && present != (directoryVersion{newest.Source, newest.Version}) {
			return "an answer came, and its version isn't held"
		}
	}
	if !lateness && !reflect.DeepEqual(pair.deltas.Directory(), pair.snapshots.Directory()) {
		return "the twins differ"
	}
	return ""
}

// fed plays a course of sessions that come, change, leave, end and come back at two sorters that tell one another, restart and are out of
// touch, with carriers that ask now one and now the other. It tells what was wrong first.
func runFaults(t *testing.T, seed uint64, unchecked bool) (wrong string, counts UpdateCounts) {
	t.Helper()
	versions := map[directoryVersion]*Directory{}
	within(t, seed, func(process *world.Host) {
		random := rand.New(rand.NewPCG(seed, 5))
		fresh := func() *registryStub {
			return &registryStub{Directory: directory.New(process, random.Uint64()|1), versions: versions}
		}
		registries := []*registryStub{fresh(), fresh()}
		sessions := map[string]*wire.Session{}
		pairs := []*clientPair{}
		start := func() *clientPair {
			pair := &clientPair{}
			for _, into := range []**Client{&pair.deltas, &pair.snapshots} {
				*into = New(process, discovery.New(process, nil, nil), func() *wire.Session { return &wire.Session{} }, nil)
				(*into).SkipDigestChecks(unchecked)
			}
			return pair
		}
		for range 4 {
			pairs = append(pairs, start())
		}
		for step := range 400 {
			process.Sleep(monotonic.Micros(random.Uint64N(uint64(300 * monotonic.Millisecond))))
			name := fmt.Sprint("carrier-", random.IntN(12))
			session := sessions[name]
			switch random.IntN(8) {
			case 0, 1: // comes, or a new life
				sessions[name] = &wire.Session{Proxy: name, Incarnation: random.Uint64(), Address: name, Domain: "zone", Backends: []*wire.Backend{{Service: "forms", Instance: fmt.Sprint(random.IntN(5)), Condition: "alive"}}}
			case 2: // leaves
				if session != nil {
					session.Leaving = true
				}
			case 3: // a backend is evicted, or comes
				if session != nil {
					session.Backends = session.Backends[:0:0]
					for number := range random.IntN(3) {
						session.Backends = append(session.Backends, &wire.Backend{Service: "forms", Instance: fmt.Sprint(name, number), Condition: []string{"alive", "working", "leaving"}[random.IntN(3)]})
					}
				}
			case 4: // falls silent
				delete(sessions, name)
			case 5:
				if random.IntN(6) == 0 { // a sorter dies
					registries[random.IntN(2)] = fresh()
				}
			case 6:
				if random.IntN(4) == 0 { // a carrier restarts
					pairs[random.IntN(len(pairs))] = start()
				}
			}
			for _, session := range sessions {
				session.Heartbeat++
				if at := registries[0]; random.IntN(3) > 0 {
					at.Observe(session, true)
				}
			}
			if random.IntN(3) > 0 { // they are in touch
				for _, session := range registries[0].DirectSessions() {
					registries[1].Observe(session, false)
				}
			}
			for _, registry := range registries {
				registry.ExpireSessions()
			}
			for _, pair := range pairs {
				if random.IntN(2) > 0 {
					continue
				}
				if found := pair.poll(random, registries[random.IntN(4)/3], seed%2 == 0); found != "" && wrong == "" {
					wrong = fmt.Sprintf("step %d: %s", step, found)
				}
			}
		}
		for _, pair := range pairs {
			one := pair.deltas.UpdateCounts()
			counts.Deltas, counts.Snapshots, counts.Rejected = counts.Deltas+one.Deltas, counts.Snapshots+one.Snapshots, counts.Rejected+one.Rejected
		}
	})
	return wrong, counts
}

// TestDeltasEqualSnapshots: whatever happens, a carrier that is fed by changes has the very version that it says it has, every answer that comes
// leads it to the newest one, and it has the directory of its twin that is fed whole.
func TestDeltasEqualSnapshots(t *testing.T) {
	sum := UpdateCounts{}
	for seed := range uint64(24) {
		wrong, counts := runFaults(t, seed, false)
		if wrong != "" {
			t.Errorf("seed %d: %s", seed, wrong)
		}
		sum.Deltas, sum.Snapshots, sum.Rejected = sum.Deltas+counts.Deltas, sum.Snapshots+counts.Snapshots, sum.Rejected+counts.Rejected
	}
	t.Logf("%+v", sum)
	if sum.Deltas < 5*sum.Snapshots || sum.Rejected == 0 {
		t.Errorf("%+v", sum)
	}
}

// TestUncheckedDeltasAreDetected: carriers that apply changes onto whatever they have don't keep up.
func TestUncheckedDeltasAreDetected(t *testing.T) {
	for seed := range uint64(20) {
		if wrong, _ := runFaults(t, seed, true); wrong != "" {
			t.Logf("seed %d: %s", seed, wrong)
			return
		}
	}
	t.Error("nothing was wrong in 20 seeds")
}

// TestRejectedDeltas: changes that are damaged, cut short or from another base change nothing; the whole is asked for and taken, and changes
// again after it.
func TestRejectedDeltas(t *testing.T) {
	for name, damage := range map[string]func(response *wire.RegistryPollResponse){
		"one that went is left out": func(response *wire.RegistryPollResponse) { response.DirectoryRemoved = nil },
		"one that came is left out": func(response *wire.RegistryPollResponse) { response.Sessions = response.Sessions[1:] },
		"one that changed is altered": func(response *wire.RegistryPollResponse) {
			response.Sessions[0].Address = "elsewhere"
		},
		"one that nobody knows went": func(response *wire.RegistryPollResponse) {
			response.DirectoryRemoved = append(response.DirectoryRemoved, "nobody")
		},
		"one went twice": func(response *wire.RegistryPollResponse) {
			response.DirectoryRemoved = append(response.DirectoryRemoved, response.DirectoryRemoved...)
		},
		"another base":   func(response *wire.RegistryPollResponse) { response.DirectoryBaseVersion-- },
		"another sorter": func(response *wire.RegistryPollResponse) { response.DirectoryBaseSource++ },
		"another digest": func(response *wire.RegistryPollResponse) { response.DirectoryDigest[7] ^= 1 },
		"no digest":      func(response *wire.RegistryPollResponse) { response.DirectoryDigest = nil },
	} {
		t.Run(name, func(t *testing.T) {
			within(t, 1, func(process *world.Host) {
				registry := &registryStub{Directory: directory.New(process, 7), versions: map[directoryVersion]*Directory{}}
				for number := range 10 {
					registry.Observe(&wire.Session{Proxy: fmt.Sprint("carrier-", number), Incarnation: 1, Heartbeat: 1, Address: "here"}, true)
				}
				client := New(process, discovery.New(process, nil, nil), func() *wire.Session { return &wire.Session{} }, nil)
				request := func(damage func(response *wire.RegistryPollResponse)) error {
					response := registry.answer(pollRequest(client, false))
					if damage != nil {
						if !response.DirectoryIsDelta {
							t.Fatalf("not told by changes: %v", response)
						}
						damage(response)
					}
					return client.apply(response, 0)
				}
				change := func(going, coming, moving string) {
					registry.Observe(&wire.Session{Proxy: coming, Incarnation: 1, Heartbeat: 1, Address: "here"}, true)
					registry.Observe(&wire.Session{Proxy: moving, Incarnation: 1, Heartbeat: 2, Address: "there"}, true)
					registry.Observe(&wire.Session{Proxy: going, Incarnation: 1, Heartbeat: 2, Age: int64(directory.SessionTimeout)}, true)
				}
				if request(nil) != nil {
					t.Fatal("a whole was refused")
				}
				before := client.Directory()
				change("carrier-3", "carrier-10", "carrier-4")
				if err := request(damage); err == nil || client.Directory() != before {
					t.Errorf("taken: %v", err)
				}
				if err := request(nil); err != nil || client.UpdateCounts() != (UpdateCounts{Snapshots: 2, Rejected: 1}) {
					t.Errorf("%v, %+v", err, client.UpdateCounts())
				}
				change("carrier-5", "carrier-11", "carrier-6")
				if err := request(nil); err != nil || client.UpdateCounts() != (UpdateCounts{Deltas: 1, Snapshots: 2, Rejected: 1}) || !reflect.DeepEqual(client.Directory(), NewDirectory(registry.UpdateSince(directory.Base{}).Sessions)) {
					t.Errorf("%v, %+v", err, client.UpdateCounts())
				}
			})
		})
	}
}

// TestOlderRegistry: a sorter of a build that knows of no changes gives no digest. Its wholes are taken, and asked for again.
func TestOlderRegistry(t *testing.T) {
	within(t, 1, func(process *world.Host) {
		client := New(process, discovery.New(process, nil, nil), func() *wire.Session { return &wire.Session{} }, nil)
		response := &wire.RegistryPollResponse{DirectorySource: 4, DirectoryVersion: 9, Sessions: []*wire.Session{{Proxy: "one", Address: "here"}}}
		if err := client.apply(response, 0); err != nil || client.Directory().Live != 1 {
			t.Error(err, client.Directory())
		}
		if request := pollRequest(client, false); request.DirectoryChecksum != 0 || request.DirectorySource != 4 || request.DirectoryVersion != 9 {
			t.Error(request)
		}
	})
}
