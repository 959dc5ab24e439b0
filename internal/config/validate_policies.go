package config

import (
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
)

// Bounds of the fields of policies and routes. A bound has a name where several fields share it or where it needs an explanation.
const (
	maxAttempts = 10
	// maxRequestDuration bounds a route's timeout and latency target, and the latency above which a call counts as slow.
	maxRequestDuration = 10 * monotonic.Minute
	// maxWindowCalls bounds the number of calls in a breaker's window.
	maxWindowCalls = 10_000
	// minBreakerWait and maxBreakerWait bound how long a breaker stays open and how long a probe's lease lasts.
	minBreakerWait = 100 * monotonic.Millisecond
	maxBreakerWait = 2 * monotonic.Minute
	// maxBodyBytes bounds the body size of requests and responses.
	maxBodyBytes = 32 << 20
	// maxBudgetRatio bounds the retries per first attempt, so that retries can't multiply the load on a service.
	maxBudgetRatio = 0.2
	// minRate is the lowest share of failed or slow calls at which a breaker may open.
	minRate = 0.01
)

// checkPolicies checks the policies of a group or service. Each of them may be nil.
func (v *validator) checkPolicies(location string, breaker *wire.Breaker, retry *wire.Retry, limits *wire.Limits) {
	if breaker != nil {
		v.checkBreaker(location+".guard", breaker)
	}
	if retry != nil {
		v.checkRetry(location+".retry", retry)
	}
	if limits != nil {
		v.checkLimits(location+".limits", limits)
	}
}

func (v *validator) checkBreaker(location string, breaker *wire.Breaker) {
	v.checkCount(location+".windowCalls", breaker.WindowCalls, 5, maxWindowCalls)
	v.checkCount(location+".minimumCalls", breaker.MinimumCalls, 1, maxWindowCalls)
	v.checkRatio(location+".failureRate", breaker.FailureRate, minRate, 1)
	v.checkRatio(location+".slowRate", breaker.SlowRate, minRate, 1)
	v.checkDuration(location+".slowMicros", breaker.SlowMicros, monotonic.Millisecond, maxRequestDuration)
	v.checkDuration(location+".waitOpenMicros", breaker.WaitOpenMicros, minBreakerWait, maxBreakerWait)
	v.checkCount(location+".permittedHalfOpen", breaker.PermittedHalfOpen, 1, 1000)
	v.checkDuration(location+".probeTenureMicros", breaker.ProbeTenureMicros, minBreakerWait, maxBreakerWait)
}

func (v *validator) checkRetry(location string, retry *wire.Retry) {
	v.checkCount(location+".mostTries", retry.MostTries, 1, maxAttempts)
	v.checkRatio(location+".budgetRatio", retry.BudgetRatio, 0, maxBudgetRatio)
	v.checkCount(location+".allowance", retry.Allowance, 0, 1000)
	v.checkDuration(location+".backoffMicros", retry.BackoffMicros, 0, 10*monotonic.Second)
}

func (v *validator) checkLimits(location string, limits *wire.Limits) {
	v.checkDuration(location+".cutoffMicros", limits.CutoffMicros, 10*monotonic.Millisecond, 30*monotonic.Second)
	v.checkCount(location+".inFlightPerBackend", limits.InFlightPerBackend, 1, 100_000)
	v.checkBytes(location+".bodyBytes", limits.BodyBytes, 1, maxBodyBytes)
	v.checkBytes(location+".answerBytes", limits.AnswerBytes, 1, maxBodyBytes)
}

// checkEffective checks constraints between fields. They apply to a service's effective policies, which are merged from its own, its
// group's and the defaults.
func (v *validator) checkEffective(location string, group *wire.Group, service *wire.Service) {
	breaker, limits := mergeBreaker(group, service), mergeLimits(group, service)
	if breaker.GetProbeTenureMicros() < limits.GetCutoffMicros() {
		v.addf(location+".guard.probeTenureMicros", "%d is less than the cutoff of %d: a probe's lease would expire while its call is still running (including values from the group and the defaults)",
			breaker.GetProbeTenureMicros(), limits.GetCutoffMicros())
	}
	if breaker.GetSlowRate() < 1 && breaker.GetSlowMicros() >= limits.GetCutoffMicros() {
		v.addf(location+".guard.slowMicros", "%d is not less than the cutoff of %d: no call would ever count as slow (including values from the group and the defaults)",
			breaker.GetSlowMicros(), limits.GetCutoffMicros())
	}
	if breaker.GetMinimumCalls() > breaker.GetWindowCalls() {
		v.addf(location+".guard.minimumCalls", "%d is more than the window of %d calls (including values from the group and the defaults)",
			breaker.GetMinimumCalls(), breaker.GetWindowCalls())
	}
}

// The checks below accept nil, which stands for an omitted field. The bounds are inclusive.

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
	if value != nil && !(*value >= minimum && *value <= maximum) { // written so that NaN is rejected too
		v.addf(location, "%v is not between %v and %v", *value, minimum, maximum)
	}
}
