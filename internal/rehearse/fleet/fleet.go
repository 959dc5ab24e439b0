// Package fleet starts, stops, kills and freezes the real processes of a rehearsal and injects faults into them. Each host has its own
// loopback address.
package fleet

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"snowflow/internal/rehearse/layout"
	"snowflow/internal/rehearse/relay"
)

// The programs that a fleet runs.
const (
	ProxyProgram       = "proxy"
	RegistryProgram    = "registry"
	ConfigStoreProgram = "configstore"
)

// formerPrograms maps the programs to their names in builds from before they were renamed, which rehearsals of mixed versions also
// start.
var formerPrograms = map[string]string{ProxyProgram: "carrier", RegistryProgram: "sorter", ConfigStoreProgram: "postmaster"}

// Host numbers, the last octet of a host's address: proxies' hosts count from 1, control plane hosts from 100.
const (
	firstProxyHost        = 1
	firstControlPlaneHost = 100
)

// Ports on which each program listens for other processes of the mesh. The next higher port is for administration, and a proxy's port
// after that is for callers.
const (
	registryPort    = 7100
	configStorePort = 7200
	proxyPort       = 7300
)

// Options are the settings of a fleet.
type Options struct {
	Dir           string // has a subfolder for each process, with its settings, data and log
	BinaryDir     string // folder of the programs
	Subnet        int    // second octet of the loopback addresses, from 1 to 254; different for fleets that run at the same time
	UseRelays     bool   // connect the processes through relays, which can inject network faults
	LoadBalancing string // how proxies choose backends: near or uniform
	LogLevel      string // lowest level that the processes log
}

// Fleet holds the processes of one rehearsal.
type Fleet struct {
	Options
	Layout       layout.Layout
	Registries   []*Process
	ConfigStores []*Process
	Proxies      []*Process
	Relays       *relay.Hub // nil without relays
}

// New creates a fleet and writes the settings of its processes. It starts the relays but no process.
func New(deployment layout.Layout, options Options) (*Fleet, error) {
	f := &Fleet{Options: options, Layout: deployment}
	if options.UseRelays {
		f.Relays = relay.NewHub()
	}
	for index := range deployment.ControlPlaneHosts {
		f.Registries = append(f.Registries, f.newProcess(RegistryProgram, index, firstControlPlaneHost+index, registryPort))
		f.ConfigStores = append(f.ConfigStores, f.newProcess(ConfigStoreProgram, index, firstControlPlaneHost+index, configStorePort))
	}
	for index := range deployment.Proxies {
		f.Proxies = append(f.Proxies, f.newProcess(ProxyProgram, index, firstProxyHost+index, proxyPort))
	}
	for _, process := range f.All() {
		if err := f.addRelay(process); err != nil {
			f.closeRelays()
			return nil, err
		}
	}
	for _, process := range f.All() {
		if err := f.writeSettings(process); err != nil {
			f.closeRelays()
			return nil, err
		}
	}
	return f, nil
}

// HostAddress returns the loopback address of the host with the given number.
func (f *Fleet) HostAddress(host int) string { return fmt.Sprintf("127.%d.0.%d", f.Subnet, host) }

func (f *Fleet) newProcess(program string, index, hostNumber, port int) *Process {
	host := f.HostAddress(hostNumber)
	name := fmt.Sprintf("%s-%d", program, index+1)
	process := &Process{Program: program, Name: name, Zone: f.Layout.Zone(index), Host: host,
		ListenAddress: fmt.Sprintf("%s:%d", host, port), AdminAddress: fmt.Sprintf("%s:%d", host, port+1), Dir: filepath.Join(f.Dir, name)}
	process.PeerAddress = process.ListenAddress
	if program == ProxyProgram {
		process.CallerAddress = fmt.Sprintf("%s:%d", host, port+2)
	}
	return process
}

