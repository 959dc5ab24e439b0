package replication

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/replication/quorum"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
)

// voter is this process's seat in its group's epoch register. Its owner is Member.seat; only the seat's task touches it.
//
// Invariants:
//   - record is on disk, synced, before any answer that depends on it is sent;
//   - record.Promised >= record.Accepted;
//   - a ballot is accepted only if it is exactly the one promised, in this life, within the last tenure: a voter that
//     lost its disk thus can't complete a ballot that its older self promised;
//   - grant is never shortened but by its holder, and no rival of its holder is promised anything before grant.until;
//   - nothing is promised, accepted or granted before votesAfter, because an earlier life may have granted a tenure;
//   - whoever may hold a lease granted here is among record.Grantees, on disk before the grant is answered;
//   - votesAfter is only cut short while it stands for an earlier life's grants alone, and once each of the grantees is known to be
//     over: a lease is held by one life of a process, and ends with it.
type voter struct {
	log            *wal.Log
	record         *wire.RegisterRecord
	promisedAt     monotonic.Micros
	promisedTo     *wire.MemberID // in this life
	votesAfter     monotonic.Micros
	awaitsGrantees bool // votesAfter stands for an earlier life's grants, of which record.Grantees tells
	grant          leaseGrant
}

// deferVotes has nothing promised before some moment, whatever becomes known.
func (v *voter) deferVotes(until monotonic.Micros) {
	v.votesAfter, v.awaitsGrantees = max(v.votesAfter, until), false
}

type leaseGrant struct {
	holder *wire.MemberID
	until  monotonic.Micros
}

const registerFile = "register"

func (m *Member) openVoter() error {
	h := m.config.Host
	m.voter.record = &wire.RegisterRecord{}
	log, err := wal.Open(h.Disk(), m.fileName(registerFile), func(content []byte) error {
		record := &wire.RegisterRecord{}
		if err := proto.Unmarshal(content, record); err != nil {
			return err
		}
		m.voter.record = record
		return nil
	})
	if isCorrupt(err) {
		h.Report(eventlog.DiskCorrupted, map[string]any{"file": m.fileName(registerFile), "error": err.Error()})
		m.voter.record = &wire.RegisterRecord{}
		log, err = wal.Recreate(h.Disk(), m.fileName(registerFile))
	}
	if err != nil {
		return err
	}
	if log.TruncatedBytes > 0 {
		h.Report(eventlog.DiskTornTail, map[string]any{"file": m.fileName(registerFile), "bytes": log.TruncatedBytes})
	}
	m.voter.log = log
	record := m.voter.record
	if record.Name != "" && record.Name != m.config.Name {
		return apierror.Invalid.New("data folder belongs to %s, not to %s", record.Name, m.config.Name)
	}
	// Who votes may stand nowhere but here: after a start of the whole core nobody else could tell.
	m.observeRegister(record.Accepted, record.Value)
	m.observeProposal(record.Promised)
	m.voter.votesAfter, m.voter.awaitsGrantees = h.Now()+m.config.LeaseDuration, record.Joined && len(record.Grantees) > 0
	if record.Incarnation == 0 {
		record.Name, record.Incarnation = m.config.Name, h.Random()|1
		return m.saveRecord(record)
	}
	return nil
}

// saveRecord syncs a new register record. On failure the process stops: what the disk holds is unknown.
func (m *Member) saveRecord(record *wire.RegisterRecord) error {
	content, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	log := m.voter.log
	if log.Size() > 64<<10 {
		err = log.Rewrite(content)
	} else if err = log.Append(content); err == nil {
		err = log.Sync()
	}
	if isDiskFull(err) && m.releaseReserve() {
		err = log.Rewrite(content)
	}
	if err != nil {
		if isSyncFailure(err) {
			m.stop("register: " + err.Error())
		}
		return err
	}
	m.voter.record = record
	m.observeRegister(record.Accepted, record.Value)
	m.observeProposal(record.Promised) // a rival's too: a ballot of one's own must be above it
	return nil
}

func (m *Member) updateRecord(change func(record *wire.RegisterRecord)) error {
	record := proto.Clone(m.voter.record).(*wire.RegisterRecord)
	change(record)
	return m.saveRecord(record)
}

func (m *Member) canVote() bool {
	return m.voter.record.Joined && m.config.Host.Now() >= m.voter.votesAfter
}

func (m *Member) leasedToOther(proposer *wire.MemberID) bool {
	lease := m.voter.grant
	return lease.holder != nil && m.config.Host.Now() < lease.until && !sameMember(lease.holder, proposer)
}

