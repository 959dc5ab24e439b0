// ProxyFields is the proxy beside each caller and each server.
package main

import (
	"context"

	"snowflow/internal/daemon"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/backendapi"
	"snowflow/internal/proxy/ingress"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/settings"
)

func main() {
	daemon.Main(daemon.Command("proxy", "the proxy beside each caller and each server", settings.ProxyFields(), "", build))
}

func build(home *daemon.Daemon) error {
	tally := daemon.NewRequestCounters(home.Registry)
	mover := proxy.New(proxy.Options{Host: home.Host, Resolver: home.Resolver, Name: home.Settings["name"], Domain: home.Settings["domain"],
		Address: home.Settings["advertise"], IgnoreZones: home.Settings["choice"] == "blind", CrossZonePenalty: monotonic.Micros(home.Settings.Int("far-penalty")), Upstream: upstream.New(home.Host, upstream.DefaultDialect()), Finished: tally.CountRequest})
	mover.Register(home.Handlers)
	home.AddGauges([]daemon.Gauge{
		{Name: "snowflow_requests_running", Help: "Callers' requests under way.", Read: func() float64 { return float64(mover.Forwarder.InFlight()) }},
		{Name: "snowflow_passes_running", Help: "Passes from other carriers under way.", Read: func() float64 { return float64(mover.Admission.Running()) }},
		{Name: "snowflow_backends_ejected", Help: "Backends on this machine that only probes are let in to, for all callers or for those of a domain.", Read: mover.LocalBackends.Ejected},
		{Name: "snowflow_desired_serial", Help: "The adopted desired state's serial.", Read: func() float64 { serial, _ := mover.ConfigClient.Version(); return float64(serial) }},
	})
	backDoor := backendapi.New(home.Host, mover, home.Metrics(), home.Stop)
	if err := home.ServeHTTP(home.Settings["desk"], ingress.NewServer(backDoor)); err != nil {
		return err
	}
	callers := ingress.NewServer(ingress.New(mover, home.Host))
	if err := home.ServeHTTP(home.Settings["callers"], callers); err != nil {
		return err
	}
	mover.Start()
	home.Drain = func() {
		mover.Drain(home.Settings.Duration("grace"), func() { go func() { _ = callers.Shutdown(context.Background()) }() })
	}
	return nil
}
