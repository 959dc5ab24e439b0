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
	lock      sync.Mutex
	changed   *sync.Cond
	listeners []net.Listener
	cuts      map[[2]string]bool
	delays    map[[2]string]time.Duration
	garbles   map[[2]string]bool // one byte of each piece arrives as another
	bytes     map[[2]string]uint64
	closed    bool
}

// NewHub makes a hub.
func NewHub() *Hub {
	hub := &Hub{cuts: map[[2]string]bool{}, delays: map[[2]string]time.Duration{}, garbles: map[[2]string]bool{}, bytes: map[[2]string]uint64{}}
	hub.changed = sync.NewCond(&hub.lock)
	return hub
}

// Add relays an address to where a process listens.
func (hub *Hub) Add(host, address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	hub.lock.Lock()
	hub.listeners = append(hub.listeners, listener)
	hub.lock.Unlock()
	go func() {
		for {
			incoming, err := listener.Accept()
			if err != nil {
				return
			}
			go hub.join(incoming, host, target)
		}
	}()
	return nil
}

func (hub *Hub) join(incoming net.Conn, host, target string) {
	defer incoming.Close()
	from, _, _ := net.SplitHostPort(incoming.RemoteAddr().String())
	if hub.isCut(from, host) || hub.isCut(host, from) {
		// A connection can't come about over a cut; it's held open, as a lost SYN would be, and closed when it ends.
		if !hub.await(from, host) || !hub.await(host, from) {
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
	go hub.pump(incoming, outgoing, [2]string{from, host}, done)
	go hub.pump(outgoing, incoming, [2]string{host, from}, done)
	<-done
}

func (hub *Hub) pump(from, into net.Conn, pair [2]string, done chan struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			hub.lock.Lock()
			hub.bytes[pair] += uint64(count)
			delay := hub.delays[pair]
			if hub.garbles[pair] {
				buffer[count/2] ^= 0x55
			}
			hub.lock.Unlock()
			if delay > 0 {
				time.Sleep(delay)
			}
			if !hub.await(pair[0], pair[1]) {
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

func (hub *Hub) isCut(from, into string) bool {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	return hub.cuts[[2]string{from, into}]
}

// await waits while a direction is cut.
func (hub *Hub) await(from, into string) bool {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	for hub.cuts[[2]string{from, into}] && !hub.closed {
		hub.changed.Wait()
	}
	return !hub.closed
}

// Cut stops all bytes from one machine to another.
func (hub *Hub) Cut(from, into string) { hub.change(func() { hub.cuts[[2]string{from, into}] = true }) }

// Garble spoils a byte of each piece from one machine to another.
func (hub *Hub) Garble(from, into string) {
	hub.change(func() { hub.garbles[[2]string{from, into}] = true })
}

// Mend ends all cuts, delays and garbling.
func (hub *Hub) Mend() {
	hub.change(func() {
		hub.cuts, hub.delays, hub.garbles = map[[2]string]bool{}, map[[2]string]time.Duration{}, map[[2]string]bool{}
	})
}

// Delay slows each piece from one machine to another.
func (hub *Hub) Delay(from, into string, delay time.Duration) {
	hub.change(func() { hub.delays[[2]string{from, into}] = delay })
}

func (hub *Hub) change(change func()) {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	change()
	hub.changed.Broadcast()
}

// Bytes gives what went from one machine to another.
func (hub *Hub) Bytes() map[[2]string]uint64 {
	hub.lock.Lock()
	defer hub.lock.Unlock()
	copied := map[[2]string]uint64{}
	for pair, count := range hub.bytes {
		copied[pair] = count
	}
	return copied
}

// Close ends all relays.
func (hub *Hub) Close() {
	hub.change(func() { hub.closed = true })
	for _, listener := range hub.listeners {
		_ = listener.Close()
	}
}
