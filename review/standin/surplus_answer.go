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
	// formCount is the number of keyed requests, and every fullEach-th finds the queue of a backend full.
	formCount = 125
	fullEach  = 40
	// formWork is how long a backend works on one.
	formWork = 5 * time.Millisecond
	// formDeadline is how long a client waits for one, over all its tries.
	formDeadline = 3 * time.Second
	// warmupTime is how long the deployment runs before: a proxy retries nothing in its first ten seconds.
	warmupTime    = 12 * time.Second
	intakeHost    = "prijem.example"
	intakeService = "prijem"
	// fullMachine is that of the backend whose queue is full now and then, in the zone of the clients.
	fullMachine = 14
)

// submissions is what the backends of the service saw. With trouble one of them sends the answer to each request that it turned away
// once more, in the place of the next answer on that connection.
type submissions struct {
	record  *record
	trouble bool

	mu       sync.Mutex      // guards the fields below
	answers  int             // sent, without the surplus ones
	surplus  int             // answers sent once more
	arrived  map[string]bool // by key
	runs     map[string][]string
	executed map[string]bool // by id of the request
}

// handle returns the behavior of the backend of a machine. That of fullMachine turns away the first request of some keys, as its queue
// is full, and runs all others.
func (c *submissions) handle(machine int) func(*backendConnection, *http.Request, []byte) bool {
	return func(connection *backendConnection, request *http.Request, _ []byte) bool {
		id, key := request.Header.Get(platform.RequestHeader), request.Header.Get(platform.OperationKeyHeader)
		c.sendSurplus(machine, connection)
		if c.turnsAway(machine, key) {
			c.record.line("i-%d turns request %s of key %s away, not executed: its queue is full", machine, id, key)
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
		c.record.line("i-%d runs request %s of key %s", machine, id, key)
		time.Sleep(formWork)
		_, err := connection.Write(answer{status: http.StatusOK, id: id, stamp: "stamp-" + id, body: []byte("taken by " + id)}.encode())
		return err == nil
	}
}

// sendSurplus sends the answer to the request before once more, in the place of the next one, if that is due.
func (c *submissions) sendSurplus(machine int, connection *backendConnection) {
	if len(connection.surplus) == 0 {
		return
	}
	c.record.line("i-%d sends its answer to the request before once more", machine)
	_, _ = connection.Write(connection.surplus)
	connection.surplus = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.surplus++
}

// turnsAway reports whether a request of a key finds the queue full: the first of every fullEach-th key does, on fullMachine.
func (c *submissions) turnsAway(machine int, key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if machine != fullMachine {
		return false
	}
	c.answers++
	first := !c.arrived[key]
	c.arrived[key] = true
	return first && len(c.arrived)%fullEach == 0
}

// surplusAnswer sends keyed forms to a service with three backends. One is full now and then, and with trouble some of its answers come
// twice, the second time in the place of the next answer on the connection. No form may run twice.
func surplusAnswer(fleet *fleet, trouble bool) ([]string, error) {
	backend := &submissions{
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
	for range formCount {
		first := make(chan struct{})
		clients.Go(func() {
			ids := submit(fleet, newID(), first)
			mu.Lock()
			defer mu.Unlock()
			refused = append(refused, ids...)
		})
		<-first
	}
	clients.Wait()
	time.Sleep(10 * formWork)
	return backend.breaks(refused), nil
}

// deploy starts four application machines: the one of the clients, with a backend of another service, and three of the service.
func (c *submissions) deploy(fleet *fleet) error {
	if err := fleet.startAll(map[int]string{11: "katalog", 12: intakeService, 13: intakeService, 14: intakeService}); err != nil {
		return err
	}
	routes := []route{{Name: "odevzdani", Host: intakeHost, Prefix: "/odevzdani/", Type: "keyed", Service: intakeService, TimeoutS: 3, TargetS: 1}}
	if err := fleet.configure(3, routes, "katalog", intakeService); err != nil {
		return err
	}
	if _, err := fleet.startBackend(11, "katalog", 6, func(*backendConnection, *http.Request, []byte) bool { return false }); err != nil {
		return err
	}
	for _, machine := range []int{12, 13, fullMachine} {
		if _, err := fleet.startBackend(machine, intakeService, 6, c.handle(machine)); err != nil {
			return err
		}
	}
	if err := fleet.awaitReady(11); err != nil {
		return err
	}
	return fleet.retry("a first form", func() error {
		request := clientRequest{method: http.MethodPost, host: intakeHost, path: "/odevzdani/first", id: newID(), key: newID(), deadline: formDeadline, body: "form"}
		got, err := request.send(fleet.outbound(11))
		if err == nil && got.status != http.StatusOK {
			err = fmt.Errorf("status %d", got.status)
		}
		return err
	})
}

// submit sends a form as a client does, until it is answered with success or its time is up. After a promise that it has
// not run it waits as told, up to a third of the time left. It closes first after the first try, and returns the ids of the tries that
// were answered by such a promise.
func submit(fleet *fleet, key string, first chan struct{}) (refused []string) {
	deadline := fleet.record.seconds() + formDeadline.Seconds()
	for try := 1; try <= 2; try++ {
		remaining := time.Duration((deadline - fleet.record.seconds()) * float64(time.Second))
		request := clientRequest{method: http.MethodPost, host: intakeHost, path: "/odevzdani/" + key, id: newID(), key: key, deadline: remaining, body: "form " + key}
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
func (c *submissions) breaks(refused []string) (breaks []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.line("i-%d sent %d answers, %d of them once more", fullMachine, c.answers, c.surplus)
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
