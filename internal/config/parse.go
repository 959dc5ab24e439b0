package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/transport/wire"
)

// MaxContentSize is the longest configuration that is parsed or stored, in bytes.
const MaxContentSize = 4 << 20

// FieldError is one error in a configuration. The JSON keys are part of the documented interface.
type FieldError struct {
	// Location is the path of the field, such as "groups[0].services[1].name"; empty if the error concerns the whole content.
	Location string `json:"place"`
	Message  string `json:"text"`
}

// String returns the error as operators are shown it.
func (e FieldError) String() string { return e.Location + ": " + e.Message }

// Parser decodes the content of a configuration and returns its errors. Its result depends on the content alone. Parse and
// ParseAccepted are the parsers of this package's own format; a platform may store configurations in another one.
type Parser func(content []byte) (*wire.DesiredState, []FieldError)

// Parse reads a configuration from JSON and validates it. Unknown fields are errors. All errors are reported at once; the state
// is nil if the content can't be read at all.
func Parse(content []byte) (*wire.DesiredState, []FieldError) {
	if len(content) > MaxContentSize {
		return nil, []FieldError{{Message: fmt.Sprintf("%d bytes, at most %d", len(content), MaxContentSize)}}
	}
	state := &wire.DesiredState{}
	if fieldErrors := checkShape(content, state.ProtoReflect().Descriptor()); len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	if err := (protojson.UnmarshalOptions{}).Unmarshal(content, state); err != nil {
		return nil, []FieldError{unreadable(err)}
	}
	return state, Validate(state)
}

// ParseAccepted reads a configuration that a configuration store has accepted. It isn't validated again: the store's build may
// be an earlier one that checked less, or a later one with fields that this build doesn't know.
func ParseAccepted(content []byte) (*wire.DesiredState, []FieldError) {
	state := &wire.DesiredState{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, state); err != nil {
		return nil, []FieldError{unreadable(err)}
	}
	return state, nil
}

// unreadable reports an error of the JSON library, which uses non-breaking spaces at random, to keep its texts from being
// relied on; they are replaced by plain ones.
func unreadable(err error) FieldError {
	return FieldError{Message: strings.ReplaceAll(err.Error(), "\u00a0", " ")}
}

// Digest returns the SHA-256 digest of a content in hexadecimal, which identifies the content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
