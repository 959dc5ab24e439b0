// Configstore is the configuration store: a replicated group that keeps the versions of the desired state, rolls them out to the
// proxies, and serves operators.
package main

import (
	"path/filepath"
	"slices"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/archive"
	"snowflow/internal/daemon"
	"snowflow/internal/eventlog"
	"snowflow/internal/replication"
	"snowflow/internal/settings"
)

func main() {
	daemon.Main(daemon.Command("configstore", "the store of desired states, which serves operators", settings.ControlPlaneFields(), configstore.Group, build))
}

func build(program *daemon.Daemon) error {
	// The archive is best effort: the replicated log is authoritative, and the archive is written anew from it.
	objects := archive.Open(filepath.Join(program.Settings["data"], "desired.git"), func(err error) {
		program.Host.Report(eventlog.ObjectStoreFailed, map[string]any{"error": err.Error()})
	})
	name, voters := program.Settings["name"], program.Settings.List("voters")
	store, err := configstore.Open(configstore.Options{
		Host:       program.Host,
		Resolver:   program.Resolver,
		Name:       name,
		Voters:     voters,
		Bootstrap:  slices.Contains(voters, name),
		OnAccepted: objects.Enqueue,
		OnAdopted:  program.AdoptionObserver(),
	})
	if err != nil {
		return err
	}
	store.Register(program.Handlers)
	program.AddReplicationGauges(store.Member)
	pages := api.New(program.Host, program.Resolver, program.Metrics(), func() any { return store.Status() }, config.Parse)
	if err := program.ServeHTTP(program.Settings["http"], api.NewServer(pages)); err != nil {
		return err
	}
	store.Start()
	program.Drain = func() { store.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
