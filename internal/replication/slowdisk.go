package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

const (
	// slowDiskActionInterval is the minimum time between actions on slow disks, because each change of the replicas delays writes.
	slowDiskActionInterval = 10 * monotonic.Second
	// slowBatches is the number of consecutive slow batches after which a disk counts as slow.
	slowBatches = 3
)

// slowDiskAction is what a primary does about the speed of its replicas' disks.
type slowDiskAction int

const (
	noAction slowDiskAction = iota
	// transferToBackup is for a primary whose local disk alone is slow.
	transferToBackup
	// replaceSlowBackups is for backups whose disks are slow.
	replaceSlowBackups
	// preferTieBreaker is for when no disk is slow and the tie-breaker isn't a backup although it could be.
	preferTieBreaker
)

// slowDiskDetector distinguishes disks that stay slow from single slow syncs. Its zero value has seen no batch; each epoch of a
// primary starts with a new one.
type slowDiskDetector struct {
	// localSlow counts the consecutive batches for which the local disk alone was slow, and backupSlow those for which a backup's
	// disk was slow.
	localSlow, backupSlow int
}

// observeBatch records whether the local disk, and whether a backup's disk, was slow to sync a batch. It returns the action to take.
func (d *slowDiskDetector) observeBatch(localSlow, backupSlow bool) slowDiskAction {
	d.localSlow = countConsecutive(d.localSlow, localSlow && !backupSlow)
	d.backupSlow = countConsecutive(d.backupSlow, backupSlow)
	switch {
	case d.localSlow >= slowBatches:
		return transferToBackup
	case d.backupSlow >= slowBatches:
		return replaceSlowBackups
	}
	return noAction
}

// countConsecutive updates a count of consecutive events: it returns one more if the event happened again, and zero if it didn't.
func countConsecutive(count int, happened bool) int {
	if !happened {
		return 0
	}
	return count + 1
}

// handleSlowDisks is called after each committed batch, with its backups and those that were slow to store it. It acts if a disk
// stays slow, or if no disk is slow and the tie-breaker could be a backup again. Slow disks are avoided only if there is a third
// voter: with two, every write needs both disks, whichever member leads.
func (m *Member) handleSlowDisks(backups, slow []*wire.MemberID) {
	localSlow := false
	m.replicaExecutor.Run(func() { localSlow = m.replica.journal.lastSyncTime > m.config.SlowSyncThreshold })
	current, _ := m.knownConfig()
	tieBreaker := current.Voters.TieBreaker()

	m.mu.Lock()
	action := m.leadership.slowDisks.observeBatch(localSlow, len(slow) > 0)
	if action == noAction && !localSlow && len(slow) == 0 && m.lacksTieBreaker(tieBreaker, backups) {
		action = preferTieBreaker
	}
	known, due := m.register.value, m.host.Now()-m.commitTimes.slowDiskAction >= slowDiskActionInterval
	m.mu.Unlock()
	if !due || action == noAction {
		return
	}
	m.commitTimes.slowDiskAction = m.host.Now()
	if action == preferTieBreaker {
		if m.isReachable(tieBreaker) {
			m.dropBackups(backups, reasonPreferredBackup)
			m.establishBackups(nil)
		}
		return
	}
	if !m.hasReachableCandidate(known, backups) {
		return
	}
	if action == transferToBackup {
		m.host.Report(eventlog.DiskSlow, eventlog.Attributes{"group": m.config.Group})
		m.transferLeadership(reasonLocalDiskSlow, "")
		return
	}
	m.dropBackups(slow, reasonBackupDiskSlow)
	m.establishBackups(slow)
}

// lacksTieBreaker reports whether there is a tie-breaker that is neither this member nor one of the backups.
func (m *Member) lacksTieBreaker(tieBreaker string, backups []*wire.MemberID) bool {
	return tieBreaker != "" && tieBreaker != m.config.Name && !slices.Contains(consensus.MemberNames(backups), tieBreaker)
}

// hasReachableCandidate reports whether a reachable voter that isn't a backup could become one.
func (m *Member) hasReachableCandidate(known *wire.RegisterValue, backups []*wire.MemberID) bool {
	backupNames := consensus.MemberNames(backups)
	return slices.ContainsFunc(m.backupCandidates(known, backups), func(name string) bool {
		return !slices.Contains(backupNames, name) && m.isReachable(name)
	})
}
