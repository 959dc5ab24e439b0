package changes

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// unknownFields stands for fields that differ and that this build doesn't know.
const unknownFields = "(fields of a later build)"

// ResourceChange is one resource that differs, as operators are shown it.
type ResourceChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields are the paths of the fields that changed, for a resource that is in both versions.
	Fields []string `json:"fields,omitempty"`
}

// Summary is a difference as operators are shown it.
type Summary struct {
	Added   []ResourceChange `json:"added"`
	Changed []ResourceChange `json:"changed"`
	Removed []ResourceChange `json:"removed"`
}

// Summarize describes a difference from a base to operators.
func Summarize(base *Set, difference *Difference) Summary {
	return Summary{
		Added:   describe(base, difference.Added),
		Changed: describe(base, difference.Changed),
		Removed: describe(base, difference.Removed),
	}
}

// describe never returns nil, so that an empty list is encoded as such.
func describe(base *Set, resources []*Resource) []ResourceChange {
	described := []ResourceChange{}
	for _, one := range resources {
		change := ResourceChange{Kind: one.Kind(), Name: one.Name()}
		if former := base.Get(one.Key); former != nil && former != one {
			change.Fields = changedFields("", former.Message.ProtoReflect(), one.Message.ProtoReflect())
		}
		described = append(described, change)
	}
	return described
}

// changedFields returns the paths of the fields in which two messages of a type differ. It descends into messages that both have.
func changedFields(prefix string, one, other protoreflect.Message) (names []string) {
	fields := one.Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		if one.Has(field) == other.Has(field) && one.Get(field).Equal(other.Get(field)) {
			continue
		}
		name := prefix + field.JSONName()
		if field.Message() != nil && !field.IsList() && one.Has(field) && other.Has(field) {
			names = append(names, changedFields(name+".", one.Get(field).Message(), other.Get(field).Message())...)
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 && prefix == "" && !proto.Equal(one.Interface(), other.Interface()) {
		names = append(names, unknownFields)
	}
	return names
}
