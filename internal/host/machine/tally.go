package machine

import (
	"maps"

	"go.uber.org/atomic"

	"snowflow/internal/transport/wire"
)

// kinds bounds the kinds that are counted. It's above every kind there is.
const kinds = 128

// Tally is what was exchanged in messages of one kind. Bytes are those of whole frames.
type Tally struct {
	Sent, SentBytes         uint64 // requests to others and replies to others' requests
	Received, ReceivedBytes uint64
}

// tally counts one kind. Invariant: its counts only rise.
type tally struct{ sent, sentBytes, received, receivedBytes atomic.Uint64 }

// tallies counts by kind without a lock: every message of a process passes here.
type tallies [kinds]tally

func (tallies *tallies) sent(kind wire.Kind, bytes int) {
	if kind >= 0 && kind < kinds {
		tallies[kind].sent.Inc()
		tallies[kind].sentBytes.Add(uint64(bytes))
	}
}

func (tallies *tallies) received(kind wire.Kind, bytes int) {
	if kind >= 0 && kind < kinds {
		tallies[kind].received.Inc()
		tallies[kind].receivedBytes.Add(uint64(bytes))
	}
}

// Kinds tells what this process has exchanged by kind, as caller and as called.
func (peers *Peers) Kinds() map[wire.Kind]Tally {
	totals := map[wire.Kind]Tally{}
	for kind := range wire.Kind(kinds) {
		counted := &peers.tallies[kind]
		total := Tally{Sent: counted.sent.Load(), SentBytes: counted.sentBytes.Load(), Received: counted.received.Load(), ReceivedBytes: counted.receivedBytes.Load()}
		if total != (Tally{}) {
			totals[kind] = total
		}
	}
	return totals
}

// HangUp ends every connection that this process opened. Who waits on one is told that it's lost.
func (peers *Peers) HangUp() {
	peers.lock.Lock()
	links := maps.Clone(peers.links)
	peers.lock.Unlock()
	for _, link := range links {
		<-link.dialled
		peers.drop(link)
	}
}
