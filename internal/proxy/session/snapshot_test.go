package session

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/discovery"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// registryStub is the directory of one registry server. It responds to polls as a server does.
type registryStub struct {
	*directory.Directory
	versions map[directoryVersion]*Directory // the expected directories, built from the complete ones of all servers
}

type directoryVersion struct{ source, number uint64 }

func (r *registryStub) answer(request *wire.RegistryPollRequest) *wire.RegistryPollResponse {
	full := r.UpdateSince(directory.Base{})
	if newest := (directoryVersion{full.Source, full.Version}); r.versions[newest] == nil {
		r.versions[newest] = NewDirectory(full.Sessions)
	}
	update := r.UpdateSince(directory.Base{
		Source:   request.DirectorySource,
		Version:  request.DirectoryVersion,
		Checksum: request.DirectoryChecksum,
		Complete: request.DirectoryComplete,
	})
	response := &wire.RegistryPollResponse{
		DirectoryAge:       int64(r.Age()),
		DirectorySource:    update.Source,
		DirectoryVersion:   update.Version,
		DirectoryUnchanged: update.Unchanged,
		Sessions:           update.Sessions,
		DirectoryIsDelta:   update.Incremental,
		DirectoryRemoved:   update.Removed,
		DirectoryDigest:    update.Digest,
	}
	if update.Incremental {
		response.DirectoryBaseSource, response.DirectoryBaseVersion = request.DirectorySource, request.DirectoryVersion
	}
	return proto.CloneOf(response)
}

// clientPair is two clients that are subject to the same faults: one receives deltas, the other only complete directories.
type clientPair struct {
	deltas, snapshots *Client
	delayed           [2]*wire.RegistryPollResponse // responses that are delivered later
}

func pollRequest(c *Client, complete bool) *wire.RegistryPollRequest {
	request := &wire.RegistryPollRequest{
		DirectorySource:   c.snapshot.source,
		DirectoryVersion:  c.snapshot.version,
		DirectoryChecksum: c.snapshot.checksum(),
		DirectoryComplete: c.directoryComplete,
	}
	if complete {
		request.DirectoryChecksum = 0
	}
	return request
}

// The ways in which a response is delivered. A late one arrives after the response that follows it.
const (
	deliveredOnce  = "once"
	deliveredTwice = "twice"
	deliveredLate  = "late"
	deliveredNever = "never"
)

// deliveries is the distribution from which deliveries are chosen. The last one is chosen only if the run includes reordering.
var deliveries = []string{deliveredOnce, deliveredOnce, deliveredOnce, deliveredOnce, deliveredNever, deliveredTwice, deliveredLate}

// poll makes both clients poll a server, and delivers the two responses in the same way. It returns a description of the violation, if
// there is one.
func (p *clientPair) poll(random *rand.Rand, registry *registryStub, reordering bool) string {
	delivery := deliveries[random.IntN(len(deliveries)-1)]
	if reordering {
		delivery = deliveries[random.IntN(len(deliveries))]
	}
	for index, c := range []*Client{p.deltas, p.snapshots} {
		response := registry.answer(pollRequest(c, index == 1))
		deliver := func(response *wire.RegistryPollResponse) {
			if c.apply(response) != nil {
				_ = c.apply(registry.answer(pollRequest(c, index == 1)))
			}
		}
		switch delivery {
		case deliveredOnce:
			deliver(response)
		case deliveredTwice:
			deliver(response)
			deliver(proto.CloneOf(response))
		case deliveredLate:
			if earlier := p.delayed[index]; earlier != nil {
				deliver(response)
				deliver(earlier)
				p.delayed[index] = nil
			} else {
				p.delayed[index] = response
			}
		}
		current := directoryVersion{c.snapshot.source, c.snapshot.version}
		// After a rejected delta the version is zero until the complete directory has arrived.
		if current.number != 0 && !reflect.DeepEqual(c.Directory(), registry.versions[current]) {
			return "the directory differs from the server's directory of that version"
		}
		newest := registry.UpdateSince(directory.Base{})
		if delivery == deliveredOnce && registry.Age() >= completeDirectoryAge && current != (directoryVersion{newest.Source, newest.Version}) {
			return "a response was delivered, but the client does not have its version"
		}
	}
	if !reordering && !reflect.DeepEqual(p.deltas.Directory(), p.snapshots.Directory()) {
		return "the directories of the two clients differ"
	}
	return ""
}

// faultRun is a run with random faults. Sessions are created, changed, drained, ended and renewed at two servers, which exchange them,
// restart and lose contact, while clients poll either server at random.
type faultRun struct {
	process    *world.Host
	random     *rand.Rand
	unchecked  bool // the clients skip the digest checks
	reordering bool // responses may arrive out of order
	versions   map[directoryVersion]*Directory
	registries []*registryStub
	sessions   map[string]*wire.Session
	pairs      []*clientPair
}

