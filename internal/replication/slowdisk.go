package replication

import (
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

const (
	// slowDiskActionInterval is how often something is done about a slow disk: each change of the replicas delays writes.
	slowDiskActionInterval = 10 * monotonic.Second
	// slowBatches is how many slow batches in a row make a disk a slow one.
	slowBatches = 3
)

// slowDiskAction is what a primary may do about the speed of its replicas' disks.
type slowDiskAction int

const (
	noAction slowDiskAction = iota
	// transferToBackup: the own disk alone is slow.
	transferToBackup
	// replaceSlowBackups: the disk of a backup is slow.
	replaceSlowBackups
	// preferTieBreaker: no disk is slow, and the tie-breaker isn't a backup though it could be.
	preferTieBreaker
)

// slowDiskDetector tells disks that stay slow from single slow syncs. Its zero value has seen no batch; each epoch of a
// primary begins with a new one.
type slowDiskDetector struct {
	// localSlow counts the batches in a row for which the own disk alone was slow, backupSlow those for which a backup's was.
	localSlow, backupSlow int
}

// observeBatch takes whether the own disk and some backup's were slow to sync a batch, and returns what is to be done.
func (d *slowDiskDetector) observeBatch(ownSlow, backupSlow bool) slowDiskAction {
	d.localSlow = countConsecutive(d.localSlow, ownSlow && !backupSlow)
	d.backupSlow = countConsecutive(d.backupSlow, backupSlow)
	switch {
	case d.localSlow >= slowBatches:
		return transferToBackup
	case d.backupSlow >= slowBatches:
		return replaceSlowBackups
	}
	return noAction
}

// countConsecutive returns a count of events in a row after one more chance: one more if it happened, else zero.
func countConsecutive(count int, happened bool) int {
	if !happened {
		return 0
	}
	return count + 1
}

// handleSlowDisks is called after each batch that was committed, with its backups and those that were slow to store it. It acts
// if a disk stays slow, or if no disk is slow and the tie-breaker could be a backup again. Slow disks are only
// avoided if there is a third voter: with two, both disks are needed for every write, no matter which member leads.
func (m *Member) handleSlowDisks(backups, slow []*wire.MemberID) {
	ownSlow := false
	m.replicaExecutor.Run(func() { ownSlow = m.replica.journal.lastSyncTime > m.config.SlowSyncThreshold })
	current, _ := m.knownConfig()
	tieBreaker := current.Voters.TieBreaker()

	m.mu.Lock()
	relief := m.leadership.slowDisks.observeBatch(ownSlow, len(slow) > 0)
	if relief == noAction && !ownSlow && len(slow) == 0 && m.lacksTieBreaker(tieBreaker, backups) {
		relief = preferTieBreaker
	}
	known, due := m.register.value, m.host.Now()-m.commitTimes.slowDiskAction >= slowDiskActionInterval
	m.mu.Unlock()
	if !due || relief == noAction {
		return
	}
	m.commitTimes.slowDiskAction = m.host.Now()
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
		m.host.Report(eventlog.DiskSlow, eventlog.Attributes{"group": m.config.Group})
		m.transferLeadership(reasonLocalDiskSlow, "")
		return
	}
	m.dropBackups(slow, reasonBackupDiskSlow)
	m.establishBackups(slow)
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
