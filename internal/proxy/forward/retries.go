package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
)

const (
	// minRetryTime is the least time that must be left before the deadline after the backoff of a retry.
	minRetryTime = 50 * monotonic.Millisecond
	// newerConfigTimeout is how long to wait for a newer configuration after a rejection for the version.
	newerConfigTimeout = 300 * monotonic.Millisecond
)

// forwardWithRetries makes the first attempt and, while that is safe, allowed and in time, further ones.
func (f *Forwarder) forwardWithRetries(exchange *Exchange) (*request.Response, *apierror.Error) {
	tried := map[string]bool{}
	for {
		result := f.attemptBackend(exchange, tried)
		redispatch := exchange.retries.EndAttempt(f.config.RetryBudget, exchange.Service.Name, exchange.Service.Retry,
			retry.AttemptResult{Fault: result.fault, Retriable: result.retriable, LastBackend: result.lastBackend})
		if result.fault == nil {
			return result.response, nil
		}
		exchange.MayHaveRun = exchange.MayHaveRun || !result.fault.NotRun()
		if redispatch {
			continue
		}
		if fault := f.prepareRetry(exchange, result); fault != nil {
			return nil, fault
		}
	}
}

// prepareRetry waits for the backoff before a retry, or returns the fault with which the request ends.
func (f *Forwarder) prepareRetry(exchange *Exchange, failed attemptResult) *apierror.Error {
	fault := failed.fault
	if fault.Cause == apierror.Overloaded {
		// Every backend that could be tried is full. The request fails at once, with the shortest of their waits.
		fault.RetryAfter = exchange.retries.MinRetryAfter()
		return fault
	}
	if !failed.retriable || exchange.Attempts >= exchange.maxAttempts() {
		return fault
	}
	policy := exchange.Service.Retry
	backoff := retry.Backoff(policy, f.config.Host.Random())
	if f.config.Host.Now()+backoff+minRetryTime >= exchange.Deadline {
		return fault
	}
	if !exchange.retries.Charge(f.config.RetryBudget, exchange.Service.Name, policy) {
		return apierror.New(apierror.RetryBudgetExhausted, fault.Verdict,
			"the retry budget is exhausted; the last attempt failed: %s", fault.Detail)
	}
	if fault.Cause == apierror.VersionOlder || fault.Cause == apierror.VersionBehind {
		f.resolveAgain(exchange)
	}
	f.config.Host.Sleep(backoff)
	return nil
}

// resolveAgain resolves an exchange by the newest configuration, after a rejection for its version or when a newer version
// has been adopted. It changes nothing if the request would then be of another route, or of another class.
func (f *Forwarder) resolveAgain(exchange *Exchange) {
	f.config.ConfigClient.WaitForVersion(exchange.Snapshot.Version+1, newerConfigTimeout)
	snapshot, live := f.config.ConfigClient.Current()
	if !live {
		return
	}
	route, found := snapshot.Resolve(exchange.Host, exchange.Method, exchange.Target.Path)
	if !found || route.Name != exchange.Route.Name {
		return
	}
	runOnce := runsOnce(route, exchange)
	if runOnce != exchange.RunOnce || (route.Single && !runOnce) != exchange.AtMostOnce {
		return
	}
	if service, found := route.FindService(exchange.Service.Name); found {
		exchange.Snapshot, exchange.Route, exchange.Service = snapshot, route, service
	}
}
