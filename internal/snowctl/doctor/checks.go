package doctor

import (
	"fmt"
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

const (
	maxClockOffset = 5 * monotonic.Second
	minFreeBytes   = 64 << 20
	maxSyncTime    = 100 * monotonic.Millisecond
	// stuckAfter is how long a breaker may be half open before that is taken for a lack of probes.
	stuckAfter = 30 * monotonic.Second
)

func checkSeeds(mesh MeshStatus) (found []Finding) {
	for _, address := range mesh.Unreachable {
		found = append(found, Finding{Level: Warning, Message: "the configuration store at " + address + " did not respond", Advice: "start it, or correct --addresses if it moved"})
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Overview.Missing)) {
		found = append(found, Finding{Level: Warning, Message: name + " is known but did not respond",
			Advice: "start it; with its disk lost, start it on an empty data folder under the same name"})
	}
	for _, view := range groupViews(mesh) {
		for _, voter := range view.missing {
			if mesh.Overview.Missing[view.name+" "+voter] == "" {
				found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("voter %s of the %s was never heard of", voter, title(view.name)),
					Advice: "start it, and check that its seeds name a running process"})
			}
		}
	}
	return found
}

// checkPartition reports which part of each group the responding configuration store sees, and whether that part has a quorum.
func checkPartition(mesh MeshStatus) (found []Finding) {
	for _, view := range groupViews(mesh) {
		if len(view.missing) == 0 {
			continue
		}
		what := fmt.Sprintf("from this configuration store %v can be seen and %v can't", view.seen, view.missing)
		if replication.HasQuorum(view.voters, view.seen) {
			found = append(found, Finding{Level: Warning, Message: what + ": those seen can decide",
				Advice: "bring the others back, or the network to them; until then no further process may be stopped"})
		} else {
			found = append(found, Finding{Level: Unhealthy, Message: what + ": those seen can't decide",
				Advice: "use a configuration store on the other side of the partition, which may serve; repair the network between them"})
		}
	}
	return found
}

func checkReplicas(mesh MeshStatus) (found []Finding) {
	newest, primaries := map[string]replication.Status{}, map[string][]string{}
	for _, member := range mesh.members() {
		if member.Epoch >= newest[member.Group].Epoch {
			newest[member.Group] = member
		}
		if member.Serving {
			primaries[member.Group] = append(primaries[member.Group], member.Name)
		}
	}
	for _, group := range groupNames {
		if count := len(primaries[group]); count != 1 {
			found = append(found, Finding{Level: Unhealthy, Message: fmt.Sprintf("%d members of the %s serve as primary: %v", count, title(group), primaries[group]),
				Advice: "a quorum of the group must be up and in contact; look at its events 201 to 208"})
		}
	}
	for _, member := range mesh.members() {
		found = append(found, checkMember(member, newest[member.Group])...)
	}
	return found
}

// checkMember checks one member of a group against the one with the highest epoch.
func checkMember(member, newest replication.Status) (found []Finding) {
	if !member.Joined {
		found = append(found, Finding{Level: Warning, Message: member.Name + " has an empty data folder and has not joined yet",
			Advice: "it joins once enough others with their registers intact respond to it; start those"})
	}
	// A voter without a replica may be behind: a quorum decides without it, and it asks others before it decides itself.
	if member.Epoch+1 < newest.Epoch && slices.Contains(newest.ReplicaNames(), member.Name) {
		found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s knows epoch %d, others %d", member.Name, member.Epoch, newest.Epoch),
			Advice: "check the network between it and the other control plane hosts"})
	}
	if member.Serving && !member.BackupsInSync {
		found = append(found, Finding{Level: Unhealthy, Message: member.Name + " leads without a backup in sync", Advice: "start another member of the group"})
	}
	return found
}

func checkReleases(mesh MeshStatus) (found []Finding) {
	releases := map[string][]string{}
	for _, member := range mesh.members() {
		releases[member.Release] = append(releases[member.Release], member.Name)
	}
	for _, session := range mesh.sessions() {
		releases[session.Release] = append(releases[session.Release], session.Proxy)
	}
	if len(releases) <= 1 {
		return nil
	}
	for _, release := range slices.Sorted(maps.Keys(releases)) {
		found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("release %s runs at %v", release, releases[release]),
			Advice: "normal during a roll-out; finish it, since only adjacent wire versions understand one another"})
	}
	return found
}

func checkClocks(mesh MeshStatus) (found []Finding) {
	for _, member := range mesh.members() {
		if offset := monotonic.Micros(member.Wall - mesh.QueriedAt); offset > maxClockOffset || offset < -maxClockOffset {
			found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s's wall clock is %v from this machine's", member.Name, offset.Duration()),
				Advice: "no decision depends on it, but logs are hard to put in order; set the clock"})
		}
	}
	return found
}

