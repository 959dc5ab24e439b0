package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/tenantstats"
)

// tenantScopePrefix begins the idempotency scope of a tenant's request. It must not change: scopes are sent and stored.
const tenantScopePrefix = "tenant\n"

// routePriorityBits is the number of low bits of an admission priority that hold the priority of the route.
const routePriorityBits = 16

// maxRoutePriority and maxTenantPriority are the largest values that fit into an admission priority. Larger ones are reduced to these.
const (
	maxRoutePriority  = 1<<routePriorityBits - 1
	maxTenantPriority = 1<<(32-routePriorityBits) - 1
)

// authenticate finds the tenant by the key that the request carries, and makes the idempotency scope specific to that tenant.
func (f *Forwarder) authenticate(exchange *Exchange) *apierror.Error {
	tenant, fault := f.findTenant(exchange.Snapshot, &exchange.Route, exchange.Request.TenantKeys)
	if fault != nil {
		exchange.IdempotencyScope = "" // without a tenant the verdict applies to this request only
		return fault
	}
	exchange.Tenant, exchange.authenticatedBy = tenant, exchange.Snapshot
	if tenant != nil && exchange.IdempotencyScope != "" {
		exchange.FormerScope = exchange.IdempotencyScope
		exchange.IdempotencyScope = tenantScopePrefix + tenant.Name + "\n" + exchange.IdempotencyScope
	}
	return nil
}

// authenticateAgain checks the request's tenant key against the newest configuration right before an attempt, since the key may have
// been revoked.
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

// findTenant returns the tenant to which a request's key belongs, nil if the route needs none.
func (f *Forwarder) findTenant(snapshot *config.Snapshot, route *config.Route, keys []string) (*config.Tenant, *apierror.Error) {
	if !snapshot.HasTenants() || route.Anonymous {
		return nil, nil
	}
	if len(keys) != 1 {
		f.tenants.CountRefusal(refusalReason(len(keys)))
		return nil, apierror.New(apierror.Unauthenticated, apierror.NotRun, "the request has %d tenant keys instead of one", len(keys))
	}
	if remaining, limited := f.config.ConfigClient.KeyLease(); limited && remaining <= 0 {
		return nil, f.keyLeaseExpired()
	}
	tenant := snapshot.FindTenant(keys[0])
	if tenant != nil {
		return tenant, nil
	}
	if !f.config.ConfigClient.InContact() {
		return nil, f.keyLeaseExpired() // a newer configuration may have the key
	}
	f.tenants.CountRefusal(tenantstats.UnknownKey)
	return nil, apierror.New(apierror.Unauthenticated, apierror.NotRun, "the tenant key belongs to no tenant")
}

// refusalReason returns the reason for refusing a request that doesn't carry exactly one tenant key.
func refusalReason(keys int) tenantstats.Reason {
	if keys == 0 {
		return tenantstats.NoKey
	}
	return tenantstats.SeveralKeys
}

// checkKeyLease rejects a tenant's request if the lease on the tenant keys has expired.
func (f *Forwarder) checkKeyLease(exchange *Exchange) *apierror.Error {
	if remaining, limited := f.config.ConfigClient.KeyLease(); exchange.Tenant != nil && limited && remaining <= 0 {
		return f.keyLeaseExpired()
	}
	return nil
}

func (f *Forwarder) keyLeaseExpired() *apierror.Error {
	f.tenants.CountRefusal(tenantstats.LeaseExpired)
	return apierror.New(apierror.KeyLeaseExpired, apierror.NotRun, "this proxy is out of contact and can't tell which tenant keys are valid")
}

// tenantName returns the name of a tenant, empty for nil.
func tenantName(tenant *config.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// admissionPriority returns the priority by which requests are admitted under load, the lowest first. It orders them by the priority
// of the tenant, then by that of the route. Requests without a tenant go first, since most are part of a request that already runs.
func (e *Exchange) admissionPriority() uint32 {
	priority := min(e.Route.Priority, maxRoutePriority)
	if e.Tenant != nil {
		priority |= min(e.Tenant.Priority, maxTenantPriority) << routePriorityBits
	}
	return priority
}

// keyLease returns for how much longer an attempt of the request may be handed to a backend; 0 if the request needs no lease.
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
