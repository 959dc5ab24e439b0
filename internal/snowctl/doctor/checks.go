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
	// halfOpenLimit is how long a breaker may be half open before the advice points to a lack of probes.
	halfOpenLimit = 30 * monotonic.Second
)

// checkSeeds reports configuration stores, known processes and voters that didn't respond.
func checkSeeds(mesh MeshStatus) (found []Finding) {
	for _, address := range mesh.Unreachable {
		found = append(found, Finding{Level: Warning, Message: "the configuration store at " + address + " did not respond", Advice: "start it, or correct --addresses if it moved"})
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Overview.Missing)) {
		found = append(found, Finding{Level: Warning, Message: name + " is a known process but did not respond",
			Advice: "start it; if its disk is lost, start it with an empty data folder under the same name"})
	}
	for _, view := range groupViews(mesh) {
		for _, voter := range view.missing {
			if mesh.Overview.Missing[view.name+" "+voter] == "" {
				found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("voter %s of the %s was never heard of", voter, groupTitle(view.name)),
					Advice: "start it, and check that its seeds include a running process"})
			}
		}
	}
	return found
}

// checkPartition reports groups of which the configuration store that responded can't reach all voters, and whether it reaches a
// quorum.
func checkPartition(mesh MeshStatus) (found []Finding) {
	for _, view := range groupViews(mesh) {
		if len(view.missing) == 0 {
			continue
		}
		reachability := fmt.Sprintf("this configuration store can reach %v but not %v", view.responding, view.missing)
		if replication.HasQuorum(view.voters, view.responding) {
			found = append(found, Finding{Level: Warning, Message: reachability + ": a quorum is reachable",
				Advice: "restart the others, or repair the network to them; until then, stop no further process"})
		} else {
			found = append(found, Finding{Level: Unhealthy, Message: reachability + ": no quorum is reachable",
				Advice: "use a configuration store on the other side of the partition, which may still serve; repair the network between the two sides"})
		}
	}
	return found
}

// checkReplicas reports groups without exactly one primary, and faults of single members.
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
			found = append(found, Finding{Level: Unhealthy, Message: fmt.Sprintf("%d members of the %s serve as primary: %v", count, groupTitle(group), primaries[group]),
				Advice: "a quorum of the group must be running and connected; see its events 201 to 208"})
		}
	}
	for _, member := range mesh.members() {
		found = append(found, checkMember(member, newest[member.Group])...)
	}
	return found
}

// checkMember checks one member of a group. newest is the member with the highest epoch.
func checkMember(member, newest replication.Status) (found []Finding) {
	if !member.Joined {
		found = append(found, Finding{Level: Warning, Message: member.Name + " has an empty data folder and has not joined yet",
			Advice: "it joins once enough other members with intact registers respond to it; start those"})
	}
	// A voter without a replica may be behind: a quorum can decide without it, and it consults the others before it decides anything itself.
	if member.Epoch+1 < newest.Epoch && slices.Contains(newest.ReplicaNames(), member.Name) {
		found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s knows epoch %d, but the newest is %d", member.Name, member.Epoch, newest.Epoch),
			Advice: "check the network between it and the other control plane hosts"})
	}
	if member.Serving && !member.BackupsInSync {
		found = append(found, Finding{Level: Unhealthy, Message: member.Name + " serves as primary without a backup in sync", Advice: "start another member of the group"})
	}
	return found
}

// checkReleases reports every release in use if there is more than one.
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
		found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("release %s runs on %v", release, releases[release]),
			Advice: "normal during an upgrade; finish it, since only adjacent wire versions are compatible"})
	}
	return found
}

// checkClocks compares the members' wall clocks with this machine's.
func checkClocks(mesh MeshStatus) (found []Finding) {
	for _, member := range mesh.members() {
		if offset := monotonic.Micros(member.Wall - mesh.QueriedAt); offset > maxClockOffset || offset < -maxClockOffset {
			found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s's wall clock differs from this machine's by %v", member.Name, offset.Duration()),
				Advice: "no decision depends on it, but it makes logs of several machines hard to order; set the clock"})
		}
	}
	return found
}

