package fleet

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// killTimeout bounds the wait for the end of a process after it was killed.
const killTimeout = 10 * time.Second

// Process is one process of the fleet. It may be started and ended many times.
type Process struct {
	Program       string
	Name          string
	Zone          string
	Host          string // its loopback address
	ListenAddress string
	PeerAddress   string // where other processes reach it: its relay, or ListenAddress without relays
	AdminAddress  string
	CallerAddress string // empty for a control plane process
	Dir           string // its settings, data and log
	// OnPlannedStop is called with a description when a planned stop begins, and what it returns when that ends. Nil for nothing.
	OnPlannedStop func(what string) (end func())

	clockSteppable bool          // whether StepClock works, from the next start on
	syncDelay      time.Duration // how much longer its disk takes for a sync, from the next start on

	mu      sync.Mutex // guards all below
	command *exec.Cmd  // nil before the first start
	ended   chan struct{}
	killed  bool // whether it was killed since its last start
	started time.Time
}

// Signal sends a signal to this process alone. After SIGKILL it counts as killed.
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
		_ = p.command.Process.Signal(signal) // one that has ended needs none
	}
}

// Kill ends the process at once, without a planned stop, and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.terminate()
}

// terminate ends the process, also one that is frozen, without counting it as killed.
func (p *Process) terminate() {
	p.sendSignal(syscall.SIGCONT)
	p.sendSignal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// Stop begins a planned stop and waits for the process's end. After the timeout it ends the process and gives false; requests that
// this drops were dropped by a planned stop.
func (p *Process) Stop(timeout time.Duration) bool {
	if p.OnPlannedStop != nil {
		end := p.OnPlannedStop("planned stop of " + p.Name)
		defer end()
	}
	p.Signal(syscall.SIGTERM)
	if p.Wait(timeout) {
		return true
	}
	p.terminate()
	return false
}

// Killed reports whether the process was killed since its last start.
func (p *Process) Killed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// endedChannel is closed once the process has ended; nil before its first start.
func (p *Process) endedChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Wait waits for the process's end, and gives false if the timeout comes first.
func (p *Process) Wait(timeout time.Duration) bool {
	ended := p.endedChannel()
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

// Running reports whether the process was started and has not ended. A frozen one is running.
func (p *Process) Running() bool {
	ended := p.endedChannel()
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

// Uptime is the time since the last start.
func (p *Process) Uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// PID is the process's number in the operating system; zero before its first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Fields of /proc/PID/stat, counted from behind the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
	// microsPerTick is the length of the ticks that these fields count.
	microsPerTick = 10_000
)

// CPUTime is the CPU time that the process has used since its last start, in microseconds; zero if it does not run.
func (p *Process) CPUTime() int64 {
	pid := p.PID()
	if pid == 0 {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The program's name stands in parentheses and may contain spaces.
	_, behindName, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(behindName)
	if len(fields) <= statSystemTime {
		return 0
	}
	var user, system int64
	_, _ = fmt.Sscan(fields[statUserTime], &user)
	_, _ = fmt.Sscan(fields[statSystemTime], &system)
	return (user + system) * microsPerTick
}

// healthClient requests health pages.
var healthClient = &http.Client{Timeout: time.Second}

// Ready reports whether the process responds that it is ready; a registry, that it is live.
func (p *Process) Ready() bool {
	path := "/ready"
	if p.Program == RegistryProgram {
		path = "/live"
	}
	response, err := healthClient.Get("http://" + p.AdminAddress + path)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all given processes are ready. It fails once one of them has ended, or at the timeout.
func AwaitReady(processes []*Process, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range processes {
		for !process.Ready() {
			logFile := filepath.Join(process.Dir, "log")
			if !process.Running() {
				return fmt.Errorf("%s ended; see %s", process.Name, logFile)
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v; see %s", process.Name, timeout, logFile)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
