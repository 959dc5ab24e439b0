package scenario

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"snowflow/internal/apierror"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/request"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const (
	// maxAttempts is how often a caller sends a submission that does not succeed.
	maxAttempts = 4
	// callerTimeout is how long callers wait for a response.
	callerTimeout = 8 * monotonic.Second
	// shortDeadline is the deadline of requests at a proxy with shortDeadlines.
	shortDeadline = 3 * monotonic.Millisecond
)

// startTraffic has callers send requests at a rate until serving is turned off.
func (m *Mesh) startTraffic(perSecond int) {
	m.serving = true
	m.sendAtRate(0, perSecond, func() bool { return m.serving })
}

// sendAtRate sends requests with numbers from first on, at a mean rate, while a condition holds. Every other request is a
// submission with an idempotency key, the others are reads.
func (m *Mesh) sendAtRate(first, perSecond int, condition func() bool) {
	m.External.Go(func() {
		for number := first; condition(); number++ {
			m.sleepBetweenRequests(perSecond)
			m.External.Go(func() { m.sendUntilServed(number, number%2 == 0) })
		}
	})
}

// sleepBetweenRequests waits for a random time whose mean gives the rate.
func (m *Mesh) sleepBetweenRequests(perSecond int) {
	m.External.Sleep(monotonic.Micros(m.World.Rand().Uint64N(uint64(2 * int(monotonic.Second) / perSecond))))
}

// sleepBeforeRetry waits for one to two seconds.
func (m *Mesh) sleepBeforeRetry() {
	m.External.Sleep(monotonic.Second + monotonic.Micros(m.World.Rand().Uint64N(uint64(monotonic.Second))))
}

// pathSpellings are ways to write a submission's path, all of which name the same resource.
var pathSpellings = []string{"/households/%d", "/households/%d", "//households/%d", "/households//%d", "/households/./%d", "/%%68ouseholds/%d", "/forms/../households/%d",
	"/households/%d/"}

// sendUntilServed sends a read once, or a submission until it is served or has been sent often enough, through any proxy.
func (m *Mesh) sendUntilServed(number int, keyed bool) {
	for retries := 0; retries < maxAttempts || m.honorRetryAfter && m.serving; retries++ {
		attempt := m.newAttempt(number, retries, keyed)
		m.History.RecordAttempt(attempt)
		retryAfter := m.send(attempt)
		if m.honorRetryAfter && retryAfter > 0 {
			// The header has whole seconds.
			m.External.Sleep((retryAfter + monotonic.Second - 1) / monotonic.Second * monotonic.Second)
			continue
		}
		if !keyed || served(attempt) {
			return
		}
		m.sleepBeforeRetry()
	}
}

// served reports whether an attempt got a response with status 200 from a backend.
func served(attempt *invariants.Attempt) bool {
	return attempt.Status == http.StatusOK && !attempt.RejectedByMesh
}

func (m *Mesh) newAttempt(number, retries int, keyed bool) *invariants.Attempt {
	attempt := &invariants.Attempt{Kind: "form", Method: http.MethodGet, Path: fmt.Sprintf("/forms/%d", number)}
	if keyed {
		attempt.Kind, attempt.Method, attempt.Path, attempt.Key = "submission", http.MethodPost, fmt.Sprintf("/households/%d", number), fmt.Sprintf("key-%d", number)
	}
	if keyed && retries > 0 {
		// A retry may be spelled otherwise: it is the same submission.
		attempt.Method = pick(m, []string{"POST", "POST", "post"})
		attempt.Path = fmt.Sprintf(pick(m, pathSpellings), number)
	}
	attempt.Proxy = pick(m, m.proxyNames)
	if degraded := slices.Sorted(maps.Keys(m.degraded)); len(degraded) > 1 && !m.oneIn(4) {
		attempt.Proxy = pick(m, degraded) // callers in trouble retry most
	}
	attempt.ID = fmt.Sprintf("%s-%d-%d", attempt.Kind, number, retries)
	attempt.Sent = m.World.Now()
	return attempt
}

