package configstore

import (
	"cmp"
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
)

// Status is the status of a configuration store process. Operators' tools read the JSON keys, which therefore must not change.
type Status struct {
	Core replication.Status `json:"core"`
	// Version is the newest version, zero if there is none or this process isn't the primary.
	Version uint64 `json:"serial"`
	// Leases are the active leases that this process knows of, sorted by the proxies' names.
	Leases []LeaseStatus `json:"tenure_holders,omitempty"`
	// DifferencesComputed is the number of differences between versions that this process has computed.
	DifferencesComputed uint64 `json:"differences_computed"`
}

// LeaseStatus is the lease of one proxy. Times are in microseconds.
type LeaseStatus struct {
	Proxy          string `json:"carrier"`
	AdoptedVersion uint64 `json:"adopted"`
	// AdoptedForMicros is the time since the proxy first reported to this process that it had adopted the version.
	AdoptedForMicros int64 `json:"adopted_for_micros"`
	// AdoptionMicros is the time from the commit to that report, zero if this process hasn't observed both.
	AdoptionMicros  int64 `json:"took_micros,omitempty"`
	RemainingMicros int64 `json:"left_micros"`
}

// Status returns this process's view of the group and of the leases.
func (s *Server) Status() Status {
	status := Status{Core: s.Member.Status(), DifferencesComputed: s.DifferencesComputed()}
	s.Member.Read(func(uint64, monotonic.Micros) { status.Version = s.store.LatestVersion() })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Host.Now()
	for _, lease := range s.leases {
		if lease.isActiveAt(now) {
			status.Leases = append(status.Leases, LeaseStatus{
				Proxy:            lease.proxy,
				AdoptedVersion:   lease.adoptedVersion,
				AdoptedForMicros: int64(now - lease.adoptedAt),
				AdoptionMicros:   int64(lease.adoptionTime),
				RemainingMicros:  int64(lease.expiresAt - now),
			})
		}
	}
	slices.SortFunc(status.Leases, func(a, b LeaseStatus) int { return cmp.Compare(a.Proxy, b.Proxy) })
	return status
}

// DifferencesComputed returns the number of differences between versions that this process has computed.
func (s *Server) DifferencesComputed() uint64 { return s.differences.Computed() }
