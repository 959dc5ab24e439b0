package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission/slots"
	"snowflow/internal/proxy/outlier"
)

// Report is one whole word of a backend about itself. Saying it again changes nothing.
type Report struct {
	Backend
	Slots     uint32           // how many requests it runs at once; zero if it doesn't say
	Warmup    monotonic.Micros // how long it will still be slower
	Condition string
	Sequence  uint64 // rises with every report of an instance
}

// tombstone keeps late reports of an instance from bringing it back. One that said goodbye doesn't come back by
// registering either; one that only lost its address to another may register.
type tombstone struct {
	until    monotonic.Micros
	departed bool
}

// ApplyReport takes a backend's report: it registers it or notes a sign of life. A report that isn't newer than the last one of its
// instance, or of an instance that ended, is ignored. changed tells whether others should hear of it; they are told.
func (s *Set) ApplyReport(report Report) (changed bool, err error) {
	if !conditions[report.Condition] {
		return false, apierror.Invalid.New("condition %q is not alive, working or leaving", report.Condition)
	}
	if report.Service == "" || report.Instance == "" || report.Address == "" {
		return false, apierror.Invalid.New("a backend needs service, instance and address")
	}
	s.mu.Lock()
	now, state := s.host.Now(), s.entries[report.Instance]
	if stone, ended := s.tombstones[report.Instance]; ended && now < stone.until {
		s.mu.Unlock()
		return false, nil
	}
	fresh := state == nil
	if !fresh && (state.departed || state.reported && report.Sequence <= state.sequence) {
		s.mu.Unlock()
		return false, nil
	}
	if !fresh && state.Backend != report.Backend {
		s.mu.Unlock()
		return false, apierror.Invalid.New("instance %s is registered otherwise; take a new instance id", report.Instance)
	}
	if fresh {
		state = s.addBackend(report.Backend)
	}
	state.reported, state.sequence = true, report.Sequence
	warm := state.warmUntil > now
	state.warmUntil = now + max(report.Warmup, 0)
	changed = fresh || state.slots.Count() != report.Slots || warm != (report.Warmup > 0)
	state.slots.SetCount(now, report.Slots)
	changed = s.recordHeartbeat(state, report.Condition) || changed
	s.mu.Unlock()
	if fresh {
		s.host.Report(eventlog.BackendRegistered, map[string]any{"service": report.Service, "instance": report.Instance, "address": report.Address})
	}
	if changed && !fresh && report.Condition == Leaving {
		s.host.Report(eventlog.BackendLeft, map[string]any{"instance": report.Instance, "condition": report.Condition})
	}
	if changed {
		s.onChange()
	}
	return changed, nil
}

// Deregister is a backend's goodbye. Nothing brings the instance back.
func (s *Set) Deregister(instance string) {
	s.mu.Lock()
	now, state := s.host.Now(), s.entries[instance]
	if state == nil || state.departed {
		if state == nil {
			s.tombstones[instance] = tombstone{until: now + forgetAfter, departed: true}
		}
		s.mu.Unlock()
		return
	}
	// The entry itself is its tombstone until Sweep forgets it.
	changed := state.condition != Leaving || state.overdue
	state.condition, state.lastHeartbeat, state.overdue, state.departed = Leaving, now, false, true
	state.slots.Flush(now)
	s.mu.Unlock()
	if changed {
		s.host.Report(eventlog.BackendLeft, map[string]any{"instance": instance, "condition": Leaving})
		s.onChange()
	}
}

// admit makes an instance's entry. Whoever was at its address before has ended.
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

func (s *Set) warmupLeft(state *backendState) monotonic.Micros {
	return max(state.warmUntil-s.host.Now(), 0)
}
