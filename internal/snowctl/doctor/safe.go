package doctor

import (
	"fmt"
	"slices"
)

// StopObjections reports why control plane processes may not be stopped, moved or emptied now; there are no objections if they may. unknown
// lists the names that are voters of no group.
func StopObjections(mesh MeshStatus, names []string) (unknown, objections []string) {
	known := map[string]bool{}
	for _, view := range groupViews(mesh) {
		for _, name := range view.voters {
			known[name] = true
		}
		for _, objection := range view.objections(names) {
			objections = append(objections, title(view.name)+": "+objection)
		}
	}
	for _, name := range names {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	return unknown, objections
}

// objections tells why those of a group's voters that are among names may not be stopped. Every other voter must be there, and both
// replicas must be in sync, so that the group tolerates the loss.
func (v groupView) objections(names []string) (objections []string) {
	stopping := v.countOf(names)
	if stopping == 0 {
		return nil
	}
	if stopping > 1 {
		objections = append(objections, "only one process of a group may be stopped at a time")
	}
	newest := v.newest()
	replicas := newest.ReplicaNames()
	for _, name := range v.seen {
		if slices.Contains(names, name) {
			continue
		}
		member := v.members[name]
		if !member.Joined {
			objections = append(objections, name+" has not joined again yet")
		}
		// A voter without a replica may be behind: whoever decides also asks others.
		if slices.Contains(replicas, name) && member.Epoch != newest.Epoch {
			objections = append(objections, fmt.Sprintf("%s is behind, at epoch %d of %d", name, member.Epoch, newest.Epoch))
		}
	}
	for _, name := range v.missing {
		if !slices.Contains(names, name) {
			objections = append(objections, name+" does not respond")
		}
	}
	if v.serving() != 1 || !newest.BackupsInSync {
		objections = append(objections, "no primary serves with a backup in sync")
	}
	for _, name := range replicas {
		if _, seen := v.members[name]; !seen && !slices.Contains(names, name) {
			objections = append(objections, fmt.Sprintf("the replica at %q cannot be seen", name))
		}
	}
	return objections
}
