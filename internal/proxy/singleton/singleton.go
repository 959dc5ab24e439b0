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
	callTimeout = 3 * monotonic.Second
	// drift is the part of a tenure by which a doer stops early: no two clocks run alike.
	clockDriftDivisor = 50
)

// Options is what a rota is made of.
type Options struct {
	Host  host.Host
	Proxy string
	// Available tells whether an instance is registered here, alive and not leaving.
	Available func(instance string) bool
	// CallPrimary asks the primary sorter until patience ends.
	CallPrimary func(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error
}

// Client asks for duties. It keeps nothing: a tenure is told to its doer, which stops by it.
// Invariant: what is told ends, on this clock, before the sorters' record of it does, since it counts from before the ask
// and is shorter by the drift.
type Client struct {
	options Options
	// stubborn counts tenures twice as long; only rehearsals of the checker set it.
	ignoreExpiry bool
}

// Grant is what a backend hears about a duty.
type Grant struct {
	Granted   bool             `json:"granted"`
	Remaining monotonic.Micros `json:"left_micros"`
	Holder    string           `json:"holder,omitempty"`   // the carrier beside the doer
	Instance  string           `json:"instance,omitempty"` // the doer
}

// New makes a rota.
func New(options Options) *Client { return &Client{options: options} }

// IgnoreExpiry makes doers go on past their tenure, to show that a checker sees what comes of it. No program sets it.
func (c *Client) IgnoreExpiry(enabled bool) { c.ignoreExpiry = enabled }

// Acquire asks for a duty, or for more time in it. An error leaves what was granted before as it was.
func (c *Client) Acquire(role, instance string, length monotonic.Micros) (Grant, error) {
	if settings.CheckName(role) != nil {
		return Grant{}, apierror.Invalid.New("a duty's name is a lower-case letter, then up to 62 letters, digits or hyphens")
	}
	if !c.options.Available(instance) {
		return Grant{}, apierror.Refused.New("instance %q is not registered here, silent or leaving", instance)
	}
	sentAt := c.options.Host.Now()
	response := &wire.SingletonLeaseResponse{}
	err := c.options.CallPrimary(wire.Kind_singleton_lease, &wire.SingletonLeaseRequest{Role: role, Proxy: c.options.Proxy, Instance: instance, Duration: int64(length)}, response, callTimeout)
	if err != nil {
		return Grant{}, apierror.Lost.Wrap(err, "whether the duty was granted is not known")
	}
	if !response.Granted {
		return Grant{Holder: response.Owner, Instance: response.Instance}, nil
	}
	granted := monotonic.Micros(response.Duration)
	if c.ignoreExpiry {
		granted *= 2
	}
	remaining := sentAt + granted - granted/clockDriftDivisor - c.options.Host.Now()
	return Grant{Granted: true, Remaining: remaining, Holder: c.options.Proxy, Instance: instance}, nil
}

// Release gives a duty up. The backend must have stopped; if the sorters can't be told, the tenure runs out.
func (c *Client) Release(role, instance string) error {
	err := c.options.CallPrimary(wire.Kind_singleton_lease, &wire.SingletonLeaseRequest{Role: role, Proxy: c.options.Proxy, Instance: instance, Release: true}, &wire.SingletonLeaseResponse{}, callTimeout)
	if err != nil {
		return apierror.Lost.Wrap(err, "whether the duty was given up is not known")
	}
	return nil
}
