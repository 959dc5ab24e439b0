package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// checkShape reports every field of a JSON document that doesn't fit the message type, because protojson stops at the first one.
// What only protojson can check, such as the range of numbers, and content that isn't valid JSON are left to protojson.
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

// joinLocation returns the location of a field within a parent. The root's location is empty.
func joinLocation(location, name string) string {
	if location == "" {
		return name
	}
	return location + "." + name
}

// checkObject checks that a value is an object whose members are fields of the message, named by their JSON or protobuf names.
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
		case members[name] == nil: // null means that the field is omitted
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
		if name, ok := value.(string); !ok || field.Enum().Values().ByName(protoreflect.Name(name)) == nil {
			v.addf(location, "%v is not a value of %s", value, field.Enum().Name())
		}
		return
	}
	if check, known := kindChecks[field.Kind()]; known && !check.accepts(value) {
		v.addf(location, "must be %s", check.expected)
	}
}

// kindChecks maps each kind of field to a check of its JSON value.
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

func isBool(value any) bool { _, ok := value.(bool); return ok }

func isString(value any) bool { _, ok := value.(string); return ok }

// isNumber accepts strings too, because protojson allows 64-bit numbers to be written as strings.
func isNumber(value any) bool { _, ok := value.(json.Number); return ok || isString(value) }
