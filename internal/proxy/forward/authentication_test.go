package forward

import (
	"testing"

	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/registry/idempotency"
	"snowflow/internal/transport/wire"
)

// compileTenants returns a configuration with the service of forwardTest, the given tenants (a JSON list) and an anonymous route.
func compileTenants(t *testing.T, version uint64, tenants string) *config.Snapshot {
	t.Helper()
	state, faults := config.Parse([]byte(`{"groups":[{"name":"field","limits":{"cutoffMicros":1000000},"retry":{"mostTries":3,"budgetRatio":0.2,"allowance":2,"backoffMicros":10000},
"services":[{"name":"forms","paths":[{"method":"GET","prefix":"/forms","class":"read"},{"method":"POST","prefix":"/forms","class":"once"}]}]}],
"routes":[{"name":"open","prefix":"/open","class":"read","anonymous":true,"priority":4,"split":[{"service":"forms","weight":1}]}],"tenants":[` + tenants + `]}`))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return config.Compile(state, version, "")
}

const (
	twoTenants       = `{"name":"north","keys":["n-1","n-2"],"priority":2},{"name":"south","keys":["s-1"]}`
	northWithoutKeys = `{"name":"north","priority":2},{"name":"south","keys":["s-1"]}`
)

// withKeys sets the tenant keys of a request.
func withKeys(req *request.Request, keys ...string) *request.Request {
	req.TenantKeys = keys
	return req
}

// anonymousRead returns a request for the anonymous route.
func anonymousRead() *request.Request {
	return &request.Request{ID: "r", Method: "GET", Target: "/open/1"}
}

// TestTenantOfRequest checks which requests are forwarded, as which tenant, and with what priority and idempotency scope.
func TestTenantOfRequest(t *testing.T) {
	const tenantPriority = 1 << routePriorityBits // an admission priority for a tenant priority of 1
	for name, test := range map[string]struct {
		request      *request.Request
		limited      bool // tenant keys need a lease
		outOfContact bool
		lease        monotonic.Micros
		cause        apierror.Cause // 0: it is forwarded
		tenant       string
		priority     uint32
		scope        string // empty: not checked
		formerScope  string
	}{
		"a valid key":                            {request: withKeys(read(), "n-2"), tenant: "north", priority: 2 * tenantPriority},
		"a key of another tenant":                {request: withKeys(read(), "s-1"), tenant: "south"},
		"with an idempotency key":                {request: withKeys(submission(), "n-1"), tenant: "north", priority: 2 * tenantPriority, scope: "tenant\nnorth\n/forms/1\nkey", formerScope: "/forms/1\nkey"},
		"an anonymous route":                     {request: anonymousRead(), priority: 4},
		"a key on an anonymous route":            {request: withKeys(anonymousRead(), "n-1"), priority: 4},
		"an unknown key on an anonymous route":   {request: withKeys(anonymousRead(), "x"), priority: 4},
		"no key":                                 {request: read(), cause: apierror.Unauthenticated},
		"an unknown key":                         {request: withKeys(read(), "n-3"), cause: apierror.Unauthenticated},
		"an empty key":                           {request: withKeys(read(), ""), cause: apierror.Unauthenticated},
		"two keys":                               {request: withKeys(read(), "n-1", "s-1"), cause: apierror.Unauthenticated},
		"one key twice":                          {request: withKeys(read(), "n-1", "n-1"), cause: apierror.Unauthenticated},
		"a lease that lasts":                     {request: withKeys(read(), "n-1"), limited: true, lease: ms, tenant: "north", priority: 2 * tenantPriority},
		"a lease that has ended":                 {request: withKeys(read(), "n-1"), limited: true, cause: apierror.KeyLeaseExpired},
		"anonymous, without a lease":             {request: anonymousRead(), limited: true, priority: 4},
		"out of contact, a known key":            {request: withKeys(read(), "n-1"), outOfContact: true, tenant: "north", priority: 2 * tenantPriority},
		"out of contact, an unknown key":         {request: withKeys(read(), "n-3"), outOfContact: true, cause: apierror.KeyLeaseExpired},
		"an unknown key with an idempotency key": {request: withKeys(submission(), "n-3"), cause: apierror.Unauthenticated},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(ft *forwardTest) {
				ft.config.snapshot = compileTenants(t, 7, twoTenants)
				ft.config.limited, ft.config.keyLease, ft.config.outOfContact = test.limited, test.lease, test.outOfContact
				if test.cause == 0 {
					ft.replies = []reply{succeed}
				}
				response, fault := ft.forwarder.Forward(test.request)
				ft.expectFault(response, fault, test.cause, apierror.NotRun)
				if len(ft.attempts) != len(ft.replies) || len(ft.voids) > 0 {
					t.Fatalf("unexpected number of attempts (%d) or of requests to void a claim (%d)", len(ft.attempts), len(ft.voids))
				}
				if test.cause != 0 {
					return
				}
				sent := ft.attempts[0]
				if sent.Tenant != test.tenant || sent.Priority != test.priority || sent.FormerScope != test.formerScope || test.scope != "" && sent.Scope != test.scope {
					t.Errorf("forwarded as %q with priority %d, scope %q, former scope %q", sent.Tenant, sent.Priority, sent.Scope, sent.FormerScope)
				}
				if sent.KeyLease != int64(test.lease) {
					t.Errorf("forwarded with a key lease of %d us", sent.KeyLease)
				}
			})
		})
	}
}

