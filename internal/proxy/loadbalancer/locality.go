package loadbalancer

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
)

const (
	// penaltyPerKilobyte is what each kilobyte of a route's usual request and response adds to the cross-domain penalty.
	penaltyPerKilobyte = 5 * monotonic.Millisecond
	bytesPerKilobyte   = 1024
	// minPenaltyShare is the least cross-domain penalty as a share of the route's latency target.
	minPenaltyShare = 0.1
	// localOnlyPenalty is the penalty from which a route stays in the caller's own domain while a backend is available there.
	localOnlyPenalty = 100 * monotonic.Millisecond
	// sizeSmoothing is the number of responses over which a route's size is averaged.
	sizeSmoothing = 16
	// bulkBytes is the usual size from which a route's messages go on a connection of their own.
	bulkBytes = 16 << 10
)

// locality estimates the cost of sending a route's requests to another failure domain. The Balancer's lock guards it.
type locality struct {
	basePenalty monotonic.Micros
	meanBytes       map[string]float64 // mean bytes of a route's requests with their responses
}

func newLocality(basePenalty monotonic.Micros) locality {
	return locality{basePenalty: basePenalty, meanBytes: map[string]float64{}}
}

func (l locality) observeSize(route string, bytes int) {
	mean, known := l.meanBytes[route]
	if !known {
		mean = float64(bytes)
	}
	l.meanBytes[route] = mean + (float64(bytes)-mean)/sizeSmoothing
}

func (l locality) isBulk(route string) bool { return l.meanBytes[route] >= bulkBytes }

// penalty is the time in microseconds that sending a request of a route to another domain counts for.
func (l locality) penalty(route string, latencyTarget monotonic.Micros) monotonic.Micros {
	least := max(l.basePenalty, monotonic.Micros(minPenaltyShare*float64(latencyTarget)))
	return least + monotonic.Micros(l.meanBytes[route]/bytesPerKilobyte*float64(penaltyPerKilobyte))
}

// restrictToLocalDomain leaves only available candidates, and of these only those of the own domain if there are any. If none is
// available it leaves all. The caller holds the lock.
func (b *Balancer) restrictToLocalDomain(candidates []session.Candidate, now monotonic.Micros) []session.Candidate {
	available := slices.DeleteFunc(slices.Clone(candidates), func(candidate session.Candidate) bool {
		return b.isUnavailable(candidate, now)
	})
	if len(available) == 0 {
		return candidates
	}
	local := slices.DeleteFunc(slices.Clone(available), func(candidate session.Candidate) bool {
		return candidate.Domain != b.domain
	})
	if len(local) == 0 {
		return available
	}
	return local
}
