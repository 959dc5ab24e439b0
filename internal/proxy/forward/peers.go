package forward

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/outlier"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

const (
	// peersFor is how long what a service's backends are like is told as it was taken.
	peersFor = 200 * monotonic.Millisecond
	// standingFor is how long a told standing counts.
	standingFor = 10 * monotonic.Second
)

// standing is what a backend's gate last told of it.
type standing struct {
	faults, pace uint32
	ejected      bool
	at           monotonic.Micros
}

// peers is what a service's backends are like, for the gates to judge their own by. Invariant: neither message changes once made.
type peers struct {
	at            monotonic.Micros
	beside, among *wire.PeerStatistics // as a backend that isn't ejected, and as one that is, should hear of the others
}

// stands takes a told standing. It tells whether what comes of a request there is that backend's own trouble, of which its gate sees
// to it that few requests have it: it's ejected, and no more of its service are than may be. Else it's the service's guard's business.
func (chooser *chooser) stands(directory *session.Directory, service, instance string, load *wire.Load) (own bool) {
	if load == nil || load.LatencyRatio == 0 {
		return false
	}
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	present := chooser.standings[instance]
	if present == nil {
		present = &standing{}
		now := chooser.place.Now()
		for other, known := range chooser.standings {
			if now-known.at >= monotonic.Minute {
				delete(chooser.standings, other)
			}
		}
		chooser.standings[instance] = present
	}
	changed := present.ejected != load.Ejected
	*present = standing{faults: load.FaultRate, pace: load.LatencyRatio, ejected: load.Ejected, at: chooser.place.Now()}
	if changed {
		delete(chooser.peers, service)
	}
	if !load.Ejected {
		return false
	}
	others := chooser.others(directory, service).among
	return outlier.Bounded(int(others.Known), int(others.Ejected))
}

// beside is what the other backends of a service are like.
func (chooser *chooser) beside(directory *session.Directory, service, instance string) *wire.PeerStatistics {
	chooser.lock.Lock()
	defer chooser.lock.Unlock()
	known := chooser.others(directory, service)
	if own := chooser.standings[instance]; own != nil && own.ejected {
		return known.among
	}
	return known.beside
}

// others is what the backends of a service are like, taken anew now and then. The lock is held.
func (chooser *chooser) others(directory *session.Directory, service string) *peers {
	now := chooser.place.Now()
	known := chooser.peers[service]
	if known == nil || now-known.at >= peersFor {
		known = chooser.taken(directory.Candidates[service], now)
		chooser.peers[service] = known
	}
	return known
}

// taken takes the middle ones of what is known. The lock is held.
func (chooser *chooser) taken(candidates []session.Candidate, now monotonic.Micros) *peers {
	var faults, paces []uint32
	ejected := uint32(0)
	for index := range candidates {
		known := chooser.standings[candidates[index].Instance]
		if known == nil || now-known.at >= standingFor {
			continue
		}
		faults, paces = append(faults, known.faults), append(paces, known.pace)
		if known.ejected {
			ejected++
		}
	}
	others := uint32(max(0, len(candidates)-1))
	beside := &wire.PeerStatistics{Known: others, Ejected: min(ejected, others), LatencyRatio: 1000}
	if len(faults) > 0 {
		slices.Sort(faults)
		slices.Sort(paces)
		beside.FaultRate, beside.LatencyRatio = faults[len(faults)/2], paces[len(paces)/2]
	}
	among := &wire.PeerStatistics{Known: others, Ejected: max(1, ejected) - 1, FaultRate: beside.FaultRate, LatencyRatio: beside.LatencyRatio}
	return &peers{at: now, beside: beside, among: among}
}
