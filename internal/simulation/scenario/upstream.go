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
	// slowWork is how much longer a slow backend takes for a request.
	slowWork = 6 * monotonic.Second
	// truncatedLength is the number of bytes of a body that a truncating backend sends.
	truncatedLength = 4
)

// simulatedUpstream simulates a proxy's HTTP connections to backends. It returns the same errors in the same cases.
type simulatedUpstream struct {
	mesh *Mesh
	host *world.Host
}

// RoundTrip sends a request to its backend and returns the response.
func (u *simulatedUpstream) RoundTrip(req admission.BackendRequest) (*request.Response, *apierror.Error) {
	u.delay()
	backend, apiErr := u.dial(req)
	if apiErr != nil {
		return nil, apiErr
	}
	if apiErr := req.BeforeSend(); apiErr != nil {
		return nil, apiErr
	}
	// From here on the backend may execute the request.
	backend.inFlight++
	backend.maxInFlight = max(backend.maxInFlight, backend.inFlight)
	defer func() { backend.inFlight-- }()
	if apiErr := u.delayUntilDeadline(req); apiErr != nil {
		return nil, apiErr
	}
	if !backend.up {
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "connection reset")
	}
	attempt, _ := splitRequestID(req.ID)
	chosen := u.mesh.drawBehavior(backend)
	body := []byte(attempt + " answered by " + backend.instance)
	u.mesh.recordRun(req, backend, chosen, body)
	if backend.service == householdsService && u.mesh.oneIn(4) {
		u.mesh.startLookup(req, backend)
	}
	if apiErr := u.work(req, chosen); apiErr != nil {
		return nil, apiErr
	}
	if apiErr := u.delayUntilDeadline(req); apiErr != nil {
		return nil, apiErr
	}
	return u.mesh.respond(backend, chosen, attempt, body)
}

// delay sleeps for the time that a message to or from the backend takes.
func (u *simulatedUpstream) delay() {
	u.host.Sleep(monotonic.Micros(100 + u.mesh.World.Rand().Uint64N(1500)))
}

func (u *simulatedUpstream) delayUntilDeadline(req admission.BackendRequest) *apierror.Error {
	u.delay()
	if u.host.Now() >= req.Deadline {
		return apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "deadline exceeded")
	}
	return nil
}

// dial returns the backend that listens at the request's address, after checking its identity.
func (u *simulatedUpstream) dial(req admission.BackendRequest) (*simulatedBackend, *apierror.Error) {
	var target *simulatedBackend
	for _, backend := range u.mesh.backends {
		if backend.up && backend.address == req.Backend.Address {
			target = backend
		}
	}
	if target == nil {
		return nil, apierror.New(apierror.BackendDialFailed, apierror.NotRun, "connection refused")
	}
	expected := target.instance == req.Backend.Instance && target.service == req.Backend.Service
	if !expected && !u.mesh.defects.NoIdentityCheck {
		return nil, apierror.New(apierror.BackendIdentityMismatch, apierror.NotRun, "the backend is %s", target.instance)
	}
	return target, nil
}

// work sleeps for the time that the backend takes for the request, or until the request is cancelled.
func (u *simulatedUpstream) work(req admission.BackendRequest, chosen behavior) *apierror.Error {
	duration := u.mesh.workDuration
	if chosen == slow {
		duration += slowWork
	}
	if duration <= 0 {
		return nil
	}
	duration = min(duration, req.Deadline-u.host.Now()) // the connection times out at the deadline
	if req.OnCancel == nil {
		u.host.Sleep(duration)
		return nil
	}
	cancelled := u.host.NewSignal()
	defer req.OnCancel(cancelled.Fire)()
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

// splitRequestID splits the ID of a forwarded request into the ID of the caller's attempt and the number of the proxy's attempt. The
// number is 1 if it can't be parsed.
func splitRequestID(id string) (attempt string, number int) {
	position := strings.LastIndexByte(id, '.')
	number = 1
	_, _ = fmt.Sscanf(id[position+1:], "%d", &number)
	return id[:position], number
}

// recordRun records that a request has reached a backend. Only a healthy or slow backend sends a complete response.
func (m *Mesh) recordRun(req admission.BackendRequest, backend *simulatedBackend, chosen behavior, body []byte) {
	attempt, number := splitRequestID(req.ID)
	run := invariants.BackendRequest{
		AttemptID:     attempt,
		AttemptNumber: number,
		Key:           request.HeaderValue(req.Headers, request.IdempotencyKeyHeader),
		Tenant:        req.Tenant,
		Service:       backend.service,
		Instance:      backend.instance,
		Method:        req.Method,
		Path:          req.Target,
		At:            m.World.Now(),
		Executed:      chosen != notExecuting,
	}
	if chosen == healthy || chosen == slow {
		run.Sum = checksum(body)
	}
	m.History.RecordBackendRequest(run)
}

// respond returns the response of a backend that has processed a request.
func (m *Mesh) respond(backend *simulatedBackend, chosen behavior, attempt string, body []byte) (*request.Response, *apierror.Error) {
	response := &request.Response{
		Status:  http.StatusOK,
		Body:    body,
		Headers: []*wire.Header{{Name: checksumHeader, Value: checksum(body)}, {Name: echoHeader, Value: attempt}},
	}
	switch {
	case chosen == losing || !backend.up:
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "response lost")
	case chosen == truncating && m.defects.AcceptTruncated:
		response.Body = body[:truncatedLength]
	case chosen == truncating:
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "response truncated")
	case chosen == failing:
		response.Status = http.StatusInternalServerError
	case chosen == notExecuting:
		response.NotRun = true
		response.Status = http.StatusServiceUnavailable
		response.Headers = append(response.Headers, &wire.Header{Name: request.NotExecutedHeader, Value: "1"})
	}
	return response, nil
}

// startLookup makes a backend send a request of its own through its local proxy: usually a read, sometimes the same submission that
// it is processing, which must not be executed again by this path either.
func (m *Mesh) startLookup(req admission.BackendRequest, from *simulatedBackend) {
	m.nextID++
	attempt := &invariants.Attempt{
		ID:     fmt.Sprintf("lookup-%d", m.nextID),
		Kind:   "lookup",
		Proxy:  from.proxy,
		Method: http.MethodGet,
		Path:   fmt.Sprintf("/forms/%d", m.nextID),
		Sent:   m.World.Now(),
	}
	key := request.HeaderValue(req.Headers, request.IdempotencyKeyHeader)
	if m.oneIn(4) && key != "" {
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key = "submission", req.Method, req.Target, key
	}
	m.External.Go(func() {
		m.History.RecordAttempt(attempt)
		m.send(attempt)
	})
}

// checksum returns a checksum of a body, by which the checkers recognize it.
func checksum(content []byte) string { return fmt.Sprint(crc32.ChecksumIEEE(content)) }
