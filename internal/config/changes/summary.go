package changes

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"snowflow/internal/config"
	"snowflow/internal/transport/wire"
)

// unknownFields stands for changed fields that this build doesn't know.
const unknownFields = "(fields of a later build)"

// ResourceChange describes one resource that differs, as shown to operators.
type ResourceChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields holds the paths of the changed fields, for a resource that is in both versions.
	Fields []string `json:"fields,omitempty"`
	// KeysAdded and KeysRemoved hold the keys of a tenant that only one of the versions has, each as a prefix of its digest.
	KeysAdded   []string `json:"keys_added,omitempty"`
	KeysRemoved []string `json:"keys_removed,omitempty"`
}

// Summary describes a difference, as shown to operators.
type Summary struct {
	Added   []ResourceChange `json:"added"`
	Changed []ResourceChange `json:"changed"`
	Removed []ResourceChange `json:"removed"`
}

// Summarize describes a difference from a base for operators.
func Summarize(base *Set, difference *Difference) Summary {
	return Summary{
		Added:   describe(base, difference.Added),
		Changed: describe(base, difference.Changed),
		Removed: describeRemoved(difference.Removed),
	}
}

// describe describes added or changed resources. It never returns nil, so that an empty list is encoded as [].
func describe(base *Set, resources []*Resource) []ResourceChange {
	described := []ResourceChange{}
	for _, r := range resources {
		change := ResourceChange{Kind: r.Kind(), Name: r.Name()}
		if previous := base.Get(r.Key); previous != nil && previous != r {
			change.Fields = changedFields("", previous.Message.ProtoReflect(), r.Message.ProtoReflect())
			change.KeysRemoved = keysOnlyIn(previous, r)
		}
		change.KeysAdded = keysOnlyIn(r, base.Get(r.Key))
		described = append(described, change)
	}
	return described
}

// describeRemoved describes resources that are only in the base.
func describeRemoved(resources []*Resource) []ResourceChange {
	described := []ResourceChange{}
	for _, r := range resources {
		described = append(described, ResourceChange{Kind: r.Kind(), Name: r.Name(), KeysRemoved: keysOnlyIn(r, nil)})
	}
	return described
}

// keysOnlyIn returns the short digests of a tenant's keys that another state of the tenant doesn't have. other is nil if there is no
// other state. A resource that isn't a tenant has no keys.
func keysOnlyIn(tenant, other *Resource) (shown []string) {
	present := map[string]bool{}
	if other != nil {
		for _, digest := range keyDigests(other) {
			present[string(digest)] = true
		}
	}
	for _, digest := range keyDigests(tenant) {
		if !present[string(digest)] {
			shown = append(shown, config.ShortDigest(digest))
		}
	}
	return shown
}

func keyDigests(r *Resource) [][]byte {
	tenant, isTenant := r.Message.(*wire.TenantInForce)
	if !isTenant {
		return nil
	}
	return tenant.KeyDigests
}

// changedFields returns the paths of the fields in which two messages of the same type differ. It descends into submessages that are set
// in both.
func changedFields(prefix string, before, after protoreflect.Message) (names []string) {
	fields := before.Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		if before.Has(field) == after.Has(field) && before.Get(field).Equal(after.Get(field)) {
			continue
		}
		name := prefix + field.JSONName()
		if field.Message() != nil && !field.IsList() && before.Has(field) && after.Has(field) {
			names = append(names, changedFields(name+".", before.Get(field).Message(), after.Get(field).Message())...)
			continue
		}
		names = append(names, name)
	}
	if len(names) == 0 && prefix == "" && !proto.Equal(before.Interface(), after.Interface()) {
		names = append(names, unknownFields)
	}
	return names
}
