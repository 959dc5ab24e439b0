package breaker

import (
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

const (
	// writeTimeout limits a write, for which no caller waits. It is longer than a slow disk needs to sync a batch of the
	// registry's log.
	writeTimeout = 1500 * monotonic.Millisecond
	// drainPollInterval is the longest time between two checks of the write queue in Close.
	drainPollInterval = 100 * monotonic.Millisecond
)

// enqueueWrite queues a write, or drops and reports it. It never blocks.
func (s *Set) enqueueWrite(request *wire.BreakerWriteRequest) {
	request.Proxy, request.Incarnation = s.config.Proxy, s.config.Incarnation
	accepted, backingOff := s.reserveWrite()
	if !accepted {
		s.reportDroppedWrite(request, backingOff)
		return
	}
	s.writes.Put(request)
}

// reserveWrite reserves a place in the write queue, unless the set is closed, the queue is full or a backoff is running.
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

// SendWrites sends the queued writes in order. It runs on a single task and doesn't return.
func (s *Set) SendWrites() {
	for {
		for _, request := range s.writes.TakeAll(monotonic.Second) {
			s.sendWrite(request)
			s.endWrite()
		}
	}
}

// endWrite frees the place of a write in the queue.
func (s *Set) endWrite() {
	s.mu.Lock()
	s.queuedWrites--
	drained := s.queuedWrites == 0
	s.mu.Unlock()
	if drained {
		s.writesDrained.Fire()
	}
}

// sendWrite sends a write, unless the set is degraded, and handles the response.
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

// decideRound ends a round of probes whose last result this proxy has written. The expected version fences the decision: the
// registry doesn't apply it to a later round.
func (s *Set) decideRound(last *wire.BreakerWriteRequest, record *wire.BreakerRecord) {
	_, _ = s.write(&wire.BreakerWriteRequest{
		Service:         last.Service,
		Verb:            breakerstore.VerbDecide,
		ExpectedVersion: record.Version,
		Decision:        breakerstore.EvaluateRound(record),
		Proxy:           s.config.Proxy,
		Incarnation:     s.config.Incarnation,
		Settings:        last.Settings,
	}) // on an error the set is degraded already, and the registry ends the round itself after a timeout
}

// write sends a write to the registry and applies the record in the response. An error makes the set degraded.
func (s *Set) write(request *wire.BreakerWriteRequest) (*wire.BreakerWriteResponse, error) {
	response := &wire.BreakerWriteResponse{}
	if err := s.config.Call(wire.Kind_breaker_write, request, response, writeTimeout); err != nil {
		s.enterDegraded(err)
		return nil, err
	}
	s.applyRecord(s.breakerFor(request.Service), response.Record)
	return response, nil
}

// Close waits until the queued writes are sent, for at most timeout microseconds. Afterwards writes are dropped and local
// breakers decide.
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
