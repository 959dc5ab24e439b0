package machine

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

// peerConnection is one outgoing connection. Its goroutine dials once and then receives replies until the connection ends.
type peerConnection struct {
	peers   *Peers
	key     connectionKey
	traffic *byteCounter

	dialled chan struct{} // closed once dialErr or socket is set
	dialErr error
	socket  net.Conn

	lastReceived atomic.Int64 // the host's clock when bytes were last received
	writeLock    sync.Mutex   // serializes writes to socket

	lock          sync.Mutex // guards the fields below
	pending       map[uint64]chan<- frame.Frame
	lastRequestID uint64
	closed        bool
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	id      uint64
	replies <-chan frame.Frame // receives the reply, or is closed with the connection
}

// run dials and then receives until the connection ends.
func (c *peerConnection) run(timeout time.Duration) {
	dialer := net.Dialer{Timeout: max(timeout, minDialTimeout), LocalAddr: c.peers.localAddress}
	connection, err := dialer.Dial("tcp", c.key.address)
	if err != nil {
		c.dialErr = err
		c.close()
		close(c.dialled)
		return
	}
	c.socket = socket.Wrap(connection)
	c.lastReceived.Store(int64(c.peers.machine.Now()))
	close(c.dialled)
	c.receive()
}

// receive passes each reply to the request that waits for it. The reply to a request that has timed out is dropped.
func (c *peerConnection) receive() {
	defer c.close()
	reader := bufio.NewReaderSize(activityReader{c}, readBufferSize)
	for {
		incoming, err := frame.Read(reader, maxFrameSize)
		if err != nil {
			if errors.Is(err, frame.ErrMalformed) {
				c.peers.machine.Report(eventlog.MalformedFrame, eventlog.Failure(c.key.address, err))
			}
			return
		}
		size := len(incoming.Content) + frame.HeaderLength
		c.traffic.received.Add(uint64(size))
		c.peers.messageCounters.countReceived(incoming.Kind, size)
		if waiter := c.takePending(incoming.RequestID); waiter != nil {
			waiter <- incoming
		}
	}
}

// activityReader reads from a connection and updates lastReceived, because even part of a long frame shows that the peer is alive.
type activityReader struct{ connection *peerConnection }

// Read implements io.Reader.
func (r activityReader) Read(buffer []byte) (int, error) {
	count, err := r.connection.socket.Read(buffer)
	if count > 0 {
		r.connection.lastReceived.Store(int64(r.connection.peers.machine.Now()))
	}
	return count, err
}

// send writes a request. Its errors are apierror.Unreachable if nothing was written, apierror.Lost if part of the request may have
// been written, and apierror.Invalid if it cannot be encoded. After an error, the request is not pending.
func (c *peerConnection) send(kind wire.Kind, request proto.Message, timeout time.Duration) (pendingRequest, error) {
	pending, open := c.addPending()
	if !open {
		return pending, apierror.Unreachable.New("connection to %s is closed", c.key.address)
	}
	encoded, err := frame.AppendMessage(nil, frame.Frame{Kind: kind, RequestID: pending.id}, request)
	if err != nil {
		c.cancel(pending.id)
		return pending, apierror.Invalid.Wrap(err, "encoding a %s request", kind)
	}
	c.writeLock.Lock()
	err = socket.WriteWithin(c.socket, encoded, timeout)
	c.writeLock.Unlock()
	c.traffic.sent.Add(uint64(len(encoded)))
	c.peers.messageCounters.countSent(kind, len(encoded))
	if err != nil {
		c.close()
		return pending, apierror.Lost.Wrap(err, "writing to %s", c.key.address)
	}
	return pending, nil
}

// decodeReply decodes the reply to a request of a kind. It closes the connection after a reply of another kind, which means that the
// connection is faulty.
func (c *peerConnection) decodeReply(incoming frame.Frame, kind wire.Kind, message proto.Message) error {
	if incoming.Flags&frame.Fault != 0 {
		return apierror.Refused.New("%s: %s", c.key.address, incoming.Content)
	}
	if incoming.Kind != kind {
		c.close()
		return apierror.Lost.New("%s replied to a %s request with a %s reply", c.key.address, kind, incoming.Kind)
	}
	if err := proto.Unmarshal(incoming.Content, message); err != nil {
		return apierror.Lost.Wrap(err, "decoding the reply to a %s request", kind)
	}
	return nil
}

// addPending adds a pending request. It returns false if the connection is closed.
func (c *peerConnection) addPending() (pendingRequest, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		return pendingRequest{}, false
	}
	replies := make(chan frame.Frame, 1)
	c.lastRequestID++
	c.pending[c.lastRequestID] = replies
	return pendingRequest{id: c.lastRequestID, replies: replies}, true
}

// takePending removes a pending request and returns the channel for its reply, or nil if the request is not pending.
func (c *peerConnection) takePending(id uint64) chan<- frame.Frame {
	c.lock.Lock()
	defer c.lock.Unlock()
	waiter := c.pending[id]
	delete(c.pending, id)
	return waiter
}

// cancel removes a pending request.
func (c *peerConnection) cancel(id uint64) { c.takePending(id) }

// close closes the connection and the channels of its pending requests.
func (c *peerConnection) close() {
	c.peers.forget(c)
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	if c.socket != nil {
		_ = c.socket.Close()
	}
	for _, waiter := range c.pending {
		close(waiter)
	}
	c.pending = nil
}
