package loadbalancer

import (
	"maps"
	"math"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

const (
	// loadHalfLife is the least time in which the reported load of other callers loses half its weight against the backend's
	// average load. Where work takes longer, the work time is used: a queue takes as long as the work in it.
	loadHalfLife = 100 * monotonic.Millisecond
	// averageHalfLife is the time in which a backend's own averages lose half their weight against those of its service, so
	// that a backend that was slow or full is tried again.
	averageHalfLife = 5 * monotonic.Second
	// averageSmoothing is the number of reports over which the load of other callers is averaged.
	averageSmoothing = 5
	// defaultServiceMicros is assumed while no backend of the service has reported its work time, as backends' proxies do.
	defaultServiceMicros = float64(50 * monotonic.Millisecond)
	// warmingFactor is how much slower an unmeasured backend in slow start is assumed to be.
	warmingFactor = 1.5
	// serviceTimeWeight is the weight of the work time beside the wait for a slot. At its full weight a quick backend, even one in
	// another domain, would be filled before any other gets work, and once slots are short requests would queue there.
	serviceTimeWeight = 0.25
	// maxRoutesPerBackend bounds the routes whose work time is stored for one backend.
	maxRoutesPerBackend = 256
	// maxReportAge is the age from which a report is dropped: most such backends no longer exist.
	maxReportAge = monotonic.Minute
)

// loadReport is the last load that a backend's proxy reported, and averages over the reports before.
//
// Invariants: others excludes this proxy's own requests, which are known exactly and added to an estimate; routeWorkMicros
// holds values above 0 for at most maxRoutesPerBackend routes.
type loadReport struct {
	slots           float64
	serviceMicros      float64            // 0 while not measured
	routeServiceMicros map[string]float64 // work time of the requests of one route
	otherRequests          float64            // requests of other callers that run or wait there
	averageOtherRequests   float64
	receivedAt      monotonic.Micros
}

// loadReports holds a report for each backend, by instance. The Balancer's lock guards it.
type loadReports map[string]*loadReport

// observe records a report. ownInFlight is the number of this proxy's requests that it includes.
func (r loadReports) observe(instance, route string, load *wire.Load, ownInFlight int, now monotonic.Micros) {
	others := math.Max(0, float64(load.Running+load.Waiting)-float64(ownInFlight))
	report := r[instance]
	if report == nil {
		report = &loadReport{averageOtherRequests: others, routeServiceMicros: map[string]float64{}}
		r.dropStale(now)
		r[instance] = report
	}
	report.averageOtherRequests += (others - report.averageOtherRequests) / averageSmoothing
	report.slots, report.serviceMicros = float64(load.Slots), float64(load.ServiceMicros)
	report.otherRequests, report.receivedAt = others, now
	if _, known := report.routeServiceMicros[route]; load.RouteMicros > 0 && (known || len(report.routeServiceMicros) < maxRoutesPerBackend) {
		report.routeServiceMicros[route] = float64(load.RouteMicros)
	}
}

func (r loadReports) dropStale(now monotonic.Micros) {
	maps.DeleteFunc(r, func(_ string, report *loadReport) bool { return now-report.receivedAt >= maxReportAge })
}

// AllReportSlots reports whether each candidate has reported how many requests it runs at once.
func AllReportSlots(candidates []session.Candidate) bool {
	for index := range candidates {
		if candidates[index].Slots == 0 {
			return false
		}
	}
	return true
}

// decay is the weight, from 1 down to 0, of an observation of an age. It halves with each half-life.
func decay(age, halfLife monotonic.Micros) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// serviceAverages are averages over the backends of a service.
type serviceAverages struct {
	serviceMicros      float64
	routeServiceMicros float64 // of one route's requests
	loadPerSlot     float64 // requests of other callers
}

// weightedMean accumulates a quotient of weighted sums.
type weightedMean struct{ sum, weight float64 }

func (m *weightedMean) add(value, weight float64) {
	m.sum += weight * value
	m.weight += weight
}

// valueOr is the mean, or a default if nothing was added.
func (m *weightedMean) valueOr(otherwise float64) float64 {
	if m.weight > 0 {
		return m.sum / m.weight
	}
	return otherwise
}

// averages weighs the reports of a service's backends by their age.
func (r loadReports) averages(candidates []session.Candidate, route string, now monotonic.Micros) serviceAverages {
	var work, routeWork weightedMean
	var load, slots float64
	for index := range candidates {
		report := r[candidates[index].Instance]
		if report == nil {
			continue
		}
		weight := decay(now-report.receivedAt, averageHalfLife)
		load, slots = load+weight*report.averageOtherRequests, slots+weight*report.slots
		if report.serviceMicros > 0 {
			work.add(report.serviceMicros, weight)
		}
		if known := report.routeServiceMicros[route]; known > 0 {
			routeWork.add(known, weight)
		}
	}
	averages := serviceAverages{serviceMicros: work.valueOr(defaultServiceMicros)}
	averages.routeServiceMicros = routeWork.valueOr(averages.serviceMicros)
	if slots > 0 {
		averages.loadPerSlot = load / slots
	}
	return averages
}

// expectedLoad is the load that a backend is expected to have.
type expectedLoad struct {
	otherRequests          float64 // requests of other callers
	serviceMicros      float64 // work time of a request of any route
	routeServiceMicros float64 // work time of a request of the route in question
}

// estimateLoad combines a backend's own report, the weight of which decays with its age, with the averages of its service.
func (r loadReports) estimateLoad(candidate *session.Candidate, averages serviceAverages, route string, now monotonic.Micros) expectedLoad {
	expected := expectedLoad{
		otherRequests:          averages.loadPerSlot * float64(candidate.Slots),
		serviceMicros:      averages.serviceMicros,
		routeServiceMicros: averages.routeServiceMicros,
	}
	report := r[candidate.Instance]
	if report == nil {
		if candidate.Warming {
			expected.serviceMicros *= warmingFactor
			expected.routeServiceMicros *= warmingFactor
		}
		return expected
	}
	age := now - report.receivedAt
	weight := decay(age, averageHalfLife)
	expected.otherRequests += (report.averageOtherRequests - expected.otherRequests) * weight
	if report.serviceMicros > 0 {
		expected.serviceMicros += (report.serviceMicros - expected.serviceMicros) * weight
	}
	if report.routeServiceMicros[route] > 0 {
		expected.routeServiceMicros += (report.routeServiceMicros[route] - expected.routeServiceMicros) * weight
	} else if averages.routeServiceMicros == averages.serviceMicros {
		expected.routeServiceMicros = expected.serviceMicros // no backend has reported the route
	}
	expected.otherRequests += (report.otherRequests - report.averageOtherRequests) * decay(age, max(loadHalfLife, monotonic.Micros(expected.serviceMicros)))
	return expected
}

// responseTime is the expected response time in microseconds at a backend with that many slots: its work time, and the wait
// for a slot behind the requests that run or wait there. With fewer requests than slots no wait is expected, but the
// reports of other callers' requests are old and rough, so the bend is rounded (softplus).
func (l expectedLoad) responseTime(requests, slots float64) float64 {
	const linearFrom = 30 // from here on the softplus is its argument, and exp would overflow
	excess := requests + 1 - slots
	perRequest := l.serviceMicros / slots
	return serviceTimeWeight*l.routeServiceMicros + perRequest*math.Log1p(math.Exp(min(excess, linearFrom))) + perRequest*max(excess-linearFrom, 0)
}
