package replication

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// sighting is what another seat told of itself when it was read.
type sighting struct {
	at      monotonic.Micros
	life    uint64
	intact  bool
	bound   monotonic.Micros // until when, by the own clock, it promises nobody anything but whom it's bound to
	boundTo string
}

// bound is for how long this seat promises nobody anything, but one; only the seat's task may ask.
func (member *Member) bound() (left int64, to string) {
	now, voter := member.env.Place.Now(), &member.voter
	switch {
	case now < voter.votesFrom:
		return int64(voter.votesFrom - now), ""
	case voter.grant.holder != nil && now < voter.grant.until:
		return int64(voter.grant.until - now), voter.grant.holder.Name
	}
	return 0, ""
}

// grantees are who may hold a lease granted here once one more is promised or granted something: while a grant stands, whoever
// was one before is too. A life that ended may be asking late, after its process's next one was granted a lease.
func (member *Member) grantees(name string, life uint64) (all []*wire.Grantee) {
	voter, fresh := &member.voter, &wire.Grantee{Name: name, ProcessId: life}
	if voter.grant.holder != nil && member.env.Place.Now() < voter.grant.until {
		all = slices.Clone(voter.record.Grantees)
	}
	if !slices.ContainsFunc(all, func(one *wire.Grantee) bool { return sameGrantee(one, fresh) }) {
		all = append(all, fresh)
	}
	return all
}

func sameGrantee(one, other *wire.Grantee) bool {
	return one.Name == other.Name && one.ProcessId == other.ProcessId
}

func sameGrantees(some, others []*wire.Grantee) bool {
	return slices.EqualFunc(some, others, sameGrantee)
}

// sighted notes what a seat told. It was read in this life, so a grantee of an earlier life of this seat that lives no more is
// seen to: its name answers as another life, and a name has one life at a time.
func (member *Member) sighted(name string, tell *wire.RegisterReadResponse) {
	member.learn(tell.Accepted, tell.Value)
	member.sawBallot(tell.Promised)
	now := member.env.Place.Now()
	member.lock.Lock()
	member.heard[name] = now
	member.seats[name] = sighting{at: now, life: tell.ProcessId, intact: tell.Intact, bound: now + monotonic.Micros(tell.LeaseRemaining), boundTo: tell.LeaseGrantedTo}
	lives := map[string]uint64{member.env.Name: member.life}
	for other, one := range member.seats {
		lives[other] = one.life
	}
	member.lock.Unlock()
	member.seat.Do(func() { member.inherit(lives) })
}

// inherit ends the wait for an earlier life's grants, if each life that may hold one is over.
func (member *Member) inherit(lives map[string]uint64) {
	voter := &member.voter
	over := func(one *wire.Grantee) bool {
		return one.ProcessId != 0 && lives[one.Name] != 0 && lives[one.Name] != one.ProcessId
	}
	if voter.inherited && !slices.ContainsFunc(voter.record.Grantees, func(one *wire.Grantee) bool { return !over(one) }) {
		voter.votesFrom, voter.inherited = min(voter.votesFrom, member.env.Place.Now()), false
	}
}

// vacant tells whether a quorum of those who were seen lately would promise this member something now, and otherwise when it
// may. It's a hint that saves ballots which would only stand in a primary's way.
func (member *Member) vacant() (free bool, wait monotonic.Micros) {
	present, _ := member.configuration()
	now, until := member.env.Place.Now(), map[string]monotonic.Micros{}
	member.seat.Do(func() {
		left, to := member.bound()
		if member.voter.record.Joined {
			until[member.env.Name] = now
			if to != member.env.Name {
				until[member.env.Name] = now + monotonic.Micros(left)
			}
		}
	})
	member.lock.Lock()
	for name, one := range member.seats {
		switch {
		case !one.intact || now-one.at > member.env.Patience:
		case one.boundTo == member.env.Name:
			until[name] = now
		default:
			until[name] = max(one.bound, now)
		}
	}
	member.lock.Unlock()
	for _, moment := range slices.Sorted(maps.Values(until)) {
		var names []string
		for name, free := range until {
			if free <= moment {
				names = append(names, name)
			}
		}
		if present.decides(names) {
			return moment <= now, moment - now
		}
	}
	return false, member.env.Beat
}

// majoritySeen tells whether this seat and those whose registers were read within a span are a quorum: what was chosen before is known here.
func (member *Member) majoritySeen(within monotonic.Micros) bool {
	present, _ := member.configuration()
	seen, now := []string{member.env.Name}, member.env.Place.Now()
	member.lock.Lock()
	for name, one := range member.seats {
		if one.intact && now-one.at <= within {
			seen = append(seen, name)
		}
	}
	member.lock.Unlock()
	return present.decides(seen)
}

// succeeds tells whether this member, the primary that the register names, need not leave the lead to one of its backups: none is
// back, or a lease of this member's own earlier life stands in a backup's way.
func (member *Member) succeeds(value *wire.RegisterValue) bool {
	now := member.env.Place.Now()
	member.lock.Lock()
	defer member.lock.Unlock()
	back := slices.ContainsFunc(backupsOf(value), func(backup *wire.MemberID) bool {
		one, seen := member.seats[backup.Name]
		return seen && one.intact && now-one.at <= member.env.Patience
	})
	for _, one := range member.seats {
		if one.boundTo == member.env.Name && one.bound > now {
			return true
		}
	}
	return !back
}
