// Package session keeps this carrier's membership: its session with a sorter, and the directory it's shown in return.
package session

import (
	"sort"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/discovery"
	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/directory"
	"snowflow/internal/resource"
	"snowflow/internal/transport/wire"
)

const sorters = "sorter"

// PollEvery is the cadence of polls: the session's beat, the directory's and the guards' cached read in one.
const PollEvery = monotonic.Second

// shareMemory is the window in which further tries are counted.
const shareMemory = 10 * monotonic.Second

// grownUp is the age from which a sorter's directory is taken as whole: every carrier has polled, or its session has ended.
const grownUp = directory.SessionTimeout

// Candidate is one backend that may be chosen.
type Candidate struct {
	Carrier     string
	Incarnation uint64
	Address     string
	Domain      string
	Service     string
	Instance    string
	Slots       uint32 // how many requests its backend runs at once; zero while unknown
	Warming     bool   // its backend said that it's slower yet
}

func (candidate *Candidate) before(other *Candidate) bool {
	if candidate.Instance != other.Instance {
		return candidate.Instance < other.Instance
	}
	return candidate.Carrier < other.Carrier
}

// Directory is one view of who is there. Invariant: it doesn't change once made; candidates are sorted by instance, and by carrier
// where an instance is at two.
type Directory struct {
	Candidates map[string][]Candidate
	// Proxies counts live carriers by domain.
	Carriers map[string]int
	Live     int
	// Addresses finds a live carrier, leaving or not, by name.
	Addresses map[string]string
}

// Roll follows the sorters.
type Roll struct {
	place   host.Host
	book    *discovery.Resolver
	session func() *wire.Session
	vigil   *clockwatch.Watcher
	// Activity gives what this carrier called since the last poll.
	Activity func() []*wire.Activity
	// Breakers takes the guards' records from the primary, those that changed since it last took some, or nothing when it couldn't be reached.
	Guards func(records []*wire.BreakerRecord, reached bool)

	soon    host.Signal
	batches batches

	lock      sync.Mutex
	directory *Directory
	held      held
	grown     bool // the directory is, or was once, that of a grown-up source
	taken     Taken
	beat      uint64
	live      uint32 // the most carriers told of within shareMemory, so that parts don't grow while views differ
	liveAt    monotonic.Micros
	born      monotonic.Micros
	moment    *wire.LeaderTimestamp
	momentAt  monotonic.Micros
	polled    monotonic.Micros
	reached   bool // the last poll reached a sorter
	// of the guards' records that were last taken
	guardsSource, guardsVersion uint64
	young                       bool // which had only just begun to be told
}

// New makes a roll; session gives this carrier's session as it is now.
func New(place host.Host, book *discovery.Resolver, session func() *wire.Session, vigil *clockwatch.Watcher) *Roll {
	roll := &Roll{place: place, book: book, session: session, vigil: vigil, soon: place.NewSignal(), directory: index(resource.Empty), held: nothing,
		polled: -monotonic.Minute, born: place.Now()}
	roll.batches.roll = roll
	return roll
}

// Soon has the session told at once, because it changed.
func (roll *Roll) Soon() { roll.soon.Fire() }

// Follow polls for ever.
func (roll *Roll) Follow() {
	for {
		started := roll.place.Now()
		roll.Poll()
		if remaining := roll.pause() - (roll.place.Now() - started); remaining > 0 {
			roll.soon.Wait(remaining)
		}
	}
}

// soonAgain is the cadence of polls while nobody was reached, or a sorter that has only just started is being told who is there.
const soonAgain = 200 * monotonic.Millisecond

// pause is how long after the start of a poll the next one starts.
func (roll *Roll) pause() monotonic.Micros {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	if !roll.reached || roll.young {
		return soonAgain + monotonic.Micros(roll.place.Random()%uint64(soonAgain/4))
	}
	return PollEvery
}

// Poll asks the primary sorter, or another one when that fails.
func (roll *Roll) Poll() {
	leader := roll.book.Leader(sorters)
	names := roll.book.Members(sorters)
	sort.SliceStable(names, func(one, other int) bool { return names[one] == leader && names[other] != leader })
	reached := false
	defer func() {
		roll.lock.Lock()
		defer roll.lock.Unlock()
		roll.reached = reached
	}()
	for _, name := range names {
		tell, asked, err := roll.ask(name)
		if err != nil {
			continue
		}
		if roll.take(tell, asked) != nil {
			// What changed doesn't fit what is held, which is doubtful now, so the whole is asked for.
			whole, askedWhole, err := roll.ask(name)
			if err != nil {
				continue
			}
			_ = roll.take(whole, askedWhole) // a whole is never refused
			tell = whole
		}
		reached = true
		if !tell.Primary && name != roll.book.Leader(sorters) && roll.book.Leader(sorters) != leader {
			// The answer named another primary: ask that one in the same round.
			if second, askedSecond, err := roll.ask(roll.book.Leader(sorters)); err == nil {
				_ = roll.take(second, askedSecond) // one that doesn't fit is told whole with the next poll
				tell = second
			}
		}
		if tell.Primary {
			roll.Guards(tell.Breakers, true)
			roll.lock.Lock()
			roll.guardsSource, roll.guardsVersion = tell.BreakersSource, tell.BreakersVersion
			roll.lock.Unlock()
			return
		}
		break
	}
	roll.Guards(nil, false)
	if !reached || len(names) == 0 {
		roll.book.Refresh()
	}
}

