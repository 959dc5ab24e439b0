// Package doctor looks for common faults in a running mesh and says what to do about each.
package doctor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/transport/wire"
)

// How bad a finding is.
const (
	Healthy   = "well"
	Warning   = "watch" // serves, but something needs a look
	Unhealthy = "ill"   // a promise is at risk, or part of the service is out
)

// Finding is one thing found.
type Finding struct {
	Level  string `json:"level"`
	Check  string `json:"check"`
	What   string `json:"what"`
	Advice string `json:"advice,omitempty"`
}

func (f Finding) String() string {
	text := fmt.Sprintf("%-5s %-10s %s", f.Level, f.Check, f.What)
	if f.Advice != "" {
		text += "\n                 -> " + f.Advice
	}
	return text
}

// MostSevere is the worst level among findings.
func MostSevere(findings []Finding) string {
	level := Healthy
	for _, finding := range findings {
		if finding.Level == Unhealthy || finding.Level == Warning && level == Healthy {
			level = finding.Level
		}
	}
	return level
}

// Mesh is what was gathered for the checks.
type Mesh struct {
	Overview     api.Overview
	ConfigStores map[string]configstore.Status
	Registries   map[string]registry.Status
	Unreachable  []string
	QueriedAt    int64 // the doctor's wall clock while it asked
}

// Examine asks the desks and runs every check, within patience.
func Examine(addresses []string, timeout time.Duration) []Finding {
	mesh, err := Gather(addresses, timeout)
	if err != nil {
		return []Finding{{Unhealthy, "desks", err.Error(), "check that the postmasters run and that --desks names their desk addresses"}}
	}
	return Check(mesh)
}

// Gather asks the desks how the mesh stands; the first that answers is taken.
func Gather(addresses []string, timeout time.Duration) (Mesh, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	mesh := Mesh{ConfigStores: map[string]configstore.Status{}, Registries: map[string]registry.Status{}}
	reached := false
	for _, address := range addresses {
		var overview api.Overview
		mesh.QueriedAt = time.Now().UnixMicro()
		if err := fetchStatus(ctx, address, &overview); err != nil {
			mesh.Unreachable = append(mesh.Unreachable, fmt.Sprintf("%s (%v)", address, err))
			continue
		}
		if !reached {
			mesh.Overview, reached = overview, true
		}
	}
	if !reached {
		return mesh, fmt.Errorf("no desk answered: %v", mesh.Unreachable)
	}
	mesh.decode()
	return mesh, nil
}

func fetchStatus(ctx context.Context, address string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(content, into)
}

func (m *Mesh) decode() {
	for name, content := range m.Overview.ConfigStores {
		var status configstore.Status
		if json.Unmarshal(content, &status) == nil {
			m.ConfigStores[name] = status
		}
	}
	for name, content := range m.Overview.Registries {
		var status registry.Status
		if json.Unmarshal(content, &status) == nil {
			m.Registries[name] = status
		}
	}
}

// checks are run in this order.
var checks = []struct {
	name  string
	check func(mesh Mesh) []Finding
}{
	{"seeds", checkSeeds}, {"split", checkPartition}, {"copies", checkReplicas}, {"versions", checkReleases}, {"clock", checkClocks}, {"disk", checkDisks},
	{"carriers", checkProxies}, {"guards", checkBreakers}, {"backends", checkBackends},
}

// Check runs every check on what was gathered. A check that finds nothing says so.
func Check(mesh Mesh) (findings []Finding) {
	for _, entry := range checks {
		found := entry.check(mesh)
		if len(found) == 0 {
			found = []Finding{{Level: Healthy, What: "nothing found"}}
		}
		for index := range found {
			found[index].Check = entry.name
		}
		findings = append(findings, found...)
	}
	return findings
}

