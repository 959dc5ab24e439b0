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
func shape(content []byte, message protoreflect.MessageDescriptor) []Fault {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var tree any
	if decoder.Decode(&tree) != nil {
		return nil
	}
	checker := &checker{}
	checker.object("", tree, message)
	return checker.faults
}

func join(place, name string) string {
	if place == "" {
		return name
	}
	return place + "." + name
}

func (checker *checker) object(place string, value any, message protoreflect.MessageDescriptor) {
	members, isObject := value.(map[string]any)
	if !isObject {
		checker.fault(place, "must be an object")
		return
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		field := message.Fields().ByJSONName(name)
		if field == nil {
			field = message.Fields().ByTextName(name)
		}
		if field == nil {
			checker.fault(join(place, name), "no such field")
			continue
		}
		if members[name] == nil {
			continue
		}
		if !field.IsList() {
			checker.value(join(place, name), members[name], field)
			continue
		}
		entries, isList := members[name].([]any)
		if !isList {
			checker.fault(join(place, name), "must be a list")
		}
		for index, entry := range entries {
			checker.value(fmt.Sprintf("%s[%d]", join(place, name), index), entry, field)
		}
	}
}

// fits tells whether a JSON value may stand for a field of a kind, and what is expected.
var fits = map[protoreflect.Kind]struct {
	expected string
	fits     func(value any) bool
}{
	protoreflect.StringKind: {"a text", isText},
	protoreflect.BoolKind:   {"true or false", func(value any) bool { _, is := value.(bool); return is }},
	protoreflect.Uint32Kind: {"a number", isNumber},
	protoreflect.Uint64Kind: {"a number", isNumber},
	protoreflect.Int64Kind:  {"a number", isNumber},
	protoreflect.DoubleKind: {"a number", isNumber},
}

func isText(value any) bool { _, is := value.(string); return is }

// isNumber allows texts, since 64-bit numbers may be written as such.
func isNumber(value any) bool { _, is := value.(json.Number); return is || isText(value) }

func (checker *checker) value(place string, value any, field protoreflect.FieldDescriptor) {
	if field.Message() != nil {
		checker.object(place, value, field.Message())
		return
	}
	if field.Enum() != nil {
		if name, is := value.(string); !is || field.Enum().Values().ByName(protoreflect.Name(name)) == nil {
			checker.fault(place, "%v is not a value of %s", value, field.Enum().Name())
		}
		return
	}
	if wanted, known := fits[field.Kind()]; known && !wanted.fits(value) {
		checker.fault(place, "must be %s", wanted.expected)
	}
}
