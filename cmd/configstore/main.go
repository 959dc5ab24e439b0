// Configstore runs one process of the configuration store, which stores the accepted configurations with their history and serves the
// operators' HTTP API.
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
	daemon.Main(daemon.Command("configstore", "the store of configurations and the operators' HTTP API", settings.ControlPlaneFields(), configstore.Group, build))
}

// archiveFolder is the folder, within the data folder, of the Git repository of accepted configurations.
const archiveFolder = "desired.git"

// build opens the configuration store from its settings, and adds its request handlers, metrics and HTTP API to the program.
func build(program *daemon.Daemon) error {
	name, voters := program.Settings["name"], program.Settings.List("voters")
	// The archive is best effort: the replicated log is authoritative, and a lost or outdated archive is rewritten from it.
	repository := archive.Open(filepath.Join(program.Settings["data"], archiveFolder), func(err error) {
		program.Host.Report(eventlog.ObjectStoreFailed, eventlog.Attributes{"error": err.Error()})
	})
	store, err := configstore.Open(configstore.Options{
		Host:       program.Host,
		Resolver:   program.Resolver,
		Name:       name,
		Voters:     voters,
		Bootstrap:  slices.Contains(voters, name),
		OnAccepted: repository.Enqueue,
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
