package scenario

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"strings"

	"snowflow/internal/apierror"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const (
	// checksumHeader holds the checksum of a response's body.
	checksumHeader = "Sum"
	// echoHeader holds the ID of the attempt that a response belongs to.
	echoHeader = "Echo"
	// slowWork is how much longer a slow backend works.
	slowWork = 6 * monotonic.Second
	// truncatedLength is how much of a body a truncating backend sends.
	truncatedLength = 4
)

// simulatedUpstream stands in for a proxy's HTTP connections to its backends. It reports the same errors in the same cases.
type simulatedUpstream struct {
	mesh *Mesh
	host *world.Host
}

// RoundTrip passes a request on to its backend and returns the response.
func (u *simulatedUpstream) RoundTrip(order admission.BackendRequest) (*request.Response, *apierror.Error) {
	u.delay()
	backend, fault := u.dial(order)
	if fault != nil {
		return nil, fault
	}
	if fault := order.BeforeSend(); fault != nil {
		return nil, fault
	}
	// From here on the backend may execute the request.
	backend.inFlight++
	backend.maxInFlight = max(backend.maxInFlight, backend.inFlight)
	defer func() { backend.inFlight-- }()
	if fault := u.delayUntilDeadline(order); fault != nil {
		return nil, fault
	}
	if !backend.up {
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "connection reset")
	}
	attempt, _ := splitRequestID(order.ID)
	present := u.mesh.drawBehavior(backend)
	body := []byte(attempt + " answered by " + backend.instance)
	u.mesh.recordRun(order, backend, present, body)
	if backend.service == householdsService && u.mesh.oneIn(4) {
		u.mesh.startLookup(order, backend)
	}
	if fault := u.work(order, present); fault != nil {
		return nil, fault
	}
	if fault := u.delayUntilDeadline(order); fault != nil {
		return nil, fault
	}
	return u.mesh.respond(backend, present, attempt, body)
}

// delay passes the time that a message to or from the backend takes.
func (u *simulatedUpstream) delay() {
	u.host.Sleep(monotonic.Micros(100 + u.mesh.World.Rand().Uint64N(1500)))
}

func (u *simulatedUpstream) delayUntilDeadline(order admission.BackendRequest) *apierror.Error {
	u.delay()
	if u.host.Now() >= order.Deadline {
		return apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "deadline exceeded")
	}
	return nil
}

// dial returns the backend that listens at the request's address, once it has identified itself.
func (u *simulatedUpstream) dial(order admission.BackendRequest) (*simulatedBackend, *apierror.Error) {
	var target *simulatedBackend
	for _, backend := range u.mesh.backends {
		if backend.up && backend.address == order.Backend.Address {
			target = backend
		}
	}
	if target == nil {
		return nil, apierror.New(apierror.BackendDialFailed, apierror.NotRun, "connection refused")
	}
	expected := target.instance == order.Backend.Instance && target.service == order.Backend.Service
	if !expected && !u.mesh.defects.NoIdentityCheck {
		return nil, apierror.New(apierror.BackendIdentityMismatch, apierror.NotRun, "the backend is %s", target.instance)
	}
	return target, nil
}

// work passes the time that the backend works, which ends early if the request is cancelled.
func (u *simulatedUpstream) work(order admission.BackendRequest, present behavior) *apierror.Error {
	duration := u.mesh.workDuration
	if present == slow {
		duration += slowWork
	}
	if duration <= 0 {
		return nil
	}
	duration = min(duration, order.Deadline-u.host.Now()) // the connection's own timeout ends it then
	if order.OnCancel == nil {
		u.host.Sleep(duration)
		return nil
	}
	cancelled := u.host.NewSignal()
	defer order.OnCancel(cancelled.Fire)()
	if cancelled.Wait(duration) {
		return apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "connection closed")
	}
	return nil
}

// drawBehavior returns how a backend responds to one request.
func (m *Mesh) drawBehavior(backend *simulatedBackend) behavior {
	if backend.behavior != mixed {
		return backend.behavior
	}
	return pick(m, []behavior{healthy, healthy, failing, losing, truncating, notExecuting})
}

// splitRequestID splits the ID of a forwarded request into that of the caller's attempt and the number of the forwarding, which
// is 1 if it cannot be read.
func splitRequestID(id string) (attempt string, number int) {
	position := strings.LastIndexByte(id, '.')
	number = 1
	_, _ = fmt.Sscanf(id[position+1:], "%d", &number)
	return id[:position], number
}

// recordRun records that a request has reached a backend. Only a healthy or slow backend sends a complete response.
func (m *Mesh) recordRun(order admission.BackendRequest, backend *simulatedBackend, present behavior, body []byte) {
	attempt, number := splitRequestID(order.ID)
	run := invariants.BackendRequest{
		AttemptID:     attempt,
		AttemptNumber: number,
		Key:           request.HeaderValue(order.Headers, request.IdempotencyKeyHeader),
		Tenant:        order.Tenant,
		Service:       backend.service,
		Instance:      backend.instance,
		Method:        order.Method,
		Path:          order.Target,
		At:            m.World.Now(),
		Executed:      present != notExecuting,
	}
	if present == healthy || present == slow {
		run.Sum = checksum(body)
	}
	m.History.RecordBackendRequest(run)
}

// respond returns the response of a backend that has worked on a request.
func (m *Mesh) respond(backend *simulatedBackend, present behavior, attempt string, body []byte) (*request.Response, *apierror.Error) {
	response := &request.Response{
		Status:  http.StatusOK,
		Body:    body,
		Headers: []*wire.Header{{Name: checksumHeader, Value: checksum(body)}, {Name: echoHeader, Value: attempt}},
	}
	switch {
	case present == losing || !backend.up:
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "response lost")
	case present == truncating && m.defects.AcceptTruncated:
		response.Body = body[:truncatedLength]
	case present == truncating:
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "response truncated")
	case present == failing:
		response.Status = http.StatusInternalServerError
	case present == notExecuting:
		response.NotRun = true
		response.Status = http.StatusServiceUnavailable
		response.Headers = append(response.Headers, &wire.Header{Name: request.NotExecutedHeader, Value: "1"})
	}
	return response, nil
}

// startLookup has a backend send a request of its own through the proxy beside it: mostly a read, at times the very submission
// that it works on, which must not run again on that path either.
func (m *Mesh) startLookup(order admission.BackendRequest, from *simulatedBackend) {
	m.nextID++
	attempt := &invariants.Attempt{
		ID:     fmt.Sprintf("lookup-%d", m.nextID),
		Kind:   "lookup",
		Proxy:  from.proxy,
		Method: http.MethodGet,
		Path:   fmt.Sprintf("/forms/%d", m.nextID),
		Sent:   m.World.Now(),
	}
	key := request.HeaderValue(order.Headers, request.IdempotencyKeyHeader)
	if m.oneIn(4) && key != "" {
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key = "submission", order.Method, order.Target, key
	}
	m.External.Go(func() {
		m.History.RecordAttempt(attempt)
		m.send(attempt)
	})
}

// checksum returns a checksum of a body, for the observers.
func checksum(content []byte) string { return fmt.Sprint(crc32.ChecksumIEEE(content)) }
