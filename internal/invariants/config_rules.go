package invariants

import "snowflow/internal/monotonic"

// checkVersionsMonotonic is rule 6: a request that is sent later than the propagation limit after a version's acknowledgement
// is handled by that version or a newer one. And no proxy serves by an older version than before, over its restarts too.
func checkVersionsMonotonic(history *History) (findings []Finding, seen int) {
	for _, attempt := range history.Attempts {
		if attempt.Version == 0 {
			continue
		}
		seen++
		if required := history.requiredVersion(attempt.Sent); attempt.Version < required {
			findings = append(findings, ruleViolation(ruleVersions, "%s was sent at %d and handled by version %d; %d was acknowledged more than 2 s before",
				attempt.ID, attempt.Sent, attempt.Version, required))
		}
	}
	highest := map[string]uint64{}
	for _, active := range history.ActiveConfigs {
		if active.Version < highest[active.Proxy] {
			findings = append(findings, ruleViolation(ruleVersions, "%s served by version %d at %d, and by %d before",
				active.Proxy, active.Version, active.At, highest[active.Proxy]))
		}
		highest[active.Proxy] = max(highest[active.Proxy], active.Version)
	}
	return findings, seen
}

// requiredVersion returns the oldest version that may be in use at a time: the newest one whose acknowledgement is more than
// the propagation limit ago. It is zero before there is one.
func (h *History) requiredVersion(at monotonic.Micros) (version uint64) {
	for _, applied := range h.AppliedConfigs {
		if applied.accepted() && applied.At+propagationLimit < at {
			version = max(version, applied.Version)
		}
	}
	return version
}

// checkConfigDurability is rule 7: no invalid configuration is accepted, no version stands for two of them, and each accepted
// one reads back unchanged unless newer ones have replaced it among those retained.
func checkConfigDurability(history *History) (findings []Finding, seen int) {
	stored, oldest := map[uint64]string{}, uint64(0)
	for index, read := range history.ReadBack {
		stored[read.Version] = read.Digest
		if index == 0 || read.Version < oldest {
			oldest = read.Version
		}
	}
	discarded := func(version uint64) bool {
		return history.RetainedVersions > 0 && len(history.ReadBack) >= history.RetainedVersions && version < oldest
	}
	digests := map[uint64]string{}
	for _, applied := range history.AppliedConfigs {
		seen++
		if !applied.accepted() {
			continue
		}
		if !applied.Valid {
			findings = append(findings, ruleViolation(ruleConfigDurability, "an invalid configuration was accepted as version %d", applied.Version))
		}
		if other, twice := digests[applied.Version]; twice && other != applied.Digest {
			findings = append(findings, ruleViolation(ruleConfigDurability, "version %d was given to two configurations", applied.Version))
		}
		digests[applied.Version] = applied.Digest
		if history.ReadBackComplete && stored[applied.Version] != applied.Digest && !discarded(applied.Version) {
			findings = append(findings, ruleViolation(ruleConfigDurability, "version %d was accepted and reads back as %q", applied.Version, stored[applied.Version]))
		}
	}
	return findings, seen
}
