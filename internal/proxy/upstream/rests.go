package upstream

import "time"

const (
	// leastRest is the shortest rest after which a connection's end may mean that its backend had forgotten it.
	leastRest = 100 * time.Millisecond
	// restShare is the part of a rest that proved too long which connections to that backend may still have.
	restShare = 0.75
	// restMemory is how long that holds: backends forget early for a while.
	restMemory = 10 * time.Second
	mostRests  = 256
)

// rests is how long connections may rest, by instance, where backends turned out to forget them earlier than they say. Its owner holds a
// lock and gives it the time.
type rests map[string]rest

type rest struct {
	most  time.Duration
	until time.Time
}

// forgot notes that a connection ended without a byte on what was sent on it after a rest. It tells whether that says nothing of the
// backend but that it had forgotten the connection.
func (rests rests) forgot(now time.Time, instance string, rested time.Duration) bool {
	if rested < leastRest {
		return false
	}
	most := max(leastRest, time.Duration(restShare*float64(rested)))
	if known, present := rests[instance]; present && now.Before(known.until) {
		most = min(most, known.most)
	} else if !present && len(rests) >= mostRests {
		clear(rests)
	}
	rests[instance] = rest{most: most, until: now.Add(restMemory)}
	return true
}

// fresh tells whether a connection that rested so long may still be used.
func (rests rests) fresh(now time.Time, instance string, rested time.Duration) bool {
	known, present := rests[instance]
	if present && !now.Before(known.until) {
		delete(rests, instance)
		present = false
	}
	return !present || rested < known.most
}
