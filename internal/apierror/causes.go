package apierror

import "snowflow/internal/monotonic"

// The causes. Numbers are never reused.
const (
	MissingKey              Cause = 101
	UnknownPath             Cause = 102
	BodyTooLarge            Cause = 103
	BodyMismatch            Cause = 104
	MalformedRequest        Cause = 105
	NotReady                Cause = 201
	ConfigLeaseExpired      Cause = 202
	Draining                Cause = 203
	StoppedInFlight         Cause = 204
	BreakerOpen             Cause = 301
	NoProbeLeft             Cause = 302
	NoBackend               Cause = 303
	Overloaded              Cause = 304
	RetryBudgetExhausted    Cause = 305
	DeadlineExceeded        Cause = 306
	ForwardUnreachable      Cause = 401
	ForwardLost             Cause = 402
	VersionOlder            Cause = 403
	VersionBehind           Cause = 404
	BackendLeaving          Cause = 405
	BackendUnknown          Cause = 406
	BackendDialFailed       Cause = 407
	BackendIdentityMismatch Cause = 408
	BackendUnhealthy        Cause = 409
	ResponseBroken          Cause = 501
	ResponseTooLarge        Cause = 502
	ResponseTimeout         Cause = 503
	NotExecuted             Cause = 504
	ResponseMismatch        Cause = 505
	KeyPending              Cause = 601
	ClaimUnreachable        Cause = 602
	KeyFenced               Cause = 603
	ClaimTimeout            Cause = 604
	ResponseExpired         Cause = 605
	ClientClosed            Cause = 701
)

type causeEntry struct {
	name       string
	status     int
	retryAfter monotonic.Micros
	backend    bool
}

const retrySoon = monotonic.Second

var catalogue = map[Cause]causeEntry{
	MissingKey:              {"no_reference_key", 400, 0, false},
	UnknownPath:             {"unknown_path", 404, 0, false},
	BodyTooLarge:            {"body_too_large", 413, 0, false},
	BodyMismatch:            {"key_used_with_another_body", 409, 0, false},
	MalformedRequest:        {"unreadable_request", 400, 0, false},
	NotReady:                {"not_ready", 503, retrySoon, false},
	ConfigLeaseExpired:      {"desired_state_tenure_ended", 503, 2 * retrySoon, false},
	Draining:                {"draining", 503, retrySoon, false},
	StoppedInFlight:         {"stopped_under_way", 503, retrySoon, false},
	BreakerOpen:             {"guard_open", 503, 5 * retrySoon, false},
	NoProbeLeft:             {"no_probe_left", 503, retrySoon, false},
	NoBackend:               {"no_backend", 503, 2 * retrySoon, false},
	Overloaded:              {"overloaded", 503, retrySoon, false},
	RetryBudgetExhausted:    {"retry_budget_spent", 503, 2 * retrySoon, false},
	DeadlineExceeded:        {"cutoff_reached", 504, retrySoon, false},
	ForwardUnreachable:      {"pass_unreachable", 502, retrySoon, false},
	ForwardLost:             {"pass_lost", 502, retrySoon, false},
	VersionOlder:            {"older_serial", 503, retrySoon, false},
	VersionBehind:           {"serial_behind", 503, retrySoon, false},
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

// Name is the cause's word in the catalogue.
func (c Cause) Name() string { return catalogue[c].name }

// Causes lists the catalogue, for the documents' own test.
func Causes() map[Cause]string {
	names := map[Cause]string{}
	for cause, entry := range catalogue {
		names[cause] = entry.name
	}
	return names
}
