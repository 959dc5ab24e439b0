// Package inspector checks what callers sent, backends ran and operators were told against the rules of what must never
// happen. It knows nothing of the mesh's insides. The simulator and the fleet both write its history.
package inspector

import (
	"sync"

	"snowflow/internal/postmark"
)

// Attempt is one request as its caller saw it. All times are the observer's one clock.
type Attempt struct {
	ID        string
	Key       string // empty for reads
	Kind      string // which kind of traffic, for counting
	Caller    string // where it was sent: the carrier's name
	Method    string
	Path      string
	Sent      postmark.Micros
	Ended     postmark.Micros // zero while open
	Status    int             // zero without an answer
	Mesh      bool            // the answer is the mesh's own refusal
	Cause     int
	NotRun    bool // the refusal said not run
	Serial    uint64
	Echo      string // the attempt id that the answer names
	Whole     bool   // the answer's own seal matched
	Instance  string
	Transport string // the error of an attempt that ended without an answer
	RetryTold bool   // a Retry-After came along
	Planned   bool   // the carrier it was sent to was in a planned stop at some time of it
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
	At       postmark.Micros
	Executed bool // false when the backend said it did not execute it
}

// Left is a backend's word that it is leaving.
type Left struct {
	Instance string
	At       postmark.Micros
}

// Applied is one apply as its operator saw it.
type Applied struct {
	Serial  uint64
	Digest  string
	Valid   bool // whether what was sent was valid
	Outcome string
	At      postmark.Micros
}

// ReadBack is one accepted state as read back at the end.
type ReadBack struct {
	Serial uint64
	Digest string
}

// Note is a moment that a scenario marks, for instance the machines' return.
type Note struct {
	What string
	At   postmark.Micros
}

// GuardSeen is a shared guard record as an observer read it.
type GuardSeen struct {
	Service   string
	State     string
	Serial    uint64
	Budget    int
	Probes    int
	Tallies   int
	Permitted int
	At        postmark.Micros
	Source    string
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
	// Allowed tells which services a method and path may run on, by any configuration there was.
	Allowed map[string]map[string]bool
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
func (history *History) Leave(instance string, at postmark.Micros) {
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
func (history *History) Mark(what string, at postmark.Micros) {
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

// Allow notes that a configuration sends a method and path prefix to a service.
func (history *History) Allow(kind, service string) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if history.Allowed == nil {
		history.Allowed = map[string]map[string]bool{}
	}
	if history.Allowed[kind] == nil {
		history.Allowed[kind] = map[string]bool{}
	}
	history.Allowed[kind][service] = true
}
