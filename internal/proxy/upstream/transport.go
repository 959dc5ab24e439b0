// Package upstream sends requests to backends over HTTP/1.1 and returns their responses.
//
// A response is accepted only if it is complete and well formed: the end of its body must be explicit (a closed connection does not
// count), nothing may follow it, and it must belong to the request. Anything else is an error, whose verdict tells whether the backend
// may have run the request.
//
// Connections are pooled. A connection is checked before each use, because unsolicited bytes on it would be read as the next
// response, and because many backends close idle connections earlier than they announce; the transport estimates how early (see
// idleLimits). A backend may send a response twice, so that the duplicate takes the place of the next response; only the request's id
// distinguishes them. A further attempt with the same id is therefore sent on a connection that has not carried that id (see
// requestHistory).
package upstream

import (
	"net"
	"slices"
	"sync"
	"time"

	"snowflow/internal/apierror"
	"snowflow/internal/host/machine/socket"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/request"
)

const (
	// dialTimeout bounds the time to connect to a backend, and separately the time of the identity check.
	dialTimeout = time.Second
	// maxIdleTime is how long a connection may be idle unless the backend announces a shorter time.
	maxIdleTime = 20 * time.Second
	// maxIdlePerInstance bounds the idle connections to one instance.
	maxIdlePerInstance = 32
	// maxHeaderBytes bounds the status line and headers of a response.
	maxHeaderBytes = 64 << 10
)

// Transport pools connections to backends and sends requests on them. It is safe for concurrent use.
type Transport struct {
	clock   monotonic.Clock
	dialect Dialect

	mu sync.Mutex // guards the fields below
	// idle holds the idle connections of each instance, the longest idle first. Their identity was checked after the dial if the
	// dialect requires it, and they have no unread data.
	idle       map[string][]*backendConn
	idleLimits idleLimits
}

// New returns a transport without connections. The deadlines of requests refer to the given clock.
func New(clock monotonic.Clock, dialect Dialect) *Transport {
	return &Transport{clock: clock, dialect: dialect, idle: map[string][]*backendConn{}, idleLimits: idleLimits{}}
}

// RoundTrip sends one request to its backend and returns the complete response.
func (t *Transport) RoundTrip(req admission.BackendRequest) (*request.Response, *apierror.Error) {
	deadline := time.Now().Add((req.Deadline - t.clock.Now()).Duration())
	conn, fault := t.connect(req, deadline)
	if fault != nil {
		return nil, fault
	}
	reusable := false
	defer func() { t.release(req.Backend.Instance, conn, reusable) }()
	if fault := req.BeforeSend(); fault != nil {
		reusable = true // nothing was sent
		return nil, fault
	}
	response, reusable, fault := t.exchange(conn, req, deadline)
	return response, fault
}

// exchange sends a request on a connection and reads the response. It reports whether the connection may be used again.
func (t *Transport) exchange(
	conn *backendConn, req admission.BackendRequest, deadline time.Time,
) (response *request.Response, reusable bool, fault *apierror.Error) {
	if req.OnCancel != nil {
		stop := req.OnCancel(func() { _ = conn.net.Close() }) // most backends abort a request when its connection closes
		defer stop()
	}
	_ = conn.net.SetDeadline(deadline)
	conn.history.add(t.dialect.RequestID(req))
	if fault := t.send(conn, req); fault != nil {
		return nil, false, fault
	}
	response, reusable, fault = conn.readResponse(req, t.dialect)
	if fault != nil && fault.Cause == apierror.ResponseBroken && !conn.responseStarted() {
		fault.HealthNeutral = t.closedWhileIdle(req.Backend.Instance, conn.idleFor)
	}
	return response, reusable && fault == nil, fault
}

// send writes a request to a connection.
func (t *Transport) send(conn *backendConn, req admission.BackendRequest) *apierror.Error {
	written, err := conn.net.Write(t.encode(conn, req))
	if err == nil {
		return nil
	}
	verdict := apierror.MayHaveRun
	if written == 0 {
		verdict = apierror.NotRun
	}
	fault := apierror.New(apierror.ResponseBroken, verdict, "sending to %s: %v", req.Backend.Instance, err)
	fault.HealthNeutral = t.closedWhileIdle(req.Backend.Instance, conn.idleFor)
	return fault
}

