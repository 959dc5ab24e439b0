// Package discovery finds the processes of the control plane: it keeps the known addresses of each process by name, and the primary of
// each group.
//
// A process is identified by its name, and its address may change. The configured seeds may therefore be stale: it is enough if one
// process answers at any of them and returns the addresses of the others. Processes exchange their addresses by discover requests, and
// may store them on disk to find the others again after all seeds have changed.
package discovery

import (
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

// The names of the replication groups. They keep former terms, because they are sent between processes and stored with addresses and in
// the register.
const (
	RegistryGroup    = "sorter"
	ConfigStoreGroup = "postmaster"
)

// maxAddresses is the maximum number of addresses kept for one name.
const maxAddresses = 4

// Resolver holds the addresses and primaries that one process knows. It is safe for concurrent use, except where a method says otherwise.
//
// Invariants:
//   - Each name has at most maxAddresses addresses. Calls use the first one; a failed call moves it to the end.
//   - The primary of a group is replaced only by one of a higher epoch.
type Resolver struct {
	host host.Host
	self *wire.PeerAddress // this process's address; nil for a process outside the control plane

	lock      sync.Mutex // guards the fields below
	peers     map[string]*peer
	primaries map[string]*wire.Primary // by group
	seeds     []string
	lastQuery monotonic.Micros // when Refresh last sent a request; zero if it never did
	rotation  targetRotation   // chooses the next targets of Refresh

	store store // used by Persist, and afterwards only by Run
}

// peer holds what is known about the process of one name.
type peer struct {
	group, domain   string
	addresses       []string // never empty
	batches, deltas bool     // whether the process has advertised that it accepts batches and configuration deltas
}

// New returns a resolver with the seeds and, if self is not nil, the process's own address.
func New(h host.Host, self *wire.PeerAddress, seeds []string) *Resolver {
	resolver := &Resolver{
		host: h, self: self, seeds: seeds, peers: map[string]*peer{}, primaries: map[string]*wire.Primary{}, rotation: newTargetRotation(),
	}
	resolver.addSelf()
	return resolver
}

// Self returns the process's own address, nil for a process outside the control plane. It is shared and must not be changed.
func (r *Resolver) Self() *wire.PeerAddress { return r.self }

// addSelf adds the process's own address to the known addresses, with the features that it advertises.
func (r *Resolver) addSelf() {
	if r.self != nil {
		r.AddPeers([]*wire.PeerAddress{r.self})
	}
}

// AdvertiseBatches makes this process advertise that it accepts several commands in one message. It must be called before the
// process serves requests.
func (r *Resolver) AdvertiseBatches() {
	if r.self != nil {
		r.self.Batches = true
		r.addSelf()
	}
}

// AdvertiseDeltas makes this process advertise that it accepts configurations as deltas. It must be called before the process
// serves requests.
func (r *Resolver) AdvertiseDeltas() {
	if r.self != nil {
		r.self.Deltas = true
		r.addSelf()
	}
}

// SupportsBatches reports whether the process of a name is known to accept several commands in one message.
func (r *Resolver) SupportsBatches(name string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	entry := r.peers[name]
	return entry != nil && entry.batches
}

// AllSupportDeltas reports whether the processes of all names are known to accept configurations as deltas.
func (r *Resolver) AllSupportDeltas(names ...string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	return !slices.ContainsFunc(names, func(name string) bool {
		entry := r.peers[name]
		return entry == nil || !entry.deltas
	})
}

// Domain returns the failure domain that the process of a name advertised, or an empty string.
func (r *Resolver) Domain(name string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if entry := r.peers[name]; entry != nil {
		return entry.domain
	}
	return ""
}

// SetSeeds replaces the seeds. The platform may change them while the process runs.
func (r *Resolver) SetSeeds(seeds []string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.seeds = seeds
}

// AddPeers adds addresses that another process knows. A known address keeps its position; a new one becomes the second, which is used
// after the first has failed. Entries without a name or an address are ignored.
func (r *Resolver) AddPeers(addresses []*wire.PeerAddress) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, added := range addresses {
		if added.Name == "" || added.Address == "" {
			continue
		}
		entry := r.peers[added.Name]
		if entry == nil {
			entry = &peer{}
			r.peers[added.Name] = entry
		}
		entry.group = added.Group
		entry.batches = entry.batches || added.Batches
		entry.deltas = entry.deltas || added.Deltas
		if added.Domain != "" {
			entry.domain = added.Domain
		}
		entry.addAddress(added.Address)
	}
}

