// Package singleton lets a backend on this host hold a role that only one backend of the mesh has at a time, such as running a
// scheduled job. The registry's leader grants a lease on the role. The backend must renew the lease, or stop before it expires.
//
// The proxy keeps no state about leases: it returns the remaining time of each lease to the backend.
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
	// callTimeout bounds one call to the registry. It's long enough to outlast a failover of the registry.
	callTimeout = 3 * monotonic.Second
	// clockDriftDivisor sets the margin for clock drift: the backend's lease ends earlier by its length divided by this.
	clockDriftDivisor = 50
	// ignoredExpiryFactor is the factor by which Client.IgnoreExpiry extends leases.
	ignoredExpiryFactor = 2
)

// Options are the dependencies of a Client. All must be set.
type Options struct {
	Host  host.Host
	Proxy string // name of this proxy
	// Available reports whether an instance is registered on this host, alive and not leaving.
	Available func(instance string) bool
	// CallLeader sends a request to the registry's leader until it succeeds or the timeout has passed, see session.Client.CallLeader.
	CallLeader func(kind wire.Kind, request, response proto.Message, timeout monotonic.Micros) error
}

// Client requests leases on roles for the backends of this host. It is safe for concurrent use.
type Client struct {
	options Options
	// ignoreExpiry makes the client faulty on purpose, see IgnoreExpiry.
	ignoreExpiry bool
}

// Grant is the response to a request for a role.
type Grant struct {
	Granted bool `json:"granted"`
	// Remaining is the remaining time of the lease. By this host's clock it ends before the registry's record of the lease expires,
	// because it is counted from before the request was sent and shortened by a margin for clock drift.
	Remaining monotonic.Micros `json:"left_micros"`
	Holder    string           `json:"holder,omitempty"`   // the proxy on the leaseholder's host
	Instance  string           `json:"instance,omitempty"` // the leaseholder
}

// New returns a client.
func New(options Options) *Client { return &Client{options: options} }

// IgnoreExpiry makes leases last twice as long as granted. It exists only for tests that verify that the simulation's invariants detect
// this fault.
func (c *Client) IgnoreExpiry(enabled bool) { c.ignoreExpiry = enabled }

// Acquire requests or renews the lease on a role for a backend. length is the requested duration in microseconds. After an error, an
// earlier lease remains valid until its original end.
func (c *Client) Acquire(role, instance string, length monotonic.Micros) (Grant, error) {
	if settings.CheckName(role) != nil { // the backends' API calls a role a duty
		return Grant{}, apierror.Invalid.New("a duty's name is a lower-case letter, then up to 62 letters, digits or hyphens")
	}
	if !c.options.Available(instance) {
		return Grant{}, apierror.Refused.New("instance %q is not registered here, silent or leaving", instance)
	}
	sentAt := c.options.Host.Now()
	request := &wire.SingletonLeaseRequest{Role: role, Proxy: c.options.Proxy, Instance: instance, Duration: int64(length)}
	response := &wire.SingletonLeaseResponse{}
	if err := c.options.CallLeader(wire.Kind_singleton_lease, request, response, callTimeout); err != nil {
		return Grant{}, apierror.Lost.Wrap(err, "it is unknown whether the role was granted")
	}
	if !response.Granted {
		return Grant{Holder: response.Owner, Instance: response.Instance}, nil
	}
	granted := monotonic.Micros(response.Duration)
	if c.ignoreExpiry {
		granted *= ignoredExpiryFactor
	}
	remaining := sentAt + granted - granted/clockDriftDivisor - c.options.Host.Now()
	return Grant{Granted: true, Remaining: remaining, Holder: c.options.Proxy, Instance: instance}, nil
}

// Release releases the lease on a role. The backend must have stopped acting in the role before. If the registry can't be reached, the
// lease isn't released but expires.
func (c *Client) Release(role, instance string) error {
	request := &wire.SingletonLeaseRequest{Role: role, Proxy: c.options.Proxy, Instance: instance, Release: true}
	if err := c.options.CallLeader(wire.Kind_singleton_lease, request, &wire.SingletonLeaseResponse{}, callTimeout); err != nil {
		return apierror.Lost.Wrap(err, "it is unknown whether the role was released")
	}
	return nil
}
