// Package idempotency implements the registry's table of idempotency keys. A request with a key runs at most once: before a proxy sends
// the request to a backend, it must be granted a claim on the key. The code calls the key together with its resource and tenant the
// scope.
//
// A key is in one of two states:
//
//	free     No attempt is running under the key.
//	pending  One attempt was granted the claim and may have run. The key stays pending until the owner reports that nothing ran
//	         (Complete) or the record's lifetime ends.
//
// In both states a record lists the voided attempts, which are never granted, and may have a fence. A fence is a time on the leader
// clock; a request that a proxy read at or before it is not granted. A proxy that reports not_run to its caller relies on both.
//
// Table is a deterministic state machine: the current time is an argument, the leader clock in microseconds, and every replica
// applies the same calls in the same order. Records are stored encoded, since most are written once and never read again, while a
// snapshot needs all of them at once.
package idempotency
