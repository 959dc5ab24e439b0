package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"snowflow/internal/transport/wire"
)

// MaxContentSize is the maximum size of a configuration that is parsed or stored, in bytes.
const MaxContentSize = 4 << 20

// FieldError is one error in a configuration. The JSON keys are part of the documented API.
type FieldError struct {
	// Location is the path of the field, such as "groups[0].services[1].name". It's empty if the error concerns the whole content.
	Location string `json:"place"`
	Message  string `json:"text"`
}

// String formats the error for operators.
func (e FieldError) String() string { return e.Location + ": " + e.Message }

// Parser decodes the content of a configuration and returns its errors. The result must depend only on the content. Parse and
// ParseAccepted are the parsers for this package's own format; a platform may store configurations in another format.
type Parser func(content []byte) (*wire.DesiredState, []FieldError)

// Parse reads a configuration from JSON and validates it. Unknown fields are errors. All errors are reported at once; the returned
// state is nil if the content can't be decoded.
func Parse(content []byte) (*wire.DesiredState, []FieldError) {
	if len(content) > MaxContentSize {
		return nil, []FieldError{{Message: fmt.Sprintf("%d bytes, at most %d", len(content), MaxContentSize)}}
	}
	state := &wire.DesiredState{}
	if fieldErrors := checkShape(content, state.ProtoReflect().Descriptor()); len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	if err := (protojson.UnmarshalOptions{}).Unmarshal(content, state); err != nil {
		return nil, []FieldError{decodeError(err)}
	}
	return state, Validate(state)
}

// ParseAccepted reads a configuration that a configuration store has accepted. It isn't validated again, because the store's build
// may be older and check less, or newer and have fields that this build doesn't know.
func ParseAccepted(content []byte) (*wire.DesiredState, []FieldError) {
	state := &wire.DesiredState{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(content, state); err != nil {
		return nil, []FieldError{decodeError(err)}
	}
	return state, nil
}

// decodeError converts an error of protojson, which randomly uses non-breaking spaces so that nobody relies on its error texts.
// They are replaced by plain spaces.
func decodeError(err error) FieldError {
	return FieldError{Message: strings.ReplaceAll(err.Error(), "\u00a0", " ")}
}

// Digest returns the SHA-256 digest of a configuration's content in hexadecimal, which identifies that content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
