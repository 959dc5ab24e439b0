package breaker

import (
	"snowflow/internal/apierror"
	"snowflow/internal/eventlog"
)

// Control is an operator's override of one service's breaker on this proxy. It goes before the shared record.
type Control string

const (
	// ControlNone lets the breaker decide.
	ControlNone Control = ""
	// ControlForceOpen rejects every attempt.
	ControlForceOpen Control = "force_open"
	// ControlDisable admits every attempt and counts none.
	ControlDisable Control = "disable"
	// ControlMetricsOnly admits every attempt, and still counts the outcomes.
	ControlMetricsOnly Control = "metrics_only"
)

// controlVerbs are the controls by the words that operators give. A reset clears the control and the local breaker, not the
// shared record.
var controlVerbs = map[string]Control{
	"force_open":   ControlForceOpen,
	"disable":      ControlDisable,
	"metrics_only": ControlMetricsOnly,
	"reset":        ControlNone,
}

// SetControl sets a service's control by the word that an operator gave: force_open, disable, metrics_only or reset. Another
// word is an error of the type apierror.Invalid.
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
