// Package relay stands between the processes of a rehearsal, so that the network between two hosts can be partitioned in either
// direction, slowed or made to corrupt bytes, and so that the bytes between them are counted.
package relay

import (
	"maps"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	bufferSize  = 64 << 10
)

// Direction is the way from one host to another. Hosts are known by their loopback addresses.
type Direction struct {
	From string
	To   string
}

func (d Direction) reverse() Direction { return Direction{From: d.To, To: d.From} }

// Hub holds the relays of one fleet.
// Invariant: no byte passes in a blocked direction. What was sent is held back until the direction is unblocked, as by a network
// that loses packets, and not refused.
type Hub struct {
	mu         sync.Mutex // guards all below
	changed    *sync.Cond // on mu, when any of them changes
	listeners  []net.Listener
	blocked    map[Direction]bool
	delays     map[Direction]time.Duration
	corrupted  map[Direction]bool // one byte of each chunk arrives as another
	byteCounts map[Direction]uint64
	closed     bool
}

// NewHub makes a hub without relays.
func NewHub() *Hub {
	h := &Hub{byteCounts: map[Direction]uint64{}}
	h.changed = sync.NewCond(&h.mu)
	h.clearFaults()
	return h
}

// Add listens at an address of a host and relays each connection to the target, where a process of that host listens.
func (h *Hub) Add(host, address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.listeners = append(h.listeners, listener)
	h.mu.Unlock()
	go func() {
		for {
			incoming, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go h.forward(incoming, host, target)
		}
	}()
	return nil
}

// forward relays one connection until either side closes it.
func (h *Hub) forward(incoming net.Conn, host, target string) {
	defer closeQuietly(incoming)
	from, _, err := net.SplitHostPort(incoming.RemoteAddr().String())
	if err != nil {
		return
	}
	inward := Direction{From: from, To: host}
	if h.isBlocked(inward) || h.isBlocked(inward.reverse()) {
		// No connection is established across a partition: it stays open without response, as after a lost SYN, and is closed when
		// the partition ends.
		if !h.awaitUnblocked(inward) || !h.awaitUnblocked(inward.reverse()) {
			return
		}
	}
	outgoing, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		// Nothing listens there: reset the connection, so that the dialer's first use of it fails.
		if connection, isTCP := incoming.(*net.TCPConn); isTCP {
			_ = connection.SetLinger(0)
		}
		return
	}
	defer closeQuietly(outgoing)
	done := make(chan struct{}, 2)
	go h.copyBytes(incoming, outgoing, inward, done)
	go h.copyBytes(outgoing, incoming, inward.reverse(), done)
	<-done
}

func closeQuietly(connection net.Conn) { _ = connection.Close() }

// copyBytes relays one direction of a connection until it ends, and then sends to done.
func (h *Hub) copyBytes(source, sink net.Conn, direction Direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		count, err := source.Read(buffer)
		if count > 0 && !h.deliver(sink, direction, buffer[:count]) {
			return
		}
		if err != nil {
			return
		}
	}
}

// deliver writes a chunk with the faults of its direction. It gives false if the connection or the hub was closed.
func (h *Hub) deliver(sink net.Conn, direction Direction, chunk []byte) bool {
	h.mu.Lock()
	h.byteCounts[direction] += uint64(len(chunk))
	delay := h.delays[direction]
	if h.corrupted[direction] {
		chunk[len(chunk)/2] ^= 0x55
	}
	h.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if !h.awaitUnblocked(direction) {
		return false
	}
	_, err := sink.Write(chunk)
	return err == nil
}

func (h *Hub) isBlocked(direction Direction) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blocked[direction]
}

// awaitUnblocked waits while a direction is blocked, and gives false if the hub is closed.
func (h *Hub) awaitUnblocked(direction Direction) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.blocked[direction] && !h.closed {
		h.changed.Wait()
	}
	return !h.closed
}

// Block holds back all bytes from one host to another.
func (h *Hub) Block(from, to string) {
	h.update(func() { h.blocked[Direction{from, to}] = true })
}

// Corrupt changes a byte of each chunk from one host to another.
func (h *Hub) Corrupt(from, to string) {
	h.update(func() { h.corrupted[Direction{from, to}] = true })
}

// Delay holds back each chunk from one host to another for this long.
func (h *Hub) Delay(from, to string, delay time.Duration) {
	h.update(func() { h.delays[Direction{from, to}] = delay })
}

// Heal ends all blocks, delays and corruption.
func (h *Hub) Heal() { h.update(h.clearFaults) }

// clearFaults must be called with mu held, or before the hub is shared.
func (h *Hub) clearFaults() {
	h.blocked, h.delays, h.corrupted = map[Direction]bool{}, map[Direction]time.Duration{}, map[Direction]bool{}
}

func (h *Hub) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	h.changed.Broadcast()
}

// Bytes gives how many bytes were sent in each direction so far.
func (h *Hub) Bytes() map[Direction]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.byteCounts)
}

// Close closes all listeners and lets all connections end.
func (h *Hub) Close() {
	h.update(func() { h.closed = true })
	for _, listener := range h.listeners {
		_ = listener.Close()
	}
}