func (roll *Roll) ask(name string) (*wire.RegistryPollResponse, monotonic.Micros, error) {
	session := roll.session()
	roll.lock.Lock()
	roll.beat++
	session.Heartbeat = roll.beat
	ask := &wire.RegistryPollRequest{Session: session, DirectorySource: roll.held.source, DirectoryVersion: roll.held.serial, DirectoryChecksum: roll.held.check(), DirectoryComplete: roll.grown,
		BreakersSource: roll.guardsSource, BreakersVersion: roll.guardsVersion}
	roll.lock.Unlock()
	ask.Activity = roll.Activity()
	asked := roll.place.Now()
	tell := &wire.RegistryPollResponse{}
	return tell, asked, roll.book.Call(name, wire.Kind_registry_poll, ask, tell, 600*monotonic.Millisecond)
}

// take takes an answer in. An error is told if the directory's changes in it were refused; the rest of it is taken all the same.
func (roll *Roll) take(tell *wire.RegistryPollResponse, asked monotonic.Micros) error {
	roll.book.ObservePrimaries(tell.Primaries)
	roll.lock.Lock()
	defer roll.lock.Unlock()
	now := roll.place.Now()
	roll.polled = now
	if tell.Proxies >= roll.live || now-roll.liveAt >= shareMemory {
		roll.live, roll.liveAt = tell.Proxies, now
	}
	if tell.Primary {
		if roll.moment == nil || tell.Epoch >= roll.moment.Epoch {
			roll.moment, roll.momentAt = &wire.LeaderTimestamp{Epoch: tell.Epoch, Time: tell.LeaderClock}, now
		}
	}
	// A sorter that has only just begun to be told may not know all; who is known stays known until it does.
	young := tell.DirectoryAge > 0 && monotonic.Micros(tell.DirectoryAge) < grownUp
	roll.young = young
	other := tell.DirectorySource != roll.held.source
	if !other && !young {
		roll.grown = true
	}
	if tell.DirectoryUnchanged || other && young && roll.grown || roll.held.past(tell) {
		return nil
	}
	next, err := roll.held.next(tell)
	if err != nil {
		roll.taken.Refused++
		roll.held.doubt()
		roll.place.Report(eventlog.DirectoryUpdateRejected, map[string]any{"serial": tell.DirectoryVersion, "have": roll.held.serial, "error": err.Error()})
		return err
	}
	roll.grown = !young
	roll.held = next
	roll.directory = index(next.set)
	if tell.DirectoryIsDelta {
		roll.taken.Changes++
	} else {
		roll.taken.Wholes++
	}
	return nil
}

// Taken is how the directory came, in numbers of answers.
type Taken struct {
	Changes uint64 `json:"changes"`
	Wholes  uint64 `json:"wholes"`
	Refused uint64 `json:"refused"`
}

// Taken tells how the directory came.
func (roll *Roll) Taken() Taken {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	return roll.taken
}

// Unchecked has changes applied onto whatever is held and whatever comes of it, for showing that checkers see it.
func (roll *Roll) Unchecked(unchecked bool) {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	roll.held.unchecked = unchecked
}

// Of is the directory that has these sessions.
func Of(sessions []*wire.Session) *Directory {
	present := whole(sessions)
	return index(present.set)
}

// Version names the directory that's held: the life of the sorter that told it, and that life's serial.
func (roll *Roll) Version() (source, serial uint64) {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	return roll.held.source, roll.held.serial
}

func index(set *resource.Set) *Directory {
	directory := &Directory{Candidates: map[string][]Candidate{}, Carriers: map[string]int{}, Addresses: map[string]string{}}
	for _, one := range set.All() {
		session := one.Message.(*wire.Session)
		directory.Addresses[session.Proxy] = session.Address
		if session.Leaving {
			continue
		}
		directory.Carriers[session.Domain]++
		directory.Live++
		for _, backend := range session.Backends {
			if backend.Condition != "alive" && backend.Condition != "working" {
				continue
			}
			directory.Candidates[backend.Service] = append(directory.Candidates[backend.Service], Candidate{Carrier: session.Proxy,
				Incarnation: session.Incarnation, Address: session.Address, Domain: session.Domain, Service: backend.Service, Instance: backend.Instance,
				Slots: backend.Slots, Warming: backend.SlowStart > 0})
		}
	}
	for _, candidates := range directory.Candidates {
		sort.Slice(candidates, func(one, other int) bool { return candidates[one].before(&candidates[other]) })
	}
	return directory
}

