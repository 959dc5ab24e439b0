package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"strconv"
)

// digestPrefixBytes is how many bytes of a key's digest operators see: enough to tell keys apart, too few to find a key by brute force.
const digestPrefixBytes = 4

// ShortDigest returns the prefix of a key's digest that operators see in place of the key.
func ShortDigest(digest []byte) string {
	return "sha256:" + hex.EncodeToString(digest[:min(len(digest), digestPrefixBytes)])
}

// Redact replaces each key of a tenant, in a configuration in this package's format, by a prefix of its digest. Everything else stays
// as it was written. Content that isn't valid JSON is returned unchanged: it can't be in use, so none of its keys is valid.
func Redact(content []byte) []byte {
	r := &redactor{content: content, decoder: json.NewDecoder(bytes.NewReader(content))}
	r.decoder.UseNumber()
	if err := r.readValue(nil); err != nil {
		return content
	}
	r.redacted = append(r.redacted, content[r.copied:]...)
	return r.redacted
}

// redactor copies the content of a configuration and replaces the keys of tenants in it.
type redactor struct {
	content  []byte
	decoder  *json.Decoder
	redacted []byte
	copied   int64 // length of the part of content that was processed
}

// readValue reads one value. path is the names of the fields that contain it.
func (r *redactor) readValue(path []string) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return r.readObject(path)
	case json.Delim('['):
		return r.readList(path)
	}
	if key, isText := token.(string); isText && len(path) == 2 && path[0] == "tenants" && path[1] == "keys" {
		r.replaceKey(key)
	}
	return nil
}

func (r *redactor) readObject(path []string) error {
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return err
		}
		text, _ := name.(string) // the decoder rejects names that aren't strings
		if err := r.readValue(append(path[:len(path):len(path)], text)); err != nil {
			return err
		}
	}
	_, err := r.decoder.Token()
	return err
}

func (r *redactor) readList(path []string) error {
	for r.decoder.More() {
		if err := r.readValue(path); err != nil {
			return err
		}
	}
	_, err := r.decoder.Token()
	return err
}

// replaceKey replaces the string that was read last, which is a key.
func (r *redactor) replaceKey(key string) {
	end := r.decoder.InputOffset()
	start := bytes.LastIndexByte(r.content[:end-1], '"')
	for start > 0 && isEscaped(r.content, start) {
		start = bytes.LastIndexByte(r.content[:start], '"')
	}
	digest, _ := DigestKey(key)
	r.redacted = append(r.redacted, r.content[r.copied:start]...)
	r.redacted = strconv.AppendQuote(r.redacted, ShortDigest(digest[:]))
	r.copied = end
}

// isEscaped reports whether the character at a position is escaped, that is preceded by an odd number of backslashes.
func isEscaped(content []byte, position int) bool {
	count := 0
	for position > count && content[position-1-count] == '\\' {
		count++
	}
	return count%2 == 1
}