// addRelay starts a relay in front of a process's listener and makes it the address for its peers, if the fleet has relays.
func (f *Fleet) addRelay(process *Process) error {
	if f.Relays == nil {
		return nil
	}
	_, port, err := net.SplitHostPort(process.ListenAddress)
	if err != nil {
		return err
	}
	process.PeerAddress = fmt.Sprintf("%s:1%s", process.Host, port)
	return f.Relays.Add(process.Host, process.PeerAddress, process.ListenAddress)
}

// All lists all processes, those of the control plane first.
func (f *Fleet) All() []*Process { return append(f.ControlPlane(), f.Proxies...) }

// ControlPlane lists the processes of the control plane.
func (f *Fleet) ControlPlane() []*Process { return slices.Concat(f.ConfigStores, f.Registries) }

// GroupOf lists the members of a control plane process's replication group. It returns nil for a proxy.
func (f *Fleet) GroupOf(process *Process) []*Process {
	switch process.Program {
	case RegistryProgram:
		return f.Registries
	case ConfigStoreProgram:
		return f.ConfigStores
	}
	return nil
}

// CallerProxies lists the proxies to which callers send requests.
func (f *Fleet) CallerProxies() []*Process {
	if f.Layout.CallerProxies > 0 {
		return f.Proxies[:f.Layout.CallerProxies]
	}
	return f.Proxies
}

// Move assigns the address of another host to a process that is not running. The seed addresses in the other processes' settings stay as
// they were.
func (f *Fleet) Move(process *Process, hostNumber int) error {
	host := f.HostAddress(hostNumber)
	_, port, err := net.SplitHostPort(process.ListenAddress)
	if err != nil {
		return err
	}
	_, adminPort, err := net.SplitHostPort(process.AdminAddress)
	if err != nil {
		return err
	}
	process.Host, process.ListenAddress, process.AdminAddress = host, host+":"+port, host+":"+adminPort
	process.PeerAddress = process.ListenAddress
	if err := f.addRelay(process); err != nil {
		return err
	}
	return f.writeSettings(process)
}

// SetSyncDelay adds a delay to each disk sync of a process, from its next start on. Zero removes it.
func (f *Fleet) SetSyncDelay(process *Process, delay time.Duration) error {
	process.syncDelay = delay
	return f.writeSettings(process)
}

// AllowClockSteps lets StepClock change a process's clock, from its next start on.
func (f *Fleet) AllowClockSteps(process *Process) error {
	process.clockSteppable = true
	return f.writeSettings(process)
}

// Start starts a process with its program in binaryDir, or in the fleet's BinaryDir if binaryDir is empty.
func (f *Fleet) Start(process *Process, binaryDir string) error {
	if binaryDir == "" {
		binaryDir = f.BinaryDir
	}
	process.mu.Lock()
	defer process.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(process.Dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(programPath(binaryDir, process.Program), "--env", process.settingsFile())
	command.Stderr, command.Stdout = logFile, logFile
	// The fleet's processes must not outlive the rehearsal.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return err
	}
	ended := make(chan struct{})
	process.command, process.ended, process.killed, process.started = command, ended, false, time.Now()
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	return nil
}

// programPath returns the path of a program in a folder: under its present name, or under its former one if only that exists.
func programPath(binaryDir, program string) string {
	path := filepath.Join(binaryDir, program)
	if _, err := os.Stat(path); err == nil {
		return path
	}
	if former := filepath.Join(binaryDir, formerPrograms[program]); isFile(former) {
		return former
	}
	return path
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}

// StartAll starts all processes without waiting until they are ready.
func (f *Fleet) StartAll() error {
	for _, process := range f.All() {
		if err := f.Start(process, ""); err != nil {
			return fmt.Errorf("%s: %w", process.Name, err)
		}
	}
	return nil
}

// Close kills all processes and closes the relays.
func (f *Fleet) Close() {
	var kills sync.WaitGroup
	for _, process := range f.All() {
		kills.Add(1)
		go func() {
			defer kills.Done()
			process.Kill()
		}()
	}
	kills.Wait()
	f.closeRelays()
}

func (f *Fleet) closeRelays() {
	if f.Relays != nil {
		f.Relays.Close()
	}
}
