// Package scenario runs whole meshes in the simulated world: the same state machines that the daemons run, with stand-ins
// outside and failures by seed, and hands the history to the inspector.
package scenario

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/registry"
	"snowflow/internal/registry/statemachine"
	"snowflow/internal/replication"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// Mesh is a simulated mesh with its outside.
type Mesh struct {
	World       *world.World
	History     *invariants.History
	Outside     *world.Place
	sizes       Sizes
	cores       []string // machines
	carriers    []string // nodes
	lives       map[string]*proxy.Proxy
	begun       map[string]monotonic.Micros // when each life of a carrier began, by its own clock
	masters     map[string]*configstore.Server
	doors       map[string]api.Store // the operators' doors on the postmasters' processes
	sorters     map[string]*registry.Registry
	backends    []*backend
	book        *discovery.Resolver
	number      int
	serving     bool
	latest      uint64
	onlyPlanned bool              // carriers are only ended by planned stops in this run
	started     map[string]bool   // core processes that have been up
	stopping    map[string]bool   // carriers in a planned stop
	shut        map[string]bool   // carriers whose callers' door is closed
	sync        monotonic.Micros  // the core disks' ordinary time for a sync
	lossFrom    monotonic.Micros  // no disk is lost before
	troubled    map[string]string // carriers whose own network is in trouble, and how
	adjust      func(*replication.Config)
	retired     map[string]bool                                                                     // core machines that are gone for good
	genesis     map[string][]string                                                                 // the voters of the first start, by group
	afterWrite  func(node *world.Node, kind wire.Kind)                                              // told of each write that a sorter acknowledges, if set
	polled      func(ask *wire.ConfigPollRequest, tell *wire.ConfigPollResponse)                    // may change what a carrier is told of versions, if set
	directed    func(sorter string, ask *wire.RegistryPollRequest, tell *wire.RegistryPollResponse) // may change what a carrier is told by a sorter, if set
	rushes      int
	labour      monotonic.Micros // what a backend's work takes besides
	patient     bool             // callers come back when they were told to, until they are served
	grace       monotonic.Micros // what a carrier's planned stop may take
	breakage    Breakage
	log         []string
	samples     []sample                    // requests of each kind, to see where a desired state sends them
	sums        map[*config.Snapshot]string // of the views that were looked at
	counting    bool                        // what guards have counted is noted
	atOrder     func()                      // happens at the next order's acknowledgement, once, if set
	handed      func(content []byte)        // told of each content that an operator hands in, if set
	friday      *fridays
}

// sample is a request of a kind.
type sample struct{ kind, method, path string }

var samples = []sample{{"form", "GET", "/forms/1"}, {"lookup", "GET", "/forms/1"}, {"submission", "POST", "/households/1"}}

// Sizes of a simulated mesh.
type Sizes struct {
	Cores, Carriers, Zones int
	Backends               int      // per service
	Services               []string // forms and households if left out
	Slots                  uint32   // how many requests each backend says that it runs at once; zero: it doesn't say
	// Timeouts are the postmasters'; carriers serve on where they say so.
	Bounds configstore.Timeouts
	// Found has the core know its voters at its first start only, as where nobody configures them.
	Found bool
	// Replicas, Voters and Gone are the core's own settings, its defaults if left out.
	Copies, Voters int
	Gone           monotonic.Micros
	// Domains are the core machines' failure domains, in their order; none are known if left out.
	Domains []string
	// HistoryLimit is how many configurations the core keeps, all for zero.
	History int
	// Linger is how long a carrier that stops as planned goes on before it turns callers away.
	Linger monotonic.Micros
}

