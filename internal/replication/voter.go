package replication

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
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
//   - nothing is promised, accepted or granted before votesFrom, because an earlier life may have granted a tenure;
//   - whoever may hold a lease granted here is among record.Grantees, on disk before the grant is answered;
//   - votesFrom is only cut short while it stands for an earlier life's grants alone, and once each of the grantees is known to be
//     over: a lease is held by one life of a process, and ends with it.
type voter struct {
	log        *wal.Log
	record     *wire.RegisterRecord
	promisedAt monotonic.Micros
	promisedTo *wire.MemberID // in this life
	votesFrom  monotonic.Micros
	inherited  bool // votesFrom stands for an earlier life's grants, of which record.Grantees tells
	grant      grant
}

// waitOut has nothing promised before some moment, whatever becomes known.
func (voter *voter) waitOut(until monotonic.Micros) {
	voter.votesFrom, voter.inherited = max(voter.votesFrom, until), false
}

type grant struct {
	holder *wire.MemberID
	until  monotonic.Micros
}

const registerFile = "register"

func (member *Member) openVoter() error {
	place := member.env.Place
	member.voter.record = &wire.RegisterRecord{}
	log, err := wal.Open(place.Disk(), member.file(registerFile), func(content []byte) error {
		record := &wire.RegisterRecord{}
		if err := proto.Unmarshal(content, record); err != nil {
			return err
		}
		member.voter.record = record
		return nil
	})
	if isDamaged(err) {
		place.Report(eventlog.DiskDamaged, map[string]any{"file": member.file(registerFile), "error": err.Error()})
		member.voter.record = &wire.RegisterRecord{}
		log, err = wal.Discard(place.Disk(), member.file(registerFile))
	}
	if err != nil {
		return err
	}
	if log.Cut > 0 {
		place.Report(eventlog.DiskTornTail, map[string]any{"file": member.file(registerFile), "bytes": log.Cut})
	}
	member.voter.log = log
	record := member.voter.record
	if record.Name != "" && record.Name != member.env.Name {
		return apierror.Invalid.New("data folder belongs to %s, not to %s", record.Name, member.env.Name)
	}
	// Who votes may stand nowhere but here: after a start of the whole core nobody else could tell.
	member.learn(record.Accepted, record.Value)
	member.sawBallot(record.Promised)
	member.voter.votesFrom, member.voter.inherited = place.Now()+member.env.Tenure, record.Joined && len(record.Grantees) > 0
	if record.Incarnation == 0 {
		record.Name, record.Incarnation = member.env.Name, place.Random()|1
		return member.keepRecord(record)
	}
	return nil
}

// keepRecord syncs a new register record. On failure the process stops: what the disk holds is unknown.
func (member *Member) keepRecord(record *wire.RegisterRecord) error {
	content, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	log := member.voter.log
	if log.Size() > 64<<10 {
		err = log.Rewrite(content)
	} else if err = log.Append(content); err == nil {
		err = log.Sync()
	}
	if isFull(err) && member.releaseReserve() {
		err = log.Rewrite(content)
	}
	if err != nil {
		if isPoisoned(err) {
			member.stop("register: " + err.Error())
		}
		return err
	}
	member.voter.record = record
	member.learn(record.Accepted, record.Value)
	member.sawBallot(record.Promised) // a rival's too: a ballot of one's own must be above it
	return nil
}

func (member *Member) changeRecord(change func(record *wire.RegisterRecord)) error {
	record := proto.Clone(member.voter.record).(*wire.RegisterRecord)
	change(record)
	return member.keepRecord(record)
}

func (member *Member) votes() bool {
	return member.voter.record.Joined && member.env.Place.Now() >= member.voter.votesFrom
}

func (member *Member) rivalHeld(proposer *wire.MemberID) bool {
	standing := member.voter.grant
	return standing.holder != nil && member.env.Place.Now() < standing.until && !sameHolder(standing.holder, proposer)
}

func (member *Member) answerRegisterRead(ask *wire.RegisterReadRequest) (*wire.RegisterReadResponse, error) {
	tell := &wire.RegisterReadResponse{}
	var why string
	member.seat.Do(func() {
		record := member.voter.record
		// A reader by an older roster is told of the newer one. Only settings that differ are a fault.
		if record.Value == nil {
			if why = member.differs(ask.Voters); why != "" {
				return
			}
		}
		if present := member.position(); member.copy.incarnation.Load() != 0 {
			tell.HasReplica, tell.ReplicaEpoch, tell.ReplicaSequence = true, present.epoch, present.sequence
		}
		tell.CanBootstrap, tell.ProcessId = member.env.Genesis, member.life
		tell.LeaseRemaining, tell.LeaseGrantedTo = member.bound()
		tell.Intact, tell.Blank = record.Joined, !record.Joined
		tell.Incarnation, tell.Promised, tell.Accepted, tell.Value = record.Incarnation, record.Promised, record.Accepted, record.Value
	})
	if why != "" {
		return nil, apierror.Invalid.New("%s", why)
	}
	return tell, nil
}

