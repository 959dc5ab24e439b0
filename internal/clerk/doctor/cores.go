package doctor

import "snowflow/internal/countersign"

// cores lists the members of both groups, postmasters first, by name.
func cores(mesh Mesh) (all []countersign.Status) {
	for _, name := range names(mesh.Postmasters) {
		all = append(all, mesh.Postmasters[name].Core)
	}
	for _, name := range names(mesh.Sorters) {
		all = append(all, mesh.Sorters[name].Core)
	}
	return all
}
