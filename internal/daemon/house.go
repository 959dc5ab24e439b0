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

// House is a daemon being put together. Invariant: cleanups unwind last first, once.
type House struct {
	Program  string
	Values   settings.Values
	Board    *eventlog.Board
	Place    *machine.Machine
	Book     *discovery.Book
	Table    host.Table
	Registry *prometheus.Registry
	// Drain is called at a planned stop, before the listeners close.
	Drain func()

	supervisor *suture.Supervisor
	cleanups   []func()
	faults     chan string
	stops      chan os.Signal
}

// Defer adds a clean-up.
func (house *House) Defer(cleanup func()) { house.cleanups = append(house.cleanups, cleanup) }

func (house *House) unwind() {
	for len(house.cleanups) > 0 {
		last := house.cleanups[len(house.cleanups)-1]
		house.cleanups = house.cleanups[:len(house.cleanups)-1]
		last()
	}
}

// Command makes a daemon's command line. Bad settings end with exit code 2, a failed start with 1.
func Command(program, short string, fields []settings.Field, group string, build func(house *House) error) *cobra.Command {
	command := &cobra.Command{
		Use: program, Short: short, Args: cobra.NoArgs, Version: fmt.Sprintf("%s (wire version %d)", release.Version, frame.Version),
		SilenceUsage: true, SilenceErrors: true,
	}
	settings.Flags(command.Flags(), fields)
	command.RunE = func(command *cobra.Command, _ []string) error {
		values, err := settings.Load(command.Flags(), fields)
		if err != nil {
			return &BadUse{err}
		}
		return Run(program, group, values, build)
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &BadUse{err} })
	return command
}

// BadUse marks errors of whoever started the program: exit code 2.
type BadUse struct{ error }

// Unwrap gives the error itself.
func (use *BadUse) Unwrap() error { return use.error }

// Main runs a command and ends the process with its exit code.
func Main(command *cobra.Command) {
	err := command.Execute()
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	if use := new(BadUse); errors.As(err, &use) {
		os.Exit(2)
	}
	os.Exit(1)
}

// Run is a daemon's life from checked settings to its planned stop. group is empty for a process that isn't of the core.
func Run(program, group string, values settings.Values, build func(house *House) error) error {
	board, err := eventlog.NewBoard(program, values["name"], values["log"])
	if err != nil {
		return err
	}
	house := &House{Program: program, Values: values, Board: board, Table: host.Table{}, Registry: prometheus.NewRegistry(),
		faults: make(chan string, 4), stops: make(chan os.Signal, 4), supervisor: suture.New(program, suture.Spec{})}
	defer house.unwind()
	house.Defer(board.Close)
	var disk wal.Disk
	if path := values["data"]; path != "" {
		// Where the system bounds a file's length, a write beyond it fails as on a full disk, instead of ending the process.
		signal.Ignore(syscall.SIGXFSZ)
		held, err := folder.OpenShared(path, values["data-owner"], values.Span("rehearse-sync").Duration())
		if err != nil {
			return err
		}
		disk = held // its lock goes with the process: tasks may still write while this one unwinds
	}
	house.Place = machine.New(disk, board, house.fail)
	house.Place.From(values["listen"])
	if values["clock"] == "monotonic" {
		house.Place.Unsuspended()
	}
	if path := values["rehearse-clock"]; path != "" {
		house.leaps(path)
	}
	advertised := values["advertise"]
	if advertised == "" {
		advertised = values["listen"]
	}
	house.Values["advertise"] = advertised
	var own *wire.PeerAddress
	if group != "" {
		own = &wire.PeerAddress{Name: values["name"], Address: advertised, Group: group, Domain: values["failure-domain"]}
	}
	house.Book = discovery.New(house.Place, own, values.List("seeds"))
	if disk != nil {
		house.Book.Remember(disk)
	}
	house.Book.Register(house.Table)
	house.countEvents()
	if err := build(house); err != nil {
		return err
	}
	return house.serve()
}

// fail ends the process after trouble that it must not go on with. Nothing is drained: the caller's state is in doubt.
func (house *House) fail(why string) {
	select {
	case house.faults <- why:
	default:
	}
	// A stuck main task must not keep a process alive that has to stop.
	time.AfterFunc(2*time.Second, func() { os.Exit(3) })
}

func (house *House) countEvents() {
	house.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(processOptions))
	house.Registry.MustRegister(&eventCounter{board: house.Board}, &peerCounter{place: house.Place})
}

// HTTP adds an HTTP listener.
func (house *House) HTTP(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	house.Add(func() error {
		if err := server.Serve(socket.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return suture.ErrDoNotRestart
	})
	house.Defer(func() {
		limit, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		defer cancel()
		_ = server.Shutdown(limit)
		_ = server.Close()
	})
	return nil
}

type service func() error

func (service service) Serve(context.Context) error { return service() }

// Add puts a task under the supervisor.
func (house *House) Add(task func() error) { house.supervisor.Add(service(task)) }

func (house *House) serve() error {
	listener, err := net.Listen("tcp", house.Values["listen"])
	if err != nil {
		return err
	}
	house.Defer(func() { _ = listener.Close() })
	house.Add(func() error {
		if err := house.Place.Serve(listener, house.Table); err != nil {
			return err
		}
		return suture.ErrDoNotRestart
	})
	house.Add(func() error { house.Book.Roam(monotonic.Second); return nil })
	if house.Values.Number("processors") == 1 {
		runtime.GOMAXPROCS(1) // said so, the runtime doesn't ask the system every second
	} else {
		house.Add(func() error { house.govern(); return nil })
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	house.supervisor.ServeBackground(running)
	house.Place.Report(eventlog.ProcessStarted, map[string]any{"release": release.Version, "wire": frame.Version, "listen": house.Values["listen"], "process": os.Getpid()})
	signal.Notify(house.stops, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-house.stops:
		// A second signal changes nothing: it waits unread while the first is heeded.
		if house.Drain != nil {
			house.Drain()
		}
		house.Place.Settle(200 * monotonic.Millisecond)
		return nil
	case why := <-house.faults:
		return errors.New(why)
	}
}

// leaps moves the clock by what a file says, at each SIGUSR1.
func (house *House) leaps(path string) {
	told := make(chan os.Signal, 4)
	signal.Notify(told, syscall.SIGUSR1)
	go func() {
		for range told {
			var span int64
			content, err := os.ReadFile(path)
			if err == nil {
				_, err = fmt.Sscan(string(content), &span)
			}
			if err == nil {
				house.Place.Leap(monotonic.Micros(span))
			}
		}
	}()
}

// Stop begins a planned stop, as SIGTERM does.
func (house *House) Stop() {
	select {
	case house.stops <- syscall.SIGTERM:
	default:
	}
}

// Metrics serves the registry in the Prometheus text format.
func (house *House) Metrics() http.Handler {
	return promhttp.HandlerFor(house.Registry, promhttp.HandlerOpts{})
}

// Misused marks an error as its starter's, exit code 2.
func Misused(err error) error { return &BadUse{err} }