func (member *Member) answerPromise(ask *wire.PrepareRequest) (*wire.PrepareResponse, error) {
	tell := &wire.PrepareResponse{}
	var err error
	member.seat.Do(func() {
		record := member.voter.record
		tell.Promised, tell.Incarnation = record.Promised, record.Incarnation
		if tell.Reason = member.outdated(configuration{ask.Voters, ask.JointVoters}, ask.KnownProposal); tell.Reason != "" {
			tell.Accepted, tell.Value = record.Accepted, record.Value
			return
		}
		if tell.Reason = member.objection(ask.Proposer, ask.Proposal <= record.Promised); tell.Reason != "" {
			return
		}
		if err = member.changeRecord(func(record *wire.RegisterRecord) {
			record.Promised, record.Grantees = ask.Proposal, member.grantees(ask.Proposer.Name, ask.ProcessId)
		}); err != nil {
			return
		}
		member.voter.promisedAt, member.voter.promisedTo = member.env.Place.Now(), ask.Proposer
		record = member.voter.record
		tell.Granted, tell.Promised, tell.Accepted, tell.Value = true, record.Promised, record.Accepted, record.Value
	})
	return tell, err
}

// outdated names why an asker's configuration isn't heard: this seat accepted a newer one, which the asker is told, or the two
// processes' settings differ.
func (member *Member) outdated(asked configuration, known uint64) string {
	record := member.voter.record
	switch {
	case len(asked.voters) == 0 || known > record.Accepted || asked.same(member.configurationOf(record.Value)):
		return ""
	case record.Value == nil || known == 0 && len(record.Value.Voters) == 0:
		return member.differs(asked.voters)
	}
	return fmt.Sprintf("the voters are others by now: %v", record.Value.Voters)
}

// differs tells both rosters where an asker's isn't this voter's: by two rosters two parts could each think themselves a
// quorum.
func (member *Member) differs(voters []string) string {
	if len(voters) == 0 || slices.Equal(voters, member.env.Voters) {
		return ""
	}
	why := fmt.Sprintf("voters differ: there %v, here %v", voters, member.env.Voters)
	member.lock.Lock()
	told := member.told
	member.told = why
	member.lock.Unlock()
	if told != why {
		member.env.Place.Report(eventlog.VotersDiffer, map[string]any{"group": member.env.Group, "why": why})
	}
	return why
}

// objection names why a proposer isn't heard, or nothing.
func (member *Member) objection(proposer *wire.MemberID, stale bool) string {
	switch {
	case !member.votes():
		return "not voting yet"
	case !member.Vigil.Steady():
		return "the clock may have leapt"
	case member.rivalHeld(proposer):
		return "a tenure stands"
	case stale:
		return "a higher ballot was promised"
	}
	return ""
}

func (member *Member) answerAccept(ask *wire.AcceptRequest) (*wire.AcceptResponse, error) {
	tell := &wire.AcceptResponse{}
	var err error
	member.seat.Do(func() {
		voter := &member.voter
		tell.Promised = voter.record.Promised
		fresh := voter.promisedTo != nil && member.env.Place.Now()-voter.promisedAt <= member.env.Tenure
		if tell.Reason = member.objection(ask.Proposer, ask.Proposal != voter.record.Promised || !fresh || !sameHolder(ask.Proposer, voter.promisedTo)); tell.Reason != "" {
			return
		}
		err = member.changeRecord(func(record *wire.RegisterRecord) {
			record.Accepted, record.Value = ask.Proposal, ask.Value
		})
		tell.Granted = err == nil
	})
	return tell, err
}

