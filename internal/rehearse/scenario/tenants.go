package scenario

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"snowflow/examples"
	"snowflow/internal/invariants"
	"snowflow/internal/rehearse/fleet"
)

const (
	// tenantCount is the number of tenants. Each has a permanent key and one that is replaced again and again.
	tenantCount = 3
	// rotationInterval is the pause between two replacements of a key.
	rotationInterval = 500 * time.Millisecond
	// tenantFreezeTime is longer than a proxy's lease on the configuration.
	tenantFreezeTime = 6 * time.Second
	// One in requestsPerUnknownKey requests has a key that no tenant has, and one in requestsPerMissingKey has no key.
	requestsPerUnknownKey, requestsPerMissingKey = 20, 20
	// keyMarker is a part of every key and occurs nowhere else, so that output can be searched for keys.
	keyMarker = "marked-key"
)

// keySearchPaths are the admin pages that must not contain any tenant's key.
var keySearchPaths = []string{"/local", "/metrics", "/status", "/tenants"}

// tenants holds the tenants' keys, which the scenario's operator replaces.
type tenants struct {
	mu            sync.Mutex                         // guards all below
	variant       int                                // number of the newest desired state, which its note contains
	rotating      [tenantCount]*invariants.KeyPeriod // each tenant's current key that is not permanent
	revokedKeys   []string                           // in the order of revocation
	onlyPermanent bool                               // whether callers only send permanent keys
}

func tenantName(tenant int) string { return fmt.Sprintf("tenant-%d", tenant) }

func permanentKey(tenant int) string { return fmt.Sprintf("%s-%d", keyMarker, tenant) }

// prepareTenants adds tenants to the layout's desired state, and makes callers send their keys.
func prepareTenants(r *Rehearsal) error {
	keys := &tenants{}
	r.tenants = keys
	for number := range tenantCount {
		r.History.RecordKeyPeriod(&invariants.KeyPeriod{Key: permanentKey(number), Tenant: tenantName(number), Permanent: true})
		keys.rotating[number] = r.newKey(number)
	}
	r.Load.TenantKey = keys.pickKey
	return r.applyTenants()
}

// newKey returns a new key of a tenant, valid from the next configuration, and records its period.
func (r *Rehearsal) newKey(tenant int) *invariants.KeyPeriod {
	period := &invariants.KeyPeriod{Key: fmt.Sprintf("%s-%d-%08x", keyMarker, tenant, rand.Uint32()), Tenant: tenantName(tenant), From: r.Clock.Now()}
	r.History.RecordKeyPeriod(period)
	return period
}

// content returns a desired state with the tenants' current keys. The routes of the backends' lookups require no key.
func (t *tenants) content(r *Rehearsal) ([]byte, error) {
	content, err := examples.Desired(r.Fleet.Layout.DesiredState)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.variant++
	var entries, routes []string
	for number, period := range t.rotating {
		entries = append(entries, fmt.Sprintf(`{"name": %q, "priority": %d, "keys": [%q, %q]}`, tenantName(number), number, permanentKey(number), period.Key))
	}
	for _, kind := range r.Fleet.Layout.LookupKinds() {
		routes = append(routes, fmt.Sprintf(`{"name": %q, "prefix": %q, "class": "read", "anonymous": true, "split": [{"service": %q, "weight": 1}]}`, kind.Name, kind.Path+"/", kind.Service))
	}
	added := fmt.Sprintf("{\"tenants\": [%s],\n\"routes\": [%s],\n", strings.Join(entries, ", "), strings.Join(routes, ", "))
	content = bytes.Replace(content, []byte("{"), []byte(added), 1)
	return bytes.Replace(content, []byte(`"note": "`), fmt.Appendf(nil, `"note": "keys %d. `, t.variant), 1), nil
}

