package apierror

import "snowflow/internal/monotonic"

// The causes. Numbers are never reused.
const (
	NoKey            Cause = 101
	UnknownPath      Cause = 102
	BodyTooLarge     Cause = 103
	OtherBody        Cause = 104
	Unreadable       Cause = 105
	NotReady         Cause = 201
	TenureEnded      Cause = 202
	Draining         Cause = 203
	StoppedUnderWay  Cause = 204
	GuardOpen        Cause = 301
	NoProbe          Cause = 302
	NoBackend        Cause = 303
	Overloaded       Cause = 304
	BudgetSpent      Cause = 305
	CutoffReached    Cause = 306
	PassUnreachable  Cause = 401
	PassLost         Cause = 402
	SerialOlder      Cause = 403
	SerialBehind     Cause = 404
	BackendLeaving   Cause = 405
	BackendUnknown   Cause = 406
	BackendDial      Cause = 407
	BackendIdentity  Cause = 408
	BackendAiling    Cause = 409
	AnswerBroken     Cause = 501
	AnswerTooLarge   Cause = 502
	AnswerLate       Cause = 503
	NotExecuted      Cause = 504
	AnswerUnmatched  Cause = 505
	KeyHeld          Cause = 601
	ClaimUnreachable Cause = 602
	KeyFenced        Cause = 603
	ClaimLate        Cause = 604
	AnswerGone       Cause = 605
	CallerLeft       Cause = 701
)

type causeEntry struct {
	name       string
	status     int
	retryAfter monotonic.Micros
	backend    bool
}

const soon = monotonic.Second

var catalogue = map[Cause]causeEntry{
	NoKey:            {"no_reference_key", 400, 0, false},
	UnknownPath:      {"unknown_path", 404, 0, false},
	BodyTooLarge:     {"body_too_large", 413, 0, false},
	OtherBody:        {"key_used_with_another_body", 409, 0, false},
	Unreadable:       {"unreadable_request", 400, 0, false},
	NotReady:         {"not_ready", 503, soon, false},
	TenureEnded:      {"desired_state_tenure_ended", 503, 2 * soon, false},
	Draining:         {"draining", 503, soon, false},
	StoppedUnderWay:  {"stopped_under_way", 503, soon, false},
	GuardOpen:        {"guard_open", 503, 5 * soon, false},
	NoProbe:          {"no_probe_left", 503, soon, false},
	NoBackend:        {"no_backend", 503, 2 * soon, false},
	Overloaded:       {"overloaded", 503, soon, false},
	BudgetSpent:      {"retry_budget_spent", 503, 2 * soon, false},
	CutoffReached:    {"cutoff_reached", 504, soon, false},
	PassUnreachable:  {"pass_unreachable", 502, soon, false},
	PassLost:         {"pass_lost", 502, soon, false},
	SerialOlder:      {"older_serial", 503, soon, false},
	SerialBehind:     {"serial_behind", 503, soon, false},
	BackendLeaving:   {"backend_leaving", 503, soon, false},
	BackendUnknown:   {"backend_unknown", 503, soon, false},
	BackendDial:      {"backend_dial_failed", 502, soon, true},
	BackendIdentity:  {"backend_identity_mismatch", 502, soon, false},
	BackendAiling:    {"backend_ailing", 503, soon, false},
	AnswerBroken:     {"answer_broken", 502, soon, true},
	AnswerTooLarge:   {"answer_too_large", 502, 0, true},
	AnswerLate:       {"answer_late", 504, soon, true},
	NotExecuted:      {"backend_not_executed", 503, soon, true},
	AnswerUnmatched:  {"answer_unmatched", 502, soon, false},
	KeyHeld:          {"key_held", 409, 2 * soon, false},
	ClaimUnreachable: {"claims_unreachable", 503, 2 * soon, false},
	KeyFenced:        {"key_fenced", 503, soon, false},
	ClaimLate:        {"claim_late", 503, soon, false},
	CallerLeft:       {"caller_left", 503, soon, false},
	AnswerGone:       {"answer_gone", 409, 2 * soon, false},
}

// Name is the cause's word in the catalogue.
func (cause Cause) Name() string { return catalogue[cause].name }

// Causes lists the catalogue, for the documents' own test.
func Causes() map[Cause]string {
	names := map[Cause]string{}
	for cause, entry := range catalogue {
		names[cause] = entry.name
	}
	return names
}
