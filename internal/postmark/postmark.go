// Package postmark holds time as snowflow counts it: whole microseconds on one process's monotonic clock.
// Nothing compares the readings of two machines.
package postmark

import "time"

// Micros is a span or a reading of a monotonic clock, in whole microseconds.
// A reading only has meaning within the process that took it.
type Micros int64

const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
)

// Duration turns a span into the standard library's form.
func (micros Micros) Duration() time.Duration { return time.Duration(micros) * time.Microsecond }

// Of turns a standard span into whole microseconds.
func Of(duration time.Duration) Micros { return Micros(duration / time.Microsecond) }

// Clock reads monotonic time.
type Clock interface{ Now() Micros }

// Machine is the clock of the real machine, counted from the moment it was made.
type Machine struct{ origin time.Time }

// NewMachine starts a clock. It starts at an hour, so that subtracting spans early on stays positive.
func NewMachine() *Machine { return &Machine{origin: time.Now().Add(-time.Hour)} }

// Now reads the clock. time.Since uses the monotonic reading, so wall-clock jumps don't show.
func (machine *Machine) Now() Micros { return Of(time.Since(machine.origin)) }
