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
	// maxAttempts is how many times a caller sends a submission that does not succeed.
	maxAttempts = 4
	// callerTimeout is how long callers wait for a response.
	callerTimeout = 8 * monotonic.Second
	// shortDeadline is the time until the deadline of requests at a proxy whose network problem is shortDeadlines.
	shortDeadline = 3 * monotonic.Millisecond
)

// startTraffic starts callers that send requests at a mean rate until serving is set to false.
func (m *Mesh) startTraffic(perSecond int) {
	m.serving = true
	m.sendAtRate(0, perSecond, func() bool { return m.serving })
}

// sendAtRate sends requests at a mean rate while a condition holds. It numbers them from first on. Those with even numbers are
// submissions with an idempotency key, the others are reads.
func (m *Mesh) sendAtRate(first, perSecond int, condition func() bool) {
	m.External.Go(func() {
		for number := first; condition(); number++ {
			m.sleepBetweenRequests(perSecond)
			m.External.Go(func() { m.sendUntilServed(number, number%2 == 0) })
		}
	})
}

// sleepBetweenRequests waits for a random time whose mean results in the rate.
func (m *Mesh) sleepBetweenRequests(perSecond int) {
	m.External.Sleep(monotonic.Micros(m.World.Rand().Uint64N(uint64(2 * int(monotonic.Second) / perSecond))))
}

// sleepBeforeRetry waits for one to two seconds.
func (m *Mesh) sleepBeforeRetry() {
	m.External.Sleep(monotonic.Second + monotonic.Micros(m.World.Rand().Uint64N(uint64(monotonic.Second))))
}

// pathSpellings are equivalent forms of a submission's path: all of them name the same resource.
var pathSpellings = []string{"/households/%d", "/households/%d", "//households/%d", "/households//%d", "/households/./%d", "/%%68ouseholds/%d", "/forms/../households/%d",
	"/households/%d/"}

// sendUntilServed sends a read once, or a submission up to maxAttempts times until it is served. Each attempt goes through a
// random proxy. With honorRetryAfter there are more attempts, and the response's Retry-After determines when the next one is made.
func (m *Mesh) sendUntilServed(number int, keyed bool) {
	for retries := 0; retries < maxAttempts || m.honorRetryAfter && m.serving; retries++ {
		attempt := m.newAttempt(number, retries, keyed)
		m.History.RecordAttempt(attempt)
		retryAfter := m.send(attempt)
		if m.honorRetryAfter && retryAfter > 0 {
			// The Retry-After header has whole seconds.
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
		// A retry may write the method and the path differently. It is still the same submission.
		attempt.Method = pick(m, []string{"POST", "POST", "post"})
		attempt.Path = fmt.Sprintf(pick(m, pathSpellings), number)
	}
	attempt.Proxy = pick(m, m.proxyNames)
	if degraded := slices.Sorted(maps.Keys(m.degraded)); len(degraded) > 1 && !m.oneIn(4) {
		attempt.Proxy = pick(m, degraded) // callers with a degraded network retry most
	}
	attempt.ID = fmt.Sprintf("%s-%d-%d", attempt.Kind, number, retries)
	attempt.Sent = m.World.Now()
	return attempt
}

// callerReply is what a caller sees of a response. It is passed as JSON from the proxy's process to the external host.
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

func newCallerReply(response *request.Response, apiErr *apierror.Error) callerReply {
	if apiErr != nil {
		return callerReply{Status: uint32(apiErr.Status()), Mesh: true, Cause: uint32(apiErr.Cause), NotRun: apiErr.NotRun(), RetryAfter: apiErr.RetryAfter}
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

// applyTo records the reply in an attempt.
func (r callerReply) applyTo(attempt *invariants.Attempt) {
	attempt.Status, attempt.Version, attempt.Echo, attempt.Complete, attempt.Sum = int(r.Status), r.Version, r.Echo, r.Complete, r.Sum
	attempt.RejectedByMesh, attempt.Cause, attempt.NotRun, attempt.RetryAfterSet = r.Mesh, int(r.Cause), r.NotRun, r.RetryAfter > 0
}

// transportLost is the transport error that is recorded for an attempt whose response did not arrive.
const transportLost = "lost"

// send sends an attempt through its proxy and records the outcome in it. It returns the response's Retry-After, or zero if there
// is none.
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
		response, apiErr := instance.Forwarder.Forward(incoming)
		return response, apiErr, nil
	})
	attempt.ReadByProxy = read && m.plannedStopsOnly
	if err != nil {
		return 0
	}
	return reply.RetryAfter
}

// transactReply calls forward in the process of the attempt's proxy and records the outcome in the attempt. It returns an error
// if no reply arrived.
func (m *Mesh) transactReply(attempt *invariants.Attempt, forward func(instance *proxy.Proxy) (*request.Response, *apierror.Error, error)) (reply callerReply, err error) {
	content, err := m.External.CallFunc(m.World.Node(attempt.Proxy).Address, callerTimeout, func(*world.Node) ([]byte, error) {
		response, apiErr, err := forward(m.proxies[attempt.Proxy])
		if err != nil {
			return nil, err
		}
		return json.Marshal(newCallerReply(response, apiErr))
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
