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

// killTimeout limits the wait for a killed process to exit.
const killTimeout = 10 * time.Second

// Process is one process of a fleet. It may be started and stopped repeatedly.
type Process struct {
	Program       string
	Name          string
	Zone          string
	Host          string // loopback address
	ListenAddress string
	PeerAddress   string // address at which other processes reach it: that of its relay, or ListenAddress without relays
	AdminAddress  string
	CallerAddress string // empty for a control plane process
	Dir           string // holds its settings, data and log
	// OnPlannedStop, unless nil, is called with a description when a planned stop begins. The function it returns is called when the
	// stop ends.
	OnPlannedStop func(what string) (end func())

	clockSteppable bool          // whether StepClock has an effect, from the next start on
	syncDelay      time.Duration // added to each disk sync, from the next start on

	mu      sync.Mutex    // guards the fields below
	command *exec.Cmd     // nil before the first start
	ended   chan struct{} // closed when the process has exited; nil before the first start
	killed  bool          // whether it was killed since its last start
	started time.Time
}

// Signal sends a signal to this process. SIGKILL marks it as killed.
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
		_ = p.command.Process.Signal(signal) // fails only if the process has exited, and then it needs no signal
	}
}

// Kill kills the process, without a planned stop, and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.terminate()
}

// terminate kills the process without marking it as killed, resumes it in case it is frozen, and waits until it has exited.
func (p *Process) terminate() {
	p.sendSignal(syscall.SIGCONT)
	p.sendSignal(syscall.SIGKILL)
	p.Wait(killTimeout)
}

// Stop begins a planned stop and waits until the process has exited. After the timeout it kills the process and returns false. The
// process does not count as killed then: requests that it drops are attributed to the planned stop.
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

// endedChannel returns the channel that is closed when the process has exited. It is nil before the first start.
func (p *Process) endedChannel() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Wait waits until the process has exited. It returns false if the timeout passes first.
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

// Running reports whether the process was started and has not exited. A frozen process is running.
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

// Uptime returns the time since the last start.
func (p *Process) Uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.started)
}

// PID returns the process ID, or zero before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Indexes of the fields of /proc/PID/stat that follow the program's name.
const (
	statUserTime   = 11
	statSystemTime = 12
	// microsPerTick is the length of the clock ticks that these fields count.
	microsPerTick = 10_000
)

// CPUTime returns the CPU time that the process has used since its last start, in microseconds, or zero if it is not running.
func (p *Process) CPUTime() int64 {
	pid := p.PID()
	if pid == 0 {
		return 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	// The program's name is in parentheses and may contain spaces.
	_, afterName, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= statSystemTime {
		return 0
	}
	var user, system int64
	_, _ = fmt.Sscan(fields[statUserTime], &user)
	_, _ = fmt.Sscan(fields[statSystemTime], &system)
	return (user + system) * microsPerTick
}

// healthClient requests health endpoints.
var healthClient = &http.Client{Timeout: time.Second}

// Ready reports whether the process responds that it is ready, or, if it is a registry, that it is live.
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

// AwaitReady waits until all given processes are ready. It returns an error if one of them exits or the timeout passes.
func AwaitReady(processes []*Process, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, process := range processes {
		for !process.Ready() {
			logFile := filepath.Join(process.Dir, "log")
			if !process.Running() {
				return fmt.Errorf("%s has exited; see %s", process.Name, logFile)
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v; see %s", process.Name, timeout, logFile)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
