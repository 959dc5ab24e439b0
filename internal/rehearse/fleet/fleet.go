// Package fleet starts, stops, kills and freezes the real processes of a rehearsal, each on a loopback number of its own.
package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"snowflow/internal/rehearse/layout"
	"snowflow/internal/rehearse/relay"
)

// Process is one daemon and its place.
type Process struct {
	Program       string
	Name          string
	Zone          string
	Host          string // its own loopback number
	ListenAddress string
	PeerAddress   string // where others reach it, through its relay if there is one
	AdminAddress  string
	CallerAddress string
	Dir           string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	killed  bool // this life was ended without a warning
	// OnPlannedStop is told of each planned stop's begin; what it gives, of its end.
	OnPlannedStop func(what string) func()
	Started       time.Time
	// ClockSteppable lets its clock be moved, from the next start on.
	ClockSteppable bool
	// SyncDelay is what its disk takes longer for each sync, from the next start on.
	SyncDelay time.Duration
}

// Fleet is all of them.
type Fleet struct {
	Layout        layout.Layout
	Dir           string
	BinaryDir     string
	Registries    []*Process
	ConfigStores  []*Process
	Proxies       []*Process
	Relays        *relay.Hub
	LogLevel      string
	LoadBalancing string
	subnet        int
}

// New lays out a fleet. base is the second part of its loopback numbers, so that fleets don't meet.
func New(chosen layout.Layout, dir, binaryDir string, subnet int, relays bool, loadBalancing, logLevel string) (*Fleet, error) {
	fleet := &Fleet{Layout: chosen, Dir: dir, BinaryDir: binaryDir, LogLevel: logLevel, LoadBalancing: loadBalancing, subnet: subnet}
	if relays {
		fleet.Relays = relay.NewHub()
	}
	for index := range chosen.CoreHosts {
		fleet.Registries = append(fleet.Registries, fleet.newProcess("registry", index, 100+index, 7100))
		fleet.ConfigStores = append(fleet.ConfigStores, fleet.newProcess("configstore", index, 100+index, 7200))
	}
	for index := range chosen.Proxies {
		fleet.Proxies = append(fleet.Proxies, fleet.newProcess("proxy", index, 1+index, 7300))
	}
	for _, process := range fleet.All() {
		if err := fleet.addRelay(process); err != nil {
			return nil, err
		}
	}
	for _, process := range fleet.All() {
		if err := fleet.writeSettings(process); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// Host is the loopback number of a machine.
func (f *Fleet) Host(machine int) string { return fmt.Sprintf("127.%d.0.%d", f.subnet, machine) }

func (f *Fleet) newProcess(program string, index, machine, port int) *Process {
	host := f.Host(machine)
	name := fmt.Sprintf("%s-%d", program, index+1)
	process := &Process{Program: program, Name: name, Zone: f.Layout.Zone(index), Host: host,
		ListenAddress: fmt.Sprintf("%s:%d", host, port), AdminAddress: fmt.Sprintf("%s:%d", host, port+1), Dir: filepath.Join(f.Dir, name)}
	process.PeerAddress = process.ListenAddress
	if program == "proxy" {
		process.CallerAddress = fmt.Sprintf("%s:%d", host, port+2)
	}
	return process
}

func (f *Fleet) addRelay(process *Process) error {
	if f.Relays == nil {
		return nil
	}
	_, port, _ := net.SplitHostPort(process.ListenAddress)
	process.PeerAddress = fmt.Sprintf("%s:1%s", process.Host, port)
	return f.Relays.Add(process.Host, process.PeerAddress, process.ListenAddress)
}

// All lists every process, the core first.
func (f *Fleet) All() []*Process {
	return append(f.Core(), f.Proxies...)
}

// Core lists the core's processes.
func (f *Fleet) Core() []*Process { return slices.Concat(f.ConfigStores, f.Registries) }

// CallerProxies lists the carriers that callers may use.
func (f *Fleet) CallerProxies() []*Process {
	if f.Layout.CallerProxies > 0 {
		return f.Proxies[:f.Layout.CallerProxies]
	}
	return f.Proxies
}

// Move gives a process that is down another host. Its seeds, and everybody else's, stay as they were.
func (f *Fleet) Move(process *Process, machine int) error {
	host := f.Host(machine)
	_, port, _ := net.SplitHostPort(process.ListenAddress)
	_, adminPort, _ := net.SplitHostPort(process.AdminAddress)
	process.Host, process.ListenAddress, process.AdminAddress = host, host+":"+port, host+":"+adminPort
	process.PeerAddress = process.ListenAddress
	if err := f.addRelay(process); err != nil {
		return err
	}
	return f.writeSettings(process)
}

// SetSyncDelay makes a process's disk slow, or well again, from its next start on.
func (f *Fleet) SetSyncDelay(process *Process, delay time.Duration) error {
	process.SyncDelay = delay
	return f.writeSettings(process)
}

// AllowClockSteps lets a process's clock be moved, from its next start on.
func (f *Fleet) AllowClockSteps(process *Process) error {
	process.ClockSteppable = true
	return f.writeSettings(process)
}

func (p *Process) clockFile() string { return filepath.Join(p.Dir, "clock") }

// StepClock moves a running process's clock.
func (p *Process) StepClock(step time.Duration) error {
	if err := os.WriteFile(p.clockFile(), []byte(fmt.Sprint(step.Microseconds())), 0o644); err != nil {
		return err
	}
	p.Signal(syscall.SIGUSR1)
	return nil
}

// DataDir is the process's data folder.
func (p *Process) DataDir() string { return filepath.Join(p.Dir, "data") }

// LimitFileSize bounds the length of the files that a running process may write, so that it finds its disk full; Empty lifts that.
func (p *Process) LimitFileSize(maxBytes uint64) error {
	return p.changeFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = maxBytes })
}

