package admission

import (
	"snowflow/internal/apierror"
	"snowflow/internal/config"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// previousVersionGrace is how long after this proxy has adopted a version of the configuration it still accepts requests that
	// were routed by the version before. The sender's own lease makes it stop using a version within two seconds of the next one;
	// this limit also rejects a request whose sender was suspended between routing and sending it.
	previousVersionGrace = monotonic.Second
	// versionCatchUpTimeout is how long a request that was routed by a newer version waits for this proxy to adopt it.
	versionCatchUpTimeout = 500 * monotonic.Millisecond
)

// preconditions are checked in this order before anything is reserved or claimed, so that a rejected request has certainly not run.
var preconditions = []func(c *Controller, req *wire.ForwardRequest) *apierror.Error{
	(*Controller).checkAccepting,
	(*Controller).checkIncarnation,
	func(c *Controller, _ *wire.ForwardRequest) *apierror.Error { return c.checkLease() },
	(*Controller).checkVersion,
}

func (c *Controller) checkPreconditions(req *wire.ForwardRequest) *apierror.Error {
	for _, check := range preconditions {
		if fault := check(c, req); fault != nil {
			return fault
		}
	}
	return nil
}

func (c *Controller) checkAccepting(*wire.ForwardRequest) *apierror.Error {
	if c.closed.Load() {
		return apierror.New(apierror.Draining, apierror.NotRun, "proxy %s is stopping", c.options.Proxy)
	}
	return nil
}

func (c *Controller) checkIncarnation(req *wire.ForwardRequest) *apierror.Error {
	if req.ToIncarnation != c.options.Incarnation {
		return apierror.New(apierror.BackendUnknown, apierror.NotRun, "the request is addressed to another incarnation of this proxy")
	}
	return nil
}

// checkLease rejects requests while this proxy has no lease on its configuration, unless ServeStale is set.
func (c *Controller) checkLease() *apierror.Error {
	if _, live := c.options.ConfigClient.Current(); !live && !c.options.ServeStale {
		return apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun, "proxy %s has no lease on its configuration", c.options.Proxy)
	}
	return nil
}

// checkVersion rejects a request that was routed by an outdated version of the configuration, or by a newer one that this proxy
// does not adopt in time.
func (c *Controller) checkVersion(req *wire.ForwardRequest) *apierror.Error {
	if c.options.ServeStale {
		return nil
	}
	version, age := c.options.ConfigClient.Version()
	if req.ConfigVersion < version && (req.ConfigVersion+1 < version || age > previousVersionGrace) {
		return apierror.New(apierror.VersionOlder, apierror.NotRun,
			"routed by configuration version %d, %d is in force", req.ConfigVersion, version)
	}
	catchUpTimeout := min(versionCatchUpTimeout, monotonic.Micros(req.Remaining))
	if req.ConfigVersion > version && !c.options.ConfigClient.WaitForVersion(req.ConfigVersion, catchUpTimeout) {
		return apierror.New(apierror.VersionNewer, apierror.NotRun,
			"routed by configuration version %d, this proxy has %d", req.ConfigVersion, version)
	}
	return nil
}

// findService returns the configuration under which a request is executed: that of its service in the current version, which may
// be newer than the version that checkVersion saw.
func (c *Controller) findService(req *wire.ForwardRequest) (*config.Service, *apierror.Error) {
	snapshot, _ := c.options.ConfigClient.Current()
	if snapshot != nil && snapshot.Services[req.Service] != nil {
		return snapshot.Services[req.Service], nil
	}
	if c.options.ServeStale {
		return config.DefaultService(req.Service), nil // the sender's version, which may be another one, has the service
	}
	return nil, apierror.New(apierror.VersionOlder, apierror.NotRun,
		"service %s is not in configuration version %d", req.Service, snapshot.Version)
}