// runFaults executes a run of 400 steps. It returns the first violation, and the update counts of the clients that receive deltas.
func runFaults(t *testing.T, seed uint64, unchecked bool) (violation string, counts UpdateCounts) {
	t.Helper()
	runProcess(t, seed, func(_ *world.World, process *world.Host) {
		run := &faultRun{
			process:    process,
			random:     rand.New(rand.NewPCG(seed, 5)),
			unchecked:  unchecked,
			reordering: seed%2 == 0,
			versions:   map[directoryVersion]*Directory{},
			sessions:   map[string]*wire.Session{},
		}
		run.registries = []*registryStub{run.newRegistry(), run.newRegistry()}
		for range 4 {
			run.pairs = append(run.pairs, run.newPair())
		}
		for step := range 400 {
			if found := run.step(); found != "" && violation == "" {
				violation = fmt.Sprintf("step %d: %s", step, found)
			}
		}
		for _, pair := range run.pairs {
			counts.add(pair.deltas.UpdateCounts())
		}
	})
	return violation, counts
}

func (u *UpdateCounts) add(other UpdateCounts) {
	u.Deltas += other.Deltas
	u.Snapshots += other.Snapshots
	u.Rejected += other.Rejected
}

func (f *faultRun) newRegistry() *registryStub {
	return &registryStub{Directory: directory.New(f.process, f.random.Uint64()|1), versions: f.versions}
}

func (f *faultRun) newPair() *clientPair {
	pair := &clientPair{}
	for _, client := range []**Client{&pair.deltas, &pair.snapshots} {
		*client = New(f.process, discovery.New(f.process, nil, nil), emptySession, nil)
		(*client).SkipDigestChecks(f.unchecked)
	}
	return pair
}

// step makes one random change, delivers heartbeats, and makes some clients poll. It returns the first violation.
func (f *faultRun) step() (violation string) {
	f.process.Sleep(monotonic.Micros(f.random.Uint64N(uint64(300 * monotonic.Millisecond))))
	f.change()
	f.heartbeat()
	for _, pair := range f.pairs {
		if f.random.IntN(2) > 0 {
			continue
		}
		if found := pair.poll(f.random, f.registries[f.random.IntN(4)/3], f.reordering); found != "" && violation == "" {
			violation = found
		}
	}
	return violation
}

// change changes a session, or restarts a server or a client.
func (f *faultRun) change() {
	name := fmt.Sprint("proxy-", f.random.IntN(12))
	session := f.sessions[name]
	switch f.random.IntN(8) {
	case 0, 1: // a new session, or a new incarnation
		f.sessions[name] = &wire.Session{Proxy: name, Incarnation: f.random.Uint64(), Address: name, Domain: "zone",
			Backends: []*wire.Backend{{Service: "forms", Instance: fmt.Sprint(f.random.IntN(5)), Condition: "alive"}}}
	case 2: // the proxy starts to drain
		if session != nil {
			session.Leaving = true
		}
	case 3: // the backends are replaced
		if session != nil {
			session.Backends = f.newBackends(name)
		}
	case 4: // the heartbeats stop
		delete(f.sessions, name)
	case 5:
		if f.random.IntN(6) == 0 { // a server restarts with an empty directory
			f.registries[f.random.IntN(2)] = f.newRegistry()
		}
	case 6:
		if f.random.IntN(4) == 0 { // a proxy restarts
			f.pairs[f.random.IntN(len(f.pairs))] = f.newPair()
		}
	}
}

func (f *faultRun) newBackends(proxy string) (backends []*wire.Backend) {
	for number := range f.random.IntN(3) {
		condition := []string{"alive", "working", "leaving"}[f.random.IntN(3)]
		backends = append(backends, &wire.Backend{Service: "forms", Instance: fmt.Sprint(proxy, number), Condition: condition})
	}
	return backends
}

// heartbeat delivers the heartbeats of most sessions to the first server. Unless contact is lost, it forwards them to the second.
func (f *faultRun) heartbeat() {
	for _, session := range f.sessions {
		session.Heartbeat++
		if f.random.IntN(3) > 0 {
			f.registries[0].Observe(session, true)
		}
	}
	if f.random.IntN(3) > 0 {
		for _, session := range f.registries[0].DirectSessions() {
			f.registries[1].Observe(session, false)
		}
	}
	for _, registry := range f.registries {
		registry.ExpireSessions()
	}
}

// TestDeltasEqualSnapshots: under random faults, the directory of a client that receives deltas is exactly the server's directory of
// that version, each delivered response leads to the newest version, and the directory equals that of a client that receives only
// complete ones.
func TestDeltasEqualSnapshots(t *testing.T) {
	sum := UpdateCounts{}
	for seed := range uint64(24) {
		violation, counts := runFaults(t, seed, false)
		if violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
		sum.add(counts)
	}
	t.Logf("%+v", sum)
	if sum.Deltas < 5*sum.Snapshots || sum.Rejected == 0 {
		t.Errorf("%+v", sum)
	}
}

