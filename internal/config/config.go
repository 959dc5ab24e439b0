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

// FieldError is one thing wrong with a desired state, at its place in the tree.
type FieldError struct {
	Location string `json:"place"`
	Message  string `json:"text"`
}

func (e FieldError) String() string { return e.Location + ": " + e.Message }

// MaxContentSize is the longest desired state that is read.
const MaxContentSize = 4 << 20

// Parse reads a desired state from JSON and checks it. Unknown fields are faults. All faults are told at once.
func Parse(content []byte) (*wire.DesiredState, []FieldError) {
	if len(content) > MaxContentSize {
		return nil, []FieldError{{"", fmt.Sprintf("%d bytes, at most %d", len(content), MaxContentSize)}}
	}
	state := &wire.DesiredState{}
	if fieldErrors := checkShape(content, state.ProtoReflect().Descriptor()); len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	if err := (protojson.UnmarshalOptions{}).Unmarshal(content, state); err != nil {
		return nil, []FieldError{{"", strings.ReplaceAll(err.Error(), "\u00a0", " ")}}
	}
	return state, Validate(state)
}

// ParseAccepted reads a desired state that a postmaster has accepted. It isn't checked again: the postmaster's build may be an
// earlier one that checked less, or a later one with fields that this build doesn't know.
func ParseAccepted(content []byte) (*wire.DesiredState, []FieldError) {
	state := &wire.DesiredState{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, state); err != nil {
		return nil, []FieldError{{"", strings.ReplaceAll(err.Error(), "\u00a0", " ")}}
	}
	return state, nil
}

// Parser reads a content as it was stored, in whatever dialect, and tells what is wrong with it. Parse and Accepted are those
// of the product's own dialect. Invariant: it goes by the content alone.
type Parser func(content []byte) (*wire.DesiredState, []FieldError)

var methods = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "*": true}

// checker collects faults.
type validator struct{ fieldErrors []FieldError }

func (v *validator) addf(location, format string, arguments ...any) {
	v.fieldErrors = append(v.fieldErrors, FieldError{Location: location, Message: fmt.Sprintf(format, arguments...)})
}

// span checks a span of time in whole microseconds.
func (v *validator) checkDuration(location string, value *int64, minimum, maximum monotonic.Micros) {
	if value != nil && (monotonic.Micros(*value) < minimum || monotonic.Micros(*value) > maximum) {
		v.addf(location, "%d is not between %d and %d microseconds", *value, minimum, maximum)
	}
}

func (v *validator) checkCount(location string, value *uint32, minimum, maximum uint32) {
	if value != nil && (*value < minimum || *value > maximum) {
		v.addf(location, "%d is not between %d and %d", *value, minimum, maximum)
	}
}

func (v *validator) checkBytes(location string, value *uint64, minimum, maximum uint64) {
	if value != nil && (*value < minimum || *value > maximum) {
		v.addf(location, "%d is not between %d and %d bytes", *value, minimum, maximum)
	}
}

func (v *validator) checkRatio(location string, value *float64, minimum, maximum float64) {
	if value != nil && !(*value >= minimum && *value <= maximum) {
		v.addf(location, "%v is not between %v and %v", *value, minimum, maximum)
	}
}

// Validate lists everything wrong with a desired state.
func Validate(state *wire.DesiredState) []FieldError {
	v := &validator{}
	if len(state.Groups) == 0 {
		v.addf("groups", "at least one group is needed")
	}
	if len(state.Note) > 1000 {
		v.addf("note", "longer than 1000 characters")
	}
	groups, services, paths := map[string]string{}, map[string]string{}, map[string]string{}
	for groupIndex, group := range state.Groups {
		location := fmt.Sprintf("groups[%d]", groupIndex)
		v.checkName(location, group.Name, groups)
		v.checkPolicies(location, group.Guard, group.Retry, group.Limits)
		if len(group.Services) == 0 {
			v.addf(location+".services", "at least one service is needed")
		}
		for serviceIndex, service := range group.Services {
			location := fmt.Sprintf("%s.services[%d]", location, serviceIndex)
			v.checkName(location, service.Name, services)
			v.checkPolicies(location, service.Guard, service.Retry, service.Limits)
			v.checkEffective(location, group, service)
			if len(service.Paths) == 0 && len(state.Routes) == 0 {
				v.addf(location+".paths", "at least one path is needed")
			}
			for pathIndex, path := range service.Paths {
				v.checkPath(fmt.Sprintf("%s.paths[%d]", location, pathIndex), path, paths)
			}
		}
	}
	v.checkRoutes(state, services, paths)
	return v.fieldErrors
}

