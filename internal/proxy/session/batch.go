package session

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// firstPause and nextPause are how long after a first, and a further, message in vain the next one goes out.
	firstPause, nextPause = 50 * monotonic.Millisecond, 100 * monotonic.Millisecond
	// slowAnswer is how long a message must have waited in vain to say that the primary takes asks, and is slow.
	slowAnswer = 500 * monotonic.Millisecond
	// messagePatience is how long one message waits for its answer. An ask may have more, and is then sent again.
	messagePatience = 700 * monotonic.Millisecond
	// mostBatch bounds the asks of one message, usualFlights the messages that leave at once, so that asks wait only where the primary
	// is slower than they come. Then one more leaves each flightPause, up to mostFlights: a primary that is slow because it has much to
	// do is sent little, and one whose disk is slow has its asks in few syncs.
	mostBatch, usualFlights, mostFlights = 64, 4, 16
	flightPause                          = 50 * monotonic.Millisecond
	// mostAlone is mostFlights for a primary that takes no batches.
	mostAlone = 64
	// aloneFor is how long asks go alone after a batch was lost: the primary may be of a build that knows none.
	aloneFor = monotonic.Second
)

// pending is one ask of the primary. Invariants: all but kind, ask, cutoff and done belong to the lock of its batches; once over, tell is
// the asker's, and nothing here changes any more.
type pending struct {
	kind   wire.Kind
	ask    proto.Message
	tell   proto.Message
	cutoff monotonic.Micros
	done   host.Signal
	over   bool
	flying bool // it's on its way
	taken  bool // a primary may have taken it, though it didn't say so
	err    error
}

// batches sends asks to the primary, several in one message when they come faster than it answers. A message costs a core machine many times
// what the ask in it does, and asks that nobody waits for any more aren't sent at all.
// Invariants: waiting holds calls that are not over and not on their way, the longest waiting first; flights counts the tasks that send,
// mostFlights at most, and while anything waits there is one; while failing only one goes on.
type batches struct {
	roll    *Roll
	lock    sync.Mutex
	waiting []*pending
	flights int
	left    monotonic.Micros // when the last flight was started
	failing bool
	alone   string           // the primary to which asks go alone
	until   monotonic.Micros // and until when
}

// parts give the part of a batch's command, and of its result, that is of a kind. Kinds without one go alone.
var parts = map[wire.Kind]struct {
	command func(ask proto.Message) *wire.RegistryCommand
	result  func(result *wire.RegistryResult) proto.Message
}{
	wire.Kind_claim: {func(ask proto.Message) *wire.RegistryCommand {
		return &wire.RegistryCommand{Claim: ask.(*wire.ClaimRequest)}
	},
		func(result *wire.RegistryResult) proto.Message { return result.GetClaim() }},
	wire.Kind_void_claim: {func(ask proto.Message) *wire.RegistryCommand {
		return &wire.RegistryCommand{Void: ask.(*wire.VoidClaimRequest)}
	},
		func(result *wire.RegistryResult) proto.Message { return result.GetVoid() }},
	wire.Kind_complete_claim: {func(ask proto.Message) *wire.RegistryCommand {
		return &wire.RegistryCommand{Complete: ask.(*wire.CompleteClaimRequest)}
	},
		func(result *wire.RegistryResult) proto.Message { return result.GetComplete() }},
}

