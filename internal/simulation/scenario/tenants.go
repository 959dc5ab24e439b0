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
	// revocationTimeout is how long a tenant's key may still be accepted after its removal has been acknowledged.
	revocationTimeout = 5 * monotonic.Second
	// simulatedKeyLease leaves a margin for clocks that run at different speeds.
	simulatedKeyLease = revocationTimeout * 95 / 100
	// tenantCount is the number of tenants. temporaryKeysPerTenant times tenantCount is the maximum number of temporary keys.
	tenantCount, temporaryKeysPerTenant = 4, 3
	// keyChangeInterval is the mean interval between changes of the keys.
	keyChangeInterval = 1500 * monotonic.Millisecond
	// tenantTrafficDuration is how long faults are injected and requests are sent with keys that may be invalid.
	tenantTrafficDuration = 60 * monotonic.Second
)

// tenantWorkload changes the keys of a run's tenants and sends requests with them. Each tenant has a permanent key, and temporary keys
// that are added, removed and moved to another tenant.
type tenantWorkload struct {
	mesh *Mesh
	// owners maps each temporary key in the newest configuration to the number of its tenant.
	owners map[string]int
	// periods holds the current period of each of these keys.
	periods map[string]*invariants.KeyPeriod
	// temporaryKeys are all temporary keys that were ever added, in the order in which they were added.
	temporaryKeys []string
	// version is the version of the newest configuration.
	version uint64
	// anyKeyUntil is the time until which requests are sent with any key. Later ones have permanent keys only.
	anyKeyUntil monotonic.Micros
}

func permanentKey(tenant int) string { return fmt.Sprintf("key-of-tenant-%d", tenant) }

func tenantNameOf(tenant int) string { return fmt.Sprintf("tenant-%d", tenant) }

// content returns the configuration with the tenants' current keys.
func (w *tenantWorkload) content() []byte {
	var tenants []string
	for number := range tenantCount {
		keys := []string{fmt.Sprintf("%q", permanentKey(number))}
		for _, key := range w.temporaryKeys {
			if owner, found := w.owners[key]; found && owner == number {
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

// firstTenantState returns the first configuration of a run with tenants, in which each has only its permanent key.
func firstTenantState(int) []byte { return (&tenantWorkload{}).content() }

// startTenantTraffic starts an operator that changes the keys, and callers that use them.
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

// changeKeys makes one change of the keys after another until the traffic ends.
func (w *tenantWorkload) changeKeys() {
	for w.mesh.serving {
		w.mesh.External.Sleep(w.mesh.randomDuration(keyChangeInterval/2, keyChangeInterval*3/2))
		w.changeOneKey()
	}
}

// changeOneKey adds a key, removes one, or moves one to another tenant, and waits for the acknowledgement.
func (w *tenantWorkload) changeOneKey() {
	w.version++
	var ended []*invariants.KeyPeriod
	current := w.currentKeys()
	if len(current) < tenantCount || len(current) < tenantCount*temporaryKeysPerTenant && w.mesh.oneIn(2) {
		key := fmt.Sprintf("key-%d", len(w.temporaryKeys))
		w.temporaryKeys = append(w.temporaryKeys, key)
		w.assignKey(key, w.mesh.World.Rand().IntN(tenantCount))
	} else {
		key := pick(w.mesh, current)
		ended = append(ended, w.periods[key])
		previousOwner := w.owners[key]
		delete(w.periods, key)
		delete(w.owners, key)
		if w.mesh.oneIn(3) {
			w.assignKey(key, (previousOwner+1)%tenantCount)
		}
	}
	if !w.apply() {
		return // whether the change is in effect is unknown
	}
	w.mesh.History.Update(func() {
		for _, period := range ended {
			period.RevokedAt = w.mesh.World.Now()
		}
	})
}

// apply writes the current keys on a random core machine, and repeats that until the write is acknowledged or the traffic ends. It
// reports whether the write was acknowledged.
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

// assignKey assigns a key to a tenant from now on.
func (w *tenantWorkload) assignKey(key string, tenant int) {
	period := &invariants.KeyPeriod{Key: key, Tenant: tenantNameOf(tenant), From: w.mesh.World.Now()}
	w.owners[key], w.periods[key] = tenant, period
	w.mesh.History.RecordKeyPeriod(period)
}

// currentKeys returns the temporary keys in the newest configuration, oldest first.
func (w *tenantWorkload) currentKeys() (current []string) {
	for _, key := range w.temporaryKeys {
		if _, found := w.owners[key]; found {
			current = append(current, key)
		}
	}
	return current
}

// sendRequest sends a request with a permanent key, with a temporary key that may have been removed, with an unknown key, or
// without a key.
func (w *tenantWorkload) sendRequest(number int) {
	m := w.mesh
	attempt := &invariants.Attempt{ID: fmt.Sprintf("tenant-%d", number), Kind: "form", Method: http.MethodGet, Path: fmt.Sprintf("/forms/%d", number), Proxy: pick(m, m.proxyNames)}
	if m.oneIn(3) {
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key = "submission", http.MethodPost, fmt.Sprintf("/households/%d", number), fmt.Sprintf("key-%d", number)
	}
	choice := m.World.Rand().IntN(10)
	if m.World.Now() >= w.anyKeyUntil {
		choice = 4 // a permanent key: requests after the faults must be served
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
		// Recent keys are used, since those are the ones that get removed.
		attempt.TenantKey = w.temporaryKeys[max(0, len(w.temporaryKeys)-1-m.World.Rand().IntN(2*tenantCount*temporaryKeysPerTenant))]
	}
	attempt.Sent = m.World.Now()
	m.History.RecordAttempt(attempt)
	m.send(attempt)
}

// Faults during which a removed key may be accepted for too long.
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
	halveCore = fault{"partition the core machines into two halves", func(m *Mesh) {
		duration := m.randomDuration(3*monotonic.Second, 9*monotonic.Second)
		half := len(m.coreMachines) / 2
		for _, machine := range m.coreMachines[:half] {
			m.partitionFromAll(machine, m.coreMachines[half:], duration)
		}
	}}
)

// maxCoreAbsence is the longest time for which a fault of the core in these scenarios makes machines unavailable.
const maxCoreAbsence = 9 * monotonic.Second

// countAsLoss makes a fault of the core count as a loss for as long as it may last, so that no disk is lost while another machine
// is unavailable.
func countAsLoss(f fault) fault { return lossFault(f.name, maxCoreAbsence, f.inject) }

// tenantScenarios returns the scenarios with tenants whose keys change.
func tenantScenarios() []Scenario {
	revocations := func(name string, cores int) Scenario {
		return Scenario{
			Name:    name,
			Summary: "tenants' keys are removed while proxies are cut off, frozen or restarted, and core machines are isolated, split into halves or replaced",
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
