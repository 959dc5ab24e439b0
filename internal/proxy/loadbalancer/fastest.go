package loadbalancer

import (
	"math"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
)

// equalTolerance is the share by which an estimate may exceed the best one and still count as equal. The estimates aren't more
// accurate than that, and if every caller took the lowest estimate, all would choose the same backend.
const equalTolerance = 0.1

// pickFastest draws one of the candidates with the shortest expected response times. The caller holds the lock.
func (b *Balancer) pickFastest(candidates []session.Candidate, route string, now, penalty monotonic.Micros) session.Candidate {
	averages := b.loads.averages(candidates, route, now)
	b.estimates = b.estimates[:0]
	best := math.Inf(1)
	for index := range candidates {
		candidate := &candidates[index]
		expected := b.loads.estimateLoad(candidate, averages, route, now)
		estimate := expected.responseTime(float64(b.inFlight[candidate.Instance])+math.Max(0, expected.otherRequests), float64(candidate.Slots))
		if !b.ignoreDomains && candidate.Domain != b.domain {
			estimate += float64(penalty)
		}
		best = min(best, estimate)
		b.estimates = append(b.estimates, estimate)
	}
	return candidates[b.drawBest(best)]
}

// drawBest returns the index of a random one of the estimates that count as equal to the best one, by reservoir sampling.
func (b *Balancer) drawBest(best float64) int {
	chosen, equal := 0, uint64(0)
	for index, estimate := range b.estimates {
		if estimate > best*(1+equalTolerance) {
			continue
		}
		equal++
		if b.host.Random()%equal == 0 {
			chosen = index
		}
	}
	return chosen
}
