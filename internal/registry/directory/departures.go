package directory

import (
	"maps"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// departureRetention is how long a departure is remembered after it was last announced. Heartbeats arrive some seconds late, and a
// backend serves on for some more after its departure. An entry that a proxy makes from a late heartbeat is overdue by then.
const departureRetention = monotonic.Minute

// departures are the instances of backends that were announced as leaving, each with the time until which that is remembered. A departure
// is final, but the proxy beside the backend may forget it: if it ends, its next incarnation takes a heartbeat from before the departure
// for that of a backend in service. The memory is bounded by the departures within departureRetention. The directory's lock guards it.
type departures map[string]monotonic.Micros

// observe records the departures that a session announces.
func (d departures) observe(session *wire.Session, now monotonic.Micros) {
	for _, backend := range session.Backends {
		if backend.Condition == wire.BackendLeaving {
			d[backend.Instance] = now + departureRetention
		}
	}
}

// condition returns the condition of a backend: leaving if its instance has departed, whatever its proxy says.
func (d departures) condition(backend *wire.Backend, now monotonic.Micros) string {
	if until, departed := d[backend.Instance]; departed && now < until {
		return wire.BackendLeaving
	}
	return backend.Condition
}

// expire forgets departures that are no longer remembered.
func (d departures) expire(now monotonic.Micros) {
	maps.DeleteFunc(d, func(_ string, until monotonic.Micros) bool { return now >= until })
}
