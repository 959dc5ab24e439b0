// Package membership decides how the voters of a replication group should change.
//
// The primary collects a State from what it observes and calls State.Next. The result is a proposal only: the
// replication package carries it out by joint consensus, one voter at a time. The package has no I/O and no clock.
package membership

import (
	"slices"

	"snowflow/internal/replication/quorum"
)

// State is what a primary knows when it decides whether the voters should change.
type State struct {
	// Voters are the present voters; no change is under way.
	Voters quorum.Voters
	// TargetSize is the number of voters wanted.
	TargetSize int
	// Replicas are the primary and its backups, which always remain voters.
	Replicas []string
	// Silent are the voters that haven't responded lately. Lost are those among them that have been silent for longer
	// than the voter timeout, and may be replaced.
	Silent, Lost map[string]bool
	// Leaving are the voters that are shutting down gracefully.
	Leaving map[string]bool
	// Standbys are the processes in contact, at a known address, that have a register but no vote, sorted by name.
	Standbys []string
	// Zones maps names to failure domains. A name without an entry, or with an empty one, is in an unknown zone.
	Zones map[string]string
}

// Next returns the voters to change to, or nil if they should stay as they are. At most one voter is added, replaced or
// removed.
//
// Invariants, checked for every state of up to five voters by TestPolicyKeepsAQuorum: voters that hold a replica remain;
// the voters and standbys that respond include a quorum both of the present voters and of the next ones, so that the
// change can be committed.
func (s State) Next() quorum.Voters {
	for _, rule := range []func() quorum.Voters{s.replaceVoter, s.addVoter, s.removeVoter, s.spreadZones} {
		if next := rule(); next != nil && s.canCommit(next) {
			return next
		}
	}
	return nil
}

// canCommit reports whether a change to some voters would find a quorum of both sets.
func (s State) canCommit(next quorum.Voters) bool {
	var responsive []string
	for _, name := range slices.Concat(s.Voters, s.Standbys) {
		if !s.Silent[name] {
			responsive = append(responsive, name)
		}
	}
	return s.Voters.HasQuorum(responsive) && next.HasQuorum(responsive)
}

// removableVoter returns the index of the first lost voter without a replica, or else of the first leaving one, or -1.
func (s State) removableVoter() int {
	for _, removable := range []map[string]bool{s.Lost, s.Leaving} {
		index := slices.IndexFunc(s.Voters, func(name string) bool { return removable[name] && !s.hasReplica(name) })
		if index >= 0 {
			return index
		}
	}
	return -1
}

func (s State) hasReplica(name string) bool { return slices.Contains(s.Replicas, name) }

// replaceVoter puts a standby in the place of a lost or leaving voter.
func (s State) replaceVoter() quorum.Voters {
	index := s.removableVoter()
	if index < 0 || len(s.Standbys) == 0 {
		return nil
	}
	others := slices.Delete(slices.Clone(s.Voters), index, index+1)
	next := slices.Clone(s.Voters)
	next[index] = s.preferredStandby(others)
	return next
}

// addVoter adds a standby if there are fewer voters than wanted and all of them respond: a silent voter may have to be
// replaced by that standby instead.
func (s State) addVoter() quorum.Voters {
	if len(s.Standbys) == 0 || len(s.Voters) >= s.TargetSize || len(s.Silent) > 0 {
		return nil
	}
	return append(slices.Clone(s.Voters), s.preferredStandby(s.Voters))
}

// removeVoter removes a lost or leaving voter if there are more voters than wanted.
func (s State) removeVoter() quorum.Voters {
	index := s.removableVoter()
	if index < 0 || len(s.Voters) <= s.TargetSize {
		return nil
	}
	return slices.Delete(slices.Clone(s.Voters), index, index+1)
}

// spreadZones replaces a voter that shares its zone with another by a standby in a zone that has no voter. It acts only
// while every voter responds and none is leaving. Each such change adds a zone, so the changes come to an end.
func (s State) spreadZones() quorum.Voters {
	if len(s.Standbys) == 0 || len(s.Silent) > 0 || len(s.Leaving) > 0 {
		return nil
	}
	votersIn := map[string]int{}
	for _, name := range s.Voters {
		votersIn[s.Zones[name]]++
	}
	standby := s.preferredStandby(s.Voters)
	if zone := s.Zones[standby]; zone == "" || votersIn[zone] > 0 {
		return nil
	}
	for index, name := range s.Voters {
		zone := s.Zones[name]
		if zone != "" && votersIn[zone] > 1 && !s.hasReplica(name) {
			next := slices.Clone(s.Voters)
			next[index] = standby
			return next
		}
	}
	return nil
}

// preferredStandby returns the first standby in a zone where none of some voters is, or else the first standby. There
// must be one.
func (s State) preferredStandby(voters quorum.Voters) string {
	occupied := map[string]bool{"": true}
	for _, name := range voters {
		occupied[s.Zones[name]] = true
	}
	for _, name := range s.Standbys {
		if !occupied[s.Zones[name]] {
			return name
		}
	}
	return s.Standbys[0]
}
