// Package idempotency implements the registry's table of idempotency keys. A request with a key runs at most once: a proxy
// must be granted a claim on the key (the scope) before it sends the request to a backend.
//
// A key is in one of two states:
//
//	free     no attempt may be running under the key.
//	pending  one attempt was granted the claim and may have run. It stays so until the owner states that nothing ran
//	         (Complete) or the record's lifetime ends.
//
// In either state a record has the attempts that were voided, which are never granted, and possibly a fence: an instant on the
// leader clock such that no request read by a proxy up to it is granted. A proxy that reports not_run to its caller relies on both.
//
// Table is a deterministic state machine: the current time is an argument, the leader clock, in microseconds, and every replica
// applies the same calls in the same order. Records are stored encoded, since most are written once and never read again,
// while a snapshot needs all of them at once.
package idempotency