// TestUncheckedDeltasAreDetected: the checks of this test detect clients that apply deltas without checking base and digest.
func TestUncheckedDeltasAreDetected(t *testing.T) {
	for seed := range uint64(20) {
		if violation, _ := runFaults(t, seed, true); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Error("no violation was detected in 20 seeds")
}

// TestRejectedDeltas: deltas that are damaged, truncated or made from another version change nothing. The client then requests and
// applies the complete directory, and applies deltas again after it.
func TestRejectedDeltas(t *testing.T) {
	for name, damage := range map[string]func(response *wire.RegistryPollResponse){
		"a removed session is left out": func(response *wire.RegistryPollResponse) { response.DirectoryRemoved = nil },
		"an added session is left out":  func(response *wire.RegistryPollResponse) { response.Sessions = response.Sessions[1:] },
		"a changed session is altered": func(response *wire.RegistryPollResponse) {
			response.Sessions[0].Address = "elsewhere"
		},
		"an unknown session is removed": func(response *wire.RegistryPollResponse) {
			response.DirectoryRemoved = append(response.DirectoryRemoved, "nobody")
		},
		"a session is removed twice": func(response *wire.RegistryPollResponse) {
			response.DirectoryRemoved = append(response.DirectoryRemoved, response.DirectoryRemoved...)
		},
		"another base version": func(response *wire.RegistryPollResponse) { response.DirectoryBaseVersion-- },
		"another server":       func(response *wire.RegistryPollResponse) { response.DirectoryBaseSource++ },
		"another digest":       func(response *wire.RegistryPollResponse) { response.DirectoryDigest[7] ^= 1 },
		"no digest":            func(response *wire.RegistryPollResponse) { response.DirectoryDigest = nil },
	} {
		t.Run(name, func(t *testing.T) {
			runProcess(t, 1, func(_ *world.World, process *world.Host) {
				registry := &registryStub{Directory: directory.New(process, 7), versions: map[directoryVersion]*Directory{}}
				for number := range 10 {
					registry.Observe(&wire.Session{Proxy: fmt.Sprint("proxy-", number), Incarnation: 1, Heartbeat: 1, Address: "here"}, true)
				}
				client := New(process, discovery.New(process, nil, nil), emptySession, nil)
				poll := func(damage func(response *wire.RegistryPollResponse)) error {
					response := registry.answer(pollRequest(client, false))
					if damage != nil {
						if !response.DirectoryIsDelta {
							t.Fatalf("the response contains no delta: %v", response)
						}
						damage(response)
					}
					return client.apply(response)
				}
				change := func(removed, added, changed string) {
					registry.Observe(&wire.Session{Proxy: added, Incarnation: 1, Heartbeat: 1, Address: "here"}, true)
					registry.Observe(&wire.Session{Proxy: changed, Incarnation: 1, Heartbeat: 2, Address: "there"}, true)
					registry.Observe(&wire.Session{Proxy: removed, Incarnation: 1, Heartbeat: 2, Age: int64(directory.SessionTimeout)}, true)
				}
				if poll(nil) != nil {
					t.Fatal("a complete directory was rejected")
				}
				before := client.Directory()
				change("proxy-3", "proxy-10", "proxy-4")
				if err := poll(damage); err == nil || client.Directory() != before {
					t.Errorf("the damaged delta was applied: %v", err)
				}
				if err := poll(nil); err != nil || client.UpdateCounts() != (UpdateCounts{Snapshots: 2, Rejected: 1}) {
					t.Errorf("%v, %+v", err, client.UpdateCounts())
				}
				change("proxy-5", "proxy-11", "proxy-6")
				if err := poll(nil); err != nil || client.UpdateCounts() != (UpdateCounts{Deltas: 1, Snapshots: 2, Rejected: 1}) {
					t.Errorf("%v, %+v", err, client.UpdateCounts())
				}
				if complete := registry.UpdateSince(directory.Base{}); !reflect.DeepEqual(client.Directory(), NewDirectory(complete.Sessions)) {
					t.Errorf("%+v differs from the registry's directory", client.Directory())
				}
			})
		})
	}
}

// TestOlderRegistry: a server of a release without deltas sends no digest. The client applies its complete directories, and keeps
// requesting complete ones.
func TestOlderRegistry(t *testing.T) {
	runProcess(t, 1, func(_ *world.World, process *world.Host) {
		client := New(process, discovery.New(process, nil, nil), emptySession, nil)
		sessions := []*wire.Session{{Proxy: "one", Address: "here"}}
		response := &wire.RegistryPollResponse{DirectorySource: 4, DirectoryVersion: 9, Sessions: sessions}
		if err := client.apply(response); err != nil || client.Directory().Live != 1 {
			t.Error(err, client.Directory())
		}
		request := pollRequest(client, false)
		if request.DirectoryChecksum != 0 || request.DirectorySource != 4 || request.DirectoryVersion != 9 {
			t.Error(request)
		}
	})
}
