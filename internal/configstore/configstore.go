// Package configstore is the store of desired states. It acknowledges one only when no carrier can still be serving by
// an older one much longer.
package configstore

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sort"
	"strconv"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/bulletin"
	"snowflow/internal/configstore/differences"
	"snowflow/internal/configstore/versions"
	"snowflow/internal/discovery"
	"snowflow/internal/franking"
	"snowflow/internal/host"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/replication"
	"snowflow/internal/seal"
)

// Group is the postmasters' name as a group.
const Group = "postmaster"

const (
	// Tenure is how long a carrier may serve by what it last heard, counted from before its poll.
	Tenure = 6 * postmark.Second
	// Slack is what may be left of an unheard carrier's tenure when a desired state is acknowledged: less than the
	// 2 s that are promised.
	Slack = 1500 * postmark.Millisecond
)

// Env is what a postmaster is made of.
type Env struct {
	Place  host.Host
	Book   *discovery.Book
	Name   string
	Voters []string // of a first start
	// Genesis tells that this process may take part in a first start.
	Genesis bool
	Adjust  func(*replication.Env)
	Bounds  Bounds
	// Read reads contents as they are applied and stored, franking.Parse if left out.
	Read franking.Reader
	// History is how many accepted states are kept at most, all for zero. It must be the same at every postmaster.
	History int
	// Versions bounds what is kept to tell carriers differences; what is left zero is as differences.Defaults has it.
	Versions differences.Bounds
	// AnyContent has the store confirm several contents under one number. Only rehearsals of the checkers set it.
	AnyContent bool
	// Adopted is told how long after its commit a carrier gave its word that it has adopted a version; it must not block.
	Adopted func(carrier string, serial uint64, took postmark.Micros)
	// Kept is told all accepted states that are kept, oldest first, whenever this process as primary accepts one or starts to answer;
	// it must not block.
	Kept func(states []*wire.DesiredKept)
}

// Postmaster is one store process.
type Postmaster struct {
	env    Env
	Member *replication.Member
	store  *versions.Store
	// versions are the states read lately, and what the newest changes in them.
	versions *differences.Versions

	packing packing
	lock    sync.Mutex
	holders map[string]*holder
	news    *crowd // polls that wait for a new state
	words   *crowd // applies that wait for carriers' word of adoption
	// ackFrom is the moment from which no tenure that an earlier primary gave has more than Slack left.
	ackFrom postmark.Micros
	epoch   uint64
	// committedAt is when this process first knew that committed, the highest such serial, was accepted.
	committed   uint64
	committedAt postmark.Micros
	// newestAt is when this process first knew of newest, by whichever way.
	newest   uint64
	newestAt postmark.Micros
	// handed is what the primary of handedEpoch knew of tenures when it handed over, after it had given its last one.
	handed      map[string]*holder
	handedEpoch uint64
}

// holder is one carrier's tenure. Invariants: until is no earlier than the end the carrier itself counts with; one that was
// released stays so, since that life of its carrier serves no more.
type holder struct {
	name     string
	adopted  uint64
	since    postmark.Micros // when this process first heard that
	took     postmark.Micros // from the commit until then, zero if this process doesn't know
	until    postmark.Micros
	released bool
}

// Open reads the disk.
func Open(env Env) (*Postmaster, error) {
	if env.Read == nil {
		env.Read = franking.Parse
	}
	env.Bounds = env.Bounds.filled()
	if err := env.Bounds.check(); err != nil {
		return nil, err
	}
	master := &Postmaster{env: env, store: versions.New(env.History), versions: differences.New(env.Read, env.Versions), holders: map[string]*holder{}, news: newCrowd(env.Place), words: newCrowd(env.Place)}
	core := replication.Env{Place: env.Place, Book: env.Book, Group: Group, Name: env.Name, Voters: env.Voters, Genesis: env.Genesis,
		Machine: master.store, Settled: master.settled, Handing: master.handing, Handed: master.takeHanded}
	if env.Adjust != nil {
		env.Adjust(&core)
	}
	env.Book.OfferDeltas()
	master.store.Deltas, master.store.AnyContent = master.allTakeDeltas, env.AnyContent
	member, err := replication.Open(core)
	master.Member = member
	if err == nil {
		member.Vigil.OnLeap(func(postmark.Micros) { master.doubt() })
	}
	return master, err
}

