// Sorter is the registry: sessions, backends, guards, claims and duties.
package main

import (
	"net/http"
	"slices"
	"snowflow/internal/replication"

	"snowflow/internal/configstore/api"
	"snowflow/internal/daemon"
	"snowflow/internal/registry"
	"snowflow/internal/settings"
)

func main() {
	daemon.Main(daemon.Command("registry", "the registry of carriers, backends and guards", settings.ControlPlaneFields(), registry.Group, build))
}

func build(program *daemon.Daemon) error {
	registry, err := registry.Open(registry.Config{Host: program.Host, Resolver: program.Resolver, Name: program.Settings["name"], Voters: program.Settings.List("voters"),
		Bootstrap: slices.Contains(program.Settings.List("voters"), program.Settings["name"])})
	if err != nil {
		return err
	}
	registry.Register(program.Handlers)
	program.AddReplicationGauges(registry.Member)
	pages := http.NewServeMux()
	pages.Handle("/metrics", program.Metrics())
	pages.Handle("/local", daemon.StatusPage(func() any { return registry.Status() }))
	pages.Handle("/live", daemon.StatusPage(func() any { return map[string]bool{"live": true} }))
	if err := program.ServeHTTP(program.Settings["http"], api.NewServer(pages)); err != nil {
		return err
	}
	registry.Start()
	program.Drain = func() { registry.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
