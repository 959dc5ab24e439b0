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
	Well  = "well"
	Watch = "watch" // serves, but something needs a look
	Ill   = "ill"   // a promise is at risk, or part of the service is out
)

// Finding is one thing found.
type Finding struct {
	Level  string `json:"level"`
	Check  string `json:"check"`
	What   string `json:"what"`
	Advice string `json:"advice,omitempty"`
}

func (finding Finding) String() string {
	text := fmt.Sprintf("%-5s %-10s %s", finding.Level, finding.Check, finding.What)
	if finding.Advice != "" {
		text += "\n                 -> " + finding.Advice
	}
	return text
}

// Worst is the worst level among findings.
func Worst(findings []Finding) string {
	worst := Well
	for _, finding := range findings {
		if finding.Level == Ill || finding.Level == Watch && worst == Well {
			worst = finding.Level
		}
	}
	return worst
}

// Mesh is what was gathered for the checks.
type Mesh struct {
	Overview    api.Overview
	Postmasters map[string]configstore.Status
	Sorters     map[string]registry.Status
	Unreachable []string
	Asked       int64 // the doctor's wall clock while it asked
}

// Examine asks the desks and runs every check, within patience.
func Examine(desks []string, patience time.Duration) []Finding {
	mesh, err := Look(desks, patience)
	if err != nil {
		return []Finding{{Ill, "desks", err.Error(), "check that the postmasters run and that --desks names their desk addresses"}}
	}
	return Check(mesh)
}

