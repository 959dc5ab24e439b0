package quorum

import (
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/replication/quorum/quorumtest"
)

// singleChanges returns the sets of voters after one change: the spare voter added (up to five voters), or one voter removed or
// replaced by the spare.
func singleChanges(voters Voters, spare string) (all []Voters) {
	if len(voters) < 5 {
		all = append(all, append(slices.Clone(voters), spare))
	}
	for index := range voters {
		replaced := slices.Clone(voters)
		replaced[index] = spare
		all = append(all, replaced)
		if len(voters) > 1 {
			all = append(all, slices.Delete(slices.Clone(voters), index, index+1))
		}
	}
	return all
}

// disjointQuorums describes two quorums, one of each configuration, that share no voter. It returns "" if there are none.
func disjointQuorums(subsets [][]string, one, another Config) string {
	for _, quorum := range subsets {
		if !one.HasQuorum(quorum) {
			continue
		}
		for _, other := range subsets {
			if another.HasQuorum(other) && !quorumtest.Overlap(quorum, other) {
				return fmt.Sprintf("%v by %v and %v by %v", quorum, one, other, another)
			}
		}
	}
	return ""
}

// TestConfigurationsOverlap checks, for every single change of up to five voters and every subset of the old and new
// voters, that any two quorums of configurations that may both still make decisions share a voter. Without the joint
// step some change leads to disjoint quorums.
func TestConfigurationsOverlap(t *testing.T) {
	changesThatNeedJoint := 0
	for size := 1; size <= 5; size++ {
		voters := Voters{"a", "b", "c", "d", "e"}[:size]
		for _, next := range singleChanges(voters, "z") {
			stable, joint, after := Config{Voters: voters}, Config{voters, next}, Config{Voters: next}
			subsets := quorumtest.Subsets(joint.AllVoters())
			for _, pair := range [][2]Config{{stable, stable}, {stable, joint}, {joint, joint}, {joint, after}, {after, after}} {
				if found := disjointQuorums(subsets, pair[0], pair[1]); found != "" {
					t.Errorf("%v to %v: disjoint quorums: %s", voters, next, found)
				}
			}
			if disjointQuorums(subsets, stable, after) != "" {
				changesThatNeedJoint++
			}
			checkReadQuorums(t, subsets, joint)
		}
	}
	if changesThatNeedJoint == 0 {
		t.Error("no change needs the joint step, so this test doesn't cover it")
	}
}

// checkReadQuorums checks that a read quorum shares a voter with every quorum.
func checkReadQuorums(t *testing.T, subsets [][]string, joint Config) {
	t.Helper()
	for _, read := range subsets {
		for _, decided := range subsets {
			if joint.HasReadQuorum(read) && joint.HasQuorum(decided) && !quorumtest.Overlap(read, decided) {
				t.Errorf("%v: the read quorum %v shares no voter with the quorum %v", joint, read, decided)
			}
		}
	}
}
