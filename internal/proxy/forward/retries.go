package forward

import (
	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/retry"
)

const (
	// minRetryTime is the time that must be left before the deadline after the backoff; with less there is no retry.
	minRetryTime = 50 * monotonic.Millisecond
	// newerConfigTimeout is how long to wait for a newer configuration after a rejection because of the configuration version.
	newerConfigTimeout = 300 * monotonic.Millisecond
)

// forwardWithRetries makes the first attempt and, if it fails, further ones while they are safe, allowed and in time.
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

// prepareRetry waits for the backoff before a retry. If there must be none, it returns the fault with which the request ends.
func (f *Forwarder) prepareRetry(exchange *Exchange, failed attemptResult) *apierror.Error {
	fault := failed.fault
	if fault.Cause == apierror.Overloaded {
		// Every backend that could be tried is full. The request fails at once, with the shortest Retry-After among them.
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
	if fault.Cause == apierror.VersionOlder || fault.Cause == apierror.VersionNewer {
		f.resolveAgain(exchange)
	}
	f.config.Host.Sleep(backoff)
	return nil
}

// resolveAgain resolves an exchange in the newest configuration, after a rejection because of the configuration version or after a
// newer version was adopted. It changes nothing if the request would then have another route or another class.
func (f *Forwarder) resolveAgain(exchange *Exchange) {
	f.config.ConfigClient.WaitForVersion(exchange.Snapshot.Version+1, newerConfigTimeout)
	snapshot, leaseValid := f.config.ConfigClient.Current()
	if !leaseValid {
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
