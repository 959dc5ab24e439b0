package wire

import "encoding/json"

// The programs' status pages show sessions and records as JSON. The keys on these pages are a public interface that keeps the former
// names of some fields. Each table maps the name of a field to its key.
var (
	sessionKeys         = map[string]string{"proxy": "carrier", "heartbeat": "beat", "config_version": "desired_serial"}
	backendKeys         = map[string]string{"slow_start": "warm"}
	proxyKeys           = map[string]string{"proxy": "carrier"}
	breakerSettingsKeys = map[string]string{"probe_lease": "probe_tenure"}
	singletonLeaseKeys  = map[string]string{"role": "duty", "proxy": "carrier"}
	breakerRecordKeys   = map[string]string{
		"version": "serial", "probe_leases": "probes", "probe_results": "tallies", "entered_at": "entered", "expires_at": "expires",
		"round_completed_at": "round_complete", "settings": "terms",
	}
)

// The plain types have the fields of their messages but not the methods, so that MarshalJSON and UnmarshalJSON do not recurse.
type (
	plainSession              Session
	plainBackend              Backend
	plainProbeShare           ProbeShare
	plainProbeLease           ProbeLease
	plainProbeResult          ProbeResult
	plainTripReport           TripReport
	plainBreakerSettings      BreakerSettings
	plainBreakerRecord        BreakerRecord
	plainSingletonLeaseRecord SingletonLeaseRecord
)

// MarshalJSON writes the session with the keys of the status pages.
func (x *Session) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(sessionKeys, (*plainSession)(x))
}

// UnmarshalJSON reads a session with the keys of the status pages.
func (x *Session) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(sessionKeys, content, (*plainSession)(x))
}

// MarshalJSON writes the backend with the keys of the status pages.
func (x *Backend) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(backendKeys, (*plainBackend)(x))
}

// UnmarshalJSON reads a backend with the keys of the status pages.
func (x *Backend) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(backendKeys, content, (*plainBackend)(x))
}

// MarshalJSON writes the share with the keys of the status pages.
func (x *ProbeShare) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(proxyKeys, (*plainProbeShare)(x))
}

// UnmarshalJSON reads a share with the keys of the status pages.
func (x *ProbeShare) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(proxyKeys, content, (*plainProbeShare)(x))
}

// MarshalJSON writes the lease with the keys of the status pages.
func (x *ProbeLease) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(proxyKeys, (*plainProbeLease)(x))
}

// UnmarshalJSON reads a lease with the keys of the status pages.
func (x *ProbeLease) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(proxyKeys, content, (*plainProbeLease)(x))
}

// MarshalJSON writes the result with the keys of the status pages.
func (x *ProbeResult) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(proxyKeys, (*plainProbeResult)(x))
}

// UnmarshalJSON reads a result with the keys of the status pages.
func (x *ProbeResult) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(proxyKeys, content, (*plainProbeResult)(x))
}

// MarshalJSON writes the report with the keys of the status pages.
func (x *TripReport) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(proxyKeys, (*plainTripReport)(x))
}

// UnmarshalJSON reads a report with the keys of the status pages.
func (x *TripReport) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(proxyKeys, content, (*plainTripReport)(x))
}

// MarshalJSON writes the settings with the keys of the status pages.
func (x *BreakerSettings) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(breakerSettingsKeys, (*plainBreakerSettings)(x))
}

// UnmarshalJSON reads settings with the keys of the status pages.
func (x *BreakerSettings) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(breakerSettingsKeys, content, (*plainBreakerSettings)(x))
}

// MarshalJSON writes the record with the keys of the status pages.
func (x *BreakerRecord) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(breakerRecordKeys, (*plainBreakerRecord)(x))
}

// UnmarshalJSON reads a record with the keys of the status pages.
func (x *BreakerRecord) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(breakerRecordKeys, content, (*plainBreakerRecord)(x))
}

// MarshalJSON writes the record with the keys of the status pages.
func (x *SingletonLeaseRecord) MarshalJSON() ([]byte, error) {
	return marshalWithKeys(singletonLeaseKeys, (*plainSingletonLeaseRecord)(x))
}

// UnmarshalJSON reads a record with the keys of the status pages.
func (x *SingletonLeaseRecord) UnmarshalJSON(content []byte) error {
	return unmarshalWithKeys(singletonLeaseKeys, content, (*plainSingletonLeaseRecord)(x))
}

// marshalWithKeys encodes a message as JSON, and renames its top-level keys according to a table.
func marshalWithKeys(keys map[string]string, message any) ([]byte, error) {
	content, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	return renameKeys(content, keys)
}

// unmarshalWithKeys decodes the JSON that marshalWithKeys encoded with the same table.
func unmarshalWithKeys(keys map[string]string, content []byte, into any) error {
	names := make(map[string]string, len(keys))
	for name, key := range keys {
		names[key] = name
	}
	content, err := renameKeys(content, names)
	if err != nil {
		return err
	}
	return json.Unmarshal(content, into)
}

// renameKeys renames the top-level keys of a JSON object.
func renameKeys(content []byte, renamed map[string]string) ([]byte, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(content, &object); err != nil {
		return nil, err
	}
	result := make(map[string]json.RawMessage, len(object))
	for key, value := range object {
		if newKey, found := renamed[key]; found {
			key = newKey
		}
		result[key] = value
	}
	return json.Marshal(result)
}
