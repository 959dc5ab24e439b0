package loadbalancer

import (
	"maps"
	"math"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

const (
	// loadHalfLife is the shortest half-life of the weight of a backend's reported load against its average load. The service
	// time is used as the half-life if it is longer, because a queue drains no faster than its requests are served.
	loadHalfLife = 100 * monotonic.Millisecond
	// averageHalfLife is the half-life of the weight of a backend's own averages against those of its service. Because of the
	// decay, a backend that was slow or full is tried again.
	averageHalfLife = 5 * monotonic.Second
	// averageSmoothing is the number of reports over which the load of other callers is averaged.
	averageSmoothing = 5
	// defaultServiceMicros is used while no backend of the service has reported its service time. The backends' proxies also
	// assume it.
	defaultServiceMicros = float64(50 * monotonic.Millisecond)
	// warmingFactor is how many times slower a backend in slow start is assumed to be before it has reported its load.
	warmingFactor = 1.5
	// serviceTimeWeight is the weight of the service time relative to the wait for a slot. At full weight, a fast backend, even
	// one in another domain, would be filled before any other receives requests, and requests would queue there once it is full.
	serviceTimeWeight = 0.25
	// maxRoutesPerBackend is the largest number of routes whose service time is stored for one backend.
	maxRoutesPerBackend = 256
	// maxReportAge is the age at which a report is dropped: most backends that have not reported for so long no longer exist.
	maxReportAge = monotonic.Minute
)

// loadReport holds the last load that a backend's proxy reported, and averages over its reports.
//
// Invariants: otherRequests excludes this proxy's own requests, which are known exactly and added to an estimate.
// routeServiceMicros holds values above 0 for at most maxRoutesPerBackend routes.
type loadReport struct {
	slots                float64
	serviceMicros        float64            // mean service time over all routes; 0 while not measured
	routeServiceMicros   map[string]float64 // mean service time by route
	otherRequests        float64            // other callers' requests that run or wait at the backend
	averageOtherRequests float64
	receivedAt           monotonic.Micros
}

// loadReports holds a report for each backend, by instance. The Balancer's lock guards it.
type loadReports map[string]*loadReport

// observe records a report. ownInFlight is the number of this proxy's requests that the report includes.
func (r loadReports) observe(instance, route string, load *wire.Load, ownInFlight int, now monotonic.Micros) {
	otherRequests := math.Max(0, float64(load.Running+load.Waiting)-float64(ownInFlight))
	report := r[instance]
	if report == nil {
		report = &loadReport{averageOtherRequests: otherRequests, routeServiceMicros: map[string]float64{}}
		r.dropStale(now)
		r[instance] = report
	}
	report.averageOtherRequests += (otherRequests - report.averageOtherRequests) / averageSmoothing
	report.slots, report.serviceMicros = float64(load.Slots), float64(load.ServiceMicros)
	report.otherRequests, report.receivedAt = otherRequests, now
	if _, known := report.routeServiceMicros[route]; load.RouteMicros > 0 && (known || len(report.routeServiceMicros) < maxRoutesPerBackend) {
		report.routeServiceMicros[route] = float64(load.RouteMicros)
	}
}

func (r loadReports) dropStale(now monotonic.Micros) {
	maps.DeleteFunc(r, func(_ string, report *loadReport) bool { return now-report.receivedAt >= maxReportAge })
}

// AllReportSlots reports whether each candidate has reported its slots, the number of requests that it runs concurrently.
func AllReportSlots(candidates []session.Candidate) bool {
	for index := range candidates {
		if candidates[index].Slots == 0 {
			return false
		}
	}
	return true
}

// decay returns the weight, from 1 down to 0, of an observation of the given age. It halves with each half-life.
func decay(age, halfLife monotonic.Micros) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// serviceAverages holds averages over the backends of a service.
type serviceAverages struct {
	serviceMicros      float64 // mean service time over all routes
	routeServiceMicros float64 // mean service time of one route
	loadPerSlot        float64 // other callers' requests per slot
}

// weightedMean accumulates a weighted arithmetic mean.
type weightedMean struct{ sum, weight float64 }

func (m *weightedMean) add(value, weight float64) {
	m.sum += weight * value
	m.weight += weight
}

// valueOr returns the mean, or defaultValue if nothing was added.
func (m *weightedMean) valueOr(defaultValue float64) float64 {
	if m.weight > 0 {
		return m.sum / m.weight
	}
	return defaultValue
}

// averages returns the means of the reports of a service's backends, weighted by their age.
func (r loadReports) averages(candidates []session.Candidate, route string, now monotonic.Micros) serviceAverages {
	var serviceTime, routeServiceTime weightedMean
	var load, slots float64
	for index := range candidates {
		report := r[candidates[index].Instance]
		if report == nil {
			continue
		}
		weight := decay(now-report.receivedAt, averageHalfLife)
		load, slots = load+weight*report.averageOtherRequests, slots+weight*report.slots
		if report.serviceMicros > 0 {
			serviceTime.add(report.serviceMicros, weight)
		}
		if measured := report.routeServiceMicros[route]; measured > 0 {
			routeServiceTime.add(measured, weight)
		}
	}
	averages := serviceAverages{serviceMicros: serviceTime.valueOr(defaultServiceMicros)}
	averages.routeServiceMicros = routeServiceTime.valueOr(averages.serviceMicros)
	if slots > 0 {
		averages.loadPerSlot = load / slots
	}
	return averages
}

// expectedLoad is an estimate of a backend's current load and service times.
type expectedLoad struct {
	otherRequests      float64 // other callers' requests
	serviceMicros      float64 // mean service time over all routes
	routeServiceMicros float64 // mean service time of the request's route
}

// estimateLoad combines a backend's own report, whose weight decays with its age, with the averages of its service.
func (r loadReports) estimateLoad(candidate *session.Candidate, averages serviceAverages, route string, now monotonic.Micros) expectedLoad {
	expected := expectedLoad{
		otherRequests:      averages.loadPerSlot * float64(candidate.Slots),
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

// responseTime returns the expected response time, in microseconds, of a request at a backend with the given number of slots:
// its weighted service time plus the wait for a slot behind the requests that run or wait there. With fewer requests than slots
// no wait is expected, but the counts of other callers' requests are stale and imprecise, so the kink is smoothed (softplus).
func (l expectedLoad) responseTime(requests, slots float64) float64 {
	const linearFrom = 30 // above it softplus(x) equals x, and exp would overflow for large x
	excess := requests + 1 - slots
	perRequest := l.serviceMicros / slots
	return serviceTimeWeight*l.routeServiceMicros + perRequest*math.Log1p(math.Exp(min(excess, linearFrom))) + perRequest*max(excess-linearFrom, 0)
}
