// Package discovery keeps where the core is: addresses by name, and which name leads each group.
// Identity is a name; an address is only where that name last answered, so seeds may be stale.
package discovery

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

const mostAddresses = 4

// Book is one process's knowledge of the core.
// Invariants: each name has at most mostAddresses addresses, the one that last answered first;
// a group's primary only changes for one of a higher epoch.
type Book struct {
	place     host.Host
	lock      sync.Mutex
	own       *wire.PeerAddress
	known     map[string][]string
	groups    map[string]string
	batches   map[string]bool   // names that said they take batches
	domains   map[string]string // failure domains, of names that told theirs
	deltas    map[string]bool   // names that said they take contents as differences
	primaries map[string]*wire.Primary
	seeds     []string
	turn      int
	asked     monotonic.Micros
	waiting   map[string]bool // targets that haven't answered yet
	kept      *wal.Log        // addresses on disk, nil where there is no disk or it failed
	written   string
}

// askEvery bounds how often one process asks who the core is, however many of its tasks want to know.
const askEvery = 100 * monotonic.Millisecond

// New makes a book. own is nil for a process that is not of the core.
func New(place host.Host, own *wire.PeerAddress, seeds []string) *Book {
	book := &Book{place: place, own: own, waiting: map[string]bool{}, known: map[string][]string{}, groups: map[string]string{}, batches: map[string]bool{}, deltas: map[string]bool{}, domains: map[string]string{},
		primaries: map[string]*wire.Primary{}, seeds: seeds}
	if own != nil {
		book.Learn([]*wire.PeerAddress{own})
	}
	return book
}

// OfferBatches has this process tell the others that it takes batches. It's called before the process serves.
func (book *Book) OfferBatches() {
	if book.own != nil {
		book.own.Batches = true
		book.Learn([]*wire.PeerAddress{book.own})
	}
}

// Batches tells whether a name is known to take several asks in one message.
func (book *Book) Batches(name string) bool {
	book.lock.Lock()
	defer book.lock.Unlock()
	return book.batches[name]
}

// OfferDeltas has this process tell the others that it takes contents as differences. It's called before the process serves.
func (book *Book) OfferDeltas() {
	if book.own != nil {
		book.own.Deltas = true
		book.Learn([]*wire.PeerAddress{book.own})
	}
}

// TakeDeltas tells whether all of some names are known to take contents as differences.
func (book *Book) TakeDeltas(names ...string) bool {
	book.lock.Lock()
	defer book.lock.Unlock()
	return !slices.ContainsFunc(names, func(name string) bool { return !book.deltas[name] })
}

// Domain is the failure domain that a name told it stands in, empty if it told none.
func (book *Book) Domain(name string) string {
	book.lock.Lock()
	defer book.lock.Unlock()
	return book.domains[name]
}

// Seed replaces the seeds: the platform names others in the course of a process's life.
func (book *Book) Seed(seeds []string) {
	book.lock.Lock()
	defer book.lock.Unlock()
	book.seeds = seeds
}

const addressFile = "addresses"

// Remember keeps what is learned on a disk, so that a process finds the others again after all seeds have gone stale. It's
// a help, not a promise: a disk that fails is done without.
func (book *Book) Remember(disk wal.Disk) {
	box, err := wal.Open(disk, addressFile, func(content []byte) error {
		kept := &wire.RegisterRecord{}
		if err := proto.Unmarshal(content, kept); err != nil {
			return err
		}
		book.Learn(kept.Known)
		return nil
	})
	if err != nil {
		box, err = wal.Recreate(disk, addressFile)
	}
	if err == nil {
		book.kept = box
	}
}

// note writes the addresses down if they changed.
func (book *Book) note() {
	if book.kept == nil {
		return
	}
	known := book.Known()
	text := fmt.Sprint(known)
	if text == book.written {
		return
	}
	content, err := proto.Marshal(&wire.RegisterRecord{Known: known})
	if err == nil {
		err = book.kept.Rewrite(content)
	}
	if err == nil {
		book.written = text
	} else if errors.Is(err, wal.ErrSyncFailed) {
		book.kept = nil
	}
}

// Learn adds addresses heard of. Addresses already known keep their rank.
func (book *Book) Learn(peers []*wire.PeerAddress) {
	book.lock.Lock()
	defer book.lock.Unlock()
	for _, peer := range peers {
		if peer.Name == "" || peer.Address == "" {
			continue
		}
		book.groups[peer.Name] = peer.Group
		book.batches[peer.Name] = book.batches[peer.Name] || peer.Batches
		if peer.Domain != "" {
			book.domains[peer.Name] = peer.Domain
		}
		book.deltas[peer.Name] = book.deltas[peer.Name] || peer.Deltas
		addresses := book.known[peer.Name]
		if slices.Contains(addresses, peer.Address) {
			continue
		}
		if len(addresses) == mostAddresses {
			addresses = addresses[:mostAddresses-1]
		}
		// A new address is tried right after the one that works now.
		position := min(1, len(addresses))
		book.known[peer.Name] = append(append(append([]string(nil), addresses[:position]...), peer.Address), addresses[position:]...)
	}
}

