// Package resourcepath gives every resource one spelling, so that a request is resolved, claimed and handed over by the same
// path however its caller wrote it.
package resourcepath

import (
	"net/url"
	"strings"

	"snowflow/internal/apierror"
)

// RequestTarget is a request's target in its one spelling.
// Invariants: Path starts with a slash and has no empty, "." or ".." segment; a decoded Path has exactly one Target,
// leaving the query aside.
type RequestTarget struct {
	Path    string // decoded, without the query
	Encoded string // as it goes out: escaped path and query
}

// Parse takes a target as it was sent. Escapes are resolved, doubled slashes and dot segments taken out. What different
// readers would take for different resources is turned down: an escaped slash, a backslash, a control character.
func Parse(target string) (RequestTarget, error) {
	escaped, query, _ := strings.Cut(target, "?")
	if !strings.HasPrefix(escaped, "/") {
		return RequestTarget{}, apierror.Invalid.New("a target must start with /")
	}
	segments := []string{}
	trailing := false
	for _, part := range strings.Split(escaped[1:], "/") {
		segment, err := url.PathUnescape(part)
		if err != nil {
			return RequestTarget{}, apierror.Invalid.New("unreadable escape in %q", part)
		}
		if strings.ContainsFunc(segment, ambiguous) {
			return RequestTarget{}, apierror.Invalid.New("%q holds a slash, a backslash or a control character", part)
		}
		trailing = segment == "" || segment == "." || segment == ".."
		switch {
		case segment == ".." && len(segments) > 0:
			segments = segments[:len(segments)-1]
		case !trailing:
			segments = append(segments, segment)
		}
	}
	path := "/" + strings.Join(segments, "/")
	if trailing && len(segments) > 0 {
		path += "/"
	}
	canonical := RequestTarget{Path: path, Encoded: (&url.URL{Path: path}).EscapedPath()}
	if query != "" {
		canonical.Encoded += "?" + query
	}
	return canonical, nil
}

func ambiguous(character rune) bool {
	return character == '/' || character == '\\' || character < ' ' || character == 0x7f
}

// TrimTrailingSlash is a path without what only some readers take for a difference: a slash at its end.
func TrimTrailingSlash(path string) string {
	if trimmed := strings.TrimRight(path, "/"); trimmed != "" {
		return trimmed
	}
	return "/"
}
