package machine

import (
	"maps"
	"net"
	"sync"
	"time"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

const (
	// maxFrameSize is the largest message between processes, in bytes.
	maxFrameSize = 64 << 20
	// readBufferSize is the size of a connection's read buffer, in bytes. The rest of longer content bypasses the buffer.
	readBufferSize = 16 << 10
	// defaultDialTimeout is the time limit of a dial unless SetDialTimeout sets another one. A call with a shorter timeout shortens the
	// limit of the dial that it starts, but not below minDialTimeout.
	defaultDialTimeout = 2 * time.Second
	minDialTimeout     = 50 * time.Millisecond
	// repliesPollInterval is how often WaitForReplies checks for replies that are not written yet.
	repliesPollInterval = 2 * monotonic.Millisecond
)

// Peers holds a process's connections to other processes, and serves their requests. It is safe for concurrent use.
//
// Invariant: a connection in connections is being dialled, or was open when it was last used.
type Peers struct {
	machine         *Machine
	messageCounters messageCounters
	inFlight        atomic.Int64  // received requests whose replies are not written yet
	dialTimeout     time.Duration // set before the first call
	localAddress    net.Addr      // set before the first call; nil leaves the choice to the system

	lock        sync.Mutex // guards the maps
	connections map[connectionKey]*peerConnection
	traffic     map[string]*byteCounter // by address
}

// connectionKey identifies a connection. Bulk messages use a separate connection, so that small messages don't wait behind them.
type connectionKey struct {
	address string
	bulk    bool
}

func newPeers(machine *Machine) *Peers {
	return &Peers{
		machine: machine, dialTimeout: defaultDialTimeout,
		connections: map[connectionKey]*peerConnection{}, traffic: map[string]*byteCounter{},
	}
}

// SetLocalAddress sets the source IP address of outgoing connections to that of one of the process's addresses, unless it is the
// unspecified address. It must be called before the first call.
func (p *Peers) SetLocalAddress(address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		p.localAddress = &net.TCPAddr{IP: ip}
	}
}

// SetDialTimeout sets how long a dial may take; the default is two seconds. On a fast network, a machine that does not
// answer within a shorter timeout is down. SetDialTimeout must be called before the first call.
func (p *Peers) SetDialTimeout(timeout monotonic.Micros) { p.dialTimeout = timeout.Duration() }

// Call sends a request and waits for the reply, as host.Host specifies.
func (p *Peers) Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error {
	if address == "" {
		return apierror.Unreachable.New("the address to call is empty")
	}
	started := p.machine.Now()
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	peer := p.connect(connectionKey{address, kind == wire.Kind_forward_bulk}, timeout.Duration())
	if kind == wire.Kind_forward_bulk {
		kind = wire.Kind_forward // the server need not know which connection was used
	}
	select {
	case <-peer.dialled:
	case <-timer.C:
		return apierror.Unreachable.New("dialling %s timed out", address)
	}
	if peer.dialErr != nil {
		return apierror.Unreachable.Wrap(peer.dialErr, "dialling %s", address)
	}
	pending, err := peer.send(kind, request, timeout.Duration())
	if err != nil {
		return err
	}
	select {
	case incoming, open := <-pending.replies:
		if !open {
			return apierror.Lost.New("connection to %s ended", address)
		}
		return peer.decodeReply(incoming, kind, reply)
	case <-timer.C:
		peer.cancel(pending.id)
		// If nothing has been received since the request was sent, the connection may be dead. The next call dials a new one.
		if peer.lastReceived.Load() < int64(started) {
			peer.close()
		}
		return apierror.Lost.New("no reply from %s within %v", address, timeout.Duration())
	}
}

// connect returns the connection for a key, and starts to dial it if there is none. The dial takes at most the timeout of the call
// that started it; later calls share its outcome.
func (p *Peers) connect(key connectionKey, timeout time.Duration) *peerConnection {
	p.lock.Lock()
	defer p.lock.Unlock()
	if existing := p.connections[key]; existing != nil {
		return existing
	}
	traffic := p.traffic[key.address]
	if traffic == nil {
		traffic = &byteCounter{}
		p.traffic[key.address] = traffic
	}
	created := &peerConnection{peers: p, key: key, traffic: traffic, dialled: make(chan struct{}), pending: map[uint64]chan<- frame.Frame{}}
	p.connections[key] = created
	go created.run(min(timeout, p.dialTimeout))
	return created
}

// forget removes a connection, so that the next call dials a new one.
func (p *Peers) forget(closed *peerConnection) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.connections[closed.key] == closed {
		delete(p.connections, closed.key)
	}
}

// CloseConnections closes every connection that this process opened. Calls that wait for a reply fail with apierror.Lost.
func (p *Peers) CloseConnections() {
	p.lock.Lock()
	connections := maps.Clone(p.connections)
	p.lock.Unlock()
	for _, peer := range connections {
		<-peer.dialled
		peer.close()
	}
}
