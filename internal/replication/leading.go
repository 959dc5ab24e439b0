package replication

import (
	"errors"
	"slices"
	"sync"

	"snowflow/internal/bulletin"
	"snowflow/internal/host"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
)

// attend keeps this member's place: it joins, renews the tenure it has, and takes over when the primary is silent.
func (member *Member) attend() {
	place, pause, vacantSince := member.env.Place, member.glance(), postmark.Micros(-1)
	soon := postmark.Minute
	for ; ; pause = min(member.rest(), soon) {
		member.nudge.Wait(pause)
		soon = postmark.Minute
		joined := false
		member.seat.Do(func() { joined = member.voter.record.Joined })
		if !joined {
			member.join()
			if !member.amongVoters() {
				place.Sleep(member.env.Tenure / 2) // a stranger waits for the primary, not the other way round
			}
			continue
		}
		member.lock.Lock()
		leading, young := member.lead.epoch != 0, member.young
		silent := place.Now() - member.lastHeard
		member.lock.Unlock()
		if leading {
			member.renew()
			member.tend()
			continue
		}
		if !member.amongVoters() && !member.holder() {
			member.enroll(true)
			place.Sleep(member.env.Tenure - member.env.Beat)
			continue
		}
		if silent <= member.env.Tenure && !young || member.tenureStands() {
			vacantSince = -1
			continue
		}
		member.refresh()
		member.lock.Lock()
		value := member.value
		member.lock.Unlock()
		// The backup is first in line; a primary that restarted waits a little longer, and so does each next voter at genesis.
		backup := holds(backupsOf(value), member.self())
		free, wait := member.vacant()
		if now := place.Now(); !free {
			vacantSince = -1
		} else if vacantSince < 0 {
			vacantSince = now
		}
		ready := value != nil && free && (backup || member.succeeds(value) || place.Now()-vacantSince >= member.env.Beat)
		patience := member.env.Tenure + member.env.Beat
		if value == nil {
			patience = postmark.Micros(member.rank()) * member.env.Tenure
		} else if !backup {
			patience += 2 * member.env.Beat
		}
		if ready || silent > patience+postmark.Micros(place.Random()%uint64(member.env.Beat)) {
			member.takeOver(value)
		} else if value != nil && !free {
			soon = max(wait, postmark.Millisecond)
		}
	}
}

// grown notes that a primary was heard of, or that this member tried to be one.
func (member *Member) grown() {
	member.lock.Lock()
	defer member.lock.Unlock()
	member.young = false
}

// glance is how soon a process that has just started, or sees nobody lead, looks again.
func (member *Member) glance() postmark.Micros { return member.env.Beat / 6 }

// tenureStands tells whether this seat still grants somebody else's tenure, a sign of life of the primary.
func (member *Member) tenureStands() (stands bool) {
	self := member.self()
	member.seat.Do(func() { stands = member.rivalHeld(self) })
	return stands
}

// pace is how often a primary renews its lease and has its backups hear of it.
func (member *Member) pace() postmark.Micros { return member.env.Tenure / 3 }

// rest is how long nothing can be due here: a primary renews at its pace, and others look again when the one that they heard may
// be silent for too long. A handover cuts it short.
func (member *Member) rest() postmark.Micros {
	member.lock.Lock()
	leading, young, silent := member.lead.epoch != 0, member.young && member.value != nil, member.env.Place.Now()-member.lastHeard
	member.lock.Unlock()
	joined, stands := false, postmark.Micros(0)
	self := member.self()
	member.seat.Do(func() {
		joined = member.voter.record.Joined
		if member.rivalHeld(self) {
			stands = member.voter.grant.until - member.env.Place.Now()
		}
	})
	switch {
	case !joined:
		return member.env.Beat
	case leading:
		return member.pace()
	case stands > 0:
		return stands + postmark.Millisecond
	case young && silent < 2*member.env.Tenure:
		return member.glance()
	case silent < member.env.Tenure:
		return min(member.env.Tenure-silent, member.env.Tenure) + postmark.Millisecond
	case silent > 4*member.env.Tenure:
		return member.env.Beat
	}
	return 2 * member.glance()
}

// amongVoters tells whether the newest roster heard of has this member.
func (member *Member) amongVoters() bool {
	present, _ := member.configuration()
	return present.has(member.env.Name)
}

