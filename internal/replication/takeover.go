package replication

import (
	"errors"
	"slices"

	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

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
			return &wire.RegisterValue{Epoch: 1, Primary: self, Members: []*wire.MemberID{self}, Voters: member.env.Voters}, nil
		}
		others := backupsOf(value)
		if !sameHolder(value.Primary, self) {
			if !holds(others, self) && !member.env.Unheld {
				return nil, errUnchanged
			}
			others = append([]*wire.MemberID{value.Primary}, slices.DeleteFunc(slices.Clone(others), func(one *wire.MemberID) bool { return sameHolder(one, self) })...)
		}
		member.keeper.Do(func() { member.copy.fenced = max(member.copy.fenced, value.Epoch+1) })
		return next(value, value.Epoch+1, self, others), nil
	})
	if err != nil {
		if errors.Is(err, errUnchanged) {
			member.learn(ballot, value)
		}
		member.lock.Lock()
		member.lastHeard = member.env.Place.Now() - member.env.Tenure + monotonic.Micros(member.env.Place.Random()%uint64(2*member.env.Beat))
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
	number := eventlog.TookOver
	if value.Epoch == 1 {
		number = eventlog.Genesis
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
		member.env.Place.Report(eventlog.SteppedDown, map[string]any{"group": member.env.Group, "epoch": epoch, "why": why})
	}
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
		member.env.Place.Report(eventlog.HandedOver, map[string]any{"group": member.env.Group, "to": heir, "why": why})
		_ = member.call(heir, wire.Kind_handover, &wire.HandoverRequest{To: heir, Epoch: state.epoch, Content: along, LeavingMember: leaving, WaitingMembers: waiting}, &wire.HandoverResponse{})
	}
	member.lock.Lock()
	member.lastHeard = member.env.Place.Now() + 4*member.env.Tenure
	member.lock.Unlock()
}

// HandOver gives the lead to a backup, if this member has it.
func (member *Member) HandOver(why string) { member.handOver(why) }
