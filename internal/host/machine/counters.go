package machine

import (
	"go.uber.org/atomic"

	"snowflow/internal/transport/wire"
)

// maxKinds bounds the message kinds that are counted. It is above every defined kind.
const maxKinds = 128

// MessageCount holds how many messages of one kind a process has exchanged, and the bytes of their whole frames.
type MessageCount struct {
	Sent, SentBytes         uint64 // requests and replies, as client and as server
	Received, ReceivedBytes uint64
}

// messageCounter counts the messages of one kind. Its counts never decrease.
type messageCounter struct{ sent, sentBytes, received, receivedBytes atomic.Uint64 }

// messageCounters counts messages by kind. It uses no lock, since it counts every message of the process.
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

// MessageCounts returns what this process has exchanged by kind, as client and as server. Kinds without messages are omitted.
func (p *Peers) MessageCounts() map[wire.Kind]MessageCount {
	totals := map[wire.Kind]MessageCount{}
	for kind := range wire.Kind(maxKinds) {
		counter := &p.messageCounters[kind]
		total := MessageCount{
			Sent: counter.sent.Load(), SentBytes: counter.sentBytes.Load(),
			Received: counter.received.Load(), ReceivedBytes: counter.receivedBytes.Load(),
		}
		if total != (MessageCount{}) {
			totals[kind] = total
		}
	}
	return totals
}

// ByteCount holds the bytes exchanged with one address.
type ByteCount struct{ Sent, Received uint64 }

// byteCounter counts the bytes exchanged with one address. Its counts never decrease.
type byteCounter struct{ sent, received atomic.Uint64 }

// Traffic returns the bytes exchanged with each address that this process has called.
func (p *Peers) Traffic() map[string]ByteCount {
	p.lock.Lock()
	defer p.lock.Unlock()
	totals := map[string]ByteCount{}
	for address, counter := range p.traffic {
		totals[address] = ByteCount{Sent: counter.sent.Load(), Received: counter.received.Load()}
	}
	return totals
}
