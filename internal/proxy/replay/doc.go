// Package replay stores complete responses to requests with an idempotency key for a while, so that a caller that repeats such
// a request gets the response of the first run.
//
// A Store is in memory, of one proxy process. The claim that a key has run is stored by the registry; a response is stored as
// long as its claim.
package replay
