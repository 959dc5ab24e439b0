package world

import (
	"snowflow/internal/monotonic"
)

const (
	// minLatency is the lowest latency of a message.
	minLatency = 50 * monotonic.Micros(1)
	// slowMessageOdds: one in this many messages is slow.
	slowMessageOdds = 200
	// maxExtraLatency bounds the extra latency of a slow message.
	maxExtraLatency = 100 * monotonic.Millisecond
	// dropOdds: one in this many messages that reach a partition is dropped. The others are retransmitted.
	dropOdds = 4
	// retransmitInterval is the time until a message that a partition has blocked is sent again.
	retransmitInterval = 100 * monotonic.Millisecond
)

// Partition blocks messages from one machine to another. It does not affect the other direction.
func (w *World) Partition(from, to string) { w.partitions[[2]string{from, to}] = true }

// HealPartition ends the partitions between two machines, in both directions.
func (w *World) HealPartition(a, b string) {
	delete(w.partitions, [2]string{a, b})
	delete(w.partitions, [2]string{b, a})
}

// HealNetwork ends all partitions and delays.
func (w *World) HealNetwork() {
	w.partitions, w.delays = map[[2]string]bool{}, map[[2]string]monotonic.Micros{}
}

func (w *World) partitioned(from, to string) bool { return w.partitions[[2]string{from, to}] }

// Delay sets the extra latency of messages from one machine to another.
func (w *World) Delay(from, to string, duration monotonic.Micros) {
	w.delays[[2]string{from, to}] = duration
}

// messageLatency returns a random latency for one message, which is occasionally much higher than MaxLatency.
func (w *World) messageLatency(from *Node) monotonic.Micros {
	latency := minLatency + monotonic.Micros(from.rng.Uint64N(uint64(w.MaxLatency)))
	if from.rng.Uint64N(slowMessageOdds) == 0 {
		latency += monotonic.Micros(from.rng.Uint64N(uint64(maxExtraLatency)))
	}
	return latency
}

// transmit sends a message from one node to another and calls deliver when it arrives. A partition causes it to be retransmitted
// or dropped; a frozen node receives it after the freeze. onClosed is called instead if the target's process was killed in the
// meantime, which closed its connections. For a dropped message neither is called, so that the caller runs into its timeout.
func (w *World) transmit(from, to *Node, deliver, onClosed func()) {
	incarnation := to.incarnation
	var arrive func()
	arrive = func() {
		if to.incarnation != incarnation {
			onClosed()
			return
		}
		if w.partitioned(from.Machine, to.Machine) {
			if from.rng.Uint64N(dropOdds) != 0 {
				w.At(w.now+retransmitInterval, arrive)
			}
			return
		}
		if to.frozenUntil > w.now {
			w.At(to.frozenUntil, arrive)
			return
		}
		deliver()
	}
	w.At(w.now+w.messageLatency(from)+w.delays[[2]string{from.Machine, to.Machine}], arrive)
}

// nodeAt returns the node whose process listens at an address, or nil.
func (w *World) nodeAt(address string) *Node {
	for _, node := range w.Nodes() {
		if node.Address == address && node.up {
			return node
		}
	}
	return nil
}

// machineIsUp reports whether any process runs on the machine that an address belongs to. If so, that machine refuses a dial at once.
func (w *World) machineIsUp(address string) bool {
	machine := ""
	for _, node := range w.Nodes() {
		if node.Address == address {
			machine = node.Machine
		}
	}
	for _, node := range w.Nodes() {
		if node.up && node.Machine == machine {
			return true
		}
	}
	return false
}
