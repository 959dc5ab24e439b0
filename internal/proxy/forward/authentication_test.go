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

// compileTenants returns a configuration of forwardTest's service with tenants, and with an anonymous route.
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
	northAndSouth = `{"name":"north","keys":["n-1","n-2"],"priority":2},{"name":"south","keys":["s-1"]}`
	southAlone    = `{"name":"north","priority":2},{"name":"south","keys":["s-1"]}`
)

// withKeys adds tenants' keys to a request.
func withKeys(req *request.Request, keys ...string) *request.Request {
	req.TenantKeys = keys
	return req
}

func openRead() *request.Request {
	return &request.Request{ID: "r", Method: "GET", Target: "/open/1"}
}

// TestTenantOfRequest: whose requests are admitted, as which tenant, and with what rank and idempotency scope they are forwarded.
func TestTenantOfRequest(t *testing.T) {
	const tenantRank = 1 << tenantRankWidth
	for name, test := range map[string]struct {
		request *request.Request
		limited bool
		expired bool // the proxy is out of contact
		lease   monotonic.Micros
		cause   apierror.Cause // 0: it is forwarded
		tenant  string
		rank    uint32
		scope   string
		former  string
	}{
		"a key in force":                {request: withKeys(read(), "n-2"), tenant: "north", rank: 2 * tenantRank},
		"another tenant's":              {request: withKeys(read(), "s-1"), tenant: "south"},
		"with an idempotency key":       {request: withKeys(submission(), "n-1"), tenant: "north", rank: 2 * tenantRank, scope: "tenant\nnorth\n/forms/1\nkey", former: "/forms/1\nkey"},
		"an anonymous route":            {request: openRead(), rank: 4},
		"a key on an anonymous route":   {request: withKeys(openRead(), "n-1"), rank: 4},
		"an unknown key there":          {request: withKeys(openRead(), "x"), rank: 4},
		"no key":                        {request: read(), cause: apierror.Unauthenticated},
		"an unknown key":                {request: withKeys(read(), "n-3"), cause: apierror.Unauthenticated},
		"an empty key":                  {request: withKeys(read(), ""), cause: apierror.Unauthenticated},
		"two keys":                      {request: withKeys(read(), "n-1", "s-1"), cause: apierror.Unauthenticated},
		"one key twice":                 {request: withKeys(read(), "n-1", "n-1"), cause: apierror.Unauthenticated},
		"a lease that lasts":            {request: withKeys(read(), "n-1"), limited: true, lease: ms, tenant: "north", rank: 2 * tenantRank},
		"a lease that has ended":        {request: withKeys(read(), "n-1"), limited: true, cause: apierror.KeyLeaseExpired},
		"anonymous, without a lease":    {request: openRead(), limited: true, rank: 4},
		"out of contact, a known key":   {request: withKeys(read(), "n-1"), expired: true, tenant: "north", rank: 2 * tenantRank},
		"out of contact, an unknown":    {request: withKeys(read(), "n-3"), expired: true, cause: apierror.KeyLeaseExpired},
		"an unknown key of a fenced op": {request: withKeys(submission(), "n-3"), cause: apierror.Unauthenticated},
	} {
		t.Run(name, func(t *testing.T) {
			runForwardTest(t, func(ft *forwardTest) {
				ft.config.snapshot = compileTenants(t, 7, northAndSouth)
				ft.config.limited, ft.config.keyLease, ft.config.stale = test.limited, test.lease, test.expired
				if test.cause == 0 {
					ft.replies = []reply{succeed}
				}
				response, fault := ft.forwarder.Forward(test.request)
				ft.expectFault(response, fault, test.cause, apierror.NotRun)
				if len(ft.attempts) != len(ft.replies) || len(ft.voids) > 0 {
					t.Fatalf("%d attempts, %d voids", len(ft.attempts), len(ft.voids))
				}
				if test.cause != 0 {
					return
				}
				sent := ft.attempts[0]
				if sent.Tenant != test.tenant || sent.Priority != test.rank || sent.FormerScope != test.former || test.scope != "" && sent.Scope != test.scope {
					t.Errorf("forwarded as %q with rank %d, scope %q, former %q", sent.Tenant, sent.Priority, sent.Scope, sent.FormerScope)
				}
				if sent.KeyLease != int64(test.lease) {
					t.Errorf("a lease of %d us", sent.KeyLease)
				}
			})
		})
	}
}

// TestKeyRevokedBetweenAttempts guards against a retry by a key that was taken away after the first attempt.
func TestKeyRevokedBetweenAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		first   reply
		change  func(t *testing.T, config *staticConfig)
		cause   apierror.Cause
		verdict apierror.Verdict
	}{
		"revoked, not run": {reject(apierror.NotExecuted), func(t *testing.T, config *staticConfig) {
			config.snapshot = compileTenants(t, 8, southAlone)
		}, apierror.Unauthenticated, apierror.NotRun},
		"revoked, may have run": {lose, func(t *testing.T, config *staticConfig) {
			config.snapshot = compileTenants(t, 8, southAlone)
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
				ft.config.snapshot, ft.config.limited, ft.config.keyLease = compileTenants(t, 7, northAndSouth), true, ms
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

// TestVerdictOfUnknownTenant: while it isn't known whose idempotency key a request has, no verdict on that key says that nothing ran.
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
