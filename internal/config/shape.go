package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// shape lists what in a JSON tree doesn't fit a message: protojson would stop at the first such place. Values that only
// protojson can judge, such as numbers out of range, are left to it.
func checkShape(content []byte, message protoreflect.MessageDescriptor) []FieldError {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var tree any
	if decoder.Decode(&tree) != nil {
		return nil
	}
	v := &validator{}
	v.checkObject("", tree, message)
	return v.fieldErrors
}

func joinLocation(location, name string) string {
	if location == "" {
		return name
	}
	return location + "." + name
}

func (v *validator) checkObject(location string, value any, message protoreflect.MessageDescriptor) {
	members, isObject := value.(map[string]any)
	if !isObject {
		v.addf(location, "must be an object")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field := message.Fields().ByJSONName(name)
		if field == nil {
			field = message.Fields().ByTextName(name)
		}
		if field == nil {
			v.addf(joinLocation(location, name), "no such field")
			continue
		}
		if members[name] == nil {
			continue
		}
		if !field.IsList() {
			v.checkValue(joinLocation(location, name), members[name], field)
			continue
		}
		entries, isList := members[name].([]any)
		if !isList {
			v.addf(joinLocation(location, name), "must be a list")
		}
		for index, entry := range entries {
			v.checkValue(fmt.Sprintf("%s[%d]", joinLocation(location, name), index), entry, field)
		}
	}
}

// fits tells whether a JSON value may stand for a field of a kind, and what is expected.
var kindChecks = map[protoreflect.Kind]struct {
	expected string
	accepts  func(value any) bool
}{
	protoreflect.StringKind: {"a text", isString},
	protoreflect.BoolKind:   {"true or false", func(value any) bool { _, is := value.(bool); return is }},
	protoreflect.Uint32Kind: {"a number", isNumber},
	protoreflect.Uint64Kind: {"a number", isNumber},
	protoreflect.Int64Kind:  {"a number", isNumber},
	protoreflect.DoubleKind: {"a number", isNumber},
}

func isString(value any) bool { _, is := value.(string); return is }

// isNumber allows texts, since 64-bit numbers may be written as such.
func isNumber(value any) bool { _, is := value.(json.Number); return is || isString(value) }

func (v *validator) checkValue(location string, value any, field protoreflect.FieldDescriptor) {
	if field.Message() != nil {
		v.checkObject(location, value, field.Message())
		return
	}
	if field.Enum() != nil {
		if name, is := value.(string); !is || field.Enum().Values().ByName(protoreflect.Name(name)) == nil {
			v.addf(location, "%v is not a value of %s", value, field.Enum().Name())
		}
		return
	}
	if wanted, known := kindChecks[field.Kind()]; known && !wanted.accepts(value) {
		v.addf(location, "must be %s", wanted.expected)
	}
}
