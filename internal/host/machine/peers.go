package machine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

// maxFrameSize bounds one message between processes.
const maxFrameSize = 64 << 20

// readBufferSize is what is read at once from each connection; a longer message is read into its own room.
const readBufferSize = 16 << 10

// Peers holds this process's connections to others, one per address.
// Invariant: a link in links is either being dialled or was open when it was last looked at.
type Peers struct {
	machine          *Machine
	lock             sync.Mutex
	connections      map[connectionKey]*peerConnection
	trafficByAddress map[string]*traffic
	messageCounters  messageCounters
	inFlight         atomic.Int64  // requests of others whose reply isn't written yet
	dialTimeout      time.Duration // the most that a dial may take
	localAddress     net.Addr      // the own number that connections go out from; nil leaves it to the system
}

// lane is a way to an address. Large answers have one of their own: what is small must not wait behind them.
type connectionKey struct {
	address string
	bulk    bool
}

type traffic struct{ sent, received atomic.Uint64 }

// link is one outgoing connection. Its dial happens once; waiting callers share it.
type peerConnection struct {
	key           connectionKey
	address       string
	dialled       chan struct{}
	dialErr       error
	socket        net.Conn
	writeLock     sync.Mutex
	lock          sync.Mutex
	pending       map[uint64]chan frame.Frame
	lastRequestID uint64
	closed        bool
	lastReceived  atomic.Int64
	traffic       *traffic
}

func newPeers(machine *Machine) *Peers {
	return &Peers{dialTimeout: 2 * time.Second, machine: machine, connections: map[connectionKey]*peerConnection{}, trafficByAddress: map[string]*traffic{}}
}

// SetLocalAddress makes connections go out from the host of an own address.
func (p *Peers) SetLocalAddress(address string) {
	host, _, _ := net.SplitHostPort(address)
	if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
		p.localAddress = &net.TCPAddr{IP: ip}
	}
}

// SetDialTimeout bounds what a dial may take: where the ways are short, a machine that doesn't answer one soon isn't there.
func (p *Peers) SetDialTimeout(timeout monotonic.Micros) { p.dialTimeout = timeout.Duration() }

// Traffic tells the bytes exchanged with each address this process called.
func (p *Peers) Traffic() map[string][2]uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	totals := map[string][2]uint64{}
	for address, counts := range p.trafficByAddress {
		totals[address] = [2]uint64{counts.sent.Load(), counts.received.Load()}
	}
	return totals
}

func (p *Peers) connectionFor(key connectionKey, timeout time.Duration) *peerConnection {
	p.lock.Lock()
	defer p.lock.Unlock()
	address := key.address
	if present := p.connections[key]; present != nil {
		return present
	}
	counts := p.trafficByAddress[address]
	if counts == nil {
		counts = &traffic{}
		p.trafficByAddress[address] = counts
	}
	created := &peerConnection{key: key, address: address, dialled: make(chan struct{}), pending: map[uint64]chan frame.Frame{}, traffic: counts}
	p.connections[key] = created
	go p.dial(created, min(timeout, p.dialTimeout))
	return created
}

func (p *Peers) dial(peer *peerConnection, timeout time.Duration) {
	dialer := net.Dialer{Timeout: max(timeout, 50*time.Millisecond), LocalAddr: p.localAddress}
	connection, err := dialer.Dial("tcp", peer.address)
	if err != nil {
		peer.dialErr = err
		p.remove(peer)
		close(peer.dialled)
		return
	}
	connection = socket.Wrap(connection)
	peer.socket = connection
	peer.lastReceived.Store(int64(p.machine.Now()))
	close(peer.dialled)
	reader := bufio.NewReaderSize(&activityReader{connection: peer, clock: p.machine}, readBufferSize)
	for {
		incoming, err := frame.Read(reader, maxFrameSize)
		if err != nil {
			if errors.Is(err, frame.ErrMalformed) {
				p.machine.Report(eventlog.MalformedFrame, map[string]any{"address": peer.address, "error": err.Error()})
			}
			p.remove(peer)
			return
		}
		peer.traffic.received.Add(uint64(len(incoming.Content) + frame.HeaderLength))
		p.messageCounters.countReceived(incoming.Kind, len(incoming.Content)+frame.HeaderLength)
		peer.lock.Lock()
		waiter := peer.pending[incoming.RequestID]
		delete(peer.pending, incoming.RequestID)
		peer.lock.Unlock()
		if waiter != nil {
			waiter <- incoming
		}
	}
}

// ear reads a link's connection and notes when it heard something: a part of a long frame is a sign of life too.
type activityReader struct {
	connection *peerConnection
	clock      monotonic.Clock
}

func (r *activityReader) Read(buffer []byte) (int, error) {
	count, err := r.connection.socket.Read(buffer)
	if count > 0 {
		r.connection.lastReceived.Store(int64(r.clock.Now()))
	}
	return count, err
}

// drop forgets a link and wakes all who wait on it.
func (p *Peers) remove(peer *peerConnection) {
	p.lock.Lock()
	if p.connections[peer.key] == peer {
		delete(p.connections, peer.key)
	}
	p.lock.Unlock()
	peer.lock.Lock()
	defer peer.lock.Unlock()
	if peer.closed {
		return
	}
	peer.closed = true
	if peer.socket != nil {
		_ = peer.socket.Close()
	}
	for _, waiter := range peer.pending {
		close(waiter)
	}
	peer.pending = nil
}

