// Package relay stands between the processes of a rehearsal, so that their network can be cut, one way or both, slowed,
// and its bytes counted by pairs of machines.
package relay

import (
	"net"
	"sync"
	"time"
)

// Hub holds the relays of one fleet. Machines are known by their loopback numbers.
// Invariant: a pair in cuts passes no byte in that direction; what was sent is held back, as by a network, not refused.
type Hub struct {
	mu         sync.Mutex
	changed    *sync.Cond
	listeners  []net.Listener
	blocked    map[[2]string]bool
	delays     map[[2]string]time.Duration
	corrupted  map[[2]string]bool // one byte of each piece arrives as another
	byteCounts map[[2]string]uint64
	closed     bool
}

// NewHub makes a hub.
func NewHub() *Hub {
	hub := &Hub{blocked: map[[2]string]bool{}, delays: map[[2]string]time.Duration{}, corrupted: map[[2]string]bool{}, byteCounts: map[[2]string]uint64{}}
	hub.changed = sync.NewCond(&hub.mu)
	return hub
}

// Add relays an address to where a process listens.
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
				return
			}
			go h.forward(incoming, host, target)
		}
	}()
	return nil
}

func (h *Hub) forward(incoming net.Conn, host, target string) {
	defer incoming.Close()
	from, _, _ := net.SplitHostPort(incoming.RemoteAddr().String())
	if h.isBlocked(from, host) || h.isBlocked(host, from) {
		// A connection can't come about over a cut; it's held open, as a lost SYN would be, and closed when it ends.
		if !h.awaitUnblocked(from, host) || !h.awaitUnblocked(host, from) {
			return
		}
	}
	outgoing, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		// The other process isn't there: reset, so that the dialler's first use fails.
		if connection, isTCP := incoming.(*net.TCPConn); isTCP {
			_ = connection.SetLinger(0)
		}
		return
	}
	defer outgoing.Close()
	done := make(chan struct{}, 2)
	go h.copyBytes(incoming, outgoing, [2]string{from, host}, done)
	go h.copyBytes(outgoing, incoming, [2]string{host, from}, done)
	<-done
}

func (h *Hub) copyBytes(from, into net.Conn, pair [2]string, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			h.mu.Lock()
			h.byteCounts[pair] += uint64(count)
			delay := h.delays[pair]
			if h.corrupted[pair] {
				buffer[count/2] ^= 0x55
			}
			h.mu.Unlock()
			if delay > 0 {
				time.Sleep(delay)
			}
			if !h.awaitUnblocked(pair[0], pair[1]) {
				return
			}
			if _, err := into.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (h *Hub) isBlocked(from, into string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blocked[[2]string{from, into}]
}

// await waits while a direction is cut.
func (h *Hub) awaitUnblocked(from, into string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.blocked[[2]string{from, into}] && !h.closed {
		h.changed.Wait()
	}
	return !h.closed
}

// Block stops all bytes from one machine to another.
func (h *Hub) Block(from, into string) { h.update(func() { h.blocked[[2]string{from, into}] = true }) }

// Corrupt spoils a byte of each piece from one machine to another.
func (h *Hub) Corrupt(from, into string) {
	h.update(func() { h.corrupted[[2]string{from, into}] = true })
}

// Heal ends all cuts, delays and garbling.
func (h *Hub) Heal() {
	h.update(func() {
		h.blocked, h.delays, h.corrupted = map[[2]string]bool{}, map[[2]string]time.Duration{}, map[[2]string]bool{}
	})
}

// Delay slows each piece from one machine to another.
func (h *Hub) Delay(from, into string, delay time.Duration) {
	h.update(func() { h.delays[[2]string{from, into}] = delay })
}

func (h *Hub) update(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
	h.changed.Broadcast()
}

// Bytes gives what went from one machine to another.
func (h *Hub) Bytes() map[[2]string]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	copied := map[[2]string]uint64{}
	for pair, count := range h.byteCounts {
		copied[pair] = count
	}
	return copied
}

// Close ends all relays.
func (h *Hub) Close() {
	h.update(func() { h.closed = true })
	for _, listener := range h.listeners {
		_ = listener.Close()
	}
}
