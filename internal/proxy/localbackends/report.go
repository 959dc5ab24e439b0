package localbackends

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
)

// Report is the complete state that a backend reports about itself. Applying a report twice has the same effect as applying it once.
type Report struct {
	Backend
	Slots     uint32           // number of requests that it runs at once; zero if it does not report that
	Warmup    monotonic.Micros // how long it will still be warming up, that is, be slower than usual
	Condition string
	Sequence  uint64 // increases with each report of an instance
}

// tombstone makes the set ignore late reports of an instance that has no entry any more. If the instance deregistered, it can't
// register again either; if it only lost its address to another instance, it can.
type tombstone struct {
	until    monotonic.Micros
	departed bool
}

// ApplyReport registers a backend by its first report and treats later ones as heartbeats. It ignores a report that is not newer
// than the last one of its instance, and one of an instance with a tombstone. changed is true if the report changed what this proxy
// announces; in that case onChange has been called.
func (s *Set) ApplyReport(report Report) (changed bool, err error) {
	if err := validate(report.Backend, report.Condition); err != nil {
		return false, err
	}
	changed, isNew, err := s.applyReport(report)
	if err != nil || !changed {
		return false, err
	}
	if isNew {
		s.reportRegistered(report.Backend)
	} else if report.Condition == Leaving {
		s.reportLeft(report.Instance, report.Condition)
	}
	s.onChange()
	return true, nil
}

// applyReport does the work of ApplyReport, except for the notifications; isNew is true if the report registered the backend.
func (s *Set) applyReport(report Report) (changed, isNew bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, state := s.host.Now(), s.entries[report.Instance]
	if entry, found := s.tombstones[report.Instance]; found && now < entry.until {
		return false, false, nil
	}
	isNew = state == nil
	if !isNew && (state.departed || state.reported && report.Sequence <= state.sequence) {
		return false, false, nil
	}
	if !isNew && state.Backend != report.Backend {
		return false, false, apierror.Invalid.New("instance %s is registered otherwise; take a new instance id", report.Instance)
	}
	if isNew {
		state = s.addBackend(report.Backend)
	}
	state.reported, state.sequence = true, report.Sequence
	warming := state.warmUntil > now
	state.warmUntil = now + max(report.Warmup, 0)
	changed = isNew || state.slots.Count() != report.Slots || warming != (report.Warmup > 0)
	state.slots.SetCount(now, report.Slots)
	changed = s.recordHeartbeat(state, report.Condition) || changed
	return changed, isNew, nil
}
