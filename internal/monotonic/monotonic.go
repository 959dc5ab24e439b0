// Package monotonic measures time in whole microseconds on a process's monotonic clock. Readings of different processes are never
// compared.
package monotonic

import (
	"syscall"
	"time"
	"unsafe"

	"go.uber.org/atomic"
)

// Micros is a duration, or a timestamp of a monotonic clock, in whole microseconds. A timestamp is only meaningful within the process
// that took it.
type Micros int64

// Units of duration, and a timeout without a limit.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
	Minute      Micros = 60 * Second
	// Forever is a timeout that never expires.
	Forever Micros = 1 << 61
)

// Duration converts a duration to the standard library's type.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// FromDuration converts a standard duration, rounded towards zero.
func FromDuration(duration time.Duration) Micros { return Micros(duration / time.Microsecond) }

// Clock is a monotonic clock.
type Clock interface {
	// Now returns the current timestamp.
	Now() Micros
}

// SystemClock is the operating system's clock of the time since boot. Unlike Go's monotonic clock, it includes the time during
// which the machine is suspended: a process must not wake up holding a lease that has expired for other processes. It is safe for
// concurrent use.
type SystemClock struct {
	origin         atomic.Int64 // the underlying clock's reading at which this one reads zero, in microseconds
	excludeSuspend bool         // whether Go's monotonic clock is used instead
	startedAt      time.Time    // set if excludeSuspend is
}

// firstReading is what a new clock reads. It is above zero so that durations can be subtracted from early timestamps.
const firstReading = 60 * Minute

// NewSystemClock returns a clock that reads one hour at first.
func NewSystemClock() *SystemClock {
	clock := &SystemClock{}
	clock.origin.Store(int64(sinceBoot() - firstReading))
	return clock
}

// Jump moves the clock ahead by a duration, or back if it is negative. Rehearsals use it to simulate a faulty clock.
func (c *SystemClock) Jump(duration Micros) { c.origin.Sub(int64(duration)) }

// ExcludeSuspend makes the clock use Go's monotonic clock, which stops while the machine is suspended, but needs no system call.
// It must be called before the clock is first read.
func (c *SystemClock) ExcludeSuspend() {
	c.excludeSuspend, c.startedAt = true, time.Now()
	c.origin.Store(-int64(firstReading))
}

// Now returns the current timestamp. Steps of the wall clock do not affect it.
func (c *SystemClock) Now() Micros {
	if c.excludeSuspend {
		return FromDuration(time.Since(c.startedAt)) - Micros(c.origin.Load())
	}
	return sinceBoot() - Micros(c.origin.Load())
}

// clockBootTime is the identifier of Linux's CLOCK_BOOTTIME.
const clockBootTime = 7

// sinceBoot returns the time since the machine booted, including the time while it was suspended. The system call never blocks, so
// it is made without notifying the Go scheduler, which costs several times as much.
func sinceBoot() Micros {
	var now syscall.Timespec
	if _, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&now)), 0); errno != 0 {
		panic("monotonic: no boot-time clock: " + errno.Error()) // Linux has had it since 2.6.39
	}
	return FromDuration(time.Duration(now.Nano()))
}
