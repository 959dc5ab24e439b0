package rollout_test

import (
	"strings"
	"testing"

	"snowflow/internal/configstore"
	"snowflow/internal/replication"
	"snowflow/internal/snowctl/rollout"
)

// TestProgress checks that the progress comes from the primary's status, and that the nodes that are furthest behind or took longest
// come first.
func TestProgress(t *testing.T) {
	leases := []configstore.LeaseStatus{{Proxy: "b", AdoptedVersion: 7, AdoptedForMicros: 2000000, AdoptionMicros: 3100}, {Proxy: "a", AdoptedVersion: 7, AdoptedForMicros: 61000000, AdoptionMicros: 4200}, {Proxy: "c", AdoptedVersion: 6, AdoptedForMicros: 900000000}}
	statuses := map[string]configstore.Status{"postmaster-1": {Version: 6}, "postmaster-2": {Core: replication.Status{Serving: true}, Version: 7, Leases: leases}}
	progress, found := rollout.FromStatuses(statuses)
	if !found || progress.Done() || progress.Line() != "version 7: 2 of 3 nodes, furthest behind c at version 6" {
		t.Error(progress, found, progress.Line())
	}
	lines := strings.Split(strings.TrimSpace(progress.Table()), "\n")
	for index, want := range []string{"node version ago took", "c 6 15m0s -", "a 7 1m1s 4.2ms", "b 7 2s 3.1ms"} {
		if got := strings.Join(strings.Fields(lines[index]), " "); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	statuses["postmaster-2"] = configstore.Status{Core: replication.Status{Serving: true}, Version: 7, Leases: leases[:2]}
	if progress, _ := rollout.FromStatuses(statuses); !progress.Done() || progress.Line() != "version 7: 2 of 2 nodes, slowest a after 4.2ms" {
		t.Error(progress.Line())
	}
	delete(statuses, "postmaster-2")
	if _, found := rollout.FromStatuses(statuses); found {
		t.Error("got a progress, but no store serves as primary")
	}
}
