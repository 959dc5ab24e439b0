package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/outlier"
)

// Register adds a backend in the condition that it reports, or renews its registration. A leaving backend can't register again in
// another condition. An instance that had the same address before is removed.
func (s *Set) Register(backend Backend, condition string) error {
	if err := validate(backend, condition); err != nil {
		return err
	}
	if err := s.register(backend, condition); err != nil {
		return err
	}
	s.reportRegistered(backend)
	s.onChange()
	return nil
}

func (s *Set) register(backend Backend, condition string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.entries[backend.Instance]
	if state != nil && (state.Backend != backend || state.condition == Leaving && condition != Leaving) {
		return apierror.Invalid.New("instance %s is registered otherwise or leaving; take a new instance id", backend.Instance)
	}
	if state != nil && state.departed || s.tombstones[backend.Instance].departed {
		return apierror.Invalid.New("instance %s has deregistered; take a new instance id", backend.Instance)
	}
	if state == nil {
		state = s.addBackend(backend)
	}
	state.condition, state.lastHeartbeat, state.overdue = condition, s.host.Now(), false
	return nil
}

func validate(backend Backend, condition string) error {
	if err := validateCondition(condition); err != nil {
		return err
	}
	if backend.Service == "" || backend.Instance == "" || backend.Address == "" {
		return apierror.Invalid.New("a backend needs service, instance and address")
	}
	return nil
}

func validateCondition(condition string) error {
	if !conditions[condition] {
		return apierror.Invalid.New("condition %q is not alive, working or leaving", condition)
	}
	return nil
}

// addBackend adds an entry for an instance and removes the entry of the instance that had its address. The caller holds mu.
func (s *Set) addBackend(backend Backend) *backendState {
	now := s.host.Now()
	for instance, other := range s.entries {
		if other.Address == backend.Address {
			other.slots.Flush(now)
			delete(s.entries, instance)
			s.tombstones[instance] = tombstone{until: now + forgetAfter, departed: other.departed}
		}
	}
	delete(s.tombstones, backend.Instance)
	state := &backendState{Backend: backend, inFlight: map[bool]uint32{}, slots: slots.New(s.Limits), detector: outlier.New()}
	s.entries[backend.Instance] = state
	return state
}

// Heartbeat records that a backend is alive, and its condition. It fails for an unknown instance, which must register again.
func (s *Set) Heartbeat(instance, condition string) error {
	if err := validateCondition(condition); err != nil {
		return err
	}
	s.mu.Lock()
	state := s.entries[instance]
	if state == nil {
		s.mu.Unlock()
		return apierror.Refused.New("instance %s is not registered here", instance)
	}
	changed := !state.departed && s.recordHeartbeat(state, condition)
	s.mu.Unlock()
	if changed {
		s.reportLeft(instance, condition)
		s.onChange()
	}
	return nil
}

// recordHeartbeat applies a heartbeat and reports whether it changed something that other proxies should learn of. The caller holds
// mu.
func (s *Set) recordHeartbeat(state *backendState, condition string) (changed bool) {
	changed = state.overdue
	state.lastHeartbeat, state.overdue = s.host.Now(), false
	if state.condition != Leaving {
		changed = changed || condition == Leaving
		state.condition = condition
	}
	if state.condition == Leaving {
		state.slots.Flush(state.lastHeartbeat)
	}
	return changed
}

// ExtendHeartbeats gives each backend that is not overdue a duration more for its next heartbeat, because this process's clock
// jumped ahead by that duration or because the process was stalled and could not receive heartbeats.
func (s *Set) ExtendHeartbeats(duration monotonic.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.Now()
	for _, state := range s.entries {
		if !state.overdue {
			state.lastHeartbeat = min(now, state.lastHeartbeat+duration)
		}
	}
}

// Sweep marks the backends whose heartbeats are overdue and removes those without a heartbeat for forgetAfter.
func (s *Set) Sweep() {
	overdue := s.sweep()
	for _, instance := range overdue {
		s.host.Report(eventlog.BackendHeartbeatOverdue, eventlog.Attributes{"instance": instance})
	}
	if len(overdue) > 0 {
		s.onChange()
	}
}

// sweep does the work of Sweep, except for the notifications, and returns the instances that have become overdue.
func (s *Set) sweep() (overdue []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.host.Now()
	for _, instance := range s.sortedInstances() {
		state := s.entries[instance]
		sinceHeartbeat := now - state.lastHeartbeat
		if sinceHeartbeat >= forgetAfter {
			state.slots.Flush(now)
			delete(s.entries, instance)
			continue
		}
		if !state.overdue && !state.departed && sinceHeartbeat >= HeartbeatTimeout {
			state.overdue = true
			state.slots.Flush(now)
			overdue = append(overdue, instance)
		}
	}
	for instance, entry := range s.tombstones {
		if now >= entry.until {
			delete(s.tombstones, instance)
		}
	}
	return overdue
}

// Deregister ends an instance's registration. The instance gets no more requests, and its id can't be registered again until its
// entry or tombstone is removed, see forgetAfter.
func (s *Set) Deregister(instance string) {
	if s.deregister(instance) {
		s.reportLeft(instance, Leaving)
		s.onChange()
	}
}

// deregister reports whether other proxies should learn of the change.
func (s *Set) deregister(instance string) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, state := s.host.Now(), s.entries[instance]
	if state == nil {
		s.tombstones[instance] = tombstone{until: now + forgetAfter, departed: true}
		return false
	}
	if state.departed {
		return false
	}
	// The entry itself serves as the tombstone until Sweep removes it.
	changed = state.condition != Leaving || state.overdue
	state.condition, state.lastHeartbeat, state.overdue, state.departed = Leaving, now, false, true
	state.slots.Flush(now)
	return changed
}

func (s *Set) reportRegistered(backend Backend) {
	s.host.Report(eventlog.BackendRegistered, eventlog.Attributes{
		"service":  backend.Service,
		"instance": backend.Instance,
		"address":  backend.Address,
	})
}

func (s *Set) reportLeft(instance, condition string) {
	s.host.Report(eventlog.BackendLeft, eventlog.Attributes{"instance": instance, "condition": condition})
}
