// Package config reads and checks desired states, and works out what each service gets from its group.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/resourcepath"
	"snowflow/internal/settings"
	"snowflow/internal/transport/wire"
)

// Fault is one thing wrong with a desired state, at its place in the tree.
type Fault struct {
	Place string `json:"place"`
	Text  string `json:"text"`
}

func (fault Fault) String() string { return fault.Place + ": " + fault.Text }

// Longest is the longest desired state that is read.
const Longest = 4 << 20

// Parse reads a desired state from JSON and checks it. Unknown fields are faults. All faults are told at once.
func Parse(content []byte) (*wire.DesiredState, []Fault) {
	if len(content) > Longest {
		return nil, []Fault{{"", fmt.Sprintf("%d bytes, at most %d", len(content), Longest)}}
	}
	state := &wire.DesiredState{}
	if faults := shape(content, state.ProtoReflect().Descriptor()); len(faults) > 0 {
		return nil, faults
	}
	if err := (protojson.UnmarshalOptions{}).Unmarshal(content, state); err != nil {
		return nil, []Fault{{"", strings.ReplaceAll(err.Error(), "\u00a0", " ")}}
	}
	return state, Check(state)
}

// Accepted reads a desired state that a postmaster has accepted. It isn't checked again: the postmaster's build may be an
// earlier one that checked less, or a later one with fields that this build doesn't know.
func Accepted(content []byte) (*wire.DesiredState, []Fault) {
	state := &wire.DesiredState{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, state); err != nil {
		return nil, []Fault{{"", strings.ReplaceAll(err.Error(), "\u00a0", " ")}}
	}
	return state, nil
}

// Reader reads a content as it was stored, in whatever dialect, and tells what is wrong with it. Parse and Accepted are those
// of the product's own dialect. Invariant: it goes by the content alone.
type Reader func(content []byte) (*wire.DesiredState, []Fault)

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "*": true}

// checker collects faults.
type checker struct{ faults []Fault }

func (checker *checker) fault(place, format string, arguments ...any) {
	checker.faults = append(checker.faults, Fault{Place: place, Text: fmt.Sprintf(format, arguments...)})
}

// span checks a span of time in whole microseconds.
func (checker *checker) span(place string, value *int64, least, most monotonic.Micros) {
	if value != nil && (monotonic.Micros(*value) < least || monotonic.Micros(*value) > most) {
		checker.fault(place, "%d is not between %d and %d microseconds", *value, least, most)
	}
}

func (checker *checker) count(place string, value *uint32, least, most uint32) {
	if value != nil && (*value < least || *value > most) {
		checker.fault(place, "%d is not between %d and %d", *value, least, most)
	}
}

func (checker *checker) bytes(place string, value *uint64, least, most uint64) {
	if value != nil && (*value < least || *value > most) {
		checker.fault(place, "%d is not between %d and %d bytes", *value, least, most)
	}
}

func (checker *checker) ratio(place string, value *float64, least, most float64) {
	if value != nil && !(*value >= least && *value <= most) {
		checker.fault(place, "%v is not between %v and %v", *value, least, most)
	}
}

// Check lists everything wrong with a desired state.
func Check(state *wire.DesiredState) []Fault {
	checker := &checker{}
	if len(state.Groups) == 0 {
		checker.fault("groups", "at least one group is needed")
	}
	if len(state.Note) > 1000 {
		checker.fault("note", "longer than 1000 characters")
	}
	groups, services, paths := map[string]string{}, map[string]string{}, map[string]string{}
	for groupIndex, group := range state.Groups {
		place := fmt.Sprintf("groups[%d]", groupIndex)
		checker.name(place, group.Name, groups)
		checker.terms(place, group.Guard, group.Retry, group.Limits)
		if len(group.Services) == 0 {
			checker.fault(place+".services", "at least one service is needed")
		}
		for serviceIndex, service := range group.Services {
			place := fmt.Sprintf("%s.services[%d]", place, serviceIndex)
			checker.name(place, service.Name, services)
			checker.terms(place, service.Guard, service.Retry, service.Limits)
			checker.merged(place, group, service)
			if len(service.Paths) == 0 && len(state.Routes) == 0 {
				checker.fault(place+".paths", "at least one path is needed")
			}
			for pathIndex, path := range service.Paths {
				checker.path(fmt.Sprintf("%s.paths[%d]", place, pathIndex), path, paths)
			}
		}
	}
	checker.routes(state, services, paths)
	return checker.faults
}

// routes checks the routes against the services there are and the paths they have.
func (checker *checker) routes(state *wire.DesiredState, services, paths map[string]string) {
	names := map[string]string{}
	for index, route := range state.Routes {
		place := fmt.Sprintf("routes[%d]", index)
		if route.Name == "" || len(route.Name) > 200 {
			checker.fault(place+".name", "%q must be of 1 to 200 bytes", route.Name)
		}
		if other, twice := names[route.Name]; twice {
			checker.fault(place+".name", "%q is already used at %s", route.Name, other)
		}
		names[route.Name] = place
		if route.Host != Host(route.Host) || strings.ContainsAny(route.Host, "/?#@ ") || len(route.Host) > 253 {
			checker.fault(place+".host", "%q must be a host in small letters, without a port and without a dot at its end", route.Host)
		}
		checker.way(place, route.Host, methodOf(route.Method), route.Prefix, route.Class, paths)
		checker.split(place+".split", route.Split, services)
		checker.span(place+".cutoffMicros", route.CutoffMicros, 1, 10*monotonic.Minute)
		checker.span(place+".aimMicros", route.AimMicros, 1, 10*monotonic.Minute)
		checker.count(place+".mostTries", route.MostTries, 1, 10)
	}
}

