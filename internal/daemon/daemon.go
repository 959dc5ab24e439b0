// Package daemon assembles a program from its settings: the event log, the host, the resolver and the listeners, which run under
// a supervisor until a graceful shutdown or a failure.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/machine"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/monotonic"
	"snowflow/internal/release"
	"snowflow/internal/settings"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
	"snowflow/internal/wal/folder"
)

const (
	// discoveryInterval is how often the resolver sends a discover request.
	discoveryInterval = monotonic.Second
	// replyTimeout is how long a graceful shutdown waits at most for unwritten replies to other processes.
	replyTimeout = 200 * monotonic.Millisecond
	// failureTimeout is the time after a failure at which the process exits even if its main task is stuck.
	failureTimeout = 2 * time.Second
	// signalBufferSize is the buffer size of the channels of signals and failures. For stop signals and failures, one would be enough,
	// because only the first counts.
	signalBufferSize = 4
)

// Daemon is a program while it is assembled and while it runs. Run sets the exported fields except Drain before it calls build.
type Daemon struct {
	Program  string
	Settings settings.Values
	Events   *eventlog.EventLog
	Host     *machine.Machine
	Resolver *discovery.Resolver
	// Handlers handle the requests of other processes. build adds those of the program.
	Handlers host.Handlers
	// MetricsRegistry collects the metrics that Metrics serves.
	MetricsRegistry *prometheus.Registry
	// Drain, unless nil, is called in a graceful shutdown, before the listeners close. build may set it.
	Drain func()

	supervisor  *suture.Supervisor
	cleanups    []func()
	servers     []*http.Server // shut down together by one cleanup
	failures    chan string    // the reasons for which the process must stop
	stopSignals chan os.Signal
}

// Run runs a daemon with checked settings until a graceful shutdown, after which it returns nil, or until a failure. build adds the
// program's own handlers, tasks and listeners. group is the process's replication group, empty for a process outside the control
// plane.
func Run(program, group string, values settings.Values, build func(daemon *Daemon) error) error {
	events, err := eventlog.New(program, values["name"], values["log"])
	if err != nil {
		return err
	}
	daemon := &Daemon{
		Program: program, Settings: values, Events: events, Handlers: host.Handlers{}, MetricsRegistry: prometheus.NewRegistry(),
		supervisor: suture.New(program, suture.Spec{}), failures: make(chan string, signalBufferSize), stopSignals: make(chan os.Signal, signalBufferSize),
	}
	defer daemon.runCleanups()
	daemon.Defer(events.Close)
	disk, err := openDisk(values)
	if err != nil {
		return err
	}
	daemon.newHost(disk)
	daemon.newResolver(group, disk)
	daemon.registerMetrics()
	if err := build(daemon); err != nil {
		return err
	}
	return daemon.serve()
}

// openDisk opens and locks the data folder. It returns nil if the program has none. The lock is held until the process ends, since
// tasks may still write while the daemon stops. Only the programs of platform/ set data-owner, which no Field declares.
func openDisk(values settings.Values) (wal.Disk, error) {
	path := values["data"]
	if path == "" {
		return nil, nil
	}
	// With SIGXFSZ ignored, a write beyond the system's limit on file sizes fails as on a full disk, instead of ending the process.
	signal.Ignore(syscall.SIGXFSZ)
	disk, err := folder.OpenShared(path, values["data-owner"], values.Duration("rehearse-sync").Duration())
	if err != nil {
		return nil, err
	}
	return disk, nil
}

// newHost sets Host, with the clock and the local address of the settings.
func (d *Daemon) newHost(disk wal.Disk) {
	d.Host = machine.New(disk, d.Events, d.fail)
	d.Host.SetLocalAddress(d.Settings["listen"])
	if d.Settings["clock"] == "monotonic" {
		d.Host.ExcludeSuspend()
	}
	if path := d.Settings["rehearse-clock"]; path != "" {
		d.moveClockOnSignal(path)
	}
}

