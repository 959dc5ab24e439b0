package doctor

import (
	"maps"
	"slices"
	"snowflow/internal/replication"
)

// cores lists the members of both groups, postmasters first, by name.
func coreMembers(mesh Mesh) (all []replication.Status) {
	for _, name := range slices.Sorted(maps.Keys(mesh.ConfigStores)) {
		all = append(all, mesh.ConfigStores[name].Core)
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Registries)) {
		all = append(all, mesh.Registries[name].Replication)
	}
	return all
}
