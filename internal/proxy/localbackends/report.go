package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

// Report is the complete state that a backend reports about itself. Applying one twice changes nothing.
type Report struct {
	Backend
	Slots     uint32           // number of requests that it runs at once; zero if it does not report that
	Warmup    monotonic.Micros // how long it will still be warming up, that is, slower than usual
	Condition string
	Sequence  uint64 // rises with each report of an instance
}

// tombstone makes the set ignore late reports of an instance without an entry. An instance that deregistered can't register again
// either; one that only lost its address to another can.
type tombstone struct {
	until    monotonic.Micros
	departed bool
}

// ApplyReport registers a backend by its first report and takes later ones as heartbeats. It ignores a report that is not newer
// than the last one of its instance, and one of an instance with a tombstone. changed is true if the report changed what this proxy
// announces; onChange was called then.
func (s *Set) ApplyReport(report Report) (changed bool, err error) {
	if err := validate(report.Backend, report.Condition); err != nil {
		return false, err
	}
	changed, fresh, err := s.applyReport(report)
	if err != nil || !changed {
		return false, err
	}
	if fresh {
		s.reportRegistered(report.Backend)
	} else if report.Condition == Leaving {
		s.reportLeft(report.Instance, report.Condition)
	}
	s.onChange()
	return true, nil
}

// applyReport does the work of ApplyReport; fresh is true if the report registered the backend.
func (s *Set) applyReport(report Report) (changed, fresh bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, state := s.host.Now(), s.entries[report.Instance]
	if ended, found := s.tombstones[report.Instance]; found && now < ended.until {
		return false, false, nil
	}
	fresh = state == nil
	if !fresh && (state.departed || state.reported && report.Sequence <= state.sequence) {
		return false, false, nil
	}
	if !fresh && state.Backend != report.Backend {
		return false, false, apierror.Invalid.New("instance %s is registered otherwise; take a new instance id", report.Instance)
	}
	if fresh {
		state = s.addBackend(report.Backend)
	}
	state.reported, state.sequence = true, report.Sequence
	warming := state.warmUntil > now
	state.warmUntil = now + max(report.Warmup, 0)
	changed = fresh || state.slots.Count() != report.Slots || warming != (report.Warmup > 0)
	state.slots.SetCount(now, report.Slots)
	changed = s.recordHeartbeat(state, report.Condition) || changed
	return changed, fresh, nil
}
