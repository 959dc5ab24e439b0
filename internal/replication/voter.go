package replication

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/replication/consensus"
	"snowflow/internal/transport/wire"
)

const (
	// registerFile is the name of the file of the voter's records, without the group's name before it.
	registerFile = "register"
	// maxRegisterLog is the size in bytes above which that file is rewritten with only the newest record.
	maxRegisterLog = 64 << 10
)

// openVoter reads the voter's record. It runs on the voter executor.
func (m *Member) openVoter() error {
	record := &wire.RegisterRecord{}
	log, err := m.storage.openLog(registerFile, func(content []byte) error {
		next := &wire.RegisterRecord{}
		if err := proto.Unmarshal(content, next); err != nil {
			return err
		}
		record = next
		return nil
	}, func() error {
		record = &wire.RegisterRecord{}
		return nil
	})
	if err != nil {
		return err
	}
	m.registerLog = log
	if record.Name != "" && record.Name != m.config.Name {
		return apierror.Invalid.New("data folder belongs to %s, not to %s", record.Name, m.config.Name)
	}
	// When all members start at once, this record may be the only place that names the voters.
	m.observeRegister(record.Accepted, record.Value)
	m.observeProposal(record.Promised)
	m.voter.Restore(m.host.Now(), record)
	if record.Incarnation == 0 {
		record.Name, record.Incarnation = m.config.Name, m.host.Random()|1
		return m.saveRecord(record)
	}
	return nil
}

// saveRecord writes and syncs a record of the voter. It runs on the voter executor. If a sync fails, the process stops because what
// the disk holds is then unknown.
func (m *Member) saveRecord(record *wire.RegisterRecord) error {
	content, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	log := m.registerLog
	if log.Size() > maxRegisterLog {
		err = log.Rewrite(content)
	} else if err = log.Append(content); err == nil {
		err = log.Sync()
	}
	if isDiskFull(err) && m.storage.releaseReserve() {
		err = log.Rewrite(content)
	}
	if err := m.storage.stopOnSyncFailure(registerFile, err); err != nil {
		return err
	}
	m.voter.RecordSaved(record)
	m.observeRegister(record.Accepted, record.Value)
	m.observeProposal(record.Promised) // possibly to another member: this member's next proposal must be higher
	return nil
}

// voterClock returns the clock reading on which the voter bases its decisions.
func (m *Member) voterClock() consensus.Clock {
	return consensus.Clock{Now: m.host.Now(), Steady: m.ClockWatch.Steady()}
}

// hasRegister reports whether this member has a register, without which it neither votes nor campaigns.
func (m *Member) hasRegister() (joined bool) {
	m.voterExecutor.Run(func() { joined = m.voter.Joined() })
	return joined
}

// handleRegisterRead returns this process's register and what it reports about itself. It fails if the settings of the two
// processes name different initial voters and no register value has replaced these.
func (m *Member) handleRegisterRead(request *wire.RegisterReadRequest) (response *wire.RegisterReadResponse, err error) {
	m.voterExecutor.Run(func() {
		record := m.voter.Record()
		if record.Value == nil {
			if err = m.voter.CheckInitialVoters(request.Voters); err != nil {
				m.reportMismatch(err)
				return
			}
		}
		response = m.newRegisterReadResponse(record)
	})
	if err != nil {
		return nil, apierror.Invalid.New("%s", err)
	}
	return response, nil
}

// newRegisterReadResponse returns what this process reports about itself. It runs on the voter executor.
func (m *Member) newRegisterReadResponse(record *wire.RegisterRecord) *wire.RegisterReadResponse {
	status := m.voter.LeaseStatus(m.host.Now())
	response := &wire.RegisterReadResponse{
		Intact:         record.Joined,
		Blank:          !record.Joined,
		Incarnation:    record.Incarnation,
		Promised:       record.Promised,
		Accepted:       record.Accepted,
		Value:          record.Value,
		CanBootstrap:   m.config.Bootstrap,
		ProcessId:      m.processID,
		LeaseRemaining: int64(status.Remaining),
		LeaseGrantedTo: status.Leader,
	}
	if position := m.replica.position(); m.replica.incarnation.Load() != 0 {
		response.HasReplica, response.ReplicaEpoch, response.ReplicaSequence = true, position.epoch, position.sequence
	}
	return response
}

// handlePrepare promises a proposal number, or rejects it. A promise is synced before it is sent.
func (m *Member) handlePrepare(request *wire.PrepareRequest) (response *wire.PrepareResponse, err error) {
	m.voterExecutor.Run(func() {
		decision := m.voter.Prepare(m.voterClock(), request)
		response = decision.Response
		if decision.Rejection != nil {
			m.reportMismatch(decision.Rejection)
			return
		}
		if err = m.saveRecord(decision.Record); err == nil {
			m.voter.ConfirmPromise(m.host.Now(), request.Proposer)
		}
	})
	return response, err
}

// handleAccept stores the value of the proposal that was promised last, or rejects it. The value is synced before the response is
// sent.
func (m *Member) handleAccept(request *wire.AcceptRequest) (response *wire.AcceptResponse, err error) {
	m.voterExecutor.Run(func() {
		decision := m.voter.Accept(m.voterClock(), request)
		response = decision.Response
		if decision.Rejection == nil {
			err = m.saveRecord(decision.Record)
		}
	})
	return response, err
}

// handleLease grants or rejects a lease, or forgets one that its leader releases. A granted request is also evidence of a live
// primary, and identifies the leader of the epoch.
func (m *Member) handleLease(request *wire.LeaseRequest) (response *wire.LeaseResponse, err error) {
	m.voterExecutor.Run(func() {
		if request.Release {
			response = m.voter.ReleaseLease(request)
			return
		}
		decision := m.voter.GrantLease(m.voterClock(), request)
		response = decision.Response
		if decision.Rejection != nil {
			m.reportMismatch(decision.Rejection)
			return
		}
		if decision.Record != nil {
			if err = m.saveRecord(decision.Record); err != nil {
				return
			}
		}
		m.voter.ConfirmLease(m.host.Now(), request.Leader)
		if request.Leader.Name != m.config.Name {
			m.endColdStart()
		}
		m.reportLeaderToResolver(request.Epoch, request.Leader.Name)
		m.catchUpRegister(request.Leader.Name, request.KnownProposal)
	})
	return response, err
}

// reportMismatch reports that another member's settings name different initial voters. It doesn't report the same difference twice
// in a row, nor any other error.
func (m *Member) reportMismatch(err error) {
	var mismatch *consensus.InitialVotersError
	if !errors.As(err, &mismatch) {
		return
	}
	reason := mismatch.Error()
	m.mu.Lock()
	reported := m.reportedMismatch
	m.reportedMismatch = reason
	m.mu.Unlock()
	if reported != reason {
		m.host.Report(eventlog.VotersDiffer, eventlog.Attributes{"group": m.config.Group, "why": reason})
	}
}
