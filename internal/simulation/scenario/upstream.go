package scenario

import (
	"fmt"
	"strings"

	"snowflow/internal/apierror"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// courier is the simulated delivery. It keeps the promises that the real one keeps over HTTP.
type simulatedUpstream struct {
	mesh *Mesh
	host *world.Host
}

// leaves passes the time of a backend's work, and tells whether the caller left in it.
func (u *simulatedUpstream) workUntilCancelled(order admission.BackendRequest, duration monotonic.Micros) bool {
	if order.OnCancel == nil {
		u.host.Sleep(duration)
		return false
	}
	cancelled := u.host.NewSignal()
	defer order.OnCancel(cancelled.Fire)()
	return cancelled.Wait(duration)
}

func (u *simulatedUpstream) RoundTrip(order admission.BackendRequest) (*request.Response, *apierror.Fault) {
	mesh := u.mesh
	chance := mesh.World.Rand()
	pause := func() { u.host.Sleep(monotonic.Micros(100 + chance.Uint64N(1500))) }
	pause()
	var found *simulatedBackend
	for _, one := range mesh.backends {
		if one.up && one.address == order.Backend.Address {
			found = one
		}
	}
	if found == nil {
		return nil, apierror.New(apierror.BackendDialFailed, apierror.NotRun, "refused")
	}
	if (found.instance != order.Backend.Instance || found.service != order.Backend.Service) && !mesh.defects.NoIdentityCheck {
		return nil, apierror.New(apierror.BackendIdentityMismatch, apierror.NotRun, "it's %s", found.instance)
	}
	if fault := order.BeforeSend(); fault != nil {
		return nil, fault
	}
	// From here on the bytes are on their way.
	found.inFlight++
	found.maxInFlight = max(found.maxInFlight, found.inFlight)
	defer func() { found.inFlight-- }()
	pause()
	if u.host.Now() >= order.Deadline {
		return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "late")
	}
	if !found.up {
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "reset")
	}
	position := strings.LastIndexByte(order.ID, '.')
	try := 1
	_, _ = fmt.Sscanf(order.ID[position+1:], "%d", &try)
	behavior := found.behavior
	if behavior == "mixed" {
		behavior = []string{"", "", "failing", "losing", "short", "not_executed"}[chance.IntN(6)]
	}
	body := []byte(order.ID[:position] + " answered by " + found.instance)
	given := map[string]string{"": checksum(body), "slow": checksum(body)}[behavior]
	mesh.History.RecordRun(invariants.Run{Sum: given, Attempt: order.ID[:position], AttemptNumber: try, Key: request.HeaderValue(order.Headers, request.IdempotencyKeyHeader), Service: found.service,
		Instance: found.instance, Method: order.Method, Path: order.Target, At: mesh.World.Now(), Executed: behavior != "not_executed"})
	if found.service == "households" && chance.IntN(4) == 0 {
		mesh.lookup(order, found)
	}
	workDuration := mesh.workDuration
	if behavior == "slow" {
		workDuration += 6 * monotonic.Second
	}
	if workDuration > 0 && u.workUntilCancelled(order, min(workDuration, order.Deadline-u.host.Now())) { // as a connection's own limit would end it
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "its connection was closed")
	}
	pause()
	if u.host.Now() >= order.Deadline {
		return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "late")
	}
	answer := &request.Response{Status: 200, Body: body, Headers: []*wire.Header{{Name: "Sum", Value: checksum(body)}, {Name: "Echo", Value: order.ID[:position]}}}
	switch {
	case behavior == "losing" || !found.up:
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "lost")
	case behavior == "short" && mesh.defects.AcceptTruncated:
		answer.Body = body[:4]
	case behavior == "short":
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "short")
	case behavior == "failing":
		answer.Status = 500
	case behavior == "not_executed":
		answer.NotRun = true
		answer.Status, answer.Headers = 503, append(answer.Headers, &wire.Header{Name: request.NotExecutedHeader, Value: "1"})
	}
	return answer, nil
}

// lookup is a backend's own call through the carrier beside it: mostly a quick read, at times the very submission that it
// is running, which must not run again on that path either.
func (m *Mesh) lookup(order admission.BackendRequest, from *simulatedBackend) {
	m.nextID++
	attempt := &invariants.Attempt{ID: fmt.Sprintf("lookup-%d", m.nextID), Kind: "lookup", Caller: from.proxy, Method: "GET", Path: fmt.Sprintf("/forms/%d", m.nextID), Sent: m.World.Now()}
	if key := request.HeaderValue(order.Headers, request.IdempotencyKeyHeader); m.World.Rand().IntN(4) == 0 && key != "" {
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key = "submission", order.Method, order.Target, key
	}
	m.External.Go(func() {
		m.History.RecordAttempt(attempt)
		m.send(attempt)
	})
}
