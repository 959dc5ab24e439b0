// Package quorumtest has functions on sets of names for tests of quorums.
package quorumtest

import "slices"

// Subsets returns every subset of names, the empty one first.
func Subsets(names []string) [][]string {
	all := make([][]string, 0, 1<<len(names))
	for mask := range 1 << len(names) {
		var subset []string
		for index, name := range names {
			if mask&(1<<index) != 0 {
				subset = append(subset, name)
			}
		}
		all = append(all, subset)
	}
	return all
}

// Overlap reports whether two sets share a name.
func Overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(name string) bool { return slices.Contains(b, name) })
}
