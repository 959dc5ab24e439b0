package breaker

import (
	"fmt"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// leaseTimeout limits the lease of a probe, for which a caller's request waits. It is longer than a slow disk needs to sync a
// batch of the registry's log.
const leaseTimeout = monotonic.Second

// admitProbe leases a probe from the registry. If the registry is unreachable or the record has been closed in the meantime,
// the local breaker decides.
func (s *Set) admitProbe(b *serviceBreaker, permit *Permit) *apierror.Error {
	if s.skipProbeLeases {
		return nil
	}
	probeID := fmt.Sprintf("%s-%016x", s.config.Proxy, s.config.Host.Random())
	request := &wire.ProbeLeaseRequest{Service: b.service, Id: probeID, Proxy: s.config.Proxy, Incarnation: s.config.Incarnation}
	response := &wire.ProbeLeaseResponse{}
	if err := s.config.Call(wire.Kind_probe_lease, request, response, leaseTimeout); err != nil {
		s.enterDegraded(err)
		return s.admitLocally(b, permit)
	}
	s.applyRecord(b, response.Record)
	if response.Granted {
		permit.probeID, permit.recordVersion = probeID, response.Record.Version
		return nil
	}
	if response.Record != nil && response.Record.State == breakerstore.Closed {
		permit.recordVersion = response.Record.Version
		return s.admitLocally(b, permit)
	}
	return apierror.New(apierror.NoProbeLeft, apierror.NotRun, "the breaker of %s has no probe left", b.service)
}

// endProbe queues the result of a leased probe for the registry. A neutral outcome says nothing about the service, so the
// probe is returned for another attempt.
func (p *Permit) endProbe(outcome Outcome, slow bool) {
	verb := breakerstore.VerbProbe
	if outcome == Neutral {
		verb = breakerstore.VerbReturn
	}
	p.set.enqueueWrite(&wire.BreakerWriteRequest{
		Service:         p.breaker.service,
		Verb:            verb,
		ExpectedVersion: p.recordVersion,
		Id:              p.probeID,
		Success:         outcome == Success && !slow,
		Settings:        p.service.BreakerSettings(),
	})
}
