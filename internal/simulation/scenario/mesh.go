package scenario

import (
	"encoding/json"
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// externalName is the name, the address and the machine of the external host.
const externalName = "outside"

// The services of a mesh whose topology names none.
const (
	formsService      = "forms"
	householdsService = "households"
)

// Mesh is a simulated mesh with everything that is outside of it.
type Mesh struct {
	World   *world.World
	History *invariants.History
	// External is the host from which callers, backends and operators act.
	External *world.Host

	topology Topology
	defects  Defects
	log      []string // the nodes' events and the faults, as text

	// The core.
	coreMachines  []string                       // the machines that are in use, the oldest first
	retired       map[string]bool                // core machines that are gone for good
	initialVoters map[string][]string            // by replication group
	startedBefore map[string]bool                // core processes that have been up
	registries    map[string]*registry.Registry  // the newest incarnation of each process, by node
	configStores  map[string]*configstore.Server // the newest incarnation of each process, by node
	operatorAPIs  map[string]api.Store           // the operators' API on each configuration store process
	resolvers     map[string]*discovery.Resolver // of the newest incarnation of each core process
	syncDuration  monotonic.Micros               // how long a sync of a core disk takes without faults
	// nextLossAt is the earliest time at which the next disk may be lost, so that at most as many replicas are lost together as
	// the core tolerates.
	nextLossAt monotonic.Micros

	// The proxies.
	proxyNames      []string
	proxies         map[string]*proxy.Proxy     // the newest incarnation of each
	startedAt       map[string]monotonic.Micros // of the newest incarnation, by its own clock
	draining        map[string]bool             // proxies in a planned stop
	refusingCallers map[string]bool             // proxies that accept no requests any more
	degraded        map[string]networkProblem   // proxies whose own network is degraded
	drainTimeout    monotonic.Micros            // how long a planned stop may take

	// Backends, callers and operators.
	backends         []*simulatedBackend
	workDuration     monotonic.Micros // how long a backend works on a request
	resolver         *discovery.Resolver
	nextID           int    // numbers backends and lookups
	latestVersion    uint64 // the newest version that an operator's change was acknowledged under
	serving          bool   // callers send requests
	surgeCount           int
	honorRetryAfter  bool // callers retry when the response says, until they succeed
	plannedStopsOnly bool // proxies are ended by planned stops only in this run

	// What is observed.
	samples          []routeSample               // requests of each kind, to see where a desired state routes them
	contentSums      map[*config.Snapshot]string // of the snapshots that were observed
	recordCallCounts bool                        // the breakers' counters are recorded

	// Hooks, nil if unused.
	missesAccepts     func(name string) bool         // whether a core process loses the accept requests that it is sent
	waitForReplies    func(timeout monotonic.Micros) // called by a stopping proxy, see proxy.Options
	adjustReplication func(*replication.Config)
	afterWrite        func(node *world.Node, kind wire.Kind)                                                            // called for each write that a registry acknowledges
	onDesiredPoll     func(request *wire.ConfigPollRequest, response *wire.ConfigPollResponse)                          // may change the response to a proxy
	onRegistryPoll    func(registryName string, request *wire.RegistryPollRequest, response *wire.RegistryPollResponse) // may change the response to a proxy
	onConfirmedWrite  func()                                                                                            // called once, at the next write that an operator is notified of
	onSubmit          func(content []byte)                                                                              // called with each content that an operator submits

	routeWorkload *routeWorkload // nil unless the scenario changes routes
}

// routeSample is a request of a kind of traffic.
type routeSample struct{ kind, method, path string }

var defaultSamples = []routeSample{{"form", "GET", "/forms/1"}, {"lookup", "GET", "/forms/1"}, {"submission", "POST", "/households/1"}}

// restartDelay is how long the platform takes to start a process that has ended itself.
const restartDelay = monotonic.Second

// Build makes a mesh and starts its nodes and backends.
func Build(seed uint64, topology Topology, defects Defects) *Mesh {
	m := newMesh(seed, topology, defects)
	m.World.Trace = m.trace
	m.World.OnStop = func(node *world.Node, _ string) {
		m.after(restartDelay, func() { m.World.Start(node) })
	}
	seeds := []string{"core-1:sorter", "core-2:postmaster", "core-3:sorter"}
	for index := range topology.Cores {
		for _, group := range coreGroups {
			m.initialVoters[group] = append(m.initialVoters[group], coreNodeName(group, index))
		}
	}
	for range topology.Cores {
		m.addMachine(seeds)
	}
	for index := range topology.Proxies {
		m.addProxy(index, seeds)
	}
	m.World.Start(m.addExternal(seeds))
	for _, node := range m.World.Nodes() {
		if node.Name != externalName {
			m.World.Start(node)
		}
	}
	m.World.Run(m.World.Now())
	services := topology.Services
	if len(services) == 0 {
		services = []string{formsService, householdsService}
	}
	for index := range topology.Backends {
		for number, service := range services {
			proxyName := m.proxyNames[(index+number)%len(m.proxyNames)]
			m.startBackend(service, proxyName, fmt.Sprintf("%s:%d", proxyName, 8000+10*index+number), 0)
		}
	}
	return m
}

func newMesh(seed uint64, topology Topology, defects Defects) *Mesh {
	return &Mesh{
		World:           world.New(seed),
		History:         &invariants.History{RetryAllowance: retryAllowance, RetainedVersions: topology.RetainedVersions},
		topology:        topology,
		defects:         defects,
		retired:         map[string]bool{},
		initialVoters:   map[string][]string{},
		startedBefore:   map[string]bool{},
		registries:      map[string]*registry.Registry{},
		configStores:    map[string]*configstore.Server{},
		operatorAPIs:    map[string]api.Store{},
		resolvers:       map[string]*discovery.Resolver{},
		proxies:         map[string]*proxy.Proxy{},
		startedAt:       map[string]monotonic.Micros{},
		draining:        map[string]bool{},
		refusingCallers: map[string]bool{},
		degraded:        map[string]networkProblem{},
		drainTimeout:    proxy.DrainGrace,
		samples:         defaultSamples,
		contentSums:     map[*config.Snapshot]string{},
	}
}

// addExternal adds the node of the external host.
func (m *Mesh) addExternal(seeds []string) *world.Node {
	return m.World.Add(externalName, externalName, externalName, func(h *world.Host) (host.Handlers, error) {
		m.External = h
		m.resolver = discovery.New(h, nil, seeds)
		h.Go(func() { m.resolver.Run(300 * monotonic.Millisecond) })
		return host.Handlers{}, nil
	})
}

// trace logs the nodes' events but for rejected requests, of which there are too many.
func (m *Mesh) trace(at monotonic.Micros, node string, number int, fields map[string]any) {
	if number == eventlog.RequestRejected {
		return
	}
	content, err := json.Marshal(fields)
	if err != nil {
		content = []byte(err.Error())
	}
	m.log = append(m.log, fmt.Sprintf("%d %s %d %s", at, node, number, content))
}

// logf adds a line to the log, with the time.
func (m *Mesh) logf(format string, arguments ...any) {
	m.log = append(m.log, fmt.Sprintf("%d ", m.World.Now())+fmt.Sprintf(format, arguments...))
}

// pick draws one of several items.
func pick[Item any](m *Mesh, items []Item) Item {
	return items[m.World.Rand().IntN(len(items))]
}

// randomDuration draws a duration within [low, high).
func (m *Mesh) randomDuration(low, high monotonic.Micros) monotonic.Micros {
	return low + monotonic.Micros(m.World.Rand().Uint64N(uint64(high-low)))
}

// randomVariant draws a variant of Desired.
func (m *Mesh) randomVariant() int { return m.World.Rand().IntN(1 << 20) }

// oneIn is true with a probability of one in so many.
func (m *Mesh) oneIn(count int) bool { return m.World.Rand().IntN(count) == 0 }

// after runs an action once a delay has passed.
func (m *Mesh) after(delay monotonic.Micros, action func()) {
	m.World.At(m.World.Now()+delay, action)
}

// now runs an action as the next event at the present time, outside all nodes.
func (m *Mesh) now(action func()) { m.World.At(m.World.Now(), action) }

// transactAt runs work in the process at an address. Only whether it failed is of interest: not even that if the caller ignores it.
func (m *Mesh) transactAt(address string, timeout monotonic.Micros, work func()) error {
	_, err := m.External.Transact(address, timeout, func(*world.Node) ([]byte, error) {
		work()
		return nil, nil
	})
	return err
}

// runFor lets the mesh run for a duration.
func (m *Mesh) runFor(duration monotonic.Micros) { m.World.Run(m.World.Now() + duration) }