// Start begins work.
func (master *Postmaster) Start() { master.Member.Start() }

// settled is called when this process starts answering. Only after a takeover may strangers hold tenures.
func (master *Postmaster) settled(epoch uint64, _ postmark.Micros) {
	master.lock.Lock()
	defer master.lock.Unlock()
	// Between a handover's epoch and this one lies only this process's own takeover, in which nobody answered: then the
	// tenures that were told are all there are.
	if master.handed != nil && epoch == master.handedEpoch+2 {
		master.holders = master.handed
	} else if master.epoch == 0 || epoch != master.epoch+1 {
		master.ackFrom = master.env.Place.Now() + master.env.Bounds.unknown()
	}
	master.epoch, master.handed = epoch, nil
	master.env.Place.Go(func() {
		master.env.Place.Sleep(postmark.Second) // it isn't answering yet
		master.tellKept()
	})
}

// doubt puts acknowledgements off: the tenures that this process gave may stand though its clock says they are over.
func (master *Postmaster) doubt() {
	master.lock.Lock()
	defer master.lock.Unlock()
	master.ackFrom = max(master.ackFrom, master.env.Place.Now()+master.env.Bounds.unknown())
}

// handing tells the next primary who holds tenures, and for how much longer.
func (master *Postmaster) handing() []byte {
	master.lock.Lock()
	defer master.lock.Unlock()
	now := master.env.Place.Now()
	if now < master.ackFrom || !master.Member.Vigil.Steady() {
		return nil // there may be tenures that this process doesn't know of, or whose ends it can't tell
	}
	told := &wire.TenureHolders{Whole: true}
	for _, key := range slices.Sorted(maps.Keys(master.holders)) {
		if present := master.holders[key]; present.until > now && !present.released {
			told.Holders = append(told.Holders, &wire.TenureHolder{Key: key, Carrier: present.name, Adopted: present.adopted, Left: int64(present.until - now)})
		}
	}
	content, err := proto.Marshal(told)
	if err != nil {
		return nil
	}
	return content
}

func (master *Postmaster) takeHanded(epoch uint64, content []byte) {
	holders := &wire.TenureHolders{}
	if proto.Unmarshal(content, holders) != nil || !holders.Whole {
		return
	}
	master.lock.Lock()
	defer master.lock.Unlock()
	master.handed, master.handedEpoch = map[string]*holder{}, epoch
	for _, present := range holders.Holders {
		master.handed[present.Key] = &holder{name: present.Carrier, adopted: present.Adopted, since: master.env.Place.Now(), until: master.env.Place.Now() + postmark.Micros(present.Left)}
	}
}

func (master *Postmaster) tellKept() {
	if master.env.Kept == nil {
		return
	}
	master.Member.Read(func(uint64, postmark.Micros) {
		if states := master.store.All(); len(states) > 0 {
			master.env.Kept(states)
		}
	})
}

// Register adds the postmaster's handlers.
func (master *Postmaster) Register(table host.Table) {
	master.Member.Register(table)
	host.Handle(table, wire.Kind_desired_poll, master.Poll)
	host.Handle(table, wire.Kind_desired_apply, master.Apply)
	host.Handle(table, wire.Kind_desired_read, master.ReadBack)
	host.Handle(table, wire.Kind_postmaster_status, func(*wire.StatusAsk) (*wire.StatusTell, error) {
		content, err := json.Marshal(master.Status())
		return &wire.StatusTell{Json: content}, err
	})
}

