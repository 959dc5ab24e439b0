// Package retry decides whether a request that failed at one backend may be attempted again, and when.
//
// It has four parts, each usable alone:
//
//   - Budget is a token bucket for each service. Each first attempt deposits a fraction of a token, and each retry withdraws a
//     whole one. This bounds how much retries can add to the load of a failing service.
//   - State tracks the attempts of one request and charges its retries to the Budget. It also decides on redispatches: a
//     request that another proxy rejected before any backend saw it goes to another backend at once, without a withdrawal.
//   - Backoff returns the pause before a retry.
//   - Jitter spreads the Retry-After hints of rejections, so that callers don't all return at once.
//
// The forwarder decides for each attempt whether another one is safe (AttemptResult.Retriable); this package doesn't. Nothing is
// persisted, and nothing is shared between proxies.
package retry
