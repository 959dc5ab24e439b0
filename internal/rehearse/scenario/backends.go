package scenario

import (
	"time"

	"snowflow/internal/rehearse/standin"
)

func replaceAllBackends(r *Rehearsal) error {
	for _, service := range r.Fleet.Layout.Services {
		for _, old := range r.BackendsOf(service.Name) {
			if err := r.replaceBackend(old, 3*time.Second); err != nil {
				return err
			}
		}
	}
	r.Wait(3 * time.Second)
	return nil
}

// replaceBackend starts another instance of a backend's service on the next host, then drains and closes the old one.
func (r *Rehearsal) replaceBackend(old *standin.Backend, drainTime time.Duration) error {
	if err := r.addOnNextHost(old); err != nil {
		return err
	}
	old.Drain()
	time.Sleep(drainTime)
	old.Close()
	r.RemoveBackend(old)
	return nil
}

// addOnNextHost starts another instance of a backend's service on the next host.
func (r *Rehearsal) addOnNextHost(old *standin.Backend) error {
	_, err := r.AddBackend(old.Service, (r.ProxyIndexOf(old)+1)%len(r.Fleet.Proxies))
	return err
}

func reuseAddresses(r *Rehearsal) error {
	services := r.Fleet.Layout.Services
	for turn, began := 0, time.Now(); r.withinDuration(began); turn++ {
		old := randomItem(r.BackendsOf(services[turn%len(services)].Name))
		if err := r.addOnNextHost(old); err != nil {
			return err
		}
		old.Close()
		r.RemoveBackend(old)
		r.Wait(2 * time.Second)
		if _, err := r.AddBackendAt(services[(turn+1)%len(services)], r.Fleet.Proxies[r.ProxyIndexOf(old)], old.Address); err != nil {
			return err
		}
		r.Wait(2 * time.Second)
	}
	return nil
}

func malformResponses(r *Rehearsal) error {
	for began := time.Now(); r.withinDuration(began); {
		var chosen []*standin.Backend
		for _, service := range r.Fleet.Layout.Services {
			backend := randomItem(r.BackendsOf(service.Name))
			backend.Behavior.Store(standin.Mixed)
			chosen = append(chosen, backend)
		}
		r.Wait(5 * time.Second)
		for _, backend := range chosen {
			backend.Behavior.Store(standin.Normal)
		}
	}
	return nil
}

func overload(r *Rehearsal) error {
	for _, backend := range r.Backends {
		backend.LimitWorkers(4, 40000)
	}
	r.Wait(r.fractionOfDuration(0.2))
	extra := standin.NewLoadGenerator(r.Fleet, r.Clock, r.History)
	extra.MaxRetries = 0
	r.History.RecordMarker(markerOverload, r.Clock.Now())
	extra.Start(r.Options.OverloadFactor)
	r.Wait(r.fractionOfDuration(0.6))
	r.History.RecordMarker(markerOverloadEnded, r.Clock.Now())
	extra.Stop()
	r.Wait(r.fractionOfDuration(0.2))
	return nil
}
