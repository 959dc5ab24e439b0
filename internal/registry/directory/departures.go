package directory

import (
	"maps"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// departureRetention is how long a departure is kept after it was last announced. Heartbeats of backends arrive some seconds late, and a
// backend continues to serve for a few more after its departure. An entry that a proxy created from a late heartbeat has expired by then.
const departureRetention = monotonic.Minute

// departures maps each backend instance that was announced as leaving to the time until which its departure is kept. A departure is
// final, but the proxy on the backend's machine may lose it when it restarts: to its next incarnation, a late heartbeat from before the
// departure looks like that of a backend in service. The size is bounded by the departures within departureRetention. The directory's lock
// guards it.
type departures map[string]monotonic.Micros

// observe records the departures that a session announces.
func (d departures) observe(session *wire.Session, now monotonic.Micros) {
	for _, backend := range session.Backends {
		if backend.Condition == wire.BackendLeaving {
			d[backend.Instance] = now + departureRetention
		}
	}
}

// condition returns the condition of a backend. It is leaving if the instance has departed, even if its proxy reports another one.
func (d departures) condition(backend *wire.Backend, now monotonic.Micros) string {
	if until, departed := d[backend.Instance]; departed && now < until {
		return wire.BackendLeaving
	}
	return backend.Condition
}

// expire removes the departures whose retention has ended.
func (d departures) expire(now monotonic.Micros) {
	maps.DeleteFunc(d, func(_ string, until monotonic.Micros) bool { return now >= until })
}