// holder tells whether the newest value heard of names this copy as one of those that hold every acknowledged write.
func (member *Member) holder() bool {
	self := member.self()
	member.lock.Lock()
	defer member.lock.Unlock()
	return member.value != nil && (sameHolder(member.value.Primary, self) || holds(backupsOf(member.value), self))
}

// refresh reads the other voters' registers: this seat may have missed the ballot that names it as a holder. Answers that come
// late are taken note of all the same.
func (member *Member) refresh() {
	gather(member, member.acquaintances(), 2*member.glance(), member.read, nil)
}

// takeOver opens the next epoch with this member as primary, if the register names it as a holder of every
// acknowledged write. Nothing is answered in that epoch until a backup is in step.
func (member *Member) takeOver(known *wire.RegisterValue) {
	self := member.self()
	member.lock.Lock()
	stopping := member.stopping
	member.lock.Unlock()
	if stopping || known != nil && !member.env.Unheld && !sameHolder(known.Primary, self) && !holds(backupsOf(known), self) {
		return
	}
	member.grown()
	value, ballot, err := member.change(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if value == nil {
			if known != nil {
				return nil, errUnchanged
			}
			return &wire.RegisterValue{Epoch: 1, Primary: self, Roster: []*wire.Holder{self}, Voters: member.env.Voters}, nil
		}
		others := backupsOf(value)
		if !sameHolder(value.Primary, self) {
			if !holds(others, self) && !member.env.Unheld {
				return nil, errUnchanged
			}
			others = append([]*wire.Holder{value.Primary}, slices.DeleteFunc(slices.Clone(others), func(one *wire.Holder) bool { return sameHolder(one, self) })...)
		}
		member.keeper.Do(func() { member.copy.fenced = max(member.copy.fenced, value.Epoch+1) })
		return next(value, value.Epoch+1, self, others), nil
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
		member.lead = lead{epoch: value.Epoch, ballot: ballot, chosen: value, since: member.env.Place.Now(), base: member.copy.holderTime, baseAt: member.env.Place.Now(), exchanged: member.env.Place.Now()}
	})
	number := bulletin.TookOver
	if value.Epoch == 1 {
		number = bulletin.Genesis
	}
	member.env.Place.Report(number, map[string]any{"group": member.env.Group, "epoch": value.Epoch})
	member.renew()
	member.inbox.Put(nil) // the work task is to settle now
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

// work is the primary's one task for writes: it commits batches, keeps the backups in touch and replaces lost ones.
func (member *Member) work() {
	lastTick, lastWrite := postmark.Micros(0), postmark.Micros(0)
	pause := member.env.Beat
	for {
		batch := slices.DeleteFunc(member.inbox.Take(pause), func(request *proposal) bool { return request == nil })
		now := member.env.Place.Now()
		member.lock.Lock()
		state := member.lead
		member.lock.Unlock()
		pause = member.pace()
		if state.epoch == 0 || now >= state.until {
			finish(batch, ErrNotPrimary)
			continue
		}
		if !state.answering {
			finish(batch, ErrNotPrimary)
			member.settle(nil)
			pause = member.env.Beat
			continue
		}
		// Three paces may be a little less than a second.
		if len(batch) == 0 && now-lastTick >= postmark.Second-member.pace()/2 && member.waiting() {
			lastTick = now
			batch = []*proposal{{done: member.env.Place.NewSignal()}}
		}
		if since := now - lastWrite; len(batch) == 0 && since >= 0 && since < member.pace() {
			pause = member.pace() - since // the backups heard a write since
			member.relieveLeavers()
			continue
		}
		lastWrite = now
		member.commit(state, batch)
		member.relieveLeavers()
		member.complete()
	}
}

// completePause is how often a primary with fewer backups than wanted looks for more.
const completePause = 2 * postmark.Second

// complete takes further backups once voters that may be some are back.
func (member *Member) complete() {
	now := member.env.Place.Now()
	member.lock.Lock()
	state := member.lead
	member.lock.Unlock()
	if !state.answering || len(state.backups) >= member.env.Copies-1 || now-member.completed < completePause {
		return
	}
	member.completed = now
	if member.spare(state.backups) {
		member.dropBackups(nil, "")
		member.settle(nil)
	}
}

