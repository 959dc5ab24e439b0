package proxy

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
)

// departureTimeout bounds the wait until the registry knows that a backend is leaving. It is shorter than the second that backends wait
// for an acknowledgement.
const departureTimeout = 700 * monotonic.Millisecond

// The departure of a backend is acknowledged to it only after the registry knows of it, because this process may end and lose that
// knowledge: its next incarnation would take a delayed heartbeat as a sign that the backend is in service. Other heartbeats are
// acknowledged immediately.

// ApplyReport applies a backend's report, see localbackends.Set.ApplyReport. It also returns an error if the backend reports that it is
// leaving and the registry doesn't confirm that in time. The departure has then taken effect on this proxy only, and the backend should
// report it again.
func (p *Proxy) ApplyReport(report localbackends.Report) error {
	if _, err := p.LocalBackends.ApplyReport(report); err != nil {
		return err
	}
	return p.confirmDeparture(report.Instance, report.Condition)
}

// RegisterBackend registers a backend, see localbackends.Set.Register. It confirms a departure as ApplyReport does.
func (p *Proxy) RegisterBackend(backend localbackends.Backend, condition string) error {
	if err := p.LocalBackends.Register(backend, condition); err != nil {
		return err
	}
	return p.confirmDeparture(backend.Instance, condition)
}

// Heartbeat records a backend's heartbeat, see localbackends.Set.Heartbeat. It confirms a departure as ApplyReport does.
func (p *Proxy) Heartbeat(instance, condition string) error {
	if err := p.LocalBackends.Heartbeat(instance, condition); err != nil {
		return err
	}
	return p.confirmDeparture(instance, condition)
}

// Deregister deregisters a backend, see localbackends.Set.Deregister. It confirms the departure as ApplyReport does.
func (p *Proxy) Deregister(instance string) error {
	p.LocalBackends.Deregister(instance)
	return p.confirmDeparture(instance, localbackends.Leaving)
}

// confirmDeparture waits until the registry knows that an instance is leaving. It does nothing for other conditions.
func (p *Proxy) confirmDeparture(instance, condition string) error {
	if condition != localbackends.Leaving || p.Session.AwaitAnnounced(departureTimeout) {
		return nil
	}
	return apierror.Lost.New("the registry has not confirmed yet that instance %s is leaving", instance)
}
