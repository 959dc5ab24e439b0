package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// neighbours are the rosters that one change may lead to: one voter more, one less, one replaced.
func neighbours(voters voterSet, spare string) (all []voterSet) {
	if len(voters) < 5 {
		all = append(all, append(slices.Clone(voters), spare))
	}
	for position := range voters {
		replaced := slices.Clone(voters)
		replaced[position] = spare
		all = append(all, replaced)
		if len(voters) > 1 {
			all = append(all, slices.Delete(slices.Clone(voters), position, position+1))
		}
	}
	return all
}

// TestConfigurationsMeet tries every change of up to five voters, and every subset of all who take part: any two quorums of
// configurations that may both still decide share a voter. Without the joint step some change lets two decide apart.
func TestConfigurationsMeet(t *testing.T) {
	apart := 0
	for size := 1; size <= 5; size++ {
		voters := voterSet{"a", "b", "c", "d", "e"}[:size]
		for _, other := range neighbours(voters, "z") {
			stable, joint, after := configuration{voters: voters}, configuration{voters, other}, configuration{voters: other}
			everybody := subsets(joint.members())
			disjoint := func(one, another configuration) (found string) {
				for _, some := range everybody {
					if !one.hasQuorum(some) {
						continue
					}
					for _, others := range everybody {
						if another.hasQuorum(others) && !meet(some, others) {
							return fmt.Sprintf("%v by %v and %v by %v", some, one, others, another)
						}
					}
				}
				return ""
			}
			for _, pair := range [][2]configuration{{stable, stable}, {stable, joint}, {joint, joint}, {joint, after}, {after, after}} {
				if found := disjoint(pair[0], pair[1]); found != "" {
					t.Errorf("%v to %v: decide apart: %s", voters, other, found)
				}
			}
			if disjoint(stable, after) != "" {
				apart++
			}
			// What a blank voter hears of includes whatever was decided.
			for _, some := range everybody {
				for _, decided := range everybody {
					if joint.hasReadQuorum(some) && joint.hasQuorum(decided) && !meet(some, decided) {
						t.Errorf("%v to %v: %v would not hear of what %v decided", voters, other, some, decided)
					}
				}
			}
		}
	}
	if apart == 0 {
		t.Error("no change needs the joint step, so this test looks at nothing")
	}
}

func set(names ...string) map[string]bool {
	chosen := map[string]bool{}
	for _, name := range names {
		chosen[name] = true
	}
	return chosen
}

// domains reads words of a name and its domain, a letter each.
func parseZones(text string) map[string]string {
	found := map[string]string{}
	for _, pair := range strings.Fields(text) {
		found[pair[:1]] = pair[1:]
	}
	return found
}

