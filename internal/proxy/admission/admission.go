package admission

import (
	"go.uber.org/atomic"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/apierror"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/uplink"
	"snowflow/internal/proxy/configclient"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/replay"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/shutdown"
	"snowflow/internal/transport/wire"
)

// BackendRequest is one request for a backend.
type BackendRequest struct {
	ID      string
	Tenant  string // whose key the request bears; empty for none
	Backend localbackends.Backend
	Method  string
	Target  string // path and query
	Headers []*wire.Header
	Body    []byte
	// FreshConnection requires a connection on which nothing was sent before. A request that must not be repeated needs one: it
	// can't be sent again if the backend closes an idle connection at that moment.
	FreshConnection bool
	Deadline        monotonic.Micros // on this process's clock
	ResponseLimit   uint64           // largest body of a response, in bytes
	// BeforeSend is called right before the first byte of the request is written. A fault stops the request.
	BeforeSend func() *apierror.Error
	// OnCancel registers a function that is called once when the caller disconnects, immediately if it already has; stop
	// unregisters it. Nil for a request that must run to its end.
	OnCancel func(cancel func()) (stop func())
}

// Upstream sends a request to a backend and returns its complete response. The verdict of a fault says whether the request may
// have run.
type Upstream interface {
	RoundTrip(backendRequest BackendRequest) (*request.Response, *apierror.Error)
}

// Options are the parts and settings of a Controller. All parts must be set.
type Options struct {
	Host          host.Host
	Proxy         string // name of this proxy
	Incarnation   uint64 // of this process
	ConfigClient  *configclient.Client
	LocalBackends *localbackends.Set
	Replay        *replay.Store
	Upstream      Upstream
	// LinkMegabits is the capacity of this host's link in megabits a second; zero for no limit.
	LinkMegabits float64
	// ServeStale accepts requests whatever configuration they were routed by, and without a lease on the configuration.
	ServeStale bool
	// CallLeader sends a request to the registry's leader until the timeout, see session.Client.CallLeader.
	CallLeader func(kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error
	// CallProxy sends a message to another proxy by name.
	CallProxy func(name string, kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error
}

// Controller admits forwarded requests to the local backends. It is safe for concurrent use.
type Controller struct {
	options       Options
	inFlight      *shutdown.InFlight // requests that were received and not yet answered
	closed        atomic.Bool        // set by StopAccepting
	shutdown      *shutdown.Group
	executions    *executions
	cancellations *cancellations
	uplink        *uplink.Uplink
	// skipClaims and claimPerService break the controller on purpose, see SkipClaims and ClaimPerService.
	skipClaims      bool
	claimPerService bool
}

// New returns a controller that accepts requests.
func New(options Options) *Controller {
	return &Controller{
		options:       options,
		inFlight:      shutdown.NewInFlight(options.Host),
		shutdown:      shutdown.New(options.Host),
		executions:    newExecutions(options.Host),
		cancellations: newCancellations(),
		uplink:        uplink.New(options.LinkMegabits),
	}
}

// Register adds the handlers of the messages that other proxies send to this one.
func (c *Controller) Register(handlers host.Handlers) {
	host.Handle(handlers, wire.Kind_forward, c.Serve)
	host.Handle(handlers, wire.Kind_forward_bulk, c.Serve)
	host.Handle(handlers, wire.Kind_forward_cancel, func(message *wire.ForwardCancelRequest) (*wire.ForwardCancelResponse, error) {
		return &wire.ForwardCancelResponse{Found: c.Cancel(message.From, message.Id)}, nil
	})
	host.Handle(handlers, wire.Kind_replay, c.serveRecall)
}

// SkipClaims makes the controller run requests without claiming their idempotency keys. It exists so that tests can show that the
// simulation's invariants detect it; no program calls it.
func (c *Controller) SkipClaims(enabled bool) { c.skipClaims = enabled }

// ClaimPerService makes the controller claim a key for one service alone, so that the same key runs once for each service. It
// exists so that tests can show that the simulation's invariants detect it; no program calls it.
func (c *Controller) ClaimPerService(enabled bool) { c.claimPerService = enabled }

// InFlight returns the number of requests in flight.
func (c *Controller) InFlight() int64 { return c.inFlight.Count() }

// StopAccepting makes the controller reject new requests, and those that wait for a slot, as not run.
func (c *Controller) StopAccepting() {
	c.closed.Store(true)
	c.options.LocalBackends.Close()
}

// Abort answers every request in flight at once, with a verdict that says whether it may have run.
func (c *Controller) Abort() { c.shutdown.Abort() }

// Drain waits until no request is in flight, at most for the timeout, and reports whether none is.
func (c *Controller) Drain(timeout monotonic.Micros) bool { return c.inFlight.Drain(timeout) }
