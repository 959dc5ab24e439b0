package upstream

import "time"

const (
	// minIdleTime is the shortest rest after which a connection's end may mean that its backend had forgotten it.
	minIdleTime = 100 * time.Millisecond
	// idleLimitShare is the part of a rest that proved too long which connections to that backend may still have.
	idleLimitShare = 0.75
	// idleLimitTTL is how long that holds: backends forget early for a while.
	idleLimitTTL  = 10 * time.Second
	maxIdleLimits = 256
)

// rests is how long connections may rest, by instance, where backends turned out to forget them earlier than they say. Its owner holds a
// lock and gives it the time.
type idleLimits map[string]idleLimit

type idleLimit struct {
	max   time.Duration
	until time.Time
}

// forgot notes that a connection ended without a byte on what was sent on it after a rest. It tells whether that says nothing of the
// backend but that it had forgotten the connection.
func (l idleLimits) observeClosed(now time.Time, instance string, idleFor time.Duration) bool {
	if idleFor < minIdleTime {
		return false
	}
	limit := max(minIdleTime, time.Duration(idleLimitShare*float64(idleFor)))
	if known, present := l[instance]; present && now.Before(known.until) {
		limit = min(limit, known.max)
	} else if !present && len(l) >= maxIdleLimits {
		clear(l)
	}
	l[instance] = idleLimit{max: limit, until: now.Add(idleLimitTTL)}
	return true
}

// fresh tells whether a connection that rested so long may still be used.
func (l idleLimits) allows(now time.Time, instance string, idleFor time.Duration) bool {
	known, present := l[instance]
	if present && !now.Before(known.until) {
		delete(l, instance)
		present = false
	}
	return !present || idleFor < known.max
}
