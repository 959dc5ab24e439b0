package machine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/frame"
	"snowflow/internal/transport/wire"
)

// frameLimit bounds one message between processes.
const frameLimit = 64 << 20

// readAhead is what is read at once from each connection; a longer message is read into its own room.
const readAhead = 16 << 10

// Peers holds this process's connections to others, one per address.
// Invariant: a link in links is either being dialled or was open when it was last looked at.
type Peers struct {
	machine *Machine
	lock    sync.Mutex
	links   map[lane]*link
	counts  map[string]*traffic
	tallies tallies
	busy    atomic.Int64  // requests of others whose reply isn't written yet
	dialFor time.Duration // the most that a dial may take
	from    net.Addr      // the own number that connections go out from; nil leaves it to the system
}

// lane is a way to an address. Large answers have one of their own: what is small must not wait behind them.
type lane struct {
	address string
	bulk    bool
}

type traffic struct{ sent, received atomic.Uint64 }

// link is one outgoing connection. Its dial happens once; waiting callers share it.
type link struct {
	lane       lane
	address    string
	dialled    chan struct{}
	dialError  error
	connection net.Conn
	writing    sync.Mutex
	lock       sync.Mutex
	pending    map[uint64]chan frame.Frame
	next       uint64
	closed     bool
	heard      atomic.Int64
	counts     *traffic
}

func newPeers(machine *Machine) *Peers {
	return &Peers{dialFor: 2 * time.Second, machine: machine, links: map[lane]*link{}, counts: map[string]*traffic{}}
}

// From makes connections go out from the host of an own address.
func (peers *Peers) From(address string) {
	host, _, _ := net.SplitHostPort(address)
	if number := net.ParseIP(host); number != nil && !number.IsUnspecified() {
		peers.from = &net.TCPAddr{IP: number}
	}
}

// DialWithin bounds what a dial may take: where the ways are short, a machine that doesn't answer one soon isn't there.
func (peers *Peers) DialWithin(most monotonic.Micros) { peers.dialFor = most.Duration() }

// Traffic tells the bytes exchanged with each address this process called.
func (peers *Peers) Traffic() map[string][2]uint64 {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	totals := map[string][2]uint64{}
	for address, counts := range peers.counts {
		totals[address] = [2]uint64{counts.sent.Load(), counts.received.Load()}
	}
	return totals
}

func (peers *Peers) link(lane lane, patience time.Duration) *link {
	peers.lock.Lock()
	defer peers.lock.Unlock()
	address := lane.address
	if present := peers.links[lane]; present != nil {
		return present
	}
	counts := peers.counts[address]
	if counts == nil {
		counts = &traffic{}
		peers.counts[address] = counts
	}
	fresh := &link{lane: lane, address: address, dialled: make(chan struct{}), pending: map[uint64]chan frame.Frame{}, counts: counts}
	peers.links[lane] = fresh
	go peers.dial(fresh, min(patience, peers.dialFor))
	return fresh
}

func (peers *Peers) dial(link *link, patience time.Duration) {
	dialer := net.Dialer{Timeout: max(patience, 50*time.Millisecond), LocalAddr: peers.from}
	connection, err := dialer.Dial("tcp", link.address)
	if err != nil {
		link.dialError = err
		peers.drop(link)
		close(link.dialled)
		return
	}
	connection = socket.Wrap(connection)
	link.connection = connection
	link.heard.Store(int64(peers.machine.Now()))
	close(link.dialled)
	reader := bufio.NewReaderSize(&ear{link: link, clock: peers.machine}, readAhead)
	for {
		incoming, err := frame.Read(reader, frameLimit)
		if err != nil {
			if errors.Is(err, frame.ErrMalformed) {
				peers.machine.Report(eventlog.MalformedFrame, map[string]any{"address": link.address, "error": err.Error()})
			}
			peers.drop(link)
			return
		}
		link.counts.received.Add(uint64(len(incoming.Content) + frame.HeaderLength))
		peers.tallies.received(incoming.Kind, len(incoming.Content)+frame.HeaderLength)
		link.lock.Lock()
		waiter := link.pending[incoming.Number]
		delete(link.pending, incoming.Number)
		link.lock.Unlock()
		if waiter != nil {
			waiter <- incoming
		}
	}
}

// ear reads a link's connection and notes when it heard something: a part of a long frame is a sign of life too.
type ear struct {
	link  *link
	clock monotonic.Clock
}

func (ear *ear) Read(into []byte) (int, error) {
	count, err := ear.link.connection.Read(into)
	if count > 0 {
		ear.link.heard.Store(int64(ear.clock.Now()))
	}
	return count, err
}

// drop forgets a link and wakes all who wait on it.
func (peers *Peers) drop(link *link) {
	peers.lock.Lock()
	if peers.links[link.lane] == link {
		delete(peers.links, link.lane)
	}
	peers.lock.Unlock()
	link.lock.Lock()
	defer link.lock.Unlock()
	if link.closed {
		return
	}
	link.closed = true
	if link.connection != nil {
		_ = link.connection.Close()
	}
	for _, waiter := range link.pending {
		close(waiter)
	}
	link.pending = nil
}

