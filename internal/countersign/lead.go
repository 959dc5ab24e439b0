package countersign

import (
	"errors"
	"slices"

	"snowflow/internal/bulletin"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// attend keeps this member's place: it joins, renews the tenure it has, and takes over when the primary is silent.
func (member *Member) attend() {
	place := member.env.Place
	for {
		place.Sleep(member.env.Beat)
		joined := false
		member.seat.Do(func() { joined = member.voter.record.Joined })
		if !joined {
			member.join()
			continue
		}
		member.lock.Lock()
		leading := member.lead.epoch != 0
		silent := place.Now() - member.lastHeard
		member.lock.Unlock()
		if leading {
			member.renew()
			continue
		}
		if silent <= member.env.Tenure || member.tenureStands() {
			continue
		}
		member.refresh()
		member.lock.Lock()
		value := member.value
		member.lock.Unlock()
		// The backup is first in line; a primary that restarted waits a little longer, and so does each next voter at genesis.
		patience := member.env.Tenure + member.env.Beat
		if value == nil {
			patience = postmark.Micros(member.rank()) * member.env.Tenure
		} else if !sameHolder(value.Backup, member.self()) {
			patience += 2 * member.env.Beat
		}
		if silent > patience+postmark.Micros(place.Random()%uint64(member.env.Beat)) {
			member.takeOver(value)
		}
	}
}

// tenureStands tells whether this seat still grants somebody else's tenure, a sign of life of the primary.
func (member *Member) tenureStands() (stands bool) {
	self := member.self()
	member.seat.Do(func() { stands = member.rivalHeld(self) })
	return stands
}

// refresh reads the other voters' registers: this seat may have missed the ballot that names it as a holder.
func (member *Member) refresh() {
	for _, reply := range gather(member, member.others(), member.env.Patience, func(name string) (*wire.RegisterReadTell, error) {
		tell := &wire.RegisterReadTell{}
		return tell, member.call(name, wire.Kind_register_read, &wire.RegisterReadAsk{To: name, From: member.env.Name, Voters: member.env.Voters}, tell)
	}, nil) {
		member.learn(reply.Accepted, reply.Value)
		member.sawBallot(reply.Promised)
	}
}

// takeOver opens the next epoch with this member as primary, if the register names it as a holder of every
// acknowledged write. Nothing is answered in that epoch until a backup is in step.
func (member *Member) takeOver(known *wire.RegisterValue) {
	self := member.self()
	if known != nil && !sameHolder(known.Primary, self) && !sameHolder(known.Backup, self) {
		return
	}
	value, ballot, err := member.change(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if value == nil {
			if known != nil {
				return nil, errUnchanged
			}
			return &wire.RegisterValue{Epoch: 1, Primary: self, Roster: []*wire.Holder{self}}, nil
		}
		other := value.Backup
		if !sameHolder(value.Primary, self) {
			if !sameHolder(value.Backup, self) {
				return nil, errUnchanged
			}
			other = value.Primary
		}
		member.keeper.Do(func() { member.copy.fenced = max(member.copy.fenced, value.Epoch+1) })
		return &wire.RegisterValue{Epoch: value.Epoch + 1, Primary: self, Backup: other, Roster: value.Roster}, nil
	})
	if err != nil {
		if errors.Is(err, errUnchanged) {
			member.learn(ballot, value)
		}
		member.lock.Lock()
		member.lastHeard = member.env.Place.Now() - member.env.Tenure + postmark.Micros(member.env.Place.Random()%uint64(2*member.env.Beat))
		member.lock.Unlock()
		return
	}
	member.learn(ballot, value)
	member.keeper.Do(func() {
		for _, entry := range member.copy.pending {
			member.apply(entry)
		}
		member.copy.pending = nil
		member.copy.fenced = max(member.copy.fenced, value.Epoch)
		member.lock.Lock()
		defer member.lock.Unlock()
		member.lead = lead{epoch: value.Epoch, ballot: ballot, base: member.copy.holderTime, baseAt: member.env.Place.Now()}
	})
	number := bulletin.TookOver
	if value.Epoch == 1 {
		number = bulletin.Genesis
	}
	member.env.Place.Report(number, map[string]any{"group": member.env.Group, "epoch": value.Epoch})
	member.renew()
}

// stepDown ends this member's lead of an epoch. A lead that has moved on to a later epoch meanwhile isn't touched: news
// that was asked for under the earlier one says nothing of it.
func (member *Member) stepDown(epoch uint64, why string) {
	member.lock.Lock()
	present := epoch != 0 && member.lead.epoch == epoch
	if present {
		member.lead = lead{}
		member.lastHeard = member.env.Place.Now()
	}
	member.lock.Unlock()
	if present {
		member.env.Place.Report(bulletin.SteppedDown, map[string]any{"group": member.env.Group, "epoch": epoch, "why": why})
	}
}

