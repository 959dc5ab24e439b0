package slots

import "snowflow/internal/monotonic"

const (
	// meanWindow is the number of requests over which a mean service time is averaged; the newest ones have the most weight.
	meanWindow = 16
	// maxKinds bounds the number of kinds of requests that have a mean of their own.
	maxKinds = 256
	// minKindSamples is the number of samples from which the mean of a kind is used instead of the mean of all requests.
	minKindSamples = 4
)

// movingAverage is the moving average of service times in microseconds; the newest samples have the most weight.
type movingAverage struct {
	average float64
	samples int
}

func (m *movingAverage) add(sample monotonic.Micros) {
	m.samples = min(m.samples+1, meanWindow)
	m.average += (float64(sample) - m.average) / float64(m.samples)
}

// serviceTimes holds the mean service time of all requests and of each kind.
type serviceTimes struct {
	overall movingAverage
	byKind  map[string]*movingAverage // one for each route to the backend, at most maxKinds
}

func (s *serviceTimes) add(kind string, sample monotonic.Micros) {
	s.overall.add(sample)
	known := s.byKind[kind]
	if known == nil && len(s.byKind) < maxKinds {
		known = &movingAverage{}
		s.byKind[kind] = known
	}
	if known != nil {
		known.add(sample)
	}
}

// ServiceTime returns the mean time for which requests hold their slots, or InitialServiceTime while none was measured.
func (p *Pool) ServiceTime() monotonic.Micros {
	if p.measured.overall.samples == 0 {
		return p.limits.InitialServiceTime
	}
	return monotonic.Micros(p.measured.overall.average)
}

// ServiceTimeOf returns the mean time for which requests of a kind hold their slots, or zero while too few were measured.
func (p *Pool) ServiceTimeOf(kind string) monotonic.Micros {
	if known := p.measured.byKind[kind]; known != nil && known.samples >= minKindSamples {
		return monotonic.Micros(known.average)
	}
	return 0
}

// expectedServiceTime returns the mean of a kind, or of all requests while too few of the kind were measured.
func (p *Pool) expectedServiceTime(kind string) monotonic.Micros {
	if known := p.ServiceTimeOf(kind); known > 0 {
		return known
	}
	return p.ServiceTime()
}

// Measured reports whether ServiceTime returns a measured time.
func (p *Pool) Measured() bool { return p.measured.overall.samples > 0 }

// DiscountMeasurements makes the next samples outweigh the earlier ones. It is called when the backend's speed has changed.
func (p *Pool) DiscountMeasurements() {
	p.measured.overall.samples = min(p.measured.overall.samples, 1)
	for _, known := range p.measured.byKind {
		known.samples = min(known.samples, 1)
	}
}
