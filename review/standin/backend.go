//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"snowflow/platform"
)

// heartbeatInterval is the time between two heartbeats of a backend, as the settings say.
const heartbeatInterval = 1500 * time.Millisecond

// backend is a stand-in for the application backend of one machine.
type backend struct {
	fleet    *fleet
	machine  int
	service  string
	instance string
	slots    int
	// handle answers one request on a connection. It returns false to close the connection.
	handle   func(connection *backendConnection, request *http.Request, body []byte) bool
	listener net.Listener
	closed   chan struct{} // closed by close
	silent   chan struct{} // closed by stopHeartbeats

	mu          sync.Mutex // guards the fields below
	sequence    int
	stopped     bool
	connections map[net.Conn]bool
}

// backendConnection is one connection to a backend. It serves one request at a time.
type backendConnection struct {
	net.Conn
	// surplus is sent before the next answer, nil for nothing.
	surplus []byte
}

// answer is what a backend answers.
type answer struct {
	status      int
	id          string // of the request
	stamp       string // empty for none
	notExecuted bool
	body        []byte
}

func (a answer) encode() []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", a.status, http.StatusText(a.status), platform.RequestHeader, a.id)
	if a.stamp != "" {
		text += fmt.Sprintf("%s: %s\r\n", platform.ServerSealHeader, a.stamp)
	}
	if a.notExecuted {
		text += platform.NotExecutedHeader + ": 1\r\n"
	}
	return append([]byte(text+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(a.body))), a.body...)
}

// startBackend starts a backend on a machine and its heartbeats.
func (f *fleet) startBackend(machine int, service string, slots int, handle func(*backendConnection, *http.Request, []byte) bool) (*backend, error) {
	listener, err := net.Listen("tcp", f.endpoint(machine, 8301))
	if err != nil {
		return nil, err
	}
	started := &backend{
		fleet: f, machine: machine, service: service, instance: f.newInstance(machine), slots: slots, handle: handle,
		listener: listener, closed: make(chan struct{}), silent: make(chan struct{}), connections: map[net.Conn]bool{},
	}
	f.mu.Lock()
	f.backends = append(f.backends, started)
	f.mu.Unlock()
	go started.accept()
	err = f.retry("the first heartbeat", started.sendHeartbeat)
	go started.sendHeartbeats()
	return started, err
}

// newInstance returns an id for a backend on a machine: every start of a backend has a new one.
func (f *fleet) newInstance(machine int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprintf("i-%d", machine)
	for _, earlier := range f.backends {
		if earlier.machine == machine {
			name += "b"
		}
	}
	return name
}

// close ends the backend. Further calls do nothing.
func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return
	}
	b.stopped = true
	close(b.closed)
	_ = b.listener.Close()
	for connection := range b.connections {
		_ = connection.Close()
	}
}

func (b *backend) sendHeartbeats() {
	for {
		select {
		case <-b.closed:
			return
		case <-b.silent:
			return
		case <-time.After(heartbeatInterval):
			_ = b.sendHeartbeat()
		}
	}
}

// stopHeartbeats ends the heartbeats, as a backend that is about to deregister does.
func (b *backend) stopHeartbeats() { close(b.silent) }

// nextHeartbeat returns the body of the next heartbeat.
func (b *backend) nextHeartbeat() (string, error) {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	return render("heartbeat.tmpl", map[string]any{
		"Address": b.fleet.endpoint(b.machine, 8301), "Service": b.service, "Zone": zones[b.machine%len(zones)],
		"Slots": b.slots, "State": "in_service", "Sequence": sequence,
	})
}

func (b *backend) sendHeartbeat() error {
	text, err := b.nextHeartbeat()
	if err != nil {
		return err
	}
	return b.deliverHeartbeat(text)
}

func (b *backend) deliverHeartbeat(text string) error {
	status, err := b.fleet.call(http.MethodPut, b.fleet.endpoint(b.machine, 8306)+"/instances/"+b.instance, text)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// delayedHeartbeat sends a heartbeat now, which arrives late. The channel gets the outcome.
func (b *backend) delayedHeartbeat(delay time.Duration) <-chan error {
	outcome := make(chan error, 1)
	text, err := b.nextHeartbeat()
	if err != nil {
		outcome <- err
		return outcome
	}
	b.fleet.record.line("%s sends a heartbeat, which will arrive %v late", b.instance, delay)
	time.AfterFunc(delay, func() {
		err := b.deliverHeartbeat(text)
		b.fleet.record.line("the late heartbeat of %s arrives: error %v", b.instance, err)
		outcome <- err
	})
	return outcome
}

func (b *backend) accept() {
	for {
		connection, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.connections[connection] = true
		b.mu.Unlock()
		go b.serve(&backendConnection{Conn: connection})
	}
}

// serve answers the requests of one connection, one at a time.
func (b *backend) serve(connection *backendConnection) {
	defer func() {
		_ = connection.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.connections, connection.Conn)
	}()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if !b.handleOwn(connection, request, body) {
			return
		}
	}
}

// handleOwn answers requests for other instances and the health check, and leaves the others to handle.
func (b *backend) handleOwn(connection *backendConnection, request *http.Request, body []byte) bool {
	id := request.Header.Get(platform.RequestHeader)
	if target := request.Header.Get(platform.TargetInstanceHeader); target != "" && target != b.instance {
		_, err := connection.Write(answer{status: http.StatusMisdirectedRequest, id: id, notExecuted: true}.encode())
		return err == nil
	}
	if request.URL.Path == "/health" {
		_, err := connection.Write(answer{status: http.StatusOK, id: id}.encode())
		return err == nil
	}
	return b.handle(connection, request, body)
}
