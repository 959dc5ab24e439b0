package statemachine

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// machineWithClaims returns a machine with count claims that were made at peak rate, one every 1500 microseconds.
func machineWithClaims(count int) *Machine {
	machine := New()
	for index := range count {
		content, _ := proto.Marshal(&wire.RegistryCommand{Claim: claimRequest(index)})
		machine.Apply(3, monotonic.Micros(index)*1500, content)
	}
	return machine
}

func claimRequest(index int) *wire.ClaimRequest {
	return &wire.ClaimRequest{Scope: fmt.Sprintf("k-%016x", uint64(index)*0x9e3779b97f4a7c15), Digest: make([]byte, 32), Attempt: fmt.Sprintf("sidecar-fsd-a-%d-%016x", index%73, uint64(index)*0x2545F4914F6CDD1D),
		Proxy: fmt.Sprintf("sidecar-fsd-a-%d", index%30), Incarnation: uint64(index%30+1) << 60, ReadAt: &wire.LeaderTimestamp{Epoch: 3, Time: int64(index) * 1500}}
}

// TestRestoreLeavesClaimsEncoded checks that a replica that installs a snapshot does not decode each claim. With a sixth of a processor,
// decoding alone took longer than the primary waits for an unresponsive backup.
func TestRestoreLeavesClaimsEncoded(t *testing.T) {
	const claimCount = 2000
	snapshot := machineWithClaims(claimCount).Snapshot()
	machine := New()
	if allocations := testing.AllocsPerRun(3, func() { _ = machine.Restore(snapshot) }); allocations > 1.5*claimCount {
		t.Errorf("%v allocations for %d claims", allocations, claimCount)
	}
	if restored := machine.Snapshot(); !bytes.Equal(restored, snapshot) {
		t.Errorf("a snapshot of %d bytes was restored as a different one of %d", len(snapshot), len(restored))
	}
}

func BenchmarkSnapshot(b *testing.B) {
	machine := machineWithClaims(18000)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		b.SetBytes(int64(len(machine.Snapshot())))
	}
}

func BenchmarkRestore(b *testing.B) {
	snapshot := machineWithClaims(18000).Snapshot()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if err := New().Restore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApply(b *testing.B) {
	machine := New()
	contents := make([][]byte, b.N)
	for index := range contents {
		contents[index], _ = proto.Marshal(&wire.RegistryCommand{Claim: claimRequest(index)})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for index, content := range contents {
		machine.Apply(3, monotonic.Micros(index), content)
	}
}
