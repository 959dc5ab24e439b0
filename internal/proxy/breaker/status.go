package breaker

import (
	"snowflow/internal/registry/breakerstore"
	"snowflow/internal/transport/wire"
)

// Status describes one breaker on a proxy for operators.
type Status struct {
	Service string `json:"service"`
	// Shared and Version are the state and the version of the shared record: closed and 0 until the registry has sent one.
	Shared  string  `json:"shared"`
	Version uint64  `json:"serial"`
	Local   string  `json:"local"` // the state of the local breaker
	Control Control `json:"control,omitempty"`
	Calls   uint64  `json:"calls"`  // calls counted since the proxy started
	Failed  uint64  `json:"failed"` // failed ones among Calls
	Window  int     `json:"window"` // number of calls in the window
}

// Statuses returns the status of each breaker, sorted by service name.
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

// TakeActivity returns the activity of each service that was called or for which admission was requested since the last
// TakeActivity.
func (s *Set) TakeActivity() (activity []*wire.Activity) {
	for _, b := range s.sortedBreakers() {
		if taken := b.takeActivity(); taken != nil {
			activity = append(activity, taken)
		}
	}
	return activity
}

// takeActivity returns nil if there was no activity since its last call.
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
