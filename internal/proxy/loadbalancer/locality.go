package loadbalancer

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
)

const (
	// penaltyPerKilobyte is added to the cross-domain penalty for each kilobyte of a route's mean message size.
	penaltyPerKilobyte = 5 * monotonic.Millisecond
	bytesPerKilobyte   = 1024
	// minPenaltyShare is the smallest cross-domain penalty as a share of the route's latency target.
	minPenaltyShare = 0.1
	// localOnlyPenalty is the penalty from which a route stays in the caller's own domain while a backend is available there.
	localOnlyPenalty = 100 * monotonic.Millisecond
	// sizeSmoothing is the number of responses over which a route's message size is averaged.
	sizeSmoothing = 16
	// bulkBytes is the mean message size from which a route's messages are sent on a separate connection.
	bulkBytes = 16 << 10
)

// locality estimates the cost of sending a route's requests to another failure domain. The Balancer's lock guards it.
type locality struct {
	basePenalty monotonic.Micros
	meanBytes   map[string]float64 // mean message size (request and response together), by route
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

// penalty returns the cross-domain penalty of a route's requests in microseconds.
func (l locality) penalty(route string, latencyTarget monotonic.Micros) monotonic.Micros {
	minPenalty := max(l.basePenalty, monotonic.Micros(minPenaltyShare*float64(latencyTarget)))
	return minPenalty + monotonic.Micros(l.meanBytes[route]/bytesPerKilobyte*float64(penaltyPerKilobyte))
}

// restrictToLocalDomain returns the available candidates in the caller's own domain or, if there are none, all available
// candidates. If none is available anywhere, it returns all candidates. The caller holds the lock.
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
