// Package fleet starts, stops, kills and freezes the real processes of a rehearsal, each host on a loopback address of its own.
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

// formerPrograms are the programs' names in builds from before they were renamed. Rehearsals of mixed versions start those too.
var formerPrograms = map[string]string{ProxyProgram: "carrier", RegistryProgram: "sorter", ConfigStoreProgram: "postmaster"}

// Hosts are numbered within the fleet's subnet: proxies from 1 on, control plane hosts from 100 on.
const (
	firstProxyHost        = 1
	firstControlPlaneHost = 100
)

// Ports of each program: its own for the mesh's other processes, the next one for administration, the one after for callers.
const (
	registryPort    = 7100
	configStorePort = 7200
	proxyPort       = 7300
)

// Options are the settings of a fleet.
type Options struct {
	Dir           string // where each process gets a folder for its settings, data and log
	BinaryDir     string // where the programs are
	Subnet        int    // second part of the loopback addresses, from 1 to 254, so that fleets do not meet
	UseRelays     bool   // connect the processes through relays
	LoadBalancing string // how proxies choose backends: near or uniform
	LogLevel      string // least level that the processes log
}

// Fleet is the processes of one rehearsal.
type Fleet struct {
	Options
	Layout       layout.Layout
	Registries   []*Process
	ConfigStores []*Process
	Proxies      []*Process
	Relays       *relay.Hub // nil without relays
}

// New lays out a fleet and writes the settings of its processes. It starts the relays but no process.
func New(chosen layout.Layout, options Options) (*Fleet, error) {
	f := &Fleet{Options: options, Layout: chosen}
	if options.UseRelays {
		f.Relays = relay.NewHub()
	}
	for index := range chosen.ControlPlaneHosts {
		f.Registries = append(f.Registries, f.newProcess(RegistryProgram, index, firstControlPlaneHost+index, registryPort))
		f.ConfigStores = append(f.ConfigStores, f.newProcess(ConfigStoreProgram, index, firstControlPlaneHost+index, configStorePort))
	}
	for index := range chosen.Proxies {
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

// HostAddress is the loopback address of a host, by its number.
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

// addRelay puts a relay before a process's listener, if the fleet has relays.
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

// All lists every process, the control plane first.
func (f *Fleet) All() []*Process { return append(f.ControlPlane(), f.Proxies...) }

// ControlPlane lists the control plane's processes.
func (f *Fleet) ControlPlane() []*Process { return slices.Concat(f.ConfigStores, f.Registries) }

// GroupOf lists the members of a control plane process's group; nil for a proxy.
func (f *Fleet) GroupOf(process *Process) []*Process {
	switch process.Program {
	case RegistryProgram:
		return f.Registries
	case ConfigStoreProgram:
		return f.ConfigStores
	}
	return nil
}

// CallerProxies lists the proxies that callers send to.
func (f *Fleet) CallerProxies() []*Process {
	if f.Layout.CallerProxies > 0 {
		return f.Proxies[:f.Layout.CallerProxies]
	}
	return f.Proxies
}

// Move gives a process that is down the address of another host. The seeds of all processes stay as they were.
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

// SetSyncDelay makes each sync of a process's disk take longer, from its next start on. Zero makes it normal.
func (f *Fleet) SetSyncDelay(process *Process, delay time.Duration) error {
	process.syncDelay = delay
	return f.writeSettings(process)
}

// AllowClockSteps lets StepClock move a process's clock, from its next start on.
func (f *Fleet) AllowClockSteps(process *Process) error {
	process.clockSteppable = true
	return f.writeSettings(process)
}

// Start starts a process from a folder of programs; empty for the fleet's own.
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
	// A fleet must not outlive the rehearsal.
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

// programPath is the path of a program in a folder, under its present name or, where only that is there, its former one.
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

// StartAll starts all processes, without waiting until they are ready.
func (f *Fleet) StartAll() error {
	for _, process := range f.All() {
		if err := f.Start(process, ""); err != nil {
			return fmt.Errorf("%s: %w", process.Name, err)
		}
	}
	return nil
}

// Close kills all processes and ends the relays.
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
