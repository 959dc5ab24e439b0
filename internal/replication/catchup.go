package replication

import (
	"slices"

	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

// installTimeout is how long a snapshot may take to reach a new backup and be synced there.
const installTimeout = 5 * monotonic.Second

// installBackups brings candidates up to date until there are as many backups as wanted. lastResort is set if one of these backups
// is among the failed ones.
func (m *Member) installBackups(epoch uint64, candidates []string, failed []*wire.MemberID) (backups []*wire.MemberID, lastResort bool) {
	failedNames := consensus.MemberNames(failed)
	for len(candidates) > 0 && len(backups) < m.config.Replicas-1 {
		name := m.preferOtherZone(candidates, backups)
		candidates = slices.DeleteFunc(candidates, func(candidate string) bool { return candidate == name })
		// Don't send a large request to a voter that doesn't respond to a small one.
		register, err := m.readRegister(name)
		if err != nil {
			continue
		}
		backup, stored := m.catchUpBackup(name, epoch, register)
		if !stored {
			continue
		}
		backups = append(backups, backup)
		lastResort = lastResort || slices.Contains(failedNames, name)
	}
	return backups, lastResort
}

// preferOtherZone returns the first candidate in a zone without a replica, or else the first candidate. There must be at least one.
func (m *Member) preferOtherZone(candidates []string, backups []*wire.MemberID) string {
	if m.config.Zone == nil {
		return candidates[0]
	}
	occupied := map[string]bool{m.config.Zone(m.config.Name): true, "": true}
	for _, backup := range backups {
		occupied[m.config.Zone(backup.Name)] = true
	}
	for _, name := range candidates {
		if !occupied[m.config.Zone(name)] {
			return name
		}
	}
	return candidates[0]
}

// catchUpBackup sends a replica the entries that it lacks, or a snapshot if they are no longer in memory or the replica rejects
// them. It returns the replica's ID, and whether the replica has stored what was sent.
func (m *Member) catchUpBackup(name string, epoch uint64, register *wire.RegisterReadResponse) (backup *wire.MemberID, stored bool) {
	install := func(request *wire.InstallSnapshotRequest) bool {
		request.To, request.From, request.Epoch = name, m.self(), epoch
		response := &wire.InstallSnapshotResponse{}
		err := m.resolver.Call(name, wire.Kind_install_snapshot, request, response, installTimeout)
		backup = &wire.MemberID{Name: name, Incarnation: response.Incarnation}
		return err == nil && response.Stored
	}
	if request := m.missingEntries(register); request != nil && install(request) {
		return backup, true
	}
	stored = install(&wire.InstallSnapshotRequest{Snapshot: m.takeSnapshot()})
	return backup, stored
}

// missingEntries returns a request with the entries that a replica lacks, or nil if they are no longer in memory.
func (m *Member) missingEntries(register *wire.RegisterReadResponse) (request *wire.InstallSnapshotRequest) {
	if !register.HasReplica || register.ReplicaSequence == 0 {
		return nil
	}
	m.replicaExecutor.Run(func() {
		entries, known := m.replica.tail.entriesAfter(logPosition{register.ReplicaEpoch, register.ReplicaSequence})
		if known {
			request = &wire.InstallSnapshotRequest{
				SinceEpoch: register.ReplicaEpoch, SinceSequence: register.ReplicaSequence,
				Entries: entries, LeaderClock: int64(m.replica.leaderClock),
			}
		}
	})
	return request
}

// takeSnapshot returns the whole state as applied to the local replica.
func (m *Member) takeSnapshot() (snapshot *wire.Snapshot) {
	m.replicaExecutor.Run(func() { snapshot = m.replica.snapshot() })
	return snapshot
}
