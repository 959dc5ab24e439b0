package invariants

import "snowflow/internal/monotonic"

// KeyPeriod is the time for which a key of a tenant was in force. Operators that let a key go and come back record two periods.
type KeyPeriod struct {
	Key, Tenant string
	// From is when the first configuration with the key was submitted.
	From monotonic.Micros
	// RevokedAt is when the first configuration without the key was acknowledged; zero while there is none.
	RevokedAt monotonic.Micros
	// Permanent is set if each configuration of the run has the key.
	Permanent bool
}

// RecordKeyPeriod adds a key's period. Its end is set by Update.
func (h *History) RecordKeyPeriod(period *KeyPeriod) { record(h, &h.KeyPeriods, period) }

// RevocationTimeout returns the check that finds requests which ran without the key of a tenant, as another tenant's, or by a key that
// had been taken away for longer than the timeout when they were sent. It also finds rejections of keys that each configuration has.
func RevocationTimeout(timeout monotonic.Micros) Check {
	return Check{"tenant keys", func(history *History) ([]Finding, int) { return checkTenantKeys(history, timeout) }}
}

// causeUnauthenticated is the number of the mesh's cause for a request without a tenant's key in force.
const causeUnauthenticated = 106

func checkTenantKeys(history *History, timeout monotonic.Micros) (findings []Finding, seen int) {
	periods, attempts := map[string][]*KeyPeriod{}, map[string]*Attempt{}
	for _, period := range history.KeyPeriods {
		periods[period.Key] = append(periods[period.Key], period)
	}
	for _, attempt := range history.Attempts {
		attempts[attempt.ID] = attempt
		if attempt.RejectedByMesh && attempt.Cause == causeUnauthenticated && isPermanent(periods[attempt.TenantKey]) {
			findings = append(findings, newFinding("%s was rejected at %s, though each configuration has its key", attempt.ID, attempt.Proxy))
		}
	}
	for _, run := range history.BackendRequests {
		attempt := attempts[run.Attempt]
		if run.TenantKey != "" {
			findings = append(findings, newFinding("%s ran at a backend that was shown a tenant's key", run.Attempt))
		}
		if attempt == nil || attempt.Anonymous {
			continue
		}
		seen++
		if why := whyNotAllowed(periods[attempt.TenantKey], attempt, run, timeout); why != "" {
			findings = append(findings, newFinding("%s, sent at %d, ran at %d as tenant %q: %s", run.Attempt, attempt.Sent, run.At, run.Tenant, why))
		}
	}
	return findings, seen
}

func isPermanent(periods []*KeyPeriod) bool { return len(periods) == 1 && periods[0].Permanent }

// whyNotAllowed returns why a request's key doesn't allow that it ran, or nothing if it does.
func whyNotAllowed(periods []*KeyPeriod, attempt *Attempt, run BackendRequest, timeout monotonic.Micros) string {
	why := "no configuration ever had its key"
	for _, period := range periods {
		switch {
		case period.Tenant != run.Tenant:
			why = "its key was never that tenant's"
		case run.At < period.From:
			why = "its key wasn't in force yet"
		case period.RevokedAt > 0 && attempt.Sent > period.RevokedAt+timeout:
			why = "its key had been taken away"
		default:
			return ""
		}
	}
	return why
}
