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
	callerTimeout     = 12 * time.Second // for one attempt
	readinessInterval = 300 * time.Millisecond
	generateInterval  = 10 * time.Millisecond
	defaultMaxRetries = 3
)

// LoadGenerator simulates the callers. It sends each kind of traffic at its rate to the proxies that are ready, and retries requests
// with an idempotency key until they are served.
type LoadGenerator struct {
	// RequestPath returns a request's path. If it is nil, the path is the kind's path followed by the request's number.
	RequestPath func(kind layout.Kind, number int64) string
	// TenantKey returns the tenant key that a request and all its retries carry; empty for none. If it is nil, no request has one.
	TenantKey func() string
	// RetryTimeout limits how long after its first attempt a request may still be retried; zero for no limit.
	RetryTimeout time.Duration
	// MaxRetries is the maximum number of retries of a request.
	MaxRetries int

	fleet         *fleet.Fleet
	sender        sender
	idPrefix      string // distinguishes the requests from those of other load generators
	lastNumber    atomic.Int64
	stop          chan struct{} // closed by Stop
	noNewRequests chan struct{} // closed by FinishRetries; no requests are started afterwards
	tasks         sync.WaitGroup
	requestTasks  sync.WaitGroup // the tasks that send requests or start new ones, which FinishRetries waits for

	mu           sync.Mutex       // guards all below
	readyProxies []*fleet.Process // at the last check
	preferred    []*fleet.Process // receive three quarters of all requests; may be empty
}

// NewLoadGenerator returns a load generator that sends nothing before Start.
func NewLoadGenerator(target *fleet.Fleet, clock monotonic.Clock, history *invariants.History) *LoadGenerator {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 2048}}
	return &LoadGenerator{MaxRetries: defaultMaxRetries, fleet: target, sender: sender{client: client, history: history, clock: clock},
		idPrefix: fmt.Sprintf("%04x-", rand.Uint32()&0xffff), stop: make(chan struct{}), noNewRequests: make(chan struct{})}
}

// Start starts sending requests. factor multiplies the rates.
func (g *LoadGenerator) Start(factor float64) {
	g.refreshReadyProxies()
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		for g.sleepUnlessStopped(readinessInterval) {
			g.refreshReadyProxies()
		}
	}()
	for _, kind := range g.fleet.Layout.Kinds {
		g.startRequestTask(func() { g.generate(kind, kind.Rate*factor) })
	}
}

// startRequestTask runs a task in a goroutine that FinishRetries waits for.
func (g *LoadGenerator) startRequestTask(task func()) {
	g.tasks.Add(1)
	g.requestTasks.Add(1)
	go func() {
		defer g.tasks.Done()
		defer g.requestTasks.Done()
		task()
	}()
}

// generate starts requests of a kind at a rate per second. Each request has its own goroutine, so that slow responses do not reduce
// the rate.
func (g *LoadGenerator) generate(kind layout.Kind, rate float64) {
	began, sent := time.Now(), 0.0
	for g.sleepUnlessStopped(generateInterval) && !g.isFinishing() {
		for due := time.Since(began).Seconds() * rate; sent < due; sent++ {
			g.startRequestTask(func() { g.sendWithRetries(kind) })
		}
	}
}

// sleepUnlessStopped sleeps for a duration. It returns false as soon as Stop is called.
func (g *LoadGenerator) sleepUnlessStopped(duration time.Duration) bool {
	select {
	case <-g.stop:
		return false
	case <-time.After(duration):
		return true
	}
}

// refreshReadyProxies checks which proxies are ready, as the platform's readiness checks do.
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

// PreferProxies makes the load generator send three quarters of all further requests to these proxies.
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

// sendWithRetries sends one request. If it has an idempotency key, it is retried, one to two seconds after each attempt, until it is
// served or MaxRetries or RetryTimeout is reached.
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
		if !g.sleepUnlessStopped(time.Duration(1000+rand.IntN(1000)) * time.Millisecond) {
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

// FinishRetries stops starting new requests, and waits until each request in progress is served or given up.
func (g *LoadGenerator) FinishRetries() {
	close(g.noNewRequests)
	g.requestTasks.Wait()
}

func (g *LoadGenerator) isFinishing() bool {
	select {
	case <-g.noNewRequests:
		return true
	default:
		return false
	}
}

// Stop sends no further requests or retries, and waits for the attempts in flight.
func (g *LoadGenerator) Stop() {
	close(g.stop)
	g.tasks.Wait()
}