// Breakage turns a part of the mesh off, to show that the checkers see it.
type Breakage struct {
	Unleased     bool   // carriers let calls through while half open without leasing a probe
	TrustClock   bool   // clocks are taken at their word, on which holder time rests alone
	Together     bool   // refusals name the same time to come back to all
	NoClaims     bool   // run-once requests are not claimed
	LeaveIgnored bool   // backends' leaving isn't noted
	NoIdentity   bool   // backends aren't asked who they are
	NoTenure     bool   // carriers serve without a live tenure
	NoSync       bool   // syncs do nothing
	TrustShort   bool   // short answers pass for whole
	Guards       string // what is wrong with the guards' table, one of breakerstore's words
	NoBudget     bool   // further tries are not bounded
	NoDrain      bool   // a planned stop ends at once
	NoReturn     bool   // the core stays down at the end
	StoppedClock bool   // clocks stand still while a process is frozen
	Stubborn     bool   // who does a duty goes on past its tenure
	Forgetful    bool   // a version that is taken up replaces what was counted of services
	WrongBase    bool   // what the newest version changes is applied onto whatever a carrier has
	Unchecked    bool   // what changed of the directory is applied onto whatever a carrier has
	NoLease      bool   // a core primary answers without a majority's lease
	AnySuccessor bool   // any voter of the core takes over, whatever its copy holds
	Abandon      bool   // a planned stop leaves its copy and seat behind
	AnyContent   bool   // a number may stand for several contents
	ByService    bool   // keys are claimed for one service only
}

type backend struct {
	service  string
	instance string
	address  string
	carrier  string
	up       bool
	manner   string
	leaving  bool
	quiet    monotonic.Micros // how long it listens before it registers
	reports  uint64
	running  int // requests that it has, and the most that it ever had
	most     int
}

// Desired is the simulated mesh's configuration; variant makes contents differ. Among the variants, some have submissions as
// reads, and some send them to the other service: neither may make a key run twice.
func Desired(variant int) []byte {
	class, forms, households := "once", "", `{"method":"GET","prefix":"/nothing","class":"read"}`
	if variant%5 == 4 {
		class = "read"
	}
	submissions := fmt.Sprintf(`{"method":"POST","prefix":"/households","class":"%s"}`, class)
	if variant%7 == 6 {
		forms = "," + submissions
	} else {
		households = submissions
	}
	return []byte(fmt.Sprintf(`{"note":"variant %d","groups":[{"name":"field",
"guard":{"windowCalls":30,"minimumCalls":8,"failureRate":0.5,"waitOpenMicros":2000000,"permittedHalfOpen":4,"probeTenureMicros":4000000},
"retry":{"mostTries":3,"budgetRatio":0.2,"allowance":10},
"limits":{"cutoffMicros":4000000},
"services":[
{"name":"forms","paths":[{"method":"GET","prefix":"/forms","class":"read"}%s]},
{"name":"households","paths":[%s]}]}]}`, variant, forms, households))
}

