// Package invariants checks what callers sent, backends ran and operators were told against the rules of what must never
// happen. It knows nothing of the mesh's insides. The simulator and the fleet both write its history.
package invariants

import (
	"sync"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Attempt is one request as its caller saw it. All times are the observer's one clock.
type Attempt struct {
	ID        string
	Key       string // empty for reads
	Kind      string // which kind of traffic, for counting
	Caller    string // where it was sent: the carrier's name
	Method    string
	Path      string
	Sent      monotonic.Micros
	Ended     monotonic.Micros // zero while open
	Status    int              // zero without an answer
	Mesh      bool             // the answer is the mesh's own refusal
	Cause     int
	NotRun    bool // the refusal said not run
	Serial    uint64
	Echo      string // the attempt id that the answer names
	Whole     bool   // the answer's own seal matched
	Sum       string // of the answer's content as it arrived
	Instance  string
	Transport string // the error of an attempt that ended without an answer
	RetryTold bool   // a Retry-After came along
	// Read is true when the carrier had certainly read it, and was not ended but by a planned stop. Where no answer came to
	// such a one, it was dropped.
	Read bool
}

// Run is one request as a backend saw it.
type Run struct {
	Attempt  string // the caller's id
	Try      int
	Key      string
	Service  string
	Instance string
	Method   string
	Path     string
	At       monotonic.Micros
	Executed bool   // false when the backend said it did not execute it
	Sum      string // of the answer's content, empty when it gave none whole
}

// Left is a backend's word that it is leaving.
type Left struct {
	Instance string
	At       monotonic.Micros
}

// Applied is one apply as its operator saw it.
type Applied struct {
	Serial  uint64
	Digest  string
	Valid   bool // whether what was sent was valid
	Outcome string
	At      monotonic.Micros
	Sum     string // over what it means, as the observer reads it; empty if nobody did
}

// ReadBack is one accepted state as read back at the end.
type ReadBack struct {
	Serial uint64
	Digest string
}

// Adopted is the desired state by which a carrier serves, as an observer saw it.
type Adopted struct {
	Carrier string
	Serial  uint64
	At      monotonic.Micros
	Sum     string // over what it does there; empty if nobody looked
}

// Counted is what a carrier's guard of a service has counted, as an observer saw it.
type Counted struct {
	Carrier string
	Life    uint64 // of the carrier
	Service string
	Verdict string // whatever may rightly begin a new window
	Calls   uint64
	Window  int // calls in the window
	At      monotonic.Micros
}

// Planned is a span in which some process stops as planned or a configuration changes. Until is zero while it lasts.
type Planned struct {
	What        string
	From, Until monotonic.Micros
}

// Note is a moment that a scenario marks, for instance the machines' return.
type Note struct {
	What string
	At   monotonic.Micros
}

// GuardSeen is a shared guard record as an observer read it.
type GuardSeen struct {
	Service   string
	State     string
	Serial    uint64
	Budget    int
	Probes    []string // ids of leased probes
	Tallies   int
	Granted   int // in this round, and how many of them went back
	Returned  int
	Permitted int
	Entered   monotonic.Micros // holder time
	Expires   monotonic.Micros // holder time
	Wait      monotonic.Micros
	Tenure    monotonic.Micros
	At        monotonic.Micros
	Source    string
	// Astray is true while some carrier may go by a verdict of its own: out of reach, frozen or just started.
	Astray bool
}

// Look makes of a record what an observer notes of it.
func Look(record *wire.BreakerRecord, at monotonic.Micros, source string, astray bool) GuardSeen {
	terms := record.Settings
	seen := GuardSeen{Service: record.Service, State: record.State, Serial: record.Version, Budget: int(record.Budget), Tallies: len(record.ProbeResults),
		Permitted: int(max(1, terms.GetPermitted())), Entered: monotonic.Micros(record.EnteredAt), Expires: monotonic.Micros(record.ExpiresAt), Wait: monotonic.Micros(terms.GetWaitOpen()),
		Tenure: monotonic.Micros(terms.GetProbeLease()), At: at, Source: source, Astray: astray}
	for _, probe := range record.ProbeLeases {
		seen.Probes = append(seen.Probes, probe.Id)
	}
	for _, share := range record.Shares {
		seen.Granted, seen.Returned = seen.Granted+int(share.Granted), seen.Returned+int(share.Returned)
	}
	return seen
}

// History is everything that was seen.
type History struct {
	lock     sync.Mutex
	Attempts []*Attempt
	Runs     []Run
	Lefts    []Left
	Applies  []Applied
	ReadBack []ReadBack
	Read     bool // the history was read back at the end
	Notes    []Note
	Guards   []GuardSeen
	Adopted  []Adopted
	Plans    []*Planned
	Counts   []Counted
	Orders   []Order
	// Keeps is how many states the core keeps, all for zero: older ones needn't read back.
	Keeps int
	// Allowed tells since when a kind of traffic may run on a service: from when a configuration that sends it there was
	// first handed in.
	Allowed map[string]map[string]monotonic.Micros
	// Allowance is the sum of what a service's further tries may come to beyond the ratio.
	Allowance int
}

// Send notes an attempt.
func (history *History) Send(attempt *Attempt) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Attempts = append(history.Attempts, attempt)
}

// End changes an attempt under the lock.
func (history *History) End(change func()) {
	history.lock.Lock()
	defer history.lock.Unlock()
	change()
}

// Ran notes a run.
func (history *History) Ran(run Run) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Runs = append(history.Runs, run)
}

// Leave notes a leaving.
func (history *History) Leave(instance string, at monotonic.Micros) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Lefts = append(history.Lefts, Left{instance, at})
}

// Apply notes an apply.
func (history *History) Apply(applied Applied) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Applies = append(history.Applies, applied)
}

// Mark notes a moment.
func (history *History) Mark(what string, at monotonic.Micros) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Notes = append(history.Notes, Note{what, at})
}

// See notes a guard record.
func (history *History) See(seen GuardSeen) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Guards = append(history.Guards, seen)
}

// Adopt notes the desired state that a carrier serves by.
func (history *History) Adopt(carrier string, serial uint64, at monotonic.Micros) {
	history.Serves(Adopted{Carrier: carrier, Serial: serial, At: at})
}

// Serves notes by what a carrier serves, and what that does there.
func (history *History) Serves(adopted Adopted) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Adopted = append(history.Adopted, adopted)
}

// Count notes what a guard has counted.
func (history *History) Count(counted Counted) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.Counts = append(history.Counts, counted)
}

// Plan notes that something planned begins; what it gives ends it.
func (history *History) Plan(what string, from monotonic.Micros) func(until monotonic.Micros) {
	history.lock.Lock()
	defer history.lock.Unlock()
	fresh := &Planned{What: what, From: from}
	history.Plans = append(history.Plans, fresh)
	return func(until monotonic.Micros) {
		history.lock.Lock()
		defer history.lock.Unlock()
		fresh.Until = until
	}
}

// Allow notes that a configuration handed in at a moment sends a kind of traffic to a service.
func (history *History) Allow(kind, service string, at monotonic.Micros) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if history.Allowed == nil {
		history.Allowed = map[string]map[string]monotonic.Micros{}
	}
	if history.Allowed[kind] == nil {
		history.Allowed[kind] = map[string]monotonic.Micros{}
	}
	if since, known := history.Allowed[kind][service]; !known || at < since {
		history.Allowed[kind][service] = at
	}
}
