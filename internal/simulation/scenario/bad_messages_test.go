package scenario

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// badMessages are messages between core members that are from an earlier epoch, another copy or another group, cut short, or garbage.
func badMessages(to string, incarnation uint64) map[string]struct {
	kind wire.Kind
	ask  proto.Message
	tell proto.Message
} {
	entry := &wire.Entry{Epoch: 1, Sequence: 1, Command: []byte("garbage")}
	type message = struct {
		kind wire.Kind
		ask  proto.Message
		tell proto.Message
	}
	return map[string]message{
		"entries of an old epoch":         {wire.Kind_replicate, &wire.ReplicateRequest{To: to, ToIncarnation: incarnation, Epoch: 1, Entries: []*wire.Entry{entry}}, &wire.ReplicateResponse{}},
		"entries for another copy":        {wire.Kind_replicate, &wire.ReplicateRequest{To: to, ToIncarnation: incarnation + 1, Epoch: 1 << 40, Entries: []*wire.Entry{entry}}, &wire.ReplicateResponse{}},
		"entries out of step":             {wire.Kind_replicate, &wire.ReplicateRequest{To: to, ToIncarnation: incarnation, Epoch: 1 << 20, PreviousSequence: 1 << 30, Entries: []*wire.Entry{entry}}, &wire.ReplicateResponse{}},
		"entries for another process":     {wire.Kind_replicate, &wire.ReplicateRequest{To: "nobody", ToIncarnation: incarnation, Epoch: 1 << 20}, &wire.ReplicateResponse{}},
		"a view of an old epoch":          {wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1, Snapshot: &wire.Snapshot{Epoch: 1, Sequence: 1}}, &wire.InstallSnapshotResponse{}},
		"a view that is garbage":          {wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1 << 20, Snapshot: &wire.Snapshot{Epoch: 1 << 20, Sequence: 9, Content: bytes.Repeat([]byte{0xff, 0x07}, 40)}}, &wire.InstallSnapshotResponse{}},
		"a view that is cut":              {wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1 << 20, Snapshot: &wire.Snapshot{Epoch: 1 << 20, Sequence: 9, Content: []byte{0x0a, 0x7f, 0x01}}}, &wire.InstallSnapshotResponse{}},
		"entries behind another position": {wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1 << 20, SinceEpoch: 3, SinceSequence: 1 << 30, Entries: []*wire.Entry{entry}}, &wire.InstallSnapshotResponse{}},
		"a ballot by other voters":        {wire.Kind_prepare, &wire.PrepareRequest{To: to, Proposal: 1 << 50, Proposer: &wire.MemberID{Name: "x"}, Voters: []string{"x", "y", "z"}}, &wire.PrepareResponse{}},
		"an acceptance without a promise": {wire.Kind_accept, &wire.AcceptRequest{To: to, Proposal: 1 << 49, Proposer: &wire.MemberID{Name: "x"}, Value: &wire.RegisterValue{Epoch: 99}}, &wire.AcceptResponse{}},
		"a lease by other voters":         {wire.Kind_lease, &wire.LeaseRequest{To: to, Epoch: 99, Proposal: 1 << 49, Leader: &wire.MemberID{Name: "x"}, Voters: []string{"x"}}, &wire.LeaseResponse{}},
		"a goodbye of nobody":             {wire.Kind_join, &wire.JoinRequest{To: to, Name: "nobody", Leaving: true}, &wire.JoinResponse{}},
	}
}

// TestBadMessages: whatever bad message comes to any core process, at any moment, nothing that was acknowledged is lost, and the core goes on.
func TestBadMessages(t *testing.T) {
	for _, seed := range seeds(t, 1, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			mesh := startedBy(t, seed, servingOn)
			version := uint64(100)
			for range 4 {
				for _, node := range mesh.allCore() {
					seen := &wire.RegisterReadResponse{}
					mesh.ask(node.Address, wire.Kind_register_read, &wire.RegisterReadRequest{To: node.Name, From: "outside"}, seen)
					bad := badMessages(node.Name, seen.Incarnation)
					for _, name := range slices.Sorted(maps.Keys(bad)) {
						one := bad[name]
						mesh.ask(node.Address, one.kind, one.ask, one.tell)
						if tell, is := one.tell.(*wire.InstallSnapshotResponse); is && tell.Stored {
							t.Errorf("%s took %s", node.Name, name)
						}
						if tell, is := one.tell.(*wire.ReplicateResponse); is && tell.Stored {
							t.Errorf("%s took %s", node.Name, name)
						}
						if tell, is := one.tell.(*wire.AcceptResponse); is && tell.Granted {
							t.Errorf("%s granted %s", node.Name, name)
						}
					}
				}
				version++
				if tell, _, err := mesh.raise(version, 10*monotonic.Second); err != nil || tell.Version != version {
					t.Fatalf("version %d: %v %v", version, tell, err)
				}
				mesh.World.Kill(mesh.leader("postmaster"))
				mesh.World.Run(mesh.World.Now() + 5*monotonic.Second)
				for _, node := range mesh.allCore() {
					mesh.World.Start(node)
				}
				mesh.World.Run(mesh.World.Now() + 5*monotonic.Second)
			}
			tell := &wire.ConfigReadResponse{}
			mesh.ask(mesh.leader(configstore.Group).Address, wire.Kind_config_read, &wire.ConfigReadRequest{}, tell)
			if !tell.Found || tell.Versions[0].Version != version {
				t.Errorf("%v, not version %d", tell, version)
			}
		})
	}
}

// ask sends a message from the outside and waits for its answer, or for it to be turned down.
func (mesh *Mesh) ask(address string, kind wire.Kind, ask, tell proto.Message) {
	done := false
	mesh.Outside.Go(func() {
		_ = mesh.Outside.Call(address, kind, ask, tell, monotonic.Second)
		done = true
	})
	for limit := mesh.World.Now() + 3*monotonic.Second; !done && mesh.World.Now() < limit; {
		mesh.World.Run(mesh.World.Now() + 5*monotonic.Millisecond)
	}
}
