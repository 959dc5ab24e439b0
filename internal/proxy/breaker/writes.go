package breaker

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

const (
	// writeTimeout is how long a write may take, in which no caller waits. It outlasts a batch of the registry's log that a
	// slow disk syncs.
	writeTimeout = 1500 * monotonic.Millisecond
	// drainPollInterval is the longest time between two checks of the queue by Close.
	drainPollInterval = 100 * monotonic.Millisecond
)

// enqueueWrite queues a write, or drops it and reports that. It never waits.
func (s *Set) enqueueWrite(request *wire.BreakerWriteRequest) {
	request.Proxy, request.Incarnation = s.config.Proxy, s.config.Incarnation
	accepted, backingOff := s.reserveWrite()
	if !accepted {
		s.reportDroppedWrite(request, backingOff)
		return
	}
	s.writes.Put(request)
}

// reserveWrite counts one more write as queued, unless writes are dropped or too many are queued.
func (s *Set) reserveWrite() (accepted, backingOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	backingOff = s.degraded && s.config.Host.Now() < s.retryAt
	full := s.queuedWrites >= s.config.WriteQueueLength || s.closed
	if backingOff || full {
		return false, backingOff
	}
	s.queuedWrites++
	return true, false
}

func (s *Set) reportDroppedWrite(request *wire.BreakerWriteRequest, degraded bool) {
	s.config.Host.Report(eventlog.BreakerWriteDropped, eventlog.Attributes{
		"service":  request.Service,
		"verb":     request.Verb,
		"degraded": degraded,
	})
}

// SendWrites sends the queued writes in order. It is run on one task and doesn't return.
func (s *Set) SendWrites() {
	for {
		for _, request := range s.writes.TakeAll(monotonic.Second) {
			s.sendWrite(request)
			s.endWrite()
		}
	}
}

// endWrite takes a write out of those that are queued.
func (s *Set) endWrite() {
	s.mu.Lock()
	s.queuedWrites--
	drained := s.queuedWrites == 0
	s.mu.Unlock()
	if drained {
		s.writesDrained.Fire()
	}
}

// sendWrite sends a write and takes the record that comes with the response.
func (s *Set) sendWrite(request *wire.BreakerWriteRequest) {
	if s.Degraded() {
		s.reportDroppedWrite(request, true)
		return
	}
	response, err := s.write(request)
	if err != nil || !response.Applied {
		return
	}
	switch request.Verb {
	case breakerstore.VerbTrip:
		if response.Record.State == breakerstore.Closed {
			s.config.Host.Report(eventlog.BreakerTripReported, eventlog.Attributes{
				"service": request.Service,
				"reports": len(response.Record.Reports),
			})
		}
	case breakerstore.VerbProbe:
		if response.RoundComplete {
			s.decideRound(request, response.Record)
		}
	}
}

// decideRound ends a round of probes of which this proxy's result was the last. The version of the round's record fences the
// decision: it doesn't apply to a later round.
func (s *Set) decideRound(last *wire.BreakerWriteRequest, record *wire.BreakerRecord) {
	_, _ = s.write(&wire.BreakerWriteRequest{
		Service:         last.Service,
		Verb:            breakerstore.VerbDecide,
		ExpectedVersion: record.Version,
		Decision:        breakerstore.JudgeRound(record),
		Proxy:           s.config.Proxy,
		Incarnation:     s.config.Incarnation,
		Settings:        last.Settings,
	}) // an error has made the set degraded, and the registry ends the round by itself after a while
}

// write calls the registry and takes the record of its response. An error makes the set degraded.
func (s *Set) write(request *wire.BreakerWriteRequest) (*wire.BreakerWriteResponse, error) {
	response := &wire.BreakerWriteResponse{}
	if err := s.config.Call(wire.Kind_breaker_write, request, response, writeTimeout); err != nil {
		s.enterDegraded(err)
		return nil, err
	}
	s.applyRecord(s.breakerFor(request.Service), response.Record)
	return response, nil
}

// Close waits until the queued writes are sent, at most for the timeout in microseconds. Afterwards writes are dropped, and
// local breakers decide.
func (s *Set) Close(timeout monotonic.Micros) {
	deadline := s.config.Host.Now() + timeout
	for !s.isDrained() {
		remaining := deadline - s.config.Host.Now()
		if remaining <= 0 {
			break
		}
		s.writesDrained.Wait(min(remaining, drainPollInterval))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.degraded = true, true
}

func (s *Set) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuedWrites == 0
}
