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

// Callers play the field workers: they send each kind of traffic at its rate to carriers that the platform believes
// ready, and ask again with the same key when they are told to come back.
type Callers struct {
	fleet   *fleet.Fleet
	clock   monotonic.Clock
	history *invariants.History
	client  *http.Client
	lock    sync.Mutex
	ready   []*fleet.Process
	stop    chan struct{}
	waiting sync.WaitGroup
	calling sync.WaitGroup // of them, the requests and those that start them
	number  atomic.Int64
	eager   []*fleet.Process // carriers that get three quarters of all requests, if any
	mark    string           // tells these callers' requests from others'
	ebb     chan struct{}
	// Place gives a request's path; the kind's own with the number behind it if left out.
	Place func(kind layout.Kind, number int64) string
	// Patience is for how long after the first time a key is asked for again; without end if left out.
	Patience time.Duration
	// Again is how often a keyed request is repeated.
	Again int
}

// NewCallers makes them.
func NewCallers(running *fleet.Fleet, clock monotonic.Clock, history *invariants.History) *Callers {
	return &Callers{fleet: running, clock: clock, history: history, stop: make(chan struct{}), ebb: make(chan struct{}), Again: 3, mark: fmt.Sprintf("%04x-", rand.Uint32()&0xffff),
		client: &http.Client{Timeout: 12 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxIdleConns: 2048}}}
}

// Start begins sending. factor multiplies the rates.
func (callers *Callers) Start(factor float64) {
	callers.look()
	callers.waiting.Add(1)
	go func() {
		defer callers.waiting.Done()
		for callers.pause(300 * time.Millisecond) {
			callers.look()
		}
	}()
	for _, kind := range callers.fleet.Layout.Kinds {
		callers.waiting.Add(1)
		callers.calling.Add(1)
		go func() {
			defer callers.waiting.Done()
			defer callers.calling.Done()
			callers.pace(kind, kind.Rate*factor)
		}()
	}
}

// pace starts requests at a rate, each in a task of its own, so that slow answers don't slow the callers.
func (callers *Callers) pace(kind layout.Kind, rate float64) {
	began, sent := time.Now(), 0.0
	for callers.pause(10*time.Millisecond) && !callers.ebbed() {
		for due := time.Since(began).Seconds() * rate; sent < due; sent++ {
			callers.waiting.Add(1)
			callers.calling.Add(1)
			go func() {
				defer callers.waiting.Done()
				defer callers.calling.Done()
				callers.call(kind)
			}()
		}
	}
}

func (callers *Callers) pause(span time.Duration) bool {
	select {
	case <-callers.stop:
		return false
	case <-time.After(span):
		return true
	}
}

// look asks every carrier whether it's ready, as the platform does.
func (callers *Callers) look() {
	var lock sync.Mutex
	var ready []*fleet.Process
	var asking sync.WaitGroup
	for _, carrier := range callers.fleet.Doors() {
		asking.Add(1)
		go func() {
			defer asking.Done()
			if carrier.Ready() {
				lock.Lock()
				ready = append(ready, carrier)
				lock.Unlock()
			}
		}()
	}
	asking.Wait()
	callers.lock.Lock()
	callers.ready = ready
	callers.lock.Unlock()
}

// Prefer has three quarters of all requests go to some carriers.
func (callers *Callers) Prefer(eager []*fleet.Process) {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	callers.eager = eager
}

func (callers *Callers) pick() *fleet.Process {
	callers.lock.Lock()
	defer callers.lock.Unlock()
	if len(callers.eager) > 0 && rand.IntN(4) > 0 {
		return callers.eager[rand.IntN(len(callers.eager))]
	}
	if len(callers.ready) == 0 {
		return callers.fleet.Doors()[rand.IntN(len(callers.fleet.Doors()))]
	}
	return callers.ready[rand.IntN(len(callers.ready))]
}

// call sends one request and, if it's keyed and had no success, repeats it.
func (callers *Callers) call(kind layout.Kind) {
	number := callers.number.Inc()
	key, body := "", []byte(nil)
	if kind.Keyed {
		key = fmt.Sprintf("%s-%d-%d", kind.Name, number, rand.Uint32())
	}
	if kind.Body > 0 {
		body = bytes.Repeat([]byte("x"), kind.Body)
	}
	for first, again := time.Now(), 0; ; again++ {
		path := fmt.Sprintf("%s%d", kind.Path, number)
		if callers.Place != nil {
			path = callers.Place(kind, number)
		}
		attempt := &invariants.Attempt{ID: fmt.Sprintf("%s-%s%d-%d", kind.Name, callers.mark, number, again), Key: key, Kind: kind.Name, Method: kind.Method, Path: path, Sent: callers.clock.Now()}
		carrier := callers.pick()
		attempt.Caller = carrier.Name
		send(callers.client, callers.history, callers.clock, carrier, attempt, body)
		if !kind.Keyed || attempt.Status >= 200 && attempt.Status < 300 && !attempt.Mesh || again >= callers.Again || callers.Patience > 0 && time.Since(first) > callers.Patience {
			return
		}
		if !callers.pause(time.Duration(1000+rand.IntN(1000)) * time.Millisecond) {
			return
		}
	}
}

// Ebb sends nothing new, and waits until whoever sent a key was served or has asked often enough.
func (callers *Callers) Ebb() {
	close(callers.ebb)
	callers.calling.Wait()
}

func (callers *Callers) ebbed() bool {
	select {
	case <-callers.ebb:
		return true
	default:
		return false
	}
}

// Stop ends the sending and waits for what is under way.
func (callers *Callers) Stop() {
	close(callers.stop)
	callers.waiting.Wait()
}

// send makes one attempt and notes how it ended.
func send(client *http.Client, history *invariants.History, clock monotonic.Clock, carrier *fleet.Process, attempt *invariants.Attempt, body []byte) {
	history.RecordAttempt(attempt)
	req, err := http.NewRequest(attempt.Method, "http://"+carrier.Callers+attempt.Path, bytes.NewReader(body))
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
	killed := carrier.Killed()
	history.Update(func() {
		attempt.Ended = ended
		if err != nil {
			// On a connection that was used before the carrier may have ended it before it read anything.
			attempt.Transport, attempt.Read = "lost", wrote.Load() && !reused.Load() && !killed && ended-attempt.Sent < monotonic.FromDuration(client.Timeout)
			return
		}
		attempt.Status = response.StatusCode
		attempt.RetryTold = response.Header.Get("Retry-After") != ""
		attempt.Serial, _ = strconv.ParseUint(response.Header.Get(request.ConfigVersionHeader), 10, 64)
		attempt.Instance = response.Header.Get(MarkHeader)
		attempt.Echo = response.Header.Get(EchoHeader)
		attempt.Sum = Sum(content)
		attempt.Whole = response.Header.Get(SumHeader) == attempt.Sum
		if attempt.Echo == "" {
			var refusal ingress.ErrorBody
			if json.Unmarshal(content, &refusal) == nil && refusal.Cause > 0 {
				attempt.Mesh, attempt.Cause, attempt.NotRun = true, int(refusal.Cause), refusal.Verdict == "not_run"
			}
		}
	})
}
