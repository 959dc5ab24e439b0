package forward

import (
	"sync"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/session"
	"snowflow/internal/transport/wire"
)

// cancelPatience is how long another carrier may take to hear that a caller has left.
const cancelPatience = 500 * monotonic.Millisecond

// leaving is what becomes of a request whose caller leaves: the try under way is called off, and no further one is made. Run-once requests
// go on, since whoever asks again is owed their answer.
// Invariant: under is the pass that waits for an answer now, nil between two.
type leaving struct {
	lock  sync.Mutex
	left  bool
	under *underWay
}

type underWay struct {
	candidate session.Candidate
	id        string
}

// watch has a trip end when its caller leaves, until stop is called.
func (passage *Passage) watch(trip *Trip) (stop func() bool) {
	if trip.Request.Left == nil {
		return func() bool { return true }
	}
	return trip.Request.Left(func() {
		trip.leaving.lock.Lock()
		trip.leaving.left = true
		under := trip.leaving.under
		trip.leaving.lock.Unlock()
		if under != nil && !trip.Once {
			passage.cancel(under)
		}
	})
}

// cancel tells the server's side that nobody waits for a pass any more.
func (passage *Passage) cancel(under *underWay) {
	if under.candidate.Carrier == passage.env.Carrier && under.candidate.Incarnation == passage.env.Incarnation {
		passage.env.Gate.Cancel(passage.env.Carrier, under.id)
		return
	}
	ask := &wire.ForwardCancelRequest{Id: under.id, From: passage.env.Carrier}
	_ = passage.env.Place.Call(under.candidate.Address, wire.Kind_forward_cancel, ask, &wire.ForwardCancelResponse{}, cancelPatience)
}

// sending notes that a pass is under way, unless the caller has left already.
func (trip *Trip) sending(candidate session.Candidate, id string) *apierror.Fault {
	trip.leaving.lock.Lock()
	defer trip.leaving.lock.Unlock()
	if trip.leaving.left && !trip.Once {
		return apierror.New(apierror.ClientClosed, apierror.NotRun, "its caller left")
	}
	trip.leaving.under = &underWay{candidate, id}
	return nil
}

// sent notes that the pass under way has ended, and tells whether the caller has left meanwhile.
func (trip *Trip) sent() (left bool) {
	trip.leaving.lock.Lock()
	defer trip.leaving.lock.Unlock()
	trip.leaving.under = nil
	return trip.leaving.left && !trip.Once
}