func TestRosterPolicy(t *testing.T) {
	three, four, five := voterSet{"a", "b", "c"}, voterSet{"a", "b", "c", "d"}, voterSet{"a", "b", "c", "d", "e"}
	for name, one := range map[string]struct {
		given membershipState
		next  voterSet
	}{
		"nothing to do":                         {membershipState{voters: three, wanted: 3}, nil},
		"a fourth comes":                        {membershipState{voters: three, wanted: 4, standbys: []string{"d"}}, four},
		"one at a time":                         {membershipState{voters: three, wanted: 5, standbys: []string{"d", "e"}}, four},
		"no more than five wanted":              {membershipState{voters: five, wanted: 5, standbys: []string{"f"}}, nil},
		"no more than wanted":                   {membershipState{voters: three, wanted: 3, standbys: []string{"d"}}, nil},
		"fewer than wanted":                     {membershipState{voters: three, wanted: 4, standbys: []string{"d"}}, four},
		"none is added while one is silent":     {membershipState{voters: three, wanted: 4, silent: set("b"), standbys: []string{"d"}}, nil},
		"gone without a successor":              {membershipState{voters: three, wanted: 3, silent: set("b"), lost: set("b")}, nil},
		"gone with a successor":                 {membershipState{voters: three, silent: set("b"), lost: set("b"), standbys: []string{"d"}}, voterSet{"a", "d", "c"}},
		"the first is gone":                     {membershipState{voters: four, silent: set("a"), lost: set("a"), standbys: []string{"e"}}, voterSet{"e", "b", "c", "d"}},
		"a copy stays":                          {membershipState{voters: three, replicas: []string{"a", "b"}, silent: set("b"), lost: set("b"), standbys: []string{"d"}}, nil},
		"gone and more than wanted":             {membershipState{voters: four, wanted: 3, silent: set("d"), lost: set("d")}, three},
		"gone, as many as wanted":               {membershipState{voters: three, wanted: 3, silent: set("c"), lost: set("c")}, nil},
		"leaving with a successor":              {membershipState{voters: three, wanted: 3, leaving: set("b"), standbys: []string{"d"}}, voterSet{"a", "d", "c"}},
		"leaving without a successor":           {membershipState{voters: three, wanted: 3, leaving: set("b")}, nil},
		"leaving, and more than wanted":         {membershipState{voters: four, wanted: 3, leaving: set("d")}, three},
		"leaving with a copy":                   {membershipState{voters: three, wanted: 3, replicas: []string{"b"}, leaving: set("b"), standbys: []string{"d"}}, nil},
		"the gone go before the leaving":        {membershipState{voters: three, wanted: 3, silent: set("c"), lost: set("c"), leaving: set("b"), standbys: []string{"d"}}, voterSet{"a", "b", "d"}},
		"two gone of five, one successor":       {membershipState{voters: five, silent: set("b", "c"), lost: set("b", "c"), standbys: []string{"f"}}, voterSet{"a", "f", "c", "d", "e"}},
		"those that are left are no quorum":     {membershipState{voters: three, silent: set("b", "c"), lost: set("b"), standbys: []string{"d"}}, nil},
		"left out, the rest would be no quorum": {membershipState{voters: four, wanted: 3, silent: set("a", "b"), lost: set("b")}, nil},
		"a replacement keeps the wanted number": {membershipState{voters: three, wanted: 3, silent: set("c"), lost: set("c"), standbys: []string{"d"}}, voterSet{"a", "b", "d"}},
		"into a domain of its own":              {membershipState{voters: three, wanted: 4, standbys: []string{"d", "e"}, zones: parseZones("a1 b2 c3 d1 e4")}, voterSet{"a", "b", "c", "e"}},
		"a successor apart from the others":     {membershipState{voters: three, wanted: 3, silent: set("b"), lost: set("b"), standbys: []string{"d", "e"}, zones: parseZones("a1 b2 c3 d1 e2")}, voterSet{"a", "e", "c"}},
		"two in one domain":                     {membershipState{voters: three, wanted: 3, replicas: []string{"a"}, standbys: []string{"d"}, zones: parseZones("a1 b1 c2 d3")}, voterSet{"a", "d", "c"}},
		"two in one domain, and nobody better":  {membershipState{voters: three, wanted: 3, standbys: []string{"d"}, zones: parseZones("a1 b1 c2 d2")}, nil},
		"two in one domain, both with a copy":   {membershipState{voters: three, wanted: 3, replicas: []string{"a", "b"}, standbys: []string{"d"}, zones: parseZones("a1 b1 c2 d3")}, nil},
		"domains that nobody told":              {membershipState{voters: three, wanted: 3, standbys: []string{"d"}, zones: parseZones("")}, nil},
		"alone, and a second comes":             {membershipState{voters: voterSet{"a"}, wanted: 3, standbys: []string{"b"}}, voterSet{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			if next := one.given.nextVoters(); !slices.Equal(next, one.next) {
				t.Errorf("%v", next)
			}
		})
	}
}

// TestRosterPolicyKeepsAQuorum tries every situation of up to five voters: whatever is chosen can be carried through by those who
// answer, changes one place, and keeps whoever holds a copy.
func TestRosterPolicyKeepsAQuorum(t *testing.T) {
	changes := 0
	for size := 1; size <= 5; size++ {
		voters := voterSet{"a", "b", "c", "d", "e"}[:size]
		for _, silent := range subsets(voters) {
			for _, gone := range subsets(silent) {
				for wanted := range 6 {
					leaving := set(voters[(wanted+len(gone))%size]) // each in its turn
					for _, waiting := range [][]string{nil, {"y"}, {"y", "z"}} {
						one := membershipState{voters: voters, wanted: wanted, replicas: []string{"a"}, silent: set(silent...), lost: set(gone...), leaving: leaving, standbys: waiting}
						next := one.nextVoters()
						if next == nil {
							continue
						}
						changes++
						live := slices.DeleteFunc(slices.Concat(voters, waiting), func(name string) bool { return slices.Contains(silent, name) })
						if !HasQuorum(voters, live) || !HasQuorum(next, live) {
							t.Fatalf("%+v: %v can't be carried through by %v", one, next, live)
						}
						different := 0
						for _, name := range slices.Concat(voters, next) {
							if !slices.Contains(next, name) || !slices.Contains(voters, name) {
								different++
							}
						}
						if !slices.Contains(next, "a") || different > 2 || different == 0 || len(next) > max(5, size) {
							t.Fatalf("%+v: %v", one, next)
						}
					}
				}
			}
		}
	}
	if changes < 100 {
		t.Errorf("only %d changes", changes)
	}
}
