// Postmaster is the store of desired states, and the operators' door.
package main

import (
	"path/filepath"
	"slices"
	"snowflow/internal/replication"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/archive"
	"snowflow/internal/daemon"
	"snowflow/internal/eventlog"
	"snowflow/internal/settings"
)

func main() {
	daemon.Main(daemon.Command("configstore", "the store of desired states and the operators' door", settings.ControlPlaneFields(), configstore.Group, build))
}

func build(program *daemon.Daemon) error {
	// Best effort by design: the record file decides, and the archive is written anew from it.
	objects := archive.Open(filepath.Join(program.Settings["data"], "desired.git"), func(err error) {
		program.Host.Report(eventlog.ObjectStoreFailed, map[string]any{"error": err.Error()})
	})
	store, err := configstore.Open(configstore.Options{Host: program.Host, Resolver: program.Resolver, Name: program.Settings["name"], Voters: program.Settings.List("voters"),
		Bootstrap:  slices.Contains(program.Settings.List("voters"), program.Settings["name"]),
		OnAccepted: objects.Enqueue, OnAdopted: program.AdoptionObserver()})
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