// Build makes a mesh and starts its nodes.
func Build(seed uint64, sizes Sizes, breakage Breakage) *Mesh {
	mesh := &Mesh{samples: samples, sums: map[*config.Snapshot]string{}, World: world.New(seed), History: &invariants.History{Allowance: 10 + 2, Keeps: sizes.History}, sizes: sizes, lives: map[string]*proxy.Proxy{}, begun: map[string]monotonic.Micros{}, troubled: map[string]string{},
		masters: map[string]*configstore.Server{}, doors: map[string]api.Store{}, sorters: map[string]*registry.Registry{}, started: map[string]bool{}, stopping: map[string]bool{}, retired: map[string]bool{}, genesis: map[string][]string{}, shut: map[string]bool{}, grace: proxy.DrainGrace, breakage: breakage}
	mesh.World.Trace = func(at monotonic.Micros, node string, number int, fields map[string]any) {
		if number == 601 {
			return
		}
		content, _ := json.Marshal(fields)
		mesh.log = append(mesh.log, fmt.Sprintf("%d %s %d %s", at, node, number, content))
	}
	mesh.World.Stopped = func(node *world.Node, _ string) {
		mesh.World.At(mesh.World.Now()+monotonic.Second, func() { mesh.World.Start(node) })
	}
	seeds := []string{"core-1:sorter", "core-2:postmaster", "core-3:sorter"}
	for index := range sizes.Cores {
		for _, group := range []string{"sorter", "postmaster"} {
			mesh.genesis[group] = append(mesh.genesis[group], fmt.Sprintf("%s-%d", group, index+1))
		}
	}
	for range sizes.Cores {
		mesh.addMachine(seeds)
	}
	for index := range sizes.Carriers {
		mesh.addCarrier(index, seeds)
	}
	outside := mesh.World.Add("outside", "outside", "outside", func(place *world.Place) (host.Handlers, error) {
		mesh.Outside = place
		mesh.book = discovery.New(place, nil, seeds)
		place.Go(func() { mesh.book.Run(300 * monotonic.Millisecond) })
		return host.Handlers{}, nil
	})
	mesh.World.Start(outside)
	for _, node := range mesh.World.Nodes() {
		if node.Name != "outside" {
			mesh.World.Start(node)
		}
	}
	mesh.World.Run(mesh.World.Now())
	services := sizes.Services
	if len(services) == 0 {
		services = []string{"forms", "households"}
	}
	for index := range sizes.Backends {
		for number, service := range services {
			carrier := mesh.carriers[(index+number)%len(mesh.carriers)]
			mesh.startBackend(service, carrier, fmt.Sprintf("%s:%d", carrier, 8000+10*index+number), 0)
		}
	}
	return mesh
}

// addMachine adds a core machine that was never there before, and tells its name.
func (mesh *Mesh) addMachine(seeds []string) string {
	index := len(mesh.cores) + len(mesh.retired)
	machine := fmt.Sprintf("core-%d", index+1)
	mesh.cores = append(mesh.cores, machine)
	mesh.addCore(machine, "sorter", index, mesh.genesis["sorter"], seeds)
	mesh.addCore(machine, "postmaster", index, mesh.genesis["postmaster"], seeds)
	return machine
}

func (mesh *Mesh) addCore(machine, group string, index int, voters, seeds []string) {
	name := fmt.Sprintf("%s-%d", group, index+1)
	address := machine + ":" + group
	node := mesh.World.Add(name, address, machine, func(place *world.Place) (host.Handlers, error) {
		own := &wire.PeerAddress{Name: name, Address: place.Node().Address, Group: group}
		if index < len(mesh.sizes.Domains) {
			own.Domain = mesh.sizes.Domains[index]
		}
		book := discovery.New(place, own, mesh.seedsNow(seeds))
		book.Persist(place.Disk())
		table, voters := host.Handlers{}, voters
		if mesh.sizes.Found && mesh.started[name] {
			voters = nil
		}
		mesh.started[name] = true
		book.Register(table)
		place.Go(func() { book.Run(monotonic.Second) })
		adjust := func(env *replication.Config) {
			env.CompactionThreshold, env.UnverifiedClock = 8<<10, mesh.breakage.TrustClock
			env.IgnoreLease, env.AnyVoterMayLead, env.LeaveAtOnce = mesh.breakage.NoLease, mesh.breakage.AnySuccessor, mesh.breakage.Abandon
			env.Replicas, env.VoterCount, env.VoterTimeout = mesh.sizes.Copies, mesh.sizes.Voters, mesh.sizes.Gone
			if len(mesh.sizes.Domains) > 0 {
				env.Zone = book.Domain
			}
			if mesh.adjust != nil {
				mesh.adjust(env)
			}
		}
		if group == "sorter" {
			one, err := registry.Open(registry.Config{Host: place, Resolver: book, Name: name, Voters: voters, Bootstrap: slices.Contains(voters, name), ConfigureReplication: adjust,
				ConfigureState: func(state *statemachine.Machine) {
					state.Breakers.InjectedFault = mesh.breakage.Guards
				}})
			if err != nil {
				return nil, err
			}
			mesh.sorters[name] = one
			one.Member.ClockWatch.TrustClock(mesh.breakage.TrustClock)
			one.Register(table)
			mesh.listen(place.Node(), table)
			mesh.direct(name, table)
			one.Start()
			return table, nil
		}
		one, err := configstore.Open(configstore.Options{Host: place, Resolver: book, Name: name, Voters: voters, Bootstrap: slices.Contains(voters, name), AdjustReplication: adjust, Timeouts: mesh.sizes.Bounds,
			AllowVersionReuse: mesh.breakage.AnyContent, HistoryLimit: mesh.sizes.History})
		if err != nil {
			return nil, err
		}
		mesh.masters[name], mesh.doors[name] = one, api.NewStore(place, book)
		one.Member.ClockWatch.TrustClock(mesh.breakage.TrustClock)
		one.Register(table)
		mesh.overhear(table)
		one.Start()
		return table, nil
	})
	node.Disk.IgnoreSyncs = mesh.breakage.NoSync
}