func checkSeeds(mesh Mesh) (found []Finding) {
	for _, address := range mesh.Unreachable {
		found = append(found, Finding{Level: Warning, What: "desk " + address + " did not answer", Advice: "start that postmaster, or correct --desks if it moved"})
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Overview.Missing)) {
		found = append(found, Finding{Level: Warning, What: name + " is known but did not answer",
			Advice: "start it; with its disk lost, start it on an empty data folder under the same name"})
	}
	groups := map[string][]string{"postmaster": slices.Sorted(maps.Keys(mesh.ConfigStores)), "sorter": slices.Sorted(maps.Keys(mesh.Registries))}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		for _, voter := range votersOf(mesh, group) {
			if !slices.Contains(groups[group], voter) && mesh.Overview.Missing[group+" "+voter] == "" {
				found = append(found, Finding{Level: Warning, What: fmt.Sprintf("voter %s of the %ss was never heard of", voter, group),
					Advice: "start it, and check that its seeds name a live process"})
			}
		}
	}
	return found
}

func votersOf(mesh Mesh, group string) []string {
	for _, core := range coreMembers(mesh) {
		if core.Group == group {
			return core.Voters
		}
	}
	return nil
}

func checkReplicas(mesh Mesh) (found []Finding) {
	newest, primaries := map[string]replication.Status{}, map[string][]string{}
	for _, core := range coreMembers(mesh) {
		if core.Epoch >= newest[core.Group].Epoch {
			newest[core.Group] = core
		}
		if core.Serving {
			primaries[core.Group] = append(primaries[core.Group], core.Name)
		}
	}
	for _, group := range []string{"postmaster", "sorter"} {
		if count := len(primaries[group]); count != 1 {
			found = append(found, Finding{Level: Unhealthy, What: fmt.Sprintf("%d %ss answer as primary: %v", count, group, primaries[group]),
				Advice: "a quorum of the group must be up and in contact; look at its events 201 to 208"})
		}
	}
	for _, core := range coreMembers(mesh) {
		if !core.Joined {
			found = append(found, Finding{Level: Warning, What: core.Name + " has a blank folder and has not joined yet",
				Advice: "it joins once enough others with their registers intact answer it; start those"})
		}
		// A witness may lag: a quorum decides without it, and it asks when it's to decide itself.
		latest := newest[core.Group]
		if core.Epoch+1 < latest.Epoch && slices.Contains(latest.ReplicaNames(), core.Name) {
			found = append(found, Finding{Level: Warning, What: fmt.Sprintf("%s knows epoch %d, others %d", core.Name, core.Epoch, latest.Epoch),
				Advice: "check the network between it and the other core machines"})
		}
		if core.Serving && !core.BackupsInSync {
			found = append(found, Finding{Level: Unhealthy, What: core.Name + " leads without a backup in step", Advice: "start another core machine of the group"})
		}
	}
	return found
}

func checkReleases(mesh Mesh) (found []Finding) {
	releases := map[string][]string{}
	for _, core := range coreMembers(mesh) {
		releases[core.Release] = append(releases[core.Release], core.Name)
	}
	for _, session := range sessions(mesh) {
		releases[session.Release] = append(releases[session.Release], session.Proxy)
	}
	if len(releases) > 1 {
		for _, release := range slices.Sorted(maps.Keys(releases)) {
			found = append(found, Finding{Level: Warning, What: fmt.Sprintf("release %s runs at %v", release, releases[release]),
				Advice: "fine during a roll-out; finish it, since only adjacent wire versions understand one another"})
		}
	}
	return found
}

func checkClocks(mesh Mesh) (found []Finding) {
	for _, core := range coreMembers(mesh) {
		if offset := monotonic.Micros(core.Wall - mesh.QueriedAt); offset > 5*monotonic.Second || offset < -5*monotonic.Second {
			found = append(found, Finding{Level: Warning, What: fmt.Sprintf("%s's wall clock is %v from this machine's", core.Name, offset.Duration()),
				Advice: "no decision depends on it, but logs will be hard to put in order; set the clock"})
		}
	}
	return found
}

func checkDisks(mesh Mesh) (found []Finding) {
	for _, core := range coreMembers(mesh) {
		if core.FreeBytes < 64<<20 {
			found = append(found, Finding{Level: Unhealthy, What: fmt.Sprintf("%s has %d MiB of disk left", core.Name, core.FreeBytes>>20),
				Advice: "make room in its data folder's file system; a primary that can't write hands over"})
		}
		if took := monotonic.Micros(core.SyncTime); took > 100*monotonic.Millisecond {
			found = append(found, Finding{Level: Warning, What: fmt.Sprintf("%s took %v for its last write and sync", core.Name, took.Duration()),
				Advice: "every write waits for it; find what else uses the disk, or replace it"})
		}
	}
	return found
}

