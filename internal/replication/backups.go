package replication

import (
	"errors"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// completePause is how often a primary with fewer backups than wanted looks for more.
const completePause = 2 * monotonic.Second

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
func (member *Member) spare(backups []*wire.MemberID) bool {
	now := member.env.Place.Now()
	return slices.ContainsFunc(member.others(), func(name string) bool {
		member.lock.Lock()
		heard, known := member.heard[name]
		leaves := member.leavingNow(now)[name]
		member.lock.Unlock()
		return known && !leaves && now-heard < member.env.Tenure && !slices.Contains(names(backups), name) && member.reachable(name)
	})
}

// reliefPause is how often something is done about a slow disk: each change of the two copies holds writes up.
const reliefPause = 10 * monotonic.Second

// minding looks at how long a batch took to sync. Three slow ones in a row make the primary hand over, if it was its own
// disk alone, or take another backup; both only if there is a third voter.
func (member *Member) minding(backups, slow []*wire.MemberID) {
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
		member.env.Place.Report(eventlog.DiskSlow, map[string]any{"group": member.env.Group})
		member.handOver("own disk is slow")
		return
	}
	member.dropBackups(slow, "its disk is slow")
	member.settle(slow)
}

// dropBackups stops answering until others are in step.
func (member *Member) dropBackups(backups []*wire.MemberID, why string) {
	for _, backup := range backups {
		member.env.Place.Report(eventlog.BackupLost, map[string]any{"group": member.env.Group, "backup": backup.Name, "error": why})
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
const installPatience = 5 * monotonic.Second

// settle brings backups into step and names them in the register; only then does the primary answer. There may be fewer than
// wanted where no further voter can be had, but never none.
func (member *Member) settle(failed []*wire.MemberID) bool {
	member.lock.Lock()
	epoch, value, state := member.lead.epoch, member.value, member.lead
	member.lock.Unlock()
	if epoch == 0 {
		return false
	}
	// A new backup's line begins at the view's holder time, which must be one that has certainly come, and none before what was told.
	// Holder time goes on from there: what passed since is for the backup's own clock to say.
	began, held := member.env.Place.Now(), monotonic.Micros(0)
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
		settled.BackupsInSync, settled.Members = true, withHolder(value.Members, append([]*wire.MemberID{member.self()}, backups...)...)
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
		member.env.Place.Report(eventlog.Settled, map[string]any{"group": member.env.Group, "epoch": fresh.Epoch, "backup": backups[0].Name, "backups": names(backups)})
	}
	return settled
}

// instructed installs the present view on as many candidates as there are backups wanted, and tells whether one of them had
// just failed.
func (member *Member) instructed(epoch uint64, candidates []string, failed []*wire.MemberID) (backups []*wire.MemberID, lastResort bool) {
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
		backups = append(backups, &wire.MemberID{Name: name, Incarnation: incarnation})
		lastResort = lastResort || slices.Contains(names(failed), name)
	}
	return backups, lastResort
}

// bringIntoStep gives a process's copy what it misses, or the whole view where that isn't known any more.
func (member *Member) bringIntoStep(name string, epoch uint64, seen *wire.RegisterReadResponse) (incarnation uint64, stored bool) {
	install := func(ask *wire.InstallSnapshotRequest) bool {
		tell := &wire.InstallSnapshotResponse{}
		ask.To, ask.From, ask.Epoch = name, member.self(), epoch
		err := member.env.Book.Call(name, wire.Kind_install_snapshot, ask, tell, installPatience)
		incarnation = tell.Incarnation
		return err == nil && tell.Stored
	}
	if ask := member.missedBy(seen); ask != nil && install(ask) {
		return incarnation, true
	}
	return incarnation, install(&wire.InstallSnapshotRequest{Snapshot: member.viewNow()})
}

// missedBy is what a copy at a told position misses, nothing where this copy doesn't remember that far.
func (member *Member) missedBy(seen *wire.RegisterReadResponse) (ask *wire.InstallSnapshotRequest) {
	if !seen.HasReplica || seen.ReplicaSequence == 0 {
		return nil
	}
	member.keeper.Do(func() {
		if missed, known := member.copy.tail.since(position{seen.ReplicaEpoch, seen.ReplicaSequence}); known {
			ask = &wire.InstallSnapshotRequest{SinceEpoch: seen.ReplicaEpoch, SinceSequence: seen.ReplicaSequence, Entries: missed, LeaderClock: int64(member.copy.holderTime)}
		}
	})
	return ask
}

// apart picks the first candidate in a zone that has no copy yet, or else the first.
func (member *Member) apart(candidates []string, backups []*wire.MemberID) string {
	if member.env.Zone == nil {
		return candidates[0]
	}
	taken := map[string]bool{member.env.Zone(member.env.Name): true, "": true}
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
func (member *Member) viewNow() (view *wire.Snapshot) {
	member.keeper.Do(func() { view = member.view() })
	return view
}

// candidates orders the other voters: the one that counts double first, so that its half of a split core has a copy, then the
// present copy, behind them whoever hasn't answered for a lease's length, and last one that just failed.
func (member *Member) candidates(value *wire.RegisterValue, failed []*wire.MemberID) []string {
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

func withHolder(roster []*wire.MemberID, holders ...*wire.MemberID) []*wire.MemberID {
	var next []*wire.MemberID
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