// Hint takes news of who leads a group.
func (book *Book) Hint(primaries []*wire.Primary) {
	book.lock.Lock()
	defer book.lock.Unlock()
	for _, primary := range primaries {
		if present := book.primaries[primary.Group]; present == nil || present.Epoch < primary.Epoch {
			book.primaries[primary.Group] = &wire.Primary{Group: primary.Group, Epoch: primary.Epoch, Name: primary.Name}
		}
	}
}

// Primaries tells who leads, as far as is known.
func (book *Book) Primaries() []*wire.Primary {
	book.lock.Lock()
	defer book.lock.Unlock()
	var primaries []*wire.Primary
	for _, primary := range book.primaries {
		primaries = append(primaries, primary)
	}
	sort.Slice(primaries, func(one, other int) bool { return primaries[one].Group < primaries[other].Group })
	return primaries
}

// Leader is the name that leads a group, or nothing.
func (book *Book) Leader(group string) string {
	book.lock.Lock()
	defer book.lock.Unlock()
	if primary := book.primaries[group]; primary != nil {
		return primary.Name
	}
	return ""
}

// Known lists every address, best first within a name.
func (book *Book) Known() []*wire.PeerAddress {
	book.lock.Lock()
	defer book.lock.Unlock()
	var peers []*wire.PeerAddress
	for name, addresses := range book.known {
		for _, address := range addresses {
			peers = append(peers, &wire.PeerAddress{Name: name, Address: address, Group: book.groups[name], Batches: book.batches[name], Deltas: book.deltas[name], Domain: book.domains[name]})
		}
	}
	sort.SliceStable(peers, func(one, other int) bool { return peers[one].Name < peers[other].Name })
	return peers
}

// Members lists the names of a group.
func (book *Book) Members(group string) []string {
	book.lock.Lock()
	defer book.lock.Unlock()
	var names []string
	for name := range book.known {
		if book.groups[name] == group {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Address is where a name is tried next.
func (book *Book) Address(name string) string {
	book.lock.Lock()
	defer book.lock.Unlock()
	if addresses := book.known[name]; len(addresses) > 0 {
		return addresses[0]
	}
	return ""
}

// Call sends to a name. When its address turns out not to be it, the next address is taken for the next call.
func (book *Book) Call(name string, kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error {
	address := book.Address(name)
	if address == "" {
		return apierror.Unreachable.New("no address known for %s", name)
	}
	err := book.place.Call(address, kind, ask, tell, patience)
	if err != nil {
		book.lock.Lock()
		if addresses := book.known[name]; len(addresses) > 1 && addresses[0] == address {
			book.known[name] = append(append([]string(nil), addresses[1:]...), address)
		}
		book.lock.Unlock()
	}
	return err
}

// Register adds the answer to "who is the core now".
func (book *Book) Register(table host.Table) {
	host.Handle(table, wire.Kind_discover, func(ask *wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
		book.Learn(ask.Known)
		if ask.HealthCheck {
			return &wire.DiscoverResponse{}, nil
		}
		return &wire.DiscoverResponse{Known: book.Known(), Primaries: book.Primaries()}, nil
	})
}

// Roam keeps asking seeds and known processes who the core is. It never returns.
func (book *Book) Roam(pause monotonic.Micros) {
	for {
		book.Ask()
		book.note()
		book.place.Sleep(pause + monotonic.Micros(book.place.Random()%uint64(pause/4+1)))
	}
}

// Ask asks the next seed or known address once, unless that was just done.
func (book *Book) Ask() {
	book.lock.Lock()
	now := book.place.Now()
	recent := book.asked != 0 && now-book.asked < askEvery
	if !recent {
		book.asked = now
	}
	book.lock.Unlock()
	if recent {
		return
	}
	book.lock.Lock()
	targets := append([]string(nil), book.seeds...)
	book.lock.Unlock()
	for _, peer := range book.Known() {
		if (book.own == nil || peer.Name != book.own.Name) && !slices.Contains(targets, peer.Address) {
			targets = append(targets, peer.Address)
		}
	}
	if len(targets) == 0 {
		return
	}
	book.lock.Lock()
	// Whoever still owes an answer is passed over: there may be others who are there.
	target := ""
	for range targets {
		target = targets[book.turn%len(targets)]
		if book.turn++; !book.waiting[target] {
			break
		}
	}
	if book.waiting[target] {
		book.lock.Unlock()
		return
	}
	book.waiting[target] = true
	book.lock.Unlock()
	defer func() {
		book.lock.Lock()
		defer book.lock.Unlock()
		delete(book.waiting, target)
	}()
	var own []*wire.PeerAddress
	if book.own != nil {
		own = []*wire.PeerAddress{book.own}
	}
	tell := &wire.DiscoverResponse{}
	if book.place.Call(target, wire.Kind_discover, &wire.DiscoverRequest{Known: own}, tell, 500*monotonic.Millisecond) == nil {
		book.Learn(tell.Known)
		book.Hint(tell.Primaries)
	}
}
