// Carrier is the proxy beside each caller and each server.
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
	daemon.Main(daemon.Command("proxy", "the proxy beside each caller and each server", settings.Carrier(), "", build))
}

func build(home *daemon.House) error {
	tally := daemon.NewTally(home.Registry)
	mover := proxy.New(proxy.Env{Place: home.Place, Book: home.Book, Name: home.Values["name"], Domain: home.Values["domain"],
		Address: home.Values["advertise"], Blind: home.Values["choice"] == "blind", FarPenalty: monotonic.Micros(home.Values.Number("far-penalty")), Delivery: upstream.New(home.Place, upstream.Own()), Finished: tally.Finished})
	mover.Register(home.Table)
	home.Gauges([]daemon.Gauge{
		{Name: "snowflow_requests_running", Help: "Callers' requests under way.", Read: func() float64 { return float64(mover.Passage.Running()) }},
		{Name: "snowflow_passes_running", Help: "Passes from other carriers under way.", Read: func() float64 { return float64(mover.Gate.Running()) }},
		{Name: "snowflow_backends_ejected", Help: "Backends on this machine that only probes are let in to, for all callers or for those of a domain.", Read: mover.Hutch.Ejected},
		{Name: "snowflow_desired_serial", Help: "The adopted desired state's serial.", Read: func() float64 { serial, _ := mover.Desk.Version(); return float64(serial) }},
	})
	backDoor := backendapi.New(home.Place, mover, home.Metrics(), home.Stop)
	if err := home.HTTP(home.Values["desk"], ingress.Server(backDoor)); err != nil {
		return err
	}
	callers := ingress.Server(ingress.New(mover, home.Place))
	if err := home.HTTP(home.Values["callers"], callers); err != nil {
		return err
	}
	mover.Start()
	home.Drain = func() {
		mover.Drain(home.Values.Span("grace"), func() { go func() { _ = callers.Shutdown(context.Background()) }() })
	}
	return nil
}