// call has an ask answered by the primary, within patience. An error that is lost says that a primary may have taken it.
func (batches *batches) call(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error {
	place := batches.roll.place
	pending := &pending{kind: kind, ask: ask, tell: tell, cutoff: place.Now() + patience, done: place.NewSignal()}
	batches.lock.Lock()
	batches.waiting = append(batches.waiting, pending)
	batches.depart(1)
	batches.lock.Unlock()
	for {
		pending.done.Wait(min(max(pending.cutoff-place.Now(), 0), flightPause))
		batches.lock.Lock()
		if pending.over || place.Now() >= pending.cutoff {
			break
		}
		if !pending.flying {
			batches.depart(1)
		}
		batches.lock.Unlock()
	}
	defer batches.lock.Unlock()
	if pending.over {
		return pending.err
	}
	pending.over = true
	if at := slices.Index(batches.waiting, pending); at >= 0 {
		batches.waiting = slices.Delete(batches.waiting, at, at+1)
	}
	switch {
	case pending.flying || pending.taken:
		return apierror.Lost.New("no answer of a primary sorter in time")
	case pending.err != nil:
		return pending.err
	}
	return apierror.Unreachable.New("no primary sorter was asked in time")
}

// depart starts up to so many flights. The lock is held.
func (batches *batches) depart(wanted int) {
	now := batches.roll.place.Now()
	for ; wanted > 0 && batches.flights < batches.most(); wanted-- {
		if batches.flights >= usualFlights && batches.size() > 1 && now-batches.left < flightPause {
			return
		}
		batches.flights, batches.left = batches.flights+1, now
		batches.roll.place.Go(batches.fly)
	}
}

func (batches *batches) most() int {
	switch {
	case batches.failing:
		return 1
	case batches.size() == 1:
		return mostAlone
	}
	return mostFlights
}

// size is how many asks may go in one message to the present primary.
func (batches *batches) size() int {
	name := batches.roll.book.Leader(sorters)
	if name == batches.alone && batches.roll.place.Now() < batches.until || !batches.roll.book.SupportsBatches(name) {
		return 1
	}
	return mostBatch
}

// next takes the calls of the next message, or ends the flight if nothing waits or others go on.
func (batches *batches) next() []*pending {
	batches.lock.Lock()
	defer batches.lock.Unlock()
	if len(batches.waiting) == 0 || batches.flights > batches.most() {
		batches.flights--
		return nil
	}
	count := min(batches.size(), len(batches.waiting))
	taken := slices.Clone(batches.waiting[:count])
	batches.waiting = slices.Delete(batches.waiting, 0, count)
	for _, pending := range taken {
		pending.flying = true
	}
	return taken
}

// fly sends messages until nothing waits.
func (batches *batches) fly() {
	place, book := batches.roll.place, batches.roll.book
	for {
		name := book.Leader(sorters)
		if name == "" {
			place.Go(book.Refresh) // whom it asks may be gone too, and isn't waited for
			place.Sleep(lookAgain)
			if batches.idle() {
				return
			}
			continue
		}
		calls := batches.next()
		if calls == nil {
			return
		}
		began := place.Now()
		err := batches.send(name, calls)
		first := batches.back(calls, err, place.Now()-began)
		if err == nil || name != book.Leader(sorters) {
			continue
		}
		place.Go(book.Refresh)
		if first {
			place.Sleep(firstPause)
		} else {
			place.Sleep(nextPause)
		}
	}
}

// idle ends a flight that found no primary if nobody waits for one any more.
func (batches *batches) idle() bool {
	batches.lock.Lock()
	defer batches.lock.Unlock()
	if len(batches.waiting) > 0 && batches.flights <= batches.most() {
		return false
	}
	batches.flights--
	return true
}

// send brings calls to a primary in one message, and ends those that are answered. An error tells of the others.
func (batches *batches) send(name string, calls []*pending) error {
	if !batches.roll.book.SupportsBatches(name) || len(calls) == 1 {
		only := calls[0]
		tell := only.tell.ProtoReflect().New().Interface()
		err := batches.roll.callWhileLeading(name, only.kind, only.ask, tell, messagePatience)
		if err == nil {
			batches.end(only, tell)
		} else if apierror.IsRefused(err) {
			batches.lock.Lock()
			only.taken = true // such a refusal may say that the outcome isn't known
			batches.lock.Unlock()
		}
		return err
	}
	ask := &wire.RegistryBatchRequest{}
	for _, pending := range calls {
		ask.Commands = append(ask.Commands, parts[pending.kind].command(pending.ask))
	}
	tell, began := &wire.RegistryBatchResponse{}, batches.roll.place.Now()
	if err := batches.roll.callWhileLeading(name, wire.Kind_registry_batch, ask, tell, messagePatience); err != nil {
		now := batches.roll.place.Now()
		if name == batches.roll.book.Leader(sorters) && now-began < slowAnswer && !apierror.IsUnreachable(err) {
			batches.lock.Lock()
			batches.alone, batches.until = name, now+aloneFor
			batches.lock.Unlock()
		}
		return err
	}
	var refusal error
	for index, pending := range calls {
		outcome := &wire.RegistryOutcome{Error: "it answered too few"}
		if index < len(tell.Outcomes) {
			outcome = tell.Outcomes[index]
		}
		if answer := parts[pending.kind].result(outcome.GetResult()); answer.ProtoReflect().IsValid() {
			batches.end(pending, answer)
			continue
		}
		refusal = apierror.Refused.New("%s: %s", name, outcome.Error)
		batches.lock.Lock()
		pending.err, pending.taken = refusal, pending.taken || !outcome.Rejected
		batches.lock.Unlock()
	}
	return refusal
}

// end gives a pending ask its answer, unless its asker waits no more.
func (batches *batches) end(pending *pending, answer proto.Message) {
	batches.lock.Lock()
	defer batches.lock.Unlock()
	if pending.over {
		return
	}
	pending.over, pending.err = true, nil
	proto.Merge(pending.tell, answer)
	pending.done.Fire()
}

// back puts calls that were not answered before those that wait, and tells whether theirs is the first message in vain. Only a primary that
// turns asks down or isn't there is left to one flight: one that takes them and is slow, as its disk may be, does best with all of them.
func (batches *batches) back(calls []*pending, err error, waited monotonic.Micros) (first bool) {
	batches.lock.Lock()
	defer batches.lock.Unlock()
	lost := apierror.IsLost(err)
	first = !batches.failing
	batches.failing = err != nil && !(lost && waited >= slowAnswer)
	var again []*pending
	for _, pending := range calls {
		pending.flying = false
		if pending.over {
			continue
		}
		if lost || pending.err == nil {
			pending.err = err
		}
		pending.taken = pending.taken || lost
		again = append(again, pending)
	}
	batches.waiting = append(again, batches.waiting...)
	batches.depart((len(batches.waiting) - 1) / batches.size())
	return first
}
