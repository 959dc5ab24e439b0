package upstream

import "time"

const (
	// minIdleTime is the shortest idle time after which the end of a connection may mean that its backend closed it as idle.
	minIdleTime = 100 * time.Millisecond
	// idleLimitShare is multiplied by the idle time of a connection that its backend had closed; the result limits the idle time of
	// further connections to that backend.
	idleLimitShare = 0.75
	// idleLimitTTL is how long such a limit holds.
	idleLimitTTL = 10 * time.Second
	// maxIdleLimits bounds the number of instances with a limit.
	maxIdleLimits = 256
)

// idleLimits holds, by instance, how long connections may be idle where a backend was found to close them earlier than it
// announces. Its owner holds a lock and passes the time.
type idleLimits map[string]idleLimit

type idleLimit struct {
	max   time.Duration
	until time.Time
}

// observeClosed records that a connection ended without a byte of a response to what was sent on it after an idle time. It reports
// whether the backend had probably closed it as idle, which says nothing about the backend's health.
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

// allows reports whether a connection that was idle for so long may still be used.
func (l idleLimits) allows(now time.Time, instance string, idleFor time.Duration) bool {
	known, present := l[instance]
	if present && !now.Before(known.until) {
		delete(l, instance)
		present = false
	}
	return !present || idleFor < known.max
}
