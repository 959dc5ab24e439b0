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
	Normal      = ""
	Failing     = "failing"     // answers 500
	Losing      = "losing"      // runs, then closes without an answer
	Short       = "short"       // announces more than it sends
	Long        = "long"        // sends more than it announces
	Garbled     = "garbled"     // sends no HTTP
	CloseEnded  = "close_ended" // sends a body that only the connection's end delimits
	NotExecuted = "not_executed"
	Slow        = "slow" // takes five seconds
	Mixed       = "mixed"
)

// Backend is one stand-in instance.
type Backend struct {
	Service  layout.Service
	Instance string
	Address  string
	beside   *fleet.Process
	clock    monotonic.Clock
	history  *invariants.History
	Manner   atomic.String
	server   *http.Server
	listener net.Listener
	stop     chan struct{}
	stopped  sync.Once
	Served   atomic.Int64
	work     atomic.Int64
	leaving  atomic.Bool
	client   *http.Client
	// places bounds how many requests are worked on at once; others wait, as in a backend's own queue.
	places chan struct{}
}

// Bound gives the backend this many workers that take this long for a request.
func (backend *Backend) Bound(workers, microseconds int) {
	backend.work.Store(int64(microseconds))
	backend.places = make(chan struct{}, workers)
}

// Work gives the backend's work another length.
func (backend *Backend) Work(microseconds int) { backend.work.Store(int64(microseconds)) }