// TestKeyRevokedBetweenAttempts guards against a retry with a tenant key that was revoked, or whose lease expired, after the first
// attempt.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		first   reply
		change  func(t *testing.T, config *staticConfig)
		cause   apierror.Cause
		verdict apierror.Verdict
	}{
		"revoked, not run": {reject(apierror.NotExecuted), func(t *testing.T, config *staticConfig) {
			config.snapshot = compileTenants(t, 8, northWithoutKeys)
		}, apierror.Unauthenticated, apierror.NotRun},
		"revoked, may have run": {lose, func(t *testing.T, config *staticConfig) {
			config.snapshot = compileTenants(t, 8, northWithoutKeys)
		}, apierror.Unauthenticated, apierror.MayHaveRun},
		"given to another tenant": {reject(apierror.NotExecuted), func(t *testing.T, config *staticConfig) {
			config.snapshot = compileTenants(t, 8, `{"name":"north"},{"name":"south","keys":["n-1"]}`)
		}, apierror.VersionOlder, apierror.NotRun},
		"the lease has ended": {reject(apierror.NotExecuted), func(_ *testing.T, config *staticConfig) {
			config.keyLease = 0
		}, apierror.KeyLeaseExpired, apierror.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(ft *forwardTest) {
				ft.config.snapshot, ft.config.limited, ft.config.keyLease = compileTenants(t, 7, twoTenants), true, ms
				ft.replies = []reply{func(message *wire.ForwardRequest, response *wire.ForwardResponse) error {
					test.change(t, ft.config)
					return test.first(message, response)
				}}
				response, fault := ft.forwarder.Forward(withKeys(read(), "n-1"))
				ft.expectFault(response, fault, test.cause, test.verdict)
			})
		})
	}
}

// TestVerdictOfUnknownTenant checks that a request with an idempotency key and a tenant key never gets the verdict NotRun before its
// tenant, and so the scope of the idempotency key, is known.
func TestVerdictOfUnknownTenant(t *testing.T) {
	runForwardTest(t, func(ft *forwardTest) {
		ft.voidOutcome = idempotency.Voided
		ft.config.snapshot = nil
		response, fault := ft.forwarder.Forward(withKeys(submission(), "n-1"))
		ft.expectFault(response, fault, apierror.NotReady, apierror.MayHaveRun)
		response, fault = ft.forwarder.Forward(submission())
		ft.expectFault(response, fault, apierror.NotReady, apierror.NotRun)
	})
}
