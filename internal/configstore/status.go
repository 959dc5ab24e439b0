package configstore

import (
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
)

// Status is what operators are shown of a postmaster.
type Status struct {
	Core    replication.Status `json:"core"`
	Version uint64             `json:"serial"`
	Leases  []LeaseStatus      `json:"tenure_holders,omitempty"`
	// DifferencesComputed counts the differences between versions that this process worked out.
	DifferencesComputed uint64 `json:"differences_computed"`
}

// LeaseStatus is one carrier's tenure.
type LeaseStatus struct {
	Proxy            string `json:"carrier"`
	AdoptedVersion   uint64 `json:"adopted"`
	AdoptedForMicros int64  `json:"adopted_for_micros"`    // since this postmaster first heard that
	AdoptionMicros   int64  `json:"took_micros,omitempty"` // from the commit to its word, where this postmaster saw both
	RemainingMicros  int64  `json:"left_micros"`
}

// Status tells how this postmaster stands.
func (s *Server) Status() Status {
	status := Status{Core: s.Member.Status(), DifferencesComputed: s.DifferencesComputed()}
	s.Member.Read(func(uint64, monotonic.Micros) { status.Version = s.store.LatestVersion() })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Host.Now()
	for _, lease := range s.leases {
		if lease.expiresAt > now && !lease.released {
			status.Leases = append(status.Leases, LeaseStatus{Proxy: lease.proxy, AdoptedVersion: lease.adoptedVersion, AdoptedForMicros: int64(now - lease.adoptedAt), AdoptionMicros: int64(lease.adoptionTime), RemainingMicros: int64(lease.expiresAt - now)})
		}
	}
	sort.Slice(status.Leases, func(one, other int) bool { return status.Leases[one].Proxy < status.Leases[other].Proxy })
	return status
}

// DifferencesComputed counts the differences between versions that this process worked out.
func (s *Server) DifferencesComputed() uint64 { return s.differences.Computed() }
