package scenario

import (
	"fmt"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/simulation/world"
)

// behavior is how a backend responds to requests.
type behavior string

const (
	healthy      behavior = ""
	failing      behavior = "failing"      // executes and responds with status 500
	losing       behavior = "losing"       // executes and loses the response
	truncating   behavior = "short"        // executes and truncates the response
	notExecuting behavior = "not_executed" // responds that it did not execute the request
	slow         behavior = "slow"         // takes longer than any deadline
	mixed        behavior = "mixed"        // draws another behavior for each request, see drawBehavior
)

const (
	heartbeatInterval = 2 * monotonic.Second
	registerInterval  = 200 * monotonic.Millisecond
	// drainPeriod is how long a backend still accepts requests after it has announced that it is draining.
	drainPeriod = 5 * monotonic.Second
)

// simulatedBackend is an instance of a service that registers at its local proxy.
type simulatedBackend struct {
	service     string
	instance    string
	address     string
	proxy       string // the name of its local proxy
	up          bool
	behavior    behavior
	draining    bool
	startDelay  monotonic.Micros // how long it listens before it registers
	reportCount uint64
	inFlight    int // requests that it is processing
	maxInFlight int // the highest value that inFlight has had
}

func (b *simulatedBackend) identity() localbackends.Backend {
	return localbackends.Backend{Service: b.service, Instance: b.instance, Address: b.address}
}

// startBackend starts a new backend that registers at a proxy after startDelay.
func (m *Mesh) startBackend(service, proxyName, address string, startDelay monotonic.Micros) {
	m.nextID++
	backend := &simulatedBackend{
		service:    service,
		instance:   fmt.Sprintf("%s-%d", service, m.nextID),
		address:    address,
		proxy:      proxyName,
		up:         true,
		startDelay: startDelay,
	}
	m.backends = append(m.backends, backend)
	m.External.Go(func() { m.runHeartbeats(backend) })
}

// startReplacement starts a backend of the same service at a random proxy, with a new address.
func (m *Mesh) startReplacement(replaced *simulatedBackend) {
	m.startBackend(replaced.service, pick(m, m.proxyNames), fmt.Sprintf("%s:%d", replaced.proxy, 9000+m.nextID), 0)
}

// runHeartbeats registers a backend at its proxy and sends heartbeats until the backend ends.
func (m *Mesh) runHeartbeats(backend *simulatedBackend) {
	registered := false
	m.External.Sleep(backend.startDelay)
	for backend.up {
		node := m.World.Node(backend.proxy)
		_, err := m.External.CallFunc(node.Address, monotonic.Second, func(*world.Node) ([]byte, error) {
			return nil, m.sendHeartbeat(backend, registered)
		})
		registered = err == nil || registered && !apierror.IsRefused(err)
		interval := heartbeatInterval
		if !registered {
			interval = registerInterval
		}
		m.External.Sleep(interval)
	}
}

// sendHeartbeat registers a backend at its local proxy or reports its condition there. It runs in the proxy's process.
func (m *Mesh) sendHeartbeat(backend *simulatedBackend, registered bool) error {
	localProxy := m.proxies[backend.proxy]
	condition := localbackends.Working
	if backend.draining && !m.defects.IgnoreDraining {
		condition = localbackends.Leaving
	}
	if m.topology.Slots > 0 {
		backend.reportCount++
		return localProxy.ApplyReport(localbackends.Report{Backend: backend.identity(), Slots: m.topology.Slots, Condition: condition, Sequence: backend.reportCount})
	}
	if !registered {
		return localProxy.RegisterBackend(backend.identity(), condition)
	}
	return localProxy.Heartbeat(backend.instance, condition)
}

// drainBackend has a backend announce that it is draining, and ends it after drainPeriod.
func (m *Mesh) drainBackend(backend *simulatedBackend) {
	m.External.Go(func() {
		backend.draining = true
		node := m.World.Node(backend.proxy)
		_, err := m.External.CallFunc(node.Address, monotonic.Second, func(*world.Node) ([]byte, error) {
			if m.defects.IgnoreDraining {
				return nil, nil
			}
			return nil, m.proxies[backend.proxy].Heartbeat(backend.instance, localbackends.Leaving)
		})
		if err == nil {
			m.History.RecordDeparture(backend.instance, m.World.Now())
		}
		m.External.Sleep(drainPeriod)
		backend.up = false
	})
}

// liveBackends returns the backends of a service, or of all services for an empty name, that are up and not draining.
func (m *Mesh) liveBackends(service string) (live []*simulatedBackend) {
	for _, backend := range m.backends {
		if backend.up && !backend.draining && (service == "" || backend.service == service) {
			live = append(live, backend)
		}
	}
	return live
}

// misbehaveFor gives a backend a behavior for a duration.
func (m *Mesh) misbehaveFor(backend *simulatedBackend, misbehavior behavior, duration monotonic.Micros) {
	backend.behavior = misbehavior
	m.after(duration, func() { backend.behavior = healthy })
}
