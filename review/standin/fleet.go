//go:build review

package main

import (
	"bytes"
	"embed"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"

	"snowflow/platform/settings"
)

//go:embed text
var texts embed.FS

// render fills a template of the folder text.
func render(name string, values any) (string, error) {
	parsed, err := template.ParseFS(texts, "text/"+name)
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	err = parsed.Execute(&text, values)
	return text.String(), err
}

const (
	coreCount   = 3
	setupTime   = 30 * time.Second
	retryPause  = 100 * time.Millisecond
	callTimeout = 5 * time.Second
	// gracePeriod is the time from the platform's SIGTERM to its SIGKILL, as the settings say.
	gracePeriod = 6 * time.Second
)

// zones are those of the machines, in turn.
var zones = []string{"hala-a", "hala-b", "hala-c"}

// fleet is a small deployment: three core machines, numbered from 1, and application machines, numbered from 11.
type fleet struct {
	record  *record
	folder  string
	network string // the first three numbers of all addresses

	mu       sync.Mutex // guards the fields below
	stopping bool
	running  map[string]*process
	backends []*backend
}

// process is one program of the project on one machine. ended is closed when it has ended.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func newFleet(record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "snowflow-review-")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	return &fleet{record: record, folder: folder, network: network, running: map[string]*process{}}, err
}

// freeNetwork returns loopback addresses on which the ports of the machines are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250))
		if networkIsFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no loopback network with free ports was found")
}

func networkIsFree(network string) bool {
	for _, machine := range []int{1, 2, 3, 11, 12, 13, 14} {
		for _, port := range []int{7620, 7621, 7622, 7623, 7624, 7625, 8301, 8302, 8304, 8306} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, machine, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// address is a machine's IP address, and with a port an address to call.
func (f *fleet) address(machine int) string { return fmt.Sprintf("%s.%d", f.network, machine) }

func (f *fleet) endpoint(machine, port int) string {
	return fmt.Sprintf("%s:%d", f.address(machine), port)
}

// outbound is where the clients and the backend of a machine send their requests.
func (f *fleet) outbound(machine int) string { return f.endpoint(machine, 8304) }

// writeSettings writes the settings file of a program on a machine.
func (f *fleet) writeSettings(program string, machine int, service string, first bool) error {
	core := machine <= coreCount
	values := map[string]any{
		"Name": fmt.Sprintf("machine-%d", machine), "Role": program, "Class": "sidecar", "Serves": "sidecar",
		"Address": f.address(machine), "Zone": zones[machine%len(zones)], "Network": f.network, "First": first, "Core": core,
		"Data": filepath.Join(f.folder, fmt.Sprintf("disk-%d", machine)), "Service": service,
	}
	if core {
		values["Class"], values["Serves"] = "core", "control_plane"
	}
	text, err := render("settings.tmpl", values)
	if err != nil {
		return err
	}
	return os.WriteFile(f.settingsPath(program, machine), []byte(text), 0o600)
}

func (f *fleet) settingsPath(program string, machine int) string {
	return filepath.Join(f.folder, fmt.Sprintf("%s-%d.toml", program, machine))
}

// start starts a program with the command of the deploy file and a settings file of its own.
func (f *fleet) start(program string, machine int, service string, first bool) (*process, error) {
	if err := f.writeSettings(program, machine, service, first); err != nil {
		return nil, err
	}
	name, path := fmt.Sprintf("%s-%d", program, machine), f.settingsPath(program, machine)
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	started := &process{name: name, command: exec.Command("target/" + program), ended: make(chan struct{})}
	started.command.Env = []string{settings.Variable + "=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	started.command.Stdout, started.command.Stderr = log, log
	return started, f.run(started)
}

// run runs a process unless the fleet is stopping.
func (f *fleet) run(started *process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return errors.New("the fleet is stopping")
	}
	if err := started.command.Start(); err != nil {
		return err
	}
	f.running[started.name] = started
	go func() {
		_ = started.command.Wait()
		f.record.line("%s ended: %v", started.name, started.command.ProcessState)
		close(started.ended)
	}()
	return nil
}

// startAll starts the core and a proxy on each application machine, given with its service.
func (f *fleet) startAll(services map[int]string) error {
	for machine := 1; machine <= coreCount; machine++ {
		for _, program := range []string{"configstore", "registry"} {
			if _, err := f.start(program, machine, "", true); err != nil {
				return err
			}
		}
	}
	for machine, service := range services {
		if _, err := f.start("proxy", machine, service, true); err != nil {
			return err
		}
	}
	return nil
}

// terminate sends SIGTERM to a process, and SIGKILL after the grace period, as the platform does. It returns when the process has ended.
func (f *fleet) terminate(stopped *process) {
	f.record.line("SIGTERM to %s", stopped.name)
	_ = stopped.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-stopped.ended:
	case <-time.After(gracePeriod):
		f.record.line("SIGKILL to %s", stopped.name)
		_ = stopped.command.Process.Kill()
		<-stopped.ended
	}
}

// stop ends all processes and backends and removes the folder.
func (f *fleet) stop() {
	f.mu.Lock()
	f.stopping = true
	backends, running := f.backends, maps.Clone(f.running)
	f.mu.Unlock()
	for _, stopped := range running {
		_ = stopped.command.Process.Kill()
	}
	for _, stopped := range running {
		<-stopped.ended
	}
	for _, stopped := range backends {
		stopped.close()
	}
	_ = os.RemoveAll(f.folder)
}

// route is one entry of a configuration, and so are the services.
type route struct {
	Name, Host, Prefix, Type, Service string
	TimeoutS, TargetS                 float64
}

// configure sends a configuration to one core machine after the other until it is acknowledged.
func (f *fleet) configure(version int, routes []route, services ...string) error {
	text, err := render("configuration.tmpl", map[string]any{"Version": version, "Routes": routes, "Services": services})
	if err != nil {
		return err
	}
	machine := 0
	return f.retry("the configuration", func() error {
		machine = machine%coreCount + 1
		status, err := f.call(http.MethodPut, f.endpoint(machine, 8306)+"/configuration", text)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		if err == nil {
			f.record.line("configuration r%d acknowledged", version)
		}
		return err
	})
}

// awaitReady waits until a machine's proxy is ready.
func (f *fleet) awaitReady(machine int) error {
	return f.retry("readiness", func() error {
		status, err := f.call(http.MethodGet, f.endpoint(machine, 8302)+"/readiness", "")
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
}

// retry repeats something until it succeeds or the set-up takes too long.
func (f *fleet) retry(what string, attempt func() error) error {
	var err error
	for limit := f.record.seconds() + setupTime.Seconds(); f.record.seconds() < limit; time.Sleep(retryPause) {
		if err = attempt(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, err)
}

// call sends one call of the platform and returns the status of its response.
func (f *fleet) call(method, target, body string) (int, error) {
	request, err := http.NewRequest(method, "http://"+target, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
