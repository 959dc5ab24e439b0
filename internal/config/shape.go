package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// checkShape reports everything in a JSON tree that doesn't fit a message, because protojson stops at the first such place. Values
// that only protojson can judge, such as numbers out of range, and texts that aren't JSON at all are left to it.
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

// joinLocation returns the location of a field within another, which is empty for the root.
func joinLocation(location, name string) string {
	if location == "" {
		return name
	}
	return location + "." + name
}

// checkObject checks that a value is an object with fields of a message. A field may be named by its JSON or its protobuf name.
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
		switch {
		case field == nil:
			v.addf(joinLocation(location, name), "no such field")
		case members[name] == nil: // null stands for a field that is left out
		case field.IsList():
			v.checkList(joinLocation(location, name), members[name], field)
		default:
			v.checkValue(joinLocation(location, name), members[name], field)
		}
	}
}

func (v *validator) checkList(location string, value any, field protoreflect.FieldDescriptor) {
	entries, isList := value.([]any)
	if !isList {
		v.addf(location, "must be a list")
	}
	for index, entry := range entries {
		v.checkValue(fmt.Sprintf("%s[%d]", location, index), entry, field)
	}
}

// checkValue checks a single value of a field.
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
	if check, known := kindChecks[field.Kind()]; known && !check.accepts(value) {
		v.addf(location, "must be %s", check.expected)
	}
}

// kindChecks are the JSON values that each kind of field accepts.
var kindChecks = map[protoreflect.Kind]struct {
	expected string
	accepts  func(value any) bool
}{
	protoreflect.StringKind: {"a text", isString},
	protoreflect.BoolKind:   {"true or false", isBool},
	protoreflect.Uint32Kind: {"a number", isNumber},
	protoreflect.Uint64Kind: {"a number", isNumber},
	protoreflect.Int64Kind:  {"a number", isNumber},
	protoreflect.DoubleKind: {"a number", isNumber},
}

func isBool(value any) bool { _, is := value.(bool); return is }

func isString(value any) bool { _, is := value.(string); return is }

// isNumber accepts strings too, because 64-bit numbers may be written as such.
func isNumber(value any) bool { _, is := value.(json.Number); return is || isString(value) }
