// Package rota holds the duties of this machine's backends: work that one backend of the whole mesh does at a time.
package rota

import (
	"regexp"
	"sync"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/office"
	"snowflow/internal/parcel/wire"
	"snowflow/internal/postmark"
	"snowflow/internal/seal"
)

const (
	// patience is how long one ask may take, over a failover of the sorters.
	patience = 3 * postmark.Second
	// drift is the part of a tenure by which a doer stops early: no two clocks run alike.
	drift = 50
)

var fitting = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Env is what a rota is made of.
type Env struct {
	Place   office.Office
	Carrier string
	// Present tells whether an instance is registered here, alive and not leaving.
	Present func(instance string) bool
	// CallPrimary asks the primary sorter until patience ends.
	CallPrimary func(kind wire.Kind, ask, tell proto.Message, patience postmark.Micros) error
}

// Rota knows which duties the backends here hold.
// Invariant: a tenure in held ends, on this clock, before the sorters' record of it does, since it counts from before the
// ask and is shorter by the drift.
type Rota struct {
	env  Env
	lock sync.Mutex
	held map[string]tenure
	// stubborn counts tenures twice as long; only rehearsals of the checker set it.
	stubborn bool
}

type tenure struct {
	instance string
	until    postmark.Micros
}

// Told is what a backend hears about a duty.
type Told struct {
	Granted bool            `json:"granted"`
	Left    postmark.Micros `json:"left_micros"`
	Holder  string          `json:"holder,omitempty"`   // the carrier beside the doer
	Doer    string          `json:"instance,omitempty"` // the doer
}

// New makes a rota.
func New(env Env) *Rota { return &Rota{env: env, held: map[string]tenure{}} }

// Stubborn makes doers go on past their tenure, to show that a checker sees what comes of it. No program sets it.
func (rota *Rota) Stubborn(broken bool) { rota.stubborn = broken }

// Ask asks for a duty, or for more time in it. An error leaves what was held before as it was.
func (rota *Rota) Ask(duty, instance string, length postmark.Micros) (Told, error) {
	if !fitting.MatchString(duty) {
		return Told{}, seal.Invalid.New("a duty's name is a lower-case letter, then up to 62 letters, digits or hyphens")
	}
	if !rota.env.Present(instance) {
		return Told{}, seal.Refused.New("instance %q is not registered here, silent or leaving", instance)
	}
	asked := rota.env.Place.Now()
	tell := &wire.DutyTell{}
	err := rota.env.CallPrimary(wire.Kind_duty, &wire.DutyAsk{Duty: duty, Carrier: rota.env.Carrier, Instance: instance, Length: int64(length)}, tell, patience)
	if err != nil {
		return Told{}, seal.Lost.Wrap(err, "whether the duty was granted is not known")
	}
	rota.lock.Lock()
	defer rota.lock.Unlock()
	if !tell.Granted {
		if rota.held[duty].instance == instance {
			delete(rota.held, duty)
		}
		return Told{Holder: tell.Holder, Doer: tell.Instance}, nil
	}
	granted := postmark.Micros(tell.Length)
	if rota.stubborn {
		granted *= 2
	}
	rota.held[duty] = tenure{instance: instance, until: asked + granted - granted/drift}
	return Told{Granted: true, Left: rota.left(duty, instance), Holder: rota.env.Carrier, Doer: instance}, nil
}

// Left is how long an instance may still do a duty; zero or less means that it must have stopped.
func (rota *Rota) Left(duty, instance string) postmark.Micros {
	rota.lock.Lock()
	defer rota.lock.Unlock()
	return rota.left(duty, instance)
}

func (rota *Rota) left(duty, instance string) postmark.Micros {
	present, known := rota.held[duty]
	if !known || present.instance != instance {
		return 0
	}
	return present.until - rota.env.Place.Now()
}

// Release gives a duty up. The backend must have stopped; if the sorters can't be told, the tenure runs out.
func (rota *Rota) Release(duty, instance string) error {
	rota.lock.Lock()
	if rota.held[duty].instance == instance {
		delete(rota.held, duty)
	}
	rota.lock.Unlock()
	err := rota.env.CallPrimary(wire.Kind_duty, &wire.DutyAsk{Duty: duty, Carrier: rota.env.Carrier, Instance: instance, Release: true}, &wire.DutyTell{}, patience)
	if err != nil {
		return seal.Lost.Wrap(err, "whether the duty was given up is not known")
	}
	return nil
}