// routes checks the routes against the services there are and the paths they have.
func (v *validator) checkRoutes(state *wire.DesiredState, services, paths map[string]string) {
	names := map[string]string{}
	for index, route := range state.Routes {
		location := fmt.Sprintf("routes[%d]", index)
		if route.Name == "" || len(route.Name) > 200 {
			v.addf(location+".name", "%q must be of 1 to 200 bytes", route.Name)
		}
		if other, duplicate := names[route.Name]; duplicate {
			v.addf(location+".name", "%q is already used at %s", route.Name, other)
		}
		names[route.Name] = location
		if route.Host != CanonicalHost(route.Host) || strings.ContainsAny(route.Host, "/?#@ ") || len(route.Host) > 253 {
			v.addf(location+".host", "%q must be a host in small letters, without a port and without a dot at its end", route.Host)
		}
		v.checkMatch(location, route.Host, methodOf(route.Method), route.Prefix, route.Class, paths)
		v.checkSplit(location+".split", route.Split, services)
		v.checkDuration(location+".cutoffMicros", route.CutoffMicros, 1, 10*monotonic.Minute)
		v.checkDuration(location+".aimMicros", route.AimMicros, 1, 10*monotonic.Minute)
		v.checkCount(location+".mostTries", route.MostTries, 1, 10)
	}
}

func (v *validator) checkSplit(location string, split []*wire.Share, services map[string]string) {
	if len(split) == 0 {
		v.addf(location, "at least one service is needed")
		return
	}
	sum := uint64(0)
	for index, share := range split {
		sum += uint64(share.Weight)
		if _, known := services[share.Service]; !known {
			v.addf(fmt.Sprintf("%s[%d].service", location, index), "no service %q", share.Service)
		}
	}
	if sum == 0 {
		v.addf(location, "at least one weight must be above zero")
	}
}

func (v *validator) checkName(location, name string, seen map[string]string) {
	if settings.CheckName(name) != nil {
		v.addf(location+".name", "%q must be a lower-case letter, then up to 62 letters, digits or hyphens", name)
	}
	if other, duplicate := seen[name]; duplicate {
		v.addf(location+".name", "%q is already used at %s", name, other)
	}
	seen[name] = location
}

func (v *validator) checkPath(location string, path *wire.Path, seen map[string]string) {
	v.checkMatch(location, "", path.Method, path.Prefix, path.Class, seen)
}

// way checks what a service's path and a route have in common. seen holds those of all hosts.
func (v *validator) checkMatch(location, host, method, prefix string, class wire.Path_Class, seen map[string]string) {
	if !methods[method] {
		v.addf(location+".method", "%q is not a method or *", method)
	}
	if !strings.HasPrefix(prefix, "/") || strings.ContainsAny(prefix, "?# ") || len(prefix) > 500 {
		v.addf(location+".prefix", "%q must start with / and hold no ?, # or space", prefix)
	}
	if spelled, err := resourcepath.Parse(prefix); strings.HasPrefix(prefix, "/") && (err != nil || spelled.Path != prefix) {
		v.addf(location+".prefix", "%q must be spelled as requests are resolved: no escapes, doubled slashes or dot segments", prefix)
	}
	if strings.HasPrefix(prefix, "/.snowflow") {
		v.addf(location+".prefix", "/.snowflow is the mesh's own")
	}
	if class == wire.Path_unset {
		v.addf(location+".class", "must be read, once or single")
	}
	// With and without a slash at the end it's the same resources: they must not be of two classes.
	key := method + " " + host + resourcepath.TrimTrailingSlash(prefix)
	if other, duplicate := seen[key]; duplicate {
		v.addf(location, "%s is already at %s", key, other)
	}
	seen[key] = location
}

