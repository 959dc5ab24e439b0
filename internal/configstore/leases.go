package configstore

import (
	"maps"
	"slices"
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// holder is one carrier's tenure. Invariants: until is no earlier than the end the carrier itself counts with; one that was
// released stays so, since that life of its carrier serves no more.
type holder struct {
	name     string
	adopted  uint64
	since    monotonic.Micros // when this process first heard that
	took     monotonic.Micros // from the commit until then, zero if this process doesn't know
	until    monotonic.Micros
	released bool
}

// settled is called when this process starts answering. Only after a takeover may strangers hold tenures.
func (master *Postmaster) settled(epoch uint64, _ monotonic.Micros) {
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
		master.env.Place.Sleep(monotonic.Second) // it isn't answering yet
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
	if now < master.ackFrom || !master.Member.ClockWatch.Steady() {
		return nil // there may be tenures that this process doesn't know of, or whose ends it can't tell
	}
	told := &wire.LeaseHolders{Complete: true}
	for _, key := range slices.Sorted(maps.Keys(master.holders)) {
		if present := master.holders[key]; present.until > now && !present.released {
			told.Holders = append(told.Holders, &wire.LeaseHolder{Key: key, Proxy: present.name, AdoptedVersion: present.adopted, Remaining: int64(present.until - now)})
		}
	}
	content, err := proto.Marshal(told)
	if err != nil {
		return nil
	}
	return content
}

func (master *Postmaster) takeHanded(epoch uint64, content []byte) {
	holders := &wire.LeaseHolders{}
	if proto.Unmarshal(content, holders) != nil || !holders.Complete {
		return
	}
	master.lock.Lock()
	defer master.lock.Unlock()
	master.handed, master.handedEpoch = map[string]*holder{}, epoch
	for _, present := range holders.Holders {
		master.handed[present.Key] = &holder{name: present.Proxy, adopted: present.AdoptedVersion, since: master.env.Place.Now(), until: master.env.Place.Now() + monotonic.Micros(present.Remaining)}
	}
}

func holderKey(ask *wire.ConfigPollRequest) string {
	return ask.Proxy + "/" + strconv.FormatUint(ask.Incarnation, 16)
}

func (master *Postmaster) adopted(ask *wire.ConfigPollRequest) {
	master.lock.Lock()
	now, took := master.env.Place.Now(), monotonic.Micros(-1)
	if present := master.holders[holderKey(ask)]; present != nil {
		if present.adopted < ask.CurrentVersion {
			present.adopted, present.since, present.took = ask.CurrentVersion, now, 0
			if ask.CurrentVersion == master.newest {
				took = now - master.newestAt
				present.took = took
			}
		}
	}
	master.lock.Unlock()
	if took >= 0 && master.env.Adopted != nil {
		master.env.Adopted(ask.Proxy, ask.CurrentVersion, took)
	}
	master.words.wake()
}

func (master *Postmaster) grant(ask *wire.ConfigPollRequest) {
	master.lock.Lock()
	defer master.lock.Unlock()
	key := holderKey(ask)
	if master.holders[key] == nil {
		master.holders[key] = &holder{name: ask.Proxy}
		master.forgetEarlierLives(ask.Proxy, key)
	}
	present := master.holders[key]
	if present.released {
		return // an earlier poll of the same life, held until now
	}
	now := master.env.Place.Now()
	if present.adopted < ask.CurrentVersion {
		present.adopted, present.since, present.took = ask.CurrentVersion, now, 0
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
func (master *Postmaster) release(ask *wire.ConfigPollRequest) *wire.ConfigPollResponse {
	master.lock.Lock()
	if present := master.holders[holderKey(ask)]; present != nil {
		present.released = true
	}
	master.lock.Unlock()
	master.words.wake()
	return &wire.ConfigPollResponse{}
}

// behind names the carriers that may still serve by an older serial for longer than Slack. Where carriers serve on, these are
// those heard within the last Lease that haven't adopted.
func (master *Postmaster) behind(serial uint64) (names []string, wait monotonic.Micros) {
	master.lock.Lock()
	defer master.lock.Unlock()
	now, slack := master.env.Place.Now(), master.env.Bounds.slack()
	if !master.Member.ClockWatch.Steady() {
		return []string{"(the clock may have leapt)"}, 100 * monotonic.Millisecond
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
