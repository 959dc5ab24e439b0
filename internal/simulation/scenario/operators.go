package scenario

import (
	"fmt"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// ---- operators ----
// apply has an operator apply a content, asking again until the outcome is certain or patience ends.
func (mesh *Mesh) apply(content []byte, any bool, expected uint64, patience monotonic.Micros) *wire.ConfigApplyResponse {
	if mesh.handed != nil {
		mesh.handed(content)
	}
	sum, faults := mesh.permit(content)
	ask := &wire.ConfigApplyRequest{Content: content, AnyVersion: any, ExpectedVersion: expected, Request: fmt.Sprintf("apply-%x", mesh.Outside.Random())}
	defer func(over func(monotonic.Micros)) { over(mesh.World.Now()) }(mesh.History.Plan("a change of the desired state", mesh.World.Now()))
	cutoff := mesh.World.Now() + patience
	for mesh.World.Now() < cutoff {
		leader := mesh.book.Leader(configstore.Group)
		tell := &wire.ConfigApplyResponse{}
		if leader != "" && mesh.book.Call(leader, wire.Kind_config_apply, ask, tell, 20*monotonic.Second) == nil {
			mesh.History.Apply(invariants.Applied{Serial: tell.Version, Digest: tell.Digest, Valid: len(faults) == 0, Outcome: tell.Outcome, At: mesh.World.Now(), Sum: sum})
			mesh.latest = max(mesh.latest, tell.Version)
			return tell
		}
		mesh.book.Refresh()
		mesh.Outside.Sleep(200 * monotonic.Millisecond)
	}
	return nil
}

// permit notes where a content sends each kind of traffic, and tells what it does; or what is wrong with it.
func (mesh *Mesh) permit(content []byte) (sum string, faults []config.FieldError) {
	state, faults := config.Parse(content)
	if state == nil || len(faults) > 0 {
		return "", faults
	}
	view := config.Compile(state, 0, "")
	for _, sample := range mesh.samples {
		path, _ := view.Resolve("", sample.method, sample.path)
		for _, share := range path.Split {
			if _, has := path.FindService(share.Service.Name); has {
				mesh.History.Allow(sample.kind, share.Service.Name, mesh.World.Now())
			}
		}
	}
	return view.Fingerprint(), nil
}

// readBack reads the history of desired states at the end.
func (mesh *Mesh) readBack() {
	for range 100 {
		tell := &wire.ConfigReadResponse{}
		leader := mesh.book.Leader(configstore.Group)
		if leader != "" && mesh.book.Call(leader, wire.Kind_config_read, &wire.ConfigReadRequest{List: true}, tell, 2*monotonic.Second) == nil {
			for _, kept := range tell.Versions {
				mesh.History.ReadBack = append(mesh.History.ReadBack, invariants.ReadBack{Serial: kept.Version, Digest: kept.Digest})
			}
			mesh.History.Read = true
			return
		}
		mesh.book.Refresh()
		mesh.Outside.Sleep(300 * monotonic.Millisecond)
	}
}