func (v *validator) checkPolicies(location string, breaker *wire.Breaker, retry *wire.Retry, limits *wire.Limits) {
	if breaker != nil {
		location := location + ".guard"
		v.checkCount(location+".windowCalls", breaker.WindowCalls, 5, 10000)
		v.checkCount(location+".minimumCalls", breaker.MinimumCalls, 1, 10000)
		v.checkRatio(location+".failureRate", breaker.FailureRate, 0.01, 1)
		v.checkRatio(location+".slowRate", breaker.SlowRate, 0.01, 1)
		v.checkDuration(location+".slowMicros", breaker.SlowMicros, monotonic.Millisecond, 10*monotonic.Minute)
		v.checkDuration(location+".waitOpenMicros", breaker.WaitOpenMicros, 100*monotonic.Millisecond, 2*monotonic.Minute)
		v.checkCount(location+".permittedHalfOpen", breaker.PermittedHalfOpen, 1, 1000)
		v.checkDuration(location+".probeTenureMicros", breaker.ProbeTenureMicros, 100*monotonic.Millisecond, 2*monotonic.Minute)
	}
	if retry != nil {
		location := location + ".retry"
		v.checkCount(location+".mostTries", retry.MostTries, 1, 10)
		v.checkRatio(location+".budgetRatio", retry.BudgetRatio, 0, 0.2)
		v.checkCount(location+".allowance", retry.Allowance, 0, 1000)
		v.checkDuration(location+".backoffMicros", retry.BackoffMicros, 0, 10*monotonic.Second)
	}
	if limits != nil {
		location := location + ".limits"
		v.checkDuration(location+".cutoffMicros", limits.CutoffMicros, 10*monotonic.Millisecond, 30*monotonic.Second)
		v.checkCount(location+".inFlightPerBackend", limits.InFlightPerBackend, 1, 100000)
		v.checkBytes(location+".bodyBytes", limits.BodyBytes, 1, 32<<20)
		v.checkBytes(location+".answerBytes", limits.AnswerBytes, 1, 32<<20)
	}
}

// merged checks what only shows once a service has taken what it left out from its group.
func (v *validator) checkEffective(location string, group *wire.Group, service *wire.Service) {
	breaker, limits := mergeBreaker(group, service), mergeLimits(group, service)
	if breaker.GetProbeTenureMicros() < limits.GetCutoffMicros() {
		v.addf(location+".guard.probeTenureMicros", "%d is less than the cutoff of %d: a probe would go back while its call still runs (group and defaults counted in)",
			breaker.GetProbeTenureMicros(), limits.GetCutoffMicros())
	}
	if breaker.GetSlowRate() < 1 && breaker.GetSlowMicros() >= limits.GetCutoffMicros() {
		v.addf(location+".guard.slowMicros", "%d is not less than the cutoff of %d: no call would ever count as slow (group and defaults counted in)",
			breaker.GetSlowMicros(), limits.GetCutoffMicros())
	}
	if breaker.GetMinimumCalls() > breaker.GetWindowCalls() {
		v.addf(location+".guard.minimumCalls", "%d is more than the window of %d calls (group and defaults counted in)",
			breaker.GetMinimumCalls(), breaker.GetWindowCalls())
	}
}

func defaultBreaker() *wire.Breaker {
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

// mergeBreaker and its kin lay field over field: defaults, then the group, then the service.
func mergeBreaker(group *wire.Group, service *wire.Service) *wire.Breaker {
	merged := defaultBreaker()
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
	Name    string
	Group   string
	Breaker *wire.Breaker
	Retry   *wire.Retry
	Limits  *wire.Limits
}

// BreakerTerms are the guard's figures as the shared record keeps them.
func (s *Service) BreakerTerms() *wire.BreakerSettings {
	return &wire.BreakerSettings{WaitOpen: s.Breaker.GetWaitOpenMicros(), Permitted: s.Breaker.GetPermittedHalfOpen(),
		FailureRate: s.Breaker.GetFailureRate(), ProbeLease: s.Breaker.GetProbeTenureMicros(), StateTtl: int64(300 * monotonic.Second)}
}

// Snapshot is one adopted desired state. Invariant: it never changes once made; what two versions have in common they may share.
type Snapshot struct {
	Version  uint64
	Digest   string
	Services map[string]*Service
	table    routeTable
}

// Compile makes the view of a checked desired state.
func Compile(state *wire.DesiredState, version uint64, digest string) *Snapshot {
	snapshot := &Snapshot{Version: version, Digest: digest, Services: map[string]*Service{}}
	builder := tableBuilder{}
	for _, group := range state.Groups {
		for _, service := range group.Services {
			effective := EffectiveService(group, service)
			snapshot.Services[service.Name] = effective
			for _, path := range service.Paths {
				builder.add(pathRoute(path, effective))
			}
		}
	}
	for _, route := range state.Routes {
		builder.add(compileRoute(route, snapshot.Services))
	}
	snapshot.table = builder.build()
	return snapshot
}

// EffectiveService lays a service's terms over its group's, and those over the defaults.
func EffectiveService(group *wire.Group, service *wire.Service) *Service {
	retry := defaultRetry()
	proto.Merge(retry, orEmpty(group.Retry))
	proto.Merge(retry, orEmpty(service.Retry))
	return &Service{Name: service.Name, Group: group.Name, Breaker: mergeBreaker(group, service), Retry: retry, Limits: mergeLimits(group, service)}
}

// DefaultService is a service that a view doesn't have, as it would be with nothing set.
func DefaultService(name string) *Service {
	return EffectiveService(&wire.Group{}, &wire.Service{Name: name})
}

// Digest names a content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