// checkDisks reports members that are short of disk space or whose disk is slow.
func checkDisks(mesh MeshStatus) (found []Finding) {
	for _, member := range mesh.members() {
		if member.FreeBytes < minFreeBytes {
			found = append(found, Finding{Level: Unhealthy, Message: fmt.Sprintf("%s has %d MiB of disk left", member.Name, member.FreeBytes>>20),
				Advice: "free space on the file system of its data folder; a primary that can't write transfers its leadership"})
		}
		if took := monotonic.Micros(member.SyncTime); took > maxSyncTime {
			found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s took %v for its last write and sync", member.Name, took.Duration()),
				Advice: "every write waits for the sync; find out what else uses the disk, or replace the disk"})
		}
	}
	return found
}

// checkProxies reports proxies that don't have the newest configuration.
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
		return []Finding{{Level: Unhealthy, Message: "no proxy has a session", Advice: "start proxies, and check that their seeds include a running process"}}
	}
	for _, session := range sessions {
		if session.ConfigVersion < newest {
			found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s uses version %d, but the newest is %d", session.Proxy, session.ConfigVersion, newest),
				Advice: "it rejects requests when its lease ends; check the network between it and the configuration store's primary"})
		}
	}
	return found
}

// checkLeases reports proxies that have a session but no lease from the configuration stores' primary.
func checkLeases(mesh MeshStatus) (found []Finding) {
	store, known := mesh.servingConfigStore()
	if !known || store.Version == 0 {
		return nil // checkReplicas and checkProxies report it
	}
	leased := map[string]bool{}
	for _, lease := range store.Leases {
		leased[lease.Proxy] = true
	}
	for _, session := range mesh.sessions() {
		if !leased[session.Proxy] {
			found = append(found, Finding{Level: Warning, Message: session.Proxy + " has no lease on the configuration and the tenants' keys",
				Advice: "it rejects requests, at least those of tenants if the keys have a lease; check the network between it and the " +
					"configuration store's primary. Right after a change of primary, run this again first"})
		}
	}
	return found
}

// checkBreakers reports services whose breaker is not closed at all proxies.
func checkBreakers(mesh MeshStatus) (found []Finding) {
	status, known := mesh.servingRegistry()
	if !known {
		return []Finding{{Level: Unhealthy, Message: "no registry serves as primary, so the shared states of the breakers are unknown",
			Advice: "meanwhile each proxy decides from its own sliding window; see the copies check"}}
	}
	for _, record := range status.Breakers {
		found = append(found, checkBreaker(record, monotonic.Micros(status.LeaderTime-record.EnteredAt))...)
	}
	return found
}

// checkBreaker checks the breaker of one service, which has been in its state for the given duration.
func checkBreaker(record *wire.BreakerRecord, duration monotonic.Micros) []Finding {
	switch record.State {
	case breakerstore.Open:
		return []Finding{{Level: Unhealthy, Message: fmt.Sprintf("the breaker of %s is open, for %v", record.Service, duration.Duration()),
			Advice: "check the backends of that service; probes resume automatically"}}
	case breakerstore.HalfOpen:
		advice := "it is being probed; nothing to do unless this persists"
		if duration > halfOpenLimit {
			advice = fmt.Sprintf("%d probes in flight, %d completed, %d left: without requests to the service there are no probes", len(record.ProbeLeases), len(record.ProbeResults), record.Budget)
		}
		return []Finding{{Level: Warning, Message: fmt.Sprintf("the breaker of %s is half open, for %v", record.Service, duration.Duration()), Advice: advice}}
	case breakerstore.Closed:
		if len(record.Reports) == 0 {
			return nil
		}
		reporters := []string{}
		for _, report := range record.Reports {
			reporters = append(reporters, report.Proxy)
		}
		return []Finding{{Level: Warning, Message: fmt.Sprintf("%v tripped on %s, but too few proxies agree to open its breaker", reporters, record.Service),
			Advice: "check the network of those machines first, since the service responds to most callers"}}
	}
	return nil
}

// checkBackends reports backends without heartbeats and services with a single backend.
func checkBackends(mesh MeshStatus) (found []Finding) {
	healthy := map[string]int{} // backends by service
	for _, session := range mesh.sessions() {
		for _, backend := range session.Backends {
			switch backend.Condition {
			case "overdue":
				found = append(found, Finding{Level: Warning, Message: fmt.Sprintf("%s of %s at %s has stopped sending heartbeats", backend.Instance, backend.Service, backend.Address),
					Advice: "restart or deregister it; it gets no requests meanwhile"})
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