// Poll renews a carrier's tenure, with the newest desired state if the carrier hasn't got it. It waits a while for news.
func (master *Postmaster) Poll(ask *wire.DesiredPollAsk) (*wire.DesiredPollTell, error) {
	place := master.env.Place
	if ask.Release {
		return master.release(ask), nil
	}
	master.adopted(ask)
	cutoff := place.Now() + master.env.Bounds.PollHold
	for {
		news := master.news.join()
		tell := &wire.DesiredPollTell{Primaries: master.env.Book.Primaries(), Tenure: int64(master.env.Bounds.Lease), Hold: int64(master.env.Bounds.PollHold)}
		var base, newest *wire.DesiredKept
		tell.Primary = master.Member.Read(func(epoch uint64, _ postmark.Micros) {
			tell.Epoch, tell.Serial = epoch, master.store.Serial()
			master.seen(tell.Serial)
			if kept := master.store.Newest(); kept != nil && kept.Serial != ask.Have {
				newest, base = kept, master.store.Find(ask.Have)
			}
			// Noted under the same look that read the serial: an apply that comes later waits for this tenure.
			master.grant(ask)
		})
		if !tell.Primary {
			master.news.leave(news)
			return master.hearsay(ask, tell.Primaries), nil
		}
		remaining := cutoff - place.Now()
		if tell.Serial != ask.Have || ask.First || remaining <= 0 {
			master.news.leave(news)
			master.content(ask, base, newest, tell)
			return tell, nil
		}
		news.Wait(remaining)
		master.news.leave(news)
	}
}

// hearsay is the answer of a postmaster that isn't the primary. A carrier that has nothing yet and may serve on while out of touch is
// given what this copy holds: it's better served by that than by nothing until there's a primary again.
func (master *Postmaster) hearsay(ask *wire.DesiredPollAsk, primaries []*wire.Primary) *wire.DesiredPollTell {
	tell := &wire.DesiredPollTell{Primaries: primaries}
	if ask.Have > 0 || !master.env.Bounds.ServeOn {
		return tell
	}
	master.Member.Peek(func() {
		if newest := master.store.Newest(); newest != nil {
			tell.Serial = newest.Serial
			master.packing.fill(tell, newest, ask.Packs)
		}
	})
	return tell
}

// content puts the newest state into an answer: what it changes where that is known and wanted, otherwise the whole. The states don't
// change, so no lock is needed for them.
func (master *Postmaster) content(ask *wire.DesiredPollAsk, base, newest *wire.DesiredKept, tell *wire.DesiredPollTell) {
	if newest == nil {
		return
	}
	if !ask.Whole {
		tell.Difference = master.versions.Difference(base, newest, ask.Digest)
	}
	if tell.Difference == nil {
		master.packing.fill(tell, newest, ask.Packs)
	}
}

func holderKey(ask *wire.DesiredPollAsk) string {
	return ask.Carrier + "/" + strconv.FormatUint(ask.Incarnation, 16)
}

func (master *Postmaster) adopted(ask *wire.DesiredPollAsk) {
	master.lock.Lock()
	now, took := master.env.Place.Now(), postmark.Micros(-1)
	if present := master.holders[holderKey(ask)]; present != nil {
		if present.adopted < ask.Have {
			present.adopted, present.since, present.took = ask.Have, now, 0
			if ask.Have == master.newest {
				took = now - master.newestAt
				present.took = took
			}
		}
	}
	master.lock.Unlock()
	if took >= 0 && master.env.Adopted != nil {
		master.env.Adopted(ask.Carrier, ask.Have, took)
	}
	master.words.wake()
}

func (master *Postmaster) grant(ask *wire.DesiredPollAsk) {
	master.lock.Lock()
	defer master.lock.Unlock()
	key := holderKey(ask)
	if master.holders[key] == nil {
		master.holders[key] = &holder{name: ask.Carrier}
		master.forgetEarlierLives(ask.Carrier, key)
	}
	present := master.holders[key]
	if present.released {
		return // an earlier poll of the same life, held until now
	}
	now := master.env.Place.Now()
	if present.adopted < ask.Have {
		present.adopted, present.since, present.took = ask.Have, now, 0
	}
	present.until = now + master.env.Bounds.Lease
}

// forgetEarlierLives has nobody wait for a carrier's lives before the one that polls now, since a carrier has one life at a time. Should a late poll of an
// earlier life come, the present one is noted again with its next poll. Where leases are needed they are waited for all the same.
// The caller holds the lock.
func (master *Postmaster) forgetEarlierLives(carrier, present string) {
	if !master.env.Bounds.ServeOn {
		return
	}
	for key, other := range master.holders {
		if other.name == carrier && key != present {
			delete(master.holders, key)
		}
	}
}

