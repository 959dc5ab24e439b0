package doctor

import (
	"slices"

	"snowflow/internal/configstore"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
)

// groupNames are the control plane's replication groups, in the order in which findings mention them.
var groupNames = []string{configstore.Group, registry.Group}

// groupView is what the configuration store that responded knows about one group.
type groupView struct {
	name       string
	voters     []string
	responding []string                      // voters whose status is known
	missing    []string                      // the other voters
	members    map[string]replication.Status // by name
}

// groupTitle returns the name that findings use for a group.
func groupTitle(group string) string {
	switch group {
	case configstore.Group:
		return "configuration store"
	case registry.Group:
		return "registry"
	}
	return group
}

// groupViews returns a view of each group. The voters are those that a member's status lists; they are unknown without one.
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
				view.responding = append(view.responding, name)
			} else {
				view.missing = append(view.missing, name)
			}
		}
		all = append(all, view)
	}
	return all
}

// newest returns the status of the responding voter with the highest epoch; if several have it, of the one that serves as primary.
func (v groupView) newest() (newest replication.Status) {
	for _, name := range v.responding {
		if member := v.members[name]; member.Epoch > newest.Epoch || member.Epoch == newest.Epoch && member.Serving {
			newest = member
		}
	}
	return newest
}

// serving counts the responding voters that serve as primary.
func (v groupView) serving() (count int) {
	for _, name := range v.responding {
		if v.members[name].Serving {
			count++
		}
	}
	return count
}

// countOf counts the voters that are in names.
func (v groupView) countOf(names []string) (count int) {
	for _, name := range v.voters {
		if slices.Contains(names, name) {
			count++
		}
	}
	return count
}
