package loadbalancer

import "snowflow/internal/monotonic"

const (
	// avoidDuration is how long a backend or proxy is avoided after a failure: it is chosen only if no other one is available.
	avoidDuration = 2 * monotonic.Second
	// maxConsecutiveFaults is the number of consecutive faulty responses after which a backend is avoided.
	maxConsecutiveFaults = 3
)

// availability records which backends and proxies failed recently. The Balancer's lock guards it.
type availability struct {
	avoidedUntil      map[string]monotonic.Micros // by instance or proxy name
	consecutiveFaults map[string]int              // by instance; never 0
}

func newAvailability() availability {
	return availability{avoidedUntil: map[string]monotonic.Micros{}, consecutiveFaults: map[string]int{}}
}

func (a availability) avoid(name string, now monotonic.Micros) {
	a.avoidedUntil[name] = now + avoidDuration
}

func (a availability) isAvoided(name string, now monotonic.Micros) bool {
	until, avoided := a.avoidedUntil[name]
	if avoided && now >= until {
		delete(a.avoidedUntil, name)
		return false
	}
	return avoided
}

// observe counts consecutive faulty responses and avoids a backend after too many of them.
func (a availability) observe(instance string, faulty bool, now monotonic.Micros) {
	if !faulty {
		delete(a.consecutiveFaults, instance)
		return
	}
	a.consecutiveFaults[instance]++
	if a.consecutiveFaults[instance] >= maxConsecutiveFaults {
		delete(a.consecutiveFaults, instance)
		a.avoid(instance, now)
	}
}
