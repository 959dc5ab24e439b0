package doctor

import (
	"fmt"
	"slices"

	"snowflow/internal/replication"
)

// sight is what a desk sees of one group of the core.
type groupView struct {
	group   string
	voters  []string
	seen    []string
	missing []string
	members map[string]replication.Status
}

// sights sorts the core's members by group. A voter that no member names isn't known of.
func groupViews(mesh Mesh) (all []groupView) {
	for _, group := range []string{"postmaster", "sorter"} {
		view := groupView{group: group, members: map[string]replication.Status{}}
		for _, member := range coreMembers(mesh) {
			if member.Group == group {
				view.voters = member.Voters
				view.members[member.Name] = member
			}
		}
		for _, name := range view.voters {
			if _, answered := view.members[name]; answered {
				view.seen = append(view.seen, name)
			} else {
				view.missing = append(view.missing, name)
			}
		}
		all = append(all, view)
	}
	return all
}

// split tells which part of the core this desk sees, and whether that part can decide.
func checkPartition(mesh Mesh) (findings []Finding) {
	for _, view := range groupViews(mesh) {
		if len(view.missing) == 0 {
			continue
		}
		what := fmt.Sprintf("from this desk %v can be seen and %v can't", view.seen, view.missing)
		if replication.HasQuorum(view.voters, view.seen) {
			findings = append(findings, Finding{Warning, "split", what + ": those seen can decide", "bring the others back, or their way to these; until then no further machine may go"})
		} else {
			findings = append(findings, Finding{Unhealthy, "split", what + ": those seen can't decide", "ask a desk on the other side, which may go on; bring the ways between them back"})
		}
	}
	return findings
}

// Safe tells why processes of the core may not be taken away, moved or emptied now: nothing if they may. unknown names those
// that no roster has.
func Safe(mesh Mesh, names []string) (unknown, objections []string) {
	known := map[string]bool{}
	for _, view := range groupViews(mesh) {
		leaving := 0
		for _, name := range view.voters {
			known[name] = true
			if slices.Contains(names, name) {
				leaving++
			}
		}
		if leaving == 0 {
			continue
		}
		object := func(format string, arguments ...any) {
			objections = append(objections, view.group+"s: "+fmt.Sprintf(format, arguments...))
		}
		if leaving > 1 {
			object("only one process of a group may go at a time")
		}
		newest, answering := replication.Status{}, 0
		for _, name := range view.seen {
			if member := view.members[name]; member.Epoch > newest.Epoch || member.Epoch == newest.Epoch && member.Serving {
				newest = member
			}
		}
		for _, name := range view.seen {
			member := view.members[name]
			if member.Serving {
				answering++
			}
			if !member.Joined && !slices.Contains(names, name) {
				object("%s has not joined again yet", name)
			}
			copies := slices.Contains(newest.ReplicaNames(), name) // a witness may lag: whoever decides asks others too
			if copies && member.Epoch != newest.Epoch && !slices.Contains(names, name) {
				object("%s is behind, at epoch %d of %d", name, member.Epoch, newest.Epoch)
			}
		}
		for _, name := range view.missing {
			if !slices.Contains(names, name) {
				object("%s doesn't answer", name)
			}
		}
		if answering != 1 || !newest.BackupsInSync {
			object("no primary answers with a backup in step")
		}
		for _, name := range newest.ReplicaNames() {
			if _, seen := view.members[name]; !seen && !slices.Contains(names, name) {
				object("the copy at %q can't be seen", name)
			}
		}
	}
	for _, name := range names {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	return unknown, objections
}