func (m *Member) handleRegisterRead(request *wire.RegisterReadRequest) (*wire.RegisterReadResponse, error) {
	response := &wire.RegisterReadResponse{}
	var why string
	m.voterExecutor.Run(func() {
		record := m.voter.record
		// A reader by an older roster is told of the newer one. Only settings that differ are a fault.
		if record.Value == nil {
			if why = m.initialVotersMismatch(request.Voters); why != "" {
				return
			}
		}
		if current := m.position(); m.replica.incarnation.Load() != 0 {
			response.HasReplica, response.ReplicaEpoch, response.ReplicaSequence = true, current.epoch, current.sequence
		}
		response.CanBootstrap, response.ProcessId = m.config.Bootstrap, m.processID
		response.LeaseRemaining, response.LeaseGrantedTo = m.pledge()
		response.Intact, response.Blank = record.Joined, !record.Joined
		response.Incarnation, response.Promised, response.Accepted, response.Value = record.Incarnation, record.Promised, record.Accepted, record.Value
	})
	if why != "" {
		return nil, apierror.Invalid.New("%s", why)
	}
	return response, nil
}

func (m *Member) handlePrepare(request *wire.PrepareRequest) (*wire.PrepareResponse, error) {
	response := &wire.PrepareResponse{}
	var err error
	m.voterExecutor.Run(func() {
		record := m.voter.record
		response.Promised, response.Incarnation = record.Promised, record.Incarnation
		if response.Reason = m.configurationMismatch(quorum.Config{Voters: request.Voters, Joint: request.JointVoters}, request.KnownProposal); response.Reason != "" {
			response.Accepted, response.Value = record.Accepted, record.Value
			return
		}
		if response.Reason = m.rejectionReason(request.Proposer, request.Proposal <= record.Promised); response.Reason != "" {
			return
		}
		if err = m.updateRecord(func(record *wire.RegisterRecord) {
			record.Promised, record.Grantees = request.Proposal, m.granteesWith(request.Proposer.Name, request.ProcessId)
		}); err != nil {
			return
		}
		m.voter.promisedAt, m.voter.promisedTo = m.config.Host.Now(), request.Proposer
		record = m.voter.record
		response.Granted, response.Promised, response.Accepted, response.Value = true, record.Promised, record.Accepted, record.Value
	})
	return response, err
}

// outdated names why an asker's configuration isn't heard: this seat accepted a newer one, which the asker is told, or the two
// processes' settings differ.
func (m *Member) configurationMismatch(requested quorum.Config, known uint64) string {
	record := m.voter.record
	switch {
	case len(requested.Voters) == 0 || known > record.Accepted || requested.Equal(m.configurationOf(record.Value)):
		return ""
	case record.Value == nil || known == 0 && len(record.Value.Voters) == 0:
		return m.initialVotersMismatch(requested.Voters)
	}
	return fmt.Sprintf("the voters are others by now: %v", record.Value.Voters)
}

// differs tells both rosters where an asker's isn't this voter's: by two rosters two parts could each think themselves a
// quorum.
func (m *Member) initialVotersMismatch(voters []string) string {
	if len(voters) == 0 || slices.Equal(voters, m.config.InitialVoters) {
		return ""
	}
	why := fmt.Sprintf("voters differ: there %v, here %v", voters, m.config.InitialVoters)
	m.mu.Lock()
	reported := m.reportedMismatch
	m.reportedMismatch = why
	m.mu.Unlock()
	if reported != why {
		m.config.Host.Report(eventlog.VotersDiffer, map[string]any{"group": m.config.Group, "why": why})
	}
	return why
}

// objection names why a proposer isn't heard, or nothing.
func (m *Member) rejectionReason(proposer *wire.MemberID, stale bool) string {
	switch {
	case !m.canVote():
		return "not voting yet"
	case !m.ClockWatch.Steady():
		return "the clock may have leapt"
	case m.leasedToOther(proposer):
		return "a tenure stands"
	case stale:
		return "a higher ballot was promised"
	}
	return ""
}

func (m *Member) handleAccept(request *wire.AcceptRequest) (*wire.AcceptResponse, error) {
	response := &wire.AcceptResponse{}
	var err error
	m.voterExecutor.Run(func() {
		v := &m.voter
		response.Promised = v.record.Promised
		fresh := v.promisedTo != nil && m.config.Host.Now()-v.promisedAt <= m.config.LeaseDuration
		if response.Reason = m.rejectionReason(request.Proposer, request.Proposal != v.record.Promised || !fresh || !sameMember(request.Proposer, v.promisedTo)); response.Reason != "" {
			return
		}
		err = m.updateRecord(func(record *wire.RegisterRecord) {
			record.Accepted, record.Value = request.Proposal, request.Value
		})
		response.Granted = err == nil
	})
	return response, err
}

