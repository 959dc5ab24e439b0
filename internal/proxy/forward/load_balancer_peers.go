package forward

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

const (
	// peerSummaryTTL is how long what a service's backends are like is told as it was taken.
	peerSummaryTTL = 200 * monotonic.Millisecond
	// healthReportTTL is how long a told standing counts.
	healthReportTTL = 10 * monotonic.Second
)

// standing is what a backend's gate last told of it.
type healthReport struct {
	faultRate, latencyRatio uint32
	ejected                 bool
	receivedAt              monotonic.Micros
}

// peers is what a service's backends are like, for the gates to judge their own by. Invariant: neither message changes once made.
type peerSummary struct {
	takenAt                monotonic.Micros
	forHealthy, forEjected *wire.PeerStatistics // as a backend that isn't ejected, and as one that is, should hear of the others
}

// stands takes a told standing. It tells whether what comes of a request there is that backend's own trouble, of which its gate sees
// to it that few requests have it: it's ejected, and no more of its service are than may be. Else it's the service's guard's business.
func (b *loadBalancer) observeHealth(directory *session.Directory, service, instance string, load *wire.Load) (backendOnly bool) {
	if load == nil || load.LatencyRatio == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.healthReports[instance]
	if report == nil {
		report = &healthReport{}
		now := b.host.Now()
		for other, old := range b.healthReports {
			if now-old.receivedAt >= monotonic.Minute {
				delete(b.healthReports, other)
			}
		}
		b.healthReports[instance] = report
	}
	changed := report.ejected != load.Ejected
	*report = healthReport{faultRate: load.FaultRate, latencyRatio: load.LatencyRatio, ejected: load.Ejected, receivedAt: b.host.Now()}
	if changed {
		delete(b.peerSummaries, service)
	}
	if !load.Ejected {
		return false
	}
	others := b.peerSummaryOf(directory, service).forEjected
	return outlier.MayEject(int(others.Known), int(others.Ejected))
}

// beside is what the other backends of a service are like.
func (b *loadBalancer) peersOf(directory *session.Directory, service, instance string) *wire.PeerStatistics {
	b.mu.Lock()
	defer b.mu.Unlock()
	summary := b.peerSummaryOf(directory, service)
	if report := b.healthReports[instance]; report != nil && report.ejected {
		return summary.forEjected
	}
	return summary.forHealthy
}

// others is what the backends of a service are like, taken anew now and then. The lock is held.
func (b *loadBalancer) peerSummaryOf(directory *session.Directory, service string) *peerSummary {
	now := b.host.Now()
	summary := b.peerSummaries[service]
	if summary == nil || now-summary.takenAt >= peerSummaryTTL {
		summary = b.summarizePeers(directory.Candidates[service], now)
		b.peerSummaries[service] = summary
	}
	return summary
}

// taken takes the middle ones of what is known. The lock is held.
func (b *loadBalancer) summarizePeers(candidates []session.Candidate, now monotonic.Micros) *peerSummary {
	var faultRates, latencyRatios []uint32
	ejected := uint32(0)
	for index := range candidates {
		report := b.healthReports[candidates[index].Instance]
		if report == nil || now-report.receivedAt >= healthReportTTL {
			continue
		}
		faultRates, latencyRatios = append(faultRates, report.faultRate), append(latencyRatios, report.latencyRatio)
		if report.ejected {
			ejected++
		}
	}
	others := uint32(max(0, len(candidates)-1))
	forHealthy := &wire.PeerStatistics{Known: others, Ejected: min(ejected, others), LatencyRatio: 1000}
	if len(faultRates) > 0 {
		slices.Sort(faultRates)
		slices.Sort(latencyRatios)
		forHealthy.FaultRate, forHealthy.LatencyRatio = faultRates[len(faultRates)/2], latencyRatios[len(latencyRatios)/2]
	}
	forEjected := &wire.PeerStatistics{Known: others, Ejected: max(1, ejected) - 1, FaultRate: forHealthy.FaultRate, LatencyRatio: forHealthy.LatencyRatio}
	return &peerSummary{takenAt: now, forHealthy: forHealthy, forEjected: forEjected}
}