// work is the primary's one task for writes: it commits batches, keeps the backup in touch and replaces a lost one.
func (member *Member) work() {
	lastTick := postmark.Micros(0)
	for {
		batch := member.inbox.Take(member.env.Beat)
		member.lock.Lock()
		state := member.lead
		live := member.env.Place.Now() < state.until
		member.lock.Unlock()
		if state.epoch == 0 || !live {
			finish(batch, ErrNotPrimary)
			continue
		}
		if !state.answering {
			finish(batch, ErrNotPrimary)
			member.settle(nil)
			continue
		}
		if len(batch) == 0 && member.env.Place.Now()-lastTick >= postmark.Second && member.waiting() {
			lastTick = member.env.Place.Now()
			batch = []*proposal{{done: member.env.Place.NewSignal()}}
		}
		member.commit(state, batch)
	}
}

func (member *Member) waiting() bool {
	member.machineLock.Lock()
	defer member.machineLock.Unlock()
	return member.env.Machine.Waiting()
}

func finish(batch []*proposal, err error) {
	for _, request := range batch {
		request.err = err
		request.done.Fire()
	}
}

// commit writes a batch to both copies and applies it; an empty batch only keeps the backup in touch.
// state is the lead as it was when the batch was taken: a lead that ends meanwhile must not change what is written.
func (member *Member) commit(state lead, batch []*proposal) {
	place := member.env.Place
	state = member.agree(state)
	epoch, backup, now := state.epoch, state.backup, state.holderTime(place.Now())
	ask := &wire.ReplicateAsk{To: backup.Name, From: member.self(), ToIncarnation: backup.Incarnation, Epoch: epoch, HolderTime: int64(now)}
	member.keeper.Do(func() {
		ask.PreviousEpoch, ask.PreviousSequence = member.copy.epoch, member.copy.sequence
		now = max(now, member.copy.holderTime)
	})
	for index, request := range batch {
		ask.Entries = append(ask.Entries, &wire.Entry{Epoch: epoch, Sequence: ask.PreviousSequence + uint64(index) + 1,
			HolderTime: int64(now), Command: request.command})
	}
	// A backup that is there for want of another is given longer than one that can be replaced: time for a rewrite.
	patience := member.env.Patience
	if state.lastResort {
		patience = 3 * member.env.Tenure
	}
	var remote error
	var taken postmark.Micros
	answered, started := place.NewSignal(), place.Now()
	place.Go(func() {
		tell := &wire.ReplicateTell{}
		remote = member.env.Book.Call(backup.Name, wire.Kind_replicate, ask, tell, patience)
		if remote == nil && !tell.Stored {
			remote = errors.New(tell.Why)
		}
		taken = place.Now() - started
		answered.Fire()
	})
	var local error
	if len(batch) > 0 {
		member.keeper.Do(func() {
			if member.copy.fenced > epoch || member.copy.sequence != ask.PreviousSequence {
				local = errors.New("another primary wrote this copy")
			} else if local = member.store(ask.Entries); local == nil {
				member.copy.pending = ask.Entries
			}
		})
	}
	for !answered.Wait(postmark.Minute) {
	}
	if local != nil {
		// The backup may hold what this copy does not, so this member can't go on in this epoch.
		finish(batch, ErrUnknown)
		member.handOver("own disk: " + local.Error())
		return
	}
	if remote != nil {
		member.lock.Lock()
		member.lead.failures++
		failures := member.lead.failures
		member.lock.Unlock()
		if len(batch) == 0 && failures < 3 {
			return
		}
		member.dropBackup(backup, remote.Error())
		// The batch is part of what the next backup is given; it's answered once that one is in step.
		results := member.applyPending()
		if member.settle(backup) {
			member.reply(batch, results, epoch)
		} else {
			finish(batch, ErrUnknown)
		}
		return
	}
	member.lock.Lock()
	member.lead.failures = 0
	if member.lead.epoch == epoch {
		member.lead.exchanged = place.Now()
	}
	member.lock.Unlock()
	member.reply(batch, member.applyPending(), epoch)
	if len(batch) > 0 {
		member.minding(backup, taken > member.env.SlowSync)
	}
}

// agreeAfter is how long a primary may not have exchanged holder time with its backup before it asks how much has passed
// there: less than what a backup lets pass unasked.
const agreeAfter = 700 * postmark.Millisecond

