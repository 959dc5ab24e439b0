package changes

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// ResourceChange is one resource that differs, as operators are shown it.
type ResourceChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields are those that changed, where the resource is in both versions.
	Fields []string `json:"fields,omitempty"`
}

// Summary is what a difference comes to.
type Summary struct {
	Added   []ResourceChange `json:"added"`
	Changed []ResourceChange `json:"changed"`
	Removed []ResourceChange `json:"removed"`
}

// Summarize tells operators in what a version differs from its base.
func Summarize(base *Set, difference *Difference) Summary {
	list := func(resources []*Resource) []ResourceChange {
		listed := []ResourceChange{}
		for _, one := range resources {
			change := ResourceChange{Kind: one.Kind(), Name: one.Name()}
			if former := base.Get(one.Key); former != nil && former != one {
				change.Fields = changedFields("", former.Message.ProtoReflect(), one.Message.ProtoReflect())
			}
			listed = append(listed, change)
		}
		return listed
	}
	return Summary{Added: list(difference.Added), Changed: list(difference.Changed), Removed: list(difference.Removed)}
}

// fields names those in which two messages of a kind differ, within messages that both have.
func changedFields(prefix string, one, other protoreflect.Message) (names []string) {
	described := one.Descriptor().Fields()
	for index := range described.Len() {
		field := described.Get(index)
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
		names = append(names, "(fields of a later build)")
	}
	return names
}
