// Package membership implements the policy by which a replication group changes its voters.
//
// The primary builds a State from its observations and calls State.Next. The result is only a proposal: package
// replication carries it out by joint consensus, one voter at a time. This package has no I/O and no clock.
package membership

import (
	"slices"

	"snowflow/internal/replication/quorum"
)

// State is the input of the policy, as observed by a primary.
type State struct {
	// Voters are the current voters. No change may be in progress.
	Voters quorum.Voters
	// TargetSize is the desired number of voters.
	TargetSize int
	// Replicas are the primary and its backups, which always remain voters.
	Replicas []string
	// Silent are the voters that haven't responded recently. Lost are the silent voters that haven't responded for longer
	// than the voter timeout and may be replaced.
	Silent, Lost map[string]bool
	// Leaving are the voters that are shutting down gracefully.
	Leaving map[string]bool
	// Standbys are the reachable processes with a known address that have a register but no vote, sorted by name.
	Standbys []string
	// Zones maps names to failure domains. A name without an entry, or with an empty one, is in an unknown zone.
	Zones map[string]string
}

// Next returns the voters to change to, or nil for no change. At most one voter is added, replaced or removed.
//
// Invariants, checked for every state of up to five voters by TestPolicyKeepsAQuorum: voters with a replica remain; the
// voters and standbys that respond include a quorum both of the current and of the next voters, so the change can be
// committed.
func (s State) Next() quorum.Voters {
	for _, rule := range []func() quorum.Voters{s.replaceVoter, s.addVoter, s.removeVoter, s.spreadZones} {
		if next := rule(); next != nil && s.canCommit(next) {
			return next
		}
	}
	return nil
}

// canCommit reports whether a change to the next voters would have a quorum of both sets.
func (s State) canCommit(next quorum.Voters) bool {
	var responsive []string
	for _, name := range slices.Concat(s.Voters, s.Standbys) {
		if !s.Silent[name] {
			responsive = append(responsive, name)
		}
	}
	return s.Voters.HasQuorum(responsive) && next.HasQuorum(responsive)
}

// removableVoter returns the index of the first lost voter without a replica, else of the first leaving voter without one,
// or -1.
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

// replaceVoter replaces a lost or leaving voter by a standby.
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

// addVoter adds a standby if there are fewer voters than desired and all of them respond. While a voter is silent the
// standby may be needed as its replacement.
func (s State) addVoter() quorum.Voters {
	if len(s.Standbys) == 0 || len(s.Voters) >= s.TargetSize || len(s.Silent) > 0 {
		return nil
	}
	return append(slices.Clone(s.Voters), s.preferredStandby(s.Voters))
}

// removeVoter removes a lost or leaving voter if there are more voters than desired.
func (s State) removeVoter() quorum.Voters {
	index := s.removableVoter()
	if index < 0 || len(s.Voters) <= s.TargetSize {
		return nil
	}
	return slices.Delete(slices.Clone(s.Voters), index, index+1)
}

// spreadZones replaces a voter that shares its zone with another voter by a standby in a zone without voters. It applies
// only while every voter responds and none is leaving. It terminates, because each change adds a zone.
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

// preferredStandby returns the first standby in a known zone without any of the given voters, else the first standby.
// There must be at least one standby.
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
