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

// externalName is the name, the address and the machine name of the external host.
const externalName = "outside"

// The services of a mesh whose topology lists no services.
const (
	formsService      = "forms"
	householdsService = "households"
)

// Mesh is a simulated mesh together with its callers, backends and operators.
type Mesh struct {
	World   *world.World
	History *invariants.History
	// External is the host on which callers, backends and operators run.
	External *world.Host

	topology Topology
	defects  Defects
	log      []string // the events that nodes reported, and the faults, as text

	// The core.
	coreMachines  []string                       // the machines in use, oldest first
	retired       map[string]bool                // core machines that were removed permanently
	initialVoters map[string][]string            // by replication group
	startedBefore map[string]bool                // core processes that were started before
	registries    map[string]*registry.Registry  // the newest incarnation of each process, by node
	configStores  map[string]*configstore.Server // the newest incarnation of each process, by node
	operatorAPIs  map[string]api.Store           // the operators' API of each configuration store process
	resolvers     map[string]*discovery.Resolver // the resolver of the newest incarnation of each core process
	syncDuration  monotonic.Micros               // how long a sync of a core disk takes without faults
	// nextLossAt is the earliest time at which the next disk may be lost. It ensures that no more replicas are lost together than the
	// core tolerates.
	nextLossAt monotonic.Micros

	// The proxies.
	proxyNames      []string
	proxies         map[string]*proxy.Proxy     // the newest incarnation of each
	startedAt       map[string]monotonic.Micros // when the newest incarnation was started, by its own clock
	draining        map[string]bool             // proxies in a planned stop
	refusingCallers map[string]bool             // proxies that no longer accept requests
	degraded        map[string]networkProblem   // proxies whose own network is degraded
	drainTimeout    monotonic.Micros            // how long a planned stop may take

	// Backends, callers and operators.
	backends         []*simulatedBackend
	workDuration     monotonic.Micros // how long a backend takes for a request
	resolver         *discovery.Resolver
	nextID           int    // numbers backends and lookups
	latestVersion    uint64 // the newest version under which an operator's change was acknowledged
	serving          bool   // callers send requests
	surgeCount       int    // keeps the request numbers of traffic surges apart
	honorRetryAfter  bool   // callers wait for a response's Retry-After and retry until they succeed
	plannedStopsOnly bool   // in this run, proxies are ended by planned stops only

	// Observation.
	samples          []routeSample               // requests of each kind, used to find out where a desired state routes them
	contentSums      map[*config.Snapshot]string // the fingerprints of the snapshots that were observed
	recordCallCounts bool                        // the breakers' counters are recorded

	// Hooks, nil if unused.

	// missesAccepts reports whether accept requests to a core process are dropped.
	missesAccepts func(name string) bool
	// waitForReplies is called by a proxy that stops, see proxy.Options.
	waitForReplies    func(timeout monotonic.Micros)
	adjustReplication func(*replication.Config)
	// afterWrite is called for each write that a registry acknowledges.
	afterWrite func(node *world.Node, kind wire.Kind)
	// onDesiredPoll and onRegistryPoll may change the response to a proxy.
	onDesiredPoll  func(request *wire.ConfigPollRequest, response *wire.ConfigPollResponse)
	onRegistryPoll func(registryName string, request *wire.RegistryPollRequest, response *wire.RegistryPollResponse)
	// onConfirmedWrite is called once, when an operator next receives the confirmation of a write.
	onConfirmedWrite func()
	// onSubmit is called with each desired state that an operator submits.
	onSubmit func(content []byte)

	routeWorkload *routeWorkload // nil unless the scenario changes routes
}

// routeSample is a sample request of a kind of traffic.
type routeSample struct{ kind, method, path string }

var defaultSamples = []routeSample{{"form", "GET", "/forms/1"}, {"lookup", "GET", "/forms/1"}, {"submission", "POST", "/households/1"}}

// restartDelay is how long the platform takes to restart a process that has ended itself.
const restartDelay = monotonic.Second

// Build creates a mesh and starts its nodes and backends.
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

// trace logs the events that nodes report, except rejected requests, of which there are too many.
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

// logf adds a line with the current time to the log.
func (m *Mesh) logf(format string, arguments ...any) {
	m.log = append(m.log, fmt.Sprintf("%d ", m.World.Now())+fmt.Sprintf(format, arguments...))
}

// pick draws one of the items.
func pick[Item any](m *Mesh, items []Item) Item {
	return items[m.World.Rand().IntN(len(items))]
}

// randomDuration draws a duration from [low, high).
func (m *Mesh) randomDuration(low, high monotonic.Micros) monotonic.Micros {
	return low + monotonic.Micros(m.World.Rand().Uint64N(uint64(high-low)))
}

// randomVariant draws a variant of Desired.
func (m *Mesh) randomVariant() int { return m.World.Rand().IntN(1 << 20) }

// oneIn returns true with a probability of 1/count.
func (m *Mesh) oneIn(count int) bool { return m.World.Rand().IntN(count) == 0 }

// after runs an action once a delay has passed.
func (m *Mesh) after(delay monotonic.Micros, action func()) {
	m.World.At(m.World.Now()+delay, action)
}

// runNow runs an action as an event of its own at the current time, outside all nodes.
func (m *Mesh) runNow(action func()) { m.World.At(m.World.Now(), action) }

// transactAt runs work in the process at an address, and returns an error if the call failed.
func (m *Mesh) transactAt(address string, timeout monotonic.Micros, work func()) error {
	_, err := m.External.CallFunc(address, timeout, func(*world.Node) ([]byte, error) {
		work()
		return nil, nil
	})
	return err
}

// runFor lets the mesh run for a duration.
func (m *Mesh) runFor(duration monotonic.Micros) { m.World.Run(m.World.Now() + duration) }
