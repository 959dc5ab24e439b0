package scenario

import (
	"encoding/json"

	"snowflow/internal/apierror"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// ---- callers ----
// serve keeps callers sending at a rate until serving is turned off.
func (mesh *Mesh) serve(perSecond int) {
	mesh.serving = true
	mesh.sending(0, perSecond, func() bool { return mesh.serving })
}

// sending sends requests at a rate, numbered from one on, while a condition holds.
func (mesh *Mesh) sending(first, perSecond int, on func() bool) {
	chance := mesh.World.Chance()
	mesh.Outside.Go(func() {
		for number := first; on(); number++ {
			mesh.Outside.Sleep(monotonic.Micros(chance.Uint64N(uint64(2 * int(monotonic.Second) / perSecond))))
			mesh.Outside.Go(func() { mesh.call(number, number%2 == 0) })
		}
	})
}

var spellings = []string{"/households/%d", "/households/%d", "//households/%d", "/households//%d", "/households/./%d", "/%%68ouseholds/%d", "/forms/../households/%d",
	"/households/%d/"}

type told struct {
	Status  uint32
	Serial  uint64
	Echo    string
	Whole   bool
	Sum     string
	Mesh    bool
	Cause   uint32
	NotRun  bool
	Retry   monotonic.Micros
	Planned bool
}

// send makes one attempt, and tells after how long the mesh asked its caller to come back.
func (mesh *Mesh) send(attempt *invariants.Attempt) (retry monotonic.Micros) {
	node := mesh.World.Node(attempt.Caller)
	life, read := mesh.lives[attempt.Caller], false
	content, err := mesh.Outside.Transact(node.Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
		if mesh.shut[attempt.Caller] {
			return nil, apierror.Refused.New("the door is closed")
		}
		life, read = mesh.lives[attempt.Caller], true
		req := &request.Request{ID: attempt.ID, Method: attempt.Method, Target: attempt.Path, IdempotencyKey: attempt.Key,
			ReadAt: life.LeaderClock(), Headers: []*wire.Header{{Name: request.IdempotencyKeyHeader, Value: attempt.Key}}}
		if mesh.troubled[attempt.Caller] == "late" {
			req.Deadline = life.Now() + 3*monotonic.Millisecond
		}
		answer, fault := life.Forwarder.Forward(req)
		if fault != nil {
			return json.Marshal(told{Status: uint32(fault.Status()), Mesh: true, Cause: uint32(fault.Cause), NotRun: fault.NotRun(), Retry: fault.RetryAfter})
		}
		return json.Marshal(told{Status: answer.Status, Serial: answer.ConfigVersion, Echo: request.HeaderValue(answer.Headers, "Echo"), Whole: request.HeaderValue(answer.Headers, "Sum") == sum(answer.Body), Sum: sum(answer.Body)})
	})
	attempt.Ended = mesh.World.Now()
	attempt.Read = read && mesh.onlyPlanned
	if err != nil {
		attempt.Transport = "lost"
		return 0
	}
	var reply told
	_ = json.Unmarshal(content, &reply)
	attempt.Status, attempt.Serial, attempt.Echo, attempt.Whole, attempt.Sum = int(reply.Status), reply.Serial, reply.Echo, reply.Whole, reply.Sum
	attempt.Mesh, attempt.Cause, attempt.NotRun, attempt.RetryTold = reply.Mesh, int(reply.Cause), reply.NotRun, reply.Retry > 0
	return reply.Retry
}
