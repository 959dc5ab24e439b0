package replication

import (
	"errors"
	"slices"
	"sync"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// work is the primary's one task for writes: it commits batches, keeps the backups in touch and replaces lost ones.
func (member *Member) work() {
	lastTick, lastWrite := monotonic.Micros(0), monotonic.Micros(0)
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
		if len(batch) == 0 && now-lastTick >= monotonic.Second-member.pace()/2 && member.waiting() {
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
	backup   *wire.MemberID
	answered host.Signal
	lock     sync.Mutex
	over     bool
	err      error
	taken    monotonic.Micros
}

func (delivery *delivery) end(err error, taken monotonic.Micros) {
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
	silentAfter = 100 * monotonic.Millisecond
	// smallPatience is how long that is waited for; well above the longest way there and back.
	smallPatience = 150 * monotonic.Millisecond
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
func (member *Member) spread(ask *wire.ReplicateRequest, backups []*wire.MemberID, patience monotonic.Micros) (deliveries []*delivery, wait func()) {
	place := member.env.Place
	started, waits := place.Now(), []func(){}
	for _, backup := range backups {
		delivery := &delivery{backup: backup, answered: place.NewSignal()}
		deliveries = append(deliveries, delivery)
		addressed := &wire.ReplicateRequest{To: backup.Name, From: ask.From, ToIncarnation: backup.Incarnation, Epoch: ask.Epoch,
			PreviousEpoch: ask.PreviousEpoch, PreviousSequence: ask.PreviousSequence, LeaderClock: ask.LeaderClock, Entries: ask.Entries}
		place.Go(func() {
			tell := &wire.ReplicateResponse{}
			err := member.env.Book.Call(backup.Name, wire.Kind_replicate, addressed, tell, patience)
			if err == nil && !tell.Stored {
				err = errors.New(tell.Reason)
			}
			delivery.end(err, place.Now()-started)
		})
		waits = append(waits, func() {
			if patience <= member.env.Patience && !delivery.answered.Wait(silentAfter) && member.silent(delivery) {
				delivery.end(errSilent, place.Now()-started)
			}
			for !delivery.ended() {
				delivery.answered.Wait(monotonic.Minute)
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
	ask := &wire.ReplicateRequest{From: member.self(), Epoch: epoch, LeaderClock: int64(now)}
	member.keeper.Do(func() {
		ask.PreviousEpoch, ask.PreviousSequence = member.copy.epoch, member.copy.sequence
		now = max(now, member.copy.holderTime)
	})
	for index, request := range batch {
		ask.Entries = append(ask.Entries, &wire.Entry{Epoch: epoch, Sequence: ask.PreviousSequence + uint64(index) + 1,
			LeaderClock: int64(now), Command: request.command})
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
	var failed, slow []*wire.MemberID
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
const agreeAfter = 700 * monotonic.Millisecond

// agree has the backup's clock bear witness where this one says that long has passed since the last exchange, or that time ran
// backward: it may have leapt, and no wait or claim may end on its word alone.
func (member *Member) agree(state lead) lead {
	place := member.env.Place
	since := place.Now() - state.exchanged
	if since >= 0 && since < agreeAfter || member.env.Unwitnessed {
		return state
	}
	ask := &wire.ReplicateRequest{From: member.self(), Epoch: state.epoch}
	member.keeper.Do(func() {
		ask.PreviousEpoch, ask.PreviousSequence = member.copy.epoch, member.copy.sequence
		ask.LeaderClock = int64(max(member.copy.holderTime, state.holderTime(place.Now())))
	})
	agreed := monotonic.Micros(ask.LeaderClock)
	tells := gather(member, names(state.backups), member.env.Patience, func(name string) (*wire.ReplicateResponse, error) {
		backup := state.backups[slices.IndexFunc(state.backups, func(one *wire.MemberID) bool { return one.Name == name })]
		tell := &wire.ReplicateResponse{}
		return tell, member.call(name, wire.Kind_replicate, &wire.ReplicateRequest{To: name, From: ask.From, ToIncarnation: backup.Incarnation, Epoch: ask.Epoch,
			PreviousEpoch: ask.PreviousEpoch, PreviousSequence: ask.PreviousSequence, LeaderClock: ask.LeaderClock}, tell)
	}, nil)
	for _, backup := range state.backups {
		tell := tells[backup.Name]
		if tell == nil || !tell.Stored && tell.Reason != leapt {
			return state // the batch itself will find out what is wrong, and a backup turns down what it can't vouch for
		}
		if !tell.Stored {
			agreed = min(agreed, monotonic.Micros(tell.LeaderClock))
		}
	}
	if agreed < monotonic.Micros(ask.LeaderClock) {
		member.keeper.Do(func() { agreed = max(member.copy.holderTime, agreed) })
		member.env.Place.Report(eventlog.HolderTimeBound, map[string]any{"group": member.env.Group, "micros": ask.LeaderClock - int64(agreed)})
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
