package apierror

import "snowflow/internal/monotonic"

// Cause is the number of an Error's cause. Numbers are stable across releases, never reused, and listed in docs/interfaces.md.
type Cause uint32

// The causes of the errors that are returned to callers.
const (
	MissingKey              Cause = 101 // the request needs an idempotency key and has none
	UnknownPath             Cause = 102 // no service or route matches the path
	BodyTooLarge            Cause = 103 // the body exceeds the limit
	BodyMismatch            Cause = 104 // the idempotency key was used with a different body
	MalformedRequest        Cause = 105 // the request cannot be read
	Unauthenticated         Cause = 106 // the request has no tenant's key, an unknown one, or several
	NotReady                Cause = 201 // the proxy has no configuration or directory yet
	ConfigLeaseExpired      Cause = 202 // the lease on the configuration expired
	Draining                Cause = 203 // the proxy is shutting down
	StoppedInFlight         Cause = 204 // the proxy stopped while the request was in flight
	KeyLeaseExpired         Cause = 205 // the proxy can't tell whether a tenant's key is still valid
	BreakerOpen             Cause = 301 // the service's breaker is open
	NoProbeLeft             Cause = 302 // the service's breaker is half open and admits no further probe
	NoBackend               Cause = 303 // no backend is available
	Overloaded              Cause = 304 // admission control rejected the request
	RetryBudgetExhausted    Cause = 305 // the retry budget is exhausted
	DeadlineExceeded        Cause = 306 // the request's deadline passed
	ForwardUnreachable      Cause = 401 // the backend's proxy could not be reached
	ForwardLost             Cause = 402 // the backend's proxy sent no response
	VersionOlder            Cause = 403 // the request was resolved with an older configuration than the backend's proxy has
	VersionNewer            Cause = 404 // the request was resolved with a newer configuration than the backend's proxy has
	BackendLeaving          Cause = 405 // the backend is shutting down
	BackendUnknown          Cause = 406 // the backend's proxy does not have that backend
	BackendDialFailed       Cause = 407 // the backend did not accept the connection
	BackendIdentityMismatch Cause = 408 // another backend instance runs at the address
	BackendUnhealthy        Cause = 409 // the backend failed its health check
	ResponseBroken          Cause = 501 // the backend's response was malformed or incomplete
	ResponseTooLarge        Cause = 502 // the backend's response exceeds the limit
	ResponseTimeout         Cause = 503 // the backend did not respond in time
	NotExecuted             Cause = 504 // the backend stated that it did not run the request
	ResponseMismatch        Cause = 505 // the response belongs to another request
	KeyPending              Cause = 601 // another attempt with the idempotency key is pending
	ClaimUnreachable        Cause = 602 // no registry could grant the claim
	KeyFenced               Cause = 603 // the attempt was voided, or the key was fenced after the request was read
	ClaimTimeout            Cause = 604 // the claim was not granted in time
	ResponseExpired         Cause = 605 // the recorded response for the key has expired
	ClientClosed            Cause = 701 // the caller closed its connection
)

// causeEntry holds what errors of one cause have in common.
type causeEntry struct {
	name       string           // sent to callers and in metrics
	status     int              // of the HTTP response
	retryAfter monotonic.Micros // zero if a retry is useless
	backend    bool             // whether the backend caused the error
}

// retrySoon is the usual value of retryAfter.
const retrySoon = monotonic.Second

// catalogue holds every cause.
var catalogue = map[Cause]causeEntry{
	MissingKey:              {"no_reference_key", 400, 0, false},
	UnknownPath:             {"unknown_path", 404, 0, false},
	BodyTooLarge:            {"body_too_large", 413, 0, false},
	BodyMismatch:            {"key_used_with_another_body", 409, 0, false},
	MalformedRequest:        {"unreadable_request", 400, 0, false},
	Unauthenticated:         {"unauthenticated", 401, 0, false},
	NotReady:                {"not_ready", 503, retrySoon, false},
	ConfigLeaseExpired:      {"desired_state_tenure_ended", 503, 2 * retrySoon, false},
	Draining:                {"draining", 503, retrySoon, false},
	StoppedInFlight:         {"stopped_under_way", 503, retrySoon, false},
	KeyLeaseExpired:         {"key_lease_expired", 503, retrySoon, false},
	BreakerOpen:             {"guard_open", 503, 5 * retrySoon, false},
	NoProbeLeft:             {"no_probe_left", 503, retrySoon, false},
	NoBackend:               {"no_backend", 503, 2 * retrySoon, false},
	Overloaded:              {"overloaded", 503, retrySoon, false},
	RetryBudgetExhausted:    {"retry_budget_spent", 503, 2 * retrySoon, false},
	DeadlineExceeded:        {"cutoff_reached", 504, retrySoon, false},
	ForwardUnreachable:      {"pass_unreachable", 502, retrySoon, false},
	ForwardLost:             {"pass_lost", 502, retrySoon, false},
	VersionOlder:            {"older_serial", 503, retrySoon, false},
	VersionNewer:            {"serial_behind", 503, retrySoon, false},
	BackendLeaving:          {"backend_leaving", 503, retrySoon, false},
	BackendUnknown:          {"backend_unknown", 503, retrySoon, false},
	BackendDialFailed:       {"backend_dial_failed", 502, retrySoon, true},
	BackendIdentityMismatch: {"backend_identity_mismatch", 502, retrySoon, false},
	BackendUnhealthy:        {"backend_ailing", 503, retrySoon, false},
	ResponseBroken:          {"answer_broken", 502, retrySoon, true},
	ResponseTooLarge:        {"answer_too_large", 502, 0, true},
	ResponseTimeout:         {"answer_late", 504, retrySoon, true},
	NotExecuted:             {"backend_not_executed", 503, retrySoon, true},
	ResponseMismatch:        {"answer_unmatched", 502, retrySoon, false},
	KeyPending:              {"key_held", 409, 2 * retrySoon, false},
	ClaimUnreachable:        {"claims_unreachable", 503, 2 * retrySoon, false},
	KeyFenced:               {"key_fenced", 503, retrySoon, false},
	ClaimTimeout:            {"claim_late", 503, retrySoon, false},
	ClientClosed:            {"caller_left", 503, retrySoon, false},
	ResponseExpired:         {"answer_gone", 409, 2 * retrySoon, false},
}

// Name returns the cause's name, which is sent to callers and used in metrics.
func (c Cause) Name() string { return catalogue[c].name }

// Causes returns the names of all causes.
func Causes() map[Cause]string {
	names := map[Cause]string{}
	for cause, entry := range catalogue {
		names[cause] = entry.name
	}
	return names
}
