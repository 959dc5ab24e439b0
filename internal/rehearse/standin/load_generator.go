package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"go.uber.org/atomic"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/ingress"
	"snowflow/internal/proxy/request"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
)

// CallerAddress play the field workers: they send each kind of traffic at its rate to carriers that the platform believes
// ready, and ask again with the same key when they are told to come back.
type LoadGenerator struct {
	fleet         *fleet.Fleet
	clock         monotonic.Clock
	history       *invariants.History
	client        *http.Client
	mu            sync.Mutex
	readyProxies  []*fleet.Process
	stop          chan struct{}
	tasks         sync.WaitGroup
	requests      sync.WaitGroup // of them, the requests and those that start them
	lastNumber    atomic.Int64
	preferred     []*fleet.Process // carriers that get three quarters of all requests, if any
	idPrefix      string           // tells these callers' requests from others'
	noNewRequests chan struct{}
	// RequestPath gives a request's path; the kind's own with the number behind it if left out.
	RequestPath func(kind layout.Kind, number int64) string
	// RetryTimeout is for how long after the first time a key is asked for again; without end if left out.
	RetryTimeout time.Duration
	// MaxRetries is how often a keyed request is repeated.
	MaxRetries int
}

// NewLoadGenerator makes them.
func NewLoadGenerator(target *fleet.Fleet, clock monotonic.Clock, history *invariants.History) *LoadGenerator {
	return &LoadGenerator{fleet: target, clock: clock, history: history, stop: make(chan struct{}), noNewRequests: make(chan struct{}), MaxRetries: 3, idPrefix: fmt.Sprintf("%04x-", rand.Uint32()&0xffff),
		client: &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 2048}}}
}

// Start begins sending. factor multiplies the rates.
func (g *LoadGenerator) Start(factor float64) {
	g.refreshReadyProxies()
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		for g.sleep(300 * time.Millisecond) {
			g.refreshReadyProxies()
		}
	}()
	for _, kind := range g.fleet.Layout.Kinds {
		g.tasks.Add(1)
		g.requests.Add(1)
		go func() {
			defer g.tasks.Done()
			defer g.requests.Done()
			g.generate(kind, kind.Rate*factor)
		}()
	}
}

// pace starts requests at a rate, each in a task of its own, so that slow answers don't slow the callers.
func (g *LoadGenerator) generate(kind layout.Kind, rate float64) {
	began, sent := time.Now(), 0.0
	for g.sleep(10*time.Millisecond) && !g.isFinishing() {
		for due := time.Since(began).Seconds() * rate; sent < due; sent++ {
			g.tasks.Add(1)
			g.requests.Add(1)
			go func() {
				defer g.tasks.Done()
				defer g.requests.Done()
				g.sendWithRetries(kind)
			}()
		}
	}
}

func (g *LoadGenerator) sleep(duration time.Duration) bool {
	select {
	case <-g.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// look asks every carrier whether it's ready, as the platform does.
func (g *LoadGenerator) refreshReadyProxies() {
	var mu sync.Mutex
	var ready []*fleet.Process
	var checks sync.WaitGroup
	for _, process := range g.fleet.CallerProxies() {
		checks.Add(1)
		go func() {
			defer checks.Done()
			if process.Ready() {
				mu.Lock()
				ready = append(ready, process)
				mu.Unlock()
			}
		}()
	}
	checks.Wait()
	g.mu.Lock()
	g.readyProxies = ready
	g.mu.Unlock()
}

// PreferProxies has three quarters of all requests go to some carriers.
func (g *LoadGenerator) PreferProxies(proxies []*fleet.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.preferred = proxies
}

func (g *LoadGenerator) pickProxy() *fleet.Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.preferred) > 0 && rand.IntN(4) > 0 {
		return g.preferred[rand.IntN(len(g.preferred))]
	}
	if len(g.readyProxies) == 0 {
		return g.fleet.CallerProxies()[rand.IntN(len(g.fleet.CallerProxies()))]
	}
	return g.readyProxies[rand.IntN(len(g.readyProxies))]
}

