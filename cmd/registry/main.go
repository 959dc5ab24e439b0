// Registry runs one process of the service registry, which stores the sessions of proxies with their backends, breaker records, claims
// of idempotency keys, and singleton leases.
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
	daemon.Main(daemon.Command("registry", "the registry of proxies, backends, breakers and idempotency keys", settings.ControlPlaneFields(), registry.Group, build))
}

// liveness is the response of /live.
type liveness struct {
	Live bool `json:"live"`
}

// build opens the registry from its settings, and adds its request handlers, metrics and status pages to the program.
func build(program *daemon.Daemon) error {
	name, voters := program.Settings["name"], program.Settings.List("voters")
	server, err := registry.Open(registry.Config{
		Host:      program.Host,
		Resolver:  program.Resolver,
		Name:      name,
		Voters:    voters,
		Bootstrap: slices.Contains(voters, name),
	})
	if err != nil {
		return err
	}
	server.Register(program.Handlers)
	program.AddReplicationGauges(server.Member)
	pages := http.NewServeMux()
	pages.Handle("/metrics", program.Metrics())
	pages.Handle("/local", daemon.StatusPage(func() any { return server.Status() }))
	pages.Handle("/live", daemon.StatusPage(func() any { return liveness{Live: true} }))
	if err := program.ServeHTTP(program.Settings["http"], api.NewServer(pages)); err != nil {
		return err
	}
	server.Start()
	program.Drain = func() { server.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
