package invariants

import "snowflow/internal/monotonic"

// checkVersionsMonotonic is rule 6: a request that is sent after the propagation limit has passed since a version's acknowledgement
// is handled with that version or a newer one. No proxy ever goes back to an older version, even across restarts.
func checkVersionsMonotonic(history *History) (findings []Finding, examined int) {
	for _, attempt := range history.Attempts {
		if attempt.Version == 0 {
			continue
		}
		examined++
		if required := history.requiredVersion(attempt.Sent); attempt.Version < required {
			findings = append(findings, ruleViolation(ruleVersions, "%s was sent at %d and handled with version %d; %d had been acknowledged more than 2 s before",
				attempt.ID, attempt.Sent, attempt.Version, required))
		}
	}
	highest := map[string]uint64{}
	for _, active := range history.ActiveConfigs {
		if active.Version < highest[active.Proxy] {
			findings = append(findings, ruleViolation(ruleVersions, "%s used version %d at %d, but version %d before",
				active.Proxy, active.Version, active.At, highest[active.Proxy]))
		}
		highest[active.Proxy] = max(highest[active.Proxy], active.Version)
	}
	return findings, examined
}

// requiredVersion returns the oldest version that may still be in use at a time: the newest one that was acknowledged longer ago than
// the propagation limit, or zero if there is none.
func (h *History) requiredVersion(at monotonic.Micros) (version uint64) {
	for _, applied := range h.AppliedConfigs {
		if applied.accepted() && applied.At+propagationLimit < at {
			version = max(version, applied.Version)
		}
	}
	return version
}

// checkConfigDurability is rule 7: no invalid configuration is accepted, no version is assigned to two configurations, and each
// accepted configuration reads back unchanged, unless it is older than the retained ones.
func checkConfigDurability(history *History) (findings []Finding, examined int) {
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
		examined++
		if !applied.accepted() {
			continue
		}
		if !applied.Valid {
			findings = append(findings, ruleViolation(ruleConfigDurability, "an invalid configuration was accepted as version %d", applied.Version))
		}
		if other, twice := digests[applied.Version]; twice && other != applied.Digest {
			findings = append(findings, ruleViolation(ruleConfigDurability, "version %d was assigned to two configurations", applied.Version))
		}
		digests[applied.Version] = applied.Digest
		if history.ReadBackComplete && stored[applied.Version] != applied.Digest && !discarded(applied.Version) {
			findings = append(findings, ruleViolation(ruleConfigDurability, "version %d was accepted, but reads back with digest %q", applied.Version, stored[applied.Version]))
		}
	}
	return findings, examined
}
