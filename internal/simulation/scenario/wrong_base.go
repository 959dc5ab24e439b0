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

// wrongBaseDefect implements the defect WrongBase: the configuration store sends a proxy the changes between the two newest versions,
// applied to whichever version the proxy has.
type wrongBaseDefect struct {
	contents map[string]*wire.DesiredState // the submitted desired states by digest
	previous map[string]string             // maps a digest to the one that was submitted before it
	last     string                        // the digest that was submitted last
}

// applyToWrongBase enables the defect WrongBase.
func (m *Mesh) applyToWrongBase() {
	first := peakDesiredState()
	digest := config.Digest(workload.EncodeState(first))
	defect := &wrongBaseDefect{contents: map[string]*wire.DesiredState{digest: first}, previous: map[string]string{}, last: digest}
	m.onSubmit = defect.submit
	m.onDesiredPoll = func(request *wire.ConfigPollRequest, response *wire.ConfigPollResponse) {
		snapshot, _ := m.proxies[request.Proxy].ConfigClient.Current()
		defect.replaceDifference(snapshot.Digest, response)
	}
}

func (d *wrongBaseDefect) submit(content []byte) {
	digest := config.Digest(content)
	d.contents[digest], _ = config.ParseAccepted(content)
	d.previous[digest], d.last = d.last, digest
}

// replaceDifference replaces the difference in a response to a proxy whose content has the given digest. It leaves the response
// unchanged if it has no difference or if the defect can't be applied to it.
func (d *wrongBaseDefect) replaceDifference(digest string, response *wire.ConfigPollResponse) {
	difference := &wire.Difference{}
	if len(response.Difference) == 0 || proto.Unmarshal(response.Difference, difference) != nil {
		return
	}
	base, previous, newest := d.contents[digest], d.contents[d.previous[difference.ContentDigest]], d.contents[difference.ContentDigest]
	if base == nil || previous == nil || newest == nil {
		return
	}
	if content, err := differenceToWrongBase(base, previous, newest, difference); err == nil {
		response.Difference = content
	}
}

// differenceToWrongBase applies the changes between two other states to a base, and returns the encoded difference between the base
// and the result. It fails if the result is no valid state.
func differenceToWrongBase(base, previous, newest *wire.DesiredState, difference *wire.Difference) ([]byte, error) {
	sets := make([]*changes.Set, 3)
	for index, state := range []*wire.DesiredState{base, previous, newest} {
		var err error
		if sets[index], err = changes.NewSet(state); err != nil {
			return nil, err
		}
	}
	result, err := applyRouteChanges(base, changes.Diff(sets[1], sets[2]))
	if err != nil {
		return nil, err
	}
	resultSet, err := changes.NewSet(result)
	if err != nil {
		return nil, err
	}
	return changes.Encode(changes.Diff(sets[0], resultSet), difference.Version, difference.ContentDigest)
}

// applyRouteChanges returns the base state with its routes changed by a difference.
func applyRouteChanges(base *wire.DesiredState, difference *changes.Difference) (*wire.DesiredState, error) {
	replaced := map[string]bool{}
	for _, change := range slices.Concat(difference.Added, difference.Changed, difference.Removed) {
		replaced[change.Key] = true
	}
	state := &wire.DesiredState{Groups: base.Groups}
	for _, change := range slices.Concat(difference.Added, difference.Changed) {
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
