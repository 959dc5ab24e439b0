package doctor

import (
	"fmt"
	"slices"
)

// StopObjections returns the reasons why control plane processes can't safely be stopped, moved or wiped now. unknown lists the names
// that aren't voters of any group.
func StopObjections(mesh MeshStatus, names []string) (unknown, objections []string) {
	known := map[string]bool{}
	for _, view := range groupViews(mesh) {
		for _, name := range view.voters {
			known[name] = true
		}
		for _, objection := range view.objections(names) {
			objections = append(objections, groupTitle(view.name)+": "+objection)
		}
	}
	for _, name := range names {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	return unknown, objections
}

// objections returns the reasons why the group's voters in names can't safely be stopped. For the group to tolerate the loss, every
// other voter must respond, and the replicas must be in sync.
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
	for _, name := range v.responding {
		if slices.Contains(names, name) {
			continue
		}
		member := v.members[name]
		if !member.Joined {
			objections = append(objections, name+" has not joined the group again yet")
		}
		// A voter without a replica may be behind, because every decision also involves other voters.
		if slices.Contains(replicas, name) && member.Epoch != newest.Epoch {
			objections = append(objections, fmt.Sprintf("%s is behind, at epoch %d instead of %d", name, member.Epoch, newest.Epoch))
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
			objections = append(objections, fmt.Sprintf("the replica %q does not respond", name))
		}
	}
	return objections
}
