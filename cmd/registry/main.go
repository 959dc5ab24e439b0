// Registry is the service registry: a replicated group that keeps the proxies' sessions, the backends, the breakers' shared records,
// the claims of idempotency keys and the leases of singletons.
package main

import (
	"net/http"
	"slices"

	"snowflow/internal/configstore/api"
	"snowflow/internal/daemon"
	"snowflow/internal/registry"
	"snowflow/internal/replication"
	"snowflow/internal/settings"
)

func main() {
	daemon.Main(daemon.Command("registry", "the registry of proxies, backends and breakers", settings.ControlPlaneFields(), registry.Group, build))
}

func build(program *daemon.Daemon) error {
	name, voters := program.Settings["name"], program.Settings.List("voters")
	store, err := registry.Open(registry.Config{Host: program.Host, Resolver: program.Resolver, Name: name, Voters: voters, Bootstrap: slices.Contains(voters, name)})
	if err != nil {
		return err
	}
	store.Register(program.Handlers)
	program.AddReplicationGauges(store.Member)
	pages := http.NewServeMux()
	pages.Handle("/metrics", program.Metrics())
	pages.Handle("/local", daemon.StatusPage(func() any { return store.Status() }))
	pages.Handle("/live", daemon.StatusPage(func() any { return map[string]bool{"live": true} }))
	if err := program.ServeHTTP(program.Settings["http"], api.NewServer(pages)); err != nil {
		return err
	}
	store.Start()
	program.Drain = func() { store.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
