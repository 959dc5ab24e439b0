package scenario

import (
	"fmt"
	"net/http"
	"strings"

	"snowflow/internal/configstore"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

const (
	// revocationTimeout is how long after the acknowledgement of its removal a tenant's key may still be used.
	revocationTimeout = 5 * monotonic.Second
	// simulatedKeyLease leaves a margin for clocks that run at different speeds.
	simulatedKeyLease = revocationTimeout * 95 / 100
	// tenantCount is the number of tenants, and temporaryKeysPerTenant that of each one's keys that come and go.
	tenantCount, temporaryKeysPerTenant = 4, 3
	// keyChangeInterval is the mean time between two changes of the keys.
	keyChangeInterval = 1500 * monotonic.Millisecond
	// tenantTrafficDuration is how long faults are injected, and requests are sent with keys that may not be in force.
	tenantTrafficDuration = 60 * monotonic.Second
)

// tenantWorkload is the tenants of a run, as their operator changes them. Each tenant has a key that stays, and keys that come, go and
// pass to another tenant.
type tenantWorkload struct {
	mesh *Mesh
	// owners are the tenants' numbers by key, for the keys that are in the newest configuration.
	owners map[string]int
	// periods are those of the keys that are in force.
	periods map[string]*invariants.KeyPeriod
	// temporaryKeys are all that were ever in force, in the order in which they came.
	temporaryKeys []string
	// version is that of the newest configuration, and until when requests are sent with any key.
	version uint64
	anyKeyUntil   monotonic.Micros
}

func permanentKey(tenant int) string { return fmt.Sprintf("key-of-tenant-%d", tenant) }

func tenantNameOf(tenant int) string { return fmt.Sprintf("tenant-%d", tenant) }

// content returns the configuration with the tenants' present keys.
func (w *tenantWorkload) content() []byte {
	var tenants []string
	for number := range tenantCount {
		keys := []string{fmt.Sprintf("%q", permanentKey(number))}
		for _, key := range w.temporaryKeys {
			if owner, present := w.owners[key]; present && owner == number {
				keys = append(keys, fmt.Sprintf("%q", key))
			}
		}
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"priority":%d,"keys":[%s]}`, tenantNameOf(number), number%2, strings.Join(keys, ",")))
	}
	return fmt.Appendf(nil, `{"note":"change %d","groups":[{"name":"field",
"guard":{"windowCalls":30,"minimumCalls":8,"failureRate":0.5,"waitOpenMicros":2000000,"permittedHalfOpen":4,"probeTenureMicros":4000000},
"retry":{"mostTries":3,"budgetRatio":0.2,"allowance":10},"limits":{"cutoffMicros":4000000},
"services":[{"name":"records","paths":[{"method":"GET","prefix":"/forms","class":"read"},{"method":"POST","prefix":"/households","class":"once"}]}]}],
"routes":[{"name":"open","prefix":"/open","class":"read","anonymous":true,"split":[{"service":"records","weight":1}]}],
"tenants":[%s]}`, w.version, strings.Join(tenants, ","))
}

// firstTenantState is the first configuration of a run with tenants: each has its permanent key alone.
func firstTenantState(int) []byte { return (&tenantWorkload{}).content() }

// startTenantTraffic starts the operator who changes the keys, and callers that bear them.
func startTenantTraffic(m *Mesh, perSecond int) {
	w := &tenantWorkload{mesh: m, owners: map[string]int{}, periods: map[string]*invariants.KeyPeriod{}, version: firstOperatorVersion}
	w.anyKeyUntil = m.World.Now() + tenantTrafficDuration
	for number := range tenantCount {
		m.History.RecordKeyPeriod(&invariants.KeyPeriod{Key: permanentKey(number), Tenant: tenantNameOf(number), Permanent: true})
	}
	m.External.Go(w.changeKeys)
	m.External.Go(func() {
		for number := 0; m.serving; number++ {
			m.sleepBetweenRequests(perSecond)
			m.External.Go(func() { w.sendRequest(number) })
		}
	})
}

// changeKeys changes the keys until the traffic ends, one change after another.
func (w *tenantWorkload) changeKeys() {
	for w.mesh.serving {
		w.mesh.External.Sleep(w.mesh.randomDuration(keyChangeInterval/2, keyChangeInterval*3/2))
		w.changeOneKey()
	}
}

// changeOneKey adds a key, takes one away, or gives one to another tenant, and waits for the acknowledgement.
func (w *tenantWorkload) changeOneKey() {
	w.version++
	var ended []*invariants.KeyPeriod
	present := w.currentKeys()
	if len(present) < tenantCount || len(present) < tenantCount*temporaryKeysPerTenant && w.mesh.oneIn(2) {
		key := fmt.Sprintf("key-%d", len(w.temporaryKeys))
		w.temporaryKeys = append(w.temporaryKeys, key)
		w.assignKey(key, w.mesh.World.Rand().IntN(tenantCount))
	} else {
		key := pick(w.mesh, present)
		ended = append(ended, w.periods[key])
		former := w.owners[key]
		delete(w.periods, key)
		delete(w.owners, key)
		if w.mesh.oneIn(3) {
			w.assignKey(key, (former+1)%tenantCount)
		}
	}
	if !w.apply() {
		return // the keys may be in force or not
	}
	w.mesh.History.Update(func() {
		for _, period := range ended {
			period.RevokedAt = w.mesh.World.Now()
		}
	})
}

// apply writes the present keys, on any core machine, until the write is acknowledged, and reports whether it was before the traffic ended.
func (w *tenantWorkload) apply() bool {
	write := configWrite{version: w.version, content: w.content()}
	w.mesh.recordRouting(write.content)
	for w.mesh.serving {
		if w.mesh.writeAt(pick(w.mesh, w.mesh.coreMachines), write) == invariants.Confirmed {
			return true
		}
		w.mesh.External.Sleep(applyRetryInterval)
	}
	return false
}

// assignKey makes a key one of a tenant from now on.
func (w *tenantWorkload) assignKey(key string, tenant int) {
	period := &invariants.KeyPeriod{Key: key, Tenant: tenantNameOf(tenant), From: w.mesh.World.Now()}
	w.owners[key], w.periods[key] = tenant, period
	w.mesh.History.RecordKeyPeriod(period)
}

// currentKeys are the keys that the newest configuration has, the oldest first.
func (w *tenantWorkload) currentKeys() (present []string) {
	for _, key := range w.temporaryKeys {
		if _, is := w.owners[key]; is {
			present = append(present, key)
		}
	}
	return present
}

// sendRequest sends a request with a permanent key, one that was ever in force, one that never was, or none.
func (w *tenantWorkload) sendRequest(number int) {
	m := w.mesh
	attempt := &invariants.Attempt{ID: fmt.Sprintf("tenant-%d", number), Kind: "form", Method: http.MethodGet, Path: fmt.Sprintf("/forms/%d", number), Caller: pick(m, m.proxyNames)}
	if m.oneIn(3) {
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key = "submission", http.MethodPost, fmt.Sprintf("/households/%d", number), fmt.Sprintf("key-%d", number)
	}
	choice := m.World.Rand().IntN(10)
	if m.World.Now() >= w.anyKeyUntil {
		choice = 4 // what is sent after the faults must be served
	}
	switch {
	case choice == 0:
		attempt.TenantKey = "never"
	case choice == 1:
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key, attempt.Anonymous = "form", http.MethodGet, "/open/1", "", true
	case choice == 2:
	case choice < 5 || len(w.temporaryKeys) == 0:
		attempt.TenantKey = permanentKey(m.World.Rand().IntN(tenantCount))
	default:
		// The newest keys are those that are taken away.
		attempt.TenantKey = w.temporaryKeys[max(0, len(w.temporaryKeys)-1-m.World.Rand().IntN(2*tenantCount*temporaryKeysPerTenant))]
	}
	attempt.Sent = m.World.Now()
	m.History.RecordAttempt(attempt)
	m.send(attempt)
}

// Faults under which a key that was taken away may be relied on for too long.
var (
	isolateProxyLong = fault{"partition a proxy from the whole core for longer than a key's revocation takes", func(m *Mesh) {
		victim, duration := pick(m, m.proxyNames), m.randomDuration(6*monotonic.Second, 15*monotonic.Second)
		m.partitionFromAll(victim, m.coreMachines, duration)
	}}
	freezeProxyLong = fault{"freeze a proxy for longer than a key's revocation takes", func(m *Mesh) {
		m.freezeNode(m.World.Node(pick(m, m.proxyNames)), m.randomDuration(4*monotonic.Second, 12*monotonic.Second))
	}}
	isolatePrimary = fault{"partition the configuration store's primary from the other core machines", func(m *Mesh) {
		if node := m.primary(configstore.Group); node != nil {
			m.partitionFromAll(node.Machine, m.coreMachines, m.randomDuration(2*monotonic.Second, 9*monotonic.Second))
		}
	}}
	halveCore = fault{"cut the core machines into halves", func(m *Mesh) {
		duration := m.randomDuration(3*monotonic.Second, 9*monotonic.Second)
		half := len(m.coreMachines) / 2
		for _, machine := range m.coreMachines[:half] {
			m.partitionFromAll(machine, m.coreMachines[half:], duration)
		}
	}}
)

// maxCoreAbsence is the longest time for which one of the core's faults in these scenarios takes machines away.
const maxCoreAbsence = 9 * monotonic.Second

// countAsLoss makes a fault of the core count as a loss for as long as it may last, so that no disk is lost while another machine is away.
func countAsLoss(f fault) fault { return lossFault(f.name, maxCoreAbsence, f.inject) }

// tenantScenarios have tenants whose keys come and go.
func tenantScenarios() []Scenario {
	revocations := func(name string, cores int) Scenario {
		return Scenario{
			Name:    name,
			Summary: "tenants' keys are taken away while proxies are cut off, frozen or restarted, and the core is cut, halved or replaced",
			Topology: Topology{Cores: cores, Proxies: 5, Zones: 2, Backends: 4, Services: []string{"records"}, DiscoverVoters: true,
				Timeouts: configstore.Timeouts{ServeStale: true}, KeyLease: simulatedKeyLease, VoterTimeout: 3 * monotonic.Second},
			Duration:        tenantTrafficDuration,
			Rate:            60,
			FaultInterval:   2 * monotonic.Second,
			Rules:           []int{1, 2, 3, 12},
			Checks:          []invariants.Check{invariants.RevocationTimeout(revocationTimeout)},
			DesiredState:    firstTenantState,
			GenerateTraffic: startTenantTraffic,
			InitialFaults:   []fault{isolateProxyLong, freezeProxyLong, countAsLoss(isolatePrimary)},
			Faults: []fault{isolateProxyLong, isolateProxyLong, freezeProxyLong, freezeProxy, killProxy, countAsLoss(isolatePrimary), countAsLoss(freezePrimary),
				countAsLoss(killPrimary), countAsLoss(halveCore), countAsLoss(partitionCore), stepProxyClock, countAsLoss(stepPrimaryClock), countAsLoss(powerOffEverything),
				plannedReplacement, permanentLoss, slowDisk},
		}
	}
	return []Scenario{revocations("revocations", 3), revocations("revocations-4", 4)}
}
