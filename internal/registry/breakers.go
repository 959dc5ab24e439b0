package registry

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// directoryFillTime is the time within which every proxy has polled a new primary, so that its directory is complete: one and a half poll
// intervals of a proxy.
const directoryFillTime = 1500 * monotonic.Millisecond

// handleProbeLease leases a probe of a half-open round to a proxy. It fills in the proxies that contend for probes, among which the
// state machine divides the round.
func (r *Registry) handleProbeLease(request *wire.ProbeLeaseRequest) (*wire.ProbeLeaseResponse, error) {
	request.Active = r.probeContenders(request.Service)
	if response := r.deniedProbe(request); response != nil {
		return response, nil
	}
	result, err := r.propose(&wire.RegistryCommand{ProbeLease: request})
	return result.GetProbeLease(), err
}

// probeContenders returns the proxies among which the probes of a half-open round are divided. For directoryFillTime after it became
// primary, a registry includes every member, since proxies that call the service may not have polled it yet.
func (r *Registry) probeContenders(service string) []string {
	proxies := r.directory.ProxiesWithDemand(service)
	if r.config.Host.Now()-monotonic.Micros(r.primarySince.Load()) < directoryFillTime {
		proxies = append(proxies, r.directory.Members()...)
	}
	return proxies
}

// deniedProbe returns the response that denies a probe, without a write, if the current record does not allow the probe. Otherwise it
// returns nil.
func (r *Registry) deniedProbe(request *wire.ProbeLeaseRequest) (response *wire.ProbeLeaseResponse) {
	if !r.Member.Read(func(_ uint64, now monotonic.Micros) { response = r.machine.Breakers.DeniedProbe(request, now) }) {
		return nil
	}
	return response
}

// handleBreakerWrite replicates a write to a breaker record. It fills in the active proxies, since the record opens only once enough of
// them have reported a trip.
func (r *Registry) handleBreakerWrite(request *wire.BreakerWriteRequest) (*wire.BreakerWriteResponse, error) {
	request.Active = r.directory.ActiveProxies(request.Service)
	if request.Verb == breakerstore.VerbTrip && len(request.Active) < 2 && r.directory.LiveCount() > 1 {
		return r.deferTripReport(request), nil
	}
	result, err := r.propose(&wire.RegistryCommand{Breaker: request})
	return result.GetBreaker(), err
}

// deferTripReport delays the trip report of the only proxy that is known to call the service. Other proxies may have called it but not
// polled since. The report is proposed after they had time to poll; proposed at once, it would let a single proxy open the breaker. The
// response has the current record and Applied unset. The report is lost if this process stops before; the proxy reports its next trip.
func (r *Registry) deferTripReport(request *wire.BreakerWriteRequest) *wire.BreakerWriteResponse {
	r.config.Host.Go(func() {
		r.config.Host.Sleep(directoryFillTime)
		request.Active = r.directory.ActiveProxies(request.Service)
		_, _ = r.propose(&wire.RegistryCommand{Breaker: request})
	})
	response := &wire.BreakerWriteResponse{}
	for _, record := range r.Breakers() {
		if record.Service == request.Service {
			response.Record = record
		}
	}
	return response
}

// Breakers returns copies of the breaker records, sorted by service, or nil if this registry is not the serving primary.
func (r *Registry) Breakers() (records []*wire.BreakerRecord) {
	if !r.Member.Read(func(uint64, monotonic.Micros) { records = r.machine.Breakers.Records() }) {
		return nil
	}
	return records
}
