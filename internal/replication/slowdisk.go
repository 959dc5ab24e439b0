package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

const (
	// reliefInterval is how often something is done about a slow disk: each change of the replicas delays writes.
	reliefInterval = 10 * monotonic.Second
	// slowBatches is how many slow batches in a row it takes.
	slowBatches = 3
)

// diskRelief is what a primary may do about the speed of its replicas' disks.
type diskRelief int

const (
	noRelief diskRelief = iota
	// transferToBackup: the own disk alone is slow.
	transferToBackup
	// replaceSlowBackups: the disk of a backup is slow.
	replaceSlowBackups
	// preferTieBreaker: no disk is slow, and the tie-breaker isn't a backup though it could be.
	preferTieBreaker
)

// relieveSlowDisks counts the batches that a disk was slow to sync, and acts after several in a row. Slow disks are only
// avoided if there is a third voter: with two, both disks are needed for every write, no matter which member leads.
func (m *Member) relieveSlowDisks(backups, slow []*wire.MemberID) {
	ownSlow := false
	m.replicaExecutor.Run(func() { ownSlow = m.replica.lastSyncTime > m.config.SlowSyncThreshold })
	current, _ := m.knownConfig()
	tieBreaker := current.Voters.TieBreaker()

	m.mu.Lock()
	relief := m.leadership.countSlow(ownSlow, len(slow) > 0)
	if relief == noRelief && !ownSlow && len(slow) == 0 && m.lacksTieBreaker(tieBreaker, backups) {
		relief = preferTieBreaker
	}
	known, due := m.register, m.host.Now()-m.lastRelief >= reliefInterval
	m.mu.Unlock()
	if !due || relief == noRelief {
		return
	}
	m.lastRelief = m.host.Now()
	if relief == preferTieBreaker {
		if m.isReachable(tieBreaker) {
			m.dropBackups(backups, reasonPreferredBackup)
			m.establishBackups(nil)
		}
		return
	}
	if !m.hasReachableCandidate(known, backups) {
		return
	}
	if relief == transferToBackup {
		m.host.Report(eventlog.DiskSlow, map[string]any{"group": m.config.Group})
		m.transferLeadership(reasonOwnDiskSlow, "")
		return
	}
	m.dropBackups(slow, reasonBackupDiskSlow)
	m.establishBackups(slow)
}

// countSlow counts consecutive slow batches, and returns what is to be done about them.
func (l *leadership) countSlow(ownSlow, backupSlow bool) diskRelief {
	count := func(counter *int, slow bool) bool {
		if *counter++; !slow {
			*counter = 0
		}
		return *counter >= slowBatches
	}
	transfer := count(&l.slowSyncs, ownSlow && !backupSlow)
	replace := count(&l.slowResponses, backupSlow)
	switch {
	case transfer:
		return transferToBackup
	case replace:
		return replaceSlowBackups
	}
	return noRelief
}

// lacksTieBreaker reports whether the tie-breaker has no replica in sync.
func (m *Member) lacksTieBreaker(tieBreaker string, backups []*wire.MemberID) bool {
	return tieBreaker != "" && tieBreaker != m.config.Name && !slices.Contains(consensus.MemberNames(backups), tieBreaker)
}

// hasReachableCandidate reports whether a voter that isn't a backup could become one.
func (m *Member) hasReachableCandidate(known *wire.RegisterValue, backups []*wire.MemberID) bool {
	backupNames := consensus.MemberNames(backups)
	return slices.ContainsFunc(m.backupCandidates(known, backups), func(name string) bool {
		return !slices.Contains(backupNames, name) && m.isReachable(name)
	})
}