// newResolver sets Resolver. A process of the control plane advertises itself. One outside it, whose group is empty, does not. Only the
// programs of platform/ set failure-domain, which no Field declares.
func (d *Daemon) newResolver(group string, disk wal.Disk) {
	if d.Settings["advertise"] == "" {
		d.Settings["advertise"] = d.Settings["listen"]
	}
	var self *wire.PeerAddress
	if group != "" {
		self = &wire.PeerAddress{Name: d.Settings["name"], Address: d.Settings["advertise"], Group: group, Domain: d.Settings["failure-domain"]}
	}
	d.Resolver = discovery.New(d.Host, self, d.Settings.List("seeds"))
	if disk != nil {
		d.Resolver.Persist(disk)
	}
	d.Resolver.Register(d.Handlers)
}

// Defer adds a cleanup. Run calls the cleanups before it returns, in reverse order.
func (d *Daemon) Defer(cleanup func()) { d.cleanups = append(d.cleanups, cleanup) }

func (d *Daemon) runCleanups() {
	for len(d.cleanups) > 0 {
		last := d.cleanups[len(d.cleanups)-1]
		d.cleanups = d.cleanups[:len(d.cleanups)-1]
		last()
	}
}

// supervisedTask makes a task a suture.Service.
type supervisedTask func() error

// Serve runs the task.
func (t supervisedTask) Serve(context.Context) error { return t() }

// Add adds a task. The supervisor starts it, and restarts it when it returns, unless it returns suture.ErrDoNotRestart.
func (d *Daemon) Add(task func() error) { d.supervisor.Add(supervisedTask(task)) }

// ServeHTTP starts to listen on an address, and adds a task that serves HTTP on it until Run ends. It returns an error if it cannot
// listen.
func (d *Daemon) ServeHTTP(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.Add(func() error {
		if err := server.Serve(socket.WrapListener(listener)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return suture.ErrDoNotRestart
	})
	if len(d.servers) == 0 {
		d.Defer(func() { shutdownAll(d.servers) })
	}
	d.servers = append(d.servers, server)
	return nil
}

// serve starts all tasks and waits for a stop signal or a failure.
func (d *Daemon) serve() error {
	if err := d.addTasks(); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.supervisor.ServeBackground(running)
	start := eventlog.Start{Release: release.Version, WireVersion: frame.Version, Listen: d.Settings["listen"], ProcessID: os.Getpid()}
	d.Host.Report(eventlog.ProcessStarted, start.Attributes())
	signal.Notify(d.stopSignals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-d.stopSignals: // further ones are ignored
		if d.Drain != nil {
			d.Drain()
		}
		d.Host.WaitForReplies(replyTimeout)
		return nil
	case reason := <-d.failures:
		return errors.New(reason)
	}
}

// addTasks adds the tasks that every daemon has.
func (d *Daemon) addTasks() error {
	listener, err := net.Listen("tcp", d.Settings["listen"])
	if err != nil {
		return err
	}
	d.Defer(func() { _ = listener.Close() })
	d.Add(func() error {
		if err := d.Host.Serve(listener, d.Handlers); err != nil {
			return err
		}
		return suture.ErrDoNotRestart
	})
	d.Add(func() error { d.Resolver.Run(discoveryInterval); return nil })
	if d.Settings.Int("processors") == 1 {
		runtime.GOMAXPROCS(1) // after an explicit call, the runtime doesn't read the system's limit every second
	} else {
		d.Add(func() error { d.adjustProcessors(); return nil })
	}
	return nil
}

// Stop begins a graceful shutdown, as SIGTERM does, and doesn't wait for its end.
func (d *Daemon) Stop() {
	select {
	case d.stopSignals <- syscall.SIGTERM:
	default:
	}
}

// fail makes Run return the reason as an error, without a drain, because the process's state can no longer be trusted. It doesn't
// wait for that; the process exits after failureTimeout at the latest.
func (d *Daemon) fail(reason string) {
	select {
	case d.failures <- reason:
	default:
	}
	time.AfterFunc(failureTimeout, func() { os.Exit(exitStopped) })
}
