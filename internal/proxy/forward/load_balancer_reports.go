package forward

import (
	"maps"
	"math"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

const (
	// loadHalfLife is the least time in which what was told of others' load loses half its weight against the backend's usual load;
	// where work takes longer that is it, for a queue lasts as long as the work in it.
	loadHalfLife = 100 * monotonic.Millisecond
	// averageHalfLife is that in which the usual load and the work time lose half their weight against those of its siblings, so that one
	// that was slow, or full, is tried again.
	averageHalfLife = 5 * monotonic.Second
	// averageSmoothing is the number of readings over which the usual load is taken.
	averageSmoothing = 5
	// defaultWorkMicros is taken for the work time while none of the service is known, as the gates do.
	defaultWorkMicros = float64(50 * monotonic.Millisecond)
	// warmingFactor is what an unmeasured backend that is warming up counts as slower.
	warmingFactor = 1.5
	// workWeight is what the work time counts for beside the wait. By its whole, a quick backend is filled before any other gets
	// work, from beyond the zone too, and what is short of slots next is the queue there.
	workWeight = 0.25
	// maxRoutesPerBackend bounds what is kept of a backend by route.
	maxRoutesPerBackend = 256
	// level is the part by which two expected times may differ and count as the same: what they are made of is no
	// better known, and callers that all took the least one would all go to the same backend.
	equalScoreTolerance = 0.1
)

// reading is the last load that a backend's gate told.
// Invariants: others counts what other callers had there, so that the own requests, known exactly, can be added; routes holds
// only works above zero, of maxRoutesPerBackend routes at most.
type loadReport struct {
	slots           float64
	workMicros      float64            // microseconds; zero while not measured
	routeWorkMicros map[string]float64 // the work of one route's requests
	others          float64
	averageOthers   float64
	receivedAt      monotonic.Micros
}

// heard takes a told load. The pass whose answer told it is still counted as in flight here, and no longer there.
func (b *loadBalancer) observeLoad(instance, route string, load *wire.Load) {
	if load == nil || load.Slots == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	report := b.loadReports[instance]
	others := math.Max(0, float64(load.Running+load.Waiting)-float64(b.inFlight[instance]-1))
	if report == nil {
		report = &loadReport{averageOthers: others, routeWorkMicros: map[string]float64{}}
		b.dropStaleReports()
		b.loadReports[instance] = report
	}
	report.averageOthers += (others - report.averageOthers) / averageSmoothing
	report.slots, report.workMicros, report.others, report.receivedAt = float64(load.Slots), float64(load.ServiceMicros), others, b.host.Now()
	if _, known := report.routeWorkMicros[route]; load.RouteMicros > 0 && (known || len(report.routeWorkMicros) < maxRoutesPerBackend) {
		report.routeWorkMicros[route] = float64(load.RouteMicros)
	}
}

// forget leaves out readings of backends that were not heard of for long: most of them are gone.
func (b *loadBalancer) dropStaleReports() {
	now := b.host.Now()
	maps.DeleteFunc(b.loadReports, func(_ string, report *loadReport) bool { return now-report.receivedAt >= monotonic.Minute })
}

// counted tells whether each of the candidates has told its slots.
func allReportSlots(candidates []session.Candidate) bool {
	for index := range candidates {
		if candidates[index].Slots == 0 {
			return false
		}
	}
	return true
}

func decay(age, halfLife monotonic.Micros) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// siblings is what a service's backends are like, those heard of lately above all.
func (b *loadBalancer) averageReports(eligible []session.Candidate, route string, now monotonic.Micros) serviceAverages {
	var works, measured, loads, slots, routeWorks, routeMeasured float64
	for index := range eligible {
		report := b.loadReports[eligible[index].Instance]
		if report == nil {
			continue
		}
		weight := decay(now-report.receivedAt, averageHalfLife)
		loads, slots = loads+weight*report.averageOthers, slots+weight*report.slots
		if report.workMicros > 0 {
			works, measured = works+weight*report.workMicros, measured+weight
		}
		if routeWork := report.routeWorkMicros[route]; routeWork > 0 {
			routeWorks, routeMeasured = routeWorks+weight*routeWork, routeMeasured+weight
		}
	}
	mean := serviceAverages{workMicros: defaultWorkMicros}
	if measured > 0 {
		mean.workMicros = works / measured
	}
	mean.routeWorkMicros = mean.workMicros
	if routeMeasured > 0 {
		mean.routeWorkMicros = routeWorks / routeMeasured
	}
	if slots > 0 {
		mean.loadPerSlot = loads / slots
	}
	return mean
}

// soonest is one of the candidates that are expected to answer first.
func (b *loadBalancer) pickFastest(eligible []session.Candidate, route string, now, penalty monotonic.Micros) session.Candidate {
	averages := b.averageReports(eligible, route, now)
	b.scoreBuffer = b.scoreBuffer[:0]
	best := math.Inf(1)
	for index := range eligible {
		score := b.estimateResponseTime(&eligible[index], averages, route, now, penalty)
		best = min(best, score)
		b.scoreBuffer = append(b.scoreBuffer, score)
	}
	chosen, equal := 0, uint64(0)
	for index, score := range b.scoreBuffer {
		if score > best*(1+equalScoreTolerance) {
			continue
		}
		equal++
		if b.host.Random()%equal == 0 {
			chosen = index
		}
	}
	return eligible[chosen]
}

// sibling is the mean of a service's backends; load is by slot, own the work of the route's requests alone.
type serviceAverages struct{ workMicros, routeWorkMicros, loadPerSlot float64 }

// expected is the time in microseconds after which a backend may be expected to answer.
func (b *loadBalancer) estimateResponseTime(candidate *session.Candidate, averages serviceAverages, route string, now, penalty monotonic.Micros) float64 {
	slots, work, routeWork := float64(candidate.Slots), averages.workMicros, averages.routeWorkMicros
	others := averages.loadPerSlot * slots
	if report := b.loadReports[candidate.Instance]; report != nil {
		weight := decay(now-report.receivedAt, averageHalfLife)
		others += (report.averageOthers - others) * weight
		if report.workMicros > 0 {
			work += (report.workMicros - work) * weight
		}
		if report.routeWorkMicros[route] > 0 {
			routeWork += (report.routeWorkMicros[route] - routeWork) * weight
		} else if averages.routeWorkMicros == averages.workMicros {
			routeWork = work // nothing is known of the route anywhere
		}
		others += (report.others - report.averageOthers) * decay(now-report.receivedAt, max(loadHalfLife, monotonic.Micros(work)))
	} else if candidate.Warming {
		work, routeWork = work*warmingFactor, routeWork*warmingFactor
	}
	estimate := responseTimeScore(float64(b.inFlight[candidate.Instance])+math.Max(0, others), slots, work, routeWork)
	if !b.ignoreDomains && candidate.Domain != b.domain {
		estimate += float64(penalty)
	}
	return estimate
}

// score is the own work time, and the wait for a slot: with fewer there than slots none is to be expected, but what is known of
// others' requests is old and rough, so the bend is rounded. work is that of all who wait there.
func responseTimeScore(requests, slots, work, routeWork float64) float64 {
	return workWeight*routeWork + work/slots*math.Log1p(math.Exp(min(requests+1-slots, 30))) + work/slots*max(requests+1-slots-30, 0)
}