func checkDisks(mesh MeshStatus) (found []Finding) {
	for _, member := range mesh.members() {
		if member.FreeBytes < minFreeBytes {
			found = append(found, Finding{Level: Unhealthy, Message: fmt.Sprintf("%s has %d MiB of disk left", member.Name, member.FreeBytes>>20),
				Advice: "free space in its data folder's file system; a primary that can't write hands over"})
		}
		if took := monotonic.Micros(member.SyncTime); took > maxSyncTime {
			found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s took %v for its last write and sync", member.Name, took.Duration()),
				Advice: "every write waits for it; find what else uses the disk, or replace it"})
		}
	}
	return found
}

func checkProxies(mesh MeshStatus) (found []Finding) {
	newest := uint64(0)
	for _, store := range mesh.ConfigStores {
		newest = max(newest, store.Version)
	}
	if newest == 0 {
		return []Finding{{Level: Unhealthy, Message: "no desired state has been accepted", Advice: "apply one: snowctl apply FILE --expected 0"}}
	}
	sessions := mesh.sessions()
	if len(sessions) == 0 {
		return []Finding{{Level: Unhealthy, Message: "no proxy has a session", Advice: "start proxies, and check that their seeds name a running process"}}
	}
	for _, session := range sessions {
		if session.ConfigVersion < newest {
			found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s serves by version %d, the newest is %d", session.Proxy, session.ConfigVersion, newest),
				Advice: "it rejects requests when its lease ends; check the network between it and the configuration store's primary"})
		}
	}
	return found
}

// checkLeases finds proxies that other parts of the mesh know, but that have no lease of the configuration store's primary.
func checkLeases(mesh MeshStatus) (found []Finding) {
	store, known := mesh.servingConfigStore()
	if !known || store.Version == 0 {
		return nil // the checks of replicas and proxies say so
	}
	leased := map[string]bool{}
	for _, lease := range store.Leases {
		leased[lease.Proxy] = true
	}
	for _, session := range mesh.sessions() {
		if !leased[session.Proxy] {
			found = append(found, Finding{Level: Warning, Message: session.Proxy + " has no lease on the configuration and on tenants' keys",
				Advice: "it rejects requests, where keys may be revoked in bounded time at least those of tenants; check the network between it and the " +
					"configuration store's primary. Right after a change of primary, ask again"})
		}
	}
	return found
}

func checkBreakers(mesh MeshStatus) (found []Finding) {
	status, known := mesh.servingRegistry()
	if !known {
		return []Finding{{Level: Unhealthy, Message: "no registry serves as primary, so the breakers' shared states are unknown",
			Advice: "proxies judge by their own windows meanwhile; see the copies check"}}
	}
	for _, record := range status.Breakers {
		found = append(found, checkBreaker(record, monotonic.Micros(status.LeaderTime-record.EnteredAt))...)
	}
	return found
}

// checkBreaker checks one record that has been in its state for this long.
func checkBreaker(record *wire.BreakerRecord, since monotonic.Micros) []Finding {
	switch record.State {
	case breakerstore.Open:
		return []Finding{{Level: Unhealthy, Message: fmt.Sprintf("the breaker of %s is open, for %v", record.Service, since.Duration()),
			Advice: "look at that service's backends; it is probed again by itself"}}
	case breakerstore.HalfOpen:
		advice := "it is being probed; nothing to do unless this lasts"
		if since > stuckAfter {
			advice = fmt.Sprintf("%d probes in flight, %d counted, %d left: if nobody calls the service, nothing probes it", len(record.ProbeLeases), len(record.ProbeResults), record.Budget)
		}
		return []Finding{{Level: Warning, Message: fmt.Sprintf("the breaker of %s is half open, for %v", record.Service, since.Duration()), Advice: advice}}
	case breakerstore.Closed:
		if len(record.Reports) == 0 {
			return nil
		}
		reporters := []string{}
		for _, report := range record.Reports {
			reporters = append(reporters, report.Proxy)
		}
		return []Finding{{Level: Warning, Message: fmt.Sprintf("%v tripped on %s and stand alone in that", reporters, record.Service),
			Advice: "look at those machines' network first: most callers are served"}}
	}
	return nil
}

func checkBackends(mesh MeshStatus) (found []Finding) {
	healthy := map[string]int{} // by service
	for _, session := range mesh.sessions() {
		for _, backend := range session.Backends {
			switch backend.Condition {
			case "overdue":
				found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s of %s at %s has stopped sending heartbeats", backend.Instance, backend.Service, backend.Address),
					Advice: "restart it, or have it deregister; no requests are sent to it meanwhile"})
			case "alive", "working":
				healthy[backend.Service]++
			}
		}
	}
	for _, service := range slices.Sorted(maps.Keys(healthy)) {
		if healthy[service] == 1 {
			found = append(found, Finding{Level: Warning, Message: service + " has a single backend", Advice: "start another one, on another machine"})
		}
	}
	return found
}
