package discovery

import "slices"

// targetRotation chooses the targets of discover requests: in turn, those that answered their last request, or that were never asked, apart
// from those that did not answer. Its owner holds a lock.
type targetRotation struct {
	pending      map[string]bool // targets that have not answered yet
	unresponsive map[string]bool // targets that did not answer their last request
	// nextResponsive and nextUnresponsive count the targets that were passed in each turn.
	nextResponsive, nextUnresponsive int
}

func newTargetRotation() targetRotation {
	return targetRotation{pending: map[string]bool{}, unresponsive: map[string]bool{}}
}

// take chooses the next of the silent targets, or of the others, and marks it pending. It skips those that are pending, since others may
// answer, and returns an empty string if there is no other.
func (t *targetRotation) take(targets []string, unresponsive bool) string {
	next := &t.nextResponsive
	if unresponsive {
		next = &t.nextUnresponsive
	}
	for range targets {
		target := targets[*next%len(targets)]
		*next++
		if t.unresponsive[target] == unresponsive && !t.pending[target] {
			t.pending[target] = true
			return target
		}
	}
	return ""
}

// release marks a target as not pending, so that it may be chosen again, and records whether it answered.
func (t *targetRotation) release(target string, answered bool) {
	delete(t.pending, target)
	if answered {
		delete(t.unresponsive, target)
		return
	}
	t.unresponsive[target] = true
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

func (r *Resolver) takeTarget(targets []string, unresponsive bool) string {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.rotation.take(targets, unresponsive)
}

func (r *Resolver) releaseTarget(target string, answered bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.rotation.release(target, answered)
}
