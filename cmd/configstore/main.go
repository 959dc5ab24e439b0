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

func build(home *daemon.Daemon) error {
	// Best effort by design: the record file decides, and the archive is written anew from it.
	objects := archive.Open(filepath.Join(home.Settings["data"], "desired.git"), func(err error) {
		home.Host.Report(eventlog.ObjectStoreFailed, map[string]any{"error": err.Error()})
	})
	store, err := configstore.Open(configstore.Options{Host: home.Host, Resolver: home.Resolver, Name: home.Settings["name"], Voters: home.Settings.List("voters"),
		Bootstrap:  slices.Contains(home.Settings.List("voters"), home.Settings["name"]),
		OnAccepted: objects.Enqueue, OnAdopted: home.AdoptionObserver()})
	if err != nil {
		return err
	}
	store.Register(home.Handlers)
	home.AddReplicationGauges(store.Member)
	pages := api.New(home.Host, home.Resolver, home.Metrics(), func() any { return store.Status() }, config.Parse)
	if err := home.ServeHTTP(home.Settings["desk"], api.NewServer(pages)); err != nil {
		return err
	}
	store.Start()
	home.Drain = func() { store.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