func (checker *checker) split(place string, split []*wire.Share, services map[string]string) {
	if len(split) == 0 {
		checker.fault(place, "at least one service is needed")
		return
	}
	sum := uint64(0)
	for index, share := range split {
		sum += uint64(share.Weight)
		if _, known := services[share.Service]; !known {
			checker.fault(fmt.Sprintf("%s[%d].service", place, index), "no service %q", share.Service)
		}
	}
	if sum == 0 {
		checker.fault(place, "at least one weight must be above zero")
	}
}

func (checker *checker) name(place, name string, seen map[string]string) {
	if settings.Name(name) != nil {
		checker.fault(place+".name", "%q must be a lower-case letter, then up to 62 letters, digits or hyphens", name)
	}
	if other, twice := seen[name]; twice {
		checker.fault(place+".name", "%q is already used at %s", name, other)
	}
	seen[name] = place
}

func (checker *checker) path(place string, path *wire.Path, seen map[string]string) {
	checker.way(place, "", path.Method, path.Prefix, path.Class, seen)
}

// way checks what a service's path and a route have in common. seen holds those of all hosts.
func (checker *checker) way(place, host, method, prefix string, class wire.Path_Class, seen map[string]string) {
	if !methods[method] {
		checker.fault(place+".method", "%q is not a method or *", method)
	}
	if !strings.HasPrefix(prefix, "/") || strings.ContainsAny(prefix, "?# ") || len(prefix) > 500 {
		checker.fault(place+".prefix", "%q must start with / and hold no ?, # or space", prefix)
	}
	if spelled, err := resourcepath.Parse(prefix); strings.HasPrefix(prefix, "/") && (err != nil || spelled.Path != prefix) {
		checker.fault(place+".prefix", "%q must be spelled as requests are resolved: no escapes, doubled slashes or dot segments", prefix)
	}
	if strings.HasPrefix(prefix, "/.snowflow") {
		checker.fault(place+".prefix", "/.snowflow is the mesh's own")
	}
	if class == wire.Path_unset {
		checker.fault(place+".class", "must be read, once or single")
	}
	// With and without a slash at the end it's the same resources: they must not be of two classes.
	key := method + " " + host + resourcepath.Resource(prefix)
	if other, twice := seen[key]; twice {
		checker.fault(place, "%s is already at %s", key, other)
	}
	seen[key] = place
}

func (checker *checker) terms(place string, guard *wire.Breaker, retry *wire.Retry, limits *wire.Limits) {
	if guard != nil {
		place := place + ".guard"
		checker.count(place+".windowCalls", guard.WindowCalls, 5, 10000)
		checker.count(place+".minimumCalls", guard.MinimumCalls, 1, 10000)
		checker.ratio(place+".failureRate", guard.FailureRate, 0.01, 1)
		checker.ratio(place+".slowRate", guard.SlowRate, 0.01, 1)
		checker.span(place+".slowMicros", guard.SlowMicros, monotonic.Millisecond, 10*monotonic.Minute)
		checker.span(place+".waitOpenMicros", guard.WaitOpenMicros, 100*monotonic.Millisecond, 2*monotonic.Minute)
		checker.count(place+".permittedHalfOpen", guard.PermittedHalfOpen, 1, 1000)
		checker.span(place+".probeTenureMicros", guard.ProbeTenureMicros, 100*monotonic.Millisecond, 2*monotonic.Minute)
	}
	if retry != nil {
		place := place + ".retry"
		checker.count(place+".mostTries", retry.MostTries, 1, 10)
		checker.ratio(place+".budgetRatio", retry.BudgetRatio, 0, 0.2)
		checker.count(place+".allowance", retry.Allowance, 0, 1000)
		checker.span(place+".backoffMicros", retry.BackoffMicros, 0, 10*monotonic.Second)
	}
	if limits != nil {
		place := place + ".limits"
		checker.span(place+".cutoffMicros", limits.CutoffMicros, 10*monotonic.Millisecond, 30*monotonic.Second)
		checker.count(place+".inFlightPerBackend", limits.InFlightPerBackend, 1, 100000)
		checker.bytes(place+".bodyBytes", limits.BodyBytes, 1, 32<<20)
		checker.bytes(place+".answerBytes", limits.AnswerBytes, 1, 32<<20)
	}
}