// member is the part that a core process has in its group.
func (mesh *Mesh) member(name string) *replication.Member {
	if one := mesh.sorters[name]; one != nil {
		return one.Member
	}
	return mesh.masters[name].Member
}

// listen has afterWrite told of each write that a sorter acknowledges, at the moment of its answer.
func (mesh *Mesh) listen(node *world.Node, table host.Handlers) {
	for _, kind := range []wire.Kind{wire.Kind_claim, wire.Kind_void_claim, wire.Kind_probe_lease, wire.Kind_breaker_write, wire.Kind_singleton_lease} {
		answer := table[kind]
		table[kind] = func(content []byte) (proto.Message, error) {
			reply, err := answer(content)
			if err == nil && mesh.afterWrite != nil {
				mesh.afterWrite(node, kind)
			}
			return reply, err
		}
	}
}

// overhear has polled told of each answer to a carrier's poll, on its way.
func (mesh *Mesh) overhear(table host.Handlers) {
	answer := table[wire.Kind_config_poll]
	table[wire.Kind_config_poll] = func(content []byte) (proto.Message, error) {
		reply, err := answer(content)
		if tell, is := reply.(*wire.ConfigPollResponse); err == nil && is && mesh.polled != nil {
			ask := &wire.ConfigPollRequest{}
			_ = proto.Unmarshal(content, ask)
			mesh.polled(ask, tell)
		}
		return reply, err
	}
}

// direct has directed told of each answer of a sorter to a carrier's poll, on its way.
func (mesh *Mesh) direct(sorter string, table host.Handlers) {
	answer := table[wire.Kind_registry_poll]
	table[wire.Kind_registry_poll] = func(content []byte) (proto.Message, error) {
		reply, err := answer(content)
		if tell, is := reply.(*wire.RegistryPollResponse); err == nil && is && mesh.directed != nil {
			ask := &wire.RegistryPollRequest{}
			_ = proto.Unmarshal(content, ask)
			mesh.directed(sorter, ask, tell)
		}
		return reply, err
	}
}

