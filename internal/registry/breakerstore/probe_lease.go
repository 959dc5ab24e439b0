package breakerstore

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// unusedShareDelay is the age of a round after which a proxy may lease probes that other proxies left unused in their shares.
const unusedShareDelay = monotonic.Second

// LeaseProbe leases one probe from the budget of a half-open record. It is idempotent: a repeated id is granted again and does not
// reduce the budget. The response has no record if the service has none.
func (t *Table) LeaseProbe(request *wire.ProbeLeaseRequest, now monotonic.Micros) *wire.ProbeLeaseResponse {
	t.revision++
	record := t.records[request.Service]
	if record == nil {
		return &wire.ProbeLeaseResponse{}
	}
	granted := hasProbeLease(record, request.Id)
	if !granted && (canLeaseProbe(record, request, now) || t.grantsBeyondShare(record)) {
		record.Budget--
		getOrCreateShare(record, request.Proxy).Granted++
		record.ProbeLeases = append(record.ProbeLeases, &wire.ProbeLease{
			Id: request.Id, Proxy: request.Proxy, Incarnation: request.Incarnation, Until: int64(now) + record.Settings.ProbeLease,
		})
		extendExpiry(record, now)
		granted = true
	}
	return &wire.ProbeLeaseResponse{Granted: granted, Record: proto.CloneOf(record)}
}

// DeniedProbe returns the response to a request that LeaseProbe would deny, so that the primary can answer it without a
// replicated write. It returns nil if LeaseProbe might grant the request.
func (t *Table) DeniedProbe(request *wire.ProbeLeaseRequest, now monotonic.Micros) *wire.ProbeLeaseResponse {
	record := t.records[request.Service]
	if record == nil {
		return &wire.ProbeLeaseResponse{}
	}
	if t.InjectedFault == FaultNoProbeShares || hasProbeLease(record, request.Id) || canLeaseProbe(record, request, now) {
		return nil
	}
	return &wire.ProbeLeaseResponse{Record: proto.CloneOf(record)}
}

func hasProbeLease(record *wire.BreakerRecord, id string) bool {
	return slices.ContainsFunc(record.ProbeLeases, func(probe *wire.ProbeLease) bool { return probe.Id == id })
}

// canLeaseProbe reports whether a proxy may lease another probe. If several proxies contend for the round, each has an equal
// share of it, with these exceptions:
//   - After unusedShareDelay, a proxy that returned no probe may lease probes that others left unused in their shares.
//   - After two lease durations any proxy may lease, so that the round ends even if the other proxies are gone.
//   - A suspect, which is a proxy whose probes failed in the previous round, waits one lease duration if a proxy that is not a suspect
//     contends. If the service is really faulty, that proxy's probes fail as well.
func canLeaseProbe(record *wire.BreakerRecord, request *wire.ProbeLeaseRequest, now monotonic.Micros) bool {
	if record.State != HalfOpen || record.Budget == 0 {
		return false
	}
	contenders := proxySet(request.Proxy, request.Active)
	count := uint32(len(contenders))
	age := int64(now) - record.EnteredAt
	if count == 1 || age >= 2*record.Settings.ProbeLease {
		return true
	}
	for _, proxy := range record.Suspects {
		delete(contenders, proxy)
	}
	if slices.Contains(record.Suspects, request.Proxy) && len(contenders) > 0 && age < record.Settings.ProbeLease {
		return false
	}
	granted, returned := usedShare(record, request.Proxy)
	quota := (permittedProbes(record) + count - 1) / count
	return granted < quota || returned == 0 && age >= int64(unusedShareDelay)
}

// usedShare returns how many probes of the current round a proxy was granted and how many it has returned.
func usedShare(record *wire.BreakerRecord, proxy string) (granted, returned uint32) {
	for _, share := range record.Shares {
		if share.Proxy == proxy {
			return share.Granted, share.Returned
		}
	}
	return 0, 0
}

// getOrCreateShare returns a proxy's share of the current round, and creates it if there is none.
func getOrCreateShare(record *wire.BreakerRecord, proxy string) *wire.ProbeShare {
	for _, share := range record.Shares {
		if share.Proxy == proxy {
			return share
		}
	}
	created := &wire.ProbeShare{Proxy: proxy}
	record.Shares = append(record.Shares, created)
	return created
}

// refundProbe returns a proxy's probe to the budget.
func refundProbe(record *wire.BreakerRecord, proxy string) {
	record.Budget++
	getOrCreateShare(record, proxy).Returned++
}
