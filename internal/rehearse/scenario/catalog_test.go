package scenario

import (
	"slices"
	"testing"
)

// TestDeprecatedNames checks that Find accepts the names of earlier releases, and that Names does not list them.
func TestDeprecatedNames(t *testing.T) {
	for deprecated, present := range deprecatedNames {
		t.Run(deprecated, func(t *testing.T) {
			found, err := Find(deprecated)
			if err != nil || found.Name != present {
				t.Errorf("got %q, %v, want %q", found.Name, err, present)
			}
			if slices.Contains(Names(), deprecated) {
				t.Error("the deprecated name is listed")
			}
		})
	}
	if _, err := Find("flood"); err == nil {
		t.Error("an unknown scenario was found")
	}
}
