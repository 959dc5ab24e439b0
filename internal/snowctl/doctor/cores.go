package doctor

import (
	"maps"
	"slices"
	"snowflow/internal/replication"
)

// cores lists the members of both groups, postmasters first, by name.
func cores(mesh Mesh) (all []replication.Status) {
	for _, name := range slices.Sorted(maps.Keys(mesh.Postmasters)) {
		all = append(all, mesh.Postmasters[name].Core)
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Sorters)) {
		all = append(all, mesh.Sorters[name].Replication)
	}
	return all
}