// seedsNow are the seeds that a process which starts now is told: instead of machines that went for good, some that are there.
func (mesh *Mesh) seedsNow(first []string) (seeds []string) {
	for index, seed := range first {
		machine, _, _ := strings.Cut(seed, ":")
		if mesh.retired[machine] {
			seed = mesh.coreNodes(mesh.cores[index%len(mesh.cores)])[0].Address
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

func (mesh *Mesh) addCarrier(index int, seeds []string) {
	name := fmt.Sprintf("carrier-%d", index+1)
	mesh.carriers = append(mesh.carriers, name)
	mesh.World.Add(name, name+":carrier", name, func(place *world.Place) (host.Handlers, error) {
		book := discovery.New(place, nil, mesh.seedsNow(seeds))
		table := host.Handlers{}
		book.Register(table)
		place.Go(func() { book.Run(monotonic.Second) })
		one := proxy.New(proxy.Options{Host: place, Resolver: book, Name: name, Domain: fmt.Sprintf("zone-%d", index%mesh.sizes.Zones+1),
			Address: name + ":carrier", Upstream: &courier{mesh: mesh, place: place}, ServeOn: mesh.sizes.Bounds.ServeStale, Linger: mesh.sizes.Linger})
		one.Admission.SkipClaims(mesh.breakage.NoClaims)
		one.Admission.ClaimPerService(mesh.breakage.ByService)
		one.ConfigClient.IgnoreLease(mesh.breakage.NoTenure)
		one.Session.SkipDigestChecks(mesh.breakage.Unchecked)
		one.Singleton.IgnoreExpiry(mesh.breakage.Stubborn)
		one.RetryBudget.SetUnlimited(mesh.breakage.NoBudget)
		one.Breaker.SkipProbeLeases(mesh.breakage.Unleased)
		one.TrustClock(mesh.breakage.TrustClock)
		one.Forwarder.DisableRetryAfterJitter(mesh.breakage.Together)
		one.Register(table)
		one.Start()
		mesh.lives[name], mesh.begun[name] = one, place.Now()
		return table, nil
	})
}

// ---- backends ----
func (mesh *Mesh) startBackend(service, carrier, address string, quiet monotonic.Micros) *backend {
	mesh.number++
	fresh := &backend{service: service, instance: fmt.Sprintf("%s-%d", service, mesh.number), address: address, carrier: carrier, up: true, quiet: quiet}
	mesh.backends = append(mesh.backends, fresh)
	mesh.Outside.Go(func() { mesh.beats(fresh) })
	return fresh
}

func (mesh *Mesh) beats(one *backend) {
	registered := false
	mesh.Outside.Sleep(one.quiet)
	for one.up {
		node := mesh.World.Node(one.carrier)
		_, err := mesh.Outside.Transact(node.Address, monotonic.Second, func(*world.Node) ([]byte, error) {
			keeper := mesh.lives[one.carrier].LocalBackends
			condition := localbackends.Working
			if one.leaving && !mesh.breakage.LeaveIgnored {
				condition = localbackends.Leaving
			}
			if mesh.sizes.Slots > 0 {
				one.reports++
				_, err := keeper.ApplyReport(localbackends.Report{Backend: localbackends.Backend{Service: one.service, Instance: one.instance, Address: one.address}, Slots: mesh.sizes.Slots, Condition: condition, Sequence: one.reports})
				return nil, err
			}
			if !registered {
				return nil, keeper.Register(localbackends.Backend{Service: one.service, Instance: one.instance, Address: one.address}, condition)
			}
			return nil, keeper.Heartbeat(one.instance, condition)
		})
		registered = err == nil || registered && !apierror.IsRefused(err)
		pause := 2 * monotonic.Second
		if !registered {
			pause = 200 * monotonic.Millisecond
		}
		mesh.Outside.Sleep(pause)
	}
}

// leave has a backend say that it's leaving; a while later it ends.
func (mesh *Mesh) leave(one *backend) {
	mesh.Outside.Go(func() {
		one.leaving = true
		node := mesh.World.Node(one.carrier)
		_, err := mesh.Outside.Transact(node.Address, monotonic.Second, func(*world.Node) ([]byte, error) {
			if mesh.breakage.LeaveIgnored {
				return nil, nil
			}
			return nil, mesh.lives[one.carrier].LocalBackends.Heartbeat(one.instance, localbackends.Leaving)
		})
		if err == nil {
			mesh.History.Leave(one.instance, mesh.World.Now())
		}
		mesh.Outside.Sleep(5 * monotonic.Second)
		one.up = false
	})
}

func (mesh *Mesh) live(service string) (found []*backend) {
	for _, one := range mesh.backends {
		if one.up && !one.leaving && (service == "" || one.service == service) {
			found = append(found, one)
		}
	}
	return found
}

func sum(content []byte) string { return fmt.Sprint(crc32.ChecksumIEEE(content)) }

func (mesh *Mesh) call(number int, keyed bool) {
	chance := mesh.World.Chance()
	for again := 0; again < 4 || mesh.patient && mesh.serving; again++ {
		kind, method, path, key := "form", "GET", fmt.Sprintf("/forms/%d", number), ""
		if keyed {
			kind, method, path, key = "submission", "POST", fmt.Sprintf("/households/%d", number), fmt.Sprintf("key-%d", number)
		}
		if keyed && again > 0 {
			// Whoever asks again may spell it otherwise: it's the same submission.
			method, path = pick(mesh, []string{"POST", "POST", "post"}), fmt.Sprintf(pick(mesh, spellings), number)
		}
		caller := pick(mesh, mesh.carriers)
		if eager := slices.Sorted(maps.Keys(mesh.troubled)); len(eager) > 1 && chance.IntN(4) > 0 {
			caller = pick(mesh, eager) // whoever is in trouble asks and asks
		}
		attempt := &invariants.Attempt{ID: fmt.Sprintf("%s-%d-%d", kind, number, again), Key: key, Kind: kind, Caller: caller, Method: method, Path: path, Sent: mesh.World.Now()}
		mesh.History.Send(attempt)
		retry := mesh.send(attempt)
		if mesh.patient && retry > 0 {
			mesh.Outside.Sleep((retry + monotonic.Second - 1) / monotonic.Second * monotonic.Second) // as the header says, in whole seconds
			continue
		}
		if !keyed || attempt.Status == 200 && !attempt.Mesh {
			return
		}
		mesh.Outside.Sleep(monotonic.Second + monotonic.Micros(chance.Uint64N(uint64(monotonic.Second))))
	}
}

// watch notes the shared records as the sorters that answer hold them.
func (mesh *Mesh) watch() {
	mesh.Outside.Go(func() {
		for {
			mesh.Outside.Sleep(100 * monotonic.Millisecond)
			for _, name := range slices.Sorted(maps.Keys(mesh.sorters)) {
				if !mesh.World.Node(name).Up() || !mesh.sorters[name].Member.Serving() {
					continue
				}
				for _, record := range mesh.sorters[name].Breakers() {
					mesh.History.See(invariants.Look(record, mesh.World.Now(), name, mesh.astray()))
				}
			}
			for _, name := range mesh.carriers {
				if view, live := mesh.lives[name].ConfigClient.Current(); live && mesh.World.Node(name).Up() {
					mesh.see(name, view)
				}
			}
		}
	})
}

// see notes by what a carrier serves, and what its guards have counted.
func (mesh *Mesh) see(name string, view *config.Snapshot) {
	now, life := mesh.World.Now(), mesh.lives[name]
	if mesh.sums[view] == "" {
		mesh.sums[view] = view.Fingerprint()
		for _, shown := range life.Breaker.Statuses() {
			if mesh.breakage.Forgetful {
				_ = life.Breaker.SetControl(shown.Service, "reset")
			}
		}
	}
	mesh.History.Serves(invariants.Adopted{Carrier: name, Serial: view.Version, At: now, Sum: mesh.sums[view]})
	if !mesh.counting {
		return
	}
	for _, shown := range life.Breaker.Statuses() {
		mesh.History.Count(invariants.Counted{Carrier: name, Life: life.Incarnation(), Service: shown.Service, At: now, Calls: shown.Calls, Window: shown.Window,
			Verdict: fmt.Sprint(shown.Shared, shown.Version, shown.Local, shown.Control)})
	}
}

// astray tells whether some carrier may go by a verdict of its own now.
func (mesh *Mesh) astray() bool {
	return slices.ContainsFunc(mesh.carriers, func(name string) bool {
		node, life := mesh.World.Node(name), mesh.lives[name]
		return !node.Up() || mesh.World.Frozen(node) || life.Breaker.Degraded() || life.Now()-mesh.begun[name] < 5*monotonic.Second
	})
}
