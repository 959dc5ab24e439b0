package configstore

import (
	"sort"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication"
)

// Status is what operators are shown of a postmaster.
type Status struct {
	Core    replication.Status `json:"core"`
	Serial  uint64             `json:"serial"`
	Holders []HolderStatus     `json:"tenure_holders,omitempty"`
	// Computed counts the differences between versions that this process worked out.
	Computed uint64 `json:"differences_computed"`
}

// HolderStatus is one carrier's tenure.
type HolderStatus struct {
	Carrier string `json:"carrier"`
	Adopted uint64 `json:"adopted"`
	Since   int64  `json:"adopted_for_micros"`    // since this postmaster first heard that
	Took    int64  `json:"took_micros,omitempty"` // from the commit to its word, where this postmaster saw both
	Left    int64  `json:"left_micros"`
}

// Status tells how this postmaster stands.
func (master *Postmaster) Status() Status {
	status := Status{Core: master.Member.Status(), Computed: master.Computed()}
	master.Member.Read(func(uint64, monotonic.Micros) { status.Serial = master.store.Serial() })
	master.lock.Lock()
	defer master.lock.Unlock()
	now := master.env.Place.Now()
	for _, present := range master.holders {
		if present.until > now && !present.released {
			status.Holders = append(status.Holders, HolderStatus{Carrier: present.name, Adopted: present.adopted, Since: int64(now - present.since), Took: int64(present.took), Left: int64(present.until - now)})
		}
	}
	sort.Slice(status.Holders, func(one, other int) bool { return status.Holders[one].Carrier < status.Holders[other].Carrier })
	return status
}

// Computed counts the differences between versions that this process worked out.
func (master *Postmaster) Computed() uint64 { return master.versions.Computed() }