// LiftFileSizeLimit ends what Fill began.
func (p *Process) LiftFileSizeLimit() error {
	return p.changeFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = limit.Max })
}

func (p *Process) changeFileSizeLimit(change func(limit *unix.Rlimit)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return fmt.Errorf("%s doesn't run", p.Name)
	}
	var limit unix.Rlimit
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	change(&limit)
	return unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// CorruptRecords flips a byte in the middle of a process's record file, as a bad sector would. The process must be down.
func (p *Process) CorruptRecords() error {
	names, err := filepath.Glob(filepath.Join(p.DataDir(), "*.journal"))
	if err != nil || len(names) == 0 {
		return fmt.Errorf("%s has no record file: %w", p.Name, err)
	}
	content, err := os.ReadFile(names[0])
	if err != nil {
		return err
	}
	content[len(content)/2] ^= 0x55
	return os.WriteFile(names[0], content, 0o640)
}

func (f *Fleet) writeSettings(process *Process) error {
	seeds := []string{}
	for index := 0; index < 3 && index < len(f.Registries); index++ {
		if index%2 == 0 {
			seeds = append(seeds, f.Registries[index].PeerAddress)
		} else {
			seeds = append(seeds, f.ConfigStores[index].PeerAddress)
		}
	}
	settings := map[string]any{"name": process.Name, "domain": process.Zone, "listen": process.ListenAddress, "advertise": process.PeerAddress,
		"seeds": seeds, "desk": process.AdminAddress, "log": f.LogLevel}
	if process.ClockSteppable {
		settings["rehearse-clock"] = process.clockFile()
	}
	if process.Program == "proxy" {
		settings["callers"] = process.CallerAddress
		if f.LoadBalancing != "near" { // a default is left out, so that an earlier build that doesn't know it starts too
			settings["choice"] = f.LoadBalancing
		}
	} else {
		group := f.Registries
		if process.Program == "configstore" {
			group = f.ConfigStores
		}
		voters := []string{}
		for _, member := range group {
			voters = append(voters, member.Name)
		}
		settings["voters"], settings["data"] = voters, process.DataDir()
		if process.SyncDelay > 0 {
			settings["rehearse-sync"] = process.SyncDelay.String()
		}
	}
	if err := os.MkdirAll(process.Dir, 0o755); err != nil {
		return err
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(process.Dir, "env.json"), content, 0o644)
}