// Call sends a request and waits for its reply.
func (peers *Peers) Call(address string, kind wire.Kind, request, reply proto.Message, patience monotonic.Micros) error {
	if address == "" {
		return apierror.Unreachable.New("no address")
	}
	started := peers.machine.Now()
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	link := peers.link(lane{address, kind == wire.Kind_forward_bulk}, patience.Duration())
	if kind == wire.Kind_forward_bulk {
		kind = wire.Kind_forward // the other side need not know which connection it came by
	}
	select {
	case <-link.dialled:
	case <-timer.C:
		return apierror.Unreachable.New("dialling %s took too long", address)
	}
	if link.dialError != nil {
		return apierror.Unreachable.Wrap(link.dialError, "dialling %s", address)
	}
	waiter := make(chan frame.Frame, 1)
	link.lock.Lock()
	if link.closed {
		link.lock.Unlock()
		return apierror.Unreachable.New("connection to %s had ended", address)
	}
	link.next++
	number := link.next
	link.pending[number] = waiter
	link.lock.Unlock()
	encoded, err := frame.AppendMessage(nil, frame.Frame{Kind: kind, Number: number}, request)
	if err != nil {
		link.forget(number)
		return apierror.Invalid.Wrap(err, "encoding %s", kind)
	}
	link.writing.Lock()
	err = socket.WriteWithin(link.connection, encoded, patience.Duration())
	link.writing.Unlock()
	link.counts.sent.Add(uint64(len(encoded)))
	peers.tallies.sent(kind, len(encoded))
	if err != nil {
		peers.drop(link)
		return apierror.Lost.Wrap(err, "writing to %s", address)
	}
	select {
	case incoming, open := <-waiter:
		if !open {
			return apierror.Lost.New("connection to %s ended", address)
		}
		if incoming.Flags&frame.Fault != 0 {
			return apierror.Refused.New("%s: %s", address, incoming.Content)
		}
		if incoming.Kind != kind {
			peers.drop(link)
			return apierror.Lost.New("%s answered %s with %s", address, kind, incoming.Kind)
		}
		if err := proto.Unmarshal(incoming.Content, reply); err != nil {
			return apierror.Lost.Wrap(err, "decoding %s", kind)
		}
		return nil
	case <-timer.C:
		link.forget(number)
		// Nothing at all was heard since the request went out: the connection may be dead, so the next call dials anew.
		if link.heard.Load() < int64(started) {
			peers.drop(link)
		}
		return apierror.Lost.New("no answer from %s within %v", address, patience.Duration())
	}
}

// forget has nobody wait for an answer any more.
func (link *link) forget(number uint64) {
	link.lock.Lock()
	defer link.lock.Unlock()
	delete(link.pending, number)
}

// Settle waits, at most patience, until every request of others has its reply written.
func (peers *Peers) Settle(patience monotonic.Micros) {
	for cutoff := peers.machine.Now() + patience; peers.busy.Load() > 0 && peers.machine.Now() < cutoff; {
		peers.machine.Sleep(2 * monotonic.Millisecond)
	}
}

// Serve answers requests on a listener until it's closed.
func (peers *Peers) Serve(listener net.Listener, table host.Table) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go peers.answer(socket.Wrap(connection), table)
	}
}

func (peers *Peers) answer(connection net.Conn, table host.Table) {
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, readAhead)
	var writing sync.Mutex
	for {
		incoming, err := frame.Read(reader, frameLimit)
		if err == nil && (table[incoming.Kind] == nil || incoming.Flags&frame.Reply != 0) {
			err = frame.ErrMalformed
		}
		if err != nil {
			if errors.Is(err, frame.ErrMalformed) {
				peers.machine.Report(eventlog.MalformedFrame, map[string]any{"address": connection.RemoteAddr().String(), "error": err.Error(), "kind": int(incoming.Kind)})
			} else if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				peers.machine.Report(eventlog.ConnectionLost, map[string]any{"address": connection.RemoteAddr().String(), "error": err.Error()})
			}
			return
		}
		peers.tallies.received(incoming.Kind, len(incoming.Content)+frame.HeaderLength)
		peers.busy.Inc()
		peers.machine.Go(func() {
			defer peers.busy.Dec()
			outgoing := frame.Frame{Kind: incoming.Kind, Flags: frame.Reply, Number: incoming.Number}
			reply, err := table[incoming.Kind](incoming.Content)
			var encoded []byte
			if err == nil {
				encoded, err = frame.AppendMessage(nil, outgoing, reply)
			}
			if err != nil {
				outgoing.Flags |= frame.Fault
				outgoing.Content = []byte(err.Error())
				encoded = frame.Append(make([]byte, 0, len(outgoing.Content)+frame.HeaderLength), outgoing)
			}
			writing.Lock()
			defer writing.Unlock()
			peers.tallies.sent(outgoing.Kind, len(encoded))
			if err := socket.WriteWithin(connection, encoded, 10*time.Second); err != nil {
				_ = connection.Close()
			}
		})
	}
}
