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
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration turns a standard span into whole microseconds.
func FromDuration(duration time.Duration) Micros { return Micros(duration / time.Microsecond) }

// Clock reads monotonic time.
type Clock interface{ Now() Micros }

// SystemClock is the clock of the real machine, counted from the moment it was made. It goes on while the machine is suspended,
// which Go's own monotonic clock doesn't: a process must not wake with a tenure that others saw end.
type SystemClock struct {
	origin atomic.Int64
	// excludeSuspend reads the library's monotonic clock instead, for machines that are never suspended: it costs no system call.
	excludeSuspend bool
	startedAt      time.Time
}

// NewSystemClock starts a clock. It starts at an hour, so that subtracting spans early on stays positive.
func NewSystemClock() *SystemClock {
	clock := &SystemClock{}
	clock.origin.Store(int64(sinceBoot() - 60*Minute))
	return clock
}

// Jump moves the clock, as a broken one would step. Only rehearsals do.
func (c *SystemClock) Jump(duration Micros) { c.origin.Sub(int64(duration)) }

// ExcludeSuspend has the clock go by the library's monotonic clock, which stands still while the machine is suspended. It's called
// before anything reads the clock.
func (c *SystemClock) ExcludeSuspend() {
	c.excludeSuspend, c.startedAt = true, time.Now()
	c.origin.Store(-int64(60 * Minute))
}

// Now reads the clock. Jumps of the wall clock don't show.
func (c *SystemClock) Now() Micros {
	if c.excludeSuspend {
		return FromDuration(time.Since(c.startedAt)) - Micros(c.origin.Load())
	}
	return sinceBoot() - Micros(c.origin.Load())
}

// clockBootTime is Linux's CLOCK_BOOTTIME.
const clockBootTime = 7

// sinceBoot is the time since the machine was started, suspended or not. The call can't block, so the scheduler need not
// hear of it.
func sinceBoot() Micros {
	var now syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&now)), 0); errno != 0 {
		panic("postmark: no clock: " + errno.Error()) // every Linux since 2.6.39 has it
	}
	return Micros(now.Nano() / 1000)
}
