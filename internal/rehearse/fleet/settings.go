package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// How proxies choose backends: the programs' own default, and the other value with its former name.
const (
	loadBalancingNear          = "near"
	loadBalancingUniform       = "uniform"
	formerLoadBalancingUniform = "blind"
)

// seedCount is how many seeds each process gets.
const seedCount = 3

// processSettings is the content of a process's settings file. Builds of several releases read it, so that it has the oldest names
// of the settings, and leaves out what an earlier build may not know where that is possible.
type processSettings struct {
	Name      string   `json:"name"`
	Domain    string   `json:"domain"`
	Listen    string   `json:"listen"`
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"`
	Admin     string   `json:"desk"`
	LogLevel  string   `json:"log"`
	ClockFile string   `json:"rehearse-clock,omitempty"`
	// Of a proxy.
	Callers       string `json:"callers,omitempty"`
	LoadBalancing string `json:"choice,omitempty"`
	// Of a control plane process.
	Voters    []string `json:"voters,omitempty"`
	Data      string   `json:"data,omitempty"`
	SyncDelay string   `json:"rehearse-sync,omitempty"`
}

// writeSettings writes a process's settings file, which the process reads at its next start.
func (f *Fleet) writeSettings(process *Process) error {
	settings := processSettings{Name: process.Name, Domain: process.Zone, Listen: process.ListenAddress, Advertise: process.PeerAddress,
		Seeds: f.seeds(), Admin: process.AdminAddress, LogLevel: f.LogLevel}
	if process.clockSteppable {
		settings.ClockFile = process.clockFile()
	}
	if process.Program == ProxyProgram {
		settings.Callers = process.CallerAddress
		settings.LoadBalancing = formerLoadBalancing(f.LoadBalancing)
	} else {
		for _, member := range f.GroupOf(process) {
			settings.Voters = append(settings.Voters, member.Name)
		}
		settings.Data = process.DataDir()
		if process.syncDelay > 0 {
			settings.SyncDelay = process.syncDelay.String()
		}
	}
	if err := os.MkdirAll(process.Dir, 0o755); err != nil {
		return err
	}
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(process.settingsFile(), content, 0o644)
}

// formerLoadBalancing is a value of the setting under the name that all builds read; empty for the default.
func formerLoadBalancing(value string) string {
	switch value {
	case loadBalancingNear:
		return ""
	case loadBalancingUniform:
		return formerLoadBalancingUniform
	}
	return value
}

// seeds are addresses of control plane processes on different hosts, of the registry and the configuration store in turn.
func (f *Fleet) seeds() []string {
	seeds := []string{}
	for index := 0; index < seedCount && index < len(f.Registries); index++ {
		member := f.Registries[index]
		if index%2 == 1 {
			member = f.ConfigStores[index]
		}
		seeds = append(seeds, member.PeerAddress)
	}
	return seeds
}

func (p *Process) settingsFile() string { return filepath.Join(p.Dir, "env.json") }

// clockFile is where a process reads, in microseconds, by how much its clock was stepped.
func (p *Process) clockFile() string { return filepath.Join(p.Dir, "clock") }

// DataDir is where a control plane process keeps its data.
func (p *Process) DataDir() string { return filepath.Join(p.Dir, "data") }