// agree has the backup's clock bear witness where this one says that long has passed since the last exchange, or that time ran
// backward: it may have leapt, and no wait or claim may end on its word alone.
func (member *Member) agree(state lead) lead {
	place := member.env.Place
	since := place.Now() - state.exchanged
	if since >= 0 && since < agreeAfter || member.env.Unwitnessed {
		return state
	}
	ask := &wire.ReplicateAsk{To: state.backup.Name, From: member.self(), ToIncarnation: state.backup.Incarnation, Epoch: state.epoch}
	member.keeper.Do(func() {
		ask.PreviousEpoch, ask.PreviousSequence = member.copy.epoch, member.copy.sequence
		ask.HolderTime = int64(max(member.copy.holderTime, state.holderTime(place.Now())))
	})
	tell := &wire.ReplicateTell{}
	if member.env.Book.Call(state.backup.Name, wire.Kind_replicate, ask, tell, member.env.Patience) != nil || !tell.Stored && tell.Why != leapt {
		return state // the batch itself will find out what is wrong, and the backup turns down what it can't vouch for
	}
	agreed := postmark.Micros(ask.HolderTime)
	if !tell.Stored {
		member.keeper.Do(func() { agreed = max(member.copy.holderTime, postmark.Micros(tell.HolderTime)) })
		member.env.Place.Report(bulletin.HolderTimeBound, map[string]any{"group": member.env.Group, "micros": ask.HolderTime - tell.HolderTime})
	}
	state.base, state.baseAt, state.exchanged = agreed, place.Now(), place.Now()
	member.lock.Lock()
	defer member.lock.Unlock()
	if member.lead.epoch == state.epoch {
		member.lead.base, member.lead.baseAt, member.lead.exchanged = state.base, state.baseAt, state.exchanged
	}
	return state
}

// reply answers a batch, unless the tenure ended meanwhile.
func (member *Member) reply(batch []*proposal, results [][]byte, epoch uint64) {
	if !member.Answering() || member.Epoch() < epoch || len(results) != len(batch) {
		finish(batch, ErrUnknown)
		return
	}
	for index, request := range batch {
		request.result = results[index]
	}
	finish(batch, nil)
}

func (member *Member) applyPending() (results [][]byte) {
	member.keeper.Do(func() {
		for _, entry := range member.copy.pending {
			results = append(results, member.apply(entry))
		}
		member.copy.pending = nil
	})
	return results
}

// reliefPause is how often something is done about a slow disk: each change of the two copies holds writes up.
const reliefPause = 10 * postmark.Second

// minding looks at how long a batch took to sync. Three slow ones in a row make the primary hand over, if it was its own
// disk alone, or take another backup; both only if there is a third voter.
func (member *Member) minding(backup *wire.Holder, slowBackup bool) {
	slowOwn := false
	member.keeper.Do(func() { slowOwn = member.copy.lastSync > member.env.SlowSync })
	count := func(counter *int, slow bool) bool {
		if *counter++; !slow {
			*counter = 0
		}
		return *counter >= 3
	}
	member.lock.Lock()
	leave := count(&member.lead.slowSyncs, slowOwn && !slowBackup)
	relieve := count(&member.lead.slowReplies, slowBackup)
	heavy := member.roster().heavy()
	prefer := heavy != "" && member.env.Name != heavy && backup.Name != heavy && !slowOwn && !slowBackup
	value, due := member.value, member.env.Place.Now()-member.relieved >= reliefPause
	member.lock.Unlock()
	if !due || !leave && !relieve && !prefer {
		return
	}
	member.relieved = member.env.Place.Now()
	if prefer && !leave && !relieve {
		// The voter that counts double is to have a copy again, now that it's back.
		if member.reachable(heavy) {
			member.dropBackup(backup, "another is preferred")
			member.settle(nil)
		}
		return
	}
	// Without a third voter both disks are needed for every write, whoever leads.
	spare := slices.ContainsFunc(member.candidates(value, backup), func(name string) bool { return name != backup.Name && member.reachable(name) })
	if !spare {
		return
	}
	if leave {
		member.env.Place.Report(bulletin.DiskSlow, map[string]any{"group": member.env.Group})
		member.handOver("own disk is slow")
		return
	}
	member.dropBackup(backup, "its disk is slow")
	member.settle(backup)
}

// dropBackup stops answering until another backup is in step.
func (member *Member) dropBackup(backup *wire.Holder, why string) {
	member.env.Place.Report(bulletin.BackupLost, map[string]any{"group": member.env.Group, "backup": backup.Name, "error": why})
	member.lock.Lock()
	defer member.lock.Unlock()
	member.lead.answering, member.lead.backup = false, nil
}

// reachable asks a voter something small.
func (member *Member) reachable(name string) bool {
	return member.call(name, wire.Kind_register_read, &wire.RegisterReadAsk{To: name, From: member.env.Name, Voters: member.env.Voters}, &wire.RegisterReadTell{}) == nil
}

// installPatience is how long a whole view may take to reach a new backup and be synced there.
const installPatience = 5 * postmark.Second