// release ends a tenure whose carrier serves no more: nobody needs to wait for its end.
func (master *Postmaster) release(ask *wire.DesiredPollAsk) *wire.DesiredPollTell {
	master.lock.Lock()
	if present := master.holders[holderKey(ask)]; present != nil {
		present.released = true
	}
	master.lock.Unlock()
	master.words.wake()
	return &wire.DesiredPollTell{}
}

// behind names the carriers that may still serve by an older serial for longer than Slack. Where carriers serve on, these are
// those heard within the last Lease that haven't adopted.
func (master *Postmaster) behind(serial uint64) (names []string, wait postmark.Micros) {
	master.lock.Lock()
	defer master.lock.Unlock()
	now, slack := master.env.Place.Now(), master.env.Bounds.slack()
	if !master.Member.Vigil.Steady() {
		return []string{"(the clock may have leapt)"}, 100 * postmark.Millisecond
	}
	for key, present := range master.holders {
		if now >= present.until {
			delete(master.holders, key)
			continue
		}
		if !present.released && present.adopted < serial && present.until-now > slack {
			names = append(names, present.name)
			wait = max(wait, present.until-now-slack)
		}
	}
	if master.ackFrom > now {
		names = append(names, "(tenures of an earlier primary)")
		wait = max(wait, master.ackFrom-now)
	}
	sort.Strings(names)
	return names, wait
}

// ErrUnacknowledged: the desired state may have been accepted. Asking again with the same request id is harmless.
var ErrUnacknowledged = errors.New("postmaster: outcome unknown, ask again with the same request id")

// Apply checks a desired state, has it kept in two copies, and waits until it's in force everywhere.
func (master *Postmaster) Apply(ask *wire.DesiredApplyAsk) (*wire.DesiredApplyTell, error) {
	ask, known, err := master.whole(ask)
	if err != nil {
		return nil, err
	}
	if !known {
		return &wire.DesiredApplyTell{Outcome: versions.BaseUnknown}, nil
	}
	state, faults := master.env.Read(ask.Content)
	if len(faults) > 0 {
		tell := &wire.DesiredApplyTell{Outcome: versions.Invalid}
		for _, fault := range faults {
			tell.Faults = append(tell.Faults, fault.String())
		}
		master.env.Place.Report(bulletin.DesiredRefused, map[string]any{"faults": tell.Faults})
		return tell, nil
	}
	master.versions.Know(ask.Content, state)
	tell, err := master.submit(ask)
	if errors.Is(err, replication.ErrUnknown) {
		return nil, ErrUnacknowledged
	}
	if err != nil {
		return nil, err
	}
	if tell.Outcome != versions.Accepted {
		return tell, nil
	}
	master.seen(tell.Serial)
	master.tellKept()
	if ask.Version > 0 && tell.Serial != ask.Version {
		return master.inForce(tell) // a higher one stands
	}
	master.env.Place.Report(bulletin.DesiredAccepted, map[string]any{"serial": tell.Serial, "digest": tell.Digest})
	return master.inForce(tell)
}

// inForce acknowledges an accepted state once it's in force everywhere, or, where carriers serve on, once that was waited for.
func (master *Postmaster) inForce(tell *wire.DesiredApplyTell) (*wire.DesiredApplyTell, error) {
	tell.Spread = master.spread(tell.Serial)
	if !tell.Spread && !master.env.Bounds.ServeOn {
		return nil, ErrUnacknowledged
	}
	return tell, nil
}

// seen notes a serial that was accepted.
func (master *Postmaster) seen(serial uint64) {
	master.lock.Lock()
	defer master.lock.Unlock()
	if serial > master.newest {
		master.newest, master.newestAt = serial, master.env.Place.Now()
	}
}

