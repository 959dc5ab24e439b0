// Package standin plays the mesh's outside in a rehearsal: backends, callers and operators, all of them keeping records.
package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
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

// Manners in which a backend misbehaves.
const (
	Normal         = ""
	Failing        = "failing"     // answers 500
	NoResponse     = "losing"      // runs, then closes without an answer
	ShortBody      = "short"       // announces more than it sends
	LongBody       = "long"        // sends more than it announces
	NotHTTP        = "garbled"     // sends no HTTP
	CloseDelimited = "close_ended" // sends a body that only the connection's end delimits
	NotExecuted    = "not_executed"
	Slow           = "slow" // takes five seconds
	Mixed          = "mixed"
)

// Backend is one stand-in instance.
type Backend struct {
	Service    layout.Service
	Instance   string
	Address    string
	proxy      *fleet.Process
	clock      monotonic.Clock
	history    *invariants.History
	Behavior   atomic.String
	server     *http.Server
	listener   net.Listener
	closing    chan struct{}
	closeOnce  sync.Once
	Served     atomic.Int64
	workMicros atomic.Int64
	draining   atomic.Bool
	client     *http.Client
	// places bounds how many requests are worked on at once; others wait, as in a backend's own queue.
	workers chan struct{}
}

// LimitWorkers gives the backend this many workers that take this long for a request.
func (b *Backend) LimitWorkers(limit, microseconds int) {
	b.workMicros.Store(int64(microseconds))
	b.workers = make(chan struct{}, limit)
}

// WorkMicros gives the backend's work another length.
func (b *Backend) SetWork(microseconds int) { b.workMicros.Store(int64(microseconds)) }

// NewBackend starts an instance at an address beside a carrier.
func NewBackend(service layout.Service, address string, proxy *fleet.Process, clock monotonic.Clock, history *invariants.History) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	backend := &Backend{Service: service, Address: address, proxy: proxy, clock: clock, history: history, listener: listener,
		Instance: fmt.Sprintf("%s-%08x", service.Name, rand.Uint32()), closing: make(chan struct{}),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	backend.workMicros.Store(int64(service.WorkMicros))
	backend.server = &http.Server{Handler: backend, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = backend.server.Serve(listener) }()
	go backend.sendHeartbeats()
	return backend, nil
}

// beat registers and tells signs of life until the end.
func (b *Backend) sendHeartbeats() {
	registered := false
	for {
		if !registered {
			registered = b.post("/backends", map[string]string{"service": b.Service.Name, "instance": b.Instance, "address": b.Address, "condition": b.condition()}) == http.StatusCreated
		} else if code := b.post("/backends/"+b.Instance+"/beat", map[string]string{"condition": b.condition()}); code == http.StatusNotFound {
			registered = false
			continue
		}
		pause := 2 * time.Second
		if !registered {
			pause = 200 * time.Millisecond
		}
		select {
		case <-b.closing:
			return
		case <-time.After(pause):
		}
	}
}

func (b *Backend) condition() string {
	if b.draining.Load() {
		return "leaving"
	}
	return "working"
}

