package discovery

import "slices"

// targetRotation chooses the targets of discover requests in two round-robin rotations: one of the targets that answered their last
// request or were never queried, and one of the unresponsive targets. The Resolver's lock guards it.
type targetRotation struct {
	pending      map[string]bool // targets with a request in flight
	unresponsive map[string]bool // targets that did not answer their last request
	// nextResponsive and nextUnresponsive count the targets that each rotation has visited.
	nextResponsive, nextUnresponsive int
}

func newTargetRotation() targetRotation {
	return targetRotation{pending: map[string]bool{}, unresponsive: map[string]bool{}}
}

// take chooses the next target of the unresponsive rotation or of the other one, and marks it pending. It skips targets that are already
// pending, since others may answer, and returns an empty string if none is left.
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

// release marks a target as no longer pending, so that it may be chosen again, and records whether it answered.
func (t *targetRotation) release(target string, answered bool) {
	delete(t.pending, target)
	if answered {
		delete(t.unresponsive, target)
		return
	}
	t.unresponsive[target] = true
}

// targets returns the addresses that receive discover requests: the seeds, then the other known addresses.
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
