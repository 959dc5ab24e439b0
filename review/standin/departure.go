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
	templateHost, templateService = "katalog.example", "katalog"
	lookupWork                    = 20 * time.Millisecond
	lookupInterval                = 25 * time.Millisecond
	lookupDeadline                = 2 * time.Second
	// leavingMachine is that of the leaving backend, in the zone of the clients.
	leavingMachine = 14
	// drainTimeout is how long after the acknowledgement of a departure requests may still reach the backend.
	drainTimeout = 2 * time.Second
	// heartbeatDelay is how late the delayed heartbeat arrives.
	heartbeatDelay = 2 * time.Second
	// serveOn is how long the backend serves on after it has deregistered.
	serveOn = 9 * time.Second
)

// lookups are the requests of the clients and the runs of the leaving backend.
type lookups struct {
	record *record

	mu   sync.Mutex         // guards the fields below
	sent map[string]float64 // when each request was sent, by its id
	runs map[string]float64 // when the leaving backend began with a request, by its id
}

// departure has a backend deregister, while the heartbeat that it sent before is still on its way, and with trouble kills the proxy
// that acknowledged the departure. No request may reach the backend more than drainTimeout after the acknowledgement.
func departure(fleet *fleet, trouble bool) ([]string, error) {
	seen := &lookups{record: fleet.record, sent: map[string]float64{}, runs: map[string]float64{}}
	leaving, err := seen.deploy(fleet)
	if err != nil {
		return nil, err
	}
	time.Sleep(contactWindow + time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { seen.sendLookups(fleet, stop) })
	time.Sleep(time.Second)

	leaving.stopHeartbeats()
	late := leaving.delayedHeartbeat(heartbeatDelay)
	status, err := fleet.call(http.MethodDelete, fleet.endpoint(leaving.machine, 8306)+"/instances/"+leaving.instance, "")
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("the departure was not acknowledged: status %d, %w", status, err)
	}
	acknowledged := fleet.record.seconds()
	fleet.record.line("the departure of %s is acknowledged", leaving.instance)
	inTouch := acknowledged
	if trouble {
		if err := fleet.killProxy(leaving.machine, templateService); err != nil {
			return nil, err
		}
		inTouch = fleet.record.seconds() + contactWindow.Seconds()
	}
	if err := <-late; err != nil {
		fleet.record.line("the late heartbeat was not taken: %v", err)
	}
	time.Sleep(time.Duration((acknowledged + serveOn.Seconds() - fleet.record.seconds()) * float64(time.Second)))
	leaving.close()
	fleet.record.line("%s ends", leaving.instance)
	close(stop)
	clients.Wait()
	return seen.breaks(leaving.instance, acknowledged, inTouch), nil
}

// deploy starts the machine of the clients and three with a backend, and returns the backend that is to leave.
func (l *lookups) deploy(fleet *fleet) (*backend, error) {
	services := map[int]string{11: "prijem", 12: templateService, 13: templateService, 14: templateService}
	if err := fleet.startAll(services); err != nil {
		return nil, err
	}
	routes := []route{{Name: "sablony", Host: templateHost, Prefix: "/sablony/", Type: "idempotent", Service: templateService, TimeoutS: 2, TargetS: 0.6}}
	if err := fleet.configure(3, routes, "prijem", templateService); err != nil {
		return nil, err
	}
	var leaving *backend
	for _, machine := range []int{12, 13, leavingMachine} {
		var err error
		if leaving, err = fleet.startBackend(machine, templateService, 6, l.handle(machine == leavingMachine)); err != nil {
			return nil, err
		}
	}
	if err := fleet.awaitReady(11); err != nil {
		return nil, err
	}
	return leaving, nil
}

func (l *lookups) handle(leaving bool) func(*backendConnection, *http.Request, []byte) bool {
	return func(connection *backendConnection, request *http.Request, _ []byte) bool {
		id := request.Header.Get(platform.RequestHeader)
		if leaving {
			l.mu.Lock()
			l.runs[id] = l.record.seconds()
			l.mu.Unlock()
			l.record.line("i-%d runs request %s", leavingMachine, id)
		}
		time.Sleep(lookupWork)
		_, err := connection.Write(answer{status: http.StatusOK, id: id, stamp: "stamp-" + id, body: []byte("template")}.encode())
		return err == nil
	}
}

// sendLookups sends lookups until stop is closed.
func (l *lookups) sendLookups(fleet *fleet, stop chan struct{}) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(lookupInterval):
		}
		pending.Go(func() {
			request := clientRequest{method: http.MethodGet, host: templateHost, path: "/sablony/1", id: newID(), deadline: lookupDeadline}
			l.mu.Lock()
			l.sent[request.id] = l.record.seconds()
			l.mu.Unlock()
			got, err := request.send(fleet.outbound(11))
			l.record.line("client: request %s: status %d, error %v", request.id, got.status, err)
		})
	}
}

// breaks returns the requests that reached the leaving backend too late, on a way of machines in touch.
func (l *lookups) breaks(instance string, acknowledged, inTouch float64) (breaks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.runs {
		if at > acknowledged+drainTimeout.Seconds() && l.sent[id] > inTouch {
			breaks = append(breaks, fmt.Sprintf("DRAIN: request %s, sent at %.3f s, reached %s at %.3f s, %.3f s after the acknowledgement that it is gone", id, l.sent[id], instance, at, at-acknowledged))
		}
	}
	return breaks
}
