package scenario

import (
	"fmt"
	"slices"
	"strings"

	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/registry/statemachine"
	"snowflow/internal/replication"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// coreGroups are the replication groups. Each core machine runs a process of each group.
var coreGroups = []string{registry.Group, configstore.Group}

// simulatedCompactionThreshold is low so that journals are compacted often within the short time of a run.
const simulatedCompactionThreshold = 8 << 10

func coreNodeName(group string, index int) string { return fmt.Sprintf("%s-%d", group, index+1) }

// addMachine adds a core machine with a name that was never used before, and its processes. It returns the name.
func (m *Mesh) addMachine(seeds []string) string {
	index := len(m.coreMachines) + len(m.retired)
	machine := fmt.Sprintf("core-%d", index+1)
	m.coreMachines = append(m.coreMachines, machine)
	for _, group := range coreGroups {
		m.addCoreNode(machine, group, index, seeds)
	}
	return machine
}

// coreProcess holds what an incarnation of a core process is started with.
type coreProcess struct {
	host     *world.Host
	name     string
	voters   []string // empty if the process does not know the initial voters
	resolver *discovery.Resolver
	handlers host.Handlers
}

func (m *Mesh) addCoreNode(machine, group string, index int, seeds []string) {
	name := coreNodeName(group, index)
	node := m.World.Add(name, machine+":"+group, machine, func(h *world.Host) (host.Handlers, error) {
		own := &wire.PeerAddress{Name: name, Address: h.Node().Address, Group: group}
		if index < len(m.topology.Domains) {
			own.Domain = m.topology.Domains[index]
		}
		process := coreProcess{host: h, name: name, voters: m.initialVoters[group], resolver: discovery.New(h, own, m.currentSeeds(seeds)), handlers: host.Handlers{}}
		m.resolvers[name] = process.resolver
		process.resolver.Persist(h.Disk())
		if m.topology.DiscoverVoters && m.startedBefore[name] {
			process.voters = nil
		}
		m.startedBefore[name] = true
		process.resolver.Register(process.handlers)
		h.Go(func() { process.resolver.Run(monotonic.Second) })
		start := m.startConfigStore
		if group == registry.Group {
			start = m.startRegistry
		}
		return process.handlers, start(process)
	})
	node.Disk.IgnoreSyncs = m.defects.NoSync
}

// replicationConfig returns a function that configures a process's replication by the topology and the defects.
func (m *Mesh) replicationConfig(resolver *discovery.Resolver) func(*replication.Config) {
	return func(config *replication.Config) {
		config.CompactionThreshold = simulatedCompactionThreshold
		config.UnverifiedClock = m.defects.TrustClock
		config.IgnoreLease = m.defects.NoPrimaryLease
		config.AnyVoterMayLead = m.defects.AnySuccessor
		config.LeaveAtOnce = m.defects.KeepVoterOnStop
		config.Replicas = m.topology.Replicas
		config.VoterCount = m.topology.Voters
		config.VoterTimeout = m.topology.VoterTimeout
		if len(m.topology.Domains) > 0 {
			config.Zone = resolver.Domain
		}
		if m.adjustReplication != nil {
			m.adjustReplication(config)
		}
	}
}

func (m *Mesh) startRegistry(process coreProcess) error {
	service, err := registry.Open(registry.Config{
		Host:                 process.host,
		Resolver:             process.resolver,
		Name:                 process.name,
		Voters:               process.voters,
		Bootstrap:            slices.Contains(process.voters, process.name),
		ConfigureReplication: m.replicationConfig(process.resolver),
		ConfigureState:       func(state *statemachine.Machine) { state.Breakers.InjectedFault = m.defects.BreakerFault },
	})
	if err != nil {
		return err
	}
	m.registries[process.name] = service
	service.Member.ClockWatch.TrustClock(m.defects.TrustClock)
	service.Register(process.handlers)
	m.interceptAccepts(process.name, process.handlers)
	m.interceptWrites(process.host.Node(), process.handlers)
	m.interceptRegistryPolls(process.name, process.handlers)
	service.Start()
	return nil
}

func (m *Mesh) startConfigStore(process coreProcess) error {
	service, err := configstore.Open(configstore.Options{
		Host:              process.host,
		Resolver:          process.resolver,
		Name:              process.name,
		Voters:            process.voters,
		Bootstrap:         slices.Contains(process.voters, process.name),
		AdjustReplication: m.replicationConfig(process.resolver),
		Timeouts:          m.topology.Timeouts,
		AllowVersionReuse: m.defects.AllowContentConflicts,
		HistoryLimit:      m.topology.RetainedVersions,
	})
	if err != nil {
		return err
	}
	m.configStores[process.name] = service
	m.operatorAPIs[process.name] = api.NewStore(process.host, process.resolver)
	service.Member.ClockWatch.TrustClock(m.defects.TrustClock)
	service.Register(process.handlers)
	m.interceptAccepts(process.name, process.handlers)
	m.interceptDesiredPolls(process.handlers)
	service.Start()
	return nil
}

// currentSeeds returns the seed addresses for a process that starts now. A seed address on a retired machine is replaced by an
// address on a machine in use.
func (m *Mesh) currentSeeds(initial []string) (seeds []string) {
	for index, seed := range initial {
		machine, _, _ := strings.Cut(seed, ":")
		if m.retired[machine] {
			seed = m.coreNodes(m.coreMachines[index%len(m.coreMachines)])[0].Address
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// startNewMachine adds a new core machine and starts its processes.
func (m *Mesh) startNewMachine() {
	var seeds []string
	for _, node := range m.allCoreNodes() {
		if node.Up() {
			seeds = append(seeds, node.Address)
		}
	}
	for _, node := range m.coreNodes(m.addMachine(seeds)) {
		node.Disk.SyncDelay = m.syncDuration
		m.World.Start(node)
	}
}

// retire removes a core machine permanently, with its disks.
func (m *Mesh) retire(machine string) {
	m.retired[machine] = true
	m.coreMachines = slices.DeleteFunc(m.coreMachines, func(name string) bool { return name == machine })
	for _, node := range m.coreNodes(machine) {
		m.World.LoseDisk(node)
	}
}

// coreNodes returns the processes of a core machine.
func (m *Mesh) coreNodes(machine string) (nodes []*world.Node) {
	for _, node := range m.World.Nodes() {
		if node.Machine == machine {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// allCoreNodes returns the processes of all core machines in use.
func (m *Mesh) allCoreNodes() (nodes []*world.Node) {
	for _, machine := range m.coreMachines {
		nodes = append(nodes, m.coreNodes(machine)...)
	}
	return nodes
}

// replicationMember returns the replication member that a core process runs.
func (m *Mesh) replicationMember(name string) *replication.Member {
	if service := m.registries[name]; service != nil {
		return service.Member
	}
	return m.configStores[name].Member
}

// primary returns the process that serves as a replication group's primary now, or nil.
func (m *Mesh) primary(group string) *world.Node {
	for _, node := range m.World.Nodes() {
		if !node.Up() {
			continue
		}
		if service := m.registries[node.Name]; group == registry.Group && service != nil && service.Member.Serving() {
			return node
		}
		if service := m.configStores[node.Name]; group == configstore.Group && service != nil && service.Member.Serving() {
			return node
		}
	}
	return nil
}

// randomPrimary draws a replication group and returns its primary, or nil.
func (m *Mesh) randomPrimary() *world.Node { return m.primary(pick(m, coreGroups)) }

// primaryMachineOrRandom returns the machine of the configuration store's primary in two of three calls, otherwise a random core
// machine.
func (m *Mesh) primaryMachineOrRandom() string {
	if node := m.primary(configstore.Group); node != nil && !m.oneIn(3) {
		return node.Machine
	}
	return pick(m, m.coreMachines)
}
