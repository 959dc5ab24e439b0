package invariants_test

import (
	"slices"
	"testing"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
)

// TestRevocationTimeout runs the check on short histories, each with one attempt and at most one request that reached a backend.
func TestRevocationTimeout(t *testing.T) {
	const second, timeout = monotonic.Second, 5 * monotonic.Second
	rotated := &invariants.KeyPeriod{Key: "key", Tenant: "north", From: 10 * second, RevokedAt: 20 * second}
	permanent := &invariants.KeyPeriod{Key: "stays", Tenant: "south", Permanent: true}
	for _, test := range []struct {
		name     string
		attempt  invariants.Attempt
		request  *invariants.BackendRequest
		findings int
	}{
		{"in force", invariants.Attempt{TenantKey: "key", Sent: 12 * second}, &invariants.BackendRequest{At: 13 * second, Tenant: "north"}, 0},
		{"not yet in force", invariants.Attempt{TenantKey: "key", Sent: 8 * second}, &invariants.BackendRequest{At: 9 * second, Tenant: "north"}, 1},
		{"sent within the timeout", invariants.Attempt{TenantKey: "key", Sent: 25 * second}, &invariants.BackendRequest{At: 26 * second, Tenant: "north"}, 0},
		{"sent after the timeout", invariants.Attempt{TenantKey: "key", Sent: 25*second + 1}, &invariants.BackendRequest{At: 26 * second, Tenant: "north"}, 1},
		{"as another tenant", invariants.Attempt{TenantKey: "key", Sent: 12 * second}, &invariants.BackendRequest{At: 13 * second, Tenant: "south"}, 1},
		{"an unknown key", invariants.Attempt{TenantKey: "other", Sent: 12 * second}, &invariants.BackendRequest{At: 13 * second, Tenant: "north"}, 1},
		{"no key", invariants.Attempt{Sent: 12 * second}, &invariants.BackendRequest{At: 13 * second}, 1},
		{"no key on an anonymous route", invariants.Attempt{Anonymous: true, Sent: 12 * second}, &invariants.BackendRequest{At: 13 * second}, 0},
		{"a key shown to a backend", invariants.Attempt{TenantKey: "key", Sent: 12 * second}, &invariants.BackendRequest{At: 13 * second, Tenant: "north", TenantKey: "key"}, 1},
		{"a key shown on an anonymous route", invariants.Attempt{Anonymous: true, Sent: 12 * second}, &invariants.BackendRequest{At: 13 * second, TenantKey: "key"}, 1},
		{"a permanent key refused", invariants.Attempt{TenantKey: "stays", Sent: 12 * second, RejectedByMesh: true, Cause: 106}, nil, 1},
		{"a key taken away refused", invariants.Attempt{TenantKey: "key", Sent: 30 * second, RejectedByMesh: true, Cause: 106}, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			history := &invariants.History{}
			history.RecordKeyPeriod(rotated)
			history.RecordKeyPeriod(permanent)
			history.RecordAttempt(&test.attempt)
			if test.request != nil {
				history.RecordBackendRequest(*test.request)
			}
			findings, _ := invariants.RevocationTimeout(timeout).Run(history)
			// Some histories have no request to examine. The finding that says so does not count here.
			findings = slices.DeleteFunc(findings, func(finding invariants.Finding) bool { return finding.NothingExamined })
			if len(findings) != test.findings {
				t.Errorf("%d findings, expected %d: %v", len(findings), test.findings, findings)
			}
		})
	}
}