// addAddress inserts a new address at the second position. It drops the last one if there are already maxAddresses.
func (p *peer) addAddress(address string) {
	if slices.Contains(p.addresses, address) {
		return
	}
	others := p.addresses[:min(len(p.addresses), maxAddresses-1)]
	position := min(1, len(others))
	p.addresses = slices.Concat(others[:position], []string{address}, others[position:])
}

// ObservePrimaries adds the primaries that another process knows. For each group, the one of the highest epoch is kept.
func (r *Resolver) ObservePrimaries(primaries []*wire.Primary) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, primary := range primaries {
		if current := r.primaries[primary.Group]; current == nil || current.Epoch < primary.Epoch {
			r.primaries[primary.Group] = &wire.Primary{Group: primary.Group, Epoch: primary.Epoch, Name: primary.Name}
		}
	}
}

// Primaries returns the known primaries, sorted by group. They are shared and must not be changed.
func (r *Resolver) Primaries() []*wire.Primary {
	r.lock.Lock()
	defer r.lock.Unlock()
	var primaries []*wire.Primary
	for _, primary := range r.primaries {
		primaries = append(primaries, primary)
	}
	sort.Slice(primaries, func(i, j int) bool { return primaries[i].Group < primaries[j].Group })
	return primaries
}

// PrimaryName returns the name of a group's primary, or an empty string if none is known.
func (r *Resolver) PrimaryName(group string) string { return r.Primary(group).GetName() }

// Primary returns a group's primary with its epoch, or nil if none is known. It is shared and must not be changed.
func (r *Resolver) Primary(group string) *wire.Primary {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.primaries[group]
}

// Peers returns all known addresses, sorted by name, and within a name in the order in which calls use them.
func (r *Resolver) Peers() []*wire.PeerAddress {
	r.lock.Lock()
	defer r.lock.Unlock()
	var addresses []*wire.PeerAddress
	for name, entry := range r.peers {
		for _, address := range entry.addresses {
			addresses = append(addresses, &wire.PeerAddress{Name: name, Address: address, Group: entry.group,
				Batches: entry.batches, Deltas: entry.deltas, Domain: entry.domain})
		}
	}
	sort.SliceStable(addresses, func(i, j int) bool { return addresses[i].Name < addresses[j].Name })
	return addresses
}

// Members returns the names of a group's known processes, sorted.
func (r *Resolver) Members(group string) []string {
	r.lock.Lock()
	defer r.lock.Unlock()
	var names []string
	for name, entry := range r.peers {
		if entry.group == group {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Address returns the address that the next call to a name uses, or an empty string if none is known.
func (r *Resolver) Address(name string) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	if entry := r.peers[name]; entry != nil {
		return entry.addresses[0]
	}
	return ""
}

// Call sends a request to the process of a name and waits for its response. It returns the errors of host.Host.Call, and Unreachable if no
// address is known. After a failed call, the next call uses the name's next address.
func (r *Resolver) Call(name string, kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error {
	address := r.Address(name)
	if address == "" {
		return apierror.Unreachable.New("no address known for %s", name)
	}
	err := r.host.Call(address, kind, request, response, timeout)
	if err != nil {
		r.demote(name, address)
	}
	return err
}

// demote moves an address to the end of the name's addresses, if it is still the first.
func (r *Resolver) demote(name, address string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if entry := r.peers[name]; entry != nil && len(entry.addresses) > 1 && entry.addresses[0] == address {
		entry.addresses = append(slices.Clone(entry.addresses[1:]), address)
	}
}

// Persist adds the addresses stored on a disk, and makes Run store the known addresses there. It must be called before Run. Stored
// addresses are optional: if the disk fails, the resolver continues without them.
func (r *Resolver) Persist(disk wal.Disk) { r.AddPeers(r.store.open(disk)) }