// merged checks what only shows once a service has taken what it left out from its group.
func (checker *checker) merged(place string, group *wire.Group, service *wire.Service) {
	guard, limits := mergeGuard(group, service), mergeLimits(group, service)
	if guard.GetProbeTenureMicros() < limits.GetCutoffMicros() {
		checker.fault(place+".guard.probeTenureMicros", "%d is less than the cutoff of %d: a probe would go back while its call still runs (group and defaults counted in)",
			guard.GetProbeTenureMicros(), limits.GetCutoffMicros())
	}
	if guard.GetSlowRate() < 1 && guard.GetSlowMicros() >= limits.GetCutoffMicros() {
		checker.fault(place+".guard.slowMicros", "%d is not less than the cutoff of %d: no call would ever count as slow (group and defaults counted in)",
			guard.GetSlowMicros(), limits.GetCutoffMicros())
	}
	if guard.GetMinimumCalls() > guard.GetWindowCalls() {
		checker.fault(place+".guard.minimumCalls", "%d is more than the window of %d calls (group and defaults counted in)",
			guard.GetMinimumCalls(), guard.GetWindowCalls())
	}
}

func defaultGuard() *wire.Breaker {
	return &wire.Breaker{WindowCalls: proto.Uint32(100), MinimumCalls: proto.Uint32(20), FailureRate: proto.Float64(0.5),
		SlowRate: proto.Float64(1), SlowMicros: proto.Int64(int64(10 * monotonic.Second)),
		WaitOpenMicros: proto.Int64(int64(5 * monotonic.Second)), PermittedHalfOpen: proto.Uint32(10),
		ProbeTenureMicros: proto.Int64(int64(5 * monotonic.Second)), Disabled: proto.Bool(false)}
}

func defaultRetry() *wire.Retry {
	return &wire.Retry{MostTries: proto.Uint32(3), BudgetRatio: proto.Float64(0.2), Allowance: proto.Uint32(20),
		BackoffMicros: proto.Int64(int64(20 * monotonic.Millisecond))}
}

func defaultLimits() *wire.Limits {
	return &wire.Limits{CutoffMicros: proto.Int64(int64(5 * monotonic.Second)), InFlightPerBackend: proto.Uint32(64),
		BodyBytes: proto.Uint64(1 << 20), AnswerBytes: proto.Uint64(8 << 20)}
}

// mergeGuard and its kin lay field over field: defaults, then the group, then the service.
func mergeGuard(group *wire.Group, service *wire.Service) *wire.Breaker {
	merged := defaultGuard()
	// Left out, a probe's tenure is no shorter than a call may take.
	merged.ProbeTenureMicros = proto.Int64(max(merged.GetProbeTenureMicros(), mergeLimits(group, service).GetCutoffMicros()))
	proto.Merge(merged, orEmpty(group.Guard))
	proto.Merge(merged, orEmpty(service.Guard))
	return merged
}

func mergeLimits(group *wire.Group, service *wire.Service) *wire.Limits {
	merged := defaultLimits()
	proto.Merge(merged, orEmpty(group.Limits))
	proto.Merge(merged, orEmpty(service.Limits))
	return merged
}

func orEmpty[Message any, Pointer interface {
	*Message
	proto.Message
}](message Pointer) Pointer {
	if message == nil {
		return Pointer(new(Message))
	}
	return message
}

// Service is one service as it is in force, with nothing left to inherit.
type Service struct {
	Name   string
	Group  string
	Guard  *wire.Breaker
	Retry  *wire.Retry
	Limits *wire.Limits
}

// Terms are the guard's figures as the shared record keeps them.
func (service *Service) Terms() *wire.BreakerSettings {
	return &wire.BreakerSettings{WaitOpen: service.Guard.GetWaitOpenMicros(), Permitted: service.Guard.GetPermittedHalfOpen(),
		FailureRate: service.Guard.GetFailureRate(), ProbeLease: service.Guard.GetProbeTenureMicros(), StateTtl: int64(300 * monotonic.Second)}
}

// View is one adopted desired state. Invariant: it never changes once made; what two versions have in common they may share.
type View struct {
	Serial   uint64
	Digest   string
	Services map[string]*Service
	routing  routing
}

// Compile makes the view of a checked desired state.
func Compile(state *wire.DesiredState, serial uint64, digest string) *View {
	view := &View{Serial: serial, Digest: digest, Services: map[string]*Service{}}
	building := building{}
	for _, group := range state.Groups {
		for _, service := range group.Services {
			inForce := InForce(group, service)
			view.Services[service.Name] = inForce
			for _, path := range service.Paths {
				building.add(ownPath(path, inForce))
			}
		}
	}
	for _, route := range state.Routes {
		building.add(compileRoute(route, view.Services))
	}
	view.routing = building.routing()
	return view
}

// InForce lays a service's terms over its group's, and those over the defaults.
func InForce(group *wire.Group, service *wire.Service) *Service {
	retry := defaultRetry()
	proto.Merge(retry, orEmpty(group.Retry))
	proto.Merge(retry, orEmpty(service.Retry))
	return &Service{Name: service.Name, Group: group.Name, Guard: mergeGuard(group, service), Retry: retry, Limits: mergeLimits(group, service)}
}

// Unlisted is a service that a view doesn't have, as it would be with nothing set.
func Unlisted(name string) *Service { return InForce(&wire.Group{}, &wire.Service{Name: name}) }

// Digest names a content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