// settle brings a backup into step and names it in the register; only then does the primary answer.
func (member *Member) settle(failed *wire.Holder) bool {
	member.lock.Lock()
	epoch, value := member.lead.epoch, member.value
	member.lock.Unlock()
	if epoch == 0 {
		return false
	}
	for _, name := range member.candidates(value, failed) {
		// A voter that doesn't answer a small ask isn't waited for with a large one.
		if !member.reachable(name) {
			continue
		}
		tell := &wire.InstallTell{}
		err := member.env.Book.Call(name, wire.Kind_install, &wire.InstallAsk{To: name, From: member.self(), Epoch: epoch, View: member.viewNow()},
			tell, installPatience)
		if err != nil || !tell.Stored {
			continue
		}
		backup := &wire.Holder{Name: name, Incarnation: tell.Incarnation}
		fresh, ballot, err := member.change(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
			if value == nil || value.Epoch != epoch || !sameHolder(value.Primary, member.self()) {
				return nil, errUnchanged
			}
			return &wire.RegisterValue{Epoch: epoch + 1, Primary: member.self(), Backup: backup, Settled: true,
				Roster: withHolder(value.Roster, member.self(), backup)}, nil
		})
		if errors.Is(err, errUnchanged) {
			member.learn(ballot, fresh)
			member.stepDown(epoch, "another epoch began")
			return false
		}
		if err != nil {
			// Whether the ballot took effect is not known, so the epoch is read anew by taking over from scratch.
			member.stepDown(epoch, "no majority for a new backup")
			return false
		}
		member.learn(ballot, fresh)
		// The copy's pair of epoch and sequence must match what the backup noted on installing.
		member.keeper.Do(func() { member.copy.epoch = max(member.copy.epoch, epoch) })
		member.lock.Lock()
		if member.lead.epoch != epoch {
			member.lock.Unlock()
			return false
		}
		member.lead.epoch, member.lead.ballot, member.lead.backup, member.lead.outbid = fresh.Epoch, ballot, backup, false
		member.lead.failures, member.lead.slowSyncs, member.lead.slowReplies = 0, 0, 0
		member.lead.exchanged = member.env.Place.Now()
		member.lead.lastResort = failed != nil && failed.Name == name
		member.lock.Unlock()
		member.renew()
		if member.env.Settled != nil {
			member.env.Settled(fresh.Epoch, member.HolderTime())
		}
		member.lock.Lock()
		settled := member.lead.epoch == fresh.Epoch && member.env.Place.Now() < member.lead.until
		member.lead.answering = settled
		member.lock.Unlock()
		if settled {
			member.env.Place.Report(bulletin.Settled, map[string]any{"group": member.env.Group, "epoch": fresh.Epoch, "backup": name})
		}
		return settled
	}
	return false
}

func (member *Member) viewNow() (view *wire.View) {
	member.keeper.Do(func() { view = member.view() })
	return view
}

// candidates orders the other voters: the one that counts double first, so that its half of a split core has a copy, then the
// present copy, and last one that just failed.
func (member *Member) candidates(value *wire.RegisterValue, failed *wire.Holder) []string {
	var heavy, first, rest, last []string
	for _, name := range member.others() {
		switch {
		case failed != nil && failed.Name == name:
			last = append(last, name)
		case name == member.roster().heavy():
			heavy = append(heavy, name)
		case value != nil && value.Backup != nil && value.Backup.Name == name:
			first = append(first, name)
		default:
			rest = append(rest, name)
		}
	}
	return slices.Concat(heavy, first, rest, last)
}

func withHolder(roster []*wire.Holder, holders ...*wire.Holder) []*wire.Holder {
	var next []*wire.Holder
	replaced := map[string]bool{}
	for _, holder := range holders {
		replaced[holder.Name] = true
	}
	for _, present := range roster {
		if !replaced[present.Name] {
			next = append(next, present)
		}
	}
	return append(next, holders...)
}

// handOver gives the lead to the backup: the tenure is released first, so it need not be waited out.
func (member *Member) handOver(why string) {
	member.lock.Lock()
	state := member.lead
	member.lock.Unlock()
	if state.epoch == 0 {
		return
	}
	member.stepDown(state.epoch, why)
	var along []byte
	if member.env.Handing != nil {
		along = member.env.Handing() // nothing is answered any more, so this is the last word
	}
	member.askTenure(state.epoch, state.ballot, true)
	if state.backup != nil {
		member.env.Place.Report(bulletin.HandedOver, map[string]any{"group": member.env.Group, "to": state.backup.Name, "why": why})
		_ = member.call(state.backup.Name, wire.Kind_handover, &wire.HandoverAsk{To: state.backup.Name, Epoch: state.epoch, Content: along}, &wire.HandoverTell{})
	}
	member.lock.Lock()
	member.lastHeard = member.env.Place.Now() + 4*member.env.Tenure
	member.lock.Unlock()
}

// HandOver is for a planned stop.
func (member *Member) HandOver(why string) { member.handOver(why) }
