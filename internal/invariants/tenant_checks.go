package invariants

import "snowflow/internal/monotonic"

// KeyPeriod is a period in which a tenant's key was valid. A key that is removed and later added again has two periods.
type KeyPeriod struct {
	Key, Tenant string
	// From is when the first configuration with the key was submitted.
	From monotonic.Micros
	// RevokedAt is when the first configuration without the key was acknowledged; zero while there is none.
	RevokedAt monotonic.Micros
	// Permanent is set if every configuration of the run contains the key.
	Permanent bool
}

// RecordKeyPeriod adds a key's period. Its end must be set in Update.
func (h *History) RecordKeyPeriod(period *KeyPeriod) { record(h, &h.KeyPeriods, period) }

// RevocationTimeout returns the check that finds requests that ran without a valid tenant key, as another tenant, or with a key that
// had been revoked for longer than the timeout when they were sent. It also finds tenant keys that reached a backend, and rejections
// of requests with a permanent key.
func RevocationTimeout(timeout monotonic.Micros) Check {
	return Check{"tenant keys", func(history *History) ([]Finding, int) { return checkTenantKeys(history, timeout) }}
}

// causeUnauthenticated is the mesh's numeric cause for rejecting a request without a valid tenant key.
const causeUnauthenticated = 106

func checkTenantKeys(history *History, timeout monotonic.Micros) (findings []Finding, examined int) {
	periods, attempts := map[string][]*KeyPeriod{}, map[string]*Attempt{}
	for _, period := range history.KeyPeriods {
		periods[period.Key] = append(periods[period.Key], period)
	}
	for _, attempt := range history.Attempts {
		attempts[attempt.ID] = attempt
		if attempt.RejectedByMesh && attempt.Cause == causeUnauthenticated && isPermanent(periods[attempt.TenantKey]) {
			findings = append(findings, newFinding("%s was rejected by %s, although every configuration contains its key", attempt.ID, attempt.Proxy))
		}
	}
	for _, request := range history.BackendRequests {
		attempt := attempts[request.AttemptID]
		if request.TenantKey != "" {
			findings = append(findings, newFinding("%s reached a backend together with a tenant's key", request.AttemptID))
		}
		if attempt == nil || attempt.Anonymous {
			continue
		}
		examined++
		if reason := tenantKeyViolation(periods[attempt.TenantKey], attempt, request, timeout); reason != "" {
			findings = append(findings, newFinding("%s, sent at %d, ran at %d as tenant %q: %s", request.AttemptID, attempt.Sent, request.At, request.Tenant, reason))
		}
	}
	return findings, examined
}

func isPermanent(periods []*KeyPeriod) bool { return len(periods) == 1 && periods[0].Permanent }

// tenantKeyViolation returns why a request must not have run with its key, or an empty string if it may have.
func tenantKeyViolation(periods []*KeyPeriod, attempt *Attempt, request BackendRequest, timeout monotonic.Micros) string {
	reason := "no configuration contained its key"
	for _, period := range periods {
		switch {
		case period.Tenant != request.Tenant:
			reason = "its key never belonged to that tenant"
		case request.At < period.From:
			reason = "its key was not yet valid"
		case period.RevokedAt > 0 && attempt.Sent > period.RevokedAt+timeout:
			reason = "its key had been revoked"
		default:
			return ""
		}
	}
	return reason
}
