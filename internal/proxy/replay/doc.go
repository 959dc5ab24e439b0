// Package replay stores complete responses to requests with an idempotency key for a limited time, so that a caller that repeats
// such a request gets the response of the first run.
//
// A Store holds the responses of one proxy process in memory. The registry stores the claim of a key; a response is stored for as
// long as that claim.
package replay
