package discovery

import "slices"

// targetTurns chooses the targets of discover requests: in turn, those that answered their last request, or that were never asked, apart
// from those that did not answer. Its owner holds a lock.
type targetTurns struct {
	pending map[string]bool // targets that have not answered yet
	silent  map[string]bool // targets that did not answer their last request
	// nextResponsive and nextSilent count the targets that were passed in each turn.
	nextResponsive, nextSilent int
}

func newTargetTurns() targetTurns {
	return targetTurns{pending: map[string]bool{}, silent: map[string]bool{}}
}

// take chooses the next of the silent targets, or of the others, and marks it pending. It skips those that are pending, since others may
// answer, and returns an empty string if there is no other.
func (t *targetTurns) take(targets []string, silent bool) string {
	next := &t.nextResponsive
	if silent {
		next = &t.nextSilent
	}
	for range targets {
		target := targets[*next%len(targets)]
		*next++
		if t.silent[target] == silent && !t.pending[target] {
			t.pending[target] = true
			return target
		}
	}
	return ""
}

// release marks a target as not pending, so that it may be chosen again, and records whether it answered.
func (t *targetTurns) release(target string, answered bool) {
	delete(t.pending, target)
	if answered {
		delete(t.silent, target)
		return
	}
	t.silent[target] = true
}

// targets returns the addresses to send discover requests to: the seeds, then the other known addresses.
func (r *Resolver) targets() []string {
	r.lock.Lock()
	targets := slices.Clone(r.seeds)
	r.lock.Unlock()
	for _, known := range r.Peers() {
		isSelf := r.self != nil && known.Name == r.self.Name
		if !isSelf && !slices.Contains(targets, known.Address) {
			targets = append(targets, known.Address)
		}
	}
	return targets
}

func (r *Resolver) takeTarget(targets []string, silent bool) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.turns.take(targets, silent)
}

func (r *Resolver) releaseTarget(target string, answered bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.turns.release(target, answered)
}
