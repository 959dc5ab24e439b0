//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"snowflow/platform"
)

const (
	// correctionCount is the number of keyed requests, and every fullEach-th finds the backend's queue full.
	correctionCount = 150
	fullEach        = 40
	// correctionWork is how long the backend works on one.
	correctionWork = 5 * time.Millisecond
	// correctionDeadline is how long a client waits for one, over all its tries.
	correctionDeadline = 2 * time.Second
	// warmupTime is how long the deployment runs before: a proxy retries nothing in its first ten seconds.
	warmupTime      = 12 * time.Second
	registryHost    = "registr.example"
	registryService = "registr"
)

// corrections are what the backend of the service saw. With trouble it sends the answer of each request that it turned away once
// more, in the place of the next answer on that connection.
type corrections struct {
	record  *record
	trouble bool

	mu       sync.Mutex      // guards the fields below
	answers  int             // sent, without the surplus ones
	surplus  int             // answers sent once more
	arrived  map[string]bool // by key
	runs     map[string][]string
	executed map[string]bool // by id of the request
}

// handle turns away the first request of some keys, as its queue is full, and runs all others.
func (c *corrections) handle(connection *backendConnection, request *http.Request, _ []byte) bool {
	id, key := request.Header.Get(platform.RequestHeader), request.Header.Get(platform.OperationKeyHeader)
	if len(connection.surplus) > 0 {
		c.record.line("registr sends its answer to the request before once more")
		_, _ = connection.Write(connection.surplus)
		connection.surplus = nil
		c.mu.Lock()
		c.surplus++
		c.mu.Unlock()
	}
	if c.turnsAway(key) {
		c.record.line("registr turns request %s of key %s away, not executed: its queue is full", id, key)
		rejection := answer{status: http.StatusServiceUnavailable, id: id, notExecuted: true}.encode()
		if c.trouble {
			connection.surplus = rejection
		}
		_, err := connection.Write(rejection)
		return err == nil
	}
	c.mu.Lock()
	c.runs[key] = append(c.runs[key], id)
	c.executed[id] = true
	c.mu.Unlock()
	c.record.line("registr runs request %s of key %s", id, key)
	time.Sleep(correctionWork)
	_, err := connection.Write(answer{status: http.StatusOK, id: id, stamp: "stamp-" + id, body: []byte("corrected by " + id)}.encode())
	return err == nil
}

// turnsAway reports whether a request of a key finds the queue full: the first of every fullEach-th key does.
func (c *corrections) turnsAway(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	first := !c.arrived[key]
	c.arrived[key] = true
	return first && len(c.arrived)%fullEach == 0
}

// surplusAnswer sends keyed corrections to a service with one backend. The backend is full now and then, and with trouble some of its
// answers come twice, the second time in the place of the next answer on the connection. No correction may run twice.
func surplusAnswer(fleet *fleet, trouble bool) ([]string, error) {
	backend := &corrections{
		record: fleet.record, trouble: trouble,
		arrived: map[string]bool{}, runs: map[string][]string{}, executed: map[string]bool{},
	}
	if err := backend.deploy(fleet); err != nil {
		return nil, err
	}
	time.Sleep(warmupTime)
	var refused []string // ids that were answered by a promise that they have not run
	var mu sync.Mutex    // guards refused
	var clients sync.WaitGroup
	for range correctionCount {
		first := make(chan struct{})
		clients.Go(func() {
			ids := sendCorrection(fleet, newID(), first)
			mu.Lock()
			defer mu.Unlock()
			refused = append(refused, ids...)
		})
		<-first
	}
	clients.Wait()
	time.Sleep(10 * correctionWork)
	return backend.breaks(refused), nil
}

// deploy starts two application machines: the one of the clients, with a backend of another service, and that of the service.
func (c *corrections) deploy(fleet *fleet) error {
	if err := fleet.startAll(map[int]string{11: "katalog", 12: registryService}); err != nil {
		return err
	}
	routes := []route{{Name: "opravy", Host: registryHost, Prefix: "/opravy/", Type: "keyed", Service: registryService, TimeoutS: 2, TargetS: 0.5}}
	if err := fleet.configure(3, routes, "katalog", registryService); err != nil {
		return err
	}
	if _, err := fleet.startBackend(11, "katalog", 6, func(*backendConnection, *http.Request, []byte) bool { return false }); err != nil {
		return err
	}
	if _, err := fleet.startBackend(12, registryService, 6, c.handle); err != nil {
		return err
	}
	if err := fleet.awaitReady(11); err != nil {
		return err
	}
	return fleet.retry("a first correction", func() error {
		request := clientRequest{method: http.MethodDelete, host: registryHost, path: "/opravy/first", id: newID(), key: newID(), deadline: correctionDeadline}
		got, err := request.send(fleet.outbound(11))
		if err == nil && got.status != http.StatusOK {
			err = fmt.Errorf("status %d", got.status)
		}
		return err
	})
}

// sendCorrection sends a correction as a client does, until it is answered with success or its time is up. After a promise that it has
// not run it waits as told, up to a third of the time left. It closes first after the first try, and returns the ids of the tries that
// were answered by such a promise.
func sendCorrection(fleet *fleet, key string, first chan struct{}) (refused []string) {
	deadline := fleet.record.seconds() + correctionDeadline.Seconds()
	for try := 1; try <= 2; try++ {
		remaining := time.Duration((deadline - fleet.record.seconds()) * float64(time.Second))
		request := clientRequest{method: http.MethodDelete, host: registryHost, path: "/opravy/" + key, id: newID(), key: key, deadline: remaining}
		got, err := request.send(fleet.outbound(11))
		if got.status != http.StatusOK || try > 1 {
			fleet.record.line("client: try %d of key %s, request %s: status %d, stamp %q, retry after %v, error %v", try, key, request.id, got.status, got.stamp, got.retryAfter, err)
		}
		if got.status == http.StatusServiceUnavailable {
			refused = append(refused, request.id)
		}
		if try == 1 {
			close(first)
		}
		if got.status == http.StatusOK {
			return refused
		}
		time.Sleep(min(got.retryAfter, remaining/3))
	}
	return refused
}

// breaks returns the keys that ran twice, and the requests that ran although a client was promised that they have not.
func (c *corrections) breaks(refused []string) (breaks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.line("registr sent %d answers, %d of them once more", c.answers, c.surplus)
	for key, ids := range c.runs {
		if len(ids) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: key %s ran %d times, by the requests %v", key, len(ids), ids))
		}
	}
	for _, id := range refused {
		if c.executed[id] {
			breaks = append(breaks, fmt.Sprintf("REFUSED: request %s was answered with 503, and has run", id))
		}
	}
	return breaks
}
