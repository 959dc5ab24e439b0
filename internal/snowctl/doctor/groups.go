package doctor

import (
	"slices"

	"snowflow/internal/configstore"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
)

// groupNames are the control plane's groups, in the order of findings.
var groupNames = []string{configstore.Group, registry.Group}

// groupView is what the configuration store that responded sees of one group.
type groupView struct {
	name    string
	voters  []string
	seen    []string // voters whose status is known
	missing []string // the others
	members map[string]replication.Status
}

// title names a group in findings.
func title(group string) string {
	switch group {
	case configstore.Group:
		return "configuration store"
	case registry.Group:
		return "registry"
	}
	return group
}

// groupViews sorts the members by group. Voters that no known member names are unknown.
func groupViews(mesh MeshStatus) (all []groupView) {
	for _, group := range groupNames {
		view := groupView{name: group, members: map[string]replication.Status{}}
		for _, member := range mesh.members() {
			if member.Group == group {
				view.voters = member.Voters
				view.members[member.Name] = member
			}
		}
		for _, name := range view.voters {
			if _, known := view.members[name]; known {
				view.seen = append(view.seen, name)
			} else {
				view.missing = append(view.missing, name)
			}
		}
		all = append(all, view)
	}
	return all
}

// newest is the seen member with the highest epoch, the one that serves if several have it.
func (v groupView) newest() (newest replication.Status) {
	for _, name := range v.seen {
		if member := v.members[name]; member.Epoch > newest.Epoch || member.Epoch == newest.Epoch && member.Serving {
			newest = member
		}
	}
	return newest
}

// serving counts the seen members that serve as primary.
func (v groupView) serving() (count int) {
	for _, name := range v.seen {
		if v.members[name].Serving {
			count++
		}
	}
	return count
}

// countOf counts the voters among names.
func (v groupView) countOf(names []string) (count int) {
	for _, name := range v.voters {
		if slices.Contains(names, name) {
			count++
		}
	}
	return count
}
