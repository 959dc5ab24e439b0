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
func (m *Mesh) startTraffic(perSecond int) {
	m.serving = true
	m.sendAtRate(0, perSecond, func() bool { return m.serving })
}

// sending sends requests at a rate, numbered from one on, while a condition holds.
func (m *Mesh) sendAtRate(first, perSecond int, on func() bool) {
	chance := m.World.Rand()
	m.External.Go(func() {
		for number := first; on(); number++ {
			m.External.Sleep(monotonic.Micros(chance.Uint64N(uint64(2 * int(monotonic.Second) / perSecond))))
			m.External.Go(func() { m.sendUntilServed(number, number%2 == 0) })
		}
	})
}

var pathSpellings = []string{"/households/%d", "/households/%d", "//households/%d", "/households//%d", "/households/./%d", "/%%68ouseholds/%d", "/forms/../households/%d",
	"/households/%d/"}

type callerReply struct {
	Status      uint32
	Version     uint64
	Echo        string
	Complete    bool
	Sum         string
	Mesh        bool
	Cause       uint32
	NotRun      bool
	Retry       monotonic.Micros
	PlannedStop bool
}

// send makes one attempt, and tells after how long the mesh asked its caller to come back.
func (m *Mesh) send(attempt *invariants.Attempt) (retry monotonic.Micros) {
	node := m.World.Node(attempt.Caller)
	proxyProcess, read := m.proxies[attempt.Caller], false
	content, err := m.External.Transact(node.Address, 8*monotonic.Second, func(*world.Node) ([]byte, error) {
		if m.refusingCallers[attempt.Caller] {
			return nil, apierror.Refused.New("the door is closed")
		}
		proxyProcess, read = m.proxies[attempt.Caller], true
		req := &request.Request{ID: attempt.ID, Method: attempt.Method, Target: attempt.Path, IdempotencyKey: attempt.Key,
			ReadAt: proxyProcess.LeaderClock(), Headers: []*wire.Header{{Name: request.IdempotencyKeyHeader, Value: attempt.Key}}}
		if m.troubled[attempt.Caller] == "late" {
			req.Deadline = proxyProcess.Now() + 3*monotonic.Millisecond
		}
		answer, fault := proxyProcess.Forwarder.Forward(req)
		if fault != nil {
			return json.Marshal(callerReply{Status: uint32(fault.Status()), Mesh: true, Cause: uint32(fault.Cause), NotRun: fault.NotRun(), Retry: fault.RetryAfter})
		}
		return json.Marshal(callerReply{Status: answer.Status, Version: answer.ConfigVersion, Echo: request.HeaderValue(answer.Headers, "Echo"), Complete: request.HeaderValue(answer.Headers, "Sum") == checksum(answer.Body), Sum: checksum(answer.Body)})
	})
	attempt.Ended = m.World.Now()
	attempt.Read = read && m.plannedStopsOnly
	if err != nil {
		attempt.Transport = "lost"
		return 0
	}
	var reply callerReply
	_ = json.Unmarshal(content, &reply)
	attempt.Status, attempt.Version, attempt.Echo, attempt.Complete, attempt.Sum = int(reply.Status), reply.Version, reply.Echo, reply.Complete, reply.Sum
	attempt.Mesh, attempt.Cause, attempt.NotRun, attempt.RetryAfterSet = reply.Mesh, int(reply.Cause), reply.NotRun, reply.Retry > 0
	return reply.Retry
}
