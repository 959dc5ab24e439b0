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
	World             *world.World
	History           *invariants.History
	External          *world.Host
	topology          Topology
	coreMachines      []string // machines
	proxyNames        []string // nodes
	proxies           map[string]*proxy.Proxy
	startedAt         map[string]monotonic.Micros // when each life of a carrier began, by its own clock
	configStores      map[string]*configstore.Server
	operatorAPIs      map[string]api.Store // the operators' doors on the postmasters' processes
	registries        map[string]*registry.Registry
	backends          []*simulatedBackend
	resolver          *discovery.Resolver
	nextID            int
	serving           bool
	latestVersion     uint64
	plannedStopsOnly  bool              // carriers are only ended by planned stops in this run
	startedBefore     map[string]bool   // core processes that have been up
	draining          map[string]bool   // carriers in a planned stop
	refusingCallers   map[string]bool   // carriers whose callers' door is closed
	syncDuration      monotonic.Micros  // the core disks' ordinary time for a sync
	nextLossAt        monotonic.Micros  // no disk is lost before
	troubled          map[string]string // carriers whose own network is in trouble, and how
	adjustReplication func(*replication.Config)
	retired           map[string]bool                                                                                   // core machines that are gone for good
	initialVoters     map[string][]string                                                                               // the voters of the first start, by group
	afterWrite        func(node *world.Node, kind wire.Kind)                                                            // told of each write that a sorter acknowledges, if set
	onDesiredPoll     func(request *wire.ConfigPollRequest, response *wire.ConfigPollResponse)                          // may change what a carrier is told of versions, if set
	onRegistryPoll    func(registryName string, request *wire.RegistryPollRequest, response *wire.RegistryPollResponse) // may change what a carrier is told by a sorter, if set
	surges            int
	workDuration      monotonic.Micros // what a backend's work takes besides
	honorRetryAfter   bool             // callers come back when they were told to, until they are served
	drainTimeout      monotonic.Micros // what a carrier's planned stop may take
	defects           Defects
	log               []string
	samples           []routeSample               // requests of each kind, to see where a desired state sends them
	contentSums       map[*config.Snapshot]string // of the views that were looked at
	recordCallCounts  bool                        // what guards have counted is noted
	onConfirmedWrite  func()                      // happens at the next order's acknowledgement, once, if set
	onSubmit          func(content []byte)        // told of each content that an operator hands in, if set
	routeWorkload     *routeWorkload
}

// sample is a request of a kind.
type routeSample struct{ kind, method, path string }

var defaultSamples = []routeSample{{"form", "GET", "/forms/1"}, {"lookup", "GET", "/forms/1"}, {"submission", "POST", "/households/1"}}

// Topology of a simulated mesh.
type Topology struct {
	Cores, Proxies, Zones int
	Backends              int      // per service
	Services              []string // forms and households if left out
	Slots                 uint32   // how many requests each backend says that it runs at once; zero: it doesn't say
	// Timeouts are the postmasters'; carriers serve on where they say so.
	Bounds configstore.Timeouts
	// DiscoverVoters has the core know its voters at its first start only, as where nobody configures them.
	DiscoverVoters bool
	// Replicas, Voters and Gone are the core's own settings, its defaults if left out.
	Replicas, Voters int
	RemoveAfter      monotonic.Micros
	// Domains are the core machines' failure domains, in their order; none are known if left out.
	Domains []string
	// HistoryLimit is how many configurations the core keeps, all for zero.
	RetainedVersions int
	// DrainLinger is how long a carrier that stops as planned goes on before it turns callers away.
	DrainLinger monotonic.Micros
}

// Defects turns a part of the mesh off, to show that the checkers see it.
type Defects struct {
	NoProbeLease            bool   // carriers let calls through while half open without leasing a probe
	TrustClock              bool   // clocks are taken at their word, on which holder time rests alone
	SameRetryAfter          bool   // refusals name the same time to come back to all
	NoClaims                bool   // run-once requests are not claimed
	IgnoreDraining          bool   // backends' leaving isn't noted
	NoIdentityCheck         bool   // backends aren't asked who they are
	NoServingLease          bool   // carriers serve without a live tenure
	NoSync                  bool   // syncs do nothing
	AcceptTruncated         bool   // short answers pass for whole
	Breakers                string // what is wrong with the guards' table, one of breakerstore's words
	NoRetryBudget           bool   // further tries are not bounded
	NoDrain                 bool   // a planned stop ends at once
	NoRecovery              bool   // the core stays down at the end
	ClockStopsWhileFrozen   bool   // clocks stand still while a process is frozen
	IgnoreDutyExpiry        bool   // who does a duty goes on past its tenure
	ResetCounters           bool   // a version that is taken up replaces what was counted of services
	WrongBase               bool   // what the newest version changes is applied onto whatever a carrier has
	UncheckedDirectoryDelta bool   // what changed of the directory is applied onto whatever a carrier has
	NoPrimaryLease          bool   // a core primary answers without a majority's lease
	AnySuccessor            bool   // any voter of the core takes over, whatever its copy holds
	KeepVoterOnStop         bool   // a planned stop leaves its copy and seat behind
	AllowContentConflicts   bool   // a number may stand for several contents
	ClaimPerService         bool   // keys are claimed for one service only
}

