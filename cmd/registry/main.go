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
	daemon.Main(daemon.Command("registry", "the registry of carriers, backends and guards", settings.Core(), registry.Group, build))
}

func build(home *daemon.House) error {
	registry, err := registry.Open(registry.Env{Place: home.Place, Book: home.Book, Name: home.Values["name"], Voters: home.Values.List("voters"),
		Genesis: slices.Contains(home.Values.List("voters"), home.Values["name"])})
	if err != nil {
		return err
	}
	registry.Register(home.Table)
	home.CoreGauges(registry.Member)
	pages := http.NewServeMux()
	pages.Handle("/metrics", home.Metrics())
	pages.Handle("/local", daemon.Page(func() any { return registry.Status() }))
	pages.Handle("/live", daemon.Page(func() any { return map[string]bool{"live": true} }))
	if err := home.HTTP(home.Values["desk"], api.NewServer(pages)); err != nil {
		return err
	}
	registry.Start()
	home.Drain = func() { registry.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
