package config

import (
	"google.golang.org/protobuf/proto"

	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// breakerStateTTL is the time after the last write at which the registry's record of a service's breaker reverts to closed.
const breakerStateTTL = 300 * monotonic.Second

// Service is a service with its effective policies, all of whose fields are set. It must not be modified.
type Service struct {
	Name    string
	Group   string
	Breaker *wire.Breaker
	Retry   *wire.Retry
	Limits  *wire.Limits
}

// EffectiveService merges policies field by field: a service's override its group's, which override the defaults.
func EffectiveService(group *wire.Group, service *wire.Service) *Service {
	return &Service{
		Name:    service.Name,
		Group:   group.Name,
		Breaker: mergeBreaker(group, service),
		Retry:   mergeRetry(group, service),
		Limits:  mergeLimits(group, service),
	}
}

// DefaultService returns a service with the default policies, for a name that isn't in a snapshot.
func DefaultService(name string) *Service {
	return EffectiveService(&wire.Group{}, &wire.Service{Name: name})
}

// BreakerSettings returns the breaker's settings as proxies send them to the registry. Durations are in microseconds.
func (s *Service) BreakerSettings() *wire.BreakerSettings {
	return &wire.BreakerSettings{
		WaitOpen:    s.Breaker.GetWaitOpenMicros(),
		Permitted:   s.Breaker.GetPermittedHalfOpen(),
		FailureRate: s.Breaker.GetFailureRate(),
		ProbeLease:  s.Breaker.GetProbeTenureMicros(),
		StateTtl:    int64(breakerStateTTL),
	}
}

func defaultBreaker() *wire.Breaker {
	return &wire.Breaker{
		WindowCalls:       proto.Uint32(100),
		MinimumCalls:      proto.Uint32(20),
		FailureRate:       proto.Float64(0.5),
		SlowRate:          proto.Float64(1),
		SlowMicros:        proto.Int64(int64(10 * monotonic.Second)),
		WaitOpenMicros:    proto.Int64(int64(5 * monotonic.Second)),
		PermittedHalfOpen: proto.Uint32(10),
		ProbeTenureMicros: proto.Int64(int64(5 * monotonic.Second)),
		Disabled:          proto.Bool(false),
	}
}

func defaultRetry() *wire.Retry {
	return &wire.Retry{
		MostTries:     proto.Uint32(3),
		BudgetRatio:   proto.Float64(0.2),
		Allowance:     proto.Uint32(20),
		BackoffMicros: proto.Int64(int64(20 * monotonic.Millisecond)),
	}
}

func defaultLimits() *wire.Limits {
	return &wire.Limits{
		CutoffMicros:       proto.Int64(int64(5 * monotonic.Second)),
		InFlightPerBackend: proto.Uint32(64),
		BodyBytes:          proto.Uint64(1 << 20),
		AnswerBytes:        proto.Uint64(8 << 20),
	}
}

// mergeBreaker merges the breaker policy. If the lease of a probe is omitted, it's at least as long as the timeout of a call.
func mergeBreaker(group *wire.Group, service *wire.Service) *wire.Breaker {
	merged := defaultBreaker()
	merged.ProbeTenureMicros = proto.Int64(max(merged.GetProbeTenureMicros(), mergeLimits(group, service).GetCutoffMicros()))
	proto.Merge(merged, orEmpty(group.Guard))
	proto.Merge(merged, orEmpty(service.Guard))
	return merged
}

func mergeRetry(group *wire.Group, service *wire.Service) *wire.Retry {
	merged := defaultRetry()
	proto.Merge(merged, orEmpty(group.Retry))
	proto.Merge(merged, orEmpty(service.Retry))
	return merged
}

func mergeLimits(group *wire.Group, service *wire.Service) *wire.Limits {
	merged := defaultLimits()
	proto.Merge(merged, orEmpty(group.Limits))
	proto.Merge(merged, orEmpty(service.Limits))
	return merged
}

// orEmpty returns the message, or an empty one of its type in place of nil, which proto.Merge doesn't accept.
func orEmpty[Message any, Pointer interface {
	*Message
	proto.Message
}](message Pointer) Pointer {
	if message == nil {
		return Pointer(new(Message))
	}
	return message
}
