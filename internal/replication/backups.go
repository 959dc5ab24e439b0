package replication

import (
	"errors"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// recruitInterval is how often a primary with fewer backups than wanted looks for more.
const recruitInterval = 2 * monotonic.Second

// complete takes further backups once voters that may be some are back.
func (m *Member) recruitBackups() {
	now := m.config.Host.Now()
	m.mu.Lock()
	state := m.leadership
	m.mu.Unlock()
	if !state.serving || len(state.backups) >= m.config.Replicas-1 || now-m.lastRecruitment < recruitInterval {
		return
	}
	m.lastRecruitment = now
	if m.hasSpareVoter(state.backups) {
		m.dropBackups(nil, "")
		m.establishBackups(nil)
	}
}

// spare tells whether some voter that holds no copy, and doesn't leave, could take one now.
func (m *Member) hasSpareVoter(backups []*wire.MemberID) bool {
	now := m.config.Host.Now()
	return slices.ContainsFunc(m.otherVoters(), func(name string) bool {
		m.mu.Lock()
		heard, known := m.lastResponse[name]
		leaves := m.leavingMembers(now)[name]
		m.mu.Unlock()
		return known && !leaves && now-heard < m.config.LeaseDuration && !slices.Contains(memberNames(backups), name) && m.reachable(name)
	})
}

// reliefInterval is how often something is done about a slow disk: each change of the two copies holds writes up.
const reliefInterval = 10 * monotonic.Second

// minding looks at how long a batch took to sync. Three slow ones in a row make the primary hand over, if it was its own
// disk alone, or take another backup; both only if there is a third voter.
func (m *Member) relieveSlowDisks(backups, slow []*wire.MemberID) {
	slowOwn, slowBackup := false, len(slow) > 0
	m.replicaExecutor.Run(func() { slowOwn = m.replica.lastSyncTime > m.config.SlowSyncThreshold })
	count := func(counter *int, slow bool) bool {
		if *counter++; !slow {
			*counter = 0
		}
		return *counter >= 3
	}
	current, _ := m.configuration()
	tieBreaker := current.Voters.TieBreaker()
	m.mu.Lock()
	leave := count(&m.leadership.slowSyncs, slowOwn && !slowBackup)
	relieve := count(&m.leadership.slowResponses, slowBackup)
	prefer := tieBreaker != "" && m.config.Name != tieBreaker && !slices.Contains(memberNames(backups), tieBreaker) && !slowOwn && !slowBackup
	value, due := m.register, m.config.Host.Now()-m.lastRelief >= reliefInterval
	m.mu.Unlock()
	if !due || !leave && !relieve && !prefer {
		return
	}
	m.lastRelief = m.config.Host.Now()
	if prefer && !leave && !relieve {
		// The voter that counts double is to have a copy again, now that it's back.
		if m.reachable(tieBreaker) {
			m.dropBackups(backups, "another is preferred")
			m.establishBackups(nil)
		}
		return
	}
	// Without a third voter both disks are needed for every write, whoever leads.
	spare := slices.ContainsFunc(m.backupCandidates(value, backups), func(name string) bool {
		return !slices.Contains(memberNames(backups), name) && m.reachable(name)
	})
	if !spare {
		return
	}
	if leave {
		m.config.Host.Report(eventlog.DiskSlow, map[string]any{"group": m.config.Group})
		m.transferLeadership("own disk is slow")
		return
	}
	m.dropBackups(slow, "its disk is slow")
	m.establishBackups(slow)
}

// dropBackups stops answering until others are in step.
func (m *Member) dropBackups(backups []*wire.MemberID, why string) {
	for _, backup := range backups {
		m.config.Host.Report(eventlog.BackupLost, map[string]any{"group": m.config.Group, "backup": backup.Name, "error": why})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leadership.serving, m.leadership.backups = false, nil
}

// reachable asks a voter something small.
func (m *Member) reachable(name string) bool {
	_, err := m.readRegister(name)
	return err == nil
}

// installTimeout is how long a whole view may take to reach a new backup and be synced there.
const installTimeout = 5 * monotonic.Second

// settle brings backups into step and names them in the register; only then does the primary answer. There may be fewer than
// wanted where no further voter can be had, but never none.
func (m *Member) establishBackups(failed []*wire.MemberID) bool {
	m.mu.Lock()
	epoch, value, state := m.leadership.epoch, m.register, m.leadership
	m.mu.Unlock()
	if epoch == 0 {
		return false
	}
	// A new backup's line begins at the view's holder time, which must be one that has certainly come, and none before what was told.
	// Holder time goes on from there: what passed since is for the backup's own clock to say.
	began, clock := m.config.Host.Now(), monotonic.Micros(0)
	m.replicaExecutor.Run(func() {
		m.replica.leaderClock = max(m.replica.leaderClock, state.confirmedClock(began))
		clock = m.replica.leaderClock
	})
	backups, lastResort := m.installBackups(epoch, m.backupCandidates(value, failed), failed)
	if len(backups) == 0 {
		return false
	}
	fresh, proposal, err := m.changeRegister(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if value == nil || value.Epoch != epoch || !sameMember(value.Primary, m.self()) {
			return nil, errRegisterChanged
		}
		established := nextRegister(value, epoch+1, m.self(), backups)
		established.BackupsInSync, established.Members = true, withMembers(value.Members, append([]*wire.MemberID{m.self()}, backups...)...)
		return established, nil
	})
	if errors.Is(err, errRegisterChanged) {
		m.observeRegister(proposal, fresh)
		m.stepDown(epoch, "another epoch began")
		return false
	}
	if err != nil {
		// Whether the ballot took effect is not known, so the epoch is read anew by taking over from scratch.
		m.stepDown(epoch, "no majority for a new backup")
		return false
	}
	m.observeRegister(proposal, fresh)
	// The copy's pair of epoch and sequence must match what the backups noted on installing.
	m.replicaExecutor.Run(func() {
		m.stateMachineMu.Lock()
		defer m.stateMachineMu.Unlock()
		m.replica.epoch = max(m.replica.epoch, epoch)
		m.replica.tail.addAlias(logPosition{m.replica.epoch, m.replica.sequence})
	})
	m.mu.Lock()
	if m.leadership.epoch != epoch {
		m.mu.Unlock()
		return false
	}
	m.leadership.epoch, m.leadership.proposal, m.leadership.register, m.leadership.backups, m.leadership.preempted = fresh.Epoch, proposal, fresh, backups, false
	m.leadership.failures, m.leadership.slowSyncs, m.leadership.slowResponses = 0, 0, 0
	m.leadership.clockBase, m.leadership.clockBaseAt, m.leadership.clockSyncedAt = clock, began, began
	m.leadership.lastResort = lastResort
	m.mu.Unlock()
	m.renewLease()
	if m.config.OnServing != nil {
		m.config.OnServing(fresh.Epoch, m.LeaderClock())
	}
	m.mu.Lock()
	established := m.leadership.epoch == fresh.Epoch && m.config.Host.Now() < m.leadership.leaseUntil
	m.leadership.serving = established
	m.mu.Unlock()
	if established {
		m.config.Host.Report(eventlog.PrimaryReady, map[string]any{"group": m.config.Group, "epoch": fresh.Epoch, "backup": backups[0].Name, "backups": memberNames(backups)})
	}
	return established
}

// installBackups installs the present view on as many candidates as there are backups wanted, and tells whether one of them had
// just failed.
func (m *Member) installBackups(epoch uint64, candidates []string, failed []*wire.MemberID) (backups []*wire.MemberID, lastResort bool) {
	for len(candidates) > 0 && len(backups) < m.config.Replicas-1 {
		name := m.preferOtherZone(candidates, backups)
		candidates = slices.DeleteFunc(candidates, func(other string) bool { return other == name })
		// A voter that doesn't answer a small ask isn't waited for with a large one.
		seen, err := m.readRegister(name)
		if err != nil {
			continue
		}
		incarnation, stored := m.catchUpReplica(name, epoch, seen)
		if !stored {
			continue
		}
		backups = append(backups, &wire.MemberID{Name: name, Incarnation: incarnation})
		lastResort = lastResort || slices.Contains(memberNames(failed), name)
	}
	return backups, lastResort
}

// catchUpReplica gives a process's copy what it misses, or the whole view where that isn't known any more.
func (m *Member) catchUpReplica(name string, epoch uint64, seen *wire.RegisterReadResponse) (incarnation uint64, stored bool) {
	install := func(request *wire.InstallSnapshotRequest) bool {
		response := &wire.InstallSnapshotResponse{}
		request.To, request.From, request.Epoch = name, m.self(), epoch
		err := m.config.Resolver.Call(name, wire.Kind_install_snapshot, request, response, installTimeout)
		incarnation = response.Incarnation
		return err == nil && response.Stored
	}
	if request := m.missingEntries(seen); request != nil && install(request) {
		return incarnation, true
	}
	return incarnation, install(&wire.InstallSnapshotRequest{Snapshot: m.takeSnapshot()})
}

// missingEntries is what a copy at a told position misses, nothing where this copy doesn't remember that far.
func (m *Member) missingEntries(seen *wire.RegisterReadResponse) (request *wire.InstallSnapshotRequest) {
	if !seen.HasReplica || seen.ReplicaSequence == 0 {
		return nil
	}
	m.replicaExecutor.Run(func() {
		if missed, known := m.replica.tail.entriesAfter(logPosition{seen.ReplicaEpoch, seen.ReplicaSequence}); known {
			request = &wire.InstallSnapshotRequest{SinceEpoch: seen.ReplicaEpoch, SinceSequence: seen.ReplicaSequence, Entries: missed, LeaderClock: int64(m.replica.leaderClock)}
		}
	})
	return request
}

// apart picks the first candidate in a zone that has no copy yet, or else the first.
func (m *Member) preferOtherZone(candidates []string, backups []*wire.MemberID) string {
	if m.config.Zone == nil {
		return candidates[0]
	}
	taken := map[string]bool{m.config.Zone(m.config.Name): true, "": true}
	for _, backup := range backups {
		taken[m.config.Zone(backup.Name)] = true
	}
	for _, name := range candidates {
		if !taken[m.config.Zone(name)] {
			return name
		}
	}
	return candidates[0]
}

// takeSnapshot is the whole state as it is applied here.
func (m *Member) takeSnapshot() (view *wire.Snapshot) {
	m.replicaExecutor.Run(func() { view = m.snapshot() })
	return view
}

// backupCandidates orders the other voters: the one that counts double first, so that its half of a split core has a copy, then the
// present copy, behind them whoever hasn't answered for a lease's length, and last one that just failed.
func (m *Member) backupCandidates(value *wire.RegisterValue, failed []*wire.MemberID) []string {
	current, _ := m.configuration()
	var tieBreakers, inSync, others, quiet, last []string
	now := m.config.Host.Now()
	m.mu.Lock()
	leaving := m.leavingMembers(now)
	m.mu.Unlock()
	for _, name := range m.otherVoters() {
		switch {
		case len(current.Joint) > 0 && !slices.Contains(current.Joint, name): // it's about to leave
		case leaving[name]:
			last = append(last, name)
		case slices.Contains(memberNames(failed), name):
			last = append(last, name)
		case now-m.lastResponseAt(name) > m.config.LeaseDuration:
			quiet = append(quiet, name)
		case name == current.Voters.TieBreaker():
			tieBreakers = append(tieBreakers, name)
		case slices.Contains(memberNames(backupsOf(value)), name):
			inSync = append(inSync, name)
		default:
			others = append(others, name)
		}
	}
	return slices.Concat(tieBreakers, inSync, others, quiet, last)
}

func withMembers(replicas []*wire.MemberID, holders ...*wire.MemberID) []*wire.MemberID {
	var next []*wire.MemberID
	replaced := map[string]bool{}
	for _, holder := range holders {
		replaced[holder.Name] = true
	}
	for _, current := range replicas {
		if !replaced[current.Name] {
			next = append(next, current)
		}
	}
	return append(next, holders...)
}
