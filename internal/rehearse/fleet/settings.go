package fleet

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// Values of the proxies' load balancing setting. The default is near, and blind is the former name of uniform.
const (
	loadBalancingNear          = "near"
	loadBalancingUniform       = "uniform"
	formerLoadBalancingUniform = "blind"
)

// seedCount is the maximum number of seed addresses in a process's settings.
const seedCount = 3

// processSettings is the content of a process's settings file. Since builds of several releases read it, it uses the oldest name of each
// setting and, where possible, leaves out settings that an earlier build may not know.
type processSettings struct {
	Name      string   `json:"name"`
	Domain    string   `json:"domain"`
	Listen    string   `json:"listen"`
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"`
	Admin     string   `json:"desk"`
	LogLevel  string   `json:"log"`
	ClockFile string   `json:"rehearse-clock,omitempty"`
	// Settings of a proxy.
	Callers       string `json:"callers,omitempty"`
	LoadBalancing string `json:"choice,omitempty"`
	// Settings of a control plane process.
	Voters    []string `json:"voters,omitempty"`
	Data      string   `json:"data,omitempty"`
	SyncDelay string   `json:"rehearse-sync,omitempty"`
}

// writeSettings writes the settings file that a process reads at its next start.
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

// formerLoadBalancing returns the name of a load balancing value that all builds know. It is empty for the default.
func formerLoadBalancing(value string) string {
	switch value {
	case loadBalancingNear:
		return ""
	case loadBalancingUniform:
		return formerLoadBalancingUniform
	}
	return value
}

// seeds returns the seed addresses: control plane processes on different hosts, alternately of the registry and the configuration store.
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

// settingsFile returns the path of the settings file.
func (p *Process) settingsFile() string { return filepath.Join(p.Dir, "env.json") }

// clockFile returns the path of the file that holds the difference of the process's clock from the real one, in microseconds.
func (p *Process) clockFile() string { return filepath.Join(p.Dir, "clock") }

// DataDir returns the folder in which a control plane process stores its data.
func (p *Process) DataDir() string { return filepath.Join(p.Dir, "data") }
