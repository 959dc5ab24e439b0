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
	// unconnectedOdds: one in this many calls across a partition has no established connection and cannot open one.
	unconnectedOdds = 2
	// bootPollInterval is how often a request to a process that is still starting checks whether its handlers are ready.
	bootPollInterval = 20 * monotonic.Millisecond
)

// connection models the real host's connection to an address: the time of the last response and the pending calls. As on
// the real host, a call that times out closes the connection if nothing was received since the call began. Its other pending calls
// then fail too.
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

// failAll completes every pending call with an error.
func (c *connection) failAll(err error) {
	for _, call := range slices.Clone(c.pending) {
		call.complete(nil, err)
	}
}

// pendingCall is a call that waits for its response. Completions after the first are ignored.
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

// Call sends a request to the process at an address and decodes its response into reply. Its errors are those of host.Host.Call.
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

// CallFunc runs work as a task of the process at an address, in place of a request's handler, and returns its result. Simulated
// callers, operators and backends use it instead of their real protocols, which are not simulated. Its errors are those of
// host.Host.Call: Unreachable if work has certainly not run, Lost if it may have run.
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

// dial returns the node at an address. On failure it first waits as long as a failed dial takes.
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
	if w.partitioned(from.Machine, target.Machine) && from.rng.Uint64N(unconnectedOdds) == 0 {
		// No connection was established before the partition, and none can be opened now.
		w.sleep(w.current, timeout)
		return nil, apierror.Unreachable.New("dialing %s timed out", address)
	}
	return target, nil
}

// receive runs a request's work as a task of the target and transmits its result. If the task ends before that because the process
// was killed, the caller sees that the connection ended.
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
