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

const maxAddresses = 4

// Resolver is one process's knowledge of the core.
// Invariants: each name has at most maxAddresses addresses, the one that last answered first;
// a group's primary only changes for one of a higher epoch.
type Resolver struct {
	host            host.Host
	lock            sync.Mutex
	self            *wire.PeerAddress
	addresses       map[string][]string
	groups          map[string]string
	supportsBatches map[string]bool   // names that said they take batches
	domains         map[string]string // failure domains, of names that told theirs
	supportsDeltas  map[string]bool   // names that said they take contents as differences
	primaries       map[string]*wire.Primary
	seeds           []string
	nextTarget      int
	lastQuery       monotonic.Micros
	pending         map[string]bool // targets that haven't answered yet
	store           *wal.Log        // addresses on disk, nil where there is no disk or it failed
	lastWritten     string
}

// refreshInterval bounds how often one process asks who the core is, however many of its tasks want to know.
const refreshInterval = 100 * monotonic.Millisecond

// New makes a book. own is nil for a process that is not of the core.
func New(h host.Host, self *wire.PeerAddress, seeds []string) *Resolver {
	resolver := &Resolver{host: h, self: self, pending: map[string]bool{}, addresses: map[string][]string{}, groups: map[string]string{}, supportsBatches: map[string]bool{}, supportsDeltas: map[string]bool{}, domains: map[string]string{},
		primaries: map[string]*wire.Primary{}, seeds: seeds}
	if self != nil {
		resolver.AddPeers([]*wire.PeerAddress{self})
	}
	return resolver
}

// AdvertiseBatches has this process tell the others that it takes batches. It's called before the process serves.
func (r *Resolver) AdvertiseBatches() {
	if r.self != nil {
		r.self.Batches = true
		r.AddPeers([]*wire.PeerAddress{r.self})
	}
}

// SupportsBatches tells whether a name is known to take several asks in one message.
func (r *Resolver) SupportsBatches(name string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.supportsBatches[name]
}

// AdvertiseDeltas has this process tell the others that it takes contents as differences. It's called before the process serves.
func (r *Resolver) AdvertiseDeltas() {
	if r.self != nil {
		r.self.Deltas = true
		r.AddPeers([]*wire.PeerAddress{r.self})
	}
}

// AllSupportDeltas tells whether all of some names are known to take contents as differences.
func (r *Resolver) AllSupportDeltas(names ...string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !slices.ContainsFunc(names, func(name string) bool { return !r.supportsDeltas[name] })
}

// Domain is the failure domain that a name told it stands in, empty if it told none.
func (r *Resolver) Domain(name string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.domains[name]
}

// SetSeeds replaces the seeds: the platform names others in the course of a process's life.
func (r *Resolver) SetSeeds(seeds []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.seeds = seeds
}

const addressFile = "addresses"

// Persist keeps what is learned on a disk, so that a process finds the others again after all seeds have gone stale. It's
// a help, not a promise: a disk that fails is done without.
func (r *Resolver) Persist(disk wal.Disk) {
	store, err := wal.Open(disk, addressFile, func(content []byte) error {
		stored := &wire.RegisterRecord{}
		if err := proto.Unmarshal(content, stored); err != nil {
			return err
		}
		r.AddPeers(stored.Known)
		return nil
	})
	if err != nil {
		store, err = wal.Recreate(disk, addressFile)
	}
	if err == nil {
		r.store = store
	}
}

// note writes the addresses down if they changed.
func (r *Resolver) persistChanges() {
	if r.store == nil {
		return
	}
	known := r.Peers()
	text := fmt.Sprint(known)
	if text == r.lastWritten {
		return
	}
	content, err := proto.Marshal(&wire.RegisterRecord{Known: known})
	if err == nil {
		err = r.store.Rewrite(content)
	}
	if err == nil {
		r.lastWritten = text
	} else if errors.Is(err, wal.ErrSyncFailed) {
		r.store = nil
	}
}

// AddPeers adds addresses heard of. Addresses already known keep their rank.
func (r *Resolver) AddPeers(peers []*wire.PeerAddress) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, peer := range peers {
		if peer.Name == "" || peer.Address == "" {
			continue
		}
		r.groups[peer.Name] = peer.Group
		r.supportsBatches[peer.Name] = r.supportsBatches[peer.Name] || peer.Batches
		if peer.Domain != "" {
			r.domains[peer.Name] = peer.Domain
		}
		r.supportsDeltas[peer.Name] = r.supportsDeltas[peer.Name] || peer.Deltas
		addresses := r.addresses[peer.Name]
		if slices.Contains(addresses, peer.Address) {
			continue
		}
		if len(addresses) == maxAddresses {
			addresses = addresses[:maxAddresses-1]
		}
		// A new address is tried right after the one that works now.
		position := min(1, len(addresses))
		r.addresses[peer.Name] = append(append(append([]string(nil), addresses[:position]...), peer.Address), addresses[position:]...)
	}
}

