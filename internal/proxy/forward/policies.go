package forward

import (
	"crypto/sha256"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
)

// Policy is one step that a request takes before it's carried. Leave is called for each policy entered, last first,
// once the request has its outcome.
type Policy interface {
	Name() string
	Enter(trip *Trip) *apierror.Fault
	Leave(trip *Trip)
}

// step makes a policy of functions.
type step struct {
	name  string
	enter func(trip *Trip) *apierror.Fault
	leave func(trip *Trip)
}

func (step step) Name() string                     { return step.name }
func (step step) Enter(trip *Trip) *apierror.Fault { return step.enter(trip) }
func (step step) Leave(trip *Trip) {
	if step.leave != nil {
		step.leave(trip)
	}
}

// Policies is the ordered table of the built-in policies. Others may be put before or behind them.
func (passage *Passage) Policies() []Policy {
	return []Policy{
		step{name: "drain", enter: passage.notDraining},
		step{name: "resolve", enter: passage.resolve},
		step{name: "key", enter: passage.key},
		step{name: "size", enter: passage.size},
		step{name: "crowd", enter: passage.crowd, leave: passage.leaveCrowd},
	}
}

func (passage *Passage) notDraining(trip *Trip) *apierror.Fault {
	if passage.draining.Load() {
		return apierror.New(apierror.Draining, apierror.NotRun, "this carrier is stopping")
	}
	return nil
}

// resolve pins the trip to one view of the desired state.
func (passage *Passage) resolve(trip *Trip) *apierror.Fault {
	view, live := passage.env.Desk.Current()
	if view == nil {
		return apierror.New(apierror.NotReady, apierror.NotRun, "no desired state is adopted yet")
	}
	if !live {
		return apierror.New(apierror.ConfigLeaseExpired, apierror.NotRun, "the tenure to serve by serial %d has ended", view.Version)
	}
	path, found := view.Resolve(trip.Host, trip.Method, trip.Address.Path)
	if !found {
		return apierror.New(apierror.UnknownPath, apierror.NotRun, "no service has %s %s", trip.Method, trip.Address.Path)
	}
	trip.View, trip.Path, trip.Service = view, path, path.Service
	if len(path.Split) > 1 {
		trip.Service = path.PickService(passage.env.Place.Random())
	}
	trip.Once = once(path, trip)
	trip.Single = path.Single && !trip.Once
	trip.Cutoff = trip.Began + monotonic.Micros(trip.Service.Limits.GetCutoffMicros())
	if path.Timeout > 0 {
		trip.Cutoff = min(trip.Cutoff, trip.Began+path.Timeout)
	}
	if trip.Request.Cutoff > 0 {
		trip.Cutoff = min(trip.Cutoff, trip.Request.Cutoff)
	}
	return nil
}

// key asks a run-once request for its reference key and takes its digest.
func (passage *Passage) key(trip *Trip) *apierror.Fault {
	if !trip.Once {
		return nil
	}
	if trip.Request.Key == "" || len(trip.Request.Key) > 200 {
		return apierror.New(apierror.MissingKey, apierror.NotRun, "%s needs a reference key of at most 200 bytes in %s", trip.Address.Path, request.KeyHeader)
	}
	sum := sha256.New()
	sum.Write([]byte(trip.Method + " " + trip.Address.Encoded + "\n"))
	sum.Write(trip.Request.Body)
	trip.Digest = sum.Sum(nil)
	return nil
}

func (passage *Passage) size(trip *Trip) *apierror.Fault {
	if limit := trip.Service.Limits.GetBodyBytes(); uint64(len(trip.Request.Body)) > limit {
		return apierror.New(apierror.BodyTooLarge, apierror.NotRun, "%d bytes, %s takes %d", len(trip.Request.Body), trip.Service.Name, limit)
	}
	return nil
}

// crowd refuses early what couldn't be served in time: more requests under way than all backends may have at once. Where
// each backend says how many slots it has, their gates know better.
func (passage *Passage) crowd(trip *Trip) *apierror.Fault {
	candidates := passage.env.Roll.Directory().Candidates[trip.Service.Name]
	backends := len(candidates)
	if backends > 0 && counted(candidates) {
		passage.count(trip.Service.Name).Inc()
		return nil
	}
	limit := int64(max(1, backends)) * int64(trip.Service.Limits.GetInFlightPerBackend())
	count := passage.count(trip.Service.Name)
	if count.Inc() > limit {
		count.Dec()
		return passage.final(trip, apierror.New(apierror.Overloaded, apierror.NotRun, "%d requests for %s are under way here", limit, trip.Service.Name))
	}
	return nil
}

func (passage *Passage) leaveCrowd(trip *Trip) { passage.count(trip.Service.Name).Dec() }
