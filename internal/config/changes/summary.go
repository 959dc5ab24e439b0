package changes

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// unknownFields stands for fields that differ and that this build doesn't know.
const unknownFields = "(fields of a later build)"

// ResourceChange is one resource that differs, as operators are shown it.
type ResourceChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields are the paths of the fields that changed, for a resource that is in both versions.
	Fields []string `json:"fields,omitempty"`
	// KeysAdded and KeysRemoved are a tenant's keys in which the versions differ, each as the beginning of its digest.
	KeysAdded   []string `json:"keys_added,omitempty"`
	KeysRemoved []string `json:"keys_removed,omitempty"`
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
		Removed: describeRemoved(difference.Removed),
	}
}

// describe never returns nil, so that an empty list is encoded as such.
func describe(base *Set, resources []*Resource) []ResourceChange {
	described := []ResourceChange{}
	for _, one := range resources {
		change := ResourceChange{Kind: one.Kind(), Name: one.Name()}
		if former := base.Get(one.Key); former != nil && former != one {
			change.Fields = changedFields("", former.Message.ProtoReflect(), one.Message.ProtoReflect())
			change.KeysRemoved = keysWithout(former, one)
		}
		change.KeysAdded = keysWithout(one, base.Get(one.Key))
		described = append(described, change)
	}
	return described
}

// describeRemoved describes resources that are in the base alone.
func describeRemoved(resources []*Resource) []ResourceChange {
	described := []ResourceChange{}
	for _, one := range resources {
		described = append(described, ResourceChange{Kind: one.Kind(), Name: one.Name(), KeysRemoved: keysWithout(one, nil)})
	}
	return described
}

// keysWithout returns what operators are shown of a tenant's keys that another state of the tenant lacks. Other is nil for no state, and
// a resource that isn't a tenant has no keys.
func keysWithout(one, other *Resource) (shown []string) {
	present := map[string]bool{}
	if other != nil {
		for _, digest := range digestsOf(other) {
			present[string(digest)] = true
		}
	}
	for _, digest := range digestsOf(one) {
		if !present[string(digest)] {
			shown = append(shown, config.ShortDigest(digest))
		}
	}
	return shown
}

func digestsOf(one *Resource) [][]byte {
	tenant, isTenant := one.Message.(*wire.TenantInForce)
	if !isTenant {
		return nil
	}
	return tenant.KeyDigests
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
