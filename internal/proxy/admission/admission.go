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

// BackendRequest is an admitted request, as it is sent to a backend.
type BackendRequest struct {
	ID      string
	Tenant  string // name of the tenant that sent the request; empty for none
	Backend localbackends.Backend
	Method  string
	Target  string // path and query
	Headers []*wire.Header
	Body    []byte
	// FreshConnection requires a connection on which nothing has been sent yet. A request that must not be repeated needs one:
	// if the backend closes a reused idle connection just then, the request can't be sent again on another one.
	FreshConnection bool
	Deadline        monotonic.Micros // on this process's clock
	ResponseLimit   uint64           // largest permitted response body, in bytes
	// BeforeSend is called right before the first byte of the request is written. If it returns a fault, nothing is sent.
	BeforeSend func() *apierror.Error
	// OnCancel registers a function that is called once when the caller disconnects, or immediately if it already has; stop
	// unregisters the function. OnCancel is nil for a request that must run to completion.
	OnCancel func(cancel func()) (stop func())
}

// Upstream sends a request to a backend and returns the backend's complete response. The verdict of a fault says whether the
// request may have run.
type Upstream interface {
	RoundTrip(backendRequest BackendRequest) (*request.Response, *apierror.Error)
}

// Options holds the dependencies and settings of a Controller. All dependencies must be set.
type Options struct {
	Host          host.Host
	Proxy         string // name of this proxy
	Incarnation   uint64 // of this process
	ConfigClient  *configclient.Client
	LocalBackends *localbackends.Set
	Replay        *replay.Store
	Upstream      Upstream
	// LinkMegabits is the capacity of this host's network link in megabits per second; zero for no limit.
	LinkMegabits float64
	// ServeStale makes the controller accept requests that were routed by any version of the configuration, and accept them
	// without a lease on the configuration.
	ServeStale bool
	// CallLeader calls the registry's leader and retries until the timeout, see session.Client.CallLeader.
	CallLeader func(kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error
	// CallProxy sends a message to another proxy by name.
	CallProxy func(name string, kind wire.Kind, message, reply proto.Message, timeout monotonic.Micros) error
}

// Controller admits forwarded requests to the local backends. It is safe for concurrent use.
type Controller struct {
	options       Options
	inFlight      *shutdown.InFlight // requests that have been received and not answered yet
	closed        atomic.Bool        // set by StopAccepting
	shutdown      *shutdown.Group
	executions    *executions
	cancellations *cancellations
	uplink        *uplink.Uplink
	// skipClaims and claimPerService inject faults for tests, see SkipClaims and ClaimPerService.
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
	host.Handle(handlers, wire.Kind_replay, c.serveReplay)
}

// SkipClaims makes the controller run requests without claiming their idempotency keys. Only tests call it, to show that the
// simulation's invariants detect the fault.
func (c *Controller) SkipClaims(enabled bool) { c.skipClaims = enabled }

// ClaimPerService makes the controller claim keys separately for each service, so that the same key can run once per service.
// Only tests call it, to show that the simulation's invariants detect the fault.
func (c *Controller) ClaimPerService(enabled bool) { c.claimPerService = enabled }

// InFlight returns the number of requests in flight.
func (c *Controller) InFlight() int64 { return c.inFlight.Count() }

// StopAccepting makes the controller reject new requests, and those that wait for a slot, with the verdict NotRun.
func (c *Controller) StopAccepting() {
	c.closed.Store(true)
	c.options.LocalBackends.Close()
}

// Abort answers every request in flight at once, with a verdict that says whether it may have run.
func (c *Controller) Abort() { c.shutdown.Abort() }

// Drain waits until no request is in flight, at most for the timeout, and reports whether that was reached.
func (c *Controller) Drain(timeout monotonic.Micros) bool { return c.inFlight.Drain(timeout) }
