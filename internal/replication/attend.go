package replication

import (
	"snowflow/internal/monotonic"
)

// attend keeps this member's place: it joins, renews the tenure it has, and takes over when the primary is silent.
func (member *Member) attend() {
	place, pause, vacantSince := member.env.Place, member.glance(), monotonic.Micros(-1)
	soon := monotonic.Minute
	for ; ; pause = min(member.rest(), soon) {
		member.nudge.Wait(pause)
		soon = monotonic.Minute
		joined := false
		member.seat.Do(func() { joined = member.voter.record.Joined })
		if !joined {
			member.join()
			if !member.amongVoters() {
				place.Sleep(member.env.Tenure / 2) // a stranger waits for the primary, not the other way round
			}
			continue
		}
		member.lock.Lock()
		leading, young := member.lead.epoch != 0, member.young
		silent := place.Now() - member.lastHeard
		member.lock.Unlock()
		if leading {
			member.renew()
			member.tend()
			continue
		}
		if !member.amongVoters() && !member.holder() {
			member.enroll(true)
			place.Sleep(member.env.Tenure - member.env.Beat)
			continue
		}
		if silent <= member.env.Tenure && !young || member.tenureStands() {
			vacantSince = -1
			continue
		}
		member.refresh()
		member.lock.Lock()
		value := member.value
		member.lock.Unlock()
		// The backup is first in line; a primary that restarted waits a little longer, and so does each next voter at genesis.
		backup := holds(backupsOf(value), member.self())
		free, wait := member.vacant()
		if now := place.Now(); !free {
			vacantSince = -1
		} else if vacantSince < 0 {
			vacantSince = now
		}
		ready := value != nil && free && (backup || member.succeeds(value) || place.Now()-vacantSince >= member.env.Beat)
		patience := member.env.Tenure + member.env.Beat
		if value == nil {
			patience = monotonic.Micros(member.rank()) * member.env.Tenure
		} else if !backup {
			patience += 2 * member.env.Beat
		}
		if ready || silent > patience+monotonic.Micros(place.Random()%uint64(member.env.Beat)) {
			member.takeOver(value)
		} else if value != nil && !free {
			soon = max(wait, monotonic.Millisecond)
		}
	}
}

// grown notes that a primary was heard of, or that this member tried to be one.
func (member *Member) grown() {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.young = false
}

// glance is how soon a process that has just started, or sees nobody lead, looks again.
func (member *Member) glance() monotonic.Micros { return member.env.Beat / 6 }

// tenureStands tells whether this seat still grants somebody else's tenure, a sign of life of the primary.
func (member *Member) tenureStands() (stands bool) {
	self := member.self()
	member.seat.Do(func() { stands = member.rivalHeld(self) })
	return stands
}

// pace is how often a primary renews its lease and has its backups hear of it.
func (member *Member) pace() monotonic.Micros { return member.env.Tenure / 3 }

// rest is how long nothing can be due here: a primary renews at its pace, and others look again when the one that they heard may
// be silent for too long. A handover cuts it short.
func (member *Member) rest() monotonic.Micros {
	member.lock.Lock()
	leading, young, silent := member.lead.epoch != 0, member.young && member.value != nil, member.env.Place.Now()-member.lastHeard
	member.lock.Unlock()
	joined, stands := false, monotonic.Micros(0)
	self := member.self()
	member.seat.Do(func() {
		joined = member.voter.record.Joined
		if member.rivalHeld(self) {
			stands = member.voter.grant.until - member.env.Place.Now()
		}
	})
	switch {
	case !joined:
		return member.env.Beat
	case leading:
		return member.pace()
	case stands > 0:
		return stands + monotonic.Millisecond
	case young && silent < 2*member.env.Tenure:
		return member.glance()
	case silent < member.env.Tenure:
		return min(member.env.Tenure-silent, member.env.Tenure) + monotonic.Millisecond
	case silent > 4*member.env.Tenure:
		return member.env.Beat
	}
	return 2 * member.glance()
}

// amongVoters tells whether the newest roster heard of has this member.
func (member *Member) amongVoters() bool {
	present, _ := member.configuration()
	return present.has(member.env.Name)
}

// holder tells whether the newest value heard of names this copy as one of those that hold every acknowledged write.
func (member *Member) holder() bool {
	self := member.self()
	member.lock.Lock()
	defer member.lock.Unlock()
	return member.value != nil && (sameHolder(member.value.Primary, self) || holds(backupsOf(member.value), self))
}

// refresh reads the other voters' registers: this seat may have missed the ballot that names it as a holder. Answers that come
// late are taken note of all the same.
func (member *Member) refresh() {
	gather(member, member.acquaintances(), 2*member.glance(), member.read, nil)
}
