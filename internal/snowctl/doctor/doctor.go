// Package doctor looks for common faults in a running mesh and advises what to do about each. It only reads the status that the
// control plane's processes report.
package doctor

import (
	"fmt"
	"time"
)

// Levels of findings. Programs read the values in the printed lines and in JSON, so they keep former terms.
const (
	Healthy   = "well"
	Warning   = "watch" // the mesh serves, but something needs attention
	Unhealthy = "ill"   // a guarantee is at risk, or part of the service is down
)

// Finding is one fault that a check found, or its result that it found none.
type Finding struct {
	Level   string `json:"level"`
	Check   string `json:"check"` // the check's name
	Message string `json:"what"`
	Advice  string `json:"advice,omitempty"` // what to do about it; empty for a healthy result
}

// String formats a finding as one line, and its advice, if any, as a second.
func (f Finding) String() string {
	text := fmt.Sprintf("%-5s %-10s %s", f.Level, f.Check, f.Message)
	if f.Advice != "" {
		text += "\n                 -> " + f.Advice
	}
	return text
}

// MostSevere returns the most severe level among findings, or Healthy if there are none.
func MostSevere(findings []Finding) string {
	level := Healthy
	for _, finding := range findings {
		if finding.Level == Unhealthy || finding.Level == Warning && level == Healthy {
			level = finding.Level
		}
	}
	return level
}

// Examine gathers the mesh's status from the admin addresses of configuration stores, and runs every check. The timeout bounds the
// gathering from all addresses together.
func Examine(addresses []string, timeout time.Duration) []Finding {
	mesh, err := Gather(addresses, timeout)
	if err != nil {
		return []Finding{{Unhealthy, "desks", err.Error(), "check that the configuration stores are running and that --addresses lists their admin addresses"}}
	}
	return Check(mesh)
}

// checks lists the checks in the order in which they run. Programs read the names in findings, so they keep former terms.
var checks = []struct {
	name  string
	check func(mesh MeshStatus) []Finding
}{
	{"seeds", checkSeeds}, {"split", checkPartition}, {"copies", checkReplicas}, {"versions", checkReleases}, {"clock", checkClocks}, {"disk", checkDisks},
	{"carriers", checkProxies}, {"leases", checkLeases}, {"guards", checkBreakers}, {"backends", checkBackends},
}

// Check runs every check on a gathered status. A check that finds no fault yields a Healthy finding.
func Check(mesh MeshStatus) (findings []Finding) {
	for _, entry := range checks {
		found := entry.check(mesh)
		if len(found) == 0 {
			found = []Finding{{Level: Healthy, Message: "nothing found"}}
		}
		for index := range found {
			found[index].Check = entry.name
		}
		findings = append(findings, found...)
	}
	return findings
}
