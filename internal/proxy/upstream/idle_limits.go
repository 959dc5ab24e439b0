package upstream

import "time"

const (
	// minIdleTime is the shortest idle time after which a closed connection is attributed to the backend's idle timeout.
	minIdleTime = 100 * time.Millisecond
	// idleLimitFactor times the idle time of a connection that its backend closed is the limit for the idle time of other
	// connections to that backend.
	idleLimitFactor = 0.75
	// idleLimitTTL is how long such a limit applies.
	idleLimitTTL = 10 * time.Second
	// maxIdleLimits bounds the number of instances with a limit. All limits are dropped when it is reached.
	maxIdleLimits = 256
)

// idleLimits holds, by instance, how long connections may be idle if the backend closes them earlier than it announces. It is not
// safe for concurrent use.
type idleLimits map[string]idleLimit

type idleLimit struct {
	max   time.Duration
	until time.Time
}

// observeClosed records that a connection which had been idle for idleFor closed before the first byte of a response. It reports
// whether the backend probably closed it because it was idle, which says nothing about the backend's health.
func (l idleLimits) observeClosed(now time.Time, instance string, idleFor time.Duration) bool {
	if idleFor < minIdleTime {
		return false
	}
	limit := max(minIdleTime, time.Duration(idleLimitFactor*float64(idleFor)))
	if existing, present := l[instance]; present && now.Before(existing.until) {
		limit = min(limit, existing.max)
	} else if !present && len(l) >= maxIdleLimits {
		clear(l)
	}
	l[instance] = idleLimit{max: limit, until: now.Add(idleLimitTTL)}
	return true
}

// allows reports whether a connection to an instance may still be used after it was idle for idleFor.
func (l idleLimits) allows(now time.Time, instance string, idleFor time.Duration) bool {
	existing, present := l[instance]
	if present && !now.Before(existing.until) {
		delete(l, instance)
		present = false
	}
	return !present || idleFor < existing.max
}
