package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"strconv"
)

// digestPrefixBytes is how much of a key's digest operators are shown: enough to tell keys apart, too little to find one by trying.
const digestPrefixBytes = 4

// ShortDigest returns what operators are shown in place of a tenant's key: the beginning of its digest.
func ShortDigest(digest []byte) string {
	return "sha256:" + hex.EncodeToString(digest[:min(len(digest), digestPrefixBytes)])
}

// Redact returns a configuration in this package's format in which each key of a tenant is replaced by the beginning of its digest. All
// else stays as it was written. A content that isn't JSON has no keys that are in force, and is returned as it is.
func Redact(content []byte) []byte {
	r := &redactor{content: content, decoder: json.NewDecoder(bytes.NewReader(content))}
	r.decoder.UseNumber()
	if err := r.value(nil); err != nil {
		return content
	}
	r.redacted = append(r.redacted, content[r.copied:]...)
	return r.redacted
}

// redactor copies a content and replaces the keys of tenants in it.
type redactor struct {
	content  []byte
	decoder  *json.Decoder
	redacted []byte
	copied   int64 // the length of the part of content that was copied
}

// value reads one value at a path of field names.
func (r *redactor) value(path []string) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return r.object(path)
	case json.Delim('['):
		return r.list(path)
	}
	if key, isText := token.(string); isText && len(path) == 2 && path[0] == "tenants" && path[1] == "keys" {
		r.replace(key)
	}
	return nil
}

func (r *redactor) object(path []string) error {
	for r.decoder.More() {
		name, err := r.decoder.Token()
		if err != nil {
			return err
		}
		text, _ := name.(string) // the decoder accepts nothing else
		if err := r.value(append(path[:len(path):len(path)], text)); err != nil {
			return err
		}
	}
	_, err := r.decoder.Token()
	return err
}

func (r *redactor) list(path []string) error {
	for r.decoder.More() {
		if err := r.value(path); err != nil {
			return err
		}
	}
	_, err := r.decoder.Token()
	return err
}

// replace replaces the text that was read last.
func (r *redactor) replace(key string) {
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

// isEscaped reports whether an odd number of backslashes precedes a position.
func isEscaped(content []byte, position int) bool {
	count := 0
	for position > count && content[position-1-count] == '\\' {
		count++
	}
	return count%2 == 1
}
