package daemon

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"snowflow/internal/monotonic"
)

// moveClockOnSignal moves the process's clock at each SIGUSR1 by the number of microseconds that a file holds, to simulate a faulty
// clock in rehearsals.
func (d *Daemon) moveClockOnSignal(path string) {
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() { // runs as long as the process
		for range signals {
			if jump, err := readJump(path); err == nil {
				d.Host.Jump(jump)
			}
		}
	}()
}

// readJump reads the number of microseconds by which to move the clock from a file. A negative number moves it back.
func readJump(path string) (monotonic.Micros, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	var jump int64
	_, err = fmt.Sscan(string(content), &jump)
	return monotonic.Micros(jump), err
}