// spare tells whether some voter that holds no copy, and doesn't leave, could take one now.
func (member *Member) spare(backups []*wire.Holder) bool {
	now := member.env.Place.Now()
	return slices.ContainsFunc(member.others(), func(name string) bool {
		member.lock.Lock()
		heard, known := member.heard[name]
		leaves := member.leavingNow(now)[name]
		member.lock.Unlock()
		return known && !leaves && now-heard < member.env.Tenure && !slices.Contains(names(backups), name) && member.reachable(name)
	})
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

// delivery is how one backup took a batch. Its first end counts.
type delivery struct {
	backup   *wire.Holder
	answered host.Signal
	lock     sync.Mutex
	over     bool
	err      error
	taken    postmark.Micros
}

func (delivery *delivery) end(err error, taken postmark.Micros) {
	delivery.lock.Lock()
	if !delivery.over {
		delivery.over, delivery.err, delivery.taken = true, err, taken
	}
	delivery.lock.Unlock()
	delivery.answered.Fire()
}

func (delivery *delivery) ended() bool {
	delivery.lock.Lock()
	defer delivery.lock.Unlock()
	return delivery.over
}

// errSilent: a backup answered neither a batch nor a small ask.
var errSilent = errors.New("it says nothing")

const (
	// silentAfter is how long a batch may be unanswered before its backup is asked something small. A slow disk holds a batch up, but
	// not such an ask.
	silentAfter = 100 * postmark.Millisecond
	// smallPatience is how long that is waited for; well above the longest way there and back.
	smallPatience = 150 * postmark.Millisecond
)

// silent tells whether a backup that hasn't answered a batch yet doesn't answer a small ask either, while another voter that could take
// its place was heard lately.
func (member *Member) silent(delivery *delivery) bool {
	spare := slices.ContainsFunc(member.others(), func(name string) bool {
		return name != delivery.backup.Name && member.env.Place.Now()-member.heardAt(name) < member.env.Tenure
	})
	if !spare {
		return false
	}
	began := member.env.Place.Now()
	member.env.Place.Go(func() { _, _ = member.read(delivery.backup.Name) })
	delivery.answered.Wait(smallPatience)
	return !delivery.ended() && member.heardAt(delivery.backup.Name) < began
}

// spread sends entries to every backup at once. Once signals have fired the deliveries are whole.
func (member *Member) spread(ask *wire.ReplicateAsk, backups []*wire.Holder, patience postmark.Micros) (deliveries []*delivery, wait func()) {
	place := member.env.Place
	started, waits := place.Now(), []func(){}
	for _, backup := range backups {
		delivery := &delivery{backup: backup, answered: place.NewSignal()}
		deliveries = append(deliveries, delivery)
		addressed := &wire.ReplicateAsk{To: backup.Name, From: ask.From, ToIncarnation: backup.Incarnation, Epoch: ask.Epoch,
			PreviousEpoch: ask.PreviousEpoch, PreviousSequence: ask.PreviousSequence, HolderTime: ask.HolderTime, Entries: ask.Entries}
		place.Go(func() {
			tell := &wire.ReplicateTell{}
			err := member.env.Book.Call(backup.Name, wire.Kind_replicate, addressed, tell, patience)
			if err == nil && !tell.Stored {
				err = errors.New(tell.Why)
			}
			delivery.end(err, place.Now()-started)
		})
		waits = append(waits, func() {
			if patience <= member.env.Patience && !delivery.answered.Wait(silentAfter) && member.silent(delivery) {
				delivery.end(errSilent, place.Now()-started)
			}
			for !delivery.ended() {
				delivery.answered.Wait(postmark.Minute)
			}
		})
	}
	return deliveries, func() {
		for _, wait := range waits {
			wait()
		}
	}
}

// commit writes a batch to every copy and applies it; an empty batch only keeps the backups in touch.
// state is the lead as it was when the batch was taken: a lead that ends meanwhile must not change what is written.
func (member *Member) commit(state lead, batch []*proposal) {
	place := member.env.Place
	state = member.agree(state)
	epoch, now := state.epoch, state.holderTime(place.Now())
	ask := &wire.ReplicateAsk{From: member.self(), Epoch: epoch, HolderTime: int64(now)}
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
	deliveries, wait := member.spread(ask, state.backups, patience)
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
	wait()
	if local != nil {
		// A backup may hold what this copy does not, so this member can't go on in this epoch.
		finish(batch, ErrUnknown)
		member.handOver("own disk: " + local.Error())
		return
	}
	var failed, slow []*wire.Holder
	var remote error
	for _, delivery := range deliveries {
		if delivery.err != nil {
			failed, remote = append(failed, delivery.backup), delivery.err
		} else if delivery.taken > member.env.SlowSync {
			slow = append(slow, delivery.backup)
		}
	}
	if remote != nil {
		member.lock.Lock()
		member.lead.failures++
		failures := member.lead.failures
		member.lock.Unlock()
		if len(batch) == 0 && failures < 3 {
			return
		}
		member.dropBackups(failed, remote.Error())
		// The batch is part of what the next backups are given; it's answered once those are in step.
		results := member.applyPending()
		if member.settle(failed) {
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
		member.minding(state.backups, slow)
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
	ask := &wire.ReplicateAsk{From: member.self(), Epoch: state.epoch}
	member.keeper.Do(func() {
		ask.PreviousEpoch, ask.PreviousSequence = member.copy.epoch, member.copy.sequence
		ask.HolderTime = int64(max(member.copy.holderTime, state.holderTime(place.Now())))
	})
	agreed := postmark.Micros(ask.HolderTime)
	tells := gather(member, names(state.backups), member.env.Patience, func(name string) (*wire.ReplicateTell, error) {
		backup := state.backups[slices.IndexFunc(state.backups, func(one *wire.Holder) bool { return one.Name == name })]
		tell := &wire.ReplicateTell{}
		return tell, member.call(name, wire.Kind_replicate, &wire.ReplicateAsk{To: name, From: ask.From, ToIncarnation: backup.Incarnation, Epoch: ask.Epoch,
			PreviousEpoch: ask.PreviousEpoch, PreviousSequence: ask.PreviousSequence, HolderTime: ask.HolderTime}, tell)
	}, nil)
	for _, backup := range state.backups {
		tell := tells[backup.Name]
		if tell == nil || !tell.Stored && tell.Why != leapt {
			return state // the batch itself will find out what is wrong, and a backup turns down what it can't vouch for
		}
		if !tell.Stored {
			agreed = min(agreed, postmark.Micros(tell.HolderTime))
		}
	}
	if agreed < postmark.Micros(ask.HolderTime) {
		member.keeper.Do(func() { agreed = max(member.copy.holderTime, agreed) })
		member.env.Place.Report(bulletin.HolderTimeBound, map[string]any{"group": member.env.Group, "micros": ask.HolderTime - int64(agreed)})
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
func (member *Member) minding(backups, slow []*wire.Holder) {
	slowOwn, slowBackup := false, len(slow) > 0
	member.keeper.Do(func() { slowOwn = member.copy.lastSync > member.env.SlowSync })
	count := func(counter *int, slow bool) bool {
		if *counter++; !slow {
			*counter = 0
		}
		return *counter >= 3
	}
	present, _ := member.configuration()
	heavy := present.voters.heavy()
	member.lock.Lock()
	leave := count(&member.lead.slowSyncs, slowOwn && !slowBackup)
	relieve := count(&member.lead.slowReplies, slowBackup)
	prefer := heavy != "" && member.env.Name != heavy && !slices.Contains(names(backups), heavy) && !slowOwn && !slowBackup
	value, due := member.value, member.env.Place.Now()-member.relieved >= reliefPause
	member.lock.Unlock()
	if !due || !leave && !relieve && !prefer {
		return
	}
	member.relieved = member.env.Place.Now()
	if prefer && !leave && !relieve {
		// The voter that counts double is to have a copy again, now that it's back.
		if member.reachable(heavy) {
			member.dropBackups(backups, "another is preferred")
			member.settle(nil)
		}
		return
	}
	// Without a third voter both disks are needed for every write, whoever leads.
	spare := slices.ContainsFunc(member.candidates(value, backups), func(name string) bool {
		return !slices.Contains(names(backups), name) && member.reachable(name)
	})
	if !spare {
		return
	}
	if leave {
		member.env.Place.Report(bulletin.DiskSlow, map[string]any{"group": member.env.Group})
		member.handOver("own disk is slow")
		return
	}
	member.dropBackups(slow, "its disk is slow")
	member.settle(slow)
}

// dropBackups stops answering until others are in step.
func (member *Member) dropBackups(backups []*wire.Holder, why string) {
	for _, backup := range backups {
		member.env.Place.Report(bulletin.BackupLost, map[string]any{"group": member.env.Group, "backup": backup.Name, "error": why})
	}
	member.lock.Lock()
	defer member.lock.Unlock()
	member.lead.answering, member.lead.backups = false, nil
}

// reachable asks a voter something small.
func (member *Member) reachable(name string) bool {
	_, err := member.read(name)
	return err == nil
}

// installPatience is how long a whole view may take to reach a new backup and be synced there.
const installPatience = 5 * postmark.Second

// settle brings backups into step and names them in the register; only then does the primary answer. There may be fewer than
// wanted where no further voter can be had, but never none.
func (member *Member) settle(failed []*wire.Holder) bool {
	member.lock.Lock()
	epoch, value, state := member.lead.epoch, member.value, member.lead
	member.lock.Unlock()
	if epoch == 0 {
		return false
	}
	// A new backup's line begins at the view's holder time, which must be one that has certainly come, and none before what was told.
	// Holder time goes on from there: what passed since is for the backup's own clock to say.
	began, held := member.env.Place.Now(), postmark.Micros(0)
	member.keeper.Do(func() {
		member.copy.holderTime = max(member.copy.holderTime, state.told(began))
		held = member.copy.holderTime
	})
	backups, lastResort := member.instructed(epoch, member.candidates(value, failed), failed)
	if len(backups) == 0 {
		return false
	}
	fresh, ballot, err := member.change(func(value *wire.RegisterValue) (*wire.RegisterValue, error) {
		if value == nil || value.Epoch != epoch || !sameHolder(value.Primary, member.self()) {
			return nil, errUnchanged
		}
		settled := next(value, epoch+1, member.self(), backups)
		settled.Settled, settled.Roster = true, withHolder(value.Roster, append([]*wire.Holder{member.self()}, backups...)...)
		return settled, nil
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
	// The copy's pair of epoch and sequence must match what the backups noted on installing.
	member.keeper.Do(func() {
		member.machineLock.Lock()
		defer member.machineLock.Unlock()
		member.copy.epoch = max(member.copy.epoch, epoch)
		member.copy.tail.mark(position{member.copy.epoch, member.copy.sequence})
	})
	member.lock.Lock()
	if member.lead.epoch != epoch {
		member.lock.Unlock()
		return false
	}
	member.lead.epoch, member.lead.ballot, member.lead.chosen, member.lead.backups, member.lead.outbid = fresh.Epoch, ballot, fresh, backups, false
	member.lead.failures, member.lead.slowSyncs, member.lead.slowReplies = 0, 0, 0
	member.lead.base, member.lead.baseAt, member.lead.exchanged = held, began, began
	member.lead.lastResort = lastResort
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
		member.env.Place.Report(bulletin.Settled, map[string]any{"group": member.env.Group, "epoch": fresh.Epoch, "backup": backups[0].Name, "backups": names(backups)})
	}
	return settled
}

// instructed installs the present view on as many candidates as there are backups wanted, and tells whether one of them had
// just failed.
func (member *Member) instructed(epoch uint64, candidates []string, failed []*wire.Holder) (backups []*wire.Holder, lastResort bool) {
	for len(candidates) > 0 && len(backups) < member.env.Copies-1 {
		name := member.apart(candidates, backups)
		candidates = slices.DeleteFunc(candidates, func(other string) bool { return other == name })
		// A voter that doesn't answer a small ask isn't waited for with a large one.
		seen, err := member.read(name)
		if err != nil {
			continue
		}
		incarnation, stored := member.bringIntoStep(name, epoch, seen)
		if !stored {
			continue
		}
		backups = append(backups, &wire.Holder{Name: name, Incarnation: incarnation})
		lastResort = lastResort || slices.Contains(names(failed), name)
	}
	return backups, lastResort
}

// bringIntoStep gives a process's copy what it misses, or the whole view where that isn't known any more.
func (member *Member) bringIntoStep(name string, epoch uint64, seen *wire.RegisterReadTell) (incarnation uint64, stored bool) {
	install := func(ask *wire.InstallAsk) bool {
		tell := &wire.InstallTell{}
		ask.To, ask.From, ask.Epoch = name, member.self(), epoch
		err := member.env.Book.Call(name, wire.Kind_install, ask, tell, installPatience)
		incarnation = tell.Incarnation
		return err == nil && tell.Stored
	}
	if ask := member.missedBy(seen); ask != nil && install(ask) {
		return incarnation, true
	}
	return incarnation, install(&wire.InstallAsk{View: member.viewNow()})
}

// missedBy is what a copy at a told position misses, nothing where this copy doesn't remember that far.
func (member *Member) missedBy(seen *wire.RegisterReadTell) (ask *wire.InstallAsk) {
	if !seen.Copied || seen.CopySequence == 0 {
		return nil
	}
	member.keeper.Do(func() {
		if missed, known := member.copy.tail.since(position{seen.CopyEpoch, seen.CopySequence}); known {
			ask = &wire.InstallAsk{SinceEpoch: seen.CopyEpoch, SinceSequence: seen.CopySequence, Entries: missed, HolderTime: int64(member.copy.holderTime)}
		}
	})
	return ask
}

// apart picks the first candidate in a zone that has no copy yet, or else the first.
func (member *Member) apart(candidates []string, backups []*wire.Holder) string {
	if member.env.Zone == nil {
		return candidates[0]
	}
	taken := map[string]bool{member.env.Zone(member.env.Name): true}
	for _, backup := range backups {
		taken[member.env.Zone(backup.Name)] = true
	}
	for _, name := range candidates {
		if !taken[member.env.Zone(name)] {
			return name
		}
	}
	return candidates[0]
}

// viewNow is the whole state as it is applied here.
func (member *Member) viewNow() (view *wire.View) {
	member.keeper.Do(func() { view = member.view() })
	return view
}

// candidates orders the other voters: the one that counts double first, so that its half of a split core has a copy, then the
// present copy, behind them whoever hasn't answered for a lease's length, and last one that just failed.
func (member *Member) candidates(value *wire.RegisterValue, failed []*wire.Holder) []string {
	present, _ := member.configuration()
	var heavy, first, rest, quiet, last []string
	now := member.env.Place.Now()
	member.lock.Lock()
	leaving := member.leavingNow(now)
	member.lock.Unlock()
	for _, name := range member.others() {
		switch {
		case len(present.joint) > 0 && !slices.Contains(present.joint, name): // it's about to leave
		case leaving[name]:
			last = append(last, name)
		case slices.Contains(names(failed), name):
			last = append(last, name)
		case now-member.heardAt(name) > member.env.Tenure:
			quiet = append(quiet, name)
		case name == present.voters.heavy():
			heavy = append(heavy, name)
		case slices.Contains(names(backupsOf(value)), name):
			first = append(first, name)
		default:
			rest = append(rest, name)
		}
	}
	return slices.Concat(heavy, first, rest, quiet, last)
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
func (member *Member) handOver(why string) { member.handOverTo(why, "") }

// handOverTo hands over; leaving is this member's name where it stops as planned, so that the heir gives it nothing to hold.
func (member *Member) handOverTo(why, leaving string) {
	member.lock.Lock()
	state := member.lead
	member.lock.Unlock()
	if state.epoch == 0 {
		return
	}
	waiting := member.waitingNow()
	member.stepDown(state.epoch, why)
	var along []byte
	if member.env.Handing != nil {
		along = member.env.Handing() // nothing is answered any more, so this is the last word
	}
	member.askTenure(state.epoch, state.ballot, true)
	if len(state.backups) > 0 {
		heir := state.backups[0].Name
		member.env.Place.Report(bulletin.HandedOver, map[string]any{"group": member.env.Group, "to": heir, "why": why})
		_ = member.call(heir, wire.Kind_handover, &wire.HandoverAsk{To: heir, Epoch: state.epoch, Content: along, Leaving: leaving, Waiting: waiting}, &wire.HandoverTell{})
	}
	member.lock.Lock()
	member.lastHeard = member.env.Place.Now() + 4*member.env.Tenure
	member.lock.Unlock()
}

// HandOver gives the lead to a backup, if this member has it.
func (member *Member) HandOver(why string) { member.handOver(why) }
