// Package singleton holds the duties of this machine's backends: work that one backend of the whole mesh does at a time.
package singleton

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/settings"
	"snowflow/internal/transport/wire"
)

const (
	// patience is how long one ask may take, over a failover of the sorters.
	patience = 3 * monotonic.Second
	// drift is the part of a tenure by which a doer stops early: no two clocks run alike.
	drift = 50
)

// Env is what a rota is made of.
type Env struct {
	Place   host.Host
	Carrier string
	// Present tells whether an instance is registered here, alive and not leaving.
	Present func(instance string) bool
	// CallPrimary asks the primary sorter until patience ends.
	CallPrimary func(kind wire.Kind, ask, tell proto.Message, patience monotonic.Micros) error
}

// Rota asks for duties. It keeps nothing: a tenure is told to its doer, which stops by it.
// Invariant: what is told ends, on this clock, before the sorters' record of it does, since it counts from before the ask
// and is shorter by the drift.
type Rota struct {
	env Env
	// stubborn counts tenures twice as long; only rehearsals of the checker set it.
	stubborn bool
}

// Told is what a backend hears about a duty.
type Told struct {
	Granted bool             `json:"granted"`
	Left    monotonic.Micros `json:"left_micros"`
	Holder  string           `json:"holder,omitempty"`   // the carrier beside the doer
	Doer    string           `json:"instance,omitempty"` // the doer
}

// New makes a rota.
func New(made Env) *Rota { return &Rota{env: made} }

// Stubborn makes doers go on past their tenure, to show that a checker sees what comes of it. No program sets it.
func (rota *Rota) Stubborn(broken bool) { rota.stubborn = broken }

// Ask asks for a duty, or for more time in it. An error leaves what was granted before as it was.
func (rota *Rota) Ask(duty, instance string, length monotonic.Micros) (Told, error) {
	if settings.CheckName(duty) != nil {
		return Told{}, apierror.Invalid.New("a duty's name is a lower-case letter, then up to 62 letters, digits or hyphens")
	}
	if !rota.env.Present(instance) {
		return Told{}, apierror.Refused.New("instance %q is not registered here, silent or leaving", instance)
	}
	asked := rota.env.Place.Now()
	tell := &wire.SingletonLeaseResponse{}
	err := rota.env.CallPrimary(wire.Kind_singleton_lease, &wire.SingletonLeaseRequest{Role: duty, Proxy: rota.env.Carrier, Instance: instance, Duration: int64(length)}, tell, patience)
	if err != nil {
		return Told{}, apierror.Lost.Wrap(err, "whether the duty was granted is not known")
	}
	if !tell.Granted {
		return Told{Holder: tell.Owner, Doer: tell.Instance}, nil
	}
	granted := monotonic.Micros(tell.Duration)
	if rota.stubborn {
		granted *= 2
	}
	left := asked + granted - granted/drift - rota.env.Place.Now()
	return Told{Granted: true, Left: left, Holder: rota.env.Carrier, Doer: instance}, nil
}

// Release gives a duty up. The backend must have stopped; if the sorters can't be told, the tenure runs out.
func (rota *Rota) Release(duty, instance string) error {
	err := rota.env.CallPrimary(wire.Kind_singleton_lease, &wire.SingletonLeaseRequest{Role: duty, Proxy: rota.env.Carrier, Instance: instance, Release: true}, &wire.SingletonLeaseResponse{}, patience)
	if err != nil {
		return apierror.Lost.Wrap(err, "whether the duty was given up is not known")
	}
	return nil
}
