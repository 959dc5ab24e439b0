package replication

import (
	"sync"

	"snowflow/internal/eventlog"
	"snowflow/internal/host"
	"snowflow/internal/wal"
)

// reservedBytes is the space reserved on disk, so that a file can be rewritten when the disk is full.
const reservedBytes = 1 << 20

// storage opens a group's files and handles a full disk, a corrupt file and a failed sync.
type storage struct {
	host  host.Host
	group string

	mu      sync.Mutex // guards stopped
	stopped bool
}

// fileName returns the name of one of the group's files.
func (s *storage) fileName(name string) string { return s.group + "." + name }

// openLog opens a file and replays its records. If the file is corrupt, it is replaced by an empty one, and reset must undo what
// was replayed.
func (s *storage) openLog(name string, replay func(content []byte) error, reset func() error) (*wal.Log, error) {
	file := s.fileName(name)
	log, err := wal.Open(s.host.Disk(), file, replay)
	if isCorrupt(err) {
		s.host.Report(eventlog.DiskCorrupted, eventlog.Attributes{"file": file, "error": err.Error()})
		if log, err = wal.Recreate(s.host.Disk(), file); err == nil {
			err = reset()
		}
	}
	if err != nil {
		return nil, err
	}
	if log.TruncatedBytes > 0 {
		s.host.Report(eventlog.DiskTornTail, eventlog.Attributes{"file": file, "bytes": log.TruncatedBytes})
	}
	return log, nil
}

// reserve reserves the disk space that releaseReserve frees.
func (s *storage) reserve() error { return wal.ReserveSpace(s.host.Disk(), reservedBytes) }

// releaseReserve frees the reserved space after the disk has become full, and reports whether it did.
func (s *storage) releaseReserve() bool {
	s.host.Report(eventlog.DiskFull, eventlog.Attributes{"group": s.group})
	return wal.ReleaseReservedSpace(s.host.Disk()) == nil
}

// stopOnSyncFailure ends the process if err is a failed sync of a file, because what the disk holds is then unknown. It returns err.
func (s *storage) stopOnSyncFailure(name string, err error) error {
	if isSyncFailure(err) {
		s.stop(name + ": " + err.Error())
	}
	return err
}

// stop ends the process. Only the first call reports why.
func (s *storage) stop(reason string) {
	s.mu.Lock()
	already := s.stopped
	s.stopped = true
	s.mu.Unlock()
	if !already {
		s.host.Report(eventlog.DiskSyncFailed, eventlog.Attributes{"group": s.group, "error": reason})
		s.host.Stop(reason)
	}
}