func (b *Backend) post(path string, content any) int {
	body, _ := json.Marshal(content)
	response, err := b.client.Post("http://"+b.proxy.AdminAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// RecordDeparture says that this instance is leaving. It goes on answering what still comes.
func (b *Backend) Drain() bool {
	b.draining.Store(true)
	acknowledged := b.post("/backends/"+b.Instance+"/leave", map[string]string{}) == http.StatusOK
	if acknowledged {
		b.history.RecordDeparture(b.Instance, b.clock.Now())
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

// Checksum is what stand-ins seal bodies with.
func Checksum(content []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(content)), 16)
}

// Headers that stand-ins use among themselves.
const (
	EchoHeader     = "X-Standin-Attempt"
	ChecksumHeader = "X-Standin-Sum"
	InstanceHeader = "X-Standin-Instance"
)

var mixedBehaviors = []string{Normal, Normal, Normal, Failing, NoResponse, ShortBody, LongBody, NotHTTP, CloseDelimited, NotExecuted}

func (b *Backend) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	if incoming.URL.Path == "/.snowflow/identity" {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(map[string]string{"service": b.Service.Name, "instance": b.Instance})
		return
	}
	body, err := io.ReadAll(incoming.Body)
	if err != nil {
		return
	}
	behavior := b.Behavior.Load()
	if behavior == Mixed {
		behavior = mixedBehaviors[rand.IntN(len(mixedBehaviors))]
	}
	attempt, number := splitRequestID(incoming.Header.Get(request.RequestIDHeader))
	response := b.responseBody(attempt, body)
	run := invariants.Run{Attempt: attempt, AttemptNumber: number, Key: incoming.Header.Get(request.IdempotencyKeyHeader), Service: b.Service.Name, Instance: b.Instance,
		Method: incoming.Method, Path: incoming.URL.Path, At: b.clock.Now(), Executed: behavior != NotExecuted}
	if misbehaviors[behavior] == nil {
		run.Sum = Checksum(response)
	}
	b.history.RecordRun(run)
	served := b.Served.Inc()
	if misbehave := misbehaviors[behavior]; misbehave != nil {
		misbehave(b, writer, attempt)
		return
	}
	if behavior == Slow {
		time.Sleep(5 * time.Second)
	}
	if b.Service.LookupPath != "" && served%int64(b.Service.LookupEvery) == 0 && !strings.HasPrefix(incoming.URL.Path, b.Service.LookupPath) {
		b.callLookup(attempt, served)
	}
	work := int(b.workMicros.Load())
	if b.workers != nil {
		b.workers <- struct{}{}
		defer func() { <-b.workers }()
	}
	time.Sleep(time.Duration(work/2+rand.IntN(work+1)) * time.Microsecond)
	b.setHeaders(writer.Header(), attempt, response)
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(response)
}

// lookup is the quick internal call that backends make of one another, through the carrier beside them.
func (b *Backend) callLookup(attempt string, number int64) {
	id := fmt.Sprintf("%s-look-%d-%d", attempt, number, rand.Uint32())
	path := fmt.Sprintf("%s/%d", b.Service.LookupPath, number)
	tracked := &invariants.Attempt{ID: id, Kind: "lookup" + b.Service.LookupPath, Caller: b.proxy.Name, Method: "GET", Path: path, Sent: b.clock.Now()}
	sendAttempt(b.client, b.history, b.clock, b.proxy, tracked, nil)
}

func (b *Backend) responseBody(attempt string, requestBody []byte) []byte {
	body := bytes.Repeat([]byte("snow"), b.Service.ResponseBytes/4+1)
	copy(body, fmt.Sprintf("{%q %d} ", attempt, len(requestBody)))
	return body[:max(b.Service.ResponseBytes, len(attempt)+20)]
}

func (b *Backend) setHeaders(headers http.Header, attempt string, body []byte) {
	headers.Set(EchoHeader, attempt)
	headers.Set(ChecksumHeader, Checksum(body))
	headers.Set(InstanceHeader, b.Instance)
	headers.Set("Content-Type", "application/octet-stream")
}

// manners are the ways of misbehaving that don't end in a plain answer.
var misbehaviors = map[string]func(backend *Backend, writer http.ResponseWriter, attempt string){
	Failing: func(_ *Backend, writer http.ResponseWriter, _ string) {
		http.Error(writer, "failing", http.StatusInternalServerError)
	},
	NotExecuted: func(_ *Backend, writer http.ResponseWriter, _ string) {
		writer.Header().Set(request.NotExecutedHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	},
	NoResponse: func(_ *Backend, writer http.ResponseWriter, _ string) { writeRaw(writer, "") },
	ShortBody: func(_ *Backend, writer http.ResponseWriter, attempt string) {
		writeRaw(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n"+EchoHeader+": "+attempt+"\r\n\r\nonly this")
	},
	LongBody: func(_ *Backend, writer http.ResponseWriter, attempt string) {
		writeRaw(writer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+EchoHeader+": "+attempt+"\r\n\r\nonlyHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	},
	NotHTTP: func(_ *Backend, writer http.ResponseWriter, _ string) {
		writeRaw(writer, "\x00\x01 this is no answer\r\n\r\n")
	},
	CloseDelimited: func(_ *Backend, writer http.ResponseWriter, attempt string) {
		writeRaw(writer, "HTTP/1.1 200 OK\r\n"+EchoHeader+": "+attempt+"\r\n\r\nthe end may be missing")
	},
}

// raw writes bytes past the HTTP server and closes.
func writeRaw(writer http.ResponseWriter, content string) {
	connection, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer connection.Close()
	writeAll(buffered.Writer, content)
}

func writeAll(writer *bufio.Writer, content string) {
	_, _ = writer.WriteString(content)
	_ = writer.Flush()
}

// split takes the try's number off a request id.
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
