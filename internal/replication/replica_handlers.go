package replication

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// This file implements the backup's side of replication.

// handleReplicate appends and applies a primary's entries. A request without entries is a heartbeat.
func (m *Member) handleReplicate(request *wire.ReplicateRequest) (response *wire.ReplicateResponse, err error) {
	m.replicaExecutor.Run(func() { response, err = m.storeEntries(request) })
	return response, err
}

// storeEntries checks a request, stores its entries and accepts its leader clock. It runs on the replica executor.
func (m *Member) storeEntries(request *wire.ReplicateRequest) (*wire.ReplicateResponse, error) {
	response := &wire.ReplicateResponse{Incarnation: m.replica.incarnation.Load()}
	if response.Reason = m.replicateRejection(request); response.Reason != "" {
		return response, nil
	}
	now, clock := m.host.Now(), monotonic.Micros(request.LeaderClock)
	if limit := m.replica.clockBound.limit(now); clock > limit && !m.config.UnverifiedClock {
		response.Reason, response.LeaderClock = reasonClockAhead, int64(limit)
		return response, nil
	}
	if len(request.Entries) > 0 {
		if err := m.replica.appendEntries(request.Entries); err != nil {
			return response, err
		}
		m.replica.applyAll(request.Entries)
	}
	m.replica.clockBound.accept(now, m.replica.advanceClock(clock))
	m.followPrimary(request.Epoch)
	response.Stored = true
	return response, nil
}

// replicateRejection returns the reason for which a request is rejected, or an empty string if it isn't.
func (m *Member) replicateRejection(request *wire.ReplicateRequest) string {
	r := m.replica
	switch {
	case request.ToIncarnation != r.incarnation.Load():
		return reasonOtherReplica
	case request.Epoch < r.fenced || request.Epoch < m.knownEpoch():
		return reasonOlderEpoch
	case request.PreviousEpoch != r.epoch || request.PreviousSequence != r.sequence || len(r.pending) > 0:
		return reasonPositionMismatch
	}
	return ""
}

// followPrimary records contact with the primary of an epoch whose request this replica has accepted, and ends an earlier leadership
// of this member.
func (m *Member) followPrimary(epoch uint64) {
	m.replica.fence(epoch)
	m.stepDownIfSuperseded(epoch)
	m.recordLeaderContact()
}

// handleInstall replaces this replica's state with the primary's snapshot, or adds the entries that it lacks.
func (m *Member) handleInstall(request *wire.InstallSnapshotRequest) (response *wire.InstallSnapshotResponse, err error) {
	m.replicaExecutor.Run(func() { response, err = m.storeInstalled(request) })
	return response, err
}

// storeInstalled checks that the primary is current, and stores its snapshot or entries. It runs on the replica executor.
func (m *Member) storeInstalled(request *wire.InstallSnapshotRequest) (*wire.InstallSnapshotResponse, error) {
	r := m.replica
	response := &wire.InstallSnapshotResponse{Incarnation: r.incarnation.Load()}
	if request.Epoch < r.fenced || request.Epoch < m.knownEpoch() || request.Epoch < r.epoch {
		response.Reason = reasonOlderEpoch
		return response, nil
	}
	var err error
	if request.Snapshot == nil {
		response.Reason, err = m.installEntries(request)
	} else {
		err = m.installSnapshot(request.Epoch, request.Snapshot)
	}
	response.Stored = response.Reason == "" && err == nil
	return response, err
}

// installSnapshot replaces the state with a snapshot, whose position becomes one in the primary's epoch.
func (m *Member) installSnapshot(epoch uint64, sent *wire.Snapshot) error {
	snapshot := &wire.Snapshot{Epoch: max(sent.Epoch, epoch), Sequence: sent.Sequence, LeaderClock: sent.LeaderClock, Content: sent.Content}
	if err := m.replica.install(snapshot); err != nil {
		return err
	}
	m.followPrimary(epoch)
	m.host.Report(eventlog.SnapshotInstalled, eventlog.Attributes{"group": m.config.Group, "epoch": epoch, "bytes": len(snapshot.Content)})
	return nil
}

// installEntries adds the entries that this replica lacks, and moves its position to the primary's epoch. It returns the reason for
// which the entries are rejected, or an empty string if they aren't.
func (m *Member) installEntries(request *wire.InstallSnapshotRequest) (rejection string, err error) {
	since := logPosition{request.SinceEpoch, request.SinceSequence}
	if m.replica.position() != since || len(m.replica.pending) > 0 {
		return reasonPositionMismatch, nil
	}
	watermark := &wire.Watermark{
		Epoch: request.Epoch, Sequence: since.sequence + uint64(len(request.Entries)), LeaderClock: request.LeaderClock,
	}
	if err := m.replica.catchUp(request.Entries, watermark); err != nil {
		return "", err
	}
	m.followPrimary(request.Epoch)
	m.host.Report(eventlog.ReplicaCaughtUp, eventlog.Attributes{"group": m.config.Group, "epoch": request.Epoch, "entries": len(request.Entries)})
	return "", nil
}
