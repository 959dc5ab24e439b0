// Package retry decides whether a request that failed at one backend may be attempted again, and when.
//
// It has four parts, each usable alone:
//
//   - Budget is a token bucket for each service. First attempts deposit a fraction of a token, each retry withdraws a whole
//     one. It bounds how much retries can add to the load of a service that is failing.
//   - State follows the attempts of one request and settles them with the Budget. It also decides on redispatches: a request
//     that another proxy rejected before any backend saw it goes to another backend at once, without a withdrawal.
//   - Backoff is the pause before a retry.
//   - Jitter spreads the Retry-After hints of rejections, so that callers don't all return at once.
//
// Whether a retry could make a request run twice isn't decided here: the forwarder decides it for each attempt. Nothing is
// persisted, and all state is of one proxy process.
package retry
