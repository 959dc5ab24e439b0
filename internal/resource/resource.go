package resource

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"

	"google.golang.org/protobuf/proto"
)

// keySeparator divides a key into the resource's kind and name.
const keySeparator = "/"

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// Short returns the first eight bytes of a digest, which identify a version that a peer may have. Zero identifies no version.
func (d Digest) Short() uint64 { return binary.BigEndian.Uint64(d[:8]) }

// Resource is one named message of a set. The message must not be modified; the digest is computed from its deterministic encoding.
type Resource struct {
	// Key consists of the kind and the name, separated by a slash. It's unique in a set.
	Key     string
	Message proto.Message
	digest  Digest
}

var deterministic = proto.MarshalOptions{Deterministic: true}

// New returns a resource. The message must not be modified afterwards. An error means that the message can't be encoded.
func New(key string, message proto.Message) (*Resource, error) {
	content, err := deterministic.Marshal(message)
	if err != nil {
		return nil, err
	}
	return &Resource{Key: key, Message: message, digest: sha256.Sum256(content)}, nil
}

// Kind returns the part of the key before the first slash.
func (r *Resource) Kind() string { kind, _, _ := strings.Cut(r.Key, keySeparator); return kind }

// Name returns the part of the key after the first slash, which is unique among the resources of a kind.
func (r *Resource) Name() string { _, name, _ := strings.Cut(r.Key, keySeparator); return name }

// SameDigest reports whether two resources have the same content.
func (r *Resource) SameDigest(other *Resource) bool { return r.digest == other.digest }

func compareKeys(one, other *Resource) int { return strings.Compare(one.Key, other.Key) }
