package breaker

import (
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// Status is one breaker as an operator sees it on a proxy.
type Status struct {
	Service string `json:"service"`
	// Shared is the state of the shared record, and Version the record's version; 0 until the registry has sent one.
	Shared  string  `json:"shared"`
	Version uint64  `json:"serial"`
	Local   string  `json:"local"` // state of the local breaker
	Control Control `json:"control,omitempty"`
	Calls   uint64  `json:"calls"`
	Failed  uint64  `json:"failed"`
	Window  int     `json:"window"` // calls that the window holds
}

// Statuses lists all breakers by the names of their services.
func (s *Set) Statuses() (statuses []Status) {
	for _, b := range s.sortedBreakers() {
		statuses = append(statuses, b.status())
	}
	return statuses
}

func (b *serviceBreaker) status() Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	status := Status{
		Service: b.service,
		Shared:  breakerstore.Closed,
		Local:   b.local.state,
		Control: b.control,
		Calls:   b.calls,
		Failed:  b.failedCalls,
		Window:  b.window.filled,
	}
	if b.shared != nil {
		status.Shared, status.Version = b.shared.State, b.shared.Version
	}
	return status
}

// TakeActivity returns the services that were called, or to which an attempt asked for admission, since the last call.
func (s *Set) TakeActivity() (activity []*wire.Activity) {
	for _, b := range s.sortedBreakers() {
		if taken := b.takeActivity(); taken != nil {
			activity = append(activity, taken)
		}
	}
	return activity
}

// takeActivity returns nil if there was none.
func (b *serviceBreaker) takeActivity() *wire.Activity {
	b.mu.Lock()
	defer b.mu.Unlock()
	calls, admissions := b.calls-b.reportedCalls, b.admissions-b.reportedAdmissions
	if calls == 0 && admissions == 0 {
		return nil
	}
	b.reportedCalls, b.reportedAdmissions = b.calls, b.admissions
	return &wire.Activity{Service: b.service, Calls: calls, Failures: b.failedCalls, Attempts: admissions}
}
