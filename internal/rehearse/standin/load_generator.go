package standin

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/atomic"

	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
)

const (
	callerTimeout     = 12 * time.Second // of one attempt
	readinessInterval = 300 * time.Millisecond
	generateInterval  = 10 * time.Millisecond
	defaultMaxRetries = 3
)

// LoadGenerator plays the callers. It sends each kind of traffic at its rate, to proxies that are ready, and retries requests with an
// idempotency key until they are served.
type LoadGenerator struct {
	// RequestPath gives a request's path. Nil for the kind's own path with the number behind it.
	RequestPath func(kind layout.Kind, number int64) string
	// TenantKey gives the tenant's key that a request bears with all its retries, empty for none. Nil for no keys at all.
	TenantKey func() string
	// RetryTimeout is for how long after the first attempt a key is retried; zero for no limit.
	RetryTimeout time.Duration
	// MaxRetries is how often a key is retried at most.
	MaxRetries int

	fleet         *fleet.Fleet
	sender        sender
	idPrefix      string // distinguishes the requests from those of other generators
	lastNumber    atomic.Int64
	stop          chan struct{} // closed by Stop
	noNewRequests chan struct{} // closed by FinishRetries
	tasks         sync.WaitGroup
	requests      sync.WaitGroup // of the tasks, the requests and those that start them

	mu           sync.Mutex       // guards all below
	readyProxies []*fleet.Process // at the last check
	preferred    []*fleet.Process // get three quarters of all requests, if there are any
}

// NewLoadGenerator makes a load generator that sends nothing yet.
func NewLoadGenerator(target *fleet.Fleet, clock monotonic.Clock, history *invariants.History) *LoadGenerator {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 2048}}
	return &LoadGenerator{MaxRetries: defaultMaxRetries, fleet: target, sender: sender{client: client, history: history, clock: clock},
		idPrefix: fmt.Sprintf("%04x-", rand.Uint32()&0xffff), stop: make(chan struct{}), noNewRequests: make(chan struct{})}
}

// Start begins to send. factor multiplies the rates.
func (g *LoadGenerator) Start(factor float64) {
	g.refreshReadyProxies()
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		for g.sleep(readinessInterval) {
			g.refreshReadyProxies()
		}
	}()
	for _, kind := range g.fleet.Layout.Kinds {
		g.goRequest(func() { g.generate(kind, kind.Rate*factor) })
	}
}

// goRequest runs a task that FinishRetries waits for.
func (g *LoadGenerator) goRequest(task func()) {
	g.tasks.Add(1)
	g.requests.Add(1)
	go func() {
		defer g.tasks.Done()
		defer g.requests.Done()
		task()
	}()
}

// generate starts requests at a rate per second. Each is a task of its own, so that slow responses do not slow the rate.
func (g *LoadGenerator) generate(kind layout.Kind, rate float64) {
	began, sent := time.Now(), 0.0
	for g.sleep(generateInterval) && !g.isFinishing() {
		for due := time.Since(began).Seconds() * rate; sent < due; sent++ {
			g.goRequest(func() { g.sendWithRetries(kind) })
		}
	}
}

// sleep gives false if Stop was called meanwhile.
func (g *LoadGenerator) sleep(duration time.Duration) bool {
	select {
	case <-g.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// refreshReadyProxies checks which proxies are ready, as the platform does.
func (g *LoadGenerator) refreshReadyProxies() {
	var mu sync.Mutex // guards ready
	var ready []*fleet.Process
	var checks sync.WaitGroup
	for _, process := range g.fleet.CallerProxies() {
		checks.Add(1)
		go func() {
			defer checks.Done()
			if process.Ready() {
				mu.Lock()
				defer mu.Unlock()
				ready = append(ready, process)
			}
		}()
	}
	checks.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readyProxies = ready
}

// PreferProxies sends three quarters of all requests from now on to these proxies.
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
	candidates := g.readyProxies
	if len(candidates) == 0 {
		candidates = g.fleet.CallerProxies()
	}
	return candidates[rand.IntN(len(candidates))]
}

// sendWithRetries sends one request. With a key it retries it after one to two seconds until it is served or has been retried often
// or long enough.
func (g *LoadGenerator) sendWithRetries(kind layout.Kind) {
	number := g.lastNumber.Inc()
	key, body := "", []byte(nil)
	if kind.Idempotent {
		key = fmt.Sprintf("%s-%d-%d", kind.Name, number, rand.Uint32())
	}
	if kind.BodyBytes > 0 {
		body = bytes.Repeat([]byte("x"), kind.BodyBytes)
	}
	tenantKey := g.tenantKey()
	for began, retries := time.Now(), 0; ; retries++ {
		process := g.pickProxy()
		attempt := &invariants.Attempt{ID: fmt.Sprintf("%s-%s%d-%d", kind.Name, g.idPrefix, number, retries), Key: key, Kind: kind.Name,
			Proxy: process.Name, Method: kind.Method, Path: g.path(kind, number), TenantKey: tenantKey, Sent: g.sender.clock.Now()}
		g.sender.send(process, attempt, body)
		if !kind.Idempotent || isServed(attempt) || retries >= g.MaxRetries || g.RetryTimeout > 0 && time.Since(began) > g.RetryTimeout {
			return
		}
		if !g.sleep(time.Duration(1000+rand.IntN(1000)) * time.Millisecond) {
			return
		}
	}
}

func (g *LoadGenerator) tenantKey() string {
	if g.TenantKey == nil {
		return ""
	}
	return g.TenantKey()
}

func (g *LoadGenerator) path(kind layout.Kind, number int64) string {
	if g.RequestPath != nil {
		return g.RequestPath(kind, number)
	}
	return fmt.Sprintf("%s%d", kind.Path, number)
}

func isServed(attempt *invariants.Attempt) bool {
	return attempt.Status >= 200 && attempt.Status < 300 && !attempt.RejectedByMesh
}

// FinishRetries starts no new requests, and waits until each that was started is served or given up.
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

// Stop sends and retries nothing more, and waits for the attempts in flight.
func (g *LoadGenerator) Stop() {
	close(g.stop)
	g.tasks.Wait()
}
