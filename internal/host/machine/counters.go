package machine

import (
	"maps"

	"go.uber.org/atomic"

	"snowflow/internal/transport/wire"
)

// kinds bounds the kinds that are counted. It's above every kind there is.
const maxKinds = 128

// MessageCount is what was exchanged in messages of one kind. Bytes are those of whole frames.
type MessageCount struct {
	Sent, SentBytes         uint64 // requests to others and replies to others' requests
	Received, ReceivedBytes uint64
}

// tally counts one kind. Invariant: its counts only rise.
type messageCounter struct{ sent, sentBytes, received, receivedBytes atomic.Uint64 }

// tallies counts by kind without a lock: every message of a process passes here.
type messageCounters [maxKinds]messageCounter

func (c *messageCounters) countSent(kind wire.Kind, bytes int) {
	if kind >= 0 && kind < maxKinds {
		c[kind].sent.Inc()
		c[kind].sentBytes.Add(uint64(bytes))
	}
}

func (c *messageCounters) countReceived(kind wire.Kind, bytes int) {
	if kind >= 0 && kind < maxKinds {
		c[kind].received.Inc()
		c[kind].receivedBytes.Add(uint64(bytes))
	}
}

// MessageCounts tells what this process has exchanged by kind, as caller and as called.
func (p *Peers) MessageCounts() map[wire.Kind]MessageCount {
	totals := map[wire.Kind]MessageCount{}
	for kind := range wire.Kind(maxKinds) {
		counter := &p.messageCounters[kind]
		total := MessageCount{Sent: counter.sent.Load(), SentBytes: counter.sentBytes.Load(), Received: counter.received.Load(), ReceivedBytes: counter.receivedBytes.Load()}
		if total != (MessageCount{}) {
			totals[kind] = total
		}
	}
	return totals
}

// CloseConnections ends every connection that this process opened. Who waits on one is told that it's lost.
func (p *Peers) CloseConnections() {
	p.lock.Lock()
	connections := maps.Clone(p.connections)
	p.lock.Unlock()
	for _, peer := range connections {
		<-peer.dialled
		p.remove(peer)
	}
}
