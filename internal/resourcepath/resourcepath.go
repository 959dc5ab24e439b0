// Package resourcepath converts request targets to canonical form, so that a request is routed, matched with its idempotency key and
// forwarded by the same path however its client wrote it.
package resourcepath

import (
	"net/url"
	"strings"

	"snowflow/internal/apierror"
)

// RequestTarget is a request target in canonical form.
//
// Invariants: Path starts with a slash and has no empty, "." or ".." segments, except that it may end with a slash; targets with the same
// Path have the same Encoded form, apart from the query.
type RequestTarget struct {
	// Path is the decoded path, without the query.
	Path string
	// Encoded is the target as it's sent: the escaped path, followed by the query as it was received.
	Encoded string
}

// Parse converts a target to canonical form: it decodes escapes, and removes empty and dot segments. It rejects targets that servers
// may interpret differently with an apierror.Invalid: those with an escaped slash, a backslash, a control character, or an escape that
// can't be decoded.
func Parse(target string) (RequestTarget, error) {
	escaped, query, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(escaped, "/") {
		return RequestTarget{}, apierror.Invalid.New("a target must start with /")
	}
	segments := []string{}
	trailingSlash := false
	for _, part := range strings.Split(escaped[1:], "/") {
		segment, err := decodeSegment(part)
		if err != nil {
			return RequestTarget{}, err
		}
		trailingSlash = segment == "" || segment == "." || segment == ".."
		switch {
		case segment == ".." && len(segments) > 0:
			segments = segments[:len(segments)-1]
		case !trailingSlash:
			segments = append(segments, segment)
		}
	}
	path := "/" + strings.Join(segments, "/")
	if trailingSlash && len(segments) > 0 {
		path += "/"
	}
	canonical := RequestTarget{Path: path, Encoded: (&url.URL{Path: path}).EscapedPath()}
	if query != "" {
		canonical.Encoded += "?" + query
	}
	return canonical, nil
}

// decodeSegment decodes the escapes of one segment. It fails if an escape is malformed or the result has an ambiguous character.
func decodeSegment(part string) (string, error) {
	segment, err := url.PathUnescape(part)
	if err != nil {
		return "", apierror.Invalid.New("unreadable escape in %q", part)
	}
	if strings.ContainsFunc(segment, ambiguous) {
		return "", apierror.Invalid.New("%q holds a slash, a backslash or a control character", part)
	}
	return segment, nil
}

// ambiguous reports whether servers differ in their interpretation of a decoded character within a segment.
func ambiguous(character rune) bool {
	return character == '/' || character == '\\' || character < ' ' || character == 0x7f
}

// TrimTrailingSlash removes the trailing slashes of a path, because only some servers distinguish a path with them from one without. The
// root stays "/".
func TrimTrailingSlash(path string) string {
	if trimmed := strings.TrimRight(path, "/"); trimmed != "" {
		return trimmed
	}
	return "/"
}
