// Package standin simulates everything outside the mesh in a rehearsal: backends, callers and operators. They record what they send,
// execute and receive in the history that the invariants are checked against.
package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/atomic"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
)

const (
	backendTimeout            = 4 * time.Second // for the requests that a backend sends
	heartbeatInterval         = 2 * time.Second
	registrationRetryInterval = 200 * time.Millisecond // between attempts to register
	slowDelay                 = 5 * time.Second
	identityPath              = "/.snowflow/identity"
	conditionWorking          = "working"
	conditionLeaving          = "leaving"
	lookupKindPrefix          = "lookup"
	minResponsePadding        = 20 // a response body is at least this many bytes longer than the attempt's ID
)

// Backend is one instance of a simulated service.
type Backend struct {
	Service      layout.Service
	Instance     string
	Address      string
	Behavior     atomic.String // one of the behavior constants; may be changed at any time
	RequestCount atomic.Int64  // requests read so far

	proxy      *fleet.Process // the proxy that it registers with and sends lookups to
	sender     sender
	server     *http.Server
	closing    chan struct{} // closed by Close
	closeOnce  sync.Once
	workMicros atomic.Int64
	draining   atomic.Bool
	// workers is a semaphore that bounds the number of requests processed at once; others wait for a free slot. Nil for no bound.
	workers chan struct{}
}

// NewBackend starts a backend instance that listens on an address and registers with a proxy.
func NewBackend(service layout.Service, address string, proxy *fleet.Process, clock monotonic.Clock, history *invariants.History) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Timeout: backendTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	b := &Backend{Service: service, Address: address, Instance: fmt.Sprintf("%s-%08x", service.Name, rand.Uint32()),
		proxy: proxy, sender: sender{client: client, history: history, clock: clock}, closing: make(chan struct{})}
	b.workMicros.Store(int64(service.WorkMicros))
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(listener) }() // returns after Close
	go b.sendHeartbeats()
	return b, nil
}

// LimitWorkers bounds the number of requests processed at once, and sets the mean processing time of a request. It must be called
// before traffic starts.
func (b *Backend) LimitWorkers(limit, microseconds int) {
	b.SetWorkTime(microseconds)
	b.workers = make(chan struct{}, limit)
}

// SetWorkTime sets the mean processing time of a request.
func (b *Backend) SetWorkTime(microseconds int) { b.workMicros.Store(int64(microseconds)) }

// sendHeartbeats registers the instance and sends heartbeats until Close. It registers again when the proxy no longer knows the
// instance.
func (b *Backend) sendHeartbeats() {
	registered := false
	for {
		if !registered {
			registered = b.register()
		} else if b.sendHeartbeat() == http.StatusNotFound {
			registered = false
			continue
		}
		pause := heartbeatInterval
		if !registered {
			pause = registrationRetryInterval
		}
		select {
		case <-b.closing:
			return
		case <-time.After(pause):
		}
	}
}

func (b *Backend) register() bool {
	return b.post("/backends", map[string]string{"service": b.Service.Name, "instance": b.Instance, "address": b.Address, "condition": b.condition()}) == http.StatusCreated
}

func (b *Backend) sendHeartbeat() int {
	return b.post("/backends/"+b.Instance+"/beat", map[string]string{"condition": b.condition()})
}

func (b *Backend) condition() string {
	if b.draining.Load() {
		return conditionLeaving
	}
	return conditionWorking
}

