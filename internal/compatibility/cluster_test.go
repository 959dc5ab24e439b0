package compatibility

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// memberNames are the names of a group's members, as the stored folders contain them.
var memberNames = []string{"member-1", "member-2", "member-3"}

// folder contains a member's files by name, except the reserve file, which is a megabyte without content.
type folder map[string][]byte

// storedGroup describes a control plane group: its files, and how to open a process of it.
type storedGroup struct {
	title               string // in the names of approved files and folders
	name                string // the group's name in discovery
	files               []string
	compactionThreshold int64 // while the folders are written, so that they contain a snapshot and entries after it
	open                func(process *process, config openConfig) (*replication.Member, error)
}

// openConfig contains what opening a process needs in both groups.
type openConfig struct {
	node                 host.Host
	resolver             *discovery.Resolver
	handlers             host.Handlers
	name                 string
	configureReplication func(*replication.Config)
}

var registryGroup = storedGroup{title: "registry", name: registry.Group, files: []string{"sorter.register", "sorter.journal", "addresses"}, compactionThreshold: 1500, open: openRegistry}

var configStoreGroup = storedGroup{title: "configstore", name: configstore.Group, files: []string{"postmaster.register", "postmaster.journal", "addresses"}, compactionThreshold: 900, open: openConfigStore}

func openRegistry(process *process, config openConfig) (*replication.Member, error) {
	opened, err := registry.Open(registry.Config{Host: config.node, Resolver: config.resolver, Name: config.name, Voters: memberNames, Bootstrap: true, ConfigureReplication: config.configureReplication})
	if err != nil {
		return nil, err
	}
	process.registry = opened
	opened.Register(config.handlers)
	opened.Start()
	return opened.Member, nil
}

func openConfigStore(process *process, config openConfig) (*replication.Member, error) {
	opened, err := configstore.Open(configstore.Options{Host: config.node, Resolver: config.resolver, Name: config.name, Voters: memberNames, Bootstrap: true, AdjustReplication: config.configureReplication})
	if err != nil {
		return nil, err
	}
	process.configStore = opened
	opened.Register(config.handlers)
	opened.Start()
	return opened.Member, nil
}

// process is the process of one member. Depending on the group, registry or configStore is nil.
type process struct {
	node        *world.Node
	nodeHost    *world.Host
	member      *replication.Member
	registry    *registry.Registry
	configStore *configstore.Server
}

// cluster is a group's three members in a simulated world, whose time advances only when the test runs it.
type cluster struct {
	world     *world.World
	processes []*process
	stopped   []string // processes that stopped themselves, with the reason
}

// startCluster starts a group's members on copies of folders, or on empty disks if folders is nil.
func startCluster(t *testing.T, group storedGroup, folders []folder, compactionThreshold int64) *cluster {
	t.Helper()
	started := &cluster{world: world.New(1)}
	started.world.OnStop = func(node *world.Node, reason string) {
		started.stopped = append(started.stopped, node.Name+": "+reason)
	}
	for index, name := range memberNames {
		proc := &process{}
		proc.node = started.world.Add(name, name+":"+group.name, name, func(nodeHost *world.Host) (host.Handlers, error) {
			config := openConfig{node: nodeHost, name: name, handlers: host.Handlers{}, configureReplication: func(replicationConfig *replication.Config) {
				replicationConfig.CompactionThreshold = compactionThreshold
			}}
			proc.nodeHost = nodeHost
			config.resolver = discovery.New(nodeHost, &wire.PeerAddress{Name: name, Address: nodeHost.Node().Address, Group: group.name}, seedAddresses(group))
			config.resolver.Persist(nodeHost.Disk())
			config.resolver.Register(config.handlers)
			nodeHost.Go(func() { config.resolver.Run(monotonic.Second) })
			opened, err := group.open(proc, config)
			proc.member = opened
			return config.handlers, err
		})
		if folders != nil {
			fillDisk(t, proc.node.Disk, folders[index])
		}
		started.processes = append(started.processes, proc)
	}
	for _, proc := range started.processes {
		started.world.Start(proc.node)
	}
	t.Cleanup(started.world.Close)
	return started
}

func seedAddresses(group storedGroup) (seeds []string) {
	for _, name := range memberNames {
		seeds = append(seeds, name+":"+group.name)
	}
	return seeds
}

func fillDisk(t *testing.T, disk wal.Disk, files folder) {
	t.Helper()
	for name, content := range files {
		file, err := disk.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(file.WriteAt(content, 0), file.Sync(), disk.SyncDirectory()); err != nil {
			t.Fatal(err)
		}
	}
}

// readDisk returns the group's files on a member's disk.
func readDisk(t *testing.T, group storedGroup, disk wal.Disk) folder {
	t.Helper()
	files := folder{}
	for _, name := range group.files {
		file, err := disk.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		content, err := file.ReadAll()
		if err != nil {
			t.Fatal(err)
		}
		files[name] = content
	}
	return files
}

// advance runs the world for a duration of simulated time.
func (cluster *cluster) advance(duration monotonic.Micros) {
	cluster.world.Run(cluster.world.Now() + duration)
}

// primary returns the process that serves as the group's primary, or nil if none does.
func (cluster *cluster) primary() *process {
	index := slices.IndexFunc(cluster.processes, func(proc *process) bool {
		return proc.node.Up() && proc.member != nil && proc.member.Serving()
	})
	if index < 0 {
		return nil
	}
	return cluster.processes[index]
}

const (
	// electionTimeout is how long a group may take until it has a primary that serves.
	electionTimeout = 30 * monotonic.Second
	// taskTimeout is how long a task on the primary may take.
	taskTimeout = 30 * monotonic.Second
)

// onPrimary waits for a primary and runs a task on it, in simulated time. It returns within a simulated millisecond after the task's end.
func (cluster *cluster) onPrimary(t *testing.T, task func(primary *process) error) {
	t.Helper()
	for waited := monotonic.Micros(0); cluster.primary() == nil; waited += 50 * monotonic.Millisecond {
		if waited > electionTimeout {
			t.Fatalf("no primary serves; panic: %v; stopped: %v", cluster.world.Panicked, cluster.stopped)
		}
		cluster.advance(50 * monotonic.Millisecond)
	}
	primary, err, ended := cluster.primary(), error(nil), false
	primary.nodeHost.Go(func() { err, ended = task(primary), true })
	for began := cluster.world.Now(); !ended; cluster.advance(monotonic.Millisecond) {
		if cluster.world.Now()-began > taskTimeout || cluster.world.Panicked != nil {
			t.Fatalf("the task does not end; panic: %v; stopped: %v", cluster.world.Panicked, cluster.stopped)
		}
	}
	if err != nil {
		t.Fatal(fmt.Errorf("%s: %w", primary.node.Name, err))
	}
}
