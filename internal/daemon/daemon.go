// Package daemon puts a daemon together: settings, events, host, listeners under a supervisor, and a planned stop.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"
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

// Daemon is a daemon being put together. Invariant: cleanups unwind last first, once.
type Daemon struct {
	Program  string
	Settings settings.Values
	Events   *eventlog.EventLog
	Host     *machine.Machine
	Resolver *discovery.Resolver
	Handlers host.Handlers
	Registry *prometheus.Registry
	// Drain is called at a planned stop, before the listeners close.
	Drain func()

	supervisor  *suture.Supervisor
	cleanups    []func()
	failures    chan string
	stopSignals chan os.Signal
}

// Defer adds a clean-up.
func (d *Daemon) Defer(cleanup func()) { d.cleanups = append(d.cleanups, cleanup) }

func (d *Daemon) runCleanups() {
	for len(d.cleanups) > 0 {
		last := d.cleanups[len(d.cleanups)-1]
		d.cleanups = d.cleanups[:len(d.cleanups)-1]
		last()
	}
}

// Command makes a daemon's command line. Bad settings end with exit code 2, a failed start with 1.
func Command(program, short string, fields []settings.Field, group string, build func(daemon *Daemon) error) *cobra.Command {
	command := &cobra.Command{
		Use: program, Short: short, Args: cobra.NoArgs, Version: fmt.Sprintf("%s (wire version %d)", release.Version, frame.Version),
		SilenceUsage: true, SilenceErrors: true,
	}
	settings.AddFlags(command.Flags(), fields)
	command.RunE = func(command *cobra.Command, _ []string) error {
		values, err := settings.Load(command.Flags(), fields)
		if err != nil {
			return &UsageError{err}
		}
		return Run(program, group, values, build)
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{err} })
	return command
}

// UsageError marks errors of whoever started the program: exit code 2.
type UsageError struct{ error }

// Unwrap gives the error itself.
func (e *UsageError) Unwrap() error { return e.error }

// Main runs a command and ends the process with its exit code.
func Main(command *cobra.Command) {
	err := command.Execute()
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	if usage := new(UsageError); errors.As(err, &usage) {
		os.Exit(2)
	}
	os.Exit(1)
}

// Run is a daemon's life from checked settings to its planned stop. group is empty for a process that isn't of the core.
func Run(program, group string, values settings.Values, build func(daemon *Daemon) error) error {
	events, err := eventlog.New(program, values["name"], values["log"])
	if err != nil {
		return err
	}
	daemon := &Daemon{Program: program, Settings: values, Events: events, Handlers: host.Handlers{}, Registry: prometheus.NewRegistry(),
		failures: make(chan string, 4), stopSignals: make(chan os.Signal, 4), supervisor: suture.New(program, suture.Spec{})}
	defer daemon.runCleanups()
	daemon.Defer(events.Close)
	var disk wal.Disk
	if path := values["data"]; path != "" {
		// Where the system bounds a file's length, a write beyond it fails as on a full disk, instead of ending the process.
		signal.Ignore(syscall.SIGXFSZ)
		opened, err := folder.OpenShared(path, values["data-owner"], values.Duration("rehearse-sync").Duration())
		if err != nil {
			return err
		}
		disk = opened // its lock goes with the process: tasks may still write while this one unwinds
	}
	daemon.Host = machine.New(disk, events, daemon.fail)
	daemon.Host.SetLocalAddress(values["listen"])
	if values["clock"] == "monotonic" {
		daemon.Host.ExcludeSuspend()
	}
	if path := values["rehearse-clock"]; path != "" {
		daemon.moveClockOnSignal(path)
	}
	advertised := values["advertise"]
	if advertised == "" {
		advertised = values["listen"]
	}
	daemon.Settings["advertise"] = advertised
	var self *wire.PeerAddress
	if group != "" {
		self = &wire.PeerAddress{Name: values["name"], Address: advertised, Group: group, Domain: values["failure-domain"]}
	}
	daemon.Resolver = discovery.New(daemon.Host, self, values.List("seeds"))
	if disk != nil {
		daemon.Resolver.Persist(disk)
	}
	daemon.Resolver.Register(daemon.Handlers)
	daemon.registerMetrics()
	if err := build(daemon); err != nil {
		return err
	}
	return daemon.serve()
}

// fail ends the process after trouble that it must not go on with. Nothing is drained: the caller's state is in doubt.
func (d *Daemon) fail(reason string) {
	select {
	case d.failures <- reason:
	default:
	}
	// A stuck main task must not keep a process alive that has to stop.
	time.AfterFunc(2*time.Second, func() { os.Exit(3) })
}

func (d *Daemon) registerMetrics() {
	d.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(processOptions))
	d.Registry.MustRegister(&eventCounter{events: d.Events}, &peerCounter{host: d.Host})
}

// ServeHTTP adds an ServeHTTP listener.
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
	d.Defer(func() {
		limit, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		defer cancel()
		_ = server.Shutdown(limit)
		_ = server.Close()
	})
	return nil
}

type supervisedTask func() error

func (s supervisedTask) Serve(context.Context) error { return s() }

// Add puts a task under the supervisor.
func (d *Daemon) Add(task func() error) { d.supervisor.Add(supervisedTask(task)) }

func (d *Daemon) serve() error {
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
	d.Add(func() error { d.Resolver.Run(monotonic.Second); return nil })
	if d.Settings.Int("processors") == 1 {
		runtime.GOMAXPROCS(1) // said so, the runtime doesn't ask the system every second
	} else {
		d.Add(func() error { d.adjustProcessors(); return nil })
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.supervisor.ServeBackground(running)
	d.Host.Report(eventlog.ProcessStarted, map[string]any{"release": release.Version, "wire": frame.Version, "listen": d.Settings["listen"], "process": os.Getpid()})
	signal.Notify(d.stopSignals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-d.stopSignals:
		// A second signal changes nothing: it waits unread while the first is heeded.
		if d.Drain != nil {
			d.Drain()
		}
		d.Host.WaitForReplies(200 * monotonic.Millisecond)
		return nil
	case reason := <-d.failures:
		return errors.New(reason)
	}
}

// leaps moves the clock by what a file says, at each SIGUSR1.
func (d *Daemon) moveClockOnSignal(path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			var jump int64
			content, err := os.ReadFile(path)
			if err == nil {
				_, err = fmt.Sscan(string(content), &jump)
			}
			if err == nil {
				d.Host.Jump(monotonic.Micros(jump))
			}
		}
	}()
}

// Stop begins a planned stop, as SIGTERM does.
func (d *Daemon) Stop() {
	select {
	case d.stopSignals <- syscall.SIGTERM:
	default:
	}
}

// Metrics serves the registry in the Prometheus text format.
func (d *Daemon) Metrics() http.Handler {
	return promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{})
}

// NewUsageError marks an error as its starter's, exit code 2.
func NewUsageError(err error) error { return &UsageError{err} }
