package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/tenantstats"
)

// tenantScopePrefix begins the idempotency scope of a tenant's request. Scopes are sent and stored.
const tenantScopePrefix = "tenant\n"

// tenantRankWidth is the number of bits that the priority of a route takes in a rank.
const tenantRankWidth = 16

// maxTenantPriority and maxRoutePriority bound the priorities that a rank tells apart; larger ones count as these.
const (
	maxRoutePriority  = 1<<tenantRankWidth - 1
	maxTenantPriority = 1<<(32-tenantRankWidth) - 1
)

// authenticate finds the tenant whose key the request bears, and makes its idempotency key one of that tenant alone.
func (f *Forwarder) authenticate(exchange *Exchange) *apierror.Error {
	tenant, fault := f.findTenant(exchange.Snapshot, &exchange.Route, exchange.Request.TenantKeys)
	if fault != nil {
		exchange.IdempotencyScope = "" // its key is of nobody, so that the verdict is one on this request alone
		return fault
	}
	exchange.Tenant, exchange.authenticatedBy = tenant, exchange.Snapshot
	if tenant != nil && exchange.IdempotencyScope != "" {
		exchange.FormerScope = exchange.IdempotencyScope
		exchange.IdempotencyScope = tenantScopePrefix + tenant.Name + "\n" + exchange.IdempotencyScope
	}
	return nil
}

// authenticateAgain judges a request's key by the newest version, right before an attempt.
func (f *Forwarder) authenticateAgain(exchange *Exchange, newest *config.Snapshot) *apierror.Error {
	if newest == exchange.authenticatedBy && exchange.Route.Anonymous == (exchange.Tenant == nil) {
		return f.checkKeyLease(exchange)
	}
	tenant, fault := f.findTenant(newest, &exchange.Route, exchange.Request.TenantKeys)
	if fault != nil {
		return fault
	}
	if tenantName(tenant) != tenantName(exchange.Tenant) {
		return apierror.New(apierror.VersionOlder, apierror.NotRun, "the tenant of the request's key has changed")
	}
	exchange.Tenant, exchange.authenticatedBy = tenant, newest
	return nil
}

// findTenant returns the tenant whose key a request for a route bears, nil if the request needs none.
func (f *Forwarder) findTenant(snapshot *config.Snapshot, route *config.Route, keys []string) (*config.Tenant, *apierror.Error) {
	if !snapshot.HasTenants() || route.Anonymous {
		return nil, nil
	}
	if len(keys) != 1 {
		f.tenants.CountRefusal(reasonOf(len(keys)))
		return nil, apierror.New(apierror.Unauthenticated, apierror.NotRun, "it bears %d keys in place of one", len(keys))
	}
	if remaining, limited := f.config.ConfigClient.KeyLease(); limited && remaining <= 0 {
		return nil, f.keyLeaseExpired()
	}
	tenant := snapshot.FindTenant(keys[0])
	if tenant != nil {
		return tenant, nil
	}
	if !f.config.ConfigClient.InContact() {
		return nil, f.keyLeaseExpired() // a newer version may have the key
	}
	f.tenants.CountRefusal(tenantstats.UnknownKey)
	return nil, apierror.New(apierror.Unauthenticated, apierror.NotRun, "its key is of no tenant")
}

// reasonOf returns why a request that bears another number of keys than one is refused.
func reasonOf(keys int) tenantstats.Reason {
	if keys == 0 {
		return tenantstats.NoKey
	}
	return tenantstats.SeveralKeys
}

// checkKeyLease rejects a tenant's request once the lease on the keys has ended.
func (f *Forwarder) checkKeyLease(exchange *Exchange) *apierror.Error {
	if remaining, limited := f.config.ConfigClient.KeyLease(); exchange.Tenant != nil && limited && remaining <= 0 {
		return f.keyLeaseExpired()
	}
	return nil
}

func (f *Forwarder) keyLeaseExpired() *apierror.Error {
	f.tenants.CountRefusal(tenantstats.LeaseExpired)
	return apierror.New(apierror.KeyLeaseExpired, apierror.NotRun, "this proxy is out of contact and can't tell which keys are in force")
}

// tenantName returns the name of a tenant, empty for nil.
func tenantName(tenant *config.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// rank orders requests for admission under load, the lowest first: by the priority of the tenant, then by that of the route. A request
// without a tenant goes before those of tenants: it is mostly part of one that already runs.
func (e *Exchange) rank() uint32 {
	rank := min(e.Route.Priority, maxRoutePriority)
	if e.Tenant != nil {
		rank |= min(e.Tenant.Priority, maxTenantPriority) << tenantRankWidth
	}
	return rank
}

// keyLease returns how long an attempt of the request may still be handed to its backend, 0 if the request needs no lease.
func (f *Forwarder) keyLease(exchange *Exchange) monotonic.Micros {
	if exchange.Tenant == nil {
		return 0
	}
	remaining, limited := f.config.ConfigClient.KeyLease()
	if !limited {
		return 0
	}
	return max(1, remaining)
}
