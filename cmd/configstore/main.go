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
	daemon.Main(daemon.Command("configstore", "the store of desired states and the operators' door", settings.Core(), configstore.Group, build))
}

func build(home *daemon.House) error {
	// Best effort by design: the record file decides, and the archive is written anew from it.
	objects := archive.Open(filepath.Join(home.Values["data"], "desired.git"), func(err error) {
		home.Place.Report(eventlog.ObjectStoreTrouble, map[string]any{"error": err.Error()})
	})
	store, err := configstore.Open(configstore.Options{Host: home.Place, Resolver: home.Book, Name: home.Values["name"], Voters: home.Values.List("voters"),
		Bootstrap:  slices.Contains(home.Values.List("voters"), home.Values["name"]),
		OnAccepted: objects.Enqueue, OnAdopted: home.TakeUp()})
	if err != nil {
		return err
	}
	store.Register(home.Table)
	home.CoreGauges(store.Member)
	pages := api.New(home.Place, home.Book, home.Metrics(), func() any { return store.Status() }, config.Parse)
	if err := home.HTTP(home.Values["desk"], api.NewServer(pages)); err != nil {
		return err
	}
	store.Start()
	home.Drain = func() { store.Member.Leave("planned stop", replication.LeaveLimit) }
	return nil
}
