package replication

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// neighbours are the rosters that one change may lead to: one voter more, one less, one replaced.
func neighbours(voters roster, spare string) (all []roster) {
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
		voters := roster{"a", "b", "c", "d", "e"}[:size]
		for _, other := range neighbours(voters, "z") {
			stable, joint, after := configuration{voters: voters}, configuration{voters, other}, configuration{voters: other}
			everybody := subsets(joint.all())
			disjoint := func(one, another configuration) (found string) {
				for _, some := range everybody {
					if !one.decides(some) {
						continue
					}
					for _, others := range everybody {
						if another.decides(others) && !meet(some, others) {
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
					if joint.heard(some) && joint.decides(decided) && !meet(some, decided) {
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
func domains(text string) map[string]string {
	found := map[string]string{}
	for _, word := range strings.Fields(text) {
		found[word[:1]] = word[1:]
	}
	return found
}

func TestRosterPolicy(t *testing.T) {
	three, four, five := roster{"a", "b", "c"}, roster{"a", "b", "c", "d"}, roster{"a", "b", "c", "d", "e"}
	for name, one := range map[string]struct {
		given situation
		next  roster
	}{
		"nothing to do":                         {situation{voters: three, size: 3}, nil},
		"a fourth comes":                        {situation{voters: three, size: 4, waiting: []string{"d"}}, four},
		"one at a time":                         {situation{voters: three, size: 5, waiting: []string{"d", "e"}}, four},
		"no more than five wanted":              {situation{voters: five, size: 5, waiting: []string{"f"}}, nil},
		"no more than wanted":                   {situation{voters: three, size: 3, waiting: []string{"d"}}, nil},
		"fewer than wanted":                     {situation{voters: three, size: 4, waiting: []string{"d"}}, four},
		"none is added while one is silent":     {situation{voters: three, size: 4, silence: set("b"), waiting: []string{"d"}}, nil},
		"gone without a successor":              {situation{voters: three, size: 3, silence: set("b"), gone: set("b")}, nil},
		"gone with a successor":                 {situation{voters: three, silence: set("b"), gone: set("b"), waiting: []string{"d"}}, roster{"a", "d", "c"}},
		"the first is gone":                     {situation{voters: four, silence: set("a"), gone: set("a"), waiting: []string{"e"}}, roster{"e", "b", "c", "d"}},
		"a copy stays":                          {situation{voters: three, held: []string{"a", "b"}, silence: set("b"), gone: set("b"), waiting: []string{"d"}}, nil},
		"gone and more than wanted":             {situation{voters: four, size: 3, silence: set("d"), gone: set("d")}, three},
		"gone, as many as wanted":               {situation{voters: three, size: 3, silence: set("c"), gone: set("c")}, nil},
		"leaving with a successor":              {situation{voters: three, size: 3, leaving: set("b"), waiting: []string{"d"}}, roster{"a", "d", "c"}},
		"leaving without a successor":           {situation{voters: three, size: 3, leaving: set("b")}, nil},
		"leaving, and more than wanted":         {situation{voters: four, size: 3, leaving: set("d")}, three},
		"leaving with a copy":                   {situation{voters: three, size: 3, held: []string{"b"}, leaving: set("b"), waiting: []string{"d"}}, nil},
		"the gone go before the leaving":        {situation{voters: three, size: 3, silence: set("c"), gone: set("c"), leaving: set("b"), waiting: []string{"d"}}, roster{"a", "b", "d"}},
		"two gone of five, one successor":       {situation{voters: five, silence: set("b", "c"), gone: set("b", "c"), waiting: []string{"f"}}, roster{"a", "f", "c", "d", "e"}},
		"those that are left are no quorum":     {situation{voters: three, silence: set("b", "c"), gone: set("b"), waiting: []string{"d"}}, nil},
		"left out, the rest would be no quorum": {situation{voters: four, size: 3, silence: set("a", "b"), gone: set("b")}, nil},
		"a replacement keeps the wanted number": {situation{voters: three, size: 3, silence: set("c"), gone: set("c"), waiting: []string{"d"}}, roster{"a", "b", "d"}},
		"into a domain of its own":              {situation{voters: three, size: 4, waiting: []string{"d", "e"}, domain: domains("a1 b2 c3 d1 e4")}, roster{"a", "b", "c", "e"}},
		"a successor apart from the others":     {situation{voters: three, size: 3, silence: set("b"), gone: set("b"), waiting: []string{"d", "e"}, domain: domains("a1 b2 c3 d1 e2")}, roster{"a", "e", "c"}},
		"two in one domain":                     {situation{voters: three, size: 3, held: []string{"a"}, waiting: []string{"d"}, domain: domains("a1 b1 c2 d3")}, roster{"a", "d", "c"}},
		"two in one domain, and nobody better":  {situation{voters: three, size: 3, waiting: []string{"d"}, domain: domains("a1 b1 c2 d2")}, nil},
		"two in one domain, both with a copy":   {situation{voters: three, size: 3, held: []string{"a", "b"}, waiting: []string{"d"}, domain: domains("a1 b1 c2 d3")}, nil},
		"domains that nobody told":              {situation{voters: three, size: 3, waiting: []string{"d"}, domain: domains("")}, nil},
		"alone, and a second comes":             {situation{voters: roster{"a"}, size: 3, waiting: []string{"b"}}, roster{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			if next := one.given.next(); !slices.Equal(next, one.next) {
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
		voters := roster{"a", "b", "c", "d", "e"}[:size]
		for _, silent := range subsets(voters) {
			for _, gone := range subsets(silent) {
				for wanted := range 6 {
					leaving := set(voters[(wanted+len(gone))%size]) // each in its turn
					for _, waiting := range [][]string{nil, {"y"}, {"y", "z"}} {
						one := situation{voters: voters, size: wanted, held: []string{"a"}, silence: set(silent...), gone: set(gone...), leaving: leaving, waiting: waiting}
						next := one.next()
						if next == nil {
							continue
						}
						changes++
						live := slices.DeleteFunc(slices.Concat(voters, waiting), func(name string) bool { return slices.Contains(silent, name) })
						if !Decides(voters, live) || !Decides(next, live) {
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
