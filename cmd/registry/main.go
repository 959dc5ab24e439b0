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

func build(home *daemon.Daemon) error {
	registry, err := registry.Open(registry.Config{Host: home.Host, Resolver: home.Resolver, Name: home.Settings["name"], Voters: home.Settings.List("voters"),
		Bootstrap: slices.Contains(home.Settings.List("voters"), home.Settings["name"])})
	if err != nil {
		return err
	}
	registry.Register(home.Handlers)
	home.AddReplicationGauges(registry.Member)
	pages := http.NewServeMux()
	pages.Handle("/metrics", home.Metrics())
	pages.Handle("/local", daemon.StatusPage(func() any { return registry.Status() }))
	pages.Handle("/live", daemon.StatusPage(func() any { return map[string]bool{"live": true} }))
	if err := home.ServeHTTP(home.Settings["desk"], api.NewServer(pages)); err != nil {
		return err
	}
	registry.Start()
	home.Drain = func() { registry.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
