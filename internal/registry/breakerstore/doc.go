// Package breakerstore implements the shared circuit breaker records of the registry: one record per service, replicated
// through package statemachine.
//
// Each proxy has a local sliding window per service (package proxy/breaker) and reports when that window trips. The shared
// record turns those reports into one state that all proxies follow:
//
//	Closed    requests pass. Reports of local trips are collected; once enough of the active proxies have reported within
//	          reportLifetime, the record opens.
//	Open      requests are rejected until BreakerSettings.WaitOpen has passed.
//	HalfOpen  a round of BreakerSettings.Permitted probes is leased to proxies. When each probe has a result, the proxy that
//	          sent the last one decides by JudgeRound; if it does not within decisionTimeout, Sweep does.
//
// Table is a deterministic state machine: it reads no clock and draws no random numbers. The current time is an argument, the
// leader clock, in microseconds. Every replica applies the same calls in the same order and so holds the same records.
// Writes are compare-and-set on the record's version.
//
// ChangeTracker is not replicated. It lets the primary send a polling proxy only the records that changed since its last poll.
package breakerstore