// post sends JSON to the proxy's admin address and returns the response's status; zero without a response.
func (b *Backend) post(path string, content map[string]string) int {
	body, err := json.Marshal(content)
	if err != nil {
		return 0
	}
	response, err := b.sender.client.Post("http://"+b.proxy.AdminAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer closeBody(response)
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Drain tells the proxy that this instance is leaving, and reports whether the proxy acknowledged that. The instance still responds
// to requests that arrive afterwards.
func (b *Backend) Drain() bool {
	b.draining.Store(true)
	acknowledged := b.post("/backends/"+b.Instance+"/leave", map[string]string{}) == http.StatusOK
	if acknowledged {
		b.sender.history.RecordDeparture(b.Instance, b.sender.clock.Now())
	}
	return acknowledged
}

// Close closes the listener and all connections, as a killed process would.
func (b *Backend) Close() {
	b.closeOnce.Do(func() {
		close(b.closing)
		_ = b.server.Close()
	})
}

// ServeHTTP processes a request according to the backend's behavior and records it.
func (b *Backend) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	if incoming.URL.Path == identityPath {
		b.writeIdentity(writer)
		return
	}
	requestBody, err := io.ReadAll(incoming.Body)
	if err != nil {
		return
	}
	behavior := b.chooseBehavior()
	sendFaulty := faultyResponses[behavior]
	attempt, number := splitRequestID(incoming.Header.Get(request.RequestIDHeader))
	body := b.responseBody(attempt, len(requestBody))
	received := invariants.BackendRequest{AttemptID: attempt, AttemptNumber: number, Key: incoming.Header.Get(request.IdempotencyKeyHeader), Service: b.Service.Name, Instance: b.Instance,
		Method: incoming.Method, Path: incoming.URL.Path, At: b.sender.clock.Now(), Executed: behavior != NotExecuted,
		Tenant: incoming.Header.Get(request.TenantHeader), TenantKey: incoming.Header.Get(request.TenantKeyHeader)}
	if sendFaulty == nil {
		received.Sum = Checksum(body)
	}
	b.sender.history.RecordBackendRequest(received)
	requestNumber := b.RequestCount.Inc()
	if sendFaulty != nil {
		sendFaulty(writer, attempt)
		return
	}
	if behavior == Slow {
		time.Sleep(slowDelay)
	}
	if b.triggersLookup(requestNumber, incoming.URL.Path) {
		b.sendLookup(attempt, requestNumber)
	}
	b.work()
	b.setHeaders(writer.Header(), attempt, body)
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(body)
}

// writeIdentity responds to the proxy's check of which instance listens on this address.
func (b *Backend) writeIdentity(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]string{"service": b.Service.Name, "instance": b.Instance})
}

// work waits for a free worker, then sleeps for between half and one and a half times the mean processing time.
func (b *Backend) work() {
	micros := int(b.workMicros.Load())
	if b.workers != nil {
		b.workers <- struct{}{}
		defer func() { <-b.workers }()
	}
	time.Sleep(time.Duration(micros/2+rand.IntN(micros+1)) * time.Microsecond)
}

// triggersLookup reports whether the backend sends a lookup for a request: for each LookupEvery-th, unless the request is itself a
// lookup.
func (b *Backend) triggersLookup(requestNumber int64, path string) bool {
	return b.Service.LookupPath != "" && requestNumber%int64(b.Service.LookupEvery) == 0 && !strings.HasPrefix(path, b.Service.LookupPath)
}

// sendLookup sends a read request to another service through the instance's proxy.
func (b *Backend) sendLookup(attempt string, requestNumber int64) {
	lookup := &invariants.Attempt{ID: fmt.Sprintf("%s-look-%d-%d", attempt, requestNumber, rand.Uint32()), Kind: lookupKindPrefix + b.Service.LookupPath, Proxy: b.proxy.Name,
		Method: http.MethodGet, Path: fmt.Sprintf("%s/%d", b.Service.LookupPath, requestNumber), Anonymous: true, Sent: b.sender.clock.Now()}
	b.sender.send(b.proxy, lookup, nil)
}

// responseBody returns a body of the service's response size, which differs between attempts.
func (b *Backend) responseBody(attempt string, requestBytes int) []byte {
	const filler = "snow"
	body := bytes.Repeat([]byte(filler), b.Service.ResponseBytes/len(filler)+1)
	copy(body, fmt.Sprintf("{%q %d} ", attempt, requestBytes))
	return body[:max(b.Service.ResponseBytes, len(attempt)+minResponsePadding)]
}

func (b *Backend) setHeaders(headers http.Header, attempt string, body []byte) {
	headers.Set(EchoHeader, attempt)
	headers.Set(ChecksumHeader, Checksum(body))
	headers.Set(InstanceHeader, b.Instance)
	headers.Set("Content-Type", "application/octet-stream")
}

// splitRequestID splits a request ID into the caller's attempt ID and the number of the proxy's attempt, which the proxy appends
// after a dot. If there is none, the number is 1.
func splitRequestID(id string) (attempt string, number int) {
	position := strings.LastIndexByte(id, '.')
	if position < 0 {
		return id, 1
	}
	number, err := strconv.Atoi(id[position+1:])
	if err != nil {
		return id, 1
	}
	return id[:position], number
}