// Look asks the desks how the mesh stands; the first that answers is taken.
func Look(desks []string, patience time.Duration) (Mesh, error) {
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	mesh := Mesh{Postmasters: map[string]configstore.Status{}, Sorters: map[string]registry.Status{}}
	reached := false
	for _, desk := range desks {
		var overview api.Overview
		mesh.Asked = time.Now().UnixMicro()
		if err := get(limit, desk, &overview); err != nil {
			mesh.Unreachable = append(mesh.Unreachable, fmt.Sprintf("%s (%v)", desk, err))
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

func get(limit context.Context, desk string, into any) error {
	request, err := http.NewRequestWithContext(limit, http.MethodGet, "http://"+desk+"/status", nil)
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

func (mesh *Mesh) decode() {
	for name, content := range mesh.Overview.ConfigStores {
		var status configstore.Status
		if json.Unmarshal(content, &status) == nil {
			mesh.Postmasters[name] = status
		}
	}
	for name, content := range mesh.Overview.Registries {
		var status registry.Status
		if json.Unmarshal(content, &status) == nil {
			mesh.Sorters[name] = status
		}
	}
}

// checks are run in this order.
var checks = []struct {
	name  string
	check func(mesh Mesh) []Finding
}{
	{"seeds", seeds}, {"split", split}, {"copies", copies}, {"versions", versions}, {"clock", clocks}, {"disk", disks},
	{"carriers", carriers}, {"guards", guards}, {"backends", backends},
}

// Check runs every check on what was gathered. A check that finds nothing says so.
func Check(mesh Mesh) (findings []Finding) {
	for _, entry := range checks {
		found := entry.check(mesh)
		if len(found) == 0 {
			found = []Finding{{Level: Well, What: "nothing found"}}
		}
		for index := range found {
			found[index].Check = entry.name
		}
		findings = append(findings, found...)
	}
	return findings
}

func seeds(mesh Mesh) (found []Finding) {
	for _, desk := range mesh.Unreachable {
		found = append(found, Finding{Level: Watch, What: "desk " + desk + " did not answer", Advice: "start that postmaster, or correct --desks if it moved"})
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Overview.Missing)) {
		found = append(found, Finding{Level: Watch, What: name + " is known but did not answer",
			Advice: "start it; with its disk lost, start it on an empty data folder under the same name"})
	}
	groups := map[string][]string{"postmaster": slices.Sorted(maps.Keys(mesh.Postmasters)), "sorter": slices.Sorted(maps.Keys(mesh.Sorters))}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		for _, voter := range voters(mesh, group) {
			if !slices.Contains(groups[group], voter) && mesh.Overview.Missing[group+" "+voter] == "" {
				found = append(found, Finding{Level: Watch, What: fmt.Sprintf("voter %s of the %ss was never heard of", voter, group),
					Advice: "start it, and check that its seeds name a live process"})
			}
		}
	}
	return found
}

func voters(mesh Mesh, group string) []string {
	for _, core := range cores(mesh) {
		if core.Group == group {
			return core.Voters
		}
	}
	return nil
}

func copies(mesh Mesh) (found []Finding) {
	newest, primaries := map[string]replication.Status{}, map[string][]string{}
	for _, core := range cores(mesh) {
		if core.Epoch >= newest[core.Group].Epoch {
			newest[core.Group] = core
		}
		if core.Serving {
			primaries[core.Group] = append(primaries[core.Group], core.Name)
		}
	}
	for _, group := range []string{"postmaster", "sorter"} {
		if count := len(primaries[group]); count != 1 {
			found = append(found, Finding{Level: Ill, What: fmt.Sprintf("%d %ss answer as primary: %v", count, group, primaries[group]),
				Advice: "a quorum of the group must be up and in contact; look at its events 201 to 208"})
		}
	}
	for _, core := range cores(mesh) {
		if !core.Joined {
			found = append(found, Finding{Level: Watch, What: core.Name + " has a blank folder and has not joined yet",
				Advice: "it joins once enough others with their registers intact answer it; start those"})
		}
		// A witness may lag: a quorum decides without it, and it asks when it's to decide itself.
		latest := newest[core.Group]
		if core.Epoch+1 < latest.Epoch && slices.Contains(latest.ReplicaNames(), core.Name) {
			found = append(found, Finding{Level: Watch, What: fmt.Sprintf("%s knows epoch %d, others %d", core.Name, core.Epoch, latest.Epoch),
				Advice: "check the network between it and the other core machines"})
		}
		if core.Serving && !core.BackupsInSync {
			found = append(found, Finding{Level: Ill, What: core.Name + " leads without a backup in step", Advice: "start another core machine of the group"})
		}
	}
	return found
}

func versions(mesh Mesh) (found []Finding) {
	releases := map[string][]string{}
	for _, core := range cores(mesh) {
		releases[core.Release] = append(releases[core.Release], core.Name)
	}
	for _, session := range sessions(mesh) {
		releases[session.Release] = append(releases[session.Release], session.Proxy)
	}
	if len(releases) > 1 {
		for _, release := range slices.Sorted(maps.Keys(releases)) {
			found = append(found, Finding{Level: Watch, What: fmt.Sprintf("release %s runs at %v", release, releases[release]),
				Advice: "fine during a roll-out; finish it, since only adjacent wire versions understand one another"})
		}
	}
	return found
}

func clocks(mesh Mesh) (found []Finding) {
	for _, core := range cores(mesh) {
		if apart := monotonic.Micros(core.Wall - mesh.Asked); apart > 5*monotonic.Second || apart < -5*monotonic.Second {
			found = append(found, Finding{Level: Watch, What: fmt.Sprintf("%s's wall clock is %v from this machine's", core.Name, apart.Duration()),
				Advice: "no decision depends on it, but logs will be hard to put in order; set the clock"})
		}
	}
	return found
}

func disks(mesh Mesh) (found []Finding) {
	for _, core := range cores(mesh) {
		if core.FreeBytes < 64<<20 {
			found = append(found, Finding{Level: Ill, What: fmt.Sprintf("%s has %d MiB of disk left", core.Name, core.FreeBytes>>20),
				Advice: "make room in its data folder's file system; a primary that can't write hands over"})
		}
		if took := monotonic.Micros(core.SyncTime); took > 100*monotonic.Millisecond {
			found = append(found, Finding{Level: Watch, What: fmt.Sprintf("%s took %v for its last write and sync", core.Name, took.Duration()),
				Advice: "every write waits for it; find what else uses the disk, or replace it"})
		}
	}
	return found
}

func carriers(mesh Mesh) (found []Finding) {
	newest := uint64(0)
	for _, master := range mesh.Postmasters {
		newest = max(newest, master.Version)
	}
	if newest == 0 {
		return []Finding{{Level: Ill, What: "no desired state has been accepted", Advice: "apply one: clerk apply FILE --expected 0"}}
	}
	all := sessions(mesh)
	if len(all) == 0 {
		return []Finding{{Level: Ill, What: "no carrier has a session", Advice: "start carriers, and check that their seeds name a live process"}}
	}
	for _, session := range all {
		if session.ConfigVersion < newest {
			found = append(found, Finding{Level: Watch, What: fmt.Sprintf("%s serves by serial %d, the newest is %d", session.Proxy, session.ConfigVersion, newest),
				Advice: "it refuses requests when its tenure ends; check its way to the primary postmaster"})
		}
	}
	return found
}

// answering is the sorter that answers, which alone shows guards.
func answering(mesh Mesh) (registry.Status, bool) {
	for _, name := range slices.Sorted(maps.Keys(mesh.Sorters)) {
		if status := mesh.Sorters[name]; status.Replication.Serving {
			return status, true
		}
	}
	return registry.Status{}, false
}

func sessions(mesh Mesh) []*wire.Session {
	status, known := answering(mesh)
	if known {
		return status.Proxies
	}
	for _, name := range slices.Sorted(maps.Keys(mesh.Sorters)) {
		return mesh.Sorters[name].Proxies
	}
	return nil
}

const stuck = 30 * monotonic.Second

func guards(mesh Mesh) (found []Finding) {
	status, known := answering(mesh)
	if !known {
		return []Finding{{Level: Ill, What: "no sorter answers, so no shared verdict is known", Advice: "carriers judge by their own windows meanwhile; see the copies check"}}
	}
	for _, record := range status.Breakers {
		reporters := []string{}
		for _, report := range record.Reports {
			reporters = append(reporters, report.Proxy)
		}
		since := monotonic.Micros(status.LeaderTime - record.EnteredAt)
		if record.State == "open" {
			found = append(found, Finding{Level: Ill, What: fmt.Sprintf("the guard of %s is open, for %v", record.Service, since.Duration()),
				Advice: "look at that service's backends; it's probed again by itself"})
		}
		if record.State == "half_open" {
			level, advice := Watch, "it's being probed; nothing to do unless this lasts"
			if since > stuck {
				advice = fmt.Sprintf("%d probes out, %d tallied, %d left: if nobody calls the service, nothing probes it", len(record.ProbeLeases), len(record.ProbeResults), record.Budget)
			}
			found = append(found, Finding{Level: level, What: fmt.Sprintf("the guard of %s is half open, for %v", record.Service, since.Duration()), Advice: advice})
		}
		if record.State == "closed" && len(reporters) > 0 {
			found = append(found, Finding{Level: Watch, What: fmt.Sprintf("%v tripped on %s and stand alone in that", reporters, record.Service),
				Advice: "look at those machines' network first: most callers do well"})
		}
	}
	return found
}

func backends(mesh Mesh) (found []Finding) {
	counts := map[string]int{}
	for _, session := range sessions(mesh) {
		for _, backend := range session.Backends {
			if backend.Condition == "overdue" {
				found = append(found, Finding{Level: Watch, What: fmt.Sprintf("%s of %s at %s has stopped beating", backend.Instance, backend.Service, backend.Address),
					Advice: "restart it, or have it say that it leaves; it isn't sent to meanwhile"})
			}
			if backend.Condition == "alive" || backend.Condition == "working" {
				counts[backend.Service]++
			}
		}
	}
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		if counts[service] == 1 {
			found = append(found, Finding{Level: Watch, What: service + " has a single backend", Advice: "start another one, on another machine"})
		}
	}
	return found
}