// release returns a connection to the pool if it is reusable, and closes it otherwise.
func (t *Transport) release(instance string, conn *backendConn, reusable bool) {
	if !reusable {
		_ = conn.net.Close()
		return
	}
	_ = conn.net.SetDeadline(time.Time{}) // otherwise the deadline's timer would wake up this process
	t.putIdle(instance, conn)
}

// connect returns a pooled or a new connection to the backend of a request.
func (t *Transport) connect(req admission.BackendRequest, deadline time.Time) (*backendConn, *apierror.Error) {
	if conn := t.reuse(req); conn != nil {
		return conn, nil
	}
	// TCP keep-alive probes are not needed: a connection is checked before reuse, and responses have a deadline.
	dialer := net.Dialer{Timeout: min(dialTimeout, time.Until(deadline)), KeepAlive: -1}
	connection, err := dialer.Dial("tcp", req.Backend.Address)
	if err != nil {
		return nil, apierror.New(apierror.BackendDialFailed, apierror.NotRun, "%v", err)
	}
	dialled := newBackendConn(socket.Wrap(connection))
	if !t.dialect.ChecksIdentity {
		return dialled, nil
	}
	_ = dialled.net.SetDeadline(earlierTime(deadline, time.Now().Add(dialTimeout)))
	if err := dialled.identify(req.Backend); err != nil {
		_ = dialled.net.Close()
		return nil, apierror.New(apierror.BackendIdentityMismatch, apierror.NotRun, "identity check of %s: %v", req.Backend.Address, err)
	}
	return dialled, nil
}

func earlierTime(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

// reuse returns an idle connection on which a request may be sent, or nil. It closes the unusable ones that it finds.
func (t *Transport) reuse(req admission.BackendRequest) *backendConn {
	maxIdle := t.dialect.MaxIdleForNonRetryable
	if req.FreshConnection && maxIdle <= 0 {
		return nil
	}
	instance, id := req.Backend.Instance, t.dialect.RequestID(req)
	for conn := t.takeIdle(instance, id); conn != nil; conn = t.takeIdle(instance, id) {
		conn.idleFor = time.Since(conn.idleSince)
		freshEnough := !req.FreshConnection || conn.idleFor < maxIdle
		if conn.reusable() && freshEnough && t.mayReuse(instance, conn.idleFor) {
			return conn
		}
		_ = conn.net.Close()
	}
	return nil
}

// mayReuse reports whether the backend is likely to have kept a connection open that was idle for idleFor.
func (t *Transport) mayReuse(instance string, idleFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleLimits.allows(time.Now(), instance, idleFor)
}

// closedWhileIdle records that a connection closed before the first byte of a response, and reports whether the backend probably
// closed it because it was idle. That says nothing about the backend's health.
func (t *Transport) closedWhileIdle(instance string, idleFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.idleLimits.observeClosed(time.Now(), instance, idleFor)
}

// takeIdle removes the most recently used idle connection from the pool and returns it, or nil if there is none. It skips those that
// have carried the request's id.
func (t *Transport) takeIdle(instance, requestID string) *backendConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.idle[instance]
	for position := len(idle) - 1; position >= 0; position-- {
		if conn := idle[position]; !conn.history.contains(requestID) {
			t.setIdle(instance, slices.Delete(idle, position, position+1))
			return conn
		}
	}
	return nil
}

// setIdle replaces the idle connections of an instance. mu must be held.
func (t *Transport) setIdle(instance string, idle []*backendConn) {
	if len(idle) == 0 {
		delete(t.idle, instance)
		return
	}
	t.idle[instance] = idle
}

// putIdle adds a connection to the pool. It first closes the longest idle ones while there are too many or they are too old.
func (t *Transport) putIdle(instance string, used *backendConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.idle[instance]
	for len(idle) > 0 && (len(idle) >= maxIdlePerInstance || time.Since(idle[0].idleSince) > maxIdleTime) {
		_ = idle[0].net.Close()
		idle = idle[1:]
	}
	used.idleSince = time.Now()
	t.idle[instance] = append(idle, used)
}
