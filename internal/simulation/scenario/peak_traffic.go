package scenario

import (
	"fmt"
	"net/http"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/workload"
)

// changingFamilies are the kinds of traffic whose routes change.
var changingFamilies = []workload.RouteFamily{
	{Kind: "submission", Method: "POST", Prefix: "/submissions/", Service: "submission", Alternate: "submission-next"},
	{Kind: "correction", Method: "PUT", Prefix: "/corrections/", Service: "correction", Alternate: "correction-next"},
	{Kind: "batch", Method: "GET", Prefix: "/batches/", Service: "batches", Alternate: "batches-next"},
}

// lookupFamilies are the kinds of traffic whose routes never change.
var lookupFamilies = []workload.RouteFamily{
	{Kind: "assignment", Method: "GET", Prefix: "/assignments/", Service: "assignment"},
	{Kind: "eligibility", Method: "GET", Prefix: "/eligibility/", Service: "eligibility"},
}

// unusedRoutes is the number of additional routes that no request matches.
const unusedRoutes = 200

// routeWorkload generates the route changes of a run and keeps faults apart that must not overlap.
type routeWorkload struct {
	*workload.RouteChanges
	// reservedUntil is the time before which no further proxy is cut off and no primary is killed. A proxy that misses a version
	// because it is cut off, and then finds the primary dead, is disconnected, and only connected proxies must adopt a version
	// within 2 s.
	reservedUntil monotonic.Micros
}

// tryReserve reports whether a fault may cut proxies off or kill a primary now. If so, it blocks other such faults for a duration.
func (w *routeWorkload) tryReserve(now, duration monotonic.Micros) bool {
	if now < w.reservedUntil {
		return false
	}
	w.reservedUntil = now + duration
	return true
}

// peakDesiredState returns the first desired state: a route for each family, and many that no request matches.
func peakDesiredState() *wire.DesiredState {
	group := &wire.Group{
		Name:   "field",
		Guard:  &wire.Breaker{WindowCalls: proto.Uint32(100), MinimumCalls: proto.Uint32(20)},
		Limits: &wire.Limits{CutoffMicros: proto.Int64(int64(5 * monotonic.Second))},
	}
	state := &wire.DesiredState{Groups: []*wire.Group{group}}
	for _, family := range slices.Concat(changingFamilies, lookupFamilies) {
		for _, name := range []string{family.Service, family.Alternate} {
			if name != "" {
				group.Services = append(group.Services, &wire.Service{Name: name})
			}
		}
		state.Routes = append(state.Routes, family.GeneralRoute())
	}
	for number := range unusedRoutes {
		state.Routes = append(state.Routes, &wire.Route{
			Name:   fmt.Sprint("archive-", number),
			Host:   fmt.Sprintf("a%d.example", number%20),
			Prefix: fmt.Sprintf("/archive/%d/", number),
			Class:  wire.Path_read,
			Split:  []*wire.Share{{Service: "batches", Weight: 1}},
		})
	}
	return state
}

// peakServices returns the names of the services of the first desired state.
func peakServices() (names []string) {
	for _, service := range peakDesiredState().Groups[0].Services {
		names = append(names, service.Name)
	}
	return names
}

const (
	// routeChangeTimeout is how long operators retry a change of a route.
	routeChangeTimeout = 20 * monotonic.Second
	// burstLength is the number of changes in a burst, and burstInterval the time between two of them.
	burstLength   = 8
	burstInterval = 60 * monotonic.Millisecond
)

