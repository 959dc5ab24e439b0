// Package relay forwards the connections between the processes of a rehearsal. In each direction between two hosts it can block bytes,
// delay them or corrupt them, and it counts them.
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

// Direction is one direction of the traffic between two hosts, which are identified by their loopback addresses.
type Direction struct {
	From string
	To   string
}

func (d Direction) reverse() Direction { return Direction{From: d.To, To: d.From} }

// Hub holds the relays of one fleet and the faults that they inject.
// Invariant: no byte passes in a blocked direction. Bytes are not refused but held back until the direction is unblocked, as TCP does
// on a network that loses packets.
type Hub struct {
	mu         sync.Mutex // guards the fields below
	changed    *sync.Cond // uses mu; broadcast when a fault or closed changes
	listeners  []net.Listener
	blocked    map[Direction]bool
	delays     map[Direction]time.Duration
	corrupted  map[Direction]bool // one byte of each chunk is changed
	byteCounts map[Direction]uint64
	closed     bool
}

// NewHub returns a hub without relays.
func NewHub() *Hub {
	h := &Hub{byteCounts: map[Direction]uint64{}}
	h.changed = sync.NewCond(&h.mu)
	h.clearFaults()
	return h
}

// Add starts a relay that listens on an address of a host and forwards each connection to target, where a process on that host listens.
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
				return // the listener was closed
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
		// No connection to the target is opened across a partition. The incoming one stays open without a response, as after a lost SYN,
		// until both directions are unblocked.
		if !h.awaitUnblocked(inward) || !h.awaitUnblocked(inward.reverse()) {
			return
		}
	}
	outgoing, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		// Nothing listens on the target: reset the connection, so that the client's first use of it fails.
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

// copyBytes forwards one direction of a connection until it is closed, and then sends to done.
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

// deliver applies the faults of a direction to a chunk and writes it to sink. It returns false if the connection or the hub was closed.
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

// awaitUnblocked waits until a direction is not blocked. It returns false if the hub is closed.
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

// Corrupt changes one byte of each chunk from one host to another.
func (h *Hub) Corrupt(from, to string) {
	h.update(func() { h.corrupted[Direction{from, to}] = true })
}

// Delay delays each chunk from one host to another.
func (h *Hub) Delay(from, to string, delay time.Duration) {
	h.update(func() { h.delays[Direction{from, to}] = delay })
}

// Heal removes all blocks, delays and corruption.
func (h *Hub) Heal() { h.update(h.clearFaults) }

// clearFaults removes all faults. It must be called with mu held, or before other goroutines use the hub.
func (h *Hub) clearFaults() {
	h.blocked, h.delays, h.corrupted = map[Direction]bool{}, map[Direction]time.Duration{}, map[Direction]bool{}
}

func (h *Hub) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	h.changed.Broadcast()
}

// Bytes returns the number of bytes that have been sent in each direction.
func (h *Hub) Bytes() map[Direction]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.byteCounts)
}

// Close closes all listeners and ends the waits of blocked connections.
func (h *Hub) Close() {
	h.update(func() { h.closed = true })
	for _, listener := range h.listeners {
		_ = listener.Close()
	}
}
