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
	// statisticsTTL is how long the statistics of a service's backends are cached.
	statisticsTTL = 200 * monotonic.Millisecond
	// healthTTL is how long a health report is included in the statistics.
	healthTTL = 10 * monotonic.Second
	// normalLatencyRatio is the median latency ratio, in thousandths, of a service without recent reports.
	normalLatencyRatio = 1000
)

// healthReport is the last health report of a backend's proxy on its backend. Both rates are in thousandths.
type healthReport struct {
	faultRate, latencyRatio uint32
	ejected                 bool
	receivedAt              monotonic.Micros
}

// serviceStatistics holds health statistics of a service's backends. Invariant: the messages aren't modified once created.
type serviceStatistics struct {
	computedAt monotonic.Micros
	// forHealthy is sent to a backend that isn't ejected and forEjected to one that is. Both describe the other backends.
	forHealthy, forEjected *wire.PeerStatistics
}

// peerHealth stores the health reports of all backends and statistics of them. The Balancer's lock guards it.
type peerHealth struct {
	reports    map[string]*healthReport      // by instance
	statistics map[string]*serviceStatistics // by service
}

func newPeerHealth() peerHealth {
	return peerHealth{reports: map[string]*healthReport{}, statistics: map[string]*serviceStatistics{}}
}

// observe records a report. It returns true if the backend is ejected and not too many others are (see ObserveHealth).
func (p peerHealth) observe(
	candidates []session.Candidate, service, instance string, load *wire.Load, now monotonic.Micros,
) (backendOnly bool) {
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

// statisticsFor returns the statistics of a service's other backends that are sent to the given one.
func (p peerHealth) statisticsFor(candidates []session.Candidate, service, instance string, now monotonic.Micros) *wire.PeerStatistics {
	statistics := p.cachedStatistics(candidates, service, now)
	if report := p.reports[instance]; report != nil && report.ejected {
		return statistics.forEjected
	}
	return statistics.forHealthy
}

// cachedStatistics returns a service's statistics. It recomputes them after statisticsTTL.
func (p peerHealth) cachedStatistics(candidates []session.Candidate, service string, now monotonic.Micros) *serviceStatistics {
	statistics := p.statistics[service]
	if statistics == nil || now-statistics.computedAt >= statisticsTTL {
		statistics = p.computeStatistics(candidates, now)
		p.statistics[service] = statistics
	}
	return statistics
}

// computeStatistics computes the medians of the reports of a service's backends.
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
	// An ejected backend doesn't count itself among its ejected peers. ejected is 0 if the backend's own report has expired.
	ejectedPeers := max(1, ejected) - 1
	return &serviceStatistics{
		computedAt: now,
		forHealthy: &wire.PeerStatistics{Known: others, Ejected: min(ejected, others), FaultRate: faultRate, LatencyRatio: latencyRatio},
		forEjected: &wire.PeerStatistics{Known: others, Ejected: ejectedPeers, FaultRate: faultRate, LatencyRatio: latencyRatio},
	}
}

// median sorts the values and returns the middle one, or defaultValue if there is none.
func median(values []uint32, defaultValue uint32) uint32 {
	if len(values) == 0 {
		return defaultValue
	}
	slices.Sort(values)
	return values[len(values)/2]
}
