package proxy

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
)

// departureTimeout bounds the wait for the registry to know a departure. Backends wait a second for an acknowledgement.
const departureTimeout = 700 * monotonic.Millisecond

// A departure is acknowledged to a backend only once the registry knows it, since this process may end and forget it: its next
// incarnation would take a late heartbeat for that of a backend in service. Other heartbeats are acknowledged at once.

// ApplyReport applies a backend's report, see localbackends.Set.ApplyReport. It fails if the backend reports that it is leaving and the
// registry doesn't know that in time: the departure has taken effect here, and the backend should report it again.
func (p *Proxy) ApplyReport(report localbackends.Report) error {
	if _, err := p.LocalBackends.ApplyReport(report); err != nil {
		return err
	}
	return p.confirmDeparture(report.Instance, report.Condition)
}

// RegisterBackend does the same for localbackends.Set.Register.
func (p *Proxy) RegisterBackend(backend localbackends.Backend, condition string) error {
	if err := p.LocalBackends.Register(backend, condition); err != nil {
		return err
	}
	return p.confirmDeparture(backend.Instance, condition)
}

// Heartbeat does the same for localbackends.Set.Heartbeat.
func (p *Proxy) Heartbeat(instance, condition string) error {
	if err := p.LocalBackends.Heartbeat(instance, condition); err != nil {
		return err
	}
	return p.confirmDeparture(instance, condition)
}

// Deregister does the same for localbackends.Set.Deregister.
func (p *Proxy) Deregister(instance string) error {
	p.LocalBackends.Deregister(instance)
	return p.confirmDeparture(instance, localbackends.Leaving)
}

// confirmDeparture waits until the registry knows that an instance leaves, if it does.
func (p *Proxy) confirmDeparture(instance, condition string) error {
	if condition != localbackends.Leaving || p.Session.AwaitAnnounced(departureTimeout) {
		return nil
	}
	return apierror.Lost.New("the registry does not know yet that instance %s leaves", instance)
}
