package breaker

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
)

// Control is an operator's override of one service's breaker on this proxy. It takes precedence over the shared record.
type Control string

const (
	// ControlNone means no override: the breaker decides.
	ControlNone Control = ""
	// ControlForceOpen rejects every attempt.
	ControlForceOpen Control = "force_open"
	// ControlDisable admits every attempt and doesn't count the outcomes.
	ControlDisable Control = "disable"
	// ControlMetricsOnly admits every attempt and counts the outcomes.
	ControlMetricsOnly Control = "metrics_only"
)

// controlVerbs maps the verbs of the operator API to controls. A reset clears the control and the local breaker, but not the
// shared record.
var controlVerbs = map[string]Control{
	"force_open":   ControlForceOpen,
	"disable":      ControlDisable,
	"metrics_only": ControlMetricsOnly,
	"reset":        ControlNone,
}

// SetControl sets a service's control by an operator's verb: force_open, disable, metrics_only or reset. It returns an
// apierror.Invalid error for any other verb.
func (s *Set) SetControl(service, verb string) error {
	control, known := controlVerbs[verb]
	if !known {
		return apierror.Invalid.New("%q is not force_open, disable, metrics_only or reset", verb)
	}
	b := s.breakerFor(service)
	b.mu.Lock()
	b.control = control
	if control == ControlNone {
		b.resetLocal()
	}
	b.mu.Unlock()
	s.config.Host.Report(eventlog.BreakerManualControl, eventlog.Attributes{"service": service, "control": verb})
	return nil
}