// callerReply is what a caller sees of a response. It is encoded for the way from the proxy's process to the external host.
type callerReply struct {
	Status     uint32
	Version    uint64
	Echo       string
	Complete   bool
	Sum        string
	Mesh       bool
	Cause      uint32
	NotRun     bool
	RetryAfter monotonic.Micros
}

func newCallerReply(response *request.Response, fault *apierror.Error) callerReply {
	if fault != nil {
		return callerReply{Status: uint32(fault.Status()), Mesh: true, Cause: uint32(fault.Cause), NotRun: fault.NotRun(), RetryAfter: fault.RetryAfter}
	}
	sum := checksum(response.Body)
	return callerReply{
		Status:   response.Status,
		Version:  response.ConfigVersion,
		Echo:     request.HeaderValue(response.Headers, echoHeader),
		Complete: request.HeaderValue(response.Headers, checksumHeader) == sum,
		Sum:      sum,
	}
}

// applyTo completes an attempt with the reply.
func (r callerReply) applyTo(attempt *invariants.Attempt) {
	attempt.Status, attempt.Version, attempt.Echo, attempt.Complete, attempt.Sum = int(r.Status), r.Version, r.Echo, r.Complete, r.Sum
	attempt.RejectedByMesh, attempt.Cause, attempt.NotRun, attempt.RetryAfterSet = r.Mesh, int(r.Cause), r.NotRun, r.RetryAfter > 0
}

// transportLost is the transport error of an attempt whose response did not arrive.
const transportLost = "lost"

// send sends one attempt through its proxy and completes it. It returns the Retry-After of the response, zero if it has none.
func (m *Mesh) send(attempt *invariants.Attempt) (retryAfter monotonic.Micros) {
	read := false
	reply, err := m.transactReply(attempt, func(instance *proxy.Proxy) (*request.Response, *apierror.Error, error) {
		if m.refusingCallers[attempt.Proxy] {
			return nil, nil, apierror.Refused.New("the listener is closed")
		}
		read = true
		incoming := &request.Request{
			ID:             attempt.ID,
			Method:         attempt.Method,
			Target:         attempt.Path,
			IdempotencyKey: attempt.Key,
			ReadAt:         instance.LeaderClock(),
			Headers:        []*wire.Header{{Name: request.IdempotencyKeyHeader, Value: attempt.Key}},
		}
		if attempt.TenantKey != "" {
			incoming.TenantKeys = []string{attempt.TenantKey}
		}
		if m.degraded[attempt.Proxy] == shortDeadlines {
			incoming.Deadline = instance.Now() + shortDeadline
		}
		response, fault := instance.Forwarder.Forward(incoming)
		return response, fault, nil
	})
	attempt.ReadByProxy = read && m.plannedStopsOnly
	if err != nil {
		return 0
	}
	return reply.RetryAfter
}

// transactReply runs a request in the process of the attempt's proxy and completes the attempt with its result. The error is that
// of the transport.
func (m *Mesh) transactReply(attempt *invariants.Attempt, forward func(instance *proxy.Proxy) (*request.Response, *apierror.Error, error)) (reply callerReply, err error) {
	content, err := m.External.CallFunc(m.World.Node(attempt.Proxy).Address, callerTimeout, func(*world.Node) ([]byte, error) {
		response, fault, err := forward(m.proxies[attempt.Proxy])
		if err != nil {
			return nil, err
		}
		return json.Marshal(newCallerReply(response, fault))
	})
	attempt.Ended = m.World.Now()
	if err == nil {
		err = json.Unmarshal(content, &reply)
	}
	if err != nil {
		attempt.TransportError = transportLost
		return callerReply{}, err
	}
	reply.applyTo(attempt)
	return reply, nil
}
