package forward

import (
	"maps"
	"math"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

const (
	// loadHalves is the least time in which what was told of others' load loses half its weight against the backend's usual load;
	// where work takes longer that is it, for a queue lasts as long as the work in it.
	loadHalves = 100 * monotonic.Millisecond
	// usualHalves is that in which the usual load and the work time lose half their weight against those of its siblings, so that one
	// that was slow, or full, is tried again.
	usualHalves = 5 * monotonic.Second
	// usualMemory is the number of readings over which the usual load is taken.
	usualMemory = 5
	// firstWork is taken for the work time while none of the service is known, as the gates do.
	firstWork = float64(50 * monotonic.Millisecond)
	// warmingFactor is what an unmeasured backend that is warming up counts as slower.
	warmingFactor = 1.5
	// workWeight is what the work time counts for beside the wait. By its whole, a quick backend is filled before any other gets
	// work, from beyond the zone too, and what is short of slots next is the queue there.
	workWeight = 0.25
	// mostRoutes bounds what is kept of a backend by route.
	mostRoutes = 256
	// level is the part by which two expected times may differ and count as the same: what they are made of is no
	// better known, and callers that all took the least one would all go to the same backend.
	level = 0.1
)

// reading is the last load that a backend's gate told.
// Invariants: others counts what other callers had there, so that the own requests, known exactly, can be added; routes holds
// only works above zero, of mostRoutes routes at most.
type reading struct {
	slots  float64
	work   float64            // microseconds; zero while not measured
	routes map[string]float64 // the work of one route's requests
	others float64
	usual  float64
	at     monotonic.Micros
}

// heard takes a told load. The pass whose answer told it is still counted as in flight here, and no longer there.
func (chooser *chooser) heard(instance, route string, load *wire.Load) {
	if load == nil || load.Slots == 0 {
		return
	}
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	present := chooser.readings[instance]
	others := math.Max(0, float64(load.Running+load.Waiting)-float64(chooser.inFlight[instance]-1))
	if present == nil {
		present = &reading{usual: others, routes: map[string]float64{}}
		chooser.forget()
		chooser.readings[instance] = present
	}
	present.usual += (others - present.usual) / usualMemory
	present.slots, present.work, present.others, present.at = float64(load.Slots), float64(load.ServiceMicros), others, chooser.place.Now()
	if _, known := present.routes[route]; load.RouteMicros > 0 && (known || len(present.routes) < mostRoutes) {
		present.routes[route] = float64(load.RouteMicros)
	}
}

// forget leaves out readings of backends that were not heard of for long: most of them are gone.
func (chooser *chooser) forget() {
	now := chooser.place.Now()
	maps.DeleteFunc(chooser.readings, func(_ string, known *reading) bool { return now-known.at >= monotonic.Minute })
}

// counted tells whether each of the candidates has told its slots.
func counted(candidates []session.Candidate) bool {
	for index := range candidates {
		if candidates[index].Slots == 0 {
			return false
		}
	}
	return true
}

func halved(age, half monotonic.Micros) float64 { return math.Exp2(-float64(age) / float64(half)) }

// siblings is what a service's backends are like, those heard of lately above all.
func (chooser *chooser) siblings(fit []session.Candidate, route string, now monotonic.Micros) sibling {
	var works, measured, loads, slots, own, ownMeasured float64
	for index := range fit {
		known := chooser.readings[fit[index].Instance]
		if known == nil {
			continue
		}
		weight := halved(now-known.at, usualHalves)
		loads, slots = loads+weight*known.usual, slots+weight*known.slots
		if known.work > 0 {
			works, measured = works+weight*known.work, measured+weight
		}
		if work := known.routes[route]; work > 0 {
			own, ownMeasured = own+weight*work, ownMeasured+weight
		}
	}
	mean := sibling{work: firstWork}
	if measured > 0 {
		mean.work = works / measured
	}
	mean.own = mean.work
	if ownMeasured > 0 {
		mean.own = own / ownMeasured
	}
	if slots > 0 {
		mean.load = loads / slots
	}
	return mean
}

// soonest is one of the candidates that are expected to answer first.
func (chooser *chooser) soonest(fit []session.Candidate, route string, now, distance monotonic.Micros) session.Candidate {
	siblings := chooser.siblings(fit, route, now)
	chooser.scores = chooser.scores[:0]
	best := math.Inf(1)
	for index := range fit {
		score := chooser.expected(&fit[index], siblings, route, now, distance)
		best = min(best, score)
		chooser.scores = append(chooser.scores, score)
	}
	chosen, alike := 0, uint64(0)
	for index, score := range chooser.scores {
		if score > best*(1+level) {
			continue
		}
		alike++
		if chooser.place.Random()%alike == 0 {
			chosen = index
		}
	}
	return fit[chosen]
}

// sibling is the mean of a service's backends; load is by slot, own the work of the route's requests alone.
type sibling struct{ work, own, load float64 }

// expected is the time in microseconds after which a backend may be expected to answer.
func (chooser *chooser) expected(candidate *session.Candidate, siblings sibling, route string, now, distance monotonic.Micros) float64 {
	slots, work, own := float64(candidate.Slots), siblings.work, siblings.own
	others := siblings.load * slots
	if known := chooser.readings[candidate.Instance]; known != nil {
		weight := halved(now-known.at, usualHalves)
		others += (known.usual - others) * weight
		if known.work > 0 {
			work += (known.work - work) * weight
		}
		if known.routes[route] > 0 {
			own += (known.routes[route] - own) * weight
		} else if siblings.own == siblings.work {
			own = work // nothing is known of the route anywhere
		}
		others += (known.others - known.usual) * halved(now-known.at, max(loadHalves, monotonic.Micros(work)))
	} else if candidate.Warming {
		work, own = work*warmingFactor, own*warmingFactor
	}
	time := score(float64(chooser.inFlight[candidate.Instance])+math.Max(0, others), slots, work, own)
	if !chooser.blind && candidate.Domain != chooser.domain {
		time += float64(distance)
	}
	return time
}

// score is the own work time, and the wait for a slot: with fewer there than slots none is to be expected, but what is known of
// others' requests is old and rough, so the bend is rounded. work is that of all who wait there.
func score(present, slots, work, own float64) float64 {
	return workWeight*own + work/slots*math.Log1p(math.Exp(min(present+1-slots, 30))) + work/slots*max(present+1-slots-30, 0)
}
