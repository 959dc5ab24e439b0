// Package replay keeps complete responses to requests with an idempotency key for a while, so that a caller that repeats such
// a request gets the response of the run that there was.
//
// A Store is in memory, of one proxy process. The claim that a key has run is kept by the registry; a response is kept as long
// as its claim.
package replay
