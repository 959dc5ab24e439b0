package replication

import (
	"errors"
	"slices"
	"sync"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

const (
	// probeAfter is how long a backup may take to respond to a batch before it is probed with a small request. A slow disk delays
	// the batch, but not the probe.
	probeAfter = 100 * monotonic.Millisecond
	// probeTimeout is how long a probe may take. It is well above the longest round trip.
	probeTimeout = 150 * monotonic.Millisecond
)

// replicateCall is a request with a batch to one backup, and its outcome. Only the first call of finish has an effect.
type replicateCall struct {
	backup *wire.MemberID
	done   host.Signal

	mu       sync.Mutex // guards the fields below
	finished bool
	err      error
	elapsed  monotonic.Micros
}

func (c *replicateCall) finish(err error, elapsed monotonic.Micros) {
	c.mu.Lock()
	if !c.finished {
		c.finished, c.err, c.elapsed = true, err, elapsed
	}
	c.mu.Unlock()
	c.done.Fire()
}

func (c *replicateCall) isFinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished
}

// replicateCalls holds the calls of one batch.
type replicateCalls struct {
	member  *Member
	calls   []*replicateCall
	started monotonic.Micros
	timeout monotonic.Micros
}

// replicate sends entries to every backup concurrently. The timeout is longer if a backup is a last resort that can't be replaced.
func (m *Member) replicate(state leadership, request *wire.ReplicateRequest) *replicateCalls {
	r := &replicateCalls{member: m, started: m.host.Now(), timeout: m.config.CallTimeout}
	if state.lastResort {
		r.timeout = m.config.lastResortTimeout()
	}
	for _, backup := range state.backups {
		r.calls = append(r.calls, r.send(backup, request))
	}
	return r
}

func (r *replicateCalls) send(backup *wire.MemberID, request *wire.ReplicateRequest) *replicateCall {
	m := r.member
	call := &replicateCall{backup: backup, done: m.host.NewSignal()}
	addressed := addressedTo(backup, request)
	m.host.Go(func() {
		response := &wire.ReplicateResponse{}
		err := m.resolver.Call(backup.Name, wire.Kind_replicate, addressed, response, r.timeout)
		if err == nil && !response.Stored {
			err = errors.New(response.Reason)
		}
		call.finish(err, m.host.Now()-r.started)
	})
	return call
}

// addressedTo returns a copy of a request that is addressed to one backup.
func addressedTo(backup *wire.MemberID, request *wire.ReplicateRequest) *wire.ReplicateRequest {
	return &wire.ReplicateRequest{
		To: backup.Name, From: request.From, ToIncarnation: backup.Incarnation, Epoch: request.Epoch,
		PreviousEpoch: request.PreviousEpoch, PreviousSequence: request.PreviousSequence,
		LeaderClock: request.LeaderClock, Entries: request.Entries,
	}
}

// wait returns once every call is finished. A backup that responds neither to the batch nor to a probe is given up on before the
// timeout.
func (r *replicateCalls) wait() {
	m := r.member
	mayGiveUp := r.timeout <= m.config.CallTimeout // not a last-resort backup, whose timeout is longer
	for _, call := range r.calls {
		if mayGiveUp && !call.done.Wait(probeAfter) && m.isUnresponsive(call) {
			call.finish(errBackupUnresponsive, m.host.Now()-r.started)
		}
		for !call.isFinished() {
			call.done.Wait(monotonic.Minute) // the length doesn't matter: finish fires the signal
		}
	}
}

// isUnresponsive reports whether a backup doesn't respond to a probe either, provided that another voter that could take its place
// has responded within a lease's duration.
func (m *Member) isUnresponsive(call *replicateCall) bool {
	name := call.backup.Name
	replaceable := slices.ContainsFunc(m.otherVoters(), func(other string) bool {
		return other != name && m.host.Now()-m.lastResponseAt(other) < m.config.LeaseDuration
	})
	if !replaceable {
		return false
	}
	began := m.host.Now()
	m.host.Go(func() { _, _ = m.readRegister(name) }) // which records when the backup responds
	call.done.Wait(probeTimeout)
	return !call.isFinished() && m.lastResponseAt(name) < began
}

// failures returns the backups that didn't store the batch, and the error of the last of them, or nil if there are none. All calls
// must be finished.
func (r *replicateCalls) failures() (failed []*wire.MemberID, err error) {
	for _, call := range r.calls {
		if call.err != nil {
			failed, err = append(failed, call.backup), call.err
		}
	}
	return failed, err
}

// slowerThan returns the backups that stored the batch but took longer than the threshold. All calls must be finished.
func (r *replicateCalls) slowerThan(threshold monotonic.Micros) (slow []*wire.MemberID) {
	for _, call := range r.calls {
		if call.err == nil && call.elapsed > threshold {
			slow = append(slow, call.backup)
		}
	}
	return slow
}