// applyTenants applies a desired state with the tenants' current keys.
func (r *Rehearsal) applyTenants() error {
	content, err := r.tenants.content(r)
	if err != nil {
		return err
	}
	applied, err := r.Operator.Apply(content, "any", applyTimeout)
	if err != nil {
		return err
	}
	if applied.Outcome != "accepted" {
		return fmt.Errorf("the tenants' keys were not accepted: %v", applied)
	}
	return nil
}

// pickKey returns the key to send with a request; empty for none.
func (t *tenants) pickKey() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	tenant := rand.IntN(tenantCount)
	switch {
	case t.onlyPermanent:
		return permanentKey(tenant)
	case rand.IntN(requestsPerMissingKey) == 0:
		return ""
	case rand.IntN(requestsPerUnknownKey) == 0:
		return keyMarker + "-of-nobody"
	case len(t.revokedKeys) > 0 && rand.IntN(4) == 0:
		return t.revokedKeys[max(0, len(t.revokedKeys)-1-rand.IntN(2*tenantCount))]
	case rand.IntN(2) == 0:
		return t.rotating[tenant].Key
	default:
		return permanentKey(tenant)
	}
}

// rotateKey replaces a tenant's key by a new one, and records when the revocation of the old one was acknowledged.
func (r *Rehearsal) rotateKey(tenant int) error {
	replacement := r.newKey(tenant)
	r.tenants.mu.Lock()
	former := r.tenants.rotating[tenant]
	r.tenants.rotating[tenant] = replacement
	r.tenants.revokedKeys = append(r.tenants.revokedKeys, former.Key)
	r.tenants.mu.Unlock()
	if err := r.applyTenants(); err != nil {
		return err
	}
	acknowledged := r.Clock.Now()
	r.History.Update(func() { former.RevokedAt = acknowledged })
	return nil
}

// revokeKeys replaces keys while proxies are killed and frozen, and then searches the processes' admin pages for keys.
func revokeKeys(r *Rehearsal) error {
	for began, turn := time.Now(), 0; r.withinDuration(began); turn++ {
		victim := randomItem(r.Fleet.Proxies)
		disrupted := make(chan struct{})
		go func() {
			defer close(disrupted)
			r.disruptProxy(victim, turn%2 == 0)
		}()
		for tenant := range tenantCount {
			r.Wait(rotationInterval)
			if err := r.rotateKey(tenant); err != nil {
				return err
			}
		}
		<-disrupted
	}
	if err := fleet.AwaitReady(r.Fleet.Proxies, readyTimeout); err != nil {
		return err
	}
	r.tenants.mu.Lock()
	r.tenants.onlyPermanent = true
	r.tenants.mu.Unlock()
	r.awaitRecovery()
	r.searchPagesForKeys()
	return nil
}

// disruptProxy freezes a proxy for longer than its lease, or kills and restarts it.
func (r *Rehearsal) disruptProxy(victim *fleet.Process, freeze bool) {
	if freeze {
		victim.Signal(syscall.SIGSTOP)
		r.Wait(tenantFreezeTime)
		victim.Signal(syscall.SIGCONT)
		return
	}
	victim.Kill()
	r.restartAfter(victim, time.Second)
}

// searchPagesForKeys adds a finding for each admin page that contains a tenant's key.
func (r *Rehearsal) searchPagesForKeys() {
	searched := 0
	for _, process := range r.Fleet.All() {
		for _, path := range keySearchPaths {
			content, err := r.readPage(process, path)
			if err != nil {
				r.Logf("%s %s: %v", process.Name, path, err)
				continue
			}
			searched += len(content)
			if bytes.Contains(content, []byte(keyMarker)) {
				r.AddFinding("%s discloses a tenant's key at %s", process.Name, path)
			}
		}
	}
	if searched == 0 {
		r.AddFinding("no page could be read to search it for keys")
	}
}

func (r *Rehearsal) readPage(process *fleet.Process, path string) ([]byte, error) {
	response, err := r.Operator.Client.Get("http://" + process.AdminAddress + path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}