// waitFrom is the moment from which an apply of a serial waits to be in force everywhere. Where carriers serve on, that is the
// commit of the newest, as far as this process knows, so that asking again doesn't wait again.
func (master *Postmaster) waitFrom(serial uint64) postmark.Micros {
	master.lock.Lock()
	defer master.lock.Unlock()
	now := master.env.Place.Now()
	if serial > master.committed {
		master.committed, master.committedAt = serial, now
	}
	if master.env.Bounds.ServeOn {
		return master.committedAt
	}
	return now
}

// spread waits until a serial is in force at every carrier that may serve. While this process isn't answering it
// can't tell; when it answers again, settled has put ackFrom behind any tenure that another primary gave meanwhile.
func (master *Postmaster) spread(serial uint64) bool {
	place := master.env.Place
	started, cutoff := place.Now(), master.waitFrom(serial)+master.env.Bounds.patience()
	master.news.wake()
	for {
		wait := 100 * postmark.Millisecond
		word := master.words.join()
		if master.Member.Answering() {
			names, behind := master.behind(serial)
			if len(names) == 0 && master.Member.Answering() {
				master.words.leave(word)
				place.Report(bulletin.DesiredSpread, map[string]any{"serial": serial, "micros": int64(place.Now() - started)})
				return true
			}
			wait = min(max(behind, postmark.Millisecond), 250*postmark.Millisecond)
		}
		remaining := cutoff - place.Now()
		if remaining > 0 {
			word.Wait(min(wait, remaining))
		}
		master.words.leave(word)
		if remaining <= 0 {
			return false
		}
	}
}

// ReadBack gives one accepted state, the newest for serial zero, or the list of all without their contents.
func (master *Postmaster) ReadBack(ask *wire.DesiredReadAsk) (*wire.DesiredReadTell, error) {
	tell := &wire.DesiredReadTell{}
	var base *wire.DesiredKept
	done := master.Member.Read(func(uint64, postmark.Micros) {
		if ask.List {
			tell.Found = true
			for _, kept := range master.store.All() {
				tell.States = append(tell.States, &wire.DesiredKept{Serial: kept.Serial, Digest: kept.Digest, Request: kept.Request})
			}
			return
		}
		serial := ask.Serial
		if serial == 0 {
			serial = master.store.Serial()
		}
		if kept := master.store.Find(serial); kept != nil {
			tell.Found, tell.States = true, []*wire.DesiredKept{kept}
			base = master.store.WithDigest(ask.Have)
		}
	})
	if !done {
		return nil, seal.Refused.New("not the primary")
	}
	if ask.Deltas && len(tell.States) == 1 && !ask.List {
		tell.States[0] = shortened(tell.States[0], base)
	}
	return tell, nil
}

// Status is what operators are shown of a postmaster.
type Status struct {
	Core    replication.Status `json:"core"`
	Serial  uint64             `json:"serial"`
	Holders []HolderStatus     `json:"tenure_holders,omitempty"`
	// Computed counts the differences between versions that this process worked out.
	Computed uint64 `json:"differences_computed"`
}

// HolderStatus is one carrier's tenure.
type HolderStatus struct {
	Carrier string `json:"carrier"`
	Adopted uint64 `json:"adopted"`
	Since   int64  `json:"adopted_for_micros"`    // since this postmaster first heard that
	Took    int64  `json:"took_micros,omitempty"` // from the commit to its word, where this postmaster saw both
	Left    int64  `json:"left_micros"`
}

// Status tells how this postmaster stands.
func (master *Postmaster) Status() Status {
	status := Status{Core: master.Member.Status(), Computed: master.Computed()}
	master.Member.Read(func(uint64, postmark.Micros) { status.Serial = master.store.Serial() })
	master.lock.Lock()
	defer master.lock.Unlock()
	now := master.env.Place.Now()
	for _, present := range master.holders {
		if present.until > now && !present.released {
			status.Holders = append(status.Holders, HolderStatus{Carrier: present.name, Adopted: present.adopted, Since: int64(now - present.since), Took: int64(present.took), Left: int64(present.until - now)})
		}
	}
	sort.Slice(status.Holders, func(one, other int) bool { return status.Holders[one].Carrier < status.Holders[other].Carrier })
	return status
}

// Computed counts the differences between versions that this process worked out.
func (master *Postmaster) Computed() uint64 { return master.versions.Computed() }
