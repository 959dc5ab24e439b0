package scenario

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/config/changes"
	"snowflow/internal/transport/wire"
	"snowflow/internal/workload"
)

// wrongBaseDefect is a defect: proxies are sent what the newest version changes in the version before it, applied onto whatever they
// have.
type wrongBaseDefect struct {
	contents map[string]*wire.DesiredState // what operators submitted, by its digest
	previous map[string]string             // the digest that was submitted before, by that of a content
	last     string                        // the digest that was submitted last
}

// applyToWrongBase turns the defect on.
func (m *Mesh) applyToWrongBase() {
	first := peakDesiredState()
	digest := config.Digest(workload.EncodeState(first))
	wrong := &wrongBaseDefect{contents: map[string]*wire.DesiredState{digest: first}, previous: map[string]string{}, last: digest}
	m.onSubmit = wrong.submit
	m.onDesiredPoll = func(request *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
		snapshot, _ := m.proxies[request.Proxy].ConfigClient.Current()
		wrong.replaceDifference(snapshot.Digest, response)
	}
}

func (w *wrongBaseDefect) submit(content []byte) {
	digest := config.Digest(content)
	w.contents[digest], _ = config.ParseAccepted(content)
	w.previous[digest], w.last = w.last, digest
}

// replaceDifference replaces the difference in a response to a proxy that has the content with a digest. It leaves a response
// alone that has no difference, or to which the defect cannot be applied.
func (w *wrongBaseDefect) replaceDifference(digest string, response *wire.ConfigPollResponse) {
	difference := &wire.Difference{}
	if len(response.Difference) == 0 || proto.Unmarshal(response.Difference, difference) != nil {
		return
	}
	base, previous, newest := w.contents[digest], w.contents[w.previous[difference.ContentDigest]], w.contents[difference.ContentDigest]
	if base == nil || previous == nil || newest == nil {
		return
	}
	if content, err := differenceToWrongBase(base, previous, newest, difference); err == nil {
		response.Difference = content
	}
}

// differenceToWrongBase returns the difference from a base to what the step between two other states makes of it. It fails if
// that is no valid state.
func differenceToWrongBase(base, previous, newest *wire.DesiredState, difference *wire.Difference) ([]byte, error) {
	sets := make([]*changes.Set, 3)
	for index, state := range []*wire.DesiredState{base, previous, newest} {
		var err error
		if sets[index], err = changes.NewSet(state); err != nil {
			return nil, err
		}
	}
	wrong, err := applyStep(base, changes.Diff(sets[1], sets[2]))
	if err != nil {
		return nil, err
	}
	set, err := changes.NewSet(wrong)
	if err != nil {
		return nil, err
	}
	return changes.Encode(changes.Diff(sets[0], set), difference.Version, difference.ContentDigest)
}

// applyStep returns a state with the routes that a step adds, changes and removes.
func applyStep(base *wire.DesiredState, step *changes.Difference) (*wire.DesiredState, error) {
	replaced := map[string]bool{}
	for _, change := range slices.Concat(step.Added, step.Changed, step.Removed) {
		replaced[change.Key] = true
	}
	state := &wire.DesiredState{Groups: base.Groups}
	for _, change := range slices.Concat(step.Added, step.Changed) {
		route, ok := change.Message.(*wire.Route)
		if !ok {
			return nil, fmt.Errorf("%s is a %T, not a route", change.Key, change.Message)
		}
		state.Routes = append(state.Routes, route)
	}
	for _, route := range base.Routes {
		if !replaced[changes.KindRoute+"/"+route.Name] {
			state.Routes = append(state.Routes, route)
		}
	}
	return state, nil
}
