// Package breakerstore implements the shared circuit breaker records of the registry: one record per service, replicated
// through package statemachine.
//
// Each proxy has a local sliding window per service (package proxy/breaker) and reports when that window trips. The shared
// record turns those reports into one state that all proxies follow:
//
//	Closed    Requests pass. The record collects reports of local trips, and opens once enough of the active proxies have
//	          reported within reportLifetime.
//	Open      Requests are rejected until BreakerSettings.WaitOpen has passed.
//	HalfOpen  A round of BreakerSettings.Permitted probes is leased to proxies. When every probe has a result, the proxy that
//	          sent the last one decides the next state by EvaluateRound. Sweep decides if that takes longer than decisionTimeout.
//
// Table is a deterministic state machine: it reads no clock and uses no random numbers. The current time is an argument, the
// leader clock in microseconds. Every replica applies the same calls in the same order and so holds the same records.
// Writes are compare-and-set on the record's version.
//
// ChangeTracker is not replicated. With it the primary sends a polling proxy only the records that changed since its last poll.
package breakerstore