// Call sends a request and waits for its reply.
func (p *Peers) Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error {
	if address == "" {
		return apierror.Unreachable.New("no address")
	}
	started := p.machine.Now()
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	peer := p.connectionFor(connectionKey{address, kind == wire.Kind_forward_bulk}, timeout.Duration())
	if kind == wire.Kind_forward_bulk {
		kind = wire.Kind_forward // the other side need not know which connection it came by
	}
	select {
	case <-peer.dialled:
	case <-timer.C:
		return apierror.Unreachable.New("dialling %s took too long", address)
	}
	if peer.dialErr != nil {
		return apierror.Unreachable.Wrap(peer.dialErr, "dialling %s", address)
	}
	waiter := make(chan frame.Frame, 1)
	peer.lock.Lock()
	if peer.closed {
		peer.lock.Unlock()
		return apierror.Unreachable.New("connection to %s had ended", address)
	}
	peer.lastRequestID++
	requestID := peer.lastRequestID
	peer.pending[requestID] = waiter
	peer.lock.Unlock()
	encoded, err := frame.AppendMessage(nil, frame.Frame{Kind: kind, RequestID: requestID}, request)
	if err != nil {
		peer.cancel(requestID)
		return apierror.Invalid.Wrap(err, "encoding %s", kind)
	}
	peer.writeLock.Lock()
	err = socket.WriteWithin(peer.socket, encoded, timeout.Duration())
	peer.writeLock.Unlock()
	peer.traffic.sent.Add(uint64(len(encoded)))
	p.messageCounters.countSent(kind, len(encoded))
	if err != nil {
		p.remove(peer)
		return apierror.Lost.Wrap(err, "writing to %s", address)
	}
	select {
	case incoming, open := <-waiter:
		if !open {
			return apierror.Lost.New("connection to %s ended", address)
		}
		if incoming.Flags&frame.Fault != 0 {
			return apierror.Refused.New("%s: %s", address, incoming.Content)
		}
		if incoming.Kind != kind {
			p.remove(peer)
			return apierror.Lost.New("%s answered %s with %s", address, kind, incoming.Kind)
		}
		if err := proto.Unmarshal(incoming.Content, reply); err != nil {
			return apierror.Lost.Wrap(err, "decoding %s", kind)
		}
		return nil
	case <-timer.C:
		peer.cancel(requestID)
		// Nothing at all was heard since the request went out: the connection may be dead, so the next call dials anew.
		if peer.lastReceived.Load() < int64(started) {
			p.remove(peer)
		}
		return apierror.Lost.New("no answer from %s within %v", address, timeout.Duration())
	}
}

// forget has nobody wait for an answer any more.
func (c *peerConnection) cancel(requestID uint64) {
	c.lock.Lock()
	defer c.lock.Unlock()
	delete(c.pending, requestID)
}

// WaitForReplies waits, at most patience, until every request of others has its reply written.
func (p *Peers) WaitForReplies(timeout monotonic.Micros) {
	for deadline := p.machine.Now() + timeout; p.inFlight.Load() > 0 && p.machine.Now() < deadline; {
		p.machine.Sleep(2 * monotonic.Millisecond)
	}
}

// Serve answers requests on a listener until it's closed.
func (p *Peers) Serve(listener net.Listener, handlers host.Handlers) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go p.serveConnection(socket.Wrap(connection), handlers)
	}
}

func (p *Peers) serveConnection(connection net.Conn, handlers host.Handlers) {
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, readBufferSize)
	var writeLock sync.Mutex
	for {
		incoming, err := frame.Read(reader, maxFrameSize)
		if err == nil && (handlers[incoming.Kind] == nil || incoming.Flags&frame.Reply != 0) {
			err = frame.ErrMalformed
		}
		if err != nil {
			if errors.Is(err, frame.ErrMalformed) {
				p.machine.Report(eventlog.MalformedFrame, map[string]any{"address": connection.RemoteAddr().String(), "error": err.Error(), "kind": int(incoming.Kind)})
			} else if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				p.machine.Report(eventlog.ConnectionLost, map[string]any{"address": connection.RemoteAddr().String(), "error": err.Error()})
			}
			return
		}
		p.messageCounters.countReceived(incoming.Kind, len(incoming.Content)+frame.HeaderLength)
		p.inFlight.Inc()
		p.machine.Go(func() {
			defer p.inFlight.Dec()
			outgoing := frame.Frame{Kind: incoming.Kind, Flags: frame.Reply, RequestID: incoming.RequestID}
			reply, err := handlers[incoming.Kind](incoming.Content)
			var encoded []byte
			if err == nil {
				encoded, err = frame.AppendMessage(nil, outgoing, reply)
			}
			if err != nil {
				outgoing.Flags |= frame.Fault
				outgoing.Content = []byte(err.Error())
				encoded = frame.Append(make([]byte, 0, len(outgoing.Content)+frame.HeaderLength), outgoing)
			}
			writeLock.Lock()
			defer writeLock.Unlock()
			p.messageCounters.countSent(outgoing.Kind, len(encoded))
			if err := socket.WriteWithin(connection, encoded, 10*time.Second); err != nil {
				_ = connection.Close()
			}
		})
	}
}
