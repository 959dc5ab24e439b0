package scenario

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/configstore"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// invalidMessage is a request that its receiver must reject, with an empty response to decode into.
type invalidMessage struct {
	name     string
	kind     wire.Kind
	request  proto.Message
	response proto.Message
}

// invalidMessages returns messages to a core process that belong to an earlier epoch, another replica or other voters, or that are
// truncated or garbage.
func invalidMessages(to string, incarnation uint64) []invalidMessage {
	entry := &wire.Entry{Epoch: 1, Sequence: 1, Command: []byte("garbage")}
	return []invalidMessage{
		{"a proposal by other voters", wire.Kind_prepare, &wire.PrepareRequest{To: to, Proposal: 1 << 50, Proposer: &wire.MemberID{Name: "x"}, Voters: []string{"x", "y", "z"}}, &wire.PrepareResponse{}},
		{"a departure of an unknown process", wire.Kind_join, &wire.JoinRequest{To: to, Name: "nobody", Leaving: true}, &wire.JoinResponse{}},
		{"a lease by other voters", wire.Kind_lease, &wire.LeaseRequest{To: to, Epoch: 99, Proposal: 1 << 49, Leader: &wire.MemberID{Name: "x"}, Voters: []string{"x"}}, &wire.LeaseResponse{}},
		{"a snapshot of an old epoch", wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1, Snapshot: &wire.Snapshot{Epoch: 1, Sequence: 1}}, &wire.InstallSnapshotResponse{}},
		{"a snapshot that is truncated", wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1 << 20, Snapshot: &wire.Snapshot{Epoch: 1 << 20, Sequence: 9, Content: []byte{0x0a, 0x7f, 0x01}}}, &wire.InstallSnapshotResponse{}},
		{"a snapshot that is garbage", wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1 << 20, Snapshot: &wire.Snapshot{Epoch: 1 << 20, Sequence: 9, Content: bytes.Repeat([]byte{0xff, 0x07}, 40)}}, &wire.InstallSnapshotResponse{}},
		{"an accept request without a promise", wire.Kind_accept, &wire.AcceptRequest{To: to, Proposal: 1 << 49, Proposer: &wire.MemberID{Name: "x"}, Value: &wire.RegisterValue{Epoch: 99}}, &wire.AcceptResponse{}},
		{"entries after a position that the replica lacks", wire.Kind_install_snapshot, &wire.InstallSnapshotRequest{To: to, Epoch: 1 << 20, SinceEpoch: 3, SinceSequence: 1 << 30, Entries: []*wire.Entry{entry}}, &wire.InstallSnapshotResponse{}},
		{"entries for another incarnation", wire.Kind_replicate, &wire.ReplicateRequest{To: to, ToIncarnation: incarnation + 1, Epoch: 1 << 40, Entries: []*wire.Entry{entry}}, &wire.ReplicateResponse{}},
		{"entries for another process", wire.Kind_replicate, &wire.ReplicateRequest{To: "nobody", ToIncarnation: incarnation, Epoch: 1 << 20}, &wire.ReplicateResponse{}},
		{"entries of an old epoch", wire.Kind_replicate, &wire.ReplicateRequest{To: to, ToIncarnation: incarnation, Epoch: 1, Entries: []*wire.Entry{entry}}, &wire.ReplicateResponse{}},
		{"entries that leave a gap", wire.Kind_replicate, &wire.ReplicateRequest{To: to, ToIncarnation: incarnation, Epoch: 1 << 20, PreviousSequence: 1 << 30, Entries: []*wire.Entry{entry}}, &wire.ReplicateResponse{}},
	}
}

// TestInvalidMessages sends invalid messages to all core processes, before and after changes of the primary. Nothing acknowledged may be
// lost, and the core must continue to serve.
func TestInvalidMessages(t *testing.T) {
	for _, seed := range seeds(t, 1, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			mesh := newServingMeshWithSeed(t, seed, serveStaleTimeouts)
			version := uint64(100)
			for range 4 {
				for _, node := range mesh.allCoreNodes() {
					register := &wire.RegisterReadResponse{}
					mesh.sendMessage(node.Address, wire.Kind_register_read, &wire.RegisterReadRequest{To: node.Name, From: "outside"}, register)
					for _, message := range invalidMessages(node.Name, register.Incarnation) {
						mesh.sendMessage(node.Address, message.kind, message.request, message.response)
						if response, is := message.response.(*wire.InstallSnapshotResponse); is && response.Stored {
							t.Errorf("%s accepted %s", node.Name, message.name)
						}
						if response, is := message.response.(*wire.ReplicateResponse); is && response.Stored {
							t.Errorf("%s accepted %s", node.Name, message.name)
						}
						if response, is := message.response.(*wire.AcceptResponse); is && response.Granted {
							t.Errorf("%s granted %s", node.Name, message.name)
						}
					}
				}
				version++
				if response, _, err := mesh.applyVersion(version, 10*monotonic.Second); err != nil || response.Version != version {
					t.Fatalf("applying version %d: %v %v", version, response, err)
				}
				mesh.World.Kill(mesh.primary(configstore.Group))
				mesh.runFor(5 * monotonic.Second)
				for _, node := range mesh.allCoreNodes() {
					mesh.World.Start(node)
				}
				mesh.runFor(5 * monotonic.Second)
			}
			response := &wire.ConfigReadResponse{}
			mesh.sendMessage(mesh.primary(configstore.Group).Address, wire.Kind_config_read, &wire.ConfigReadRequest{}, response)
			if !response.Found || response.Versions[0].Version != version {
				t.Errorf("the primary has %v, not version %d", response, version)
			}
		})
	}
}

// sendMessage sends a message from the external host and waits until the call ends, with a response or with an error.
func (m *Mesh) sendMessage(address string, kind wire.Kind, request, response proto.Message) {
	done := false
	m.External.Go(func() {
		_ = m.External.Call(address, kind, request, response, monotonic.Second)
		done = true
	})
	for limit := m.World.Now() + 3*monotonic.Second; !done && m.World.Now() < limit; {
		m.runFor(5 * monotonic.Millisecond)
	}
}