type simulatedBackend struct {
	service     string
	instance    string
	address     string
	proxy       string
	up          bool
	behavior    string
	draining    bool
	startDelay  monotonic.Micros // how long it listens before it registers
	reportCount uint64
	inFlight    int // requests that it has, and the most that it ever had
	maxInFlight int
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
func Build(seed uint64, topology Topology, defects Defects) *Mesh {
	mesh := &Mesh{samples: defaultSamples, contentSums: map[*config.Snapshot]string{}, World: world.New(seed), History: &invariants.History{RetryAllowance: 10 + 2, RetainedVersions: topology.RetainedVersions}, topology: topology, proxies: map[string]*proxy.Proxy{}, startedAt: map[string]monotonic.Micros{}, troubled: map[string]string{},
		configStores: map[string]*configstore.Server{}, operatorAPIs: map[string]api.Store{}, registries: map[string]*registry.Registry{}, startedBefore: map[string]bool{}, draining: map[string]bool{}, retired: map[string]bool{}, initialVoters: map[string][]string{}, refusingCallers: map[string]bool{}, drainTimeout: proxy.DrainGrace, defects: defects}
	mesh.World.Trace = func(at monotonic.Micros, node string, number int, fields map[string]any) {
		if number == 601 {
			return
		}
		content, _ := json.Marshal(fields)
		mesh.log = append(mesh.log, fmt.Sprintf("%d %s %d %s", at, node, number, content))
	}
	mesh.World.OnStop = func(node *world.Node, _ string) {
		mesh.World.At(mesh.World.Now()+monotonic.Second, func() { mesh.World.Start(node) })
	}
	seeds := []string{"core-1:sorter", "core-2:postmaster", "core-3:sorter"}
	for index := range topology.Cores {
		for _, group := range []string{"sorter", "postmaster"} {
			mesh.initialVoters[group] = append(mesh.initialVoters[group], fmt.Sprintf("%s-%d", group, index+1))
		}
	}
	for range topology.Cores {
		mesh.addMachine(seeds)
	}
	for index := range topology.Proxies {
		mesh.addProxy(index, seeds)
	}
	outside := mesh.World.Add("outside", "outside", "outside", func(h *world.Host) (host.Handlers, error) {
		mesh.External = h
		mesh.resolver = discovery.New(h, nil, seeds)
		h.Go(func() { mesh.resolver.Run(300 * monotonic.Millisecond) })
		return host.Handlers{}, nil
	})
	mesh.World.Start(outside)
	for _, node := range mesh.World.Nodes() {
		if node.Name != "outside" {
			mesh.World.Start(node)
		}
	}
	mesh.World.Run(mesh.World.Now())
	services := topology.Services
	if len(services) == 0 {
		services = []string{"forms", "households"}
	}
	for index := range topology.Backends {
		for number, service := range services {
			proxyName := mesh.proxyNames[(index+number)%len(mesh.proxyNames)]
			mesh.startBackend(service, proxyName, fmt.Sprintf("%s:%d", proxyName, 8000+10*index+number), 0)
		}
	}
	return mesh
}

// addMachine adds a core machine that was never there before, and tells its name.
func (m *Mesh) addMachine(seeds []string) string {
	index := len(m.coreMachines) + len(m.retired)
	machine := fmt.Sprintf("core-%d", index+1)
	m.coreMachines = append(m.coreMachines, machine)
	m.addCoreNode(machine, "sorter", index, m.initialVoters["sorter"], seeds)
	m.addCoreNode(machine, "postmaster", index, m.initialVoters["postmaster"], seeds)
	return machine
}

func (m *Mesh) addCoreNode(machine, group string, index int, voters, seeds []string) {
	name := fmt.Sprintf("%s-%d", group, index+1)
	address := machine + ":" + group
	node := m.World.Add(name, address, machine, func(h *world.Host) (host.Handlers, error) {
		own := &wire.PeerAddress{Name: name, Address: h.Node().Address, Group: group}
		if index < len(m.topology.Domains) {
			own.Domain = m.topology.Domains[index]
		}
		resolver := discovery.New(h, own, m.currentSeeds(seeds))
		resolver.Persist(h.Disk())
		table, voters := host.Handlers{}, voters
		if m.topology.DiscoverVoters && m.startedBefore[name] {
			voters = nil
		}
		m.startedBefore[name] = true
		resolver.Register(table)
		h.Go(func() { resolver.Run(monotonic.Second) })
		adjust := func(env *replication.Config) {
			env.CompactionThreshold, env.UnverifiedClock = 8<<10, m.defects.TrustClock
			env.IgnoreLease, env.AnyVoterMayLead, env.LeaveAtOnce = m.defects.NoPrimaryLease, m.defects.AnySuccessor, m.defects.KeepVoterOnStop
			env.Replicas, env.VoterCount, env.VoterTimeout = m.topology.Replicas, m.topology.Voters, m.topology.RemoveAfter
			if len(m.topology.Domains) > 0 {
				env.Zone = resolver.Domain
			}
			if m.adjustReplication != nil {
				m.adjustReplication(env)
			}
		}
		if group == "sorter" {
			service, err := registry.Open(registry.Config{Host: h, Resolver: resolver, Name: name, Voters: voters, Bootstrap: slices.Contains(voters, name), ConfigureReplication: adjust,
				ConfigureState: func(state *statemachine.Machine) {
					state.Breakers.InjectedFault = m.defects.Breakers
				}})
			if err != nil {
				return nil, err
			}
			m.registries[name] = service
			service.Member.ClockWatch.TrustClock(m.defects.TrustClock)
			service.Register(table)
			m.interceptWrites(h.Node(), table)
			m.interceptRegistryPolls(name, table)
			service.Start()
			return table, nil
		}
		service, err := configstore.Open(configstore.Options{Host: h, Resolver: resolver, Name: name, Voters: voters, Bootstrap: slices.Contains(voters, name), AdjustReplication: adjust, Timeouts: m.topology.Bounds,
			AllowVersionReuse: m.defects.AllowContentConflicts, HistoryLimit: m.topology.RetainedVersions})
		if err != nil {
			return nil, err
		}
		m.configStores[name], m.operatorAPIs[name] = service, api.NewStore(h, resolver)
		service.Member.ClockWatch.TrustClock(m.defects.TrustClock)
		service.Register(table)
		m.interceptDesiredPolls(table)
		service.Start()
		return table, nil
	})
	node.Disk.IgnoreSyncs = m.defects.NoSync
}

// member is the part that a core process has in its group.
func (m *Mesh) replicationMember(name string) *replication.Member {
	if service := m.registries[name]; service != nil {
		return service.Member
	}
	return m.configStores[name].Member
}

// listen has afterWrite told of each write that a sorter acknowledges, at the moment of its answer.
func (m *Mesh) interceptWrites(node *world.Node, table host.Handlers) {
	for _, kind := range []wire.Kind{wire.Kind_claim, wire.Kind_void_claim, wire.Kind_probe_lease, wire.Kind_breaker_write, wire.Kind_singleton_lease} {
		answer := table[kind]
		table[kind] = func(content []byte) (proto.Message, error) {
			reply, err := answer(content)
			if err == nil && m.afterWrite != nil {
				m.afterWrite(node, kind)
			}
			return reply, err
		}
	}
}

// overhear has polled told of each answer to a carrier's poll, on its way.
func (m *Mesh) interceptDesiredPolls(table host.Handlers) {
	answer := table[wire.Kind_config_poll]
	table[wire.Kind_config_poll] = func(content []byte) (proto.Message, error) {
		reply, err := answer(content)
		if response, is := reply.(*wire.ConfigPollResponse); err == nil && is && m.onDesiredPoll != nil {
			request := &wire.ConfigPollRequest{}
			_ = proto.Unmarshal(content, request)
			m.onDesiredPoll(request, response)
		}
		return reply, err
	}
}

// direct has directed told of each answer of a sorter to a carrier's poll, on its way.
func (m *Mesh) interceptRegistryPolls(registryName string, table host.Handlers) {
	answer := table[wire.Kind_registry_poll]
	table[wire.Kind_registry_poll] = func(content []byte) (proto.Message, error) {
		reply, err := answer(content)
		if response, is := reply.(*wire.RegistryPollResponse); err == nil && is && m.onRegistryPoll != nil {
			request := &wire.RegistryPollRequest{}
			_ = proto.Unmarshal(content, request)
			m.onRegistryPoll(registryName, request, response)
		}
		return reply, err
	}
}

// currentSeeds are the seeds that a process which starts now is told: instead of machines that went for good, some that are there.
func (m *Mesh) currentSeeds(first []string) (seeds []string) {
	for index, seed := range first {
		machine, _, _ := strings.Cut(seed, ":")
		if m.retired[machine] {
			seed = m.coreNodes(m.coreMachines[index%len(m.coreMachines)])[0].Address
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

func (m *Mesh) addProxy(index int, seeds []string) {
	name := fmt.Sprintf("carrier-%d", index+1)
	m.proxyNames = append(m.proxyNames, name)
	m.World.Add(name, name+":carrier", name, func(h *world.Host) (host.Handlers, error) {
		resolver := discovery.New(h, nil, m.currentSeeds(seeds))
		table := host.Handlers{}
		resolver.Register(table)
		h.Go(func() { resolver.Run(monotonic.Second) })
		instance := proxy.New(proxy.Options{Host: h, Resolver: resolver, Name: name, Domain: fmt.Sprintf("zone-%d", index%m.topology.Zones+1),
			Address: name + ":carrier", Upstream: &simulatedUpstream{mesh: m, host: h}, ServeStale: m.topology.Bounds.ServeStale, Linger: m.topology.DrainLinger})
		instance.Admission.SkipClaims(m.defects.NoClaims)
		instance.Admission.ClaimPerService(m.defects.ClaimPerService)
		instance.ConfigClient.IgnoreLease(m.defects.NoServingLease)
		instance.Session.SkipDigestChecks(m.defects.UncheckedDirectoryDelta)
		instance.Singleton.IgnoreExpiry(m.defects.IgnoreDutyExpiry)
		instance.RetryBudget.SetUnlimited(m.defects.NoRetryBudget)
		instance.Breakers.SkipProbeLeases(m.defects.NoProbeLease)
		instance.TrustClock(m.defects.TrustClock)
		instance.Forwarder.DisableRetryAfterJitter(m.defects.SameRetryAfter)
		instance.Register(table)
		instance.Start()
		m.proxies[name], m.startedAt[name] = instance, h.Now()
		return table, nil
	})
}

// ---- backends ----
func (m *Mesh) startBackend(service, proxyName, address string, startDelay monotonic.Micros) *simulatedBackend {
	m.nextID++
	fresh := &simulatedBackend{service: service, instance: fmt.Sprintf("%s-%d", service, m.nextID), address: address, proxy: proxyName, up: true, startDelay: startDelay}
	m.backends = append(m.backends, fresh)
	m.External.Go(func() { m.runHeartbeats(fresh) })
	return fresh
}

func (m *Mesh) runHeartbeats(one *simulatedBackend) {
	registered := false
	m.External.Sleep(one.startDelay)
	for one.up {
		node := m.World.Node(one.proxy)
		_, err := m.External.Transact(node.Address, monotonic.Second, func(*world.Node) ([]byte, error) {
			localBackends := m.proxies[one.proxy].LocalBackends
			condition := localbackends.Working
			if one.draining && !m.defects.IgnoreDraining {
				condition = localbackends.Leaving
			}
			if m.topology.Slots > 0 {
				one.reportCount++
				_, err := localBackends.ApplyReport(localbackends.Report{Backend: localbackends.Backend{Service: one.service, Instance: one.instance, Address: one.address}, Slots: m.topology.Slots, Condition: condition, Sequence: one.reportCount})
				return nil, err
			}
			if !registered {
				return nil, localBackends.Register(localbackends.Backend{Service: one.service, Instance: one.instance, Address: one.address}, condition)
			}
			return nil, localBackends.Heartbeat(one.instance, condition)
		})
		registered = err == nil || registered && !apierror.IsRefused(err)
		pause := 2 * monotonic.Second
		if !registered {
			pause = 200 * monotonic.Millisecond
		}
		m.External.Sleep(pause)
	}
}

// leave has a backend say that it's leaving; a while later it ends.
func (m *Mesh) drainBackend(one *simulatedBackend) {
	m.External.Go(func() {
		one.draining = true
		node := m.World.Node(one.proxy)
		_, err := m.External.Transact(node.Address, monotonic.Second, func(*world.Node) ([]byte, error) {
			if m.defects.IgnoreDraining {
				return nil, nil
			}
			return nil, m.proxies[one.proxy].LocalBackends.Heartbeat(one.instance, localbackends.Leaving)
		})
		if err == nil {
			m.History.RecordDeparture(one.instance, m.World.Now())
		}
		m.External.Sleep(5 * monotonic.Second)
		one.up = false
	})
}

func (m *Mesh) liveBackends(service string) (found []*simulatedBackend) {
	for _, one := range m.backends {
		if one.up && !one.draining && (service == "" || one.service == service) {
			found = append(found, one)
		}
	}
	return found
}

func checksum(content []byte) string { return fmt.Sprint(crc32.ChecksumIEEE(content)) }

func (m *Mesh) sendUntilServed(number int, keyed bool) {
	chance := m.World.Rand()
	for again := 0; again < 4 || m.honorRetryAfter && m.serving; again++ {
		kind, method, path, key := "form", "GET", fmt.Sprintf("/forms/%d", number), ""
		if keyed {
			kind, method, path, key = "submission", "POST", fmt.Sprintf("/households/%d", number), fmt.Sprintf("key-%d", number)
		}
		if keyed && again > 0 {
			// Whoever asks again may spell it otherwise: it's the same submission.
			method, path = pick(m, []string{"POST", "POST", "post"}), fmt.Sprintf(pick(m, pathSpellings), number)
		}
		caller := pick(m, m.proxyNames)
		if troubled := slices.Sorted(maps.Keys(m.troubled)); len(troubled) > 1 && chance.IntN(4) > 0 {
			caller = pick(m, troubled) // whoever is in trouble asks and asks
		}
		attempt := &invariants.Attempt{ID: fmt.Sprintf("%s-%d-%d", kind, number, again), Key: key, Kind: kind, Caller: caller, Method: method, Path: path, Sent: m.World.Now()}
		m.History.RecordAttempt(attempt)
		retry := m.send(attempt)
		if m.honorRetryAfter && retry > 0 {
			m.External.Sleep((retry + monotonic.Second - 1) / monotonic.Second * monotonic.Second) // as the header says, in whole seconds
			continue
		}
		if !keyed || attempt.Status == 200 && !attempt.Mesh {
			return
		}
		m.External.Sleep(monotonic.Second + monotonic.Micros(chance.Uint64N(uint64(monotonic.Second))))
	}
}

// watch notes the shared records as the sorters that answer hold them.
func (m *Mesh) startObserver() {
	m.External.Go(func() {
		for {
			m.External.Sleep(100 * monotonic.Millisecond)
			for _, name := range slices.Sorted(maps.Keys(m.registries)) {
				if !m.World.Node(name).Up() || !m.registries[name].Member.Serving() {
					continue
				}
				for _, record := range m.registries[name].Breakers() {
					m.History.RecordBreaker(invariants.ObserveBreaker(record, m.World.Now(), name, m.localVerdictPossible()))
				}
			}
			for _, name := range m.proxyNames {
				if view, live := m.proxies[name].ConfigClient.Current(); live && m.World.Node(name).Up() {
					m.observeProxy(name, view)
				}
			}
		}
	})
}

// see notes by what a carrier serves, and what its guards have counted.
func (m *Mesh) observeProxy(name string, view *config.Snapshot) {
	now, proxyProcess := m.World.Now(), m.proxies[name]
	if m.contentSums[view] == "" {
		m.contentSums[view] = view.Fingerprint()
		for _, shown := range proxyProcess.Breakers.Statuses() {
			if m.defects.ResetCounters {
				_ = proxyProcess.Breakers.SetControl(shown.Service, "reset")
			}
		}
	}
	m.History.RecordActiveConfig(invariants.ActiveConfig{Proxy: name, Version: view.Version, At: now, Sum: m.contentSums[view]})
	if !m.recordCallCounts {
		return
	}
	for _, shown := range proxyProcess.Breakers.Statuses() {
		m.History.RecordCallCounts(invariants.CallCounts{Proxy: name, Incarnation: proxyProcess.Incarnation(), Service: shown.Service, At: now, Calls: shown.Calls, Window: shown.Window,
			Verdict: fmt.Sprint(shown.Shared, shown.Version, shown.Local, shown.Control)})
	}
}

// astray tells whether some carrier may go by a verdict of its own now.
func (m *Mesh) localVerdictPossible() bool {
	return slices.ContainsFunc(m.proxyNames, func(name string) bool {
		node, proxyProcess := m.World.Node(name), m.proxies[name]
		return !node.Up() || m.World.Frozen(node) || proxyProcess.Breakers.Degraded() || proxyProcess.Now()-m.startedAt[name] < 5*monotonic.Second
	})
}