// ObservePrimaries takes news of who leads a group.
func (r *Resolver) ObservePrimaries(primaries []*wire.Primary) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, primary := range primaries {
		if present := r.primaries[primary.Group]; present == nil || present.Epoch < primary.Epoch {
			r.primaries[primary.Group] = &wire.Primary{Group: primary.Group, Epoch: primary.Epoch, Name: primary.Name}
		}
	}
}

// Primaries tells who leads, as far as is known.
func (r *Resolver) Primaries() []*wire.Primary {
	r.lock.Lock()
	defer r.lock.Unlock()
	var primaries []*wire.Primary
	for _, primary := range r.primaries {
		primaries = append(primaries, primary)
	}
	sort.Slice(primaries, func(first, second int) bool { return primaries[first].Group < primaries[second].Group })
	return primaries
}

// Leader is the name that leads a group, or nothing.
func (r *Resolver) Leader(group string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if primary := r.primaries[group]; primary != nil {
		return primary.Name
	}
	return ""
}

// Peers lists every address, best first within a name.
func (r *Resolver) Peers() []*wire.PeerAddress {
	r.lock.Lock()
	defer r.lock.Unlock()
	var peers []*wire.PeerAddress
	for name, addresses := range r.addresses {
		for _, address := range addresses {
			peers = append(peers, &wire.PeerAddress{Name: name, Address: address, Group: r.groups[name], Batches: r.supportsBatches[name], Deltas: r.supportsDeltas[name], Domain: r.domains[name]})
		}
	}
	sort.SliceStable(peers, func(first, second int) bool { return peers[first].Name < peers[second].Name })
	return peers
}

// Members lists the names of a group.
func (r *Resolver) Members(group string) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	var names []string
	for name := range r.addresses {
		if r.groups[name] == group {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Address is where a name is tried next.
func (r *Resolver) Address(name string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if addresses := r.addresses[name]; len(addresses) > 0 {
		return addresses[0]
	}
	return ""
}

// Call sends to a name. When its address turns out not to be it, the next address is taken for the next call.
func (r *Resolver) Call(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	address := r.Address(name)
	if address == "" {
		return apierror.Unreachable.New("no address known for %s", name)
	}
	err := r.host.Call(address, kind, request, response, timeout)
	if err != nil {
		r.lock.Lock()
		if addresses := r.addresses[name]; len(addresses) > 1 && addresses[0] == address {
			r.addresses[name] = append(append([]string(nil), addresses[1:]...), address)
		}
		r.lock.Unlock()
	}
	return err
}

// Register adds the answer to "who is the core now".
func (r *Resolver) Register(handlers host.Handlers) {
	host.Handle(handlers, wire.Kind_discover, func(request *wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
		r.AddPeers(request.Known)
		if request.HealthCheck {
			return &wire.DiscoverResponse{}, nil
		}
		return &wire.DiscoverResponse{Known: r.Peers(), Primaries: r.Primaries()}, nil
	})
}

// Run keeps asking seeds and known processes who the core is. It never returns.
func (r *Resolver) Run(interval monotonic.Micros) {
	for {
		r.Refresh()
		r.persistChanges()
		r.host.Sleep(interval + monotonic.Micros(r.host.Random()%uint64(interval/4+1)))
	}
}

// Refresh asks the next seed or known address once, unless that was just done.
func (r *Resolver) Refresh() {
	r.lock.Lock()
	now := r.host.Now()
	recent := r.lastQuery != 0 && now-r.lastQuery < refreshInterval
	if !recent {
		r.lastQuery = now
	}
	r.lock.Unlock()
	if recent {
		return
	}
	r.lock.Lock()
	targets := append([]string(nil), r.seeds...)
	r.lock.Unlock()
	for _, peer := range r.Peers() {
		if (r.self == nil || peer.Name != r.self.Name) && !slices.Contains(targets, peer.Address) {
			targets = append(targets, peer.Address)
		}
	}
	if len(targets) == 0 {
		return
	}
	r.lock.Lock()
	// Whoever still owes an answer is passed over: there may be others who are there.
	target := ""
	for range targets {
		target = targets[r.nextTarget%len(targets)]
		if r.nextTarget++; !r.pending[target] {
			break
		}
	}
	if r.pending[target] {
		r.lock.Unlock()
		return
	}
	r.pending[target] = true
	r.lock.Unlock()
	defer func() {
		r.lock.Lock()
		defer r.lock.Unlock()
		delete(r.pending, target)
	}()
	var known []*wire.PeerAddress
	if r.self != nil {
		known = []*wire.PeerAddress{r.self}
	}
	response := &wire.DiscoverResponse{}
	if r.host.Call(target, wire.Kind_discover, &wire.DiscoverRequest{Known: known}, response, 500*monotonic.Millisecond) == nil {
		r.AddPeers(response.Known)
		r.ObservePrimaries(response.Primaries)
	}
}
