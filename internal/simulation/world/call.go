package world

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// undialedOdds: across a partition, one call in so many finds no connection established.
	undialedOdds = 2
	// bootPollInterval is how often a request that arrives during the start of a process looks for its handlers.
	bootPollInterval = 20 * monotonic.Millisecond
)

// connection is what the real host has for each address: the time of the last response and the calls in flight. As there, a
// call that times out without any response since it began ends the connection, and the other calls with it.
type connection struct {
	lastReceived monotonic.Micros
	pending      []*pendingCall
}

func (w *World) connection(from *Node, address string) *connection {
	key := [2]string{from.Name + "/" + fmt.Sprint(from.incarnation), address}
	if w.connections[key] == nil {
		w.connections[key] = &connection{lastReceived: w.now}
	}
	return w.connections[key]
}

func (c *connection) remove(call *pendingCall) {
	c.pending = slices.DeleteFunc(c.pending, func(other *pendingCall) bool { return other == call })
}

// failAll completes every call in flight with an error.
func (c *connection) failAll(err error) {
	for _, call := range slices.Clone(c.pending) {
		call.complete(nil, err)
	}
}

// pendingCall is a call in flight. Only its first completion counts.
type pendingCall struct {
	signal host.Signal
	done   bool
	reply  []byte
	err    error
}

func (c *pendingCall) complete(reply []byte, err error) {
	if c.done {
		return
	}
	c.done, c.reply, c.err = true, reply, err
	c.signal.Fire()
}

// Call sends a request to the process at an address and decodes its response into reply. Its errors are those of host.Host.
func (h *Host) Call(address string, kind wire.Kind, request, reply proto.Message, timeout monotonic.Micros) error {
	content, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	w, name := h.node.world, h.node.Name
	if w.Calls[name] == nil {
		w.Calls[name] = map[wire.Kind]int{}
	}
	w.Calls[name][kind]++
	w.Bytes[name] += len(content)
	encodedReply, err := h.CallFunc(address, timeout, func(node *Node) ([]byte, error) {
		handle := node.handlers[kind]
		if handle == nil {
			return nil, apierror.Refused.New("no handler for this kind")
		}
		response, err := handle(content)
		if err != nil {
			return nil, apierror.Refused.New("%s: %s", address, err)
		}
		return proto.Marshal(response)
	})
	if err != nil {
		return err
	}
	w.Bytes[name] += len(encodedReply)
	return proto.Unmarshal(encodedReply, reply)
}

// CallFunc runs work as a task of the process at an address, as a request to it would, and returns its result. Callers,
// operators and backends use it for the protocols that are not simulated. The errors are those of host.Host: Unreachable if the
// work has certainly not run, Lost if it may have.
func (h *Host) CallFunc(address string, timeout monotonic.Micros, work func(node *Node) ([]byte, error)) ([]byte, error) {
	w, from := h.node.world, h.node
	target, err := w.dial(from, address, timeout)
	if err != nil {
		return nil, err
	}
	call := &pendingCall{signal: h.NewSignal()}
	w.transmit(from, target, func() { w.receive(from, target, call, work) }, func() {
		call.complete(nil, apierror.Lost.New("connection to %s ended", address))
	})
	conn, started := w.connection(from, address), w.now
	conn.pending = append(conn.pending, call)
	defer conn.remove(call)
	if !call.done {
		call.signal.Wait(timeout)
	}
	if call.done {
		conn.lastReceived = w.now
		return call.reply, call.err
	}
	call.done = true
	if conn.lastReceived < started {
		conn.failAll(apierror.Lost.New("connection to %s was silent", address))
	}
	return nil, apierror.Lost.New("no response from %s", address)
}

// dial returns the node at an address, or an error after the time that a failed dial takes.
func (w *World) dial(from *Node, address string, timeout monotonic.Micros) (*Node, error) {
	target := w.nodeAt(address)
	if target == nil {
		if w.machineIsUp(address) {
			w.sleep(w.current, w.messageLatency(from)+w.messageLatency(from))
		} else {
			w.sleep(w.current, min(timeout, w.DialTimeout))
		}
		return nil, apierror.Unreachable.New("no process listens at %s", address)
	}
	if w.partitioned(from.Machine, target.Machine) && from.rng.Uint64N(undialedOdds) == 0 {
		// No connection was established, and none can be now.
		w.sleep(w.current, timeout)
		return nil, apierror.Unreachable.New("dialing %s timed out", address)
	}
	return target, nil
}

// receive runs a request's work as a task of the target and transmits its result. If the process dies meanwhile its connections
// end, which the caller notices.
func (w *World) receive(from, target *Node, call *pendingCall, work func(node *Node) ([]byte, error)) {
	w.spawn(target, func() {
		finished := false
		defer func() {
			if !finished {
				w.At(w.now+w.messageLatency(from), func() { call.complete(nil, apierror.Lost.New("connection ended")) })
			}
		}()
		for target.handlers == nil {
			w.sleep(w.current, bootPollInterval)
		}
		reply, err := work(target)
		finished = true
		w.transmit(target, from, func() { call.complete(reply, err) }, func() {})
	})
}
