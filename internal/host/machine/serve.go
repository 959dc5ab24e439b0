package machine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/frame"
)

const (
	// acceptRetryDelay is the pause after a failed accept, for example while no file descriptors are available.
	acceptRetryDelay = 10 * time.Millisecond
	// replyWriteTimeout is how long writing a reply may take.
	replyWriteTimeout = 10 * time.Second
)

// Serve accepts connections on a listener and handles their requests. It returns nil once the listener is closed.
func (p *Peers) Serve(listener net.Listener, handlers host.Handlers) error {
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		incoming := &incomingConnection{peers: p, socket: socket.Wrap(connection), handlers: handlers}
		go incoming.serve()
	}
}

// WaitForReplies waits until the replies to all requests that were received are written, at most for the timeout.
func (p *Peers) WaitForReplies(timeout monotonic.Micros) {
	deadline := p.machine.Now() + timeout
	for p.inFlight.Load() > 0 && p.machine.Now() < deadline {
		p.machine.Sleep(repliesPollInterval)
	}
}

// incomingConnection is a connection that another process opened.
type incomingConnection struct {
	peers     *Peers
	socket    net.Conn
	handlers  host.Handlers
	writeLock sync.Mutex // serializes writes to socket
}

// serve handles each request in its own task, until the connection ends or a frame is malformed.
func (c *incomingConnection) serve() {
	defer func() { _ = c.socket.Close() }()
	reader := bufio.NewReaderSize(c.socket, readBufferSize)
	for {
		incoming, err := c.read(reader)
		if err != nil {
			c.reportEnd(incoming, err)
			return
		}
		c.peers.messageCounters.countReceived(incoming.Kind, len(incoming.Content)+frame.HeaderLength)
		c.peers.inFlight.Inc()
		c.peers.machine.Go(func() {
			defer c.peers.inFlight.Dec()
			c.answer(incoming)
		})
	}
}

// read reads the next request. A reply, or a request of a kind without a handler, counts as malformed.
func (c *incomingConnection) read(reader io.Reader) (frame.Frame, error) {
	incoming, err := frame.Read(reader, maxFrameSize)
	if err == nil && (c.handlers[incoming.Kind] == nil || incoming.Flags&frame.Reply != 0) {
		err = frame.ErrMalformed
	}
	return incoming, err
}

// reportEnd publishes why the connection ended, unless the peer closed it between two frames.
func (c *incomingConnection) reportEnd(incoming frame.Frame, err error) {
	attributes := eventlog.Failure(c.socket.RemoteAddr().String(), err)
	switch {
	case errors.Is(err, frame.ErrMalformed):
		attributes["kind"] = int(incoming.Kind)
		c.peers.machine.Report(eventlog.MalformedFrame, attributes)
	case !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed):
		c.peers.machine.Report(eventlog.ConnectionLost, attributes)
	}
}

// answer handles a request and writes the reply. If the reply cannot be written, it closes the connection.
func (c *incomingConnection) answer(incoming frame.Frame) {
	encoded := c.encodeReply(incoming)
	c.writeLock.Lock()
	defer c.writeLock.Unlock()
	c.peers.messageCounters.countSent(incoming.Kind, len(encoded))
	if err := socket.WriteWithin(c.socket, encoded, replyWriteTimeout); err != nil {
		_ = c.socket.Close()
	}
}

// encodeReply calls the handler of a request and returns the frame of the reply: the handler's message, or the text of its error.
func (c *incomingConnection) encodeReply(incoming frame.Frame) []byte {
	outgoing := frame.Frame{Kind: incoming.Kind, Flags: frame.Reply, RequestID: incoming.RequestID}
	message, err := c.handlers[incoming.Kind](incoming.Content)
	if err == nil {
		var encoded []byte
		if encoded, err = frame.AppendMessage(nil, outgoing, message); err == nil {
			return encoded
		}
	}
	outgoing.Flags |= frame.Fault
	outgoing.Content = []byte(err.Error())
	return frame.Append(make([]byte, 0, len(outgoing.Content)+frame.HeaderLength), outgoing)
}
