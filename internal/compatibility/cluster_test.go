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

// The members of a group are called so in the stored registers.
var memberNames = []string{"member-1", "member-2", "member-3"}

// A folder holds a member's files by name. The reserve, a megabyte without content, is not among them.
type folder map[string][]byte

// storedGroup is a core group: its files, and how its processes are opened.
type storedGroup struct {
	title       string // of the approved files
	name        string // by which the processes find one another
	files       []string
	compactFrom int64 // while the folders are written, so that they hold a snapshot and entries behind it
	open        func(process *process, config openConfig) (*replication.Member, error)
}

// openConfig is what the programs of both groups are opened with.
type openConfig struct {
	node     host.Host
	resolver *discovery.Resolver
	table    host.Handlers
	name     string
	adjust   func(*replication.Config)
}

var registryGroup = storedGroup{title: "registry", name: registry.Group, files: []string{"sorter.register", "sorter.journal", "addresses"}, compactFrom: 1500, open: openRegistry}

var configStoreGroup = storedGroup{title: "configstore", name: configstore.Group, files: []string{"postmaster.register", "postmaster.journal", "addresses"}, compactFrom: 900, open: openConfigStore}

func openRegistry(process *process, config openConfig) (*replication.Member, error) {
	opened, err := registry.Open(registry.Config{Host: config.node, Resolver: config.resolver, Name: config.name, Voters: memberNames, Bootstrap: true, ConfigureReplication: config.adjust})
	if err != nil {
		return nil, err
	}
	process.registry = opened
	opened.Register(config.table)
	opened.Start()
	return opened.Member, nil
}

func openConfigStore(process *process, config openConfig) (*replication.Member, error) {
	opened, err := configstore.Open(configstore.Options{Host: config.node, Resolver: config.resolver, Name: config.name, Voters: memberNames, Bootstrap: true, AdjustReplication: config.adjust})
	if err != nil {
		return nil, err
	}
	process.configStore = opened
	opened.Register(config.table)
	opened.Start()
	return opened.Member, nil
}

// process is one member's process; registry or configStore is nil.
type process struct {
	node        *world.Node
	nodeHost    *world.Host
	member      *replication.Member
	registry    *registry.Registry
	configStore *configstore.Server
}

// cluster is a group's three members in a simulated world, which is at the mercy of the test alone.
type cluster struct {
	world     *world.World
	processes []*process
	stopped   []string // why processes ended by themselves
}

// startCluster starts a group's members on copies of folders, or on empty disks for nil.
func startCluster(t *testing.T, group storedGroup, folders []folder, compactFrom int64) *cluster {
	t.Helper()
	started := &cluster{world: world.New(1)}
	started.world.OnStop = func(node *world.Node, why string) { started.stopped = append(started.stopped, node.Name+": "+why) }
	for index, name := range memberNames {
		one := &process{}
		one.node = started.world.Add(name, name+":"+group.name, name, func(nodeHost *world.Host) (host.Handlers, error) {
			config := openConfig{node: nodeHost, name: name, table: host.Handlers{}, adjust: func(env *replication.Config) { env.CompactionThreshold = compactFrom }}
			one.nodeHost = nodeHost
			config.resolver = discovery.New(nodeHost, &wire.PeerAddress{Name: name, Address: nodeHost.Node().Address, Group: group.name}, seedAddresses(group))
			config.resolver.Persist(nodeHost.Disk())
			config.resolver.Register(config.table)
			nodeHost.Go(func() { config.resolver.Run(monotonic.Second) })
			member, err := group.open(one, config)
			one.member = member
			return config.table, err
		})
		if folders != nil {
			fillDisk(t, one.node.Disk, folders[index])
		}
		started.processes = append(started.processes, one)
	}
	for _, one := range started.processes {
		started.world.Start(one.node)
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

// readDisk gives the group's files of a member's disk.
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

// pass lets simulated time pass.
func (cluster *cluster) advance(duration monotonic.Micros) {
	cluster.world.Run(cluster.world.Now() + duration)
}

// leader gives the process that answers as its group's leader, or nil.
func (cluster *cluster) leader() *process {
	index := slices.IndexFunc(cluster.processes, func(one *process) bool {
		return one.node.Up() && one.member != nil && one.member.Serving()
	})
	if index < 0 {
		return nil
	}
	return cluster.processes[index]
}

const (
	// leaderWithin bounds how long a group may take to have a leader that answers.
	leaderWithin = 30 * monotonic.Second
	// workWithin bounds how long a task on the leader may take.
	workWithin = 30 * monotonic.Second
)

// onLeader runs a task on the leader, in simulated time, and stops the world within a millisecond after it ended.
func (cluster *cluster) onLeader(t *testing.T, work func(leader *process) error) {
	t.Helper()
	for waited := monotonic.Micros(0); cluster.leader() == nil; waited += 50 * monotonic.Millisecond {
		if waited > leaderWithin {
			t.Fatalf("no leader answers; %v; stopped: %v", cluster.world.Panicked, cluster.stopped)
		}
		cluster.advance(50 * monotonic.Millisecond)
	}
	leader, err, ended := cluster.leader(), error(nil), false
	leader.nodeHost.Go(func() { err, ended = work(leader), true })
	for began := cluster.world.Now(); !ended; cluster.advance(monotonic.Millisecond) {
		if cluster.world.Now()-began > workWithin || cluster.world.Panicked != nil {
			t.Fatalf("the task does not end; %v; stopped: %v", cluster.world.Panicked, cluster.stopped)
		}
	}
	if err != nil {
		t.Fatal(fmt.Errorf("%s: %w", leader.node.Name, err))
	}
}
