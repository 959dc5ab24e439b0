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
	Program string
	Name    string
	Zone    string
	Host    string // its own loopback number
	Listen  string
	Peer    string // where others reach it, through its relay if there is one
	Desk    string
	Callers string
	Folder  string

	lock    sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	killed  bool // this life was ended without a warning
	// Plan is told of each planned stop's begin; what it gives, of its end.
	Plan    func(what string) func()
	Started time.Time
	// Leaping lets its clock be moved, from the next start on.
	Leaping bool
	// Linger is what its disk takes longer for each sync, from the next start on.
	Linger time.Duration
}

// Fleet is all of them.
type Fleet struct {
	Layout      layout.Layout
	Folder      string
	Binaries    string
	Sorters     []*Process
	Postmasters []*Process
	Carriers    []*Process
	Relays      *relay.Hub
	Level       string
	Choice      string
	base        int
}

// New lays out a fleet. base is the second part of its loopback numbers, so that fleets don't meet.
func New(chosen layout.Layout, folder, binaries string, base int, relays bool, choice, level string) (*Fleet, error) {
	fleet := &Fleet{Layout: chosen, Folder: folder, Binaries: binaries, Level: level, Choice: choice, base: base}
	if relays {
		fleet.Relays = relay.NewHub()
	}
	for index := range chosen.Cores {
		fleet.Sorters = append(fleet.Sorters, fleet.process("registry", index, 100+index, 7100))
		fleet.Postmasters = append(fleet.Postmasters, fleet.process("configstore", index, 100+index, 7200))
	}
	for index := range chosen.Carriers {
		fleet.Carriers = append(fleet.Carriers, fleet.process("proxy", index, 1+index, 7300))
	}
	for _, process := range fleet.All() {
		if err := fleet.link(process); err != nil {
			return nil, err
		}
	}
	for _, process := range fleet.All() {
		if err := fleet.settings(process); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// Host is the loopback number of a machine.
func (fleet *Fleet) Host(machine int) string { return fmt.Sprintf("127.%d.0.%d", fleet.base, machine) }

func (fleet *Fleet) process(program string, index, machine, port int) *Process {
	host := fleet.Host(machine)
	name := fmt.Sprintf("%s-%d", program, index+1)
	process := &Process{Program: program, Name: name, Zone: fleet.Layout.Zone(index), Host: host,
		Listen: fmt.Sprintf("%s:%d", host, port), Desk: fmt.Sprintf("%s:%d", host, port+1), Folder: filepath.Join(fleet.Folder, name)}
	process.Peer = process.Listen
	if program == "proxy" {
		process.Callers = fmt.Sprintf("%s:%d", host, port+2)
	}
	return process
}

func (fleet *Fleet) link(process *Process) error {
	if fleet.Relays == nil {
		return nil
	}
	_, port, _ := net.SplitHostPort(process.Listen)
	process.Peer = fmt.Sprintf("%s:1%s", process.Host, port)
	return fleet.Relays.Add(process.Host, process.Peer, process.Listen)
}

// All lists every process, the core first.
func (fleet *Fleet) All() []*Process {
	return append(fleet.Core(), fleet.Carriers...)
}

// Core lists the core's processes.
func (fleet *Fleet) Core() []*Process { return slices.Concat(fleet.Postmasters, fleet.Sorters) }

// Doors lists the carriers that callers may use.
func (fleet *Fleet) Doors() []*Process {
	if fleet.Layout.Apart > 0 {
		return fleet.Carriers[:fleet.Layout.Apart]
	}
	return fleet.Carriers
}

// Move gives a process that is down another host. Its seeds, and everybody else's, stay as they were.
func (fleet *Fleet) Move(process *Process, machine int) error {
	host := fleet.Host(machine)
	_, port, _ := net.SplitHostPort(process.Listen)
	_, desk, _ := net.SplitHostPort(process.Desk)
	process.Host, process.Listen, process.Desk = host, host+":"+port, host+":"+desk
	process.Peer = process.Listen
	if err := fleet.link(process); err != nil {
		return err
	}
	return fleet.settings(process)
}

// Slow makes a process's disk slow, or well again, from its next start on.
func (fleet *Fleet) Slow(process *Process, linger time.Duration) error {
	process.Linger = linger
	return fleet.settings(process)
}

// Loosen lets a process's clock be moved, from its next start on.
func (fleet *Fleet) Loosen(process *Process) error {
	process.Leaping = true
	return fleet.settings(process)
}

func (process *Process) clock() string { return filepath.Join(process.Folder, "clock") }

// Leap moves a running process's clock.
func (process *Process) Leap(span time.Duration) error {
	if err := os.WriteFile(process.clock(), []byte(fmt.Sprint(span.Microseconds())), 0o644); err != nil {
		return err
	}
	process.Signal(syscall.SIGUSR1)
	return nil
}

// Data is the process's data folder.
func (process *Process) Data() string { return filepath.Join(process.Folder, "data") }

// Fill bounds the length of the files that a running process may write, so that it finds its disk full; Empty lifts that.
func (process *Process) Fill(longest uint64) error {
	return process.limit(func(limit *unix.Rlimit) { limit.Cur = longest })
}

// Empty ends what Fill began.
func (process *Process) Empty() error {
	return process.limit(func(limit *unix.Rlimit) { limit.Cur = limit.Max })
}

func (process *Process) limit(change func(limit *unix.Rlimit)) error {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command == nil || process.command.Process == nil {
		return fmt.Errorf("%s doesn't run", process.Name)
	}
	var limit unix.Rlimit
	if err := unix.Prlimit(process.command.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	change(&limit)
	return unix.Prlimit(process.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// Damage flips a byte in the middle of a process's record file, as a bad sector would. The process must be down.
func (process *Process) Damage() error {
	names, err := filepath.Glob(filepath.Join(process.Data(), "*.journal"))
	if err != nil || len(names) == 0 {
		return fmt.Errorf("%s has no record file: %w", process.Name, err)
	}
	content, err := os.ReadFile(names[0])
	if err != nil {
		return err
	}
	content[len(content)/2] ^= 0x55
	return os.WriteFile(names[0], content, 0o640)
}

func (fleet *Fleet) settings(process *Process) error {
	seeds := []string{}
	for index := 0; index < 3 && index < len(fleet.Sorters); index++ {
		if index%2 == 0 {
			seeds = append(seeds, fleet.Sorters[index].Peer)
		} else {
			seeds = append(seeds, fleet.Postmasters[index].Peer)
		}
	}
	settings := map[string]any{"name": process.Name, "domain": process.Zone, "listen": process.Listen, "advertise": process.Peer,
		"seeds": seeds, "desk": process.Desk, "log": fleet.Level}
	if process.Leaping {
		settings["rehearse-clock"] = process.clock()
	}
	if process.Program == "proxy" {
		settings["callers"] = process.Callers
		if fleet.Choice != "near" { // a default is left out, so that an earlier build that doesn't know it starts too
			settings["choice"] = fleet.Choice
		}
	} else {
		group := fleet.Sorters
		if process.Program == "configstore" {
			group = fleet.Postmasters
		}
		voters := []string{}
		for _, member := range group {
			voters = append(voters, member.Name)
		}
		settings["voters"], settings["data"] = voters, process.Data()
		if process.Linger > 0 {
			settings["rehearse-sync"] = process.Linger.String()
		}
	}
	if err := os.MkdirAll(process.Folder, 0o755); err != nil {
		return err
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(process.Folder, "env.json"), content, 0o644)
}

// Start starts a process from a folder of binaries, the fleet's own when it's empty.
func (fleet *Fleet) Start(process *Process, binaries string) error {
	if binaries == "" {
		binaries = fleet.Binaries
	}
	process.lock.Lock()
	defer process.lock.Unlock()
	log, err := os.OpenFile(filepath.Join(process.Folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(program(binaries, process.Program), "--env", filepath.Join(process.Folder, "env.json"))
	command.Stderr, command.Stdout = log, log
	// A fleet must not outlive its depot.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	process.command, process.ended, process.killed, process.Started = command, ended, false, time.Now()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// StartAll starts everything.
func (fleet *Fleet) StartAll() error {
	for _, process := range fleet.All() {
		if err := fleet.Start(process, ""); err != nil {
			return fmt.Errorf("%s: %w", process.Name, err)
		}
	}
	return nil
}

// Signal sends a signal, to this process alone. One that kills counts as an end without a warning.
func (process *Process) Signal(signal syscall.Signal) {
	process.lock.Lock()
	process.killed = process.killed || signal == syscall.SIGKILL
	process.lock.Unlock()
	process.send(signal)
}

func (process *Process) send(signal syscall.Signal) {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command != nil && process.command.Process != nil {
		_ = process.command.Process.Signal(signal)
	}
}

// Kill ends it at once, without a warning, and waits.
func (process *Process) Kill() {
	process.Signal(syscall.SIGKILL)
	process.end()
}

func (process *Process) end() {
	process.send(syscall.SIGCONT)
	process.send(syscall.SIGKILL)
	process.Wait(10 * time.Second)
}

// Stop begins a planned stop and waits for its end, at most patience; then it's killed, and what that drops was dropped by
// a planned stop.
func (process *Process) Stop(patience time.Duration) bool {
	if process.Plan != nil {
		defer process.Plan("planned stop of " + process.Name)()
	}
	process.Signal(syscall.SIGTERM)
	if process.Wait(patience) {
		return true
	}
	process.end()
	return false
}

// Killed tells whether this life was ended, or cut short, without a warning.
func (process *Process) Killed() bool {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.killed
}

// Wait waits for the process's end.
func (process *Process) Wait(patience time.Duration) bool {
	process.lock.Lock()
	ended := process.ended
	process.lock.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(patience):
		return false
	}
}

// Age is how long ago it was started last.
func (process *Process) Age() time.Duration {
	process.lock.Lock()
	defer process.lock.Unlock()
	return time.Since(process.Started)
}

// Running tells whether it runs.
func (process *Process) Running() bool {
	process.lock.Lock()
	ended := process.ended
	process.lock.Unlock()
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

// Identity is the number by which the system knows the running process, zero before its first start.
func (process *Process) Identity() int {
	process.lock.Lock()
	defer process.lock.Unlock()
	if process.command == nil || process.command.Process == nil {
		return 0
	}
	return process.command.Process.Pid
}

// Processor gives the processor time used so far, in microseconds.
func (process *Process) Processor() int64 {
	process.lock.Lock()
	command := process.command
	process.lock.Unlock()
	if command == nil || command.Process == nil {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", command.Process.Pid))
	if err != nil {
		return 0
	}
	var user, system int64
	fields := splitStat(string(content))
	if len(fields) > 12 {
		_, _ = fmt.Sscan(fields[11], &user)
		_, _ = fmt.Sscan(fields[12], &system)
	}
	return (user + system) * 10000 // ticks of a hundredth of a second
}

// splitStat gives the fields behind the program's name, which may hold spaces.
func splitStat(content string) []string {
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

// End kills everything that was started.
func (fleet *Fleet) End() {
	var waiting sync.WaitGroup
	for _, process := range fleet.All() {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			process.Kill()
		}()
	}
	waiting.Wait()
	if fleet.Relays != nil {
		fleet.Relays.Close()
	}
}

var prober = &http.Client{Timeout: time.Second}

// Ready asks a process whether it's ready.
func (process *Process) Ready() bool {
	path := "/ready"
	if process.Program == "registry" {
		path = "/live"
	}
	response, err := prober.Get("http://" + process.Desk + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Await waits until every given process is ready, at most patience.
func Await(processes []*Process, patience time.Duration) error {
	cutoff := time.Now().Add(patience)
	for _, process := range processes {
		for !process.Ready() {
			if !process.Running() {
				return fmt.Errorf("%s ended; see %s", process.Name, filepath.Join(process.Folder, "log"))
			}
			if time.Now().After(cutoff) {
				return fmt.Errorf("%s is not ready after %v; see %s", process.Name, patience, filepath.Join(process.Folder, "log"))
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
