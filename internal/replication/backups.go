package replication

import (
	"errors"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

// addBackupsInterval is how often a primary with fewer backups than wanted looks for more.
const addBackupsInterval = 2 * monotonic.Second

// establishBackups brings backups up to date and proposes an epoch that names them; only then does this primary serve. There may
// be fewer backups than wanted if no other voter can be brought up to date, but there is at least one. The backups in failed have
// just failed and are tried last. It reports whether this member serves.
func (m *Member) establishBackups(failed []*wire.MemberID) bool {
	m.mu.Lock()
	state, known := m.leadership, m.register.value
	m.mu.Unlock()
	if state.epoch == 0 {
		return false
	}
	began := m.host.Now()
	// A new backup's bound on the leader clock starts at this time, which must have been reached and must not be before any time
	// that was already served.
	var clock monotonic.Micros
	m.replicaExecutor.Run(func() { clock = m.replica.advanceClock(state.clock.confirmed(began)) })
	backups, lastResort := m.installBackups(state.epoch, m.backupCandidates(known, failed), failed)
	if len(backups) == 0 {
		return false
	}
	value, proposal, proposed := m.proposeBackups(state.epoch, backups)
	if !proposed {
		return false
	}
	m.replicaExecutor.Run(func() { m.replica.moveToEpoch(state.epoch) }) // as the backups did when they installed the state
	next := leadership{
		epoch: value.Epoch, proposal: proposal, register: value, backups: backups, lastResort: lastResort,
		clock: primaryClock{base: clock, baseAt: began, confirmedAt: began},
	}
	if !m.continueLeadership(state.epoch, next) {
		return false
	}
	m.renewLease()
	if m.config.OnServing != nil {
		m.config.OnServing(value.Epoch, m.LeaderClock())
	}
	return m.startServing(value.Epoch, backups)
}

// proposeBackups proposes the epoch after the given one, with the given backups in sync. If that fails, this member steps down:
// whether the proposal took effect may be unknown, so the register has to be read again.
func (m *Member) proposeBackups(epoch uint64, backups []*wire.MemberID) (value *wire.RegisterValue, proposal uint64, ok bool) {
	value, proposal, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if !m.leadsEpoch(value, epoch) {
			return nil, errRegisterChanged
		}
		self := m.self()
		next := consensus.NextValue(value, epoch+1, self, backups)
		next.BackupsInSync = true
		next.Members = consensus.MergeMembers(value.Members, append([]*wire.MemberID{self}, backups...)...)
		return next, nil
	})
	switch {
	case errors.Is(err, errRegisterChanged):
		m.observeRegister(proposal, value)
		m.stepDown(epoch, reasonNewerEpoch)
		return nil, 0, false
	case err != nil:
		m.stepDown(epoch, reasonNoQuorumForBackup)
		return nil, 0, false
	}
	m.observeRegister(proposal, value)
	return value, proposal, true
}

// continueLeadership moves from one epoch to the next, unless this member has stepped down meanwhile. It keeps the lease and the
// time at which the leadership began.
func (m *Member) continueLeadership(epoch uint64, next leadership) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.epoch != epoch {
		return false
	}
	next.since = m.leadership.since
	next.leaseUntil, next.leaseConfig = m.leadership.leaseUntil, m.leadership.leaseConfig
	next.serving = m.leadership.serving
	m.leadership = next
	return true
}

// startServing makes this member serve an epoch if it holds a valid lease, and reports whether it does.
func (m *Member) startServing(epoch uint64, backups []*wire.MemberID) bool {
	m.mu.Lock()
	serving := m.leadership.epoch == epoch && m.host.Now() < m.leadership.leaseUntil
	m.leadership.serving = serving
	m.mu.Unlock()
	if serving {
		names := consensus.MemberNames(backups)
		m.host.Report(eventlog.PrimaryReady, eventlog.Attributes{"group": m.config.Group, "epoch": epoch, "backup": names[0], "backups": names})
	}
	return serving
}

// dropBackups stops this primary from serving until it has established backups again. It reports the given ones as lost.
func (m *Member) dropBackups(backups []*wire.MemberID, reason string) {
	for _, backup := range backups {
		m.host.Report(eventlog.BackupLost, eventlog.Attributes{"group": m.config.Group, "backup": backup.Name, "error": reason})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leadership.serving, m.leadership.backups = false, nil
}

// addBackups looks for more backups if there are fewer than wanted.
func (m *Member) addBackups() {
	now := m.host.Now()
	state := m.currentLeadership()
	if !state.serving || len(state.backups) >= m.config.Replicas-1 || now-m.commitTimes.addBackups < addBackupsInterval {
		return
	}
	m.commitTimes.addBackups = now
	if m.hasSpareVoter(state.backups) {
		m.dropBackups(nil, "")
		m.establishBackups(nil)
	}
}

// hasSpareVoter reports whether there is a reachable voter that has responded within a lease's duration, isn't a backup and isn't
// leaving, so that it could become a backup now.
func (m *Member) hasSpareVoter(backups []*wire.MemberID) bool {
	now := m.host.Now()
	backupNames := consensus.MemberNames(backups)
	return slices.ContainsFunc(m.otherVoters(), func(name string) bool {
		m.mu.Lock()
		respondedAt, known := m.peers.lastResponseAt(name)
		leaving := m.leaving.current(now)[name]
		m.mu.Unlock()
		inContact := known && now-respondedAt < m.config.LeaseDuration
		return inContact && !leaving && !slices.Contains(backupNames, name) && m.isReachable(name)
	})
}

// isReachable probes a voter with a small request.
func (m *Member) isReachable(name string) bool {
	_, err := m.readRegister(name)
	return err == nil
}

// backupCandidates returns the other voters in the order in which they are tried as backups: the tie-breaker, so that its side
// of an even split has a replica; the current backups; other voters; those that haven't responded for a lease's duration; and
// last those that have just failed or are leaving. A voter that a membership change in progress removes is left out.
func (m *Member) backupCandidates(known *wire.RegisterValue, failed []*wire.MemberID) []string {
	current, _ := m.knownConfig()
	tieBreaker := current.Voters.TieBreaker()
	failedNames, backupNames := consensus.MemberNames(failed), consensus.MemberNames(consensus.BackupsOf(known))
	var tieBreakers, backups, others, silent, last []string
	now := m.host.Now()
	m.mu.Lock()
	leaving := m.leaving.current(now)
	m.mu.Unlock()
	for _, name := range m.otherVoters() {
		switch {
		case current.IsJoint() && !slices.Contains(current.Joint, name):
		case leaving[name] || slices.Contains(failedNames, name):
			last = append(last, name)
		case now-m.lastResponseAt(name) > m.config.LeaseDuration:
			silent = append(silent, name)
		case name == tieBreaker:
			tieBreakers = append(tieBreakers, name)
		case slices.Contains(backupNames, name):
			backups = append(backups, name)
		default:
			others = append(others, name)
		}
	}
	return slices.Concat(tieBreakers, backups, others, silent, last)
}