func checkProxies(mesh Mesh) (found []Finding) {
	newest := uint64(0)
	for _, store := range mesh.ConfigStores {
		newest = max(newest, store.Version)
	}
	if newest == 0 {
		return []Finding{{Level: Unhealthy, What: "no desired state has been accepted", Advice: "apply one: clerk apply FILE --expected 0"}}
	}
	all := sessions(mesh)
	if len(all) == 0 {
		return []Finding{{Level: Unhealthy, What: "no carrier has a session", Advice: "start carriers, and check that their seeds name a live process"}}
	}
	for _, session := range all {
		if session.ConfigVersion < newest {
			found = append(found, Finding{Level: Warning, What: fmt.Sprintf("%s serves by serial %d, the newest is %d", session.Proxy, session.ConfigVersion, newest),
				Advice: "it refuses requests when its tenure ends; check its way to the primary postmaster"})
		}
	}
	return found
}

// answering is the sorter that answers, which alone shows guards.
func answeringRegistry(mesh Mesh) (registry.Status, bool) {
	for _, name := range slices.Sorted(maps.Keys(mesh.Registries)) {
		if status := mesh.Registries[name]; status.Replication.Serving {
			return status, true
		}
	}
	return registry.Status{}, false
}

func sessions(mesh Mesh) []*wire.Session {
	status, known := answeringRegistry(mesh)
	if known {
		return status.Proxies
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Registries)) {
		return mesh.Registries[name].Proxies
	}
	return nil
}

const stuckAfter = 30 * monotonic.Second

func checkBreakers(mesh Mesh) (found []Finding) {
	status, known := answeringRegistry(mesh)
	if !known {
		return []Finding{{Level: Unhealthy, What: "no sorter answers, so no shared verdict is known", Advice: "carriers judge by their own windows meanwhile; see the copies check"}}
	}
	for _, record := range status.Breakers {
		reporters := []string{}
		for _, report := range record.Reports {
			reporters = append(reporters, report.Proxy)
		}
		since := monotonic.Micros(status.LeaderTime - record.EnteredAt)
		if record.State == "open" {
			found = append(found, Finding{Level: Unhealthy, What: fmt.Sprintf("the guard of %s is open, for %v", record.Service, since.Duration()),
				Advice: "look at that service's backends; it's probed again by itself"})
		}
		if record.State == "half_open" {
			level, advice := Warning, "it's being probed; nothing to do unless this lasts"
			if since > stuckAfter {
				advice = fmt.Sprintf("%d probes out, %d tallied, %d left: if nobody calls the service, nothing probes it", len(record.ProbeLeases), len(record.ProbeResults), record.Budget)
			}
			found = append(found, Finding{Level: level, What: fmt.Sprintf("the guard of %s is half open, for %v", record.Service, since.Duration()), Advice: advice})
		}
		if record.State == "closed" && len(reporters) > 0 {
			found = append(found, Finding{Level: Warning, What: fmt.Sprintf("%v tripped on %s and stand alone in that", reporters, record.Service),
				Advice: "look at those machines' network first: most callers do well"})
		}
	}
	return found
}

func checkBackends(mesh Mesh) (found []Finding) {
	counts := map[string]int{}
	for _, session := range sessions(mesh) {
		for _, backend := range session.Backends {
			if backend.Condition == "overdue" {
				found = append(found, Finding{Level: Warning, What: fmt.Sprintf("%s of %s at %s has stopped beating", backend.Instance, backend.Service, backend.Address),
					Advice: "restart it, or have it say that it leaves; it isn't sent to meanwhile"})
			}
			if backend.Condition == "alive" || backend.Condition == "working" {
				counts[backend.Service]++
			}
		}
	}
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		if counts[service] == 1 {
			found = append(found, Finding{Level: Warning, What: service + " has a single backend", Advice: "start another one, on another machine"})
		}
	}
	return found
}
