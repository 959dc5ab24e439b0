package registry

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// directoryFillTime is the time within which every proxy polls a new primary, so that its directory knows them all: one and a half
// poll intervals of a proxy.
const directoryFillTime = 1500 * monotonic.Millisecond

// handleProbeLease leases a probe of a half-open round to a proxy. It fills in the contending proxies, by which the state machine
// divides the round.
func (r *Registry) handleProbeLease(request *wire.ProbeLeaseRequest) (*wire.ProbeLeaseResponse, error) {
	request.Active = r.probeContenders(request.Service)
	if response := r.deniedProbe(request); response != nil {
		return response, nil
	}
	result, err := r.propose(&wire.RegistryCommand{ProbeLease: request})
	return result.GetProbeLease(), err
}

// probeContenders returns the proxies that share a half-open round's probes. A registry that has only just become primary
// counts every member, since the proxies that call the service may not have polled it yet.
func (r *Registry) probeContenders(service string) []string {
	proxies := r.directory.ProxiesWithDemand(service)
	if r.config.Host.Now()-monotonic.Micros(r.primarySince.Load()) < directoryFillTime {
		proxies = append(proxies, r.directory.Members()...)
	}
	return proxies
}

// deniedProbe denies a probe without a write if the present record does not allow it, and returns nil otherwise.
func (r *Registry) deniedProbe(request *wire.ProbeLeaseRequest) (response *wire.ProbeLeaseResponse) {
	if !r.Member.Read(func(_ uint64, now monotonic.Micros) { response = r.machine.Breakers.DeniedProbe(request, now) }) {
		return nil
	}
	return response
}

// handleBreakerWrite replicates a write to a breaker record. It fills in the active proxies, of which enough must report a trip
// before the record opens.
func (r *Registry) handleBreakerWrite(request *wire.BreakerWriteRequest) (*wire.BreakerWriteResponse, error) {
	request.Active = r.directory.ActiveProxies(request.Service)
	if request.Verb == breakerstore.VerbTrip && len(request.Active) < 2 && r.directory.LiveCount() > 1 {
		return r.deferTripReport(request), nil
	}
	result, err := r.propose(&wire.RegistryCommand{Breaker: request})
	return result.GetBreaker(), err
}

// deferTripReport delays the report of a proxy that is the only one known to call the service. Others may call it and not have
// polled since, so the report is proposed once they have; otherwise a single proxy would open the breaker. The response has the
// present record, and its Applied is false. If this process stops meanwhile, the report is lost; the proxy reports its next trip.
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