// NewBackend starts an instance at an address beside a carrier.
func NewBackend(service layout.Service, address string, beside *fleet.Process, clock monotonic.Clock, history *invariants.History) (*Backend, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	backend := &Backend{Service: service, Address: address, beside: beside, clock: clock, history: history, listener: listener,
		Instance: fmt.Sprintf("%s-%08x", service.Name, rand.Uint32()), stop: make(chan struct{}),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	backend.work.Store(int64(service.Work))
	backend.server = &http.Server{Handler: backend, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = backend.server.Serve(listener) }()
	go backend.beat()
	return backend, nil
}

// beat registers and tells signs of life until the end.
func (backend *Backend) beat() {
	registered := false
	for {
		if !registered {
			registered = backend.tell("/backends", map[string]string{"service": backend.Service.Name, "instance": backend.Instance, "address": backend.Address, "condition": backend.condition()}) == http.StatusCreated
		} else if code := backend.tell("/backends/"+backend.Instance+"/beat", map[string]string{"condition": backend.condition()}); code == http.StatusNotFound {
			registered = false
			continue
		}
		pause := 2 * time.Second
		if !registered {
			pause = 200 * time.Millisecond
		}
		select {
		case <-backend.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (backend *Backend) condition() string {
	if backend.leaving.Load() {
		return "leaving"
	}
	return "working"
}

func (backend *Backend) tell(path string, content any) int {
	body, _ := json.Marshal(content)
	response, err := backend.client.Post("http://"+backend.beside.Desk+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// RecordDeparture says that this instance is leaving. It goes on answering what still comes.
func (backend *Backend) Leave() bool {
	backend.leaving.Store(true)
	noted := backend.tell("/backends/"+backend.Instance+"/leave", map[string]string{}) == http.StatusOK
	if noted {
		backend.history.RecordDeparture(backend.Instance, backend.clock.Now())
	}
	return noted
}

// End closes the listener and all connections, as a killed process would.
func (backend *Backend) End() {
	backend.stopped.Do(func() {
		close(backend.stop)
		_ = backend.server.Close()
	})
}

// Sum is what stand-ins seal bodies with.
func Sum(content []byte) string { return strconv.FormatUint(uint64(crc32.ChecksumIEEE(content)), 16) }

// Headers that stand-ins use among themselves.
const (
	EchoHeader = "X-Standin-Attempt"
	SumHeader  = "X-Standin-Sum"
	MarkHeader = "X-Standin-Instance"
)

var mixed = []string{Normal, Normal, Normal, Failing, Losing, Short, Long, Garbled, CloseEnded, NotExecuted}

func (backend *Backend) ServeHTTP(writer http.ResponseWriter, incoming *http.Request) {
	if incoming.URL.Path == "/.snowflow/identity" {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(map[string]string{"service": backend.Service.Name, "instance": backend.Instance})
		return
	}
	body, err := io.ReadAll(incoming.Body)
	if err != nil {
		return
	}
	manner := backend.Manner.Load()
	if manner == Mixed {
		manner = mixed[rand.IntN(len(mixed))]
	}
	attempt, try := split(incoming.Header.Get(request.RequestIDHeader))
	answer := backend.body(attempt, body)
	run := invariants.Run{Attempt: attempt, Try: try, Key: incoming.Header.Get(request.IdempotencyKeyHeader), Service: backend.Service.Name, Instance: backend.Instance,
		Method: incoming.Method, Path: incoming.URL.Path, At: backend.clock.Now(), Executed: manner != NotExecuted}
	if manners[manner] == nil {
		run.Sum = Sum(answer)
	}
	backend.history.RecordRun(run)
	served := backend.Served.Inc()
	if misbehave := manners[manner]; misbehave != nil {
		misbehave(backend, writer, attempt)
		return
	}
	if manner == Slow {
		time.Sleep(5 * time.Second)
	}
	if backend.Service.Lookup != "" && served%int64(backend.Service.LookupEvery) == 0 && !strings.HasPrefix(incoming.URL.Path, backend.Service.Lookup) {
		backend.lookup(attempt, served)
	}
	work := int(backend.work.Load())
	if backend.places != nil {
		backend.places <- struct{}{}
		defer func() { <-backend.places }()
	}
	time.Sleep(time.Duration(work/2+rand.IntN(work+1)) * time.Microsecond)
	backend.headers(writer.Header(), attempt, answer)
	writer.WriteHeader(http.StatusOK)
	_, _ = writer.Write(answer)
}

// lookup is the quick internal call that backends make of one another, through the carrier beside them.
func (backend *Backend) lookup(attempt string, number int64) {
	id := fmt.Sprintf("%s-look-%d-%d", attempt, number, rand.Uint32())
	path := fmt.Sprintf("%s/%d", backend.Service.Lookup, number)
	tracked := &invariants.Attempt{ID: id, Kind: "lookup" + backend.Service.Lookup, Caller: backend.beside.Name, Method: "GET", Path: path, Sent: backend.clock.Now()}
	send(backend.client, backend.history, backend.clock, backend.beside, tracked, nil)
}

func (backend *Backend) body(attempt string, sent []byte) []byte {
	answer := bytes.Repeat([]byte("snow"), backend.Service.Answer/4+1)
	copy(answer, fmt.Sprintf("{%q %d} ", attempt, len(sent)))
	return answer[:max(backend.Service.Answer, len(attempt)+20)]
}

func (backend *Backend) headers(headers http.Header, attempt string, answer []byte) {
	headers.Set(EchoHeader, attempt)
	headers.Set(SumHeader, Sum(answer))
	headers.Set(MarkHeader, backend.Instance)
	headers.Set("Content-Type", "application/octet-stream")
}

// manners are the ways of misbehaving that don't end in a plain answer.
var manners = map[string]func(backend *Backend, writer http.ResponseWriter, attempt string){
	Failing: func(_ *Backend, writer http.ResponseWriter, _ string) {
		http.Error(writer, "failing", http.StatusInternalServerError)
	},
	NotExecuted: func(_ *Backend, writer http.ResponseWriter, _ string) {
		writer.Header().Set(request.NotExecutedHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	},
	Losing: func(_ *Backend, writer http.ResponseWriter, _ string) { raw(writer, "") },
	Short: func(_ *Backend, writer http.ResponseWriter, attempt string) {
		raw(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n"+EchoHeader+": "+attempt+"\r\n\r\nonly this")
	},
	Long: func(_ *Backend, writer http.ResponseWriter, attempt string) {
		raw(writer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+EchoHeader+": "+attempt+"\r\n\r\nonlyHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	},
	Garbled: func(_ *Backend, writer http.ResponseWriter, _ string) {
		raw(writer, "\x00\x01 this is no answer\r\n\r\n")
	},
	CloseEnded: func(_ *Backend, writer http.ResponseWriter, attempt string) {
		raw(writer, "HTTP/1.1 200 OK\r\n"+EchoHeader+": "+attempt+"\r\n\r\nthe end may be missing")
	},
}

// raw writes bytes past the HTTP server and closes.
func raw(writer http.ResponseWriter, content string) {
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
func split(id string) (attempt string, try int) {
	position := strings.LastIndexByte(id, '.')
	if position < 0 {
		return id, 1
	}
	try, err := strconv.Atoi(id[position+1:])
	if err != nil {
		return id, 1
	}
	return id[:position], try
}
