// Package monotonic holds time as snowflow counts it: whole microseconds on one process's monotonic clock.
// Nothing compares the readings of two machines.
package monotonic

import (
	"syscall"
	"time"
	"unsafe"

	"go.uber.org/atomic"
)

// Micros is a span or a reading of a monotonic clock, in whole microseconds.
// A reading only has meaning within the process that took it.
type Micros int64

const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
	// Forever is a patience that never ends.
	Forever Micros = 1 << 61
)

// Duration turns a span into the standard library's form.
func (micros Micros) Duration() time.Duration { return time.Duration(micros) * time.Microsecond }

// Of turns a standard span into whole microseconds.
func Of(duration time.Duration) Micros { return Micros(duration / time.Microsecond) }

// Clock reads monotonic time.
type Clock interface{ Now() Micros }

// Machine is the clock of the real machine, counted from the moment it was made. It goes on while the machine is suspended,
// which Go's own monotonic clock doesn't: a process must not wake with a tenure that others saw end.
type Machine struct {
	origin atomic.Int64
	// unsuspended reads the library's monotonic clock instead, for machines that are never suspended: it costs no system call.
	unsuspended bool
	began       time.Time
}

// NewMachine starts a clock. It starts at an hour, so that subtracting spans early on stays positive.
func NewMachine() *Machine {
	machine := &Machine{}
	machine.origin.Store(int64(sinceBoot() - 60*Minute))
	return machine
}

// Leap moves the clock, as a broken one would step. Only rehearsals do.
func (machine *Machine) Leap(span Micros) { machine.origin.Sub(int64(span)) }

// Unsuspended has the clock go by the library's monotonic clock, which stands still while the machine is suspended. It's called
// before anything reads the clock.
func (machine *Machine) Unsuspended() {
	machine.unsuspended, machine.began = true, time.Now()
	machine.origin.Store(-int64(60 * Minute))
}

// Now reads the clock. Jumps of the wall clock don't show.
func (machine *Machine) Now() Micros {
	if machine.unsuspended {
		return Of(time.Since(machine.began)) - Micros(machine.origin.Load())
	}
	return sinceBoot() - Micros(machine.origin.Load())
}

// bootClock is Linux's CLOCK_BOOTTIME.
const bootClock = 7

// sinceBoot is the time since the machine was started, suspended or not. The call can't block, so the scheduler need not
// hear of it.
func sinceBoot() Micros {
	var now syscall.Timespec
	if _, _, fault := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, bootClock, uintptr(unsafe.Pointer(&now)), 0); fault != 0 {
		panic("postmark: no clock: " + fault.Error()) // every Linux since 2.6.39 has it
	}
	return Micros(now.Nano() / 1000)
}