// Changes of routes.
var (
	changeRoute = fault{"change a route", func(m *Mesh) {
		m.startApply(m.nextRoutes(), routeChangeTimeout)
	}}
	// changeRoutesInBurst applies changes in quick succession, each based on the one before, as an operator's script would.
	changeRoutesInBurst = fault{"a burst of route changes", func(m *Mesh) {
		m.External.Go(func() {
			for range burstLength {
				m.startApply(m.nextRoutes(), routeChangeTimeout)
				m.External.Sleep(burstInterval)
			}
		})
	}}
	changeRoutesConcurrently = fault{"two operators race with route changes", func(m *Mesh) {
		expected, states := m.latestVersion, []*wire.DesiredState{m.routeWorkload.Next(), m.routeWorkload.Next()}
		for _, state := range states {
			m.External.Go(func() {
				if accepted(m.applyDesired(workload.EncodeState(state), false, expected, routeChangeTimeout)) {
					m.routeWorkload.State = state
				}
			})
		}
	}}
	// changeRoutesDuringPartition cuts proxies off during a burst, so that a proxy adopts several versions at once.
	changeRoutesDuringPartition = fault{"a burst of route changes that some proxies miss at first", func(m *Mesh) {
		for range 3 {
			if !m.routeWorkload.tryReserve(m.World.Now(), 0) {
				break
			}
			m.partitionFromAll(pick(m, m.proxyNames), m.coreMachines, 700*monotonic.Millisecond)
		}
		m.routeWorkload.tryReserve(m.World.Now(), 3*monotonic.Second)
		changeRoutesInBurst.inject(m)
	}}
)

// nextRoutes changes a route of the current desired state and returns the encoded new state.
func (m *Mesh) nextRoutes() []byte {
	m.routeWorkload.State = m.routeWorkload.Next()
	return workload.EncodeState(m.routeWorkload.State)
}

// generatePeakTraffic starts callers that send requests of all families. Requests with an idempotency key are repeated until they
// are served, at most maxKeyedAttempts times.
func generatePeakTraffic(m *Mesh, perSecond int) {
	submissions, corrections, batches := changingFamilies[0], changingFamilies[1], changingFamilies[2]
	assignments, eligibility := lookupFamilies[0], lookupFamilies[1]
	mix := []workload.RouteFamily{submissions, submissions, corrections, batches, assignments, assignments, eligibility, eligibility}
	m.External.Go(func() {
		for number := 0; m.serving; number++ {
			m.sleepBetweenRequests(perSecond)
			m.External.Go(func() { m.sendPeakRequest(mix[number%len(mix)], number) })
		}
	})
}

// maxKeyedAttempts is how many times a caller sends a request with an idempotency key that is not served.
const maxKeyedAttempts = 15

func (m *Mesh) sendPeakRequest(family workload.RouteFamily, number int) {
	key, attempts := "", 1
	if family.Method != http.MethodGet {
		key, attempts = fmt.Sprintf("%s-key-%d", family.Kind, number), maxKeyedAttempts
	}
	for retries := range attempts {
		attempt := &invariants.Attempt{
			ID:     fmt.Sprintf("%s-%d-%d", family.Kind, number, retries),
			Key:    key,
			Kind:   family.Kind,
			Proxy:  pick(m, m.proxyNames),
			Method: family.Method,
			Path:   fmt.Sprintf("%s%d/%d", family.Prefix, number%workload.RegionsPerFamily, number),
			Sent:   m.World.Now(),
		}
		m.History.RecordAttempt(attempt)
		m.send(attempt)
		if served(attempt) {
			return
		}
		m.sleepBeforeRetry()
	}
}

// preparePeakTraffic makes the mesh record where the families' requests are routed and what the breakers count.
func preparePeakTraffic(m *Mesh) {
	m.recordCallCounts = true
	m.routeWorkload = &routeWorkload{RouteChanges: workload.NewRouteChanges(peakDesiredState(), changingFamilies, m.World.Rand())}
	m.samples = nil
	for _, family := range slices.Concat(changingFamilies, lookupFamilies) {
		for region := range workload.RegionsPerFamily {
			m.samples = append(m.samples, routeSample{family.Kind, family.Method, fmt.Sprintf("%s%d/1", family.Prefix, region)})
		}
		m.History.AllowRoute(family.Kind, family.Service, 0)
	}
	if m.defects.WrongBase {
		m.applyToWrongBase()
	}
}