// Directory is the newest view of who is there.
func (roll *Roll) Directory() *Directory {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	return roll.directory
}

// Learn takes a moment of holder time that has passed, as an answer of the holder tells it.
func (roll *Roll) Learn(passed *wire.LeaderTimestamp) {
	if passed == nil {
		return
	}
	present := roll.Moment()
	if passed.Epoch < present.Epoch || passed.Epoch == present.Epoch && passed.Time <= present.Time {
		return
	}
	roll.lock.Lock()
	defer roll.lock.Unlock()
	roll.moment, roll.momentAt = proto.Clone(passed).(*wire.LeaderTimestamp), roll.place.Now()
}

// Member tells whether this carrier's session stands, as far as it can know.
func (roll *Roll) Member() bool {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	return roll.place.Now()-roll.polled < 3*monotonic.Second
}

// Known tells whether a sorter has ever shown this carrier who is there.
func (roll *Roll) Known() bool {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	return roll.held.source != 0
}

// Share is this carrier's part of an allowance for the whole mesh: nothing before it was told how many share it, nor
// while an earlier life's part may still count.
func (roll *Roll) Share(allowance uint32) float64 {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	if roll.live == 0 || roll.place.Now()-roll.polled >= shareMemory || roll.place.Now()-roll.born < shareMemory {
		return 0
	}
	return float64(allowance) / float64(roll.live)
}

// drift is the part of the time since the holder's moment was told that isn't counted: this clock may run faster than
// the holder's, and a moment that has not come yet would pass a fence.
const drift = 1000

// Doubt forgets the holder's moment: how much has passed since it was told isn't known.
func (roll *Roll) Doubt() {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	roll.moment = nil
}

// Moment is a moment of holder time that has certainly passed.
func (roll *Roll) Moment() *wire.LeaderTimestamp {
	roll.lock.Lock()
	defer roll.lock.Unlock()
	if roll.moment == nil || !roll.vigil.Steady() {
		return &wire.LeaderTimestamp{} // behind every fence
	}
	moment := proto.Clone(roll.moment).(*wire.LeaderTimestamp)
	since := roll.place.Now() - roll.momentAt
	moment.Time += int64(since - since/drift)
	return moment
}

const (
	// lookAround is how long an ask waits at a primary before others are asked who leads: well above what an answer takes.
	lookAround = 100 * monotonic.Millisecond
	// lookAgain is how often it's seen then whether another one leads.
	lookAgain = 50 * monotonic.Millisecond
)

// callWhileLeading asks a primary until patience ends, or another is known to lead: one that is gone says nothing.
func (roll *Roll) callWhileLeading(name string, kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error {
	var lock sync.Mutex
	var err error
	ended, over, reply := roll.place.NewSignal(), false, tell.ProtoReflect().New().Interface()
	cutoff := roll.place.Now() + patience
	roll.place.Go(func() {
		failed := roll.book.Call(name, kind, ask, reply, patience)
		lock.Lock()
		err, over = failed, true
		lock.Unlock()
		ended.Fire()
	})
	for pause := lookAround; ; pause = lookAgain {
		ended.Wait(min(pause, max(cutoff-roll.place.Now(), 0)+monotonic.Millisecond))
		lock.Lock()
		done, failed := over, err
		lock.Unlock()
		switch {
		case done && failed == nil:
			proto.Merge(tell, reply)
			return nil
		case done:
			return failed
		case name != roll.book.Leader(sorters):
			return apierror.Lost.New("%s doesn't lead any more", name)
		}
		roll.place.Go(roll.book.Refresh)
	}
}

// CallPrimary asks the primary sorter, again after a failover, until patience ends. Only asks that may be repeated
// go this way. An error that is not lost tells that no primary took the ask.
func (roll *Roll) CallPrimary(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error {
	if _, found := parts[kind]; found {
		return roll.batches.call(kind, ask, tell, patience)
	}
	cutoff := roll.place.Now() + patience
	last, taken := error(nil), false
	for pause := firstPause; ; pause = nextPause {
		remaining := cutoff - roll.place.Now()
		if remaining <= 0 {
			switch {
			case taken && !apierror.IsLost(last):
				return apierror.Lost.New("no answer of a primary sorter in time")
			case last == nil:
				return apierror.Unreachable.New("no primary sorter is known") // made here alone: an error carries its stack, which costs
			}
			return last
		}
		name := roll.book.Leader(sorters)
		if name != "" {
			if last = roll.callWhileLeading(name, kind, ask, tell, min(remaining, messagePatience)); last == nil {
				return nil
			}
			taken = taken || apierror.IsLost(last)
			if name != roll.book.Leader(sorters) {
				continue
			}
		}
		roll.place.Go(roll.book.Refresh) // whom it asks may be gone too, and isn't waited for
		roll.place.Sleep(min(pause, max(cutoff-roll.place.Now(), 0)))
	}
}
