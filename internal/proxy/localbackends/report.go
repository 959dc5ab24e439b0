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
	until monotonic.Micros
	gone  bool
}

// Tell takes a backend's report: it registers it or notes a sign of life. A report that isn't newer than the last one of its
// instance, or of an instance that ended, is ignored. changed tells whether others should hear of it; they are told.
func (hutch *Hutch) Tell(report Report) (changed bool, err error) {
	if !conditions[report.Condition] {
		return false, apierror.Invalid.New("condition %q is not alive, working or leaving", report.Condition)
	}
	if report.Service == "" || report.Instance == "" || report.Address == "" {
		return false, apierror.Invalid.New("a backend needs service, instance and address")
	}
	hutch.lock.Lock()
	now, present := hutch.place.Now(), hutch.entries[report.Instance]
	if stone, ended := hutch.ended[report.Instance]; ended && now < stone.until {
		hutch.lock.Unlock()
		return false, nil
	}
	fresh := present == nil
	if !fresh && (present.gone || present.reported && report.Sequence <= present.sequence) {
		hutch.lock.Unlock()
		return false, nil
	}
	if !fresh && present.Backend != report.Backend {
		hutch.lock.Unlock()
		return false, apierror.Invalid.New("instance %s is registered otherwise; take a new instance id", report.Instance)
	}
	if fresh {
		present = hutch.admit(report.Backend)
	}
	present.reported, present.sequence = true, report.Sequence
	warm := present.warmUntil > now
	present.warmUntil = now + max(report.Warmup, 0)
	changed = fresh || present.slots.Count() != report.Slots || warm != (report.Warmup > 0)
	present.slots.SetCount(now, report.Slots)
	changed = hutch.beat(present, report.Condition) || changed
	hutch.lock.Unlock()
	if fresh {
		hutch.place.Report(eventlog.BackendRegistered, map[string]any{"service": report.Service, "instance": report.Instance, "address": report.Address})
	}
	if changed && !fresh && report.Condition == Leaving {
		hutch.place.Report(eventlog.BackendLeft, map[string]any{"instance": report.Instance, "condition": report.Condition})
	}
	if changed {
		hutch.changed()
	}
	return changed, nil
}

// Gone is a backend's goodbye. Nothing brings the instance back.
func (hutch *Hutch) Gone(instance string) {
	hutch.lock.Lock()
	now, present := hutch.place.Now(), hutch.entries[instance]
	if present == nil || present.gone {
		if present == nil {
			hutch.ended[instance] = tombstone{until: now + forget, gone: true}
		}
		hutch.lock.Unlock()
		return
	}
	// The entry itself is its tombstone until Sweep forgets it.
	changed := present.condition != Leaving || present.overdue
	present.condition, present.beat, present.overdue, present.gone = Leaving, now, false, true
	present.slots.Flush(now)
	hutch.lock.Unlock()
	if changed {
		hutch.place.Report(eventlog.BackendLeft, map[string]any{"instance": instance, "condition": Leaving})
		hutch.changed()
	}
}

// admit makes an instance's entry. Whoever was at its address before has ended.
func (hutch *Hutch) admit(backend Backend) *entry {
	now := hutch.place.Now()
	for instance, other := range hutch.entries {
		if other.Address == backend.Address {
			other.slots.Flush(now)
			delete(hutch.entries, instance)
			hutch.ended[instance] = tombstone{until: now + forget, gone: other.gone}
		}
	}
	delete(hutch.ended, backend.Instance)
	present := &entry{Backend: backend, classes: map[bool]uint32{}, slots: slots.New(hutch.Terms), standing: outlier.New()}
	hutch.entries[backend.Instance] = present
	return present
}

func (hutch *Hutch) warm(present *entry) monotonic.Micros {
	return max(present.warmUntil-hutch.place.Now(), 0)
}