// Start starts a process from a folder of binaries, the fleet's own when it's empty.
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
	command := exec.Command(program(binaryDir, process.Program), "--env", filepath.Join(process.Dir, "env.json"))
	command.Stderr, command.Stdout = logFile, logFile
	// A fleet must not outlive its depot.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return err
	}
	ended := make(chan struct{})
	process.command, process.ended, process.killed, process.Started = command, ended, false, time.Now()
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	return nil
}

// StartAll starts everything.
func (f *Fleet) StartAll() error {
	for _, process := range f.All() {
		if err := f.Start(process, ""); err != nil {
			return fmt.Errorf("%s: %w", process.Name, err)
		}
	}
	return nil
}

// Signal sends a signal, to this process alone. One that kills counts as an end without a warning.
func (p *Process) Signal(signal syscall.Signal) {
	p.mu.Lock()
	p.killed = p.killed || signal == syscall.SIGKILL
	p.mu.Unlock()
	p.sendSignal(signal)
}

func (p *Process) sendSignal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Kill ends it at once, without a warning, and waits.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.terminate()
}

func (p *Process) terminate() {
	p.sendSignal(syscall.SIGCONT)
	p.sendSignal(syscall.SIGKILL)
	p.Wait(10 * time.Second)
}

// Stop begins a planned stop and waits for its end, at most patience; then it's killed, and what that drops was dropped by
// a planned stop.
func (p *Process) Stop(timeout time.Duration) bool {
	if p.OnPlannedStop != nil {
		defer p.OnPlannedStop("planned stop of " + p.Name)()
	}
	p.Signal(syscall.SIGTERM)
	if p.Wait(timeout) {
		return true
	}
	p.terminate()
	return false
}

// Killed tells whether this life was ended, or cut short, without a warning.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Wait waits for the process's end.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Uptime is how long ago it was started last.
func (p *Process) Uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.Started)
}

// Running tells whether it runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// PID is the number by which the system knows the running process, zero before its first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// CPUTime gives the processor time used so far, in microseconds.
func (p *Process) CPUTime() int64 {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	if command == nil || command.Process == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
	if err != nil {
		return 0
	}
	var user, system int64
	fields := splitStatFields(string(content))
	if len(fields) > 12 {
		_, _ = fmt.Sscan(fields[11], &user)
		_, _ = fmt.Sscan(fields[12], &system)
	}
	return (user + system) * 10000 // ticks of a hundredth of a second
}

// splitStatFields gives the fields behind the program's name, which may hold spaces.
func splitStatFields(content string) []string {
	for index := len(content) - 1; index >= 0; index-- {
		if content[index] == ')' {
			var fields []string
			start := index + 2
			for position := start; position <= len(content); position++ {
				if position == len(content) || content[position] == ' ' {
					fields = append(fields, content[start:position])
					start = position + 1
				}
			}
			return fields
		}
	}
	return nil
}

// Close kills everything that was started.
func (f *Fleet) Close() {
	var stopping sync.WaitGroup
	for _, process := range f.All() {
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			process.Kill()
		}()
	}
	stopping.Wait()
	if f.Relays != nil {
		f.Relays.Close()
	}
}

var healthClient = &http.Client{Timeout: time.Second}

// Ready asks a process whether it's ready.
func (p *Process) Ready() bool {
	path := "/ready"
	if p.Program == "registry" {
		path = "/live"
	}
	response, err := healthClient.Get("http://" + p.AdminAddress + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until every given process is ready, at most patience.
func AwaitReady(processes []*Process, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range processes {
		for !process.Ready() {
			if !process.Running() {
				return fmt.Errorf("%s ended; see %s", process.Name, filepath.Join(process.Dir, "log"))
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v; see %s", process.Name, timeout, filepath.Join(process.Dir, "log"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// earlierNames are what builds before the programs were renamed call them; rehearsals of mixed versions start those too.
var earlierNames = map[string]string{"proxy": "carrier", "registry": "sorter", "configstore": "postmaster"}

// program is the path of a program in a folder of binaries, under its present name or its earlier one.
func program(binaries, name string) string {
	path := filepath.Join(binaries, name)
	if _, err := os.Stat(path); err != nil {
		if earlier := filepath.Join(binaries, earlierNames[name]); isFile(earlier) {
			return earlier
		}
	}
	return path
}

func isFile(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular()
}
