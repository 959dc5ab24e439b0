package loadbalancer

import (
	"maps"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

const (
	// statisticsTTL is how long the statistics of a service's backends are used before they are computed again.
	statisticsTTL = 200 * monotonic.Millisecond
	// healthTTL is how long a health report counts in the statistics.
	healthTTL = 10 * monotonic.Second
	// normalLatencyRatio is the latency ratio of backends without a recent report, in thousandths.
	normalLatencyRatio = 1000
)

// healthReport is what a backend's proxy last reported of its backend's health. Both ratios are in thousandths.
type healthReport struct {
	faultRate, latencyRatio uint32
	ejected                 bool
	receivedAt              monotonic.Micros
}

// serviceStatistics are statistics of the health of a service's backends. Invariant: the messages aren't changed once made.
type serviceStatistics struct {
	computedAt monotonic.Micros
	// forHealthy is sent to a backend that isn't ejected, and forEjected to one that is. Each describes the other backends.
	forHealthy, forEjected *wire.PeerStatistics
}

// peerHealth stores the health reports of all backends, and statistics of them by service. The Balancer's lock guards it.
type peerHealth struct {
	reports    map[string]*healthReport // by instance
	statistics map[string]*serviceStatistics
}

func newPeerHealth() peerHealth {
	return peerHealth{reports: map[string]*healthReport{}, statistics: map[string]*serviceStatistics{}}
}

// observe records a report and reports whether the backend is ejected and may be: not too many others are.
func (p peerHealth) observe(
	candidates []session.Candidate, service, instance string, load *wire.Load, now monotonic.Micros,
) (ejected bool) {
	report := p.reports[instance]
	if report == nil {
		report = &healthReport{}
		p.dropStale(now)
		p.reports[instance] = report
	}
	if report.ejected != load.Ejected {
		delete(p.statistics, service)
	}
	*report = healthReport{faultRate: load.FaultRate, latencyRatio: load.LatencyRatio, ejected: load.Ejected, receivedAt: now}
	if !load.Ejected {
		return false
	}
	others := p.cachedStatistics(candidates, service, now).forEjected
	return outlier.MayEject(int(others.Known), int(others.Ejected))
}

func (p peerHealth) dropStale(now monotonic.Micros) {
	maps.DeleteFunc(p.reports, func(_ string, report *healthReport) bool { return now-report.receivedAt >= maxReportAge })
}

// statisticsFor returns the statistics of a service's other backends that are sent to one of them.
func (p peerHealth) statisticsFor(candidates []session.Candidate, service, instance string, now monotonic.Micros) *wire.PeerStatistics {
	statistics := p.cachedStatistics(candidates, service, now)
	if report := p.reports[instance]; report != nil && report.ejected {
		return statistics.forEjected
	}
	return statistics.forHealthy
}

// cachedStatistics returns a service's statistics, which are computed again after statisticsTTL.
func (p peerHealth) cachedStatistics(candidates []session.Candidate, service string, now monotonic.Micros) *serviceStatistics {
	statistics := p.statistics[service]
	if statistics == nil || now-statistics.computedAt >= statisticsTTL {
		statistics = p.computeStatistics(candidates, now)
		p.statistics[service] = statistics
	}
	return statistics
}

// computeStatistics takes the medians of the reports of a service's backends.
func (p peerHealth) computeStatistics(candidates []session.Candidate, now monotonic.Micros) *serviceStatistics {
	var faultRates, latencyRatios []uint32
	ejected := uint32(0)
	for index := range candidates {
		report := p.reports[candidates[index].Instance]
		if report == nil || now-report.receivedAt >= healthTTL {
			continue
		}
		faultRates, latencyRatios = append(faultRates, report.faultRate), append(latencyRatios, report.latencyRatio)
		if report.ejected {
			ejected++
		}
	}
	others := uint32(max(0, len(candidates)-1))
	faultRate, latencyRatio := median(faultRates, 0), median(latencyRatios, normalLatencyRatio)
	// An ejected backend isn't one of its ejected peers. ejected is 0 if its own report has expired.
	ejectedPeers := max(1, ejected) - 1
	return &serviceStatistics{
		computedAt: now,
		forHealthy: &wire.PeerStatistics{Known: others, Ejected: min(ejected, others), FaultRate: faultRate, LatencyRatio: latencyRatio},
		forEjected: &wire.PeerStatistics{Known: others, Ejected: ejectedPeers, FaultRate: faultRate, LatencyRatio: latencyRatio},
	}
}

// median sorts the values and returns the middle one, or a default if there is none.
func median(values []uint32, otherwise uint32) uint32 {
	if len(values) == 0 {
		return otherwise
	}
	slices.Sort(values)
	return values[len(values)/2]
}