func (member *Member) answerTenure(ask *wire.LeaseRequest) (*wire.LeaseResponse, error) {
	tell := &wire.LeaseResponse{}
	var err error
	member.seat.Do(func() {
		voter := &member.voter
		tell.Promised, tell.Accepted, tell.Value = voter.record.Promised, voter.record.Accepted, voter.record.Value
		if ask.Release {
			// A life that ended may be asking late, and the lease be its process's next one's.
			if sameHolder(voter.grant.holder, ask.Leader) && sameGrantees(voter.record.Grantees, []*wire.Grantee{{Name: ask.Leader.Name, ProcessId: ask.ProcessId}}) {
				voter.grant = grant{}
			}
			return
		}
		if tell.Reason = member.outdated(configuration{ask.Voters, ask.JointVoters}, ask.KnownProposal); tell.Reason != "" {
			return
		}
		// A primary's own ballot, under way or accepted, doesn't stand in the way of its tenure: it's the only one that
		// can bring that ballot about, and it answers nothing until it knows what came of it.
		rival := voter.record.Promised > ask.Proposal && !sameHolder(voter.promisedTo, ask.Leader)
		newer := voter.record.Value != nil && voter.record.Value.Epoch > ask.Epoch && !sameHolder(voter.record.Value.Primary, ask.Leader)
		if tell.Reason = member.objection(ask.Leader, rival || newer); tell.Reason != "" {
			return
		}
		if grantees := member.grantees(ask.Leader.Name, ask.ProcessId); !sameGrantees(grantees, voter.record.Grantees) {
			if err = member.changeRecord(func(record *wire.RegisterRecord) { record.Grantees = grantees }); err != nil {
				return
			}
		}
		voter.grant = grant{holder: ask.Leader, until: member.env.Place.Now() + member.env.Tenure}
		tell.Granted = true
		if ask.Leader.Name != member.env.Name {
			member.grown()
		}
		member.leads(ask.Epoch, ask.Leader.Name)
		member.catchUp(ask.Leader.Name, ask.KnownProposal)
	})
	return tell, err
}

// join brings a process with a blank folder in: at genesis, when every voter of the settings is blank, in contact and there for
// it; later, where the roster names it, from the register of enough intact others that any majority of the past is among them;
// and where no roster names it, by asking the primary.
func (member *Member) join() {
	// An earlier life of this seat may have accepted a ballot that others haven't yet. Within a tenure they have or never will, so
	// what is read before that isn't whole.
	whole := false
	member.seat.Do(func() { whole = member.env.Place.Now() >= member.voter.votesFrom })
	others := member.acquaintances()
	replies := gather(member, others, member.env.Patience, member.read, nil)
	intact, virgin := []string{}, member.env.Genesis && slices.Contains(member.env.Voters, member.env.Name)
	var highestPromise, highestAccepted uint64
	var value *wire.RegisterValue
	for _, name := range others {
		reply := replies[name]
		if reply == nil {
			virgin = virgin && !slices.Contains(member.env.Voters, name)
			continue
		}
		// A promise alone is no value: a first ballot may have failed because this voter hadn't joined yet.
		virgin = virgin && reply.Accepted == 0 && (reply.CanBootstrap || !slices.Contains(member.env.Voters, name))
		highestPromise = max(highestPromise, reply.Promised)
		if !reply.Intact {
			continue
		}
		intact = append(intact, name)
		if reply.Accepted > highestAccepted {
			highestAccepted, value = reply.Accepted, reply.Value
		}
	}
	if !virgin && !whole {
		member.learn(highestAccepted, value)
		return
	}
	present := member.configurationOf(value)
	if !virgin && !present.has(member.env.Name) {
		member.learn(highestAccepted, value)
		member.enroll(false)
		return
	}
	if !virgin && !present.heard(intact) {
		return
	}
	member.seat.Do(func() {
		if !virgin {
			member.voter.waitOut(member.env.Place.Now() + member.env.Tenure)
		} else {
			member.voter.votesFrom = member.env.Place.Now()
		}
		err := member.changeRecord(func(record *wire.RegisterRecord) {
			record.Joined, record.Promised, record.Accepted, record.Value = true, highestPromise, highestAccepted, value
		})
		if err == nil {
			member.env.Place.Report(eventlog.VoterJoined, map[string]any{"group": member.env.Group, "genesis": virgin, "promised": highestPromise})
		}
	})
}

// catchUp asks a primary for a value that this seat has missed, so that it knows whom to ask when the primary is gone.
func (member *Member) catchUp(primary string, known uint64) {
	member.lock.Lock()
	behind := member.valueBallot < known
	member.lock.Unlock()
	if behind && primary != member.env.Name {
		member.env.Place.Go(func() {
			if reply, err := member.read(primary); err == nil {
				member.learn(reply.Accepted, reply.Value)
			}
		})
	}
}

// read asks another process for its register.
func (member *Member) read(name string) (*wire.RegisterReadResponse, error) {
	tell := &wire.RegisterReadResponse{}
	err := member.call(name, wire.Kind_register_read, &wire.RegisterReadRequest{To: name, From: member.env.Name, Voters: member.env.Voters}, tell)
	if err == nil {
		member.sighted(name, tell)
	}
	return tell, err
}
