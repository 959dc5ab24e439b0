// Carrier is the proxy beside each caller and each server.
package main

import (
	"context"

	"snowflow/internal/carrier"
	"snowflow/internal/carrier/backdoor"
	"snowflow/internal/carrier/counter"
	"snowflow/internal/carrier/delivery"
	"snowflow/internal/env"
	"snowflow/internal/house"
	"snowflow/internal/postmark"
)

func main() {
	house.Main(house.Command("carrier", "the proxy beside each caller and each server", env.Carrier(), "", build))
}

func build(home *house.House) error {
	tally := house.NewTally(home.Registry)
	mover := carrier.New(carrier.Env{Place: home.Place, Book: home.Book, Name: home.Values["name"], Domain: home.Values["domain"],
		Address: home.Values["advertise"], Blind: home.Values["choice"] == "blind", FarPenalty: postmark.Micros(home.Values.Number("far-penalty")), Delivery: delivery.New(home.Place, delivery.Own()), Finished: tally.Finished})
	mover.Register(home.Table)
	home.Gauges([]house.Gauge{
		{Name: "snowflow_requests_running", Help: "Callers' requests under way.", Read: func() float64 { return float64(mover.Passage.Running()) }},
		{Name: "snowflow_passes_running", Help: "Passes from other carriers under way.", Read: func() float64 { return float64(mover.Gate.Running()) }},
		{Name: "snowflow_backends_ejected", Help: "Backends on this machine that only probes are let in to, for all callers or for those of a domain.", Read: mover.Hutch.Ejected},
		{Name: "snowflow_desired_serial", Help: "The adopted desired state's serial.", Read: func() float64 { serial, _ := mover.Desk.Serial(); return float64(serial) }},
	})
	backDoor := backdoor.New(home.Place, mover, home.Metrics(), home.Stop)
	if err := home.HTTP(home.Values["desk"], counter.Server(backDoor)); err != nil {
		return err
	}
	callers := counter.Server(counter.New(mover, home.Place))
	if err := home.HTTP(home.Values["callers"], callers); err != nil {
		return err
	}
	mover.Start()
	home.Drain = func() {
		mover.Drain(home.Values.Span("grace"), func() { go func() { _ = callers.Shutdown(context.Background()) }() })
	}
	return nil
}