// call sends one request and, if it's keyed and had no success, repeats it.
func (g *LoadGenerator) sendWithRetries(kind layout.Kind) {
	number := g.lastNumber.Inc()
	key, body := "", []byte(nil)
	if kind.Idempotent {
		key = fmt.Sprintf("%s-%d-%d", kind.Name, number, rand.Uint32())
	}
	if kind.BodyBytes > 0 {
		body = bytes.Repeat([]byte("x"), kind.BodyBytes)
	}
	for began, retries := time.Now(), 0; ; retries++ {
		path := fmt.Sprintf("%s%d", kind.Path, number)
		if g.RequestPath != nil {
			path = g.RequestPath(kind, number)
		}
		attempt := &invariants.Attempt{ID: fmt.Sprintf("%s-%s%d-%d", kind.Name, g.idPrefix, number, retries), Key: key, Kind: kind.Name, Method: kind.Method, Path: path, Sent: g.clock.Now()}
		process := g.pickProxy()
		attempt.Caller = process.Name
		sendAttempt(g.client, g.history, g.clock, process, attempt, body)
		if !kind.Idempotent || attempt.Status >= 200 && attempt.Status < 300 && !attempt.Mesh || retries >= g.MaxRetries || g.RetryTimeout > 0 && time.Since(began) > g.RetryTimeout {
			return
		}
		if !g.sleep(time.Duration(1000+rand.IntN(1000)) * time.Millisecond) {
			return
		}
	}
}

// FinishRetries sends nothing new, and waits until whoever sent a key was served or has asked often enough.
func (g *LoadGenerator) FinishRetries() {
	close(g.noNewRequests)
	g.requests.Wait()
}

func (g *LoadGenerator) isFinishing() bool {
	select {
	case <-g.noNewRequests:
		return true
	default:
		return false
	}
}

// Stop ends the sending and waits for what is under way.
func (g *LoadGenerator) Stop() {
	close(g.stop)
	g.tasks.Wait()
}

// send makes one attempt and notes how it ended.
func sendAttempt(client *http.Client, history *invariants.History, clock monotonic.Clock, process *fleet.Process, attempt *invariants.Attempt, body []byte) {
	history.RecordAttempt(attempt)
	req, err := http.NewRequest(attempt.Method, "http://"+process.CallerAddress+attempt.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(request.RequestIDHeader, attempt.ID)
	if attempt.Key != "" {
		req.Header.Set(request.IdempotencyKeyHeader, attempt.Key)
	}
	var wrote, reused atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { reused.Store(info.Reused) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { wrote.Store(info.Err == nil) },
	}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	response, err := client.Do(req)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	ended := clock.Now()
	killed := process.Killed()
	history.Update(func() {
		attempt.Ended = ended
		if err != nil {
			// On a connection that was used before the carrier may have ended it before it read anything.
			attempt.Transport, attempt.Read = "lost", wrote.Load() && !reused.Load() && !killed && ended-attempt.Sent < monotonic.FromDuration(client.Timeout)
			return
		}
		attempt.Status = response.StatusCode
		attempt.RetryAfterSet = response.Header.Get("Retry-After") != ""
		attempt.Version, _ = strconv.ParseUint(response.Header.Get(request.ConfigVersionHeader), 10, 64)
		attempt.Instance = response.Header.Get(InstanceHeader)
		attempt.Echo = response.Header.Get(EchoHeader)
		attempt.Sum = Checksum(content)
		attempt.Complete = response.Header.Get(ChecksumHeader) == attempt.Sum
		if attempt.Echo == "" {
			var refusal ingress.ErrorBody
			if json.Unmarshal(content, &refusal) == nil && refusal.Cause > 0 {
				attempt.Mesh, attempt.Cause, attempt.NotRun = true, int(refusal.Cause), refusal.Verdict == "not_run"
			}
		}
	})
}