func (m *Member) handleLease(request *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	response := &wire.LeaseResponse{}
	var err error
	m.voterExecutor.Run(func() {
		v := &m.voter
		response.Promised, response.Accepted, response.Value = v.record.Promised, v.record.Accepted, v.record.Value
		if request.Release {
			// A life that ended may be asking late, and the lease be its process's next one's.
			if sameMember(v.grant.holder, request.Leader) && sameGrantees(v.record.Grantees, []*wire.Grantee{{Name: request.Leader.Name, ProcessId: request.ProcessId}}) {
				v.grant = leaseGrant{}
			}
			return
		}
		if response.Reason = m.configurationMismatch(quorum.Config{Voters: request.Voters, Joint: request.JointVoters}, request.KnownProposal); response.Reason != "" {
			return
		}
		// A primary's own ballot, under way or accepted, doesn't stand in the way of its tenure: it's the only one that
		// can bring that ballot about, and it answers nothing until it knows what came of it.
		rival := v.record.Promised > request.Proposal && !sameMember(v.promisedTo, request.Leader)
		newer := v.record.Value != nil && v.record.Value.Epoch > request.Epoch && !sameMember(v.record.Value.Primary, request.Leader)
		if response.Reason = m.rejectionReason(request.Leader, rival || newer); response.Reason != "" {
			return
		}
		if grantees := m.granteesWith(request.Leader.Name, request.ProcessId); !sameGrantees(grantees, v.record.Grantees) {
			if err = m.updateRecord(func(record *wire.RegisterRecord) { record.Grantees = grantees }); err != nil {
				return
			}
		}
		v.grant = leaseGrant{holder: request.Leader, until: m.config.Host.Now() + m.config.LeaseDuration}
		response.Granted = true
		if request.Leader.Name != m.config.Name {
			m.endColdStart()
		}
		m.hintLeader(request.Epoch, request.Leader.Name)
		m.catchUpRegister(request.Leader.Name, request.KnownProposal)
	})
	return response, err
}

// join brings a process with a blank folder in: at genesis, when every voter of the settings is blank, in contact and there for
// it; later, where the roster names it, from the register of enough intact others that any majority of the past is among them;
// and where no roster names it, by asking the primary.
func (m *Member) joinAsVoter() {
	// An earlier life of this seat may have accepted a ballot that others haven't yet. Within a tenure they have or never will, so
	// what is read before that isn't whole.
	waited := false
	m.voterExecutor.Run(func() { waited = m.config.Host.Now() >= m.voter.votesAfter })
	others := m.knownPeers()
	replies := gatherResponses(m, others, m.config.CallTimeout, m.readRegister, nil)
	intact, bootstrap := []string{}, m.config.Bootstrap && slices.Contains(m.config.InitialVoters, m.config.Name)
	var highestPromise, highestAccepted uint64
	var value *wire.RegisterValue
	for _, name := range others {
		reply := replies[name]
		if reply == nil {
			bootstrap = bootstrap && !slices.Contains(m.config.InitialVoters, name)
			continue
		}
		// A promise alone is no value: a first ballot may have failed because this voter hadn't joined yet.
		bootstrap = bootstrap && reply.Accepted == 0 && (reply.CanBootstrap || !slices.Contains(m.config.InitialVoters, name))
		highestPromise = max(highestPromise, reply.Promised)
		if !reply.Intact {
			continue
		}
		intact = append(intact, name)
		if reply.Accepted > highestAccepted {
			highestAccepted, value = reply.Accepted, reply.Value
		}
	}
	if !bootstrap && !waited {
		m.observeRegister(highestAccepted, value)
		return
	}
	current := m.configurationOf(value)
	if !bootstrap && !current.Contains(m.config.Name) {
		m.observeRegister(highestAccepted, value)
		m.requestJoin(false)
		return
	}
	if !bootstrap && !current.HasReadQuorum(intact) {
		return
	}
	m.voterExecutor.Run(func() {
		if !bootstrap {
			m.voter.deferVotes(m.config.Host.Now() + m.config.LeaseDuration)
		} else {
			m.voter.votesAfter = m.config.Host.Now()
		}
		err := m.updateRecord(func(record *wire.RegisterRecord) {
			record.Joined, record.Promised, record.Accepted, record.Value = true, highestPromise, highestAccepted, value
		})
		if err == nil {
			m.config.Host.Report(eventlog.VoterJoined, map[string]any{"group": m.config.Group, "genesis": bootstrap, "promised": highestPromise})
		}
	})
}

// catchUpRegister asks a primary for a value that this seat has missed, so that it knows whom to ask when the primary is gone.
func (m *Member) catchUpRegister(primary string, known uint64) {
	m.mu.Lock()
	behind := m.registerProposal < known
	m.mu.Unlock()
	if behind && primary != m.config.Name {
		m.config.Host.Go(func() {
			if reply, err := m.readRegister(primary); err == nil {
				m.observeRegister(reply.Accepted, reply.Value)
			}
		})
	}
}

// read asks another process for its register.
func (m *Member) readRegister(name string) (*wire.RegisterReadResponse, error) {
	response := &wire.RegisterReadResponse{}
	err := m.call(name, wire.Kind_register_read, &wire.RegisterReadRequest{To: name, From: m.config.Name, Voters: m.config.InitialVoters}, response)
	if err == nil {
		m.recordPeer(name, response)
	}
	return response, err
}
