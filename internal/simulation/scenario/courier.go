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
type courier struct {
	mesh  *Mesh
	place *world.Place
}

// leaves passes the time of a backend's work, and tells whether the caller left in it.
func (courier *courier) leaves(order admission.BackendRequest, span monotonic.Micros) bool {
	if order.OnCancel == nil {
		courier.place.Sleep(span)
		return false
	}
	left := courier.place.NewSignal()
	defer order.OnCancel(left.Fire)()
	return left.Wait(span)
}

func (courier *courier) RoundTrip(order admission.BackendRequest) (*request.Response, *apierror.Fault) {
	mesh := courier.mesh
	chance := mesh.World.Chance()
	pause := func() { courier.place.Sleep(monotonic.Micros(100 + chance.Uint64N(1500))) }
	pause()
	var found *backend
	for _, one := range mesh.backends {
		if one.up && one.address == order.Backend.Address {
			found = one
		}
	}
	if found == nil {
		return nil, apierror.New(apierror.BackendDialFailed, apierror.NotRun, "refused")
	}
	if (found.instance != order.Backend.Instance || found.service != order.Backend.Service) && !mesh.breakage.NoIdentity {
		return nil, apierror.New(apierror.BackendIdentityMismatch, apierror.NotRun, "it's %s", found.instance)
	}
	if fault := order.BeforeSend(); fault != nil {
		return nil, fault
	}
	// From here on the bytes are on their way.
	found.running++
	found.most = max(found.most, found.running)
	defer func() { found.running-- }()
	pause()
	if courier.place.Now() >= order.Deadline {
		return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "late")
	}
	if !found.up {
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "reset")
	}
	position := strings.LastIndexByte(order.ID, '.')
	try := 1
	_, _ = fmt.Sscanf(order.ID[position+1:], "%d", &try)
	manner := found.manner
	if manner == "mixed" {
		manner = []string{"", "", "failing", "losing", "short", "not_executed"}[chance.IntN(6)]
	}
	body := []byte(order.ID[:position] + " answered by " + found.instance)
	given := map[string]string{"": sum(body), "slow": sum(body)}[manner]
	mesh.History.Ran(invariants.Run{Sum: given, Attempt: order.ID[:position], Try: try, Key: request.HeaderValue(order.Headers, request.IdempotencyKeyHeader), Service: found.service,
		Instance: found.instance, Method: order.Method, Path: order.Target, At: mesh.World.Now(), Executed: manner != "not_executed"})
	if found.service == "households" && chance.IntN(4) == 0 {
		mesh.lookup(order, found)
	}
	labour := mesh.labour
	if manner == "slow" {
		labour += 6 * monotonic.Second
	}
	if labour > 0 && courier.leaves(order, min(labour, order.Deadline-courier.place.Now())) { // as a connection's own limit would end it
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "its connection was closed")
	}
	pause()
	if courier.place.Now() >= order.Deadline {
		return nil, apierror.New(apierror.ResponseTimeout, apierror.MayHaveRun, "late")
	}
	answer := &request.Response{Status: 200, Body: body, Headers: []*wire.Header{{Name: "Sum", Value: sum(body)}, {Name: "Echo", Value: order.ID[:position]}}}
	switch {
	case manner == "losing" || !found.up:
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "lost")
	case manner == "short" && mesh.breakage.TrustShort:
		answer.Body = body[:4]
	case manner == "short":
		return nil, apierror.New(apierror.ResponseBroken, apierror.MayHaveRun, "short")
	case manner == "failing":
		answer.Status = 500
	case manner == "not_executed":
		answer.NotRun = true
		answer.Status, answer.Headers = 503, append(answer.Headers, &wire.Header{Name: request.NotExecutedHeader, Value: "1"})
	}
	return answer, nil
}

// lookup is a backend's own call through the carrier beside it: mostly a quick read, at times the very submission that it
// is running, which must not run again on that path either.
func (mesh *Mesh) lookup(order admission.BackendRequest, from *backend) {
	mesh.number++
	attempt := &invariants.Attempt{ID: fmt.Sprintf("lookup-%d", mesh.number), Kind: "lookup", Caller: from.carrier, Method: "GET", Path: fmt.Sprintf("/forms/%d", mesh.number), Sent: mesh.World.Now()}
	if key := request.HeaderValue(order.Headers, request.IdempotencyKeyHeader); mesh.World.Chance().IntN(4) == 0 && key != "" {
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key = "submission", order.Method, order.Target, key
	}
	mesh.Outside.Go(func() {
		mesh.History.Send(attempt)
		mesh.send(attempt)
	})
}
