package fleet

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var (
	// errNotRunning is returned by faults that need a running process.
	errNotRunning = errors.New("the process is not running")
	// errNoRecords is returned by CorruptRecords if the process has not written any records.
	errNoRecords = errors.New("the process has no record file")
)

// StepClock sets the difference between a running process's clock and the real one. AllowClockSteps must have been called before the
// process started.
func (p *Process) StepClock(step time.Duration) error {
	if err := os.WriteFile(p.clockFile(), []byte(strconv.FormatInt(step.Microseconds(), 10)), 0o644); err != nil {
		return err
	}
	p.Signal(syscall.SIGUSR1)
	return nil
}

// LimitFileSize limits the size of the files that a running process may write, so that writes fail as on a full disk.
func (p *Process) LimitFileSize(maxBytes uint64) error {
	return p.changeFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = maxBytes })
}

// LiftFileSizeLimit removes the limit that LimitFileSize set.
func (p *Process) LiftFileSizeLimit() error {
	return p.changeFileSizeLimit(func(limit *unix.Rlimit) { limit.Cur = limit.Max })
}

func (p *Process) changeFileSizeLimit(change func(limit *unix.Rlimit)) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return fmt.Errorf("%s: %w", p.Name, errNotRunning)
	}
	var limit unix.Rlimit
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	change(&limit)
	return unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// CorruptRecords flips bits of a byte in the middle of a process's record file, as a bad sector would. The process must not be running.
func (p *Process) CorruptRecords() error {
	names, err := filepath.Glob(filepath.Join(p.DataDir(), "*.journal"))
	if err != nil {
		return err
	}
	if len(names) == 0 {
		return fmt.Errorf("%s: %w", p.Name, errNoRecords)
	}
	content, err := os.ReadFile(names[0])
	if err != nil {
		return err
	}
	content[len(content)/2] ^= 0x55
	return os.WriteFile(names[0], content, 0o640)
}
