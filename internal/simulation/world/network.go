package world

import (
	"snowflow/internal/monotonic"
)

const (
	// minLatency is the least latency of a message.
	minLatency = 50 * monotonic.Micros(1)
	// slowMessageOdds: one message in so many is slow.
	slowMessageOdds = 200
	// maxExtraLatency bounds what a slow message takes longer.
	maxExtraLatency = 100 * monotonic.Millisecond
	// dropOdds: one message in so many is dropped when it meets a partition. The others are retransmitted.
	dropOdds = 4
	// retransmitInterval is how long a message that meets a partition waits before it is sent again.
	retransmitInterval = 100 * monotonic.Millisecond
)

// Partition stops messages from one machine to another. It does not affect the other direction.
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

// Delay adds to the latency of messages from one machine to another.
func (w *World) Delay(from, to string, duration monotonic.Micros) {
	w.delays[[2]string{from, to}] = duration
}

// messageLatency draws a message's latency. Now and then one is much slower.
func (w *World) messageLatency(from *Node) monotonic.Micros {
	latency := minLatency + monotonic.Micros(from.rng.Uint64N(uint64(w.MaxLatency)))
	if from.rng.Uint64N(slowMessageOdds) == 0 {
		latency += monotonic.Micros(from.rng.Uint64N(uint64(maxExtraLatency)))
	}
	return latency
}

// transmit brings a message from one node to another and then calls deliver. Where it meets a partition it is retransmitted or
// dropped; a frozen node receives it once it thaws. lose is called if the target has been restarted meanwhile: its connections
// have ended with it. A dropped message ends in neither, so the caller's timeout ends.
func (w *World) transmit(from, to *Node, deliver, lose func()) {
	incarnation := to.incarnation
	var arrive func()
	arrive = func() {
		if to.incarnation != incarnation {
			lose()
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

// machineIsUp reports whether any process runs on the machine that an address belongs to, so that a dial is refused at once.
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
