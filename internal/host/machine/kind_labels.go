package machine

import "snowflow/internal/transport/wire"

// kindLabels maps the kinds that were renamed to the labels under which they were first published.
var kindLabels = map[wire.Kind]string{
	wire.Kind_discover:           "whois",
	wire.Kind_prepare:            "register_promise",
	wire.Kind_accept:             "register_accept",
	wire.Kind_lease:              "tenure_ask",
	wire.Kind_install_snapshot:   "install",
	wire.Kind_sessions:           "sessions_tell",
	wire.Kind_join:               "enroll",
	wire.Kind_registry_poll:      "sorter_poll",
	wire.Kind_void_claim:         "void",
	wire.Kind_complete_claim:     "claim_settle",
	wire.Kind_breaker_write:      "guard_write",
	wire.Kind_singleton_lease:    "duty",
	wire.Kind_registry_status:    "sorter_status",
	wire.Kind_registry_batch:     "sorter_batch",
	wire.Kind_config_poll:        "desired_poll",
	wire.Kind_config_apply:       "desired_apply",
	wire.Kind_config_read:        "desired_read",
	wire.Kind_configstore_status: "postmaster_status",
	wire.Kind_forward:            "pass",
	wire.Kind_replay:             "recall",
	wire.Kind_forward_bulk:       "pass_bulk",
	wire.Kind_forward_cancel:     "pass_cancel",
}

// KindLabel returns the label of a kind in metrics. Labels are stable across releases: a kind that is renamed keeps its label, so
// that operators' queries and recorded measurements stay comparable.
func KindLabel(kind wire.Kind) string {
	if label, renamed := kindLabels[kind]; renamed {
		return label
	}
	return kind.String()
}
